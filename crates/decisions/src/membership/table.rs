//! The membership table.

use std::cmp::Reverse;
use std::net::SocketAddr;

use rand::Rng;
use yuccapass_types::{Instant, NodeId, Revision, SortedMap, ZoneId};

use super::heartbeat::{
    CrashCount, Heartbeat, HeartbeatCounter, MAX_HEARTBEAT_BYTES, MAX_REPLY_BYTES,
    OrganisationUsage,
};
use super::member::{Member, MemberState};
use super::row::{LoadSummary, Row, RowState, process_id};
use super::targets::{HeartbeatTarget, VmHint, select_targets};

/// Maximum number of members in memory, several times the largest intended fleet of 340 nodes.
const MAX_MEMBERS: usize = 2_048;

/// Settings of membership.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    suspect_after_ms: u64,
    dead_after_ms: u64,
    forget_after_ms: u64,
    other_zone_factor: u64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspect_after_ms: 3_000,
            dead_after_ms: 6_000,
            forget_after_ms: 60_000,
            other_zone_factor: 3,
        }
    }
}

impl MembershipConfig {
    /// Sets after how long without a rise of its counter a member is suspect; 3 s by default.
    pub fn suspect_after_ms(mut self, ms: u64) -> Self {
        self.suspect_after_ms = ms;
        self
    }

    /// Sets after how long without a rise of its counter a member is dead; 6 s by default.
    pub fn dead_after_ms(mut self, ms: u64) -> Self {
        self.dead_after_ms = ms;
        self
    }

    /// Sets how long the row of a dead or stopped member is kept, so that an old copy of it is
    /// recognised; 60 s by default.
    pub fn forget_after_ms(mut self, ms: u64) -> Self {
        self.forget_after_ms = ms;
        self
    }

    /// Sets the factor by which both times are longer for members of other zones; 3 by default.
    ///
    /// A node sends a heartbeat to another zone only every two seconds, and at 340 nodes the message
    /// has no room for the counters of all other zones.
    pub fn other_zone_factor(mut self, factor: u64) -> Self {
        self.other_zone_factor = factor;
        self
    }

    fn factor(&self, zone: &ZoneId, own_zone: &ZoneId) -> u64 {
        if zone == own_zone { 1 } else { self.other_zone_factor.max(1) }
    }
}

/// A change that the caller has to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member is new, or its state has changed.
    Changed {
        /// The member.
        node: NodeId,
        /// Its state now.
        state: MemberState,
    },
    /// A member has a newer configuration than this node.
    NewerRevision {
        /// The member.
        node: NodeId,
        /// Its address for messages between nodes.
        address: SocketAddr,
        /// Its revision.
        revision: Revision,
    },
    /// Another process runs under this node's id with a higher incarnation.
    Superseded,
}

/// The membership table of this node.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    own: Row,
    members: SortedMap<NodeId, Member>,
    seeds: Vec<SocketAddr>,
    vms: Vec<VmHint>,
    usage: Vec<OrganisationUsage>,
    crashes: Vec<CrashCount>,
    last_tick: Instant,
    /// Number of heartbeats and replies created.
    messages: u64,
    /// Members by the number that identifies their process in heartbeat counters.
    by_process: SortedMap<u32, NodeId>,
}

impl Membership {
    /// Creates the table of a process that starts at `now`; `seeds` come from the settings.
    pub fn new(own: Row, seeds: Vec<SocketAddr>, config: MembershipConfig, now: Instant) -> Self {
        Self {
            config,
            own,
            members: SortedMap::new(),
            seeds,
            vms: Vec::new(),
            usage: Vec::new(),
            crashes: Vec::new(),
            last_tick: now,
            messages: 0,
            by_process: SortedMap::new(),
        }
    }

    /// Returns this node's row.
    pub fn own(&self) -> &Row {
        &self.own
    }

    /// Returns a member.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns all members except this node, in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Sets the revision of the active configuration.
    pub fn set_revision(&mut self, revision: Revision) {
        self.own.revision = revision;
    }

    /// Sets this node's state.
    pub fn set_state(&mut self, state: RowState) {
        self.own.state = state;
    }

    /// Sets this node's load.
    pub fn set_load(&mut self, load: LoadSummary) {
        self.own.load = load;
    }

    /// Sets the usage of this node by organisations, the most important first.
    pub fn set_usage(&mut self, usage: Vec<OrganisationUsage>) {
        self.usage = usage;
    }

