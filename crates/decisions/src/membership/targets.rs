//! The choice of nodes that a heartbeat goes to.

use std::net::SocketAddr;

use rand::{Rng, RngExt};
use yuccapass_types::{NodeId, SortedMap, ZoneId};

use super::member::Member;

/// Nodes of the own zone that get a heartbeat each second.
const ZONE_TARGETS: usize = 2;

/// Seconds between heartbeats to another zone.
const ELSEWHERE_PERIOD: u64 = 2;

/// Seconds between heartbeats to an address at which no member is known.
///
/// This is how a node joins, and how the two sides of a partition that outlasts the memory of dead
/// members find each other again.
const HINT_PERIOD: u64 = 4;

/// Where a heartbeat goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatTarget {
    /// The member, if one is known at the address.
    pub node: Option<NodeId>,
    /// The address.
    pub address: SocketAddr,
}

/// A VM that the platform lists; the list lags and may name VMs that are gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmHint {
    /// Address at which a node on the VM would listen for messages between nodes.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// Chooses the targets of one second.
pub(crate) fn choose(
    members: &SortedMap<NodeId, Member>,
    hints: &[SocketAddr],
    own_zone: &ZoneId,
    second: u64,
    rng: &mut impl Rng,
) -> Vec<HeartbeatTarget> {
    let present = || members.values().filter(|member| member.is_present());
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        present().partition(|member| member.row().zone == *own_zone);
    let mut targets = pick(near, ZONE_TARGETS, rng);
    if second.is_multiple_of(ELSEWHERE_PERIOD) {
        targets.extend(pick(far, 1, rng));
    }
    if second.is_multiple_of(HINT_PERIOD) || targets.is_empty() {
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

fn pick(mut from: Vec<&Member>, count: usize, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
    let mut picked = Vec::with_capacity(count);
    while picked.len() < count && !from.is_empty() {
        let row = from.swap_remove(rng.random_range(0..from.len())).row();
        let node = Some(row.node.clone());
        picked.push(HeartbeatTarget { node, address: row.peer_address });
    }
    picked
}
