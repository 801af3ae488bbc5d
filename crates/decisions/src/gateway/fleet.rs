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

/// The nodes that are registered, or were until recently.
#[derive(Debug, Clone)]
pub struct FleetSize {
    own: NodeId,
    // Until when each node counts; `NEVER` while it is registered.
    nodes: SortedMap<NodeId, Deadline>,
    lists_with_own: u32,
}

impl FleetSize {
    /// Creates the state of a node that knows no other.
    pub fn new(own: NodeId) -> Self {
        Self { own, nodes: SortedMap::new(), lists_with_own: 0 }
    }

    /// Replaces the nodes with the complete list of registered ones.
    pub fn replace(&mut self, nodes: Vec<NodeId>, now: Instant) {
        for (node, deadline) in self.nodes.iter_mut() {
            if !nodes.contains(node) {
                *deadline = Deadline::after_ms(now, DEPARTED_NODE_MS).earlier(*deadline);
            }
        }
        self.nodes.retain(|_, deadline| !deadline.has_passed(now));
        self.lists_with_own += u32::from(nodes.contains(&self.own));
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
