//! The voter list in use, and whether a voter may vote on a key under it.

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap, ZoneId};

use super::key::VoteKey;
use super::panel::{VoterList, VoterListId};
use super::voter::VoterConfig;

/// The list that a voter uses, and which nodes are known to use it too.
#[derive(Debug)]
pub(crate) struct VoterListState {
    node: NodeId,
    config: VoterConfig,
    list: VoterList,
    /// Votes from before this instant may be missing: the start of the process, or the adoption of
    /// a list that does not directly follow the previous one.
    votes_unknown_before: Instant,
    /// When this voter first learned that each node uses the present list.
    adopters: SortedMap<NodeId, Instant>,
}

impl VoterListState {
    pub(crate) fn new(node: NodeId, list: VoterList, config: VoterConfig, now: Instant) -> Self {
        let adopters = SortedMap::from_iter([(node.clone(), now)]);
        Self { node, config, list, votes_unknown_before: now, adopters }
    }

    pub(crate) fn list_id(&self) -> VoterListId {
        self.list.id()
    }

    /// Starts to use a list and forgets which nodes used the previous one.
    pub(crate) fn adopt(&mut self, list: VoterList, now: Instant) {
        if list.id() == self.list.id() {
            return;
        }
        if !list.follows(&self.list) {
            self.votes_unknown_before = now;
        }
        self.list = list;
        self.adopters = SortedMap::from_iter([(self.node.clone(), now)]);
    }

    /// Records which list another voter uses.
    pub(crate) fn note_list_of(&mut self, node: &NodeId, list: VoterListId, now: Instant) {
        if list == self.list.id() {
            self.adopters.get_or_insert_with(node.clone(), || now);
        } else {
            self.adopters.remove(node);
        }
    }

    /// Returns whether this voter is on the panel of a key.
    pub(crate) fn is_on_panel(&self, key: &VoteKey, zone: &ZoneId) -> bool {
        self.list.panel(key, zone).contains(&self.node)
    }

    /// Returns whether this voter may have missed a vote on the key that is still live.
    pub(crate) fn must_abstain(&self, key: &VoteKey, zone: &ZoneId, now: Instant) -> bool {
        let lifetime_ms = self.config.lifetime_ms(key.kind());
        if !Deadline::after_ms(self.votes_unknown_before, lifetime_ms).has_passed(now) {
            return true;
        }
        let Some(old_panel) = self.list.replaced_panel(key, zone) else { return false };
        if old_panel.contains(&self.node) || old_panel.nodes().is_empty() {
            return false;
        }
        // Until a majority of the replaced panel uses the present list, that panel can still elect
        // an attempt, whose votes remain valid for a lifetime after that.
        let mut adopted: Vec<Instant> =
            old_panel.nodes().iter().filter_map(|node| self.adopters.get(node)).copied().collect();
        adopted.sort();
        let majority_adopted_at = adopted.get(old_panel.majority() - 1);
        majority_adopted_at.is_none_or(|&at| !Deadline::after_ms(at, lifetime_ms).has_passed(now))
    }
}
