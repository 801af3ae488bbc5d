//! How many nodes share the limits that apply to all of them together.

use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap};

/// How long a node still counts after its registration disappeared. It may be disconnected from the
/// platform and still serve requests, and its recent use still counts in the windows of the limits.
const DEPARTED_NODE_MS: u64 = 10_000;

/// Number of nodes to assume until the others are known. It is higher than the real number, so that
/// nodes that start at the same moment do not each use the full limit.
const ASSUMED_NODES: u32 = 100;

/// Number of lists that must contain this node's own registration before the others count as known:
/// nodes that have started together with this one have registered by the second list.
const LISTS_UNTIL_KNOWN: u32 = 2;

/// Time after an era of the key-value service was first heard of in which nodes register again: each hears of
/// the era with its next call, which is at most 2 s away, and the two calls to register take some time.
const REREGISTER_MS: u64 = 3_500;

/// The era of a service that has never come back from a copy, or that names no eras.
const FIRST_ERA: u64 = 1;

/// The nodes that are registered, or were until recently.
#[derive(Debug, Clone)]
pub struct FleetSize {
    own: NodeId,
    // Until when each node counts; `NEVER` while it is registered.
    nodes: SortedMap<NodeId, Deadline>,
    lists_with_own: u32,
    era: u64,
    // Until when lists may miss nodes that have not registered again in the era.
    incomplete_until: Option<Deadline>,
}

impl FleetSize {
    /// Creates the state of a node that knows no other.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            nodes: SortedMap::new(),
            lists_with_own: 0,
            era: FIRST_ERA,
            incomplete_until: None,
        }
    }

    /// Records the era of the key-value service. Registrations are lost when it comes back from a copy, so
    /// for some time lists miss nodes that run. A node that starts cannot know how old a later era is.
    pub fn record_era(&mut self, era: u64, now: Instant) {
        if era > self.era {
            self.era = era;
            self.incomplete_until = Some(Deadline::after_ms(now, REREGISTER_MS));
        }
    }

    /// Returns whether lists may miss nodes that run.
    pub fn is_incomplete(&self, now: Instant) -> bool {
        self.incomplete_until.is_some_and(|until| !until.has_passed(now))
    }

    /// Replaces the nodes with the list of registered ones. While lists are incomplete, nodes are only added.
    pub fn replace(&mut self, nodes: Vec<NodeId>, now: Instant) {
        let is_complete = !self.is_incomplete(now);
        if is_complete {
            for (node, deadline) in self.nodes.iter_mut() {
                if !nodes.contains(node) {
                    *deadline = Deadline::after_ms(now, DEPARTED_NODE_MS).earlier(*deadline);
                }
            }
        }
        self.nodes.retain(|_, deadline| !deadline.has_passed(now));
        self.lists_with_own += u32::from(is_complete && nodes.contains(&self.own));
        for node in nodes {
            self.nodes.insert(node, Deadline::NEVER);
        }
    }

    /// Returns whether the other nodes are known.
    pub fn is_known(&self) -> bool {
        self.lists_with_own >= LISTS_UNTIL_KNOWN
    }

    /// Returns the nodes that are registered now.
    pub fn registered(&self) -> Vec<NodeId> {
        let registered = self.nodes.iter().filter(|(_, until)| **until == Deadline::NEVER);
        registered.map(|(node, _)| node.clone()).collect()
    }

    /// Returns how many of the nodes come before this one in an order that is the same on all nodes
    /// and spreads the nodes of a zone.
    pub fn rank(&self, now: Instant) -> usize {
        let hash = |node: &NodeId| {
            let mut hasher = DefaultHasher::new();
            node.as_str().hash(&mut hasher);
            hasher.finish()
        };
        let own = (hash(&self.own), &self.own);
        let present = self.nodes.iter().filter(|(_, deadline)| !deadline.has_passed(now));
        present.filter(|(node, _)| (hash(node), *node) < own).count()
    }

    /// Returns the number of nodes, including this one.
    pub fn nodes(&self, now: Instant) -> u32 {
        let present = self.nodes.values().filter(|deadline| !deadline.has_passed(now)).count();
        let present = u32::try_from(present).unwrap_or(u32::MAX);
        match self.is_known() {
            true => present.max(1),
            false => present.max(ASSUMED_NODES),
        }
    }
}
