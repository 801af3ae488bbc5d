//! The other nodes, one of which may serve the requests of a node that has lost its links to the endpoints.

use std::net::SocketAddr;

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap, ZoneId};

use super::placement::Distance;

/// How long a node is not chosen after it did not serve a request.
const AVOID_MS: u64 = 1_000;

/// Another node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Neighbour {
    /// Its name.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address for callers.
    pub address: SocketAddr,
}

/// The other nodes.
#[derive(Debug, Clone, Default)]
pub struct Neighbours {
    // Sorted by name.
    nodes: Vec<Neighbour>,
    avoided: SortedMap<NodeId, Deadline>,
}

impl Neighbours {
    /// Replaces the nodes.
    pub fn replace(&mut self, mut nodes: Vec<Neighbour>) {
        nodes.sort();
        self.nodes = nodes;
    }

    /// Records that a node did not serve a request.
    pub fn avoid(&mut self, node: NodeId, now: Instant) {
        self.avoided.insert(node, Deadline::after_ms(now, AVOID_MS));
    }

    /// Chooses one of the nearest nodes that was not tried yet. `distance` returns `None` for a zone to which the
    /// request must not be sent; `random` is from 0 to 1.
    pub fn choose(
        &mut self,
        distance: impl Fn(&ZoneId) -> Option<Distance>,
        tried: &[NodeId],
        random: f64,
        now: Instant,
    ) -> Option<Neighbour> {
        self.avoided.retain(|_, until| !until.has_passed(now));
        let candidates: Vec<(Distance, &Neighbour)> = self
            .nodes
            .iter()
            .filter(|known| !self.avoided.contains_key(&known.node) && !tried.contains(&known.node))
            .filter_map(|known| Some((distance(&known.zone)?, known)))
            .collect();
        let nearest = candidates.iter().map(|(distance, _)| *distance).min()?;
        let nearest: Vec<&Neighbour> = candidates
            .into_iter()
            .filter(|(distance, _)| *distance == nearest)
            .map(|(_, known)| known)
            .collect();
        let position = (random * nearest.len() as f64) as usize;
        nearest.get(position.min(nearest.len() - 1)).map(|known| (*known).clone())
    }
}
