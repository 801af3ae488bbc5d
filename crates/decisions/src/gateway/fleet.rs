//! How many nodes share the bounds that hold for all of them together.

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap};

/// How long a node that has left still counts. It may be cut off from the platform only and go on
/// serving, and what it was allowed shortly before still counts in the windows of the bounds.
const LINGER_MS: u64 = 10_000;

/// The nodes that are registered or were a short while ago.
#[derive(Debug, Clone, Default)]
pub struct FleetSize {
    // The deadline is that of a node that has left.
    nodes: SortedMap<NodeId, Deadline>,
}

impl FleetSize {
    /// Notes that a node is registered.
    pub fn joined(&mut self, node: NodeId) {
        self.nodes.insert(node, Deadline::NEVER);
    }

    /// Notes that a node is no longer registered.
    pub fn left(&mut self, node: &NodeId, now: Instant) {
        if let Some(deadline) = self.nodes.get_mut(node) {
            *deadline = Deadline::after_ms(now, LINGER_MS).earlier(*deadline);
        }
    }

    /// Takes the complete list of registered nodes.
    pub fn replace(&mut self, nodes: Vec<NodeId>, now: Instant) {
        let gone: Vec<NodeId> =
            self.nodes.keys().filter(|node| !nodes.contains(node)).cloned().collect();
        for node in &gone {
            self.left(node, now);
        }
        for node in nodes {
            self.joined(node);
        }
    }

    /// Returns the number of nodes, of which this one is always one.
    pub fn nodes(&self, now: Instant) -> u32 {
        let present = self.nodes.values().filter(|deadline| !deadline.has_passed(now)).count();
        u32::try_from(present).unwrap_or(u32::MAX).max(1)
    }
}
