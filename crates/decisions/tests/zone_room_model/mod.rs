//! A model of the nodes of several zones in virtual time, with endpoints that all of them use. Within a
//! zone the nodes exchange what they have outstanding through relays, or not at all.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::relay::relay_count;
use yuccapass_decisions::gateway::zone_room::{
    EndpointKey, EndpointUse, OutstandingSum, OutstandingSummary, RoomStamp, SummaryScope,
    ZoneRoom, load_spread,
};
use yuccapass_decisions::gateway::{
    Candidate, Distance, EndpointTracker, EndpointTrackerSettings, LeastLoaded, LoadReport,
    Placement, PlacementRequest, ZoneLoad,
};
use yuccapass_types::{EndpointId, Incarnation, Instant, NodeId, Tokens};

const STEP_MS: u64 = 5;

/// How long a relay holds a request, and the pause of a follower after a reply.
const HOLD_MS: u64 = 250;
const PAUSE_MS: u64 = 30;

const PERIOD_MS: u64 = HOLD_MS + PAUSE_MS;

/// Requests that an endpoint runs at once.
const SLOTS: usize = 8;

/// How long a request runs.
const RUN_MS: std::ops::Range<u64> = 400..1_200;

/// Time from the arrival of a request to its start within which it is served in time.
const AIM_MS: u64 = 500;

const TOKENS: Tokens = Tokens::new(1_000);

/// How the demand of a zone changes: from the time and the zone to a factor.
pub type Pattern = fn(u64, usize) -> f64;

/// The settings of a run.
#[derive(Clone)]
pub struct Setup {
    pub zones: usize,
    pub nodes_per_zone: usize,
    pub endpoints_per_zone: usize,
    /// Demand of all zones without the pattern, as a share of what all endpoints can run.
    pub demand: f64,
    pub pattern: Pattern,
    /// When half of the nodes of the first zone are killed, and when they are back.
    pub lost_ms: Option<(u64, u64)>,
    /// When the relays of the first zone fall silent.
    pub silent_relays_ms: Option<(u64, u64)>,
    pub length_ms: u64,
    pub exchanges: bool,
}

/// What a run has shown.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// Share of the requests that began to run within the aim.
    pub in_time: f64,
    /// Requests at the busiest endpoint over the mean, averaged over time.
    pub busiest: f64,
    /// The same for the second after killed nodes are back, of the requests sent by these.
    pub busiest_of_returned: f64,
}

struct Running {
    node: usize,
    run: u64,
    end_ms: u64,
}

struct Waiting {
    node: usize,
    run: u64,
    arrived_ms: u64,
}

#[derive(Default)]
struct Endpoint {
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    arrivals_of_returned: usize,
}

impl Endpoint {
    fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            ..LoadReport::default()
        }
    }
}

struct Node {
    id: NodeId,
    zone: usize,
    run: u64,
    is_up: bool,
    trackers: Vec<EndpointTracker>,
    outstanding: Vec<u32>,
    // Sent in this period of the exchange and in the last one.
    sent: [Vec<u32>; 2],
    room: ZoneRoom,
    sequence: u64,
    // The relays that it asks, with the last stamp, the time of the request if one is open, and the time
    // of the next one.
    peers: Vec<Peer>,
}

struct Peer {
    relay: usize,
    echo: Option<RoomStamp>,
    sent_ms: Option<u64>,
    next_ms: u64,
}

pub struct Model {
    setup: Setup,
    random: StdRng,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    ids: Vec<EndpointId>,
    begun: usize,
    in_time: usize,
    requests: usize,
    busiest: Vec<f64>,
}

/// Plays a run.
pub fn run(setup: &Setup, seed: u64) -> Report {
    let mut model = Model::new(setup, seed);
    for now_ms in (0..setup.length_ms).step_by(STEP_MS as usize) {
        model.step(now_ms);
    }
    model.report()
}

