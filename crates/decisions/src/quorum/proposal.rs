//! The proposer's side of a vote.

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap};

use super::key::{AttemptId, RequestDigest, VoteKey};
use super::panel::Panel;
use super::vote_table::OutcomeState;
use super::voter::{VoteHolder, VoteReply, VoteRequest};

/// State of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalState {
    /// Replies are outstanding.
    Waiting,
    /// A majority voted for the attempt and the votes are still valid.
    Won,
    /// All panel members replied and there is no majority.
    Lost,
    /// The votes' deadline has passed, or the proposal was withdrawn.
    Ended,
}

/// Summary of the replies to a proposal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Voters that voted for the attempt.
    pub granted: usize,
    /// Voters that replied that no other attempt has their vote, including those that granted.
    pub without_other_vote: usize,
    /// Other attempts that hold the vote of a panel member.
    pub holders: Vec<VoteHolder>,
}

/// One attempt's request to a panel and the replies to it.
#[derive(Debug, Clone)]
pub struct Proposal {
    key: VoteKey,
    attempt: AttemptId,
    digest: RequestDigest,
    panel: Panel,
    deadline: Deadline,
    replies: SortedMap<NodeId, VoteReply>,
    was_sent: bool,
    withdrawn: bool,
}

impl Proposal {
    /// Creates a proposal; `now` must be read before the first request is sent.
    pub fn new(
        key: VoteKey,
        attempt: AttemptId,
        digest: RequestDigest,
        panel: Panel,
        lifetime_ms: u64,
        now: Instant,
    ) -> Self {
        let deadline = Deadline::after_ms(now, lifetime_ms);
        let replies = SortedMap::new();
        let (was_sent, withdrawn) = (false, false);
        Self { key, attempt, digest, panel, deadline, replies, was_sent, withdrawn }
    }

    /// Returns what is voted on.
    pub fn key(&self) -> &VoteKey {
        &self.key
    }

    /// Returns the attempt.
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// Returns the panel, to whose members the request is sent.
    pub fn panel(&self) -> &Panel {
        &self.panel
    }

    /// Returns when the proposer must stop relying on the votes.
    pub fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// Returns the request for a panel member's vote.
    pub fn request(&self, zone: &yuccapass_types::ZoneId) -> VoteRequest {
        VoteRequest {
            key: self.key,
            attempt: self.attempt.clone(),
            digest: self.digest,
            list: self.panel.list(),
            zone: zone.clone(),
        }
    }

    /// Records a reply; replies from outside the panel and repeated replies of a voter are ignored.
    pub fn record_reply(&mut self, voter: &NodeId, reply: VoteReply) {
        if self.panel.contains(voter) && !self.replies.contains_key(voter) {
            self.replies.insert(voter.clone(), reply);
        }
    }

    /// Returns the state of the proposal.
    pub fn state(&self, now: Instant) -> ProposalState {
        if self.withdrawn || self.deadline.has_passed(now) {
            return ProposalState::Ended;
        }
        if self.tally().granted >= self.panel.majority() {
            return ProposalState::Won;
        }
        match self.replies.len() == self.panel.nodes().len() {
            true => ProposalState::Lost,
            false => ProposalState::Waiting,
        }
    }

    /// Counts the replies so far.
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for reply in self.replies.values() {
            match reply {
                VoteReply::Granted => {
                    tally.granted += 1;
                    tally.without_other_vote += 1;
                }
                VoteReply::Full => tally.without_other_vote += 1,
                VoteReply::HeldBy(holder) => tally.holders.push(holder.clone()),
                VoteReply::Abstained | VoteReply::WrongList(_) => {}
            }
        }
        tally
    }

    /// Returns the earlier attempt for which a panel member has recorded an outcome.
    pub fn recorded(&self) -> Option<VoteHolder> {
        let is_recorded = |holder: &VoteHolder| matches!(holder.outcome, OutcomeState::Recorded(_));
        self.tally().holders.into_iter().find(is_recorded)
    }

    /// Records that the winner acts now, after which the votes cannot be withdrawn.
    ///
    /// Returns false, and the proposer must not act, if the proposal is not won at `now`.
    #[must_use]
    pub fn mark_sent(&mut self, now: Instant) -> bool {
        if self.state(now) != ProposalState::Won {
            return false;
        }
        self.was_sent = true;
        true
    }

    /// Ends the proposal; returns the voters to which a release is to be sent, including those whose
    /// reply is outstanding.
    ///
    /// Returns `None`, and changes nothing, if the winner has acted.
    pub fn withdraw(&mut self) -> Option<Vec<NodeId>> {
        if self.was_sent {
            return None;
        }
        Some(self.end())
    }

    /// Ends a proposal whose winner has acted without effect: the receiver of the request reported
    /// that it did not run. Returns the voters to which a release is to be sent.
    pub fn withdraw_without_effect(&mut self) -> Vec<NodeId> {
        self.end()
    }

    fn end(&mut self) -> Vec<NodeId> {
        self.withdrawn = true;
        let may_have_voted =
            |node: &&NodeId| matches!(self.replies.get(node), None | Some(VoteReply::Granted));
        self.panel.nodes().iter().filter(may_have_voted).cloned().collect()
    }
}
