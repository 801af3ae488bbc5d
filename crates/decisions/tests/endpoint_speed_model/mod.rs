//! Nodes with stale knowledge of endpoints, which are queues that work at changing speeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::placement::prompt_work;
use yuccapass_decisions::gateway::{
    Candidate, Distance, EndpointTracker, EndpointTrackerSettings, EngineSpec, LoadReport,
    Placement, PlacementRequest, PromptPart, RequestWork, ServicePace,
};
use yuccapass_types::{EndpointId, Instant, Slowdown, Tokens};

/// Time for a message to an endpoint and its answer, by distance.
const ROUND_TRIP_MS: [u64; 3] = [0, 2, 24];

/// The demand on a service, and its endpoints.
pub struct Load {
    pub nodes: usize,
    pub endpoints: usize,
    pub zones: usize,
    pub slots: u32,
    /// Requests a second from all nodes together.
    pub per_s: f64,
    /// How far the demand of a zone moves from its mean, from 0 to 1. Zones have different phases.
    pub swing: f64,
    /// How long a request occupies a slot once its prompt is prefilled, at the usual speed.
    pub run_ms: f64,
    /// Prompts, for engines; without them the answer begins when the request has run.
    pub prompts: Option<Prompts>,
    /// The multiple of the usual time that work takes at an endpoint at a time in milliseconds.
    pub slowdown: fn(usize, u64) -> f64,
    /// Target for the time until an answer begins.
    pub aim_ms: u64,
    pub length_ms: u64,
}

/// The prompts of a load: a shared part and an own one.
#[derive(Clone, Copy)]
pub struct Prompts {
    pub shared: usize,
    pub shared_tokens: u64,
    pub own_tokens: u64,
    /// Share of the requests that have the same shared part.
    pub hot_share: f64,
    pub token_ms: f64,
    pub engine: EngineSpec,
}

/// What callers got.
#[derive(Debug, Default)]
pub struct Outcome {
    pub in_time: f64,
    pub p95_wait_ms: u64,
    /// Requests of the busiest endpoint, relative to the mean.
    pub busiest: f64,
    /// When each request was sent, and to which endpoint.
    pub sent: Vec<(u64, usize)>,
}

impl Outcome {
    /// Returns how many requests an endpoint got in a period.
    pub fn sent_to(&self, endpoint: usize, from_ms: u64, to_ms: u64) -> usize {
        let is_counted =
            |&&(at, to): &&(u64, usize)| to == endpoint && (from_ms..to_ms).contains(&at);
        self.sent.iter().filter(is_counted).count()
    }
}

#[derive(Default)]
struct Queue {
    slots_free_at: Vec<f64>,
    prefill_free_at: f64,
    runs: Vec<(f64, f64)>,
    // The most recently used part is the last one.
    cached: Vec<usize>,
}

impl Queue {
    /// Adds a request; returns when its answer begins and ends.
    fn add(&mut self, load: &Load, part: usize, factor: f64, now: f64) -> (f64, f64) {
        let slot = (0..self.slots_free_at.len())
            .min_by(|a, b| self.slots_free_at[*a].total_cmp(&self.slots_free_at[*b]))
            .expect("there are slots");
        let start = self.slots_free_at[slot].max(now);
        let prefill_ms = self.prefill_ms(load, part) * factor;
        let prefilled = start.max(self.prefill_free_at) + prefill_ms;
        self.prefill_free_at = if prefill_ms > 0.0 { prefilled } else { self.prefill_free_at };
        let end = prefilled + load.run_ms * factor;
        self.slots_free_at[slot] = end;
        self.runs.retain(|(_, end)| *end > now);
        self.runs.push((start, end));
        (if load.prompts.is_some() { prefilled } else { end }, end)
    }

    fn prefill_ms(&mut self, load: &Load, part: usize) -> f64 {
        let Some(prompts) = load.prompts else { return 0.0 };
        let is_cached = self.cached.contains(&part);
        self.cached.retain(|cached| *cached != part);
        self.cached.push(part);
        if self.cached.len() as u64 > prompts.engine.capacity.get() / prompts.shared_tokens / 2 {
            self.cached.remove(0);
        }
        let shared = if is_cached { 0 } else { prompts.shared_tokens };
        (shared + prompts.own_tokens) as f64 * prompts.token_ms
    }

