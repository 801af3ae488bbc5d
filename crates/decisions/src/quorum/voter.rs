//! The voter's side of a vote.

use std::sync::{PoisonError, RwLock};

use yuccapass_types::{Deadline, Instant, NodeId, Sharded, ZoneId};

use super::key::{AttemptId, RequestDigest, VoteKey, VoteKind};
use super::panel::{VoterList, VoterListId};
use super::vote_table::{OutcomeState, Vote, VoteTable};
use super::voter_list_state::VoterListState;

/// Settings of a voter; they must be the same on all nodes.
#[derive(Debug, Clone, Copy)]
pub struct VoterConfig {
    pub(crate) ledger_lifetime_ms: u64,
    pub(crate) permit_lifetime_ms: u64,
    pub(crate) max_votes_per_shard: usize,
    pub(crate) max_body_bytes_per_shard: usize,
}

impl Default for VoterConfig {
    fn default() -> Self {
        Self {
            // The ledger's retention window of 15 min plus the 30 s in which a winner may send.
            ledger_lifetime_ms: 930_000,
            permit_lifetime_ms: 5_000,
            // At 3,900 requests with a key per second, 340 voters hold about 32,000 votes each; 64
            // shards of 1,024 votes hold twice that.
            max_votes_per_shard: 1_024,
            // 8 MB in 64 shards, a quarter of a node's memory for control work.
            max_body_bytes_per_shard: 128 * 1024,
        }
    }
}

impl VoterConfig {
    /// Sets how long a ledger vote lives; 930 s by default.
    pub fn ledger_lifetime_ms(mut self, ms: u64) -> Self {
        self.ledger_lifetime_ms = ms;
        self
    }

    /// Sets how long a permit vote lives; 5 s by default.
    pub fn permit_lifetime_ms(mut self, ms: u64) -> Self {
        self.permit_lifetime_ms = ms;
        self
    }

    /// Sets how many votes each of the 64 shards holds; 1,024 by default.
    pub fn max_votes_per_shard(mut self, count: usize) -> Self {
        self.max_votes_per_shard = count;
        self
    }

    /// Sets how many bytes of outcome bodies each of the 64 shards holds; 128 KB by default.
    pub fn max_body_bytes_per_shard(mut self, bytes: usize) -> Self {
        self.max_body_bytes_per_shard = bytes;
        self
    }

    /// Returns the lifetime of a kind of vote.
    pub fn lifetime_ms(&self, kind: VoteKind) -> u64 {
        match kind {
            VoteKind::Ledger => self.ledger_lifetime_ms,
            VoteKind::Permit => self.permit_lifetime_ms,
        }
    }
}

/// A request for a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// What is voted on.
    pub key: VoteKey,
    /// The attempt to vote for.
    pub attempt: AttemptId,
    /// Digest of the request to execute; the default for permits.
    pub digest: RequestDigest,
    /// The list from which the proposer selected the panel.
    pub list: VoterListId,
    /// The endpoint's zone for permits; not used for the ledger.
    pub zone: ZoneId,
}

/// The attempt that holds a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteHolder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Digest of its request.
    pub digest: RequestDigest,
    /// What is known about its execution.
    pub outcome: OutcomeState,
}

/// A voter's reply to a [`VoteRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoteReply {
    /// The attempt has the vote, for a lifetime from the receipt of the request.
    Granted,
    /// Another attempt has the vote.
    HeldBy(VoteHolder),
    /// The voter may have lost a vote on this key, so it neither grants nor denies.
    Abstained,
    /// The voter uses this other list or is not on the panel; it says nothing about the key.
    WrongList(VoterListId),
    /// No attempt has the vote, but the voter's table is full.
    Full,
}

/// A node's votes, sharded by key.
#[derive(Debug)]
pub struct Voter {
    config: VoterConfig,
    list_state: RwLock<VoterListState>,
    tables: Sharded<VoteTable>,
}

