//! A small model of nodes that share engines with slots and memory, on one clock.

use std::iter::Sum;
use std::ops::{Add, Range};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::waiting_room::{
    Arrival, Assumptions, EndpointRoom, MemoryPerRequest, ObservedRunTimes, OthersLoad,
    RunTimeEstimate, Ticket, UrgentReserve, WaitingLimits, WaitingRequest, WaitingRoom,
};
use yuccapass_decisions::gateway::{
    EndpointTracker, EndpointTrackerSettings, EngineSpec, LoadReport, Priority, RequestWork,
};
use yuccapass_types::{Bytes, Deadline, Instant, Tokens};

/// Time step of the model.
const STEP_MS: u64 = 5;
/// Prompt tokens that an engine reads and time that an output token takes.
const READ_PER_MS: f64 = 64.0;
const TOKEN_MS: f64 = 4.0;
const SPEC: EngineSpec = EngineSpec { slots: 16, capacity: Tokens::new(87_574) };

/// A kind of requests.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub priority: u8,
    pub prompt: u64,
    pub output: u64,
    pub target_ms: u64,
    pub deadline_ms: u64,
}

/// Requests of one class and organisation that arrive at some nodes for a while.
#[derive(Debug, Clone)]
pub struct Arrivals {
    pub class: usize,
    pub organisation: &'static str,
    pub per_s: f64,
    pub during_ms: Range<u64>,
    pub nodes: Range<usize>,
}

/// What happens in a run of the model.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub classes: Vec<Class>,
    pub arrivals: Vec<Arrivals>,
    pub nodes: usize,
    pub engine_speeds: Vec<f64>,
    /// When the second half of the nodes is lost with all requests that they hold.
    pub lost_at_ms: Option<u64>,
    /// Whether refused clients repeat at once, three times, instead of once as they are told.
    pub repeats_at_once: bool,
}

/// How a node chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Sends each request to some engine at once, which serves by priority and arrival.
    FirstCome,
    /// Sends each request at once to the engine with the least known load.
    LeastLoaded,
    /// Sends it to an engine with room, and keeps it in the waiting room otherwise.
    WaitingRoom,
}

/// What the callers of a class or organisation got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Service {
    pub owed: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused_at_once: u32,
    pub refused_late: u32,
    pub failed: u32,
}

impl Service {
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.owed.max(1))
    }

    pub fn served_share(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.owed.max(1))
    }
}

/// The outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    pub classes: Vec<Service>,
    pub organisations: Vec<(&'static str, Service)>,
    pub preemptions: u32,
}

impl Outcome {
    pub fn organisation(&self, name: &str) -> Service {
        let found = self.organisations.iter().find(|(organisation, _)| *organisation == name);
        found.expect("the scenario has the organisation").1
    }
}

impl Add for Service {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            owed: self.owed + other.owed,
            on_time: self.on_time + other.on_time,
            late: self.late + other.late,
            refused_at_once: self.refused_at_once + other.refused_at_once,
            refused_late: self.refused_late + other.refused_late,
            failed: self.failed + other.failed,
        }
    }
}

impl Sum for Outcome {
    /// Adds up runs of one scenario.
    fn sum<I: Iterator<Item = Self>>(outcomes: I) -> Self {
        let add = |mut sum: Self, other: Self| {
            for (service, other) in sum.classes.iter_mut().zip(other.classes) {
                *service = *service + other;
            }
            for ((_, service), (_, other)) in sum.organisations.iter_mut().zip(other.organisations)
            {
                *service = *service + other;
            }
            sum.preemptions += other.preemptions;
            sum
        };
        outcomes.reduce(add).expect("there is a run")
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    class: usize,
    organisation: &'static str,
    node: usize,
    sent_at: Instant,
    deadline: Deadline,
    refusals: u32,
    started_at: Option<Instant>,
    begun_at: Option<Instant>,
    engine: Option<usize>,
    is_over: bool,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    request: usize,
    priority: u8,
    memory: u64,
    unread: f64,
    unwritten_ms: f64,
}

#[derive(Debug, Default)]
struct Engine {
    speed: f64,
    running: Vec<Run>,
    waiting: Vec<Run>,
}

struct Node {
    is_lost: bool,
    room: WaitingRoom,
    trackers: Vec<EndpointTracker>,
    others: OthersLoad,
    memory: MemoryPerRequest,
    times: ObservedRunTimes,
    reserve: UrgentReserve,
    waiting: Vec<(Ticket, usize)>,
}

/// The state of a run.
struct Model<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    now: Instant,
    random: StdRng,
    // Apart from the other random numbers, so that all policies get the same requests.
    arrivals_random: StdRng,
    requests: Vec<Request>,
    returns: Vec<(Instant, usize)>,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    outcome: Outcome,
}