    fn report(&self, load: &Load, endpoint: usize, now: u64) -> LoadReport {
        let count = |is_counted: &dyn Fn(f64, f64) -> bool| {
            self.runs.iter().filter(|(start, end)| is_counted(*start, *end)).count() as u32
        };
        let now_ms = now as f64;
        LoadReport {
            running: count(&|start, end| start <= now_ms && now_ms < end),
            waiting: count(&|start, _| start > now_ms),
            slots: load.slots,
            slowdown: Some(Slowdown::from_factor((load.slowdown)(endpoint, now))),
        }
    }
}

struct Node {
    trackers: Vec<EndpointTracker>,
    pace: ServicePace,
}

struct Sent {
    node: usize,
    endpoint: usize,
    work: RequestWork,
    at: Instant,
    // What the node expected when it sent the request.
    slowdown: Slowdown,
}

/// Plays a load. Endpoints report their speeds only to a strategy that `knows_speeds`.
pub fn play(load: &Load, placement: &dyn Placement, knows_speeds: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(39);
    let ids: Vec<EndpointId> =
        (0..load.endpoints).map(|n| format!("e{n}").parse().expect("the id is valid")).collect();
    let mut queues: Vec<Queue> = (0..load.endpoints).map(|_| queue(load)).collect();
    let mut nodes: Vec<Node> = (0..load.nodes).map(|_| node(load)).collect();
    let mut sent: Vec<Sent> = Vec::new();
    // Beginnings (true) and ends (false) of answers, by time.
    let mut events: BinaryHeap<Reverse<(u64, bool, usize)>> = BinaryHeap::new();
    let mut waits_ms: Vec<u64> = Vec::new();
    let mut now_ms = 0.0;
    loop {
        now_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / load.per_s;
        let now = now_ms as u64;
        if now >= load.length_ms {
            break;
        }
        while events.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((at, is_begin, request))) = events.pop() else { break };
            let request = &sent[request];
            let report = queues[request.endpoint].report(load, request.endpoint, at);
            let report =
                LoadReport { slowdown: report.slowdown.filter(|_| knows_speeds), ..report };
            receive(&mut nodes[request.node], request, report, is_begin, Instant::from_ms(at));
        }
        let node = source(load, now, &mut random);
        let part = part(load, &mut random);
        let parts = prompt(load, part, sent.len());
        let request = PlacementRequest { parts: &parts, random: random.random() };
        let candidates = candidates(load, &mut nodes[node], node, &ids, &parts, now);
        let endpoint = placement.choose(&request, &candidates).expect("there are endpoints");
        let is_home = placement.home(&request, &candidates) == Some(endpoint);
        let work = prompt_work(&parts, is_home);
        let tracker = &mut nodes[node].trackers[endpoint];
        tracker.record_sent(work.prompt);
        tracker.record_work(&work, Instant::from_ms(now));
        if tracker.is_slow() {
            tracker.record_sent_slow(Instant::from_ms(now));
        }
        let slowdown = Slowdown::from_factor(tracker.factor(Instant::from_ms(now)));
        let factor = (load.slowdown)(endpoint, now);
        let travel_ms = ROUND_TRIP_MS[distance(load, node, endpoint) as usize];
        let (begin, end) = queues[endpoint].add(load, part, factor, now_ms);
        let (begin, end) = (begin as u64 + travel_ms, end as u64 + travel_ms);
        waits_ms.push(begin - now);
        events.push(Reverse((begin, true, sent.len())));
        events.push(Reverse((end, false, sent.len())));
        sent.push(Sent { node, endpoint, work, at: Instant::from_ms(now), slowdown });
    }
    outcome(load, &sent, waits_ms)
}

fn queue(load: &Load) -> Queue {
    Queue { slots_free_at: vec![0.0; load.slots as usize], ..Queue::default() }
}

fn node(load: &Load) -> Node {
    let mut pace = ServicePace::default();
    pace.set_engine(load.prompts.map(|prompts| prompts.engine));
    let new_tracker =
        |_| EndpointTracker::new(EndpointTrackerSettings::default()).with_slots(load.slots);
    Node { trackers: (0..load.endpoints).map(new_tracker).collect(), pace }
}

