//! How long a node may rely on the keys that it knows.

use yuccapass_types::{Deadline, Instant};

/// Part of the bound that is left for the difference between the clocks of caller and node and for
/// a request's way from its caller.
const MARGIN_MS: u64 = 300;

/// Whether the keys that a node knows may have been revoked meanwhile.
///
/// A read of the operators' decisions that was sent at an instant shows all that was decided before
/// it. A request that arrives within the bound after that instant was sent before a revocation that
/// the read did not show has been in force for the bound.
#[derive(Debug, Clone)]
pub struct KeyValidity {
    revoke_bound_ms: u64,
    is_fail_closed: bool,
    confirmed_at: Option<Instant>,
}

impl KeyValidity {
    /// Makes the state of a node that has confirmed nothing yet. With `is_fail_closed` keys are
    /// relied on for `revoke_bound_ms` after a confirmation, else forever.
    pub fn new(revoke_bound_ms: u64, is_fail_closed: bool) -> Self {
        Self { revoke_bound_ms, is_fail_closed, confirmed_at: None }
    }

    /// Notes that a read which was sent at `sent_at` has shown the operators' newest decisions.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns whether a key may be relied on for a request that arrives at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        if !self.is_fail_closed {
            return self.confirmed_at.is_some();
        }
        self.deadline().is_some_and(|deadline| !deadline.has_passed(now))
    }

    /// Returns until when keys may be relied on.
    pub fn deadline(&self) -> Option<Deadline> {
        let valid_ms = self.revoke_bound_ms.saturating_sub(MARGIN_MS);
        self.confirmed_at.map(|confirmed_at| Deadline::after_ms(confirmed_at, valid_ms))
    }
}
