//! The members that this node knows.

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
use super::targets::{HeartbeatTarget, VmHint, choose};

/// Most members in memory: several times the target of 340.
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
    /// Sets after which silence a member is suspect; 3 s by default.
    pub fn suspect_after_ms(mut self, ms: u64) -> Self {
        self.suspect_after_ms = ms;
        self
    }

    /// Sets after which silence a member is dead; 6 s by default.
    pub fn dead_after_ms(mut self, ms: u64) -> Self {
        self.dead_after_ms = ms;
        self
    }

    /// Sets how long the row of a dead member is kept, so that an old copy of it is recognised; 60 s
    /// by default.
    pub fn forget_after_ms(mut self, ms: u64) -> Self {
        self.forget_after_ms = ms;
        self
    }

    /// Sets by how much longer a member of another zone may be silent; 3 by default.
    ///
    /// A heartbeat leaves the zone only every two seconds, and at 340 nodes it has no room for the
    /// counters of all other zones.
    pub fn other_zone_factor(mut self, factor: u64) -> Self {
        self.other_zone_factor = factor;
        self
    }

    fn factor(&self, zone: &ZoneId, own_zone: &ZoneId) -> u64 {
        if zone == own_zone { 1 } else { self.other_zone_factor.max(1) }
    }
}

/// Something that the daemon has to know.
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

/// The members that this node knows.
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
    /// Counts the heartbeats and replies that were made.
    messages: u64,
    /// Members by the number that stands for them in pulses.
    by_process: SortedMap<u32, NodeId>,
}

impl Membership {
    /// Makes the table of a process that starts at `now`; `seeds` come from settings.
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

    /// Returns all members, in the order of their ids, without this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Sets the revision of the active configuration.
    pub fn set_revision(&mut self, revision: Revision) {
        self.own.revision = revision;
    }

    /// Sets what this node says about its own life.
    pub fn set_state(&mut self, state: RowState) {
        self.own.state = state;
    }

    /// Sets this node's load.
    pub fn set_load(&mut self, load: LoadSummary) {
        self.own.load = load;
    }

    /// Sets what organisations use of this node, the most important first.
    pub fn set_usage(&mut self, usage: Vec<OrganisationUsage>) {
        self.usage = usage;
    }

    /// Sets the crashes that this node saw, the most important first.
    pub fn set_crashes(&mut self, crashes: Vec<CrashCount>) {
        self.crashes = crashes;
    }

    /// Takes the platform's list of VMs.
    ///
    /// A VM that is missing from it is not taken for dead, and one that is on it not for alive,
    /// since the list lags.
    pub fn set_vms(&mut self, vms: Vec<VmHint>) {
        for member in self.members.values_mut() {
            let is_member = |vm: &&VmHint| vm.peer_address == member.row.peer_address;
            member.vm_leaving = vms.iter().find(is_member).is_some_and(|vm| vm.leaving);
        }
        self.vms = vms;
    }

    /// Counts a heartbeat, updates the states and chooses where heartbeats go; called each second.
    pub fn tick(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Vec<HeartbeatTarget>, Vec<MemberEvent>) {
        self.own.heartbeat += 1;
        self.forgive_pause(now);
        self.last_tick = now;
        let events = self.update_states(now);
        let own_address = self.own.peer_address;
        let vms = self.vms.iter().map(|vm| vm.peer_address);
        let mut hints: Vec<SocketAddr> = self.seeds.iter().copied().chain(vms).collect();
        hints.retain(|&address| address != own_address);
        let targets = choose(&self.members, &hints, &self.own.zone, self.own.heartbeat, rng);
        (targets, events)
    }

    /// Makes the heartbeat for a target.
    ///
    /// It has the counters of this zone, then those of others that were passed on the longest time
    /// ago, and the rows that were passed on least often since their content changed. Usage and
    /// crash counts are shared in the zone only.
    pub fn heartbeat(&mut self, target: &HeartbeatTarget) -> Heartbeat {
        let member = target.node.as_ref().and_then(|node| self.members.get(node));
        let is_near = member.is_none_or(|member| member.row.zone == self.own.zone);
        let heartbeat = match is_near {
            true => Heartbeat::new(self.own.clone(), &self.usage, &self.crashes),
            false => Heartbeat::new(self.own.clone(), &[], &[]),
        };
        self.filled(heartbeat, MAX_HEARTBEAT_BYTES)
    }

    /// Makes the reply to a heartbeat, which has no usage and no crash counts.
    ///
    /// Who sends a heartbeat thus hears something each time, while heartbeats from others arrive by
    /// chance.
    pub fn reply(&mut self) -> Heartbeat {
        let heartbeat = Heartbeat::new(self.own.clone(), &[], &[]);
        self.filled(heartbeat, MAX_REPLY_BYTES)
    }