impl Voter {
    /// Creates the voter of a process that starts at `now`.
    pub fn new(node: NodeId, list: VoterList, config: VoterConfig, now: Instant) -> Self {
        let list_state = RwLock::new(VoterListState::new(node, list, config, now));
        Self { config, list_state, tables: Sharded::default() }
    }

    /// Answers a request for a vote; a repeated request of the holding attempt extends its vote.
    pub fn handle_request(&self, request: &VoteRequest, now: Instant) -> VoteReply {
        // The lock is held until the vote is stored, so that no vote is granted under a list that
        // another thread has just replaced.
        let list_state = self.list_state.read().unwrap_or_else(PoisonError::into_inner);
        if request.list != list_state.list_id()
            || !list_state.is_on_panel(&request.key, &request.zone)
        {
            return VoteReply::WrongList(list_state.list_id());
        }
        let deadline = Deadline::after_ms(now, self.config.lifetime_ms(request.key.kind()));
        self.tables.with(&request.key, |table| match table.live(&request.key, now) {
            Some(vote) if vote.attempt == request.attempt => {
                vote.deadline = vote.deadline.max(deadline);
                VoteReply::Granted
            }
            Some(vote) => VoteReply::HeldBy(VoteHolder {
                attempt: vote.attempt.clone(),
                digest: vote.digest,
                outcome: vote.outcome.clone(),
            }),
            None if list_state.must_abstain(&request.key, &request.zone, now) => {
                VoteReply::Abstained
            }
            None => self.grant(table, request, deadline, now),
        })
    }

    /// Removes a vote at the request of its attempt, unless an outcome was recorded.
    pub fn release(&self, key: &VoteKey, attempt: &AttemptId, now: Instant) {
        self.tables.with(key, |table| {
            let is_holder =
                |vote: &mut Vote| vote.attempt == *attempt && vote.outcome == OutcomeState::Pending;
            if table.live(key, now).is_some_and(is_holder) {
                table.remove(key);
            }
        });
    }

    /// Records the outcome of the attempt that has the vote and extends the vote by a lifetime.
    pub fn record(&self, key: &VoteKey, attempt: &AttemptId, outcome: OutcomeState, now: Instant) {
        let deadline = Deadline::after_ms(now, self.config.lifetime_ms(key.kind()));
        self.tables.with(key, |table| {
            let Some(vote) = table.live(key, now) else { return };
            if vote.attempt == *attempt && vote.outcome == OutcomeState::Pending {
                vote.deadline = deadline;
                table.record(key, outcome, self.config.max_body_bytes_per_shard);
            }
        });
    }

    /// Replaces the list in use; the same list again changes nothing.
    pub fn replace_list(&self, list: VoterList, now: Instant) {
        self.list_state.write().unwrap_or_else(PoisonError::into_inner).replace_list(list, now);
    }

    /// Records the list that another node uses, as the revision in its heartbeats shows.
    pub fn record_list_in_use(&self, node: &NodeId, list: VoterListId, now: Instant) {
        let mut list_state = self.list_state.write().unwrap_or_else(PoisonError::into_inner);
        list_state.record_list_in_use(node, list, now);
    }

    /// Removes votes whose deadline has passed; the caller does this every few seconds.
    pub fn drop_expired(&self, now: Instant) {
        self.tables.fold((), |(), table| table.drop_expired(now));
    }

    /// Returns the number of votes in memory.
    pub fn vote_count(&self) -> usize {
        self.tables.fold(0, |sum, table| sum + table.len())
    }

    fn grant(
        &self,
        table: &mut VoteTable,
        request: &VoteRequest,
        deadline: Deadline,
        now: Instant,
    ) -> VoteReply {
        let vote = Vote {
            attempt: request.attempt.clone(),
            digest: request.digest,
            deadline,
            outcome: OutcomeState::Pending,
        };
        match table.insert(request.key, vote, self.config.max_votes_per_shard, now) {
            true => VoteReply::Granted,
            false => VoteReply::Full,
        }
    }
}
