//! The nodes of other zones that may keep streams.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use yuccapass_decisions::gateway::ZoneNodes;
use yuccapass_types::{NodeId, SortedMap, ZoneId};

/// The nodes of other zones that may keep streams, with their addresses.
#[derive(Default)]
pub(super) struct OtherZones {
    nodes: Mutex<KnownNodes>,
}

#[derive(Default)]
struct KnownNodes {
    zones: Vec<ZoneNodes>,
    addresses: SortedMap<NodeId, SocketAddr>,
}

impl OtherZones {
    /// Replaces the nodes of other zones that accept connections of this one.
    pub(super) fn replace(&self, nodes: Vec<(ZoneId, NodeId, SocketAddr)>) {
        let addresses = nodes.iter().map(|(_, node, address)| (node.clone(), *address)).collect();
        let registered = nodes.into_iter().map(|(zone, node, _)| (zone, node));
        *self.lock() = KnownNodes { zones: ZoneNodes::of_registered(registered), addresses };
    }

    /// Returns the nodes that may keep streams, by zone.
    pub(super) fn zones(&self) -> Vec<ZoneNodes> {
        self.lock().zones.clone()
    }

    /// Returns the address of a node.
    pub(super) fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.lock().addresses.get(node).copied()
    }

    fn lock(&self) -> MutexGuard<'_, KnownNodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
