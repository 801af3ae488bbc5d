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
    /// Votes from before this instant may be missing: the start of the process, or the change to a
    /// list that does not directly follow the previous one.
    votes_unknown_before: Instant,
    /// When this voter first learned that each node uses the present list.
    in_use_since: SortedMap<NodeId, Instant>,
}

impl VoterListState {
    pub(crate) fn new(node: NodeId, list: VoterList, config: VoterConfig, now: Instant) -> Self {
        let in_use_since = SortedMap::from_iter([(node.clone(), now)]);
        Self { node, config, list, votes_unknown_before: now, in_use_since }
    }

    pub(crate) fn list_id(&self) -> VoterListId {
        self.list.id()
    }

    /// Replaces the list in use and forgets which nodes used the previous one.
    pub(crate) fn replace_list(&mut self, list: VoterList, now: Instant) {
        if list.id() == self.list.id() {
            return;
        }
        if !list.follows(&self.list) {
            self.votes_unknown_before = now;
        }
        self.list = list;
        self.in_use_since = SortedMap::from_iter([(self.node.clone(), now)]);
    }

    /// Records which list another voter uses.
    pub(crate) fn record_list_in_use(&mut self, node: &NodeId, list: VoterListId, now: Instant) {
        if list == self.list.id() {
            self.in_use_since.get_or_insert_with(node.clone(), || now);
        } else {
            self.in_use_since.remove(node);
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
        let mut in_use_at: Vec<Instant> = old_panel
            .nodes()
            .iter()
            .filter_map(|node| self.in_use_since.get(node))
            .copied()
            .collect();
        in_use_at.sort();
        let majority_at = in_use_at.get(old_panel.majority() - 1);
        majority_at.is_none_or(|&at| !Deadline::after_ms(at, lifetime_ms).has_passed(now))
    }
}