/// Draws the node that a request arrives at, in a zone that is drawn by its demand.
fn source(load: &Load, now: u64, random: &mut StdRng) -> usize {
    let turns = now as f64 / 13_000.0;
    loop {
        let node = random.random_range(0..load.nodes);
        let phase = turns + 0.08 * (node % load.zones) as f64;
        let demand = 1.0 + load.swing * (phase * std::f64::consts::TAU).sin();
        if random.random::<f64>() * (1.0 + load.swing) < demand {
            return node;
        }
    }
}

fn part(load: &Load, random: &mut StdRng) -> usize {
    let Some(prompts) = load.prompts else { return 0 };
    match random.random::<f64>() < prompts.hot_share {
        true => 0,
        false => random.random_range(0..prompts.shared),
    }
}

fn prompt(load: &Load, part: usize, own: usize) -> Vec<PromptPart> {
    let Some(prompts) = load.prompts else { return Vec::new() };
    let part_of = |kind: &str, number: usize, tokens| {
        let id = format!("{kind}-{number}").parse().expect("the id is valid");
        PromptPart { id, tokens: Tokens::new(tokens) }
    };
    vec![part_of("shared", part, prompts.shared_tokens), part_of("own", own, prompts.own_tokens)]
}

fn distance(load: &Load, node: usize, endpoint: usize) -> Distance {
    let (from, to) = (node % load.zones, endpoint % load.zones);
    match (from == to, from % 2 == to % 2) {
        (true, _) => Distance::SameZone,
        (false, true) => Distance::SameRegion,
        (false, false) => Distance::OtherRegion,
    }
}

fn candidates<'a>(
    load: &Load,
    node: &mut Node,
    number: usize,
    ids: &'a [EndpointId],
    parts: &[PromptPart],
    now: u64,
) -> Vec<Candidate<'a>> {
    let at = Instant::from_ms(now);
    let work = prompt_work(parts, true);
    let pace = node.pace;
    let candidate = |(endpoint, tracker): (usize, &mut EndpointTracker)| {
        tracker.set_pace(pace);
        let phase = (number * 7 + endpoint * 3) % load.nodes;
        let random = phase as f64 / load.nodes as f64;
        let nodes = u32::try_from(load.nodes).expect("the number of nodes is small");
        Candidate {
            endpoint: &ids[endpoint],
            distance: distance(load, number, endpoint),
            load: tracker.load(at),
            load_tokens: tracker.load_tokens(at),
            slots: load.slots,
            failure_rate: 0.0,
            speed: pace.has_reports().then(|| tracker.speed_for(&work, nodes, random, at)),
        }
    };
    node.trackers.iter_mut().enumerate().map(candidate).collect()
}

/// Lets a node learn from the beginning or the end of an answer.
fn receive(node: &mut Node, sent: &Sent, report: LoadReport, is_begin: bool, now: Instant) {
    let tracker = &mut node.trackers[sent.endpoint];
    let waited_ms = now.ms_since(sent.at);
    if !is_begin {
        tracker.record_ended(sent.work.prompt);
        return node.pace.record_run(waited_ms, sent.slowdown, now);
    }
    if let Some(slowdown) = report.slowdown {
        node.pace.record_report(slowdown, tracker.mean_slowdown(), now);
    }
    if report.waiting == 0 {
        node.pace.record_begun(&sent.work, waited_ms, sent.slowdown, now);
    }
    tracker.set_pace(node.pace);
    tracker.record_load(report, now);
    tracker.record_begun(&sent.work, sent.at, now);
}

fn outcome(load: &Load, sent: &[Sent], mut waits_ms: Vec<u64>) -> Outcome {
    let in_time = waits_ms.iter().filter(|wait_ms| **wait_ms <= load.aim_ms).count();
    let mut counts = vec![0_usize; load.endpoints];
    sent.iter().for_each(|request| counts[request.endpoint] += 1);
    let busiest = counts.iter().max().copied().unwrap_or_default();
    waits_ms.sort_unstable();
    Outcome {
        in_time: in_time as f64 / sent.len() as f64,
        p95_wait_ms: waits_ms[waits_ms.len() * 95 / 100],
        busiest: (busiest * load.endpoints) as f64 / sent.len() as f64,
        sent: sent.iter().map(|request| (request.at.as_ms(), request.endpoint)).collect(),
    }
}
