//! Settings, faults and journal of a stand-in service.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::journal::{Journal, JournalListing};
use crate::seeded_random;

/// Faults that stay on until they are replaced. Probabilities are from 0 to 1.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay of each call before its effect.
    pub slow_ms: u64,
    /// Probability that the connection breaks after the effect and before the response.
    pub crash_after_effect_probability: f64,
    /// Probability that the connection breaks in the middle of the response's body.
    pub cut_probability: f64,
    /// Probability that after the effect the connection stays open but no response is sent.
    pub silent_probability: f64,
}

/// The effect of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Number of the effect, from 1.
    pub number: u64,
    /// The caller's idempotency key, or empty.
    pub idempotency_key: String,
    /// The last text between `[[` and `]]` in the body, or empty.
    pub marker: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path_and_query: String,
}

/// How the response to a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    None,
    Crash,
    Cut,
    Silent,
}

#[derive(Debug)]
struct State {
    faults: ServiceFaults,
    effects: u64,
    journal: Journal<Effect>,
}

/// A stand-in for a plain service.
#[derive(Debug)]
pub struct Service {
    seed: u64,
    state: Mutex<State>,
}

impl Service {
    /// Creates a service; its random choices depend only on `seed`.
    pub fn new(seed: u64, max_journal_entries: usize, faults: ServiceFaults) -> Self {
        let state = State { faults, effects: 0, journal: Journal::new(max_journal_entries) };
        Self { seed, state: Mutex::new(state) }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// Returns the journal of effects.
    pub fn journal(&self) -> JournalListing<Effect> {
        self.lock().journal.listing()
    }

    pub(crate) fn slow_ms(&self) -> u64 {
        self.lock().faults.slow_ms
    }

    /// Numbers and records an effect; returns its number and how the response fails.
    pub(crate) fn record_effect(&self, mut effect: Effect) -> (u64, ResponseFault) {
        let mut state = self.lock();
        state.effects += 1;
        let number = state.effects;
        effect.number = number;
        state.journal.add(effect);
        let occurs =
            |name, probability| seeded_random(self.seed, name, &number.to_string()) < probability;
        let fault = if occurs("crash", state.faults.crash_after_effect_probability) {
            ResponseFault::Crash
        } else if occurs("silent", state.faults.silent_probability) {
            ResponseFault::Silent
        } else if occurs("cut", state.faults.cut_probability) {
            ResponseFault::Cut
        } else {
            ResponseFault::None
        };
        (number, fault)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
