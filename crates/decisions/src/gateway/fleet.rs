//! How many nodes share the bounds that hold for all of them together.

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap};

/// How long a node that has left still counts. It may be cut off from the platform only and go on
/// serving, and what it was allowed shortly before still counts in the windows of the bounds.
const DEPARTED_NODE_MS: u64 = 10_000;

/// Number of nodes that a node assumes while it does not know the others: more than there are, so
/// that nodes which all start at the same moment do not each take the whole of a bound.
const ASSUMED_NODES: u32 = 100;

/// Lists with this node's own registration after which it knows the others: those that have started
/// together with it have registered by the second one.
const LISTS_UNTIL_KNOWN: u32 = 2;

/// The nodes that are registered or were a short while ago.
#[derive(Debug, Clone)]
pub struct FleetSize {
    own: NodeId,
    // The deadline is that of a node that has left.
    nodes: SortedMap<NodeId, Deadline>,
    lists_with_own: u32,
}

impl FleetSize {
    /// Makes the state of a node that knows no other.
    pub fn new(own: NodeId) -> Self {
        Self { own, nodes: SortedMap::new(), lists_with_own: 0 }
    }

    /// Takes the complete list of registered nodes.
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

    /// Returns whether the node knows the others.
    pub fn is_known(&self) -> bool {
        self.lists_with_own >= LISTS_UNTIL_KNOWN
    }

    /// Returns the number of nodes, of which this one is always one.
    pub fn nodes(&self, now: Instant) -> u32 {
        let present = self.nodes.values().filter(|deadline| !deadline.has_passed(now)).count();
        let present = u32::try_from(present).unwrap_or(u32::MAX);
        match self.is_known() {
            true => present.max(1),
            false => present.max(ASSUMED_NODES),
        }
    }
}