impl Model {
    fn new(setup: &Setup, seed: u64) -> Self {
        let count = setup.zones * setup.endpoints_per_zone;
        let ids = (0..count).map(|number| format!("e-{number}").parse().expect("valid")).collect();
        let mut model = Self {
            setup: setup.clone(),
            random: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            endpoints: (0..count).map(|_| Endpoint::default()).collect(),
            ids,
            begun: 0,
            in_time: 0,
            requests: 0,
            busiest: Vec::new(),
        };
        for number in 0..setup.zones * setup.nodes_per_zone {
            let node = model.new_node(number, 1, 0);
            model.nodes.push(node);
        }
        model
    }

    fn new_node(&mut self, number: usize, run: u64, now_ms: u64) -> Node {
        let id: NodeId = format!("n-{number:04}").parse().expect("valid");
        let (zone, place) =
            (number / self.setup.nodes_per_zone, number % self.setup.nodes_per_zone);
        let first = zone * self.setup.nodes_per_zone;
        let relays = relay_count(self.setup.nodes_per_zone);
        // Of two relays the one with the lower id asks; a follower asks one relay.
        let asked = match place < relays {
            true => (place + 1..relays).collect(),
            false => vec![place % relays],
        };
        let mut next_ms = || now_ms + self.random.random_range(0..HOLD_MS + PAUSE_MS);
        let peers = asked
            .into_iter()
            .map(|relay| Peer {
                relay: first + relay,
                echo: None,
                sent_ms: None,
                next_ms: next_ms(),
            })
            .collect();
        let tracker = || EndpointTracker::new(EndpointTrackerSettings::default());
        let incarnation = Incarnation::new(run);
        Node {
            room: ZoneRoom::new(id.clone(), incarnation),
            id,
            zone,
            run,
            is_up: true,
            trackers: self.endpoints.iter().map(|_| tracker()).collect(),
            outstanding: vec![0; self.endpoints.len()],
            sent: [vec![0; self.endpoints.len()], vec![0; self.endpoints.len()]],
            sequence: 0,
            peers,
        }
    }

    fn is_relay(&self, number: usize) -> bool {
        number % self.setup.nodes_per_zone < relay_count(self.setup.nodes_per_zone)
    }

    fn step(&mut self, now_ms: u64) {
        self.kill_and_start(now_ms);
        self.run_endpoints(now_ms);
        if self.setup.exchanges {
            self.exchange(now_ms);
        }
        self.send_requests(now_ms);
        let loads: Vec<usize> =
            self.endpoints.iter().map(|e| e.running.len() + e.waiting.len()).collect();
        let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
        if now_ms >= 2_000 && mean >= 1.0 {
            self.busiest.push(*loads.iter().max().expect("there are endpoints") as f64 / mean);
        }
    }

    /// Kills every second node of the first zone, and starts them again without any state.
    fn kill_and_start(&mut self, now_ms: u64) {
        let Some((lost_ms, back_ms)) = self.setup.lost_ms else { return };
        for number in (0..self.setup.nodes_per_zone).step_by(2) {
            if now_ms == lost_ms {
                self.nodes[number].is_up = false;
                for endpoint in &mut self.endpoints {
                    endpoint.running.retain(|running| running.node != number);
                    endpoint.waiting.retain(|waiting| waiting.node != number);
                }
            } else if now_ms == back_ms {
                self.nodes[number] = self.new_node(number, 2, now_ms);
            }
        }
    }

    fn run_endpoints(&mut self, now_ms: u64) {
        let now = Instant::from_ms(now_ms);
        for (position, endpoint) in self.endpoints.iter_mut().enumerate() {
            let is_over = |running: &mut Running| running.end_ms <= now_ms;
            let ended: Vec<Running> = endpoint.running.extract_if(.., is_over).collect();
            for Running { node, run, .. } in ended {
                let node = &mut self.nodes[node];
                if node.run == run && node.is_up {
                    node.trackers[position].record_ended(TOKENS);
                    node.outstanding[position] -= 1;
                }
            }
            while endpoint.running.len() < SLOTS && !endpoint.waiting.is_empty() {
                let Waiting { node, run, arrived_ms } = endpoint.waiting.remove(0);
                let end_ms = now_ms + self.random.random_range(RUN_MS);
                endpoint.running.push(Running { node, run, end_ms });
                self.begun += 1;
                self.in_time += usize::from(now_ms - arrived_ms <= AIM_MS);
                // The report comes with the head of the answer.
                let report = endpoint.report();
                let node = &mut self.nodes[node];
                if node.run == run {
                    node.trackers[position].record_load(report, now);
                }
            }
        }
    }