    /// Sets the crashes that this node counted, the most important first.
    pub fn set_crashes(&mut self, crashes: Vec<CrashCount>) {
        self.crashes = crashes;
    }

    /// Sets the platform's list of VMs.
    ///
    /// The list lags, so a member whose VM is missing from it is not considered dead, nor one whose
    /// VM is on it alive.
    pub fn set_vms(&mut self, vms: Vec<VmHint>) {
        for member in self.members.values_mut() {
            let is_member = |vm: &&VmHint| vm.peer_address == member.row.peer_address;
            member.vm_leaving = vms.iter().find(is_member).is_some_and(|vm| vm.leaving);
        }
        self.vms = vms;
    }

    /// Raises this node's counter, updates the states and selects the targets of heartbeats; the
    /// caller does this each second.
    pub fn tick(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Vec<HeartbeatTarget>, Vec<MemberEvent>) {
        self.own.heartbeat += 1;
        self.extend_after_pause(now);
        self.last_tick = now;
        let events = self.update_states(now);
        let own_address = self.own.peer_address;
        let vms = self.vms.iter().map(|vm| vm.peer_address);
        let mut hints: Vec<SocketAddr> = self.seeds.iter().copied().chain(vms).collect();
        hints.retain(|&address| address != own_address);
        let targets =
            select_targets(&self.members, &hints, &self.own.zone, self.own.heartbeat, rng);
        (targets, events)
    }

    /// Creates the heartbeat for a target.
    ///
    /// It contains counters, those of this zone first and then the least recently forwarded, and the
    /// rows that were forwarded least often since their content changed. Usage and crash counts are
    /// sent only within the zone.
    pub fn heartbeat(&mut self, target: &HeartbeatTarget) -> Heartbeat {
        let member = target.node.as_ref().and_then(|node| self.members.get(node));
        let is_same_zone = member.is_none_or(|member| member.row.zone == self.own.zone);
        let heartbeat = match is_same_zone {
            true => Heartbeat::new(self.own.clone(), &self.usage, &self.crashes),
            false => Heartbeat::new(self.own.clone(), &[], &[]),
        };
        self.fill(heartbeat, MAX_HEARTBEAT_BYTES)
    }

    /// Creates the reply to a heartbeat, without usage and crash counts.
    ///
    /// Heartbeats from others arrive at random, so the replies ensure that a node receives forwarded
    /// counters and rows whenever it sends a heartbeat.
    pub fn reply(&mut self) -> Heartbeat {
        let heartbeat = Heartbeat::new(self.own.clone(), &[], &[]);
        self.fill(heartbeat, MAX_REPLY_BYTES)
    }

    fn fill(&mut self, mut heartbeat: Heartbeat, max_bytes: usize) -> Heartbeat {
        // The row of a suspect or dead member is not forwarded: it has nothing new, and an old copy
        // must not return to a node that has forgotten the member.
        let is_forwarded =
            |member: &&mut Member| matches!(member.state, MemberState::Alive | MemberState::Left);
        let own_zone = &self.own.zone;
        let mut forwarded: Vec<&mut Member> =
            self.members.values_mut().filter(is_forwarded).collect();
        forwarded.sort_by_key(|member| (member.row.zone != *own_zone, member.last_message));
        heartbeat
            .fill_counters(forwarded.iter().map(|member| member.heartbeat_counter()), max_bytes);
        self.messages += 1;
        for member in forwarded.iter_mut().take(heartbeat.counters.len()) {
            member.last_message = self.messages;
        }
        forwarded.sort_by_key(|member| (member.times_forwarded, Reverse(member.heard_at)));
        heartbeat.fill_rows(forwarded.iter().map(|member| &member.row), max_bytes);
        for member in forwarded.iter_mut().take(heartbeat.rows.len()) {
            member.times_forwarded += 1;
        }
        heartbeat
    }

