//! Membership: the known nodes, their states and what their heartbeats report.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccapass_decisions::membership::{
    Heartbeat, HeartbeatTarget, LoadSummary, Member, MemberEvent, MemberState, Membership,
    MembershipConfig, OrganisationUsage, Row, RowState, VmHint,
};
use yuccapass_types::{
    Clock, Deadline, Incarnation, NodeId, OrganisationId, Revision, SortedMap, TokensPerSecond,
    ZoneId,
};

/// How long the usage of organisations that a node reported stays valid.
const USAGE_LIFETIME_MS: u64 = 15_000;

/// The id, zone and addresses under which other nodes know this process.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) peer_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
}

struct ReportedUsage {
    expiry: Deadline,
    usage: Vec<OrganisationUsage>,
}

/// A known node, as shown to operators.
#[derive(Debug, Clone)]
pub(crate) struct NodeStatus {
    pub(crate) row: Row,
    pub(crate) state: &'static str,
}

/// The membership table, and the usage of organisations as reported in heartbeats.
///
/// The table is not sharded, since it changes only a few times a second.
pub(crate) struct Members {
    identity: Identity,
    table: Mutex<Membership>,
    usage: Mutex<SortedMap<NodeId, ReportedUsage>>,
    clock: Arc<dyn Clock>,
}

impl Members {
    pub(crate) fn new(identity: Identity, seeds: Vec<SocketAddr>, clock: Arc<dyn Clock>) -> Self {
        let own = Row {
            node: identity.node.clone(),
            incarnation: identity.incarnation,
            heartbeat: 0,
            zone: identity.zone.clone(),
            peer_address: identity.peer_address,
            admin_address: identity.admin_address,
            revision: Revision::default(),
            state: RowState::Up,
            load: LoadSummary::default(),
        };
        let table = Membership::new(own, seeds, MembershipConfig::default(), clock.now());
        Self { identity, table: Mutex::new(table), usage: Mutex::default(), clock }
    }

