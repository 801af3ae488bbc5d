//! A model of nodes that follow relays, in virtual time: an origin with changes, calls and replies
//! that take time, nodes that are frozen, killed, or cut off from the origin, and an origin that comes back
//! from an older copy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::relay::{
    ChangeSource, EraStep, OriginRead, RelayFailure, RelayItem, RelaySources, RelayTopics,
    RelayedEntry, TopicRequest, TopicUpdate,
};
use yuccapass_types::{Bytes, Instant, NodeId};

/// Length of a step of the model.
const STEP_MS: u64 = 50;

/// How long a call to the origin waits for changes, at a relay and at other nodes.
const WATCH_MS: (u64, u64) = (900, 1_800);

/// How long the first call of a node to the origin after it has followed a relay waits.
const FIRST_WATCH_MS: u64 = 100;

/// How long a relay holds a request without news.
const HOLD_MS: u64 = 250;

/// Timeout of a request to a relay.
const RELAY_TIMEOUT_MS: u64 = 700;

/// Maximum age of what a relay knows.
const MAX_AGE_MS: u64 = 2_800;

/// Time for which a node must have been undisturbed before it has to know a change.
const STABLE_MS: u64 = 4_000;

/// Time in which an undisturbed node has to know a change.
const APPLY_MS: u64 = 4_000;

/// Time for which a node may use keys after they were confirmed.
const KEY_VALIDITY_MS: u64 = 4_700;

/// Changes that a restoration of the origin loses, and those that are written again at once. The origin has
/// more changes after it than before, so its positions don't show that it went back.
const LOST_CHANGES: usize = 4;
const REWRITTEN_CHANGES: usize = 6;

/// Pause of a node before it lists again, which is longer by a random part of it.
const LIST_PAUSE_MS: u64 = 150;

/// A guard that is taken out to see that the model notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// All guards are in place.
    Complete,
    /// A follower takes the receipt of a reply as the time of its confirmation.
    WithoutAge,
    /// A follower accepts a relay's knowledge of any age.
    WithoutMaxAge,
    /// A follower waits for a relay without limit.
    WithoutTimeout,
    /// A follower that goes to the origin waits there as long as any other node.
    WithoutShortFirstWatch,
    /// Positions are used without their era.
    WithoutEras,
}

/// What a run of the model has shown.
#[derive(Debug, Default)]
pub struct Report {
    /// The first broken rule, if any.
    pub violation: Option<String>,
    /// Calls to the origin.
    pub origin_calls: u64,
    /// Those of them that were lists.
    pub origin_lists: u64,
}

struct PendingRequest {
    relay: usize,
    sent_at: Instant,
    request: TopicRequest,
    received_at: Option<Instant>,
    /// When the reply arrives, how long the request was held, and what the relay knows.
    reply: Option<(Instant, u64, Option<TopicUpdate>)>,
}

struct Node {
    id: NodeId,
    zone: usize,
    sources: RelaySources,
    topics: RelayTopics,
    position: Option<u64>,
    /// The era of the position.
    era: u64,
    /// The changes up to the position, in their order.
    known: Vec<u64>,
    confirmed_at: Option<Instant>,
    list_at: Instant,
    /// Whether the node waits for its relay and does not read from the origin.
    is_following: bool,
    was_following: bool,
    /// Whether the relay does not send the changes, so that they are read from the origin.
    needs_origin: bool,
    /// When the call to the origin was sent that is not answered yet.
    origin_sent_at: Option<Instant>,
    relay_request: Option<PendingRequest>,
    frozen_until: Instant,
    dead_until: Instant,
    cut_until: Instant,
    undisturbed_since: Instant,
}

impl Node {
    fn new(number: usize, zone: usize, now: Instant) -> Self {
        let id: NodeId = format!("node-{number:03}").parse().unwrap();
        Self {
            sources: RelaySources::new(id.clone()),
            id,
            zone,
            topics: RelayTopics::default(),
            position: None,
            era: 0,
            known: Vec::new(),
            confirmed_at: None,
            list_at: now,
            is_following: false,
            was_following: false,
            needs_origin: false,
            origin_sent_at: None,
            relay_request: None,
            frozen_until: now,
            dead_until: now,
            cut_until: now,
            undisturbed_since: now,
        }
    }

    fn runs(&self, now: Instant) -> bool {
        self.frozen_until <= now && self.dead_until <= now
    }
}

/// The model.
pub struct Model {
    guard: Guard,
    random: StdRng,
    now: Instant,
    nodes: Vec<Node>,
    /// The id of each revision's change and when it was committed; revisions begin at 1.
    changes: Vec<(u64, Instant)>,
    next_change: u64,
    era: u64,
    restored_at: Instant,
    /// When the origin comes back from an older copy; the next one is last.
    restorations: Vec<Instant>,
    report: Report,
}

