//! How often a node polls a store of prompt parts for changes.

/// Share of a store's concurrent calls that the nodes plan to use. The rest allows for nodes that
/// disagree about their number, and for calls that coincide by chance.
const USABLE_CALL_FRACTION: f64 = 0.6;

/// Settings for polling a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePollSettings {
    /// Time from the start of one call to the start of the next.
    pub period_ms: u64,
    /// How long a store delays its answer if there are no changes.
    pub wait_ms: u64,
    /// Maximum time between two calls. What is known of the store must not expire between them.
    pub max_period_ms: u64,
}

impl Default for StorePollSettings {
    /// Returns a period of 400 ms, a wait of 200 ms and a maximum period of 1.7 s. Calls that wait
    /// for less than 200 ms cost more.
    fn default() -> Self {
        Self { period_ms: 400, wait_ms: 200, max_period_ms: 1_700 }
    }
}

impl StorePollSettings {
    /// Returns the time from the start of one call to the start of the next.
    ///
    /// A store that has changes answers at once, so many nodes can poll it often. If it has none
    /// (`is_quiet`), the calls of all `nodes` wait at the store and share its `max_calls`.
    pub fn next_period_ms(&self, is_quiet: bool, nodes: u32, max_calls: u32) -> u64 {
        if !is_quiet {
            return self.period_ms;
        }
        let calls = USABLE_CALL_FRACTION * f64::from(max_calls.max(1));
        let shared_ms = (f64::from(nodes) * self.wait_ms as f64 / calls) as u64;
        shared_ms.clamp(self.period_ms, self.max_period_ms.max(self.period_ms))
    }
}
