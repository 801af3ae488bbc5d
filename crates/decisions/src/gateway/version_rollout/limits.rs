//! How many requests a bad version may get, and for how long.

use yuccapass_types::TrafficShare;

/// The limits of roll-outs, which hold for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Share of the requests of an order's time that a bad version may get.
    pub expose_share: TrafficShare,
    /// Requests that it may get in addition.
    pub expose_slack: f64,
    /// Time after its 50th bad answer from which it must get nothing more.
    pub rollback_ms: u64,
}

impl Default for RolloutLimits {
    /// Returns 0.1 of the requests, 50 more and 5 s.
    fn default() -> Self {
        let expose_share = TrafficShare::from_fraction(0.1);
        Self { expose_share, expose_slack: 50.0, rollback_ms: 5_000 }
    }
}

impl RolloutLimits {
    /// Returns for how long a node follows a step that it cannot confirm. The holder needs the rest
    /// of the time to find the fault and to write its verdict.
    pub fn step_valid_ms(&self) -> u64 {
        self.rollback_ms / 5 * 3
    }
}