/// Plays a scenario until all requests are over.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut model = Model::new(scenario, policy, seed);
    let end_ms = scenario.arrivals.iter().map(|arrivals| arrivals.during_ms.end).max().unwrap_or(0);
    let longest_ms = scenario.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0);
    while model.now.as_ms() < end_ms + longest_ms {
        model.step();
    }
    model.outcome
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let now = Instant::from_ms(0);
        let engines = scenario.engine_speeds.iter();
        let tracker = || EndpointTracker::new(EndpointTrackerSettings::default());
        let node = |_| Node {
            is_lost: false,
            room: WaitingRoom::new(WaitingLimits::default(), now),
            trackers: scenario.engine_speeds.iter().map(|_| tracker()).collect(),
            others: OthersLoad::default(),
            memory: MemoryPerRequest::default(),
            times: ObservedRunTimes::default(),
            reserve: UrgentReserve::default(),
            waiting: Vec::new(),
        };
        let mut organisations: Vec<_> =
            scenario.arrivals.iter().map(|arrivals| arrivals.organisation).collect();
        organisations.sort_unstable();
        organisations.dedup();
        Self {
            scenario,
            policy,
            now,
            random: StdRng::seed_from_u64(seed),
            arrivals_random: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            returns: Vec::new(),
            engines: engines.map(|&speed| Engine { speed, ..Engine::default() }).collect(),
            nodes: (0..scenario.nodes).map(node).collect(),
            outcome: Outcome {
                classes: vec![Service::default(); scenario.classes.len()],
                organisations: organisations
                    .into_iter()
                    .map(|organisation| (organisation, Service::default()))
                    .collect(),
                preemptions: 0,
            },
        }
    }

    fn step(&mut self) {
        if self.scenario.lost_at_ms == Some(self.now.as_ms()) {
            self.lose_nodes();
        }
        for arrivals in &self.scenario.arrivals {
            let expected = arrivals.per_s * STEP_MS as f64 / 1_000.0;
            let count =
                expected as u32 + u32::from(self.arrivals_random.random_bool(expected.fract()));
            for _ in 0..if arrivals.during_ms.contains(&self.now.as_ms()) { count } else { 0 } {
                self.send_new(arrivals);
            }
        }
        let (due, later) = self.returns.iter().copied().partition(|(at, _)| *at <= self.now);
        self.returns = later;
        let due: Vec<(Instant, usize)> = due;
        for (_, request) in due {
            self.requests[request].node = self.live_node(0..self.scenario.nodes);
            self.arrive(request);
        }
        for engine in 0..self.engines.len() {
            self.step_engine(engine);
        }
        for node in 0..self.nodes.len() {
            self.step_room(node);
        }
        self.now = Instant::from_ms(self.now.as_ms() + STEP_MS);
        for request in 0..self.requests.len() {
            let Request { is_over, deadline, .. } = self.requests[request];
            if !is_over && deadline.has_passed(self.now) {
                self.end(request, |service| &mut service.failed);
            }
        }
    }

    fn live_node(&mut self, nodes: Range<usize>) -> usize {
        let live: Vec<usize> = nodes.filter(|&node| !self.nodes[node].is_lost).collect();
        let live = if live.is_empty() { vec![0] } else { live };
        live[self.random.random_range(0..live.len())]
    }

    fn send_new(&mut self, arrivals: &Arrivals) {
        let node = self.live_node(arrivals.nodes.clone());
        let class = self.scenario.classes[arrivals.class];
        self.requests.push(Request {
            class: arrivals.class,
            organisation: arrivals.organisation,
            node,
            sent_at: self.now,
            deadline: Deadline::after_ms(self.now, class.deadline_ms),
            refusals: 0,
            started_at: None,
            begun_at: None,
            engine: None,
            is_over: false,
        });
        self.arrive(self.requests.len() - 1);
    }

    fn arrive(&mut self, request: usize) {
        let target = match self.policy {
            Policy::FirstCome => Some(self.random.random_range(0..self.engines.len())),
            Policy::LeastLoaded => self.least_loaded(request, |_| true),
            Policy::WaitingRoom => self.with_room(request, false),
        };
        if self.policy != Policy::WaitingRoom {
            return self.send(request, target.expect("there are engines"));
        }
        let random = self.random.random();
        let waiting = self.waiting_request(request);
        let node = &mut self.nodes[self.requests[request].node];
        match node.room.arrive(waiting, target.is_some(), random, self.now) {
            Arrival::Start => self.send(request, target.expect("an engine has room")),
            Arrival::Refuse(refusal) => self.refuse(request, refusal.retry_after_ms, true),
            Arrival::Wait { ticket, displaced, .. } => {
                node.waiting.push((ticket, request));
                for displaced in displaced {
                    let position = node.waiting.iter().position(|(id, _)| *id == displaced.ticket);
                    let (_, victim) = node.waiting.remove(position.expect("it waits"));
                    self.returns.push((self.now, victim));
                }
            }
        }
    }

    fn waiting_request(&self, request: usize) -> WaitingRequest {
        let Request { class, organisation, node, sent_at, deadline, .. } = self.requests[request];
        let (route, work) = (format!("c{class}").parse().unwrap(), self.work(request));
        let run = self.nodes[node].times.expected(&route, &work);
        let target_ms = self.scenario.classes[class].target_ms;
        WaitingRequest {
            organisation: Some(organisation.parse().unwrap()),
            route,
            caller_hash: request as u64,
            priority: Priority::new(self.scenario.classes[class].priority),
            work,
            body: Bytes::new(1_000),
            target_start: run.target_start(sent_at, target_ms),
            latest_start: run.latest_start(sent_at, target_ms, true, deadline),
            deadline,
        }
    }

    fn work(&self, request: usize) -> RequestWork {
        let class = self.scenario.classes[self.requests[request].class];
        let prompt = Tokens::new(class.prompt);
        RequestWork { prompt, uncached: prompt, output: Tokens::new(class.output) }
    }

    /// Returns an engine with room by what the node knows.
    fn with_room(&mut self, request: usize, may_use_reserve: bool) -> Option<usize> {
        let (work, now) = (self.work(request), self.now);
        let class = self.scenario.classes[self.requests[request].class];
        let node = &self.nodes[self.requests[request].node];
        let assumptions = Assumptions {
            others: node.others.mean(now),
            memory_per_request: node.memory.mean_tokens().unwrap_or_default(),
            urgent_reserve: node.reserve.share(),
        };
        let fits: Vec<bool> = (node.trackers.iter())
            .map(|tracker| EndpointRoom::new(SPEC, tracker.known_load(now), &assumptions))
            .map(|room| room.fits(&work, may_use_reserve || class.priority == 0))
            .collect();
        self.least_loaded(request, |engine| fits[engine])
    }

    fn least_loaded(&mut self, request: usize, allows: impl Fn(usize) -> bool) -> Option<usize> {
        let (now, count) = (self.now, self.engines.len());
        let first = self.random.random_range(0..count);
        let trackers = &self.nodes[self.requests[request].node].trackers;
        let order = (0..count).map(|offset| (first + offset) % count).filter(|&id| allows(id));
        order.min_by(|&a, &b| {
            let load = |engine: usize| trackers[engine].load_tokens(now);
            load(a).total_cmp(&load(b))
        })
    }

    fn send(&mut self, request: usize, engine: usize) {
        let work = self.work(request);
        let entry = &mut self.requests[request];
        (entry.engine, entry.started_at) = (Some(engine), Some(self.now));
        let class = self.scenario.classes[entry.class];
        self.nodes[entry.node].trackers[engine].record_sent(work.memory());
        self.engines[engine].waiting.push(Run {
            request,
            priority: class.priority,
            memory: work.memory().get(),
            unread: class.prompt as f64,
            unwritten_ms: class.output as f64 * TOKEN_MS,
        });
    }

    fn step_engine(&mut self, id: usize) {
        let requests = &self.requests;
        let engine = &mut self.engines[id];
        engine.running.retain(|run| !requests[run.request].is_over);
        engine.waiting.retain(|run| !requests[run.request].is_over);
        self.outcome.preemptions += engine.admit();
        let (mut budget, mut begun, mut done) =
            (READ_PER_MS * STEP_MS as f64 * engine.speed, Vec::new(), Vec::new());
        for run in &mut engine.running {
            let read = run.unread.min(budget);
            (run.unread, budget) = (run.unread - read, budget - read);
            if run.unread > 0.0 {
                continue;
            }
            begun.push(run.request);
            run.unwritten_ms -= STEP_MS as f64 * engine.speed;
            if run.unwritten_ms <= 0.0 {
                done.push(run.request);
            }
        }
        let report = LoadReport {
            running: engine.running.len() as u32,
            waiting: engine.waiting.len() as u32,
            slots: SPEC.slots,
            slowdown: None,
        };
        engine.running.retain(|run| !done.contains(&run.request));
        for request in begun {
            if self.requests[request].begun_at.is_none() {
                self.requests[request].begun_at = Some(self.now);
                let Request { class, node, started_at, .. } = self.requests[request];
                let (class, node) = (self.scenario.classes[class], &mut self.nodes[node]);
                if class.priority == 0 {
                    let first_event_ms = self.now.ms_since(started_at.unwrap());
                    let has_waiting = !node.room.is_empty();
                    node.reserve.record_first_event(first_event_ms, class.target_ms, has_waiting);
                }
                let own = node.trackers[id].known_load(self.now).own_requests;
                node.others.record(report, own, self.now);
                node.trackers[id].record_load(report, self.now);
                node.room.room_changed();
            }
        }
        done.into_iter().for_each(|request| self.complete(request));
    }

    fn complete(&mut self, request: usize) {
        let Request { class, node, sent_at, started_at, begun_at, .. } = self.requests[request];
        let (started_at, begun_at) = (started_at.unwrap(), begun_at.unwrap());
        let target_ms = self.scenario.classes[class].target_ms;
        let run_ms = self.now.ms_since(started_at);
        let memory = self.work(request).memory();
        self.nodes[node].memory.record(memory, run_ms);
        let route = format!("c{class}").parse().unwrap();
        let first_event_ms = begun_at.ms_since(started_at);
        self.nodes[node].times.record_first_event(&route, first_event_ms);
        self.nodes[node].times.record_answer(&route, run_ms);
        match begun_at.ms_since(sent_at) <= target_ms {
            true => self.end(request, |service| &mut service.on_time),
            false => self.end(request, |service| &mut service.late),
        }
    }

    fn step_room(&mut self, id: usize) {
        let now = self.now;
        // A waiting request looks again from time to time, since reports lose their weight. Nodes do so at
        // different times.
        if (now.as_ms() + STEP_MS * id as u64).is_multiple_of(50) {
            self.nodes[id].room.room_changed();
        }
        while let Some(turn) = self.nodes[id].room.next_turn(now) {
            let waiting = &self.nodes[id].waiting;
            let position = waiting.iter().position(|(ticket, _)| *ticket == turn.ticket).unwrap();
            let request = waiting[position].1;
            match self.with_room(request, turn.may_use_reserve) {
                None => self.nodes[id].room.no_room(turn.ticket),
                Some(engine) => {
                    self.nodes[id].room.start(turn.ticket, now);
                    self.nodes[id].waiting.remove(position);
                    self.send(request, engine);
                }
            }
        }
        for (ticket, request) in self.nodes[id].waiting.clone() {
            if !self.waiting_request(request).latest_start.has_passed(now) {
                continue;
            }
            self.nodes[id].waiting.retain(|(waiting, _)| *waiting != ticket);
            let random = self.random.random();
            let refusal = self.nodes[id].room.expire(ticket, random, now).expect("it waits");
            self.refuse(request, refusal.retry_after_ms, false);
        }
    }

    /// Refuses a request; its client repeats it if it may.
    fn refuse(&mut self, request: usize, retry_after_ms: u64, is_at_once: bool) {
        let entry = &mut self.requests[request];
        entry.refusals += 1;
        let (most, wait_ms) = match self.scenario.repeats_at_once {
            true => (3, STEP_MS),
            false => (1, retry_after_ms),
        };
        let returns_at = Deadline::after_ms(self.now, wait_ms);
        if entry.refusals <= most && returns_at < entry.deadline {
            return self.returns.push((returns_at.instant(), request));
        }
        match is_at_once && entry.refusals == 1 + most {
            true => self.end(request, |service| &mut service.refused_at_once),
            false => self.end(request, |service| &mut service.refused_late),
        }
    }

    fn end(&mut self, request: usize, count: impl Fn(&mut Service) -> &mut u32) {
        self.requests[request].is_over = true;
        let Request { class, organisation, node, engine, .. } = self.requests[request];
        if let Some(engine) = engine {
            let memory = self.work(request).memory();
            self.nodes[node].trackers[engine].record_ended(memory);
            self.nodes[node].room.room_changed();
        }
        let position = self.nodes[node].waiting.iter().position(|(_, waiting)| *waiting == request);
        if let Some(position) = position {
            let (ticket, _) = self.nodes[node].waiting.remove(position);
            self.nodes[node].room.leave(ticket);
        }
        let organisations = self.outcome.organisations.iter_mut();
        let mut by_organisation = organisations.filter(|(name, _)| *name == organisation);
        let service = &mut by_organisation.next().expect("it is listed").1;
        for service in [service, &mut self.outcome.classes[class]] {
            service.owed += 1;
            *count(service) += 1;
        }
    }

    fn lose_nodes(&mut self) {
        for node in self.nodes.len() / 2..self.nodes.len() {
            self.nodes[node].is_lost = true;
            for request in 0..self.requests.len() {
                let entry = self.requests[request];
                if entry.node == node && !entry.is_over {
                    self.end(request, |service| &mut service.failed);
                }
            }
        }
    }
}

impl Engine {
    /// Starts the most urgent waiting requests for which there is room, and sets back the newest of less
    /// urgent ones for them. Returns how many were set back.
    fn admit(&mut self) -> u32 {
        let mut preemptions = 0;
        self.waiting.sort_by_key(|run| (run.priority, run.request));
        while let Some(&next) = self.waiting.first() {
            let used: u64 = self.running.iter().map(|run| run.memory).sum();
            let fits = self.running.len() < SPEC.slots as usize
                && used + next.memory <= SPEC.capacity.get();
            if fits {
                self.running.push(self.waiting.remove(0));
                continue;
            }
            let victim = (0..self.running.len())
                .filter(|&position| self.running[position].priority > next.priority)
                .max_by_key(|&position| (self.running[position].priority, position));
            let Some(victim) = victim else { break };
            let run = self.running.remove(victim);
            // Its prompt has to be read again.
            let unread = run.memory as f64;
            self.waiting.push(Run { unread, ..run });
            preemptions += 1;
        }
        preemptions
    }
}
