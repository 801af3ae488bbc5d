//! One attempt to execute a request at most once.

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

    /// Returns the lifetime of a vote, which covers the retention window after the latest possible
    /// send.
    pub fn vote_lifetime_ms(&self) -> u64 {
        self.window_ms.saturating_add(self.send_within_ms)
    }

    /// Returns `config` with this lifetime for ledger votes.
    pub fn voter_config(&self, config: VoterConfig) -> VoterConfig {
        config.ledger_lifetime_ms(self.vote_lifetime_ms())
    }
}

/// What the caller of [`LedgerAttempt::decide`] has to do with the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerDecision {
    /// Replies are outstanding: wait for them up to the deadline for replies.
    Wait,
    /// Run the request, if [`LedgerAttempt::start_sending`] returns true.
    Run,
    /// Respond with the outcome of the first execution.
    Return(Outcome),
    /// Another attempt holds the key and has no outcome yet: withdraw, wait briefly and make a new
    /// attempt, or reject with [`ResultCode::StillRunning`] once the request's deadline passes.
    StillRunning,
    /// Withdraw the attempt and reject the request.
    Reject(LedgerRejection),
}

/// Why a request with a key is rejected, and whether a request with the key ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerRejection {
    /// The result code of the response.
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
    /// Creates an attempt; `now` must be read before the first request for a vote is sent.
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

    /// Returns the proposal that collects the votes.
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// Returns the panel whose members record the outcome.
    pub fn panel(&self) -> &Panel {
        self.proposal.panel()
    }

    /// Records a voter's reply.
    pub fn record_reply(&mut self, voter: &NodeId, reply: VoteReply) {
        self.proposal.record_reply(voter, reply);
    }

    /// Decides what to do from the replies so far.
    ///
    /// `no_more_replies` is true once the deadline for replies has passed.
    pub fn decide(&self, no_more_replies: bool, now: Instant) -> LedgerDecision {
        let state = self.proposal.state(now);
        let tally = self.proposal.tally();
        if let Some(decision) =
            tally.holders.iter().find_map(|holder| self.decide_by_outcome(holder))
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
        // A voter that abstained may have lost the vote of an earlier execution, so it does not
        // count here. If the others are a majority, no earlier attempt can have won, since any two
        // majorities share a voter.
        match tally.without_other_vote >= self.panel().majority() {
            true => reject(ResultCode::NoMajority, RunState::NotRun),
            false => reject(ResultCode::NoMajority, RunState::Unknown),
        }
    }

    /// Records that the request is sent now; returns false if it must not be sent.
    ///
    /// This is false for a node that was paused after the vote until its time to send had passed.
    #[must_use]
    pub fn start_sending(&mut self, now: Instant) -> bool {
        !self.send_by.has_passed(now) && self.proposal.mark_sent(now)
    }

    /// Ends an attempt that has sent nothing; returns the voters to which a release is to be sent,
    /// or `None` if it has sent its request.
    pub fn withdraw(&mut self) -> Option<Vec<NodeId>> {
        self.proposal.withdraw()
    }

    /// Ends an attempt whose request did not run, as its receiver reported; returns the voters to
    /// which a release is to be sent.
    pub fn withdraw_without_effect(&mut self) -> Vec<NodeId> {
        self.proposal.withdraw_without_effect()
    }

    /// Returns the decision that follows from an earlier attempt's outcome, if it has one.
    fn decide_by_outcome(&self, holder: &VoteHolder) -> Option<LedgerDecision> {
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
