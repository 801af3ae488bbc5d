//! A holder's side of a permit.

use yuccapass_types::{Deadline, Instant};

use super::owner::PermitReply;
use super::{PermitId, START_WITHIN_MS};

/// How far a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// No reply has arrived.
    Requested,
    /// The permit is granted and the request may start.
    MayStart,
    /// The request runs.
    Running,
    /// The permit was refused, or it was not used in time: it must not be used.
    Ended,
}

/// A permit that a node has asked for or holds.
#[derive(Debug, Clone)]
pub struct PermitClaim {
    id: PermitId,
    asked_at: Instant,
    deadline: Option<Deadline>,
    renew_at: Deadline,
    started: bool,
    refused: bool,
}

impl PermitClaim {
    /// Makes a claim; `now` must be read before the request for the permit is sent.
    pub fn new(id: PermitId, now: Instant) -> Self {
        let renew_at = Deadline::NEVER;
        Self { id, asked_at: now, deadline: None, renew_at, started: false, refused: false }
    }

    /// Returns the id of the permit.
    pub fn id(&self) -> &PermitId {
        &self.id
    }

    /// Returns how far the claim has come.
    pub fn state(&self, now: Instant) -> ClaimState {
        let start_by = Deadline::after_ms(self.asked_at, START_WITHIN_MS);
        match self.deadline {
            _ if self.started => ClaimState::Running,
            _ if self.refused || start_by.has_passed(now) => ClaimState::Ended,
            None => ClaimState::Requested,
            Some(deadline) if deadline.has_passed(now) => ClaimState::Ended,
            Some(_) => ClaimState::MayStart,
        }
    }

    /// Notes the owner's reply to the request for the permit.
    pub fn record_reply(&mut self, reply: PermitReply) {
        match reply {
            PermitReply::Granted { remaining_ms } => self.extend(self.asked_at, remaining_ms),
            _ if self.deadline.is_none() => self.refused = true,
            _ => {}
        }
    }

    /// Notes that the request is sent to the endpoint now; returns false if it must not be.
    #[must_use]
    pub fn start(&mut self, now: Instant) -> bool {
        if self.state(now) != ClaimState::MayStart {
            return false;
        }
        self.started = true;
        true
    }

    /// Returns whether the running request is to be registered with the present owner.
    ///
    /// A request whose permit has lapsed goes on running and is registered until it ends.
    pub fn renewal_is_due(&self, now: Instant) -> bool {
        self.started && self.renew_at.has_passed(now)
    }

    /// Notes the reply to a renewal that was sent at `asked_at`.
    pub fn record_renewal(&mut self, reply: PermitReply, asked_at: Instant) {
        if let PermitReply::Granted { remaining_ms } = reply {
            self.extend(asked_at, remaining_ms);
        }
    }

    /// Extends the permit, counted from before the request for it, as the owner counts from later.
    fn extend(&mut self, asked_at: Instant, remaining_ms: u64) {
        let deadline = Deadline::after_ms(asked_at, remaining_ms);
        if self.deadline.is_none_or(|present| present < deadline) {
            self.deadline = Some(deadline);
            self.renew_at = Deadline::after_ms(asked_at, remaining_ms / 2);
        }
    }
}
