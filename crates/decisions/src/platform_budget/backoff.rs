//! Exponential backoff with full jitter.

use rand::{Rng, RngExt};

/// Delays before calls are repeated, each drawn uniformly between zero and a bound that doubles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    base_ms: u64,
    limit_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `base_ms` and never exceeds `limit_ms`.
    pub fn new(base_ms: u64, limit_ms: u64) -> Self {
        Self { base_ms, limit_ms, failures: 0 }
    }

    /// Counts a failure and returns the delay before the next call.
    pub fn next_delay_ms(&mut self, random: &mut dyn Rng) -> u64 {
        let factor = 1u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let bound_ms = self.base_ms.saturating_mul(factor).min(self.limit_ms);
        self.failures = self.failures.saturating_add(1);
        random.random_range(0..=bound_ms)
    }
}
