//! Requests that a node may send one at a time, at its share of a rate.

use yuccapass_types::{Deadline, Instant, RequestRate};

/// The turns of one node in a rate that all nodes share.
///
/// Unused turns do not accumulate, and the first one is delayed by a random part of the period.
/// Otherwise all nodes would send a request at the moment at which the endpoint needs the limit.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PacedTurns {
    next_at: Option<Instant>,
    period_ms: u64,
}

impl PacedTurns {
    /// Returns whether this node may send a request. `rate` is what `nodes` nodes may send together,
    /// and `random` is from 0 to 1.
    pub(crate) fn is_due(
        &mut self,
        rate: RequestRate,
        nodes: u32,
        random: f64,
        now: Instant,
    ) -> bool {
        let Some(period_us) = rate.period_us(nodes) else { return false };
        self.period_ms = period_us / 1_000;
        let is_unused = self.next_at.is_none_or(|from| now.ms_since(from) > self.period_ms);
        if is_unused {
            let wait_ms = (random * self.period_ms as f64) as u64;
            self.next_at = Some(Deadline::after_ms(now, wait_ms).instant());
        }
        self.next_at.is_some_and(|from| from <= now)
    }

    /// Records that a request is sent.
    pub(crate) fn record_taken(&mut self, now: Instant) {
        self.next_at = Some(Deadline::after_ms(now, self.period_ms).instant());
    }
}
