//! One attempt to execute a request.

use yuccapass_types::{Deadline, IdempotencyKey, Instant, NodeId, OrganisationId};
use yuccapass_types::{ResultCode, RunState};

use crate::quorum::{
    AttemptId, Outcome, OutcomeState, Panel, Proposal, ProposalState, RequestDigest, VoteHolder,
    VoteKey, VoteReply, VoterConfig, VoterList,
};

/// Settings of the ledger; they must be the same on all nodes.
#[derive(Debug, Clone, Copy)]
pub struct LedgerConfig {
    window_ms: u64,
    send_within_ms: u64,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self { window_ms: 900_000, send_within_ms: 30_000 }
    }
}

impl LedgerConfig {
    /// Sets how long a key is remembered after the last send; 15 min by default.
    pub fn window_ms(mut self, ms: u64) -> Self {
        self.window_ms = ms;
        self
    }

    /// Sets how long after the first request for votes a winner may still send; 30 s by default.
    pub fn send_within_ms(mut self, ms: u64) -> Self {
        self.send_within_ms = ms;
        self
    }

    /// Returns how long a key is remembered after the last send.
    pub fn retention_ms(&self) -> u64 {
        self.window_ms
    }

    /// Returns the lifetime of a vote, which covers the window from the latest possible send.
    pub fn vote_lifetime_ms(&self) -> u64 {
        self.window_ms.saturating_add(self.send_within_ms)
    }

    /// Returns voter settings with this lifetime for ledger votes.
    pub fn voter_config(&self, config: VoterConfig) -> VoterConfig {
        config.ledger_lifetime_ms(self.vote_lifetime_ms())
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerDecision {
    /// Replies are missing; wait for them up to the deadline for replies.
    Wait,
    /// Run it, after [`LedgerAttempt::start_sending`] has returned true.
    Run,
    /// Give the caller the outcome of the first execution.
    Return(Outcome),
    /// Another attempt holds the key and has no outcome yet: withdraw, wait a little and make a new
    /// attempt, or reject as [`ResultCode::StillRunning`] once the caller's deadline passes.
    StillRunning,
    /// Withdraw and reject.
    Reject(LedgerRejection),
}

/// Why a request with a key is rejected, and whether the key's request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerRejection {
    /// The code for the caller.
    pub code: ResultCode,
    /// What is known about any execution under the key.
    pub run_state: RunState,
}

/// One attempt to execute a request at most once.
#[derive(Debug, Clone)]
pub struct LedgerAttempt {
    proposal: Proposal,
    digest: RequestDigest,
    send_by: Deadline,
}

impl LedgerAttempt {
    /// Makes an attempt; `now` must be read before the first request for a vote is sent.
    pub fn new(
        organisation: &OrganisationId,
        key: &IdempotencyKey,
        digest: RequestDigest,
        attempt: AttemptId,
        voters: &VoterList,
        config: LedgerConfig,
        now: Instant,
    ) -> Self {
        let key = VoteKey::ledger(organisation, key);
        let panel = voters.ledger_panel(&key);
        let lifetime_ms = config.vote_lifetime_ms();
        let proposal = Proposal::new(key, attempt, digest, panel, lifetime_ms, now);
        Self { proposal, digest, send_by: Deadline::after_ms(now, config.send_within_ms) }
    }

    /// Returns the proposal, for its requests and its panel.
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// Returns the panel, with which the outcome is recorded.
    pub fn panel(&self) -> &Panel {
        self.proposal.panel()
    }

    /// Notes a reply.
    pub fn record_reply(&mut self, voter: &NodeId, answer: VoteReply) {
        self.proposal.record_reply(voter, answer);
    }

    /// Decides from the replies so far.
    ///
    /// `no_more_replies` says that the deadline for replies has passed.
    pub fn decide(&self, no_more_replies: bool, now: Instant) -> LedgerDecision {
        let state = self.proposal.state(now);
        let tally = self.proposal.tally();
        if let Some(decision) =
            tally.holders.iter().find_map(|holder| self.finished_decision(holder))
        {
            return decision;
        }
        if state == ProposalState::Won && !self.send_by.has_passed(now) {
            return LedgerDecision::Run;
        }
        if state == ProposalState::Waiting && !no_more_replies {
            return LedgerDecision::Wait;
        }
        if tally.holders.iter().any(|holder| holder.digest != self.digest) {
            return reject(ResultCode::KeyReused, RunState::Unknown);
        }
        if !tally.holders.is_empty() {
            return LedgerDecision::StillRunning;
        }
        // A voter that abstained may have forgotten an execution, so only voters that can rule out
        // a vote count. Any majority that elected an earlier attempt shares one with these.
        match tally.without_other_vote >= self.panel().majority() {
            true => reject(ResultCode::NoMajority, RunState::NotRun),
            false => reject(ResultCode::NoMajority, RunState::Unknown),
        }
    }

    /// Notes that the request is sent now; returns false if it must not be.
    ///
    /// A node that was paused after the vote finds out here that its time has passed.
    #[must_use]
    pub fn start_sending(&mut self, now: Instant) -> bool {
        !self.send_by.has_passed(now) && self.proposal.mark_sent(now)
    }

    /// Ends an attempt that has sent nothing; returns the voters to which a release is to be sent.
    pub fn withdraw(&mut self) -> Option<Vec<NodeId>> {
        self.proposal.withdraw()
    }

    /// Ends an attempt whose receiver said that the request did not run; returns the voters to which
    /// a release is to be sent.
    pub fn withdraw_without_effect(&mut self) -> Vec<NodeId> {
        self.proposal.withdraw_without_effect()
    }

    fn finished_decision(&self, holder: &VoteHolder) -> Option<LedgerDecision> {
        if holder.outcome != OutcomeState::Pending && holder.digest != self.digest {
            return Some(reject(ResultCode::KeyReused, RunState::Ran));
        }
        match &holder.outcome {
            OutcomeState::Pending => None,
            OutcomeState::Recorded(outcome) => Some(LedgerDecision::Return(outcome.clone())),
            OutcomeState::NotKept => Some(reject(ResultCode::OutcomeUnknown, RunState::Ran)),
            OutcomeState::Unknown => Some(reject(ResultCode::OutcomeUnknown, RunState::Unknown)),
        }
    }
}

fn reject(code: ResultCode, run_state: RunState) -> LedgerDecision {
    LedgerDecision::Reject(LedgerRejection { code, run_state })
}
