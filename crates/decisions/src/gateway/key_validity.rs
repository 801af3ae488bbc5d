//! How long a node may rely on the API keys that it has read.

use yuccapass_types::{Deadline, Instant};

/// Safety margin within the revocation bound for clock differences between caller and node, and for
/// the network delay of a request.
const MARGIN_MS: u64 = 300;

/// Decides whether the API keys that a node has read may have been revoked since.
///
/// A read of the operators' settings shows all revocations made before the read was sent. So if a
/// request arrives within the revocation bound after that instant, any revocation that the read
/// missed is younger than the bound, and accepting the key is still allowed.
#[derive(Debug, Clone)]
pub struct KeyValidity {
    revoke_bound_ms: u64,
    is_fail_closed: bool,
    confirmed_at: Option<Instant>,
}

impl KeyValidity {
    /// Creates the state of a node that has not read any keys. With `is_fail_closed`, keys are
    /// valid for `revoke_bound_ms`, less a margin, after a confirmation; otherwise without limit.
    pub fn new(revoke_bound_ms: u64, is_fail_closed: bool) -> Self {
        Self { revoke_bound_ms, is_fail_closed, confirmed_at: None }
    }

    /// Records that a read sent at `sent_at` has returned the newest operator settings.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns the instant of the last confirmation.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns whether the keys are valid for a request that arrives at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        if !self.is_fail_closed {
            return self.confirmed_at.is_some();
        }
        self.deadline().is_some_and(|deadline| !deadline.has_passed(now))
    }

    /// Returns until when the keys are valid, ignoring whether this node fails open.
    pub fn deadline(&self) -> Option<Deadline> {
        let valid_ms = self.revoke_bound_ms.saturating_sub(MARGIN_MS);
        self.confirmed_at.map(|confirmed_at| Deadline::after_ms(confirmed_at, valid_ms))
    }
}