    fn is_silent(&self, relay: usize, now_ms: u64) -> bool {
        let silent = self.setup.silent_relays_ms;
        relay < self.setup.nodes_per_zone
            && silent.is_some_and(|(from_ms, to_ms)| (from_ms..to_ms).contains(&now_ms))
    }

    fn own_sum(&self, number: usize) -> OutstandingSum {
        let node = &self.nodes[number];
        let counts = self.ids.iter().zip(&node.outstanding).zip(&node.sent[1]);
        OutstandingSum::of_node(counts.map(|((id, &requests), &sent)| {
            let tokens = Tokens::new(u64::from(requests) * TOKENS.get());
            (EndpointKey::of(id), EndpointUse { requests, tokens, sent })
        }))
    }

    fn exchange(&mut self, now_ms: u64) {
        for number in 0..self.nodes.len() {
            if (now_ms / STEP_MS + number as u64).is_multiple_of(PERIOD_MS / STEP_MS) {
                let node = &mut self.nodes[number];
                node.sent[1] = std::mem::replace(&mut node.sent[0], vec![0; self.ids.len()]);
            }
            for peer in 0..self.nodes[number].peers.len() {
                if !self.nodes[number].is_up {
                    continue;
                }
                match self.nodes[number].peers[peer].sent_ms {
                    None if self.nodes[number].peers[peer].next_ms <= now_ms => {
                        self.ask(number, peer, now_ms);
                    }
                    Some(sent_ms) if sent_ms + HOLD_MS <= now_ms => {
                        self.answer(number, peer, sent_ms, now_ms);
                    }
                    _ => {}
                }
            }
            // Relays without a relay to ask look at what they were told.
            if self.is_relay(number) && now_ms.is_multiple_of(HOLD_MS) {
                self.use_counts(number, now_ms);
            }
        }
    }

    fn scope(&self, number: usize) -> SummaryScope {
        if self.is_relay(number) { SummaryScope::Relay } else { SummaryScope::Node }
    }

    fn ask(&mut self, number: usize, peer: usize, now_ms: u64) {
        let now = Instant::from_ms(now_ms);
        let scope = self.scope(number);
        let own = self.own_sum(number);
        let node = &mut self.nodes[number];
        let sum = match scope {
            SummaryScope::Node => own,
            SummaryScope::Relay => node.room.sum_of_followers(&own, now),
        };
        node.sequence += 1;
        let summary = OutstandingSummary::new(scope, node.sequence, node.peers[peer].echo, sum);
        node.peers[peer].sent_ms = Some(now_ms);
        let (id, incarnation) = (node.id.clone(), Incarnation::new(node.run));
        let relay = node.peers[peer].relay;
        if self.nodes[relay].is_up && !self.is_silent(relay, now_ms) {
            self.nodes[relay].room.record_summary((&id, incarnation), summary, now);
        }
    }

    fn answer(&mut self, number: usize, peer: usize, sent_ms: u64, now_ms: u64) {
        let relay = self.nodes[number].peers[peer].relay;
        self.nodes[number].peers[peer].sent_ms = None;
        self.nodes[number].peers[peer].next_ms = now_ms + PAUSE_MS;
        if !self.nodes[relay].is_up || self.is_silent(relay, now_ms) {
            return;
        }
        let (now, times) = (Instant::from_ms(now_ms), (Instant::from_ms(sent_ms), HOLD_MS));
        let scope = self.scope(number);
        let own = self.own_sum(relay);
        let reply = self.nodes[relay].room.reply(&self.nodes[number].id, scope, &own, now);
        let relay_id = self.nodes[relay].id.clone();
        let node = &mut self.nodes[number];
        node.peers[peer].echo = Some(reply.stamp);
        match scope {
            SummaryScope::Node => {
                node.room.record_followed_reply(node.sequence, &reply, times, now)
            }
            SummaryScope::Relay => {
                node.room.record_relay_reply(&relay_id, node.sequence, &reply, times, now)
            }
        };
        self.use_counts(number, now_ms);
    }

