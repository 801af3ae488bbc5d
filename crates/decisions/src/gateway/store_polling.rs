//! How often a node asks a store of prompt parts for changes.

/// Part of the calls of a store that nodes use; the rest covers nodes that disagree about their
/// number, and calls that meet by chance.
const USABLE_CALL_FRACTION: f64 = 0.6;

/// How often a node asks a store for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePollSettings {
    /// Time between two calls, from one's sending to the other's.
    pub period_ms: u64,
    /// How long a store waits with its answer if there are no changes.
    pub wait_ms: u64,
    /// Longest time between two calls: what is known must not lapse between them.
    pub max_period_ms: u64,
}

impl Default for StorePollSettings {
    /// 400 ms, 200 ms and 1.7 s. A call that waits for less than 200 ms costs more.
    fn default() -> Self {
        Self { period_ms: 400, wait_ms: 200, max_period_ms: 1_700 }
    }
}

impl StorePollSettings {
    /// Returns the time from one call to the next. While a store has changes it answers at once, so
    /// that many nodes can ask it often; while it has none, the calls of `nodes` nodes wait there and
    /// have to share the `max_calls` that it holds.
    pub fn next_period_ms(&self, is_quiet: bool, nodes: u32, max_calls: u32) -> u64 {
        if !is_quiet {
            return self.period_ms;
        }
        let calls = USABLE_CALL_FRACTION * f64::from(max_calls.max(1));
        let shared_ms = (f64::from(nodes) * self.wait_ms as f64 / calls) as u64;
        shared_ms.clamp(self.period_ms, self.max_period_ms.max(self.period_ms))
    }
}
