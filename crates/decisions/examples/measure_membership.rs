//! Measures the traffic of heartbeats and how fast changes spread, for fleets of several sizes.
//!
//! ```text
//! cargo run --release -p yuccapass-decisions --example measure_membership -- [NODES...]
//! ```
//!
//! The fleet is simulated in memory with a message loss of 1 %. For each number of nodes and each of
//! three seeds the simulation warms up for 60 s, counts traffic and false suspicions for 60 s,
//! publishes a revision at one node, and then stops another node. The program prints the worst
//! figures of the three seeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant as WallInstant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::membership::{
    Heartbeat, HeartbeatTarget, LoadSummary, MemberEvent, MemberState, Membership,
    MembershipConfig, OrganisationUsage, Row, RowState,
};
use yuccapass_types::{Incarnation, Instant, Revision, TokensPerSecond};

const SEEDS: [u64; 3] = [1, 2, 3];
const LOSS: f64 = 0.01;
const WARM_UP_MS: u64 = 60_000;
const QUIET_MS: u64 = 60_000;
/// Maximum time for all nodes to learn of a revision or a stopped node.
const SPREAD_LIMIT_MS: u64 = 120_000;
/// Bytes per message beside the heartbeat: the frame's envelope and length, and the TCP and IP
/// headers with an acknowledgement.
const OVERHEAD_BYTES: usize = 30 + 4 + 80;

enum Event {
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        heartbeat: Box<Heartbeat>,
        is_reply: bool,
    },
    /// A node has fetched the configuration of another node.
    Fetched {
        node: usize,
        revision: Revision,
    },
}

#[derive(Default, Clone, Copy)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

struct Node {
    membership: Membership,
    sent: Traffic,
    received: Traffic,
    suspects: usize,
    deaths: usize,
}

struct Simulation {
    rng: StdRng,
    now_ms: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free_slots: Vec<usize>,
    nodes: Vec<Node>,
    stopped: Option<usize>,
}

#[derive(Default)]
struct Figures {
    sent_bytes_per_s: f64,
    busiest_bytes_per_s: f64,
    messages_per_s: f64,
    suspects: usize,
    deaths: usize,
    revision_ms: Option<u64>,
    dead_in_zone_ms: Option<u64>,
    dead_everywhere_ms: Option<u64>,
    us_per_node_s: f64,
}

fn zones(count: usize) -> usize {
    if count < 24 { 3 } else { 6 }
}

