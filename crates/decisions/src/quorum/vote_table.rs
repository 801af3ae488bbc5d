//! The votes and outcomes of one shard of a voter.

use std::sync::Arc;

use yuccapass_types::{Deadline, Instant, SortedMap};

use super::key::{AttemptId, RequestDigest, VoteKey};

/// Largest outcome body that is kept.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1024;

/// The response to an executed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Body, at most 64 KB.
    pub body: Arc<[u8]>,
}

/// What a voter knows about the execution of the attempt that it voted for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutcomeState {
    /// No outcome has been recorded.
    Pending,
    /// The request ran with this outcome.
    Recorded(Outcome),
    /// The request ran, but its outcome was too large or there was no memory for it.
    NotKept,
    /// The request was sent, and whether it ran is unknown.
    Unknown,
}

#[derive(Debug, Clone)]
pub(crate) struct Vote {
    pub(crate) attempt: AttemptId,
    pub(crate) digest: RequestDigest,
    pub(crate) deadline: Deadline,
    pub(crate) outcome: OutcomeState,
}

impl Vote {
    fn body_bytes(&self) -> usize {
        match &self.outcome {
            OutcomeState::Recorded(outcome) => outcome.body.len(),
            OutcomeState::Pending | OutcomeState::NotKept | OutcomeState::Unknown => 0,
        }
    }
}

/// A bounded table of votes; a live vote is never dropped to make room.
#[derive(Debug, Default)]
pub(crate) struct VoteTable {
    votes: SortedMap<VoteKey, Vote>,
    body_bytes: usize,
}

impl VoteTable {
    pub(crate) fn len(&self) -> usize {
        self.votes.len()
    }

    /// Returns the vote of a key, after removing it if its deadline has passed.
    pub(crate) fn live(&mut self, key: &VoteKey, now: Instant) -> Option<&mut Vote> {
        if self.votes.get(key)?.deadline.has_passed(now) {
            self.remove(key);
        }
        self.votes.get_mut(key)
    }

    /// Adds a vote; returns false if the table already holds `max` live votes.
    pub(crate) fn insert(&mut self, key: VoteKey, vote: Vote, max: usize, now: Instant) -> bool {
        if self.votes.len() >= max {
            self.drop_expired(now);
        }
        if self.votes.len() >= max {
            return false;
        }
        self.votes.insert(key, vote);
        true
    }

    pub(crate) fn remove(&mut self, key: &VoteKey) {
        if let Some(vote) = self.votes.remove(key) {
            self.body_bytes -= vote.body_bytes();
        }
    }

    /// Stores an outcome, or [`OutcomeState::NotKept`] if it would exceed the shard's memory for
    /// bodies.
    pub(crate) fn record(&mut self, key: &VoteKey, outcome: OutcomeState, max_body_bytes: usize) {
        let Some(vote) = self.votes.get_mut(key) else { return };
        if vote.outcome != OutcomeState::Pending {
            return;
        }
        let fits = |outcome: &Outcome| {
            outcome.body.len() <= MAX_OUTCOME_BYTES
                && self.body_bytes + outcome.body.len() <= max_body_bytes
        };
        vote.outcome = match outcome {
            OutcomeState::Recorded(outcome) if !fits(&outcome) => OutcomeState::NotKept,
            other => other,
        };
        self.body_bytes += vote.body_bytes();
    }

    pub(crate) fn drop_expired(&mut self, now: Instant) {
        let mut freed_bytes = 0;
        self.votes.retain(|_, vote| {
            let expired = vote.deadline.has_passed(now);
            freed_bytes += if expired { vote.body_bytes() } else { 0 };
            !expired
        });
        self.body_bytes -= freed_bytes;
    }
}