fn topic() -> smol_str::SmolStr {
    "keys:op/".into()
}

/// Returns the changes that items stand for.
fn ids_of<'a>(items: impl Iterator<Item = &'a RelayItem>) -> Vec<u64> {
    let id = |item: &RelayItem| match item {
        RelayItem::Entry(entry) => entry
            .value
            .as_ref()
            .map(|value| u64::from_le_bytes(value.as_slice().try_into().unwrap())),
        RelayItem::Reference(_) | RelayItem::Part(_) => None,
    };
    items.filter_map(id).collect()
}

fn later(instant: Instant, ms: u64) -> Instant {
    Instant::from_ms(instant.as_ms() + ms)
}

impl Model {
    /// Creates a model of `nodes` nodes in each of `zones` zones.
    pub fn new(zones: usize, nodes: usize, seed: u64, guard: Guard) -> Self {
        let now = Instant::from_ms(100_000);
        let nodes = (0..zones * nodes).map(|number| Node::new(number, number / nodes, now));
        Self {
            guard,
            random: StdRng::seed_from_u64(seed),
            now,
            nodes: nodes.collect(),
            changes: Vec::new(),
            next_change: 0,
            era: 0,
            restored_at: now,
            restorations: Vec::new(),
            report: Report::default(),
        }
    }

    /// Lets the origin come back from an older copy at these times since the beginning.
    pub fn restore_at_ms(mut self, times: &[u64]) -> Self {
        self.restorations = times.iter().rev().map(|&ms| later(self.now, ms)).collect();
        self
    }

    /// Cuts a node off from the origin between these times since the beginning.
    pub fn cut_off(mut self, number: usize, until_ms: u64) -> Self {
        let until = later(self.now, until_ms);
        self.nodes[number].cut_until = until;
        self.nodes[number].undisturbed_since = until;
        self
    }

    /// Runs the model; `faults_per_s` is the mean number of faults in each zone.
    pub fn run(mut self, seconds: u64, faults_per_s: f64) -> Report {
        let end = later(self.now, seconds * 1_000);
        while self.now < end && self.report.violation.is_none() {
            self.now = later(self.now, STEP_MS);
            if self.random.random_bool(0.02) {
                self.commit();
            }
            if self.restorations.pop_if(|at| *at <= self.now).is_some() {
                self.restore();
            }
            self.inject_faults(faults_per_s);
            for number in 0..self.nodes.len() {
                if self.nodes[number].runs(self.now) {
                    self.step(number);
                }
            }
            self.check();
        }
        self.report
    }

    fn commit(&mut self) {
        self.next_change += 1;
        self.changes.push((self.next_change, self.now));
    }

    fn restore(&mut self) {
        self.changes.truncate(self.changes.len().saturating_sub(LOST_CHANGES));
        self.era += 1;
        self.restored_at = self.now;
        (0..REWRITTEN_CHANGES).for_each(|_| self.commit());
    }

    /// Returns the era that the origin names in its answers.
    fn named_era(&self) -> u64 {
        if self.guard == Guard::WithoutEras { 0 } else { self.era }
    }

    /// Faults hit the relays, which come first in their zones, as often as all other nodes.
    fn inject_faults(&mut self, faults_per_s: f64) {
        let zones = self.nodes.last().map_or(0, |node| node.zone + 1);
        let per_zone = self.nodes.len() / zones.max(1);
        for zone in 0..zones {
            if !self.random.random_bool((faults_per_s * STEP_MS as f64 / 1_000.0).min(1.0)) {
                continue;
            }
            let among = if self.random.random_bool(0.5) { 2.min(per_zone) } else { per_zone };
            let number = zone * per_zone + self.random.random_range(0..among);
            let until = later(self.now, self.random.random_range(500..5_000));
            let kind = self.random.random_range(0..3);
            let now = self.now;
            let node = &mut self.nodes[number];
            match kind {
                0 => node.frozen_until = until,
                1 => {
                    let zone = node.zone;
                    *node = Node::new(number, zone, now);
                    node.dead_until = until;
                }
                _ => node.cut_until = until,
            }
            node.undisturbed_since = node.undisturbed_since.max(until);
        }
    }

    /// A node asks its relays, and reads from the origin at the same time unless it follows one.
    fn step(&mut self, number: usize) {
        match self.nodes[number].relay_request.take() {
            None => self.ask_relay(number),
            Some(request) => self.await_relay(number, request),
        }
        let node = &self.nodes[number];
        if node.is_following && !node.needs_origin && node.position.is_some() {
            self.nodes[number].origin_sent_at = None;
            return;
        }
        match self.nodes[number].origin_sent_at.take() {
            None => self.call_origin(number),
            Some(sent_at) => self.await_origin(number, sent_at),
        }
    }

