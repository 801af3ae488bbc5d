//! Which nodes keep the record of a stream besides the one that has begun it.
//!
//! Some are in the zone of the node that has begun it, and some in other zones, so that the record outlasts the
//! loss of a zone, and of many nodes at once. All choices are made by rendezvous hashing, which differs for each
//! stream and is the same on all nodes.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{NodeId, RequestId, SortedMap, ZoneId};

use crate::gateway::relay::relays;

/// Number of keepers in the zone of the node that begins a stream.
const ZONE_KEEPERS: usize = 2;

/// Number of other zones in which a stream has a keeper.
const KEEPER_ZONES: usize = 2;

/// Number of keepers in each of them.
const REMOTE_KEEPERS: usize = 1;

/// Number of nodes of a zone that are asked for a stream beyond those that keep one. Nodes read at different
/// times which others there are, and one that starts changes the order.
const MORE_ASKED: usize = 1;

/// Number of other zones that are asked for a stream: one more than the zones of its keepers, since the zone in which
/// it began may come before them, and another one because nodes may differ about a zone that has just been lost.
const ASKED_ZONES: usize = KEEPER_ZONES + 2;

/// The nodes of a zone that may keep streams, sorted by id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneNodes {
    /// The zone.
    pub zone: ZoneId,
    /// Its nodes.
    pub nodes: Vec<NodeId>,
}

impl ZoneNodes {
    /// Returns the nodes of each zone that may keep streams, sorted by zone, of all registered nodes.
    pub fn of_registered(registered: impl IntoIterator<Item = (ZoneId, NodeId)>) -> Vec<Self> {
        let mut by_zone: SortedMap<ZoneId, Vec<NodeId>> = SortedMap::new();
        for (zone, node) in registered {
            by_zone.get_or_insert_with(zone, Vec::new).push(node);
        }
        let of_zone = |(zone, mut nodes): (ZoneId, Vec<NodeId>)| {
            nodes.sort();
            Self { zone, nodes: relays(&nodes).to_vec() }
        };
        by_zone.into_entries().map(of_zone).collect()
    }
}

/// Returns the nodes that keep a stream which begins at a node of a zone. `zone_nodes` are the others of its zone
/// that may keep streams, and `other_zones` those of the other zones.
pub fn keepers(id: &RequestId, zone_nodes: &[NodeId], other_zones: &[ZoneNodes]) -> Vec<NodeId> {
    let remote =
        ranked(id, other_zones, |other| other.zone.as_str()).into_iter().take(KEEPER_ZONES);
    let remote = remote.flat_map(|other| first_nodes(id, &other.nodes, REMOTE_KEEPERS));
    first_nodes(id, zone_nodes, ZONE_KEEPERS).into_iter().chain(remote).collect()
}

/// Returns the nodes of its own zone that a node asks for a stream.
pub fn asked_in_zone(id: &RequestId, zone_nodes: &[NodeId]) -> Vec<NodeId> {
    first_nodes(id, zone_nodes, ZONE_KEEPERS + MORE_ASKED)
}

/// Returns the nodes of other zones that a node asks for a stream.
pub fn asked_elsewhere(id: &RequestId, other_zones: &[ZoneNodes]) -> Vec<NodeId> {
    let zones = ranked(id, other_zones, |other| other.zone.as_str()).into_iter().take(ASKED_ZONES);
    zones.flat_map(|other| first_nodes(id, &other.nodes, REMOTE_KEEPERS + MORE_ASKED)).collect()
}

/// Returns the nodes of each of some zones that a node asks for the versions that it does not know. They would
/// keep the stream if it had begun there, or would keep it for another zone.
pub fn asked_in_each(id: &RequestId, zones: &[ZoneNodes]) -> Vec<ZoneNodes> {
    let asked = |known: &ZoneNodes| ZoneNodes {
        zone: known.zone.clone(),
        nodes: first_nodes(id, &known.nodes, ZONE_KEEPERS + MORE_ASKED),
    };
    zones.iter().map(asked).collect()
}

fn first_nodes(id: &RequestId, nodes: &[NodeId], count: usize) -> Vec<NodeId> {
    ranked(id, nodes, NodeId::as_str).into_iter().take(count).cloned().collect()
}

/// Sorts nodes or zones by the hash of their names and the id of a stream.
fn ranked<'a, T>(id: &RequestId, items: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let rank = |item: &T| {
        let mut hasher = DefaultHasher::new();
        (name(item), id.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    let mut ranked: Vec<&T> = items.iter().collect();
    ranked.sort_by_cached_key(|item| (Reverse(rank(item)), name(item).to_owned()));
    ranked
}