    fn use_counts(&mut self, number: usize, now_ms: u64) {
        let others = (self.setup.nodes_per_zone - 1) as f64;
        let node = &mut self.nodes[number];
        let sum = node.room.sum_of_others(Instant::from_ms(now_ms));
        let now = Instant::from_ms(now_ms);
        let as_of = Instant::from_ms(now_ms.saturating_sub(sum.age_ms));
        let arrivals: u32 = sum.uses.values().map(|used| used.sent).sum();
        let is_used =
            |id: &EndpointId| sum.uses.get(&EndpointKey::of(id)).is_some_and(|used| used.sent > 0);
        let loads = self.ids.iter().zip(&node.trackers).filter(|(id, _)| is_used(id));
        let spread =
            load_spread(loads.map(|(_, tracker)| tracker.load(now)).collect(), arrivals.into());
        for (id, tracker) in self.ids.iter().zip(&mut node.trackers) {
            let used = sum.uses.get(&EndpointKey::of(id)).copied().unwrap_or_default();
            tracker.record_zone_load(ZoneLoad {
                requests: used.requests,
                tokens: used.tokens,
                spread: self.random.random::<f64>() * spread,
                coverage: f64::from(sum.nodes) / others,
                as_of,
            });
        }
    }

    fn send_requests(&mut self, now_ms: u64) {
        let mean_ms = (RUN_MS.start + RUN_MS.end) as f64 / 2.0;
        let capacity_per_ms = (self.endpoints.len() * SLOTS) as f64 / mean_ms;
        for zone in 0..self.setup.zones {
            let share = self.setup.demand / self.setup.zones as f64;
            let factor = (self.setup.pattern)(now_ms, zone);
            let mut expected = capacity_per_ms * STEP_MS as f64 * share * factor;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    self.send_request(zone, now_ms);
                }
                expected -= 1.0;
            }
        }
    }

    fn send_request(&mut self, zone: usize, now_ms: u64) {
        let now = Instant::from_ms(now_ms);
        let first = zone * self.setup.nodes_per_zone;
        let up: Vec<usize> = (first..first + self.setup.nodes_per_zone)
            .filter(|&number| self.nodes[number].is_up)
            .collect();
        let number = up[self.random.random_range(0..up.len())];
        let random = self.random.random();
        let node = &mut self.nodes[number];
        let candidates: Vec<Candidate<'_>> = self
            .ids
            .iter()
            .zip(&node.trackers)
            .enumerate()
            .map(|(position, (endpoint, tracker))| Candidate {
                speed: None,
                endpoint,
                distance: match position / self.setup.endpoints_per_zone == node.zone {
                    true => Distance::SameZone,
                    false => Distance::SameRegion,
                },
                load: tracker.load(now),
                load_tokens: tracker.load_tokens(now),
                slots: SLOTS as u32,
                failure_rate: 0.0,
            })
            .collect();
        let request = PlacementRequest { parts: &[], random };
        let chosen = LeastLoaded.choose(&request, &candidates).expect("there are endpoints");
        node.trackers[chosen].record_sent(TOKENS);
        node.outstanding[chosen] += 1;
        node.sent[0][chosen] += 1;
        let run = node.run;
        let is_of_returned =
            self.setup.lost_ms.is_some_and(|(_, back_ms)| run == 2 && now_ms < back_ms + 1_000);
        let endpoint = &mut self.endpoints[chosen];
        endpoint.arrivals_of_returned += usize::from(is_of_returned);
        endpoint.waiting.push(Waiting { node: number, run, arrived_ms: now_ms });
        self.requests += 1;
    }

    fn report(&self) -> Report {
        let returned: Vec<f64> =
            self.endpoints.iter().map(|endpoint| endpoint.arrivals_of_returned as f64).collect();
        let mean = returned.iter().sum::<f64>() / returned.len() as f64;
        let max = returned.iter().copied().fold(0.0, f64::max);
        Report {
            in_time: self.in_time as f64 / self.requests as f64,
            busiest: self.busiest.iter().sum::<f64>() / self.busiest.len().max(1) as f64,
            busiest_of_returned: if mean > 0.0 { max / mean } else { 0.0 },
        }
    }
}