    fn zone_nodes(&self, zone: usize) -> Vec<NodeId> {
        let nodes = self.nodes.iter().filter(|node| node.zone == zone);
        nodes.map(|node| node.id.clone()).collect()
    }

    fn call_origin(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.position.is_none() && now < node.list_at {
            return;
        }
        node.origin_sent_at = Some(now);
        self.report.origin_calls += 1;
    }

    /// Asks the relay of a node that has listed; the first list always comes from the origin.
    fn ask_relay(&mut self, number: usize) {
        let zone_nodes = self.zone_nodes(self.nodes[number].zone);
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(after) = node.position else { return };
        if let Some(confirmed_at) = node.confirmed_at {
            node.sources.record_confirmed(confirmed_at);
        }
        let relay = match node.sources.choose(&zone_nodes, now) {
            ChangeSource::Relay(relay) => relay,
            ChangeSource::Origin => {
                node.is_following = false;
                return;
            }
            ChangeSource::Wait => {
                (node.is_following, node.was_following) = (true, true);
                node.needs_origin = false;
                node.topics.record_all_lost();
                return;
            }
        };
        let request = TopicRequest { topic: topic(), epoch: node.era, after };
        let relay = self.nodes.iter().position(|node| node.id == relay).unwrap();
        self.nodes[number].relay_request =
            Some(PendingRequest { relay, sent_at: now, request, received_at: None, reply: None });
    }

    fn await_origin(&mut self, number: usize, sent_at: Instant) {
        let newest = self.changes.len() as u64;
        let node = &self.nodes[number];
        let is_relay = number % (self.nodes.len() / (self.nodes.last().unwrap().zone + 1)) < 2;
        let watch_ms = match (node.was_following, is_relay) {
            (true, _) if self.guard != Guard::WithoutShortFirstWatch => FIRST_WATCH_MS,
            (_, true) => WATCH_MS.0,
            (_, false) => WATCH_MS.1,
        };
        let waited_ms = self.now.ms_since(sent_at);
        let has_answer = node.position.is_none_or(|position| position < newest);
        if node.cut_until > self.now {
            // The call ends at its deadline without an answer.
            if waited_ms < watch_ms {
                self.nodes[number].origin_sent_at = Some(sent_at);
            }
            return;
        }
        if !has_answer && waited_ms < watch_ms {
            self.nodes[number].origin_sent_at = Some(sent_at);
            return;
        }
        let epoch = self.named_era();
        // The origin does not have the position, or it has one of another era.
        if node.position.is_some_and(|position| node.era != epoch || position > newest) {
            return self.list_again(number);
        }
        let from = node.position.unwrap_or(newest);
        let entry = |revision: u64| {
            let value = Some(self.changes[revision as usize - 1].0.to_le_bytes().to_vec());
            (revision, RelayItem::Entry(RelayedEntry { key: "key".into(), value, revision }))
        };
        let items: Vec<(u64, RelayItem)> = (from + 1..=newest).map(entry).collect();
        let ids = match node.position {
            Some(_) => ids_of(items.iter().map(|(_, item)| item)),
            None => self.changes.iter().map(|(id, _)| *id).collect(),
        };
        let is_list = node.position.is_none();
        let read = OriginRead { epoch, from, to: newest, items, sent_at, clock_ms: None };
        let now = self.now;
        let node = &mut self.nodes[number];
        node.topics.record_read(&topic(), read, now);
        (node.was_following, node.needs_origin) = (false, false);
        node.era = epoch;
        if is_list {
            node.known.clear();
            self.report.origin_lists += 1;
        }
        self.apply(number, &ids, newest, sent_at);
    }

    /// Lets a node list again, after a pause.
    fn list_again(&mut self, number: usize) {
        let pause_ms = LIST_PAUSE_MS + self.random.random_range(0..LIST_PAUSE_MS);
        let list_at = later(self.now, pause_ms);
        let node = &mut self.nodes[number];
        (node.position, node.list_at) = (None, list_at);
        (node.is_following, node.origin_sent_at) = (false, None);
    }

