//! A loop over the decisions of roll-outs with many nodes, a clock and random answers.

#![allow(dead_code, reason = "each test file uses some of them")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::str::FromStr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::version_rollout::{
    AnswerKind, AnswerTime, CountedAttempt, FleetEvidence, FleetView, HolderAction, ReportTimer,
    RolloutHolder, RolloutLimits, RolloutOrder, RolloutProgress, Stage, Verdict, VersionJudge,
    VersionShares,
};
use yuccapass_types::{
    EndpointId, FencingNumber, Incarnation, Instant, NodeId, RolloutOrderId, RouteId,
    SoftwareVersion,
};

/// Time between two steps of the loop.
const TICK_MS: u64 = 20;

/// Periods of the holder's decisions and of its reads of the evidence.
const DECISION_PERIOD_MS: u64 = 240;
const EVIDENCE_PERIOD_MS: u64 = 960;

/// Endpoints of each version.
pub const ENDPOINTS: usize = 12;

/// Number of the bad answer after which the bound on the roll-back begins.
const COUNTED_BAD_ANSWER: u64 = 50;

pub fn id<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the fixture's text is valid")
}

pub fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

pub fn order(number: u64, target: &str, duration_ms: u64) -> RolloutOrder {
    RolloutOrder { id: RolloutOrderId::new(number), target: id(target), duration_ms }
}

/// A request at an endpoint of the target.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Time since the order.
    pub elapsed_ms: u64,
    /// The route, from 0 to 2.
    pub route: usize,
    /// Requests that the endpoint runs, as a multiple of its usual number.
    pub load: f64,
}

/// What a version does to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    Sound,
    Failure,
    /// Takes so many times as long.
    Slow(f64),
}

pub type Version = dyn Fn(Request, f64) -> Effect;

/// What a day consists of.
pub struct Day<'a> {
    pub nodes: usize,
    pub requests_per_s: f64,
    pub duration_ms: u64,
    pub seed: u64,
    pub version: &'a Version,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    pub stage: Option<Stage>,
    pub ended_after_ms: Option<u64>,
    pub requests: u64,
    pub exposed: u64,
    pub bad_answers: u64,
    /// Time from the bad answer that counts to the last request sent to the target.
    pub exposed_after_ms: u64,
    /// Requests that were at old endpoints when the order was completed.
    pub lost: u64,
}

impl Outcome {
    pub fn is_completed(&self) -> bool {
        self.stage == Some(Stage::Completed)
    }

    pub fn is_rolled_back(&self) -> bool {
        matches!(self.stage, Some(Stage::RolledBack(_)))
    }
}

struct Node {
    id: NodeId,
    shares: VersionShares,
    judge: VersionJudge,
    timer: ReportTimer,
    step: Option<(RolloutOrderId, u32)>,
}

struct Answer {
    node: usize,
    endpoint: usize,
    is_target: bool,
    attempt: CountedAttempt,
    route: usize,
    kind: AnswerKind,
    is_bad: bool,
}

const ROUTES: [&str; 3] = ["read", "book", "stream"];

/// Usual failure rates and median times of the routes.
const ROUTE_WORK: [(f64, f64); 3] = [(0.004, 60.0), (0.10, 60.0), (0.004, 200.0)];

/// Plays an order over all nodes.
pub fn play(day: &Day<'_>) -> Outcome {
    Fleet::new(day).play(day)
}

/// Plays the plain baseline: half of the requests go to the target for the whole time, without a
/// verdict.
pub fn play_fixed_split(day: &Day<'_>) -> u64 {
    let mut random = StdRng::seed_from_u64(day.seed);
    let requests = day.requests_per_s * day.duration_ms as f64 / 1_000.0;
    (0..requests as u64).filter(|_| random.random::<f64>() < 0.5).count() as u64
}

struct Fleet {
    random: StdRng,
    nodes: Vec<Node>,
    // Times at which answers end, with their position.
    pending: BinaryHeap<Reverse<(u64, usize)>>,
    answers: Vec<Answer>,
    running: Vec<(u64, u64)>,
    evidence: FleetEvidence,
    judge: VersionJudge,
    holder: RolloutHolder,
    // Progress on its way to nodes, by the time of arrival.
    on_the_way: Vec<(u64, usize, RolloutProgress)>,
    limits: RolloutLimits,
    verdict: Verdict,
}