fn address(index: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn row(index: usize, count: usize) -> Row {
    let zone = format!("zone-{}", index % zones(count));
    Row {
        node: format!("{zone}-node-{index}").parse().expect("valid id"),
        incarnation: Incarnation::new(1_790_000_000),
        heartbeat: 0,
        zone: zone.parse().expect("valid id"),
        peer_address: address(index),
        admin_address: address(index),
        revision: Revision::new(1_000),
        state: RowState::Up,
        load: LoadSummary {
            running_requests: 120,
            queued_requests: 10,
            tokens_per_s: TokensPerSecond::new(4_400),
        },
    }
}

fn node(index: usize, count: usize) -> Node {
    let seeds = (0..3.min(count)).map(address).collect();
    let config = MembershipConfig::default();
    let mut membership = Membership::new(row(index, count), seeds, config, Instant::from_ms(0));
    let usage = |number: usize| OrganisationUsage {
        organisation: format!("organisation-{number}").parse().expect("valid id"),
        tokens_per_s: TokensPerSecond::new(300),
    };
    membership.set_usage((0..32).map(usage).collect());
    let (sent, received) = (Traffic::default(), Traffic::default());
    Node { membership, sent, received, suspects: 0, deaths: 0 }
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            nodes: (0..count).map(|index| node(index, count)).collect(),
            stopped: None,
        };
        for index in 0..count {
            let phase_ms = simulation.rng.random_range(0..1_000);
            simulation.schedule(phase_ms, Event::Tick(index));
        }
        simulation
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse((ms, self.sequence, slot)));
    }

    /// Runs until `end_ms`, or until `done` returns true; returns whether it did.
    fn run_until(&mut self, end_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        while let Some(&Reverse((ms, _, slot))) = self.queue.peek() {
            if ms >= end_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = ms;
            self.free_slots.push(slot);
            let event = self.events[slot].take().expect("each slot is used once");
            if self.handle(event) && done(self) {
                return true;
            }
        }
        self.now_ms = end_ms;
        done(self)
    }

    /// Handles an event; returns whether a condition of [`Self::run_until`] may have changed.
    fn handle(&mut self, event: Event) -> bool {
        let now = Instant::from_ms(self.now_ms);
        match event {
            Event::Tick(index) => self.tick(index, now),
            Event::Deliver { from, to, heartbeat, is_reply } => {
                self.deliver(from, to, &heartbeat, is_reply)
            }
            Event::Fetched { node, revision } => {
                let membership = &mut self.nodes[node].membership;
                if membership.own().revision < revision {
                    membership.set_revision(revision);
                }
                true
            }
        }
    }

    fn tick(&mut self, index: usize, now: Instant) -> bool {
        if self.stopped == Some(index) {
            return false;
        }
        self.schedule(self.now_ms + 1_000, Event::Tick(index));
        let (targets, events) = self.nodes[index].membership.tick(now, &mut self.rng);
        self.send_heartbeats(index, &targets);
        self.count_events(index, &events)
    }

    fn send_heartbeats(&mut self, from: usize, targets: &[HeartbeatTarget]) {
        for target in targets {
            let heartbeat = self.nodes[from].membership.heartbeat(target);
            self.send_message(from, self.index_of(target.address), heartbeat, false);
        }
    }

    fn send_message(&mut self, from: usize, to: usize, heartbeat: Heartbeat, is_reply: bool) {
        let bytes = (heartbeat.encoded_bytes() + OVERHEAD_BYTES) as u64;
        let sent = &mut self.nodes[from].sent;
        (sent.messages, sent.bytes) = (sent.messages + 1, sent.bytes + bytes);
        if !self.rng.random_bool(LOSS) {
            let ms = self.now_ms + self.latency_ms(from, to);
            self.schedule(
                ms,
                Event::Deliver { from, to, heartbeat: Box::new(heartbeat), is_reply },
            );
        }
    }

    fn deliver(&mut self, from: usize, to: usize, heartbeat: &Heartbeat, is_reply: bool) -> bool {
        if self.stopped == Some(to) {
            return false;
        }
        let received = &mut self.nodes[to].received;
        received.messages += 1;
        received.bytes += (heartbeat.encoded_bytes() + OVERHEAD_BYTES) as u64;
        let now = Instant::from_ms(self.now_ms);
        let events = self.nodes[to].membership.receive(heartbeat, now);
        for event in &events {
            if let MemberEvent::NewerRevision { address, revision, .. } = event {
                self.fetch(to, self.index_of(*address), *revision);
            }
        }
        if !is_reply {
            let reply = self.nodes[to].membership.reply();
            self.send_message(to, from, reply, true);
        }
        self.count_events(to, &events)
    }

    /// Fetches a configuration by a request and a reply, either of which may be lost.
    fn fetch(&mut self, node: usize, from: usize, revision: Revision) {
        let is_lost = self.rng.random_bool(LOSS) || self.rng.random_bool(LOSS);
        if !is_lost && self.stopped != Some(from) {
            let ms = self.now_ms + 2 * self.latency_ms(node, from);
            self.schedule(ms, Event::Fetched { node, revision });
        }
    }

    fn count_events(&mut self, index: usize, events: &[MemberEvent]) -> bool {
        let node = &mut self.nodes[index];
        for event in events {
            match event {
                MemberEvent::Changed { state: MemberState::Suspect, .. } => node.suspects += 1,
                MemberEvent::Changed { state: MemberState::Dead, .. } => node.deaths += 1,
                _ => {}
            }
        }
        !events.is_empty()
    }

    fn index_of(&self, address: std::net::SocketAddr) -> usize {
        let std::net::IpAddr::V4(ip) = address.ip() else { unreachable!("only IPv4 is used") };
        let [_, _, high, low] = ip.octets();
        usize::from(high) * 250 + usize::from(low)
    }

    /// Returns the latency between two nodes; each half of the zones is a region.
    fn latency_ms(&self, from: usize, to: usize) -> u64 {
        let zones = zones(self.nodes.len());
        let region = |index: usize| (index % zones) * 2 / zones;
        if region(from) == region(to) { 1 } else { 12 }
    }
}

fn measure(count: usize, seed: u64) -> Figures {
    let wall = WallInstant::now();
    let mut simulation = Simulation::new(count, seed);
    simulation.run_until(WARM_UP_MS, |_| false);
    for node in &mut simulation.nodes {
        (node.sent, node.received) = (Traffic::default(), Traffic::default());
        (node.suspects, node.deaths) = (0, 0);
    }
    simulation.run_until(WARM_UP_MS + QUIET_MS, |_| false);
    let mut figures = traffic(&simulation);
    let us = wall.elapsed().as_secs_f64() * 1e6;
    figures.us_per_node_s = us / count as f64 / ((WARM_UP_MS + QUIET_MS) as f64 / 1e3);
    measure_revision(&mut simulation, &mut figures);
    measure_death(&mut simulation, &mut figures);
    figures
}