    fn await_relay(&mut self, number: usize, mut pending: PendingRequest) {
        let now = self.now;
        if let Some((arrives_at, held_ms, update)) = &pending.reply
            && *arrives_at <= now
        {
            let Some(update) = update else {
                return self.fail(number, pending.relay, RelayFailure::Outdated);
            };
            let confirmed_at = match self.guard {
                Guard::WithoutAge => now,
                _ => update.confirmed_at(pending.sent_at, *held_ms),
            };
            let is_recent = now.ms_since(confirmed_at) <= MAX_AGE_MS;
            if is_recent || self.guard == Guard::WithoutMaxAge {
                let has_items = update.items.is_some();
                match EraStep::of(pending.request.epoch, update.epoch, has_items) {
                    EraStep::Apply => {}
                    // The relays of the model list without telling what is different.
                    EraStep::Cross | EraStep::ListAgain => return self.list_again(number),
                    EraStep::Refuse => {
                        return self.fail(number, pending.relay, RelayFailure::Outdated);
                    }
                }
                let relay = self.nodes[pending.relay].id.clone();
                let node = &mut self.nodes[number];
                node.sources.record_success(&relay, confirmed_at);
                node.topics.record_all_lost();
                (node.is_following, node.was_following) = (true, true);
                let is_for_position = node.position == Some(pending.request.after)
                    && node.era == pending.request.epoch;
                match &update.items {
                    Some(items) if is_for_position => {
                        node.needs_origin = false;
                        node.era = update.epoch;
                        let ids = ids_of(items.iter());
                        self.apply(number, &ids, update.end, confirmed_at);
                    }
                    Some(_) => {}
                    None => node.needs_origin = true,
                }
                return;
            }
            return self.fail(number, pending.relay, RelayFailure::Outdated);
        }
        if now.ms_since(pending.sent_at) > RELAY_TIMEOUT_MS && self.guard != Guard::WithoutTimeout {
            return self.fail(number, pending.relay, RelayFailure::Silent);
        }
        self.serve(&mut pending);
        self.nodes[number].relay_request = Some(pending);
    }

    /// Lets the relay receive a request, and reply to it.
    fn serve(&mut self, pending: &mut PendingRequest) {
        let now = self.now;
        let relay = &self.nodes[pending.relay];
        if !relay.runs(now) || pending.reply.is_some() {
            return;
        }
        let received_at = *pending.received_at.get_or_insert(now);
        let has_news = relay.topics.has_news(&pending.request);
        if !has_news && now.ms_since(received_at) < HOLD_MS {
            return;
        }
        let mut budget = Bytes::new(1 << 20);
        let update = relay.topics.answer(&pending.request, &mut budget, now);
        // Some replies are slow: their follower may be frozen, or the network busy.
        let slow = self.random.random_bool(0.02);
        let delay_ms = if slow { self.random.random_range(0..3_000) } else { 0 };
        let held_ms = now.ms_since(received_at);
        pending.reply = Some((later(now, delay_ms), held_ms, update));
    }

    fn fail(&mut self, number: usize, relay: usize, failure: RelayFailure) {
        let random = self.random.random_range(0.0..1.0);
        let relay = self.nodes[relay].id.clone();
        let now = self.now;
        self.nodes[number].sources.record_failure(relay, failure, random, now);
        self.nodes[number].was_following |= self.nodes[number].is_following;
    }

    fn apply(&mut self, number: usize, ids: &[u64], end: u64, confirmed_at: Instant) {
        let node = &mut self.nodes[number];
        node.known.extend(ids);
        if node.position.is_some_and(|position| end < position) {
            self.report.violation = Some(format!("{} went back to {end}", node.id));
        }
        node.position = Some(end);
        node.confirmed_at = node.confirmed_at.max(Some(confirmed_at));
    }

    fn check(&mut self) {
        let now = self.now;
        for node in self.nodes.iter().filter(|node| node.runs(now)) {
            // A node that knows changes which the origin has lost knows nothing from the restoration on.
            let history = self.changes.iter().map(|(id, _)| id).take(node.known.len());
            let first_unknown = match history.eq(&node.known) {
                true => self.changes.get(node.known.len()).map(|(_, at)| *at),
                false => Some(self.restored_at),
            };
            let is_unsound = matches!(
                (first_unknown, node.confirmed_at),
                (Some(change), Some(confirmed)) if node.position.is_some() && change < confirmed
            );
            let is_stable =
                node.undisturbed_since <= now && now.ms_since(node.undisturbed_since) > STABLE_MS;
            let is_late =
                first_unknown.is_some_and(|change| now.ms_since(change) > APPLY_MS) && is_stable;
            let is_refusing =
                is_stable && node.confirmed_at.is_none_or(|at| now.ms_since(at) > KEY_VALIDITY_MS);
            for (is_broken, rule) in [
                (is_unsound, "takes an unread change as confirmed"),
                (is_late, "does not know a change in time"),
                (is_refusing, "refuses keys although it is undisturbed"),
            ] {
                if is_broken && self.report.violation.is_none() {
                    self.report.violation = Some(format!("{} {rule}", node.id));
                }
            }
        }
    }
}
