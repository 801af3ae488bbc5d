//! Faults that can be injected at the start or while the engine runs.

use serde::{Deserialize, Serialize};

/// Faults that stay on until the set is replaced. Probabilities are from 0 to 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// A run whose prompt contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// Probability that the events of an answer are delayed.
    pub late_probability: f64,
    /// How long they are delayed.
    pub late_ms: u64,
    /// Probability, for each token, that an event with the id of another request, another attempt
    /// or an old offset is sent before it.
    pub mismatch_probability: f64,
    /// Probability that the connection of a request goes silent: it stays open, but nothing more is
    /// sent on it.
    pub silent_probability: f64,
    /// Tokens that are sent before the connection goes silent; without a value nothing is sent, and
    /// the request is lost before it runs.
    pub silent_after_tokens: Option<u64>,
    /// Factor by which prefill and decoding take longer.
    pub slow_factor: u64,
    /// Probability that a cache event is never published.
    pub lost_event_probability: f64,
    /// Probability that the second half of an exported block is zeroed.
    pub torn_block_probability: f64,
    /// Replicas that swap their weights at the same time, this one included.
    pub swapping_replicas: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crash_marker: None,
            late_probability: 0.0,
            late_ms: 0,
            mismatch_probability: 0.0,
            silent_probability: 0.0,
            silent_after_tokens: None,
            slow_factor: 1,
            lost_event_probability: 0.0,
            torn_block_probability: 0.0,
            swapping_replicas: 1,
        }
    }
}

/// A fault that happens once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// The engine crashes.
    Crash,
    /// The engine becomes cold and loses its cache, but its runs continue.
    FallBackToCold,
    /// All open connections go silent permanently; new ones work.
    SilenceConnections,
}

/// The body of `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultCommand {
    /// Replaces the set of faults; a field that is left out has its default.
    pub set: Option<Faults>,
    /// Faults to trigger immediately.
    pub actions: Vec<FaultAction>,
}
