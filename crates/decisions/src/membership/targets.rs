//! Selection of the nodes to which a heartbeat is sent.

use std::net::SocketAddr;

use rand::{Rng, RngExt};
use yuccapass_types::{NodeId, SortedMap, ZoneId};

use super::member::Member;

/// Number of nodes in the sender's zone that get a heartbeat each second.
const SAME_ZONE_TARGETS: usize = 2;

/// Seconds between heartbeats to another zone.
const OTHER_ZONE_PERIOD_S: u64 = 2;

/// Seconds between heartbeats to an address at which no member is known.
///
/// Through these a node joins, and the two sides of a partition that lasted until they forgot each
/// other's members find each other again.
const HINT_PERIOD_S: u64 = 4;

/// Where a heartbeat is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatTarget {
    /// The member, if one is known at the address.
    pub node: Option<NodeId>,
    /// The address.
    pub address: SocketAddr,
}

/// A VM in the platform's list, which lags and may include VMs that no longer exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmHint {
    /// Address at which a node on the VM would listen for messages between nodes.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// Selects the targets for one second.
pub(crate) fn select_targets(
    members: &SortedMap<NodeId, Member>,
    hints: &[SocketAddr],
    own_zone: &ZoneId,
    second: u64,
    rng: &mut impl Rng,
) -> Vec<HeartbeatTarget> {
    let present = || members.values().filter(|member| member.is_present());
    let (same_zone, other_zones): (Vec<&Member>, Vec<&Member>) =
        present().partition(|member| member.row().zone == *own_zone);
    let mut targets = select_random(same_zone, SAME_ZONE_TARGETS, rng);
    if second.is_multiple_of(OTHER_ZONE_PERIOD_S) {
        targets.extend(select_random(other_zones, 1, rng));
    }
    if second.is_multiple_of(HINT_PERIOD_S) || targets.is_empty() {
        let is_unknown =
            |hint: &&SocketAddr| present().all(|member| member.row().peer_address != **hint);
        let unknown: Vec<&SocketAddr> = hints.iter().filter(is_unknown).collect();
        if !unknown.is_empty() {
            let address = *unknown[rng.random_range(0..unknown.len())];
            targets.push(HeartbeatTarget { node: None, address });
        }
    }
    targets
}

fn select_random(mut from: Vec<&Member>, count: usize, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
    let mut selected = Vec::with_capacity(count);
    while selected.len() < count && !from.is_empty() {
        let row = from.swap_remove(rng.random_range(0..from.len())).row();
        let node = Some(row.node.clone());
        selected.push(HeartbeatTarget { node, address: row.peer_address });
    }
    selected
}