    pub(crate) fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Changes this node's own entry.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Membership)) {
        change(&mut lock(&self.table));
    }

    /// Sets the VMs that the platform listed.
    pub(crate) fn set_vms(&self, vms: Vec<VmHint>) {
        self.update(|table| table.set_vms(vms));
    }

    /// Advances the heartbeat counter; returns the heartbeats to send, and the membership changes.
    pub(crate) fn tick(&self) -> (Vec<(SocketAddr, Heartbeat)>, Vec<MemberEvent>) {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let (targets, events) = table.tick(now, &mut rand::rng());
        let heartbeats = targets.iter().map(|target| (target.address, table.heartbeat(target)));
        (heartbeats.collect(), events)
    }

    /// Returns the reply to a received heartbeat.
    pub(crate) fn reply(&self) -> Heartbeat {
        lock(&self.table).reply()
    }

    /// Merges a heartbeat of another node; returns the membership changes.
    pub(crate) fn receive(&self, heartbeat: &Heartbeat) -> Vec<MemberEvent> {
        let now = self.clock.now();
        // Replies carry no usage and must not replace what was reported.
        if heartbeat.own.zone == self.identity.zone && !heartbeat.usage.is_empty() {
            let expiry = Deadline::after_ms(now, USAGE_LIFETIME_MS);
            let reported = ReportedUsage { expiry, usage: heartbeat.usage.clone() };
            lock(&self.usage).insert(heartbeat.own.node.clone(), reported);
        }
        lock(&self.table).receive(heartbeat, now)
    }

    /// Returns heartbeats for all other nodes of the zone, without advancing the counter.
    pub(crate) fn zone_heartbeats(&self) -> Vec<(SocketAddr, Heartbeat)> {
        let mut table = lock(&self.table);
        let targets: Vec<HeartbeatTarget> = self
            .zone_peers(&table)
            .map(|member| HeartbeatTarget {
                node: Some(member.row().node.clone()),
                address: member.row().peer_address,
            })
            .collect();
        targets.iter().map(|target| (target.address, table.heartbeat(target))).collect()
    }

    /// Returns the other nodes of the zone that are alive or suspect.
    fn zone_peers<'a>(&'a self, table: &'a Membership) -> impl Iterator<Item = &'a Member> {
        table
            .members()
            .filter(|member| member.row().zone == self.identity.zone && is_present(member.state()))
    }

    /// Returns the number of alive or suspect nodes in the zone, including this one.
    pub(crate) fn zone_node_count(&self) -> u32 {
        let table = lock(&self.table);
        1 + self.zone_peers(&table).count() as u32
    }

    /// Returns the number of alive or suspect nodes in all zones, including this one.
    pub(crate) fn fleet_node_count(&self) -> u32 {
        let table = lock(&self.table);
        1 + table.members().filter(|member| is_present(member.state())).count() as u32
    }

    /// Returns on how many of the alive or suspect nodes `revision` or a newer one is active, and
    /// the number of these nodes, including this one.
    pub(crate) fn count_at_revision(&self, revision: Revision) -> (u32, u32) {
        let table = lock(&self.table);
        let others = table.members().filter(|member| is_present(member.state()));
        let revisions = others.map(|member| member.row().revision).chain([table.own().revision]);
        revisions.fold((0, 0), |(at_revision, present), active| {
            (at_revision + u32::from(active >= revision), present + 1)
        })
    }

    /// Returns the revisions of the active configurations of the other nodes that are alive or
    /// suspect.
    pub(crate) fn revisions(&self) -> Vec<(NodeId, Revision)> {
        let table = lock(&self.table);
        let present = table.members().filter(|member| is_present(member.state()));
        present.map(|member| (member.row().node.clone(), member.row().revision)).collect()
    }

    /// Returns whether this node is among the `count` alive nodes of its zone with the smallest
    /// ids, which do a task for the whole zone.
    ///
    /// While nodes disagree about membership, more than `count` may do the task. This only costs
    /// additional calls.
    pub(crate) fn is_among_first(&self, count: usize) -> bool {
        let table = lock(&self.table);
        let before = table.members().filter(|member| {
            member.row().zone == self.identity.zone
                && member.state() == MemberState::Alive
                && member.row().node < self.identity.node
        });
        before.count() < count
    }

    /// Returns the demand of an organisation at the other nodes of the zone; `None` unless all of
    /// them have a valid report.
    pub(crate) fn other_demand(&self, organisation: &OrganisationId) -> Option<TokensPerSecond> {
        let now = self.clock.now();
        let peers: Vec<NodeId> = {
            let table = lock(&self.table);
            self.zone_peers(&table).map(|member| member.row().node.clone()).collect()
        };
        let usage = lock(&self.usage);
        let demands = peers.iter().map(|node| {
            let reported = usage.get(node).filter(|reported| !reported.expiry.has_passed(now))?;
            let of_organisation =
                reported.usage.iter().find(|usage| usage.organisation == *organisation);
            Some(of_organisation.map_or(TokensPerSecond::ZERO, |usage| usage.tokens_per_s))
        });
        demands.sum()
    }

    /// Returns all known nodes, including this one, sorted by id.
    pub(crate) fn statuses(&self) -> Vec<NodeStatus> {
        let table = lock(&self.table);
        let own = NodeStatus { row: table.own().clone(), state: own_state(table.own().state) };
        let others = table.members().map(|member| NodeStatus {
            row: member.row().clone(),
            state: match member.state() {
                MemberState::Alive if member.is_leaving() => "leaving",
                MemberState::Alive => "alive",
                MemberState::Suspect => "suspect",
                MemberState::Dead => "dead",
                MemberState::Left => "left",
            },
        });
        let mut statuses: Vec<NodeStatus> = others.chain([own]).collect();
        statuses.sort_by(|a, b| a.row.node.cmp(&b.row.node));
        statuses
    }
}

fn own_state(state: RowState) -> &'static str {
    match state {
        RowState::Up => "alive",
        RowState::Leaving => "leaving",
        RowState::Left => "left",
    }
}

/// Returns whether a node takes part: it is not known to have failed or left.
fn is_present(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