fn traffic(simulation: &Simulation) -> Figures {
    let (count, seconds) = (simulation.nodes.len() as f64, QUIET_MS as f64 / 1e3);
    let total = |field: fn(&Node) -> u64| simulation.nodes.iter().map(field).sum::<u64>() as f64;
    let both = |node: &Node| node.sent.bytes + node.received.bytes;
    let busiest = simulation.nodes.iter().map(both).max().unwrap_or(0);
    Figures {
        sent_bytes_per_s: total(|node| node.sent.bytes) / count / seconds,
        busiest_bytes_per_s: busiest as f64 / seconds,
        messages_per_s: total(|node| node.sent.messages) / count / seconds,
        suspects: simulation.nodes.iter().map(|node| node.suspects).sum(),
        deaths: simulation.nodes.iter().map(|node| node.deaths).sum(),
        ..Figures::default()
    }
}

fn measure_revision(simulation: &mut Simulation, figures: &mut Figures) {
    let (start_ms, revision) = (simulation.now_ms, Revision::new(1_001));
    let first = simulation.rng.random_range(0..simulation.nodes.len());
    simulation.nodes[first].membership.set_revision(revision);
    let known = simulation.run_until(start_ms + SPREAD_LIMIT_MS, |simulation| {
        simulation.nodes.iter().all(|node| node.membership.own().revision == revision)
    });
    figures.revision_ms = known.then(|| simulation.now_ms - start_ms);
}

fn measure_death(simulation: &mut Simulation, figures: &mut Figures) {
    let (start_ms, count) = (simulation.now_ms, simulation.nodes.len());
    let stopped = 3 + simulation.rng.random_range(0..count - 3);
    simulation.stopped = Some(stopped);
    let id = simulation.nodes[stopped].membership.own().node.clone();
    let knows = |node: &Node| {
        node.membership.member(&id).is_none_or(|member| member.state() == MemberState::Dead)
    };
    let zone_of = |index: usize| index % zones(count);
    let others = |simulation: &Simulation, in_zone_only: bool| {
        let is_wanted = |index: &usize| {
            *index != stopped && (!in_zone_only || zone_of(*index) == zone_of(stopped))
        };
        (0..count).filter(is_wanted).all(|index| knows(&simulation.nodes[index]))
    };
    let in_zone =
        simulation.run_until(start_ms + SPREAD_LIMIT_MS, |simulation| others(simulation, true));
    figures.dead_in_zone_ms = in_zone.then(|| simulation.now_ms - start_ms);
    let everywhere =
        simulation.run_until(start_ms + SPREAD_LIMIT_MS, |simulation| others(simulation, false));
    figures.dead_everywhere_ms = everywhere.then(|| simulation.now_ms - start_ms);
}

fn worst(all: &[Figures]) -> Figures {
    let largest = |field: fn(&Figures) -> f64| all.iter().map(field).fold(0.0, f64::max);
    let latest = |field: fn(&Figures) -> Option<u64>| {
        all.iter().map(field).try_fold(0, |worst, ms| Some(worst.max(ms?)))
    };
    Figures {
        sent_bytes_per_s: largest(|figures| figures.sent_bytes_per_s),
        busiest_bytes_per_s: largest(|figures| figures.busiest_bytes_per_s),
        messages_per_s: largest(|figures| figures.messages_per_s),
        suspects: all.iter().map(|figures| figures.suspects).max().unwrap_or(0),
        deaths: all.iter().map(|figures| figures.deaths).max().unwrap_or(0),
        revision_ms: latest(|figures| figures.revision_ms),
        dead_in_zone_ms: latest(|figures| figures.dead_in_zone_ms),
        dead_everywhere_ms: latest(|figures| figures.dead_everywhere_ms),
        us_per_node_s: largest(|figures| figures.us_per_node_s),
    }
}

fn seconds(ms: Option<u64>) -> String {
    ms.map_or("never".to_owned(), |ms| format!("{:.1}", ms as f64 / 1e3))
}

fn main() {
    let named: Vec<usize> =
        std::env::args().skip(1).map(|text| text.parse().expect("a number of nodes")).collect();
    let counts = if named.is_empty() { vec![8, 40, 85, 170, 340] } else { named };
    println!(
        "nodes  sent msg/s  sent B/s  busiest B/s both ways  false suspects  false deaths  \
         revision s  dead in zone s  dead everywhere s  us/node/s"
    );
    for count in counts {
        let all: Vec<Figures> = SEEDS.iter().map(|&seed| measure(count, seed)).collect();
        let worst = worst(&all);
        println!(
            "{count:5}  {:10.2}  {:8.0}  {:21.0}  {:14}  {:12}  {:>10}  {:>14}  {:>17}  {:9.0}",
            worst.messages_per_s,
            worst.sent_bytes_per_s,
            worst.busiest_bytes_per_s,
            worst.suspects,
            worst.deaths,
            seconds(worst.revision_ms),
            seconds(worst.dead_in_zone_ms),
            seconds(worst.dead_everywhere_ms),
            worst.us_per_node_s,
        );
    }
}
