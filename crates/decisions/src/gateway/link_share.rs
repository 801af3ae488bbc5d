//! This node's part of a store's link.
//!
//! A store sends one part after the other. Fetches that are asked for faster than its link carries
//! them all end too late, and the prompts are read after the wait. So each node fetches no more than
//! its part of the link carries, and lets the other prompts be read at once.

use yuccapass_types::Instant;

/// Part of the link that is given out. It is more than the whole, since callers are spread unevenly
/// and not all nodes use their part.
const OVERCOMMIT: f64 = 1.5;

/// Longest time on the link that a node saves up: a few large parts.
const MAX_BURST_US: f64 = 200_000.0;

/// This node's part of a store's link.
#[derive(Debug, Clone, Default)]
pub struct LinkShare {
    // Time on the link that was saved up at an instant.
    available: Option<(f64, Instant)>,
}

impl LinkShare {
    /// Takes `time_us` of the link if the node's part has that left; `nodes` is the number of nodes
    /// that share the link.
    pub fn try_take(&mut self, time_us: u64, nodes: u32, now: Instant) -> bool {
        let part = OVERCOMMIT / f64::from(nodes.max(1));
        let available_us = self.available.map_or(MAX_BURST_US, |(available_us, at)| {
            (available_us + now.ms_since(at) as f64 * 1_000.0 * part).min(MAX_BURST_US)
        });
        // A part that takes longer than what can be saved up is sent on a full account.
        let is_allowed = available_us >= (time_us as f64).min(MAX_BURST_US);
        let taken_us = if is_allowed { time_us as f64 } else { 0.0 };
        self.available = Some((available_us - taken_us, now));
        is_allowed
    }
}
