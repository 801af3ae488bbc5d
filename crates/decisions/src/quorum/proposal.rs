//! An attempt to get a majority.

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap};

use super::key::{AttemptId, RequestDigest, VoteKey};
use super::panel::Panel;
use super::vote_table::OutcomeState;
use super::voter::{VoteHolder, VoteReply, VoteRequest};

/// How far a proposal has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalState {
    /// Replies are missing.
    Waiting,
    /// A majority voted for the attempt and the votes are live.
    Won,
    /// All panel members replied and there is no majority.
    Lost,
    /// The votes' deadline has passed, or the attempt has withdrawn them.
    Ended,
}

/// What the replies say in sum.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Voters that voted for the attempt.
    pub granted: usize,
    /// Voters that can rule out a live vote for another attempt, including those that granted.
    pub without_other_vote: usize,
    /// Attempts that have the vote of a panel member.
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
    answers: SortedMap<NodeId, VoteReply>,
    was_sent: bool,
    withdrawn: bool,
}

impl Proposal {
    /// Makes a proposal; `now` must be read before the first request is sent.
    pub fn new(
        key: VoteKey,
        attempt: AttemptId,
        digest: RequestDigest,
        panel: Panel,
        lifetime_ms: u64,
        now: Instant,
    ) -> Self {
        let deadline = Deadline::after_ms(now, lifetime_ms);
        let answers = SortedMap::new();
        let (was_sent, withdrawn) = (false, false);
        Self { key, attempt, digest, panel, deadline, answers, was_sent, withdrawn }
    }

    /// Returns what is voted on.
    pub fn key(&self) -> &VoteKey {
        &self.key
    }

    /// Returns the attempt.
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// Returns the panel, to whose members the request goes.
    pub fn panel(&self) -> &Panel {
        &self.panel
    }

    /// Returns when the votes end for the proposer.
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

    /// Notes a reply; one from outside the panel and a second one of the same voter are ignored.
    pub fn record_reply(&mut self, voter: &NodeId, answer: VoteReply) {
        if self.panel.contains(voter) && !self.answers.contains_key(voter) {
            self.answers.insert(voter.clone(), answer);
        }
    }

    /// Returns how far the proposal has come.
    pub fn state(&self, now: Instant) -> ProposalState {
        if self.withdrawn || self.deadline.has_passed(now) {
            return ProposalState::Ended;
        }
        if self.tally().granted >= self.panel.majority() {
            return ProposalState::Won;
        }
        match self.answers.len() == self.panel.nodes().len() {
            true => ProposalState::Lost,
            false => ProposalState::Waiting,
        }
    }

    /// Counts the replies so far.
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for answer in self.answers.values() {
            match answer {
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

    /// Returns the outcome that a panel member recorded for an earlier attempt.
    pub fn recorded(&self) -> Option<VoteHolder> {
        let is_recorded = |holder: &VoteHolder| matches!(holder.outcome, OutcomeState::Recorded(_));
        self.tally().holders.into_iter().find(is_recorded)
    }

    /// Notes that the winner acts now; from then on the votes cannot be withdrawn.
    ///
    /// Returns false, and the winner must not act, if the proposal is not won at `now`.
    #[must_use]
    pub fn mark_sent(&mut self, now: Instant) -> bool {
        if self.state(now) != ProposalState::Won {
            return false;
        }
        self.was_sent = true;
        true
    }

    /// Ends the proposal; returns the voters to which a release is to be sent, which includes those
    /// whose reply is missing.
    ///
    /// Returns `None`, and changes nothing, if the winner has acted.
    pub fn withdraw(&mut self) -> Option<Vec<NodeId>> {
        if self.was_sent {
            return None;
        }
        Some(self.end())
    }

    /// Ends a proposal whose winner has acted, but certainly without effect: whatever received the
    /// request said that it did not run. Returns the voters to which a release is to be sent.
    pub fn withdraw_without_effect(&mut self) -> Vec<NodeId> {
        self.end()
    }

    fn end(&mut self) -> Vec<NodeId> {
        self.withdrawn = true;
        let may_have_voted =
            |node: &&NodeId| matches!(self.answers.get(node), None | Some(VoteReply::Granted));
        self.panel.nodes().iter().filter(may_have_voted).cloned().collect()
    }
}
