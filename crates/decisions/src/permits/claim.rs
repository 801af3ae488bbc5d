//! The holder's side of a permit.

use yuccapass_types::{Deadline, Instant};

use super::owner::PermitReply;
use super::{PermitId, START_LIMIT_MS};

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The permit was requested and no reply has arrived.
    Requested,
    /// The permit is granted and the request may start.
    MayStart,
    /// The request has started.
    Running,
    /// The permit was refused or not used in time, and must not be used.
    Ended,
}

/// A permit that a node has requested or holds.
#[derive(Debug, Clone)]
pub struct PermitClaim {
    id: PermitId,
    requested_at: Instant,
    deadline: Option<Deadline>,
    renew_at: Deadline,
    started: bool,
    refused: bool,
}

impl PermitClaim {
    /// Creates a claim; `now` must be read before the request for the permit is sent.
    pub fn new(id: PermitId, now: Instant) -> Self {
        let renew_at = Deadline::NEVER;
        Self { id, requested_at: now, deadline: None, renew_at, started: false, refused: false }
    }

    /// Returns the id of the permit.
    pub fn id(&self) -> &PermitId {
        &self.id
    }

    /// Returns the state of the claim.
    pub fn state(&self, now: Instant) -> ClaimState {
        let start_by = Deadline::after_ms(self.requested_at, START_LIMIT_MS);
        match self.deadline {
            _ if self.started => ClaimState::Running,
            _ if self.refused || start_by.has_passed(now) => ClaimState::Ended,
            None => ClaimState::Requested,
            Some(deadline) if deadline.has_passed(now) => ClaimState::Ended,
            Some(_) => ClaimState::MayStart,
        }
    }

    /// Records the owner's reply to the request for the permit.
    pub fn record_reply(&mut self, reply: PermitReply) {
        match reply {
            PermitReply::Granted { remaining_ms } => self.extend(self.requested_at, remaining_ms),
            _ if self.deadline.is_none() => self.refused = true,
            _ => {}
        }
    }

    /// Records that the request is sent to the endpoint now; returns false if it must not be sent.
    #[must_use]
    pub fn start(&mut self, now: Instant) -> bool {
        if self.state(now) != ClaimState::MayStart {
            return false;
        }
        self.started = true;
        true
    }

    /// Returns whether the permit of the running request is due for renewal with the present owner.
    ///
    /// A request whose permit has lapsed continues to run, and its permit is renewed until it ends.
    pub fn renewal_is_due(&self, now: Instant) -> bool {
        self.started && self.renew_at.has_passed(now)
    }

    /// Records the reply to a renewal that was sent at `requested_at`.
    pub fn record_renewal(&mut self, reply: PermitReply, requested_at: Instant) {
        if let PermitReply::Granted { remaining_ms } = reply {
            self.extend(requested_at, remaining_ms);
        }
    }

    /// Extends the permit, counted from before its request was sent and thus never beyond the
    /// owner's deadline.
    fn extend(&mut self, requested_at: Instant, remaining_ms: u64) {
        let deadline = Deadline::after_ms(requested_at, remaining_ms);
        if self.deadline.is_none_or(|present| present < deadline) {
            self.deadline = Some(deadline);
            self.renew_at = Deadline::after_ms(requested_at, remaining_ms / 2);
        }
    }
}