    /// Merges a received heartbeat or reply.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        if self.is_newer(&heartbeat.own) {
            self.mark_replaced_dead(&heartbeat.own, now, &mut events);
        }
        self.merge_row(&heartbeat.own, now, &mut events);
        for row in &heartbeat.rows {
            self.merge_row(row, now, &mut events);
        }
        for counter in &heartbeat.counters {
            self.merge_counter(counter, now, &mut events);
        }
        let own = &heartbeat.own;
        if own.revision > self.own.revision && own.node != self.own.node {
            let (node, address) = (own.node.clone(), own.peer_address);
            events.push(MemberEvent::NewerRevision { node, address, revision: own.revision });
        }
        events
    }

    fn merge_row(&mut self, row: &Row, now: Instant, events: &mut Vec<MemberEvent>) {
        if row.node == self.own.node {
            return self.merge_own_row(row, events);
        }
        if !self.is_newer(row) {
            return;
        }
        let Some(member) = self.members.get_mut(&row.node) else {
            return self.add_member(row, now, events);
        };
        if row.incarnation > member.row.incarnation {
            self.by_process.remove(&process_id(&member.row));
            self.by_process.get_or_insert_with(process_id(row), || row.node.clone());
        }
        if member.replace_row(row, now) {
            events.push(member.changed_event());
        }
    }

    fn add_member(&mut self, row: &Row, now: Instant, events: &mut Vec<MemberEvent>) {
        if self.members.len() >= MAX_MEMBERS {
            return;
        }
        let is_leaving = |vm: &VmHint| vm.leaving && vm.peer_address == row.peer_address;
        let member = Member::new(row.clone(), self.vms.iter().any(is_leaving), now);
        events.push(member.changed_event());
        self.members.insert(row.node.clone(), member);
        self.by_process.get_or_insert_with(process_id(row), || row.node.clone());
    }

    fn merge_counter(
        &mut self,
        counter: &HeartbeatCounter,
        now: Instant,
        events: &mut Vec<MemberEvent>,
    ) {
        let node = self.by_process.get(&counter.process);
        let Some(member) = node.and_then(|node| self.members.get_mut(node)) else { return };
        if member.merge_counter(counter.heartbeat, now) {
            events.push(member.changed_event());
        }
    }

    fn is_newer(&self, row: &Row) -> bool {
        let known = self.members.get(&row.node);
        row.node != self.own.node && known.is_none_or(|member| row.is_newer_than(&member.row))
    }

    /// Merges a row of this node that others forward.
    ///
    /// A counter above this node's own is adopted, so that later heartbeats still count as newer.
    fn merge_own_row(&mut self, row: &Row, events: &mut Vec<MemberEvent>) {
        if row.incarnation > self.own.incarnation {
            events.push(MemberEvent::Superseded);
        } else if row.incarnation == self.own.incarnation {
            self.own.heartbeat = self.own.heartbeat.max(row.heartbeat);
        }
    }

    /// Marks members as dead whose address another node uses now.
    fn mark_replaced_dead(&mut self, sender: &Row, now: Instant, events: &mut Vec<MemberEvent>) {
        for member in self.members.values_mut() {
            let same_address = member.row.peer_address == sender.peer_address;
            if same_address && member.row.node != sender.node && member.is_present() {
                member.state = MemberState::Dead;
                member.ended_at = now;
                events.push(member.changed_event());
            }
        }
    }

    /// Sets the states of members by the time since their counters rose, and removes members that
    /// ended long ago.
    fn update_states(&mut self, now: Instant) -> Vec<MemberEvent> {
        let (config, own_zone) = (self.config, &self.own.zone);
        let mut events = Vec::new();
        self.members.retain(|_, member| {
            if !member.is_present() {
                let keep = now.ms_since(member.ended_at) < config.forget_after_ms;
                if !keep {
                    self.by_process.remove(&process_id(&member.row));
                }
                return keep;
            }
            let factor = config.factor(&member.row.zone, own_zone);
            let silent_ms = now.ms_since(member.heard_at) / factor;
            let state = match silent_ms {
                _ if silent_ms >= config.dead_after_ms => MemberState::Dead,
                _ if silent_ms >= config.suspect_after_ms => MemberState::Suspect,
                _ => MemberState::Alive,
            };
            if state != member.state {
                member.state = state;
                member.ended_at = now;
                events.push(member.changed_event());
            }
            true
        });
        events
    }

    /// Gives members time to be heard from after a pause of this process, in which it received
    /// nothing.
    ///
    /// They become suspect at once, so that rows from before the pause are not forwarded.
    fn extend_after_pause(&mut self, now: Instant) {
        let paused_ms = now.ms_since(self.last_tick);
        if paused_ms < self.config.suspect_after_ms {
            return;
        }
        let (config, own_zone) = (self.config, &self.own.zone);
        for member in self.members.values_mut().filter(|member| member.is_present()) {
            let silent_ms = config.suspect_after_ms * config.factor(&member.row.zone, own_zone);
            let heard_at = now.as_ms().saturating_sub(silent_ms);
            member.heard_at = member.heard_at.max(Instant::from_ms(heard_at));
        }
    }
}