impl Fleet {
    fn new(day: &Day<'_>) -> Self {
        let limits = RolloutLimits::default();
        let node = |number: usize| {
            let name: NodeId = id(&format!("node-{number}"));
            let mut shares = VersionShares::new(limits, name.clone(), Incarnation::new(1));
            shares.note_versions([&id("v1")], at(0));
            Node {
                id: name,
                shares,
                judge: VersionJudge::new(day.nodes as u32),
                timer: ReportTimer::default(),
                step: None,
            }
        };
        let mut holder = RolloutHolder::new(FencingNumber::new(1));
        holder.record_read(None);
        Self {
            random: StdRng::seed_from_u64(day.seed),
            nodes: (0..day.nodes).map(node).collect(),
            pending: BinaryHeap::new(),
            answers: Vec::new(),
            running: vec![(0, 0); ENDPOINTS],
            evidence: FleetEvidence::new(),
            judge: VersionJudge::new(1),
            holder,
            on_the_way: Vec::new(),
            limits,
            verdict: Verdict::Sound,
        }
    }

    fn play(mut self, day: &Day<'_>) -> Outcome {
        let order = order(7, "v2", day.duration_ms);
        let versions: [SoftwareVersion; 2] = [id("v1"), id("v2")];
        let mut outcome = Outcome::default();
        let (mut counted_at, mut last_exposed) = (None, 0);
        let mut due = 0.0;
        // The order counts from 1 s; its endpoints are there from 2 s.
        for now_ms in (0..1_000 + 2 * day.duration_ms).step_by(TICK_MS as usize) {
            let now = at(now_ms);
            let elapsed_ms = now_ms.saturating_sub(1_000);
            for node in &mut self.nodes {
                node.shares.confirm_settings(now);
                node.shares.confirm_progress(now);
                if now_ms == 1_000 {
                    node.shares.set_order(Some(order.clone()), now);
                }
                if now_ms == 2_000 {
                    node.shares.note_versions(&versions, now);
                }
            }
            self.deliver(now);
            self.end_answers(now_ms, &mut outcome, &mut counted_at);
            due += day.requests_per_s * TICK_MS as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                if now_ms >= 1_000 && elapsed_ms < day.duration_ms {
                    outcome.requests += 1;
                }
                if self.send(day, elapsed_ms, now) {
                    // Nodes learn of a roll-back later than it is written.
                    outcome.exposed += u64::from(!outcome.is_completed());
                    last_exposed = now_ms;
                }
            }
            if now_ms.is_multiple_of(260) {
                self.report(now);
            }
            if now_ms >= 1_200
                && now_ms.is_multiple_of(DECISION_PERIOD_MS)
                && outcome.stage.is_none()
            {
                self.decide(&order, now_ms >= 2_400, now);
                let ended = self.holder.progress().filter(|known| known.stage.is_final());
                if let Some(progress) = ended {
                    outcome.stage = Some(progress.stage);
                    outcome.ended_after_ms = Some(elapsed_ms);
                    let is_lost = |&&Reverse((_, position)): &&Reverse<(u64, usize)>| {
                        let answer: &Answer = &self.answers[position];
                        !answer.is_target
                    };
                    if progress.stage == Stage::Completed {
                        outcome.lost = self.pending.iter().filter(is_lost).count() as u64;
                    }
                }
            }
        }
        let counted_at: Option<u64> = counted_at;
        outcome.exposed_after_ms = counted_at.map_or(0, |at| last_exposed.saturating_sub(at));
        outcome
    }

    fn deliver(&mut self, now: Instant) {
        let (due, later) = std::mem::take(&mut self.on_the_way)
            .into_iter()
            .partition(|(arrival_ms, ..)| *arrival_ms <= now.as_ms());
        self.on_the_way = later;
        for (_, node, progress) in due {
            self.nodes[node].shares.set_progress(progress, now);
        }
    }

    fn end_answers(&mut self, now_ms: u64, outcome: &mut Outcome, counted_at: &mut Option<u64>) {
        while let Some(&Reverse((end_ms, position))) = self.pending.peek()
            && end_ms <= now_ms
        {
            self.pending.pop();
            let answer = &self.answers[position];
            let endpoint = endpoint_id(answer.is_target, answer.endpoint);
            let (base, target) = &mut self.running[answer.endpoint];
            let running = if answer.is_target { target } else { base };
            *running -= 1;
            let route: RouteId = id(ROUTES[answer.route]);
            let shares = &mut self.nodes[answer.node].shares;
            shares.record_end(answer.attempt.clone(), &endpoint, Some((&route, answer.kind)));
            outcome.bad_answers += u64::from(answer.is_bad);
            if outcome.bad_answers == COUNTED_BAD_ANSWER && answer.is_bad {
                *counted_at = Some(now_ms);
            }
        }
    }

    /// Sends a request; returns whether it goes to the target.
    fn send(&mut self, day: &Day<'_>, elapsed_ms: u64, now: Instant) -> bool {
        let node = self.random.random_range(0..self.nodes.len());
        let route = match self.random.random::<f64>() {
            draw if draw < 0.4 => 0,
            draw if draw < 0.7 => 1,
            _ => 2,
        };
        let has_target = now.as_ms() >= 2_000;
        let nodes = day.nodes as u32;
        let (v1, v2): (SoftwareVersion, SoftwareVersion) = (id("v1"), id("v2"));
        let draw = self.random.random();
        let filter = self.nodes[node].shares.filter(draw, nodes, has_target, true, now);
        let may_use_base = filter.allows(Some(&v1));
        let is_target = has_target
            && filter.allows(Some(&v2))
            && (!may_use_base || (filter.prefers(Some(&v2)) && !filter.prefers(Some(&v1))));
        let endpoint = if is_target {
            let all: Vec<EndpointId> = (0..ENDPOINTS).map(|n| endpoint_id(true, n)).collect();
            let observed = filter.observed(&all);
            let chosen = observed[self.random.random_range(0..observed.len())];
            all.iter().position(|known| known == chosen).expect("the endpoint is one of all")
        } else {
            self.random.random_range(0..ENDPOINTS)
        };
        let (failure_rate, median_ms) = ROUTE_WORK[route];
        let spread = (self.random.random::<f64>() - 0.5) * 1.6;
        let mut ms = median_ms * spread.exp();
        let mut is_failure = self.random.random::<f64>() < failure_rate;
        let mut is_bad = false;
        if is_target {
            let usual = day.requests_per_s / ENDPOINTS as f64 * 0.1;
            let load = self.running[endpoint].1 as f64 / usual;
            let request = Request { elapsed_ms, route, load };
            match (day.version)(request, self.random.random()) {
                Effect::Sound => {}
                Effect::Failure => {
                    is_failure = true;
                    is_bad = true;
                }
                Effect::Slow(factor) => {
                    ms *= factor;
                    is_bad = true;
                }
            }
            self.running[endpoint].1 += 1;
        } else {
            self.running[endpoint].0 += 1;
        }
        let version = if is_target { &v2 } else { &v1 };
        let attempt = self.nodes[node].shares.record_sent(Some(version));
        let kind = match is_failure {
            true => AnswerKind::Failed,
            false => AnswerKind::Complete(AnswerTime::of_answer(ms as u64)),
        };
        self.pending.push(Reverse((now.as_ms() + ms as u64, self.answers.len())));
        self.answers.push(Answer { node, endpoint, is_target, attempt, route, kind, is_bad });
        is_target
    }

    /// Lets all nodes judge their own answers and report their evidence.
    fn report(&mut self, now: Instant) {
        let nodes = self.nodes.len() as u32;
        for node in &mut self.nodes {
            let Some(evidence) = node.shares.evidence() else { continue };
            node.judge.record(&node.id, &evidence);
            if let Verdict::Bad(_) = node.judge.judge() {
                node.shares.stop_target(evidence.order);
            }
            let Some(evidence) = node.shares.evidence() else { continue };
            if node.timer.is_due(&evidence, now) {
                node.step = evidence.step.map(|step| (evidence.order, step));
                self.evidence.insert(node.id.clone(), evidence.clone());
                node.timer.record(evidence, nodes, self.random.random(), now);
            }
        }
    }

    fn decide(&mut self, order: &RolloutOrder, has_targets: bool, now: Instant) {
        if now.as_ms().is_multiple_of(EVIDENCE_PERIOD_MS) {
            for (node, evidence) in self.evidence.iter() {
                self.judge.record(node, evidence);
            }
            self.verdict = self.judge.judge();
        }
        let progress = self.holder.progress().cloned();
        let step = progress.as_ref().map(|known| (known.order, known.step));
        let base_versions = [id("v1")];
        let reported = self.nodes.iter().filter(|node| node.step == step).count();
        let view = FleetView {
            order: Some(order),
            progress: progress.as_ref(),
            elapsed_ms: now.as_ms() - 1_000,
            ready_targets: if has_targets { ENDPOINTS } else { 0 },
            base_versions: &base_versions,
            verdict: self.verdict,
            target_answers: self.judge.target_answers(),
            nodes: self.nodes.len() as u32,
            sent: self.evidence.values().map(|known| known.sent).sum(),
            outstanding_base: self.evidence.values().map(|known| known.outstanding_base).sum(),
            unreported_nodes: self.nodes.len() - reported,
            has_alarm: self.evidence.values().any(|known| known.has_alarm),
        };
        if let HolderAction::Write { progress, .. } = self.holder.next(&view, &self.limits) {
            self.holder.record_written(now.as_ms());
            for node in 0..self.nodes.len() {
                let arrival_ms = now.as_ms() + self.random.random_range(50..500);
                self.on_the_way.push((arrival_ms, node, (*progress).clone()));
            }
        }
    }
}

fn endpoint_id(is_target: bool, number: usize) -> EndpointId {
    id(&format!("{}-{number}", if is_target { "new" } else { "old" }))
}