    fn filled(&mut self, mut heartbeat: Heartbeat, max_bytes: usize) -> Heartbeat {
        // A suspect or dead member's row is not passed on: it tells nothing new, and an old copy
        // must not come back to a node that has forgotten it.
        let is_news =
            |member: &&mut Member| matches!(member.state, MemberState::Alive | MemberState::Left);
        let own_zone = &self.own.zone;
        let mut news: Vec<&mut Member> = self.members.values_mut().filter(is_news).collect();
        news.sort_by_key(|member| (member.row.zone != *own_zone, member.pulse_sent));
        heartbeat.fill_counters(news.iter().map(|member| member.pulse()), max_bytes);
        self.messages += 1;
        for member in news.iter_mut().take(heartbeat.counters.len()) {
            member.pulse_sent = self.messages;
        }
        news.sort_by_key(|member| (member.passed_on, Reverse(member.heard_at)));
        heartbeat.fill_rows(news.iter().map(|member| &member.row), max_bytes);
        for member in news.iter_mut().take(heartbeat.rows.len()) {
            member.passed_on += 1;
        }
        heartbeat
    }

    /// Takes a heartbeat.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        if self.is_news(&heartbeat.own) {
            self.end_replaced(&heartbeat.own, now, &mut events);
        }
        self.take_row(&heartbeat.own, now, &mut events);
        for row in &heartbeat.rows {
            self.take_row(row, now, &mut events);
        }
        for pulse in &heartbeat.counters {
            self.take_pulse(pulse, now, &mut events);
        }
        let own = &heartbeat.own;
        if own.revision > self.own.revision && own.node != self.own.node {
            let (node, address) = (own.node.clone(), own.peer_address);
            events.push(MemberEvent::NewerRevision { node, address, revision: own.revision });
        }
        events
    }

    fn take_row(&mut self, row: &Row, now: Instant, events: &mut Vec<MemberEvent>) {
        if row.node == self.own.node {
            return self.take_own_row(row, events);
        }
        if !self.is_news(row) {
            return;
        }
        let Some(member) = self.members.get_mut(&row.node) else {
            return self.add_member(row, now, events);
        };
        if row.incarnation > member.row.incarnation {
            self.by_process.remove(&process_id(&member.row));
            self.by_process.get_or_insert_with(process_id(row), || row.node.clone());
        }
        if member.take_row(row, now) {
            events.push(member.changed());
        }
    }

    fn add_member(&mut self, row: &Row, now: Instant, events: &mut Vec<MemberEvent>) {
        if self.members.len() >= MAX_MEMBERS {
            return;
        }
        let is_leaving = |vm: &VmHint| vm.leaving && vm.peer_address == row.peer_address;
        let member = Member::new(row.clone(), self.vms.iter().any(is_leaving), now);
        events.push(member.changed());
        self.members.insert(row.node.clone(), member);
        self.by_process.get_or_insert_with(process_id(row), || row.node.clone());
    }

    fn take_pulse(
        &mut self,
        pulse: &HeartbeatCounter,
        now: Instant,
        events: &mut Vec<MemberEvent>,
    ) {
        let node = self.by_process.get(&pulse.process);
        let Some(member) = node.and_then(|node| self.members.get_mut(node)) else { return };
        if member.take_counter(pulse.heartbeat, now) {
            events.push(member.changed());
        }
    }

    fn is_news(&self, row: &Row) -> bool {
        let known = self.members.get(&row.node);
        row.node != self.own.node && known.is_none_or(|member| row.is_newer_than(&member.row))
    }

    /// Takes a row about this node from others.
    fn take_own_row(&mut self, row: &Row, events: &mut Vec<MemberEvent>) {
        if row.incarnation > self.own.incarnation {
            events.push(MemberEvent::Superseded);
        } else if row.incarnation == self.own.incarnation {
            self.own.heartbeat = self.own.heartbeat.max(row.heartbeat);
        }
    }

    /// Ends the members that had the address from which another node sends now.
    fn end_replaced(&mut self, sender: &Row, now: Instant, events: &mut Vec<MemberEvent>) {
        for member in self.members.values_mut() {
            let same_address = member.row.peer_address == sender.peer_address;
            if same_address && member.row.node != sender.node && member.is_present() {
                member.state = MemberState::Dead;
                member.ended_at = now;
                events.push(member.changed());
            }
        }
    }

    /// Makes members suspect or dead by the time since their counters rose, and forgets old ones.
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
                events.push(member.changed());
            }
            true
        });
        events
    }

    /// Gives members time to be heard after this process was paused, when it could hear nobody.
    ///
    /// They are suspect at once, so that rows from before the pause are not passed on.
    fn forgive_pause(&mut self, now: Instant) {
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
