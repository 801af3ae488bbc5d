//! A model of nodes in virtual time that send requests to an endpoint with a limit. A node learns of
//! the limit with its first answer, and forgets it when it restarts.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::{EndpointNotice, EndpointNotices, LimitUse};
use yuccapass_types::{Instant, RequestRate};

/// Length of a step of the model.
const STEP_MS: u64 = 5;

/// Time from a request to its answer.
const ANSWER_MS: u64 = 40;

/// Length of the windows of the rule.
pub const WINDOW_MS: u64 = 4_000;

/// Time from the first naming of the limit until it must hold.
const STABLE_MS: u64 = 4_000;

/// Time from an answer that names the limit until the requests of its node count.
const TOLD_MS: u64 = 500;

/// Period of the exchange between the nodes of a zone, and how old the counts are that it brings: half of
/// a period until the relay has them, as much until a second relay has them, and the way of the reply.
const EXCHANGE_MS: u64 = 280;
const EXCHANGED_AGE_MS: u64 = 300;

/// Time between two moments of which the model keeps what the nodes tell.
const TELL_MS: u64 = 20;

/// The settings of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub nodes: u32,
    pub limit_per_s: f64,
    /// Requests a second that would go to the endpoint, from all nodes.
    pub demand_per_s: f64,
    /// Share of the nodes that have any.
    pub active_share: f64,
    /// When the demand rises to ten times as much.
    pub burst_ms: Option<u64>,
    /// When a share of the nodes restart.
    pub restarts_ms: Vec<(u64, f64)>,
    pub length_ms: u64,
    /// Number of zones within which the nodes exchange what they know of the limit, if they do.
    pub exchange_zones: Option<usize>,
}

/// What a run has shown.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// The most requests in a window by nodes that were told.
    pub worst_window: usize,
    /// Share of the limit that was used, from the time on from which it must hold.
    pub used_share: f64,
}

/// How one node keeps to the limit.
pub trait NodeLimit {
    /// The node gets an answer that names the limit, to a request of `sent_at`.
    fn told(&mut self, limit: RequestRate, sent_at: Instant, now: Instant);
    /// Returns whether the node sends a request, which it does then.
    fn sends(&mut self, nodes: u32, random: f64, now: Instant) -> bool;
    /// What the node tells the others of its zone.
    fn tells(&mut self, _: Instant) -> Option<LimitUse> {
        None
    }
    /// The node hears what this many others of its zone have told, as of an instant.
    fn hears(&mut self, _: &LimitUse, _nodes: u32, _as_of: Instant) {}
}

/// Ignores the limit.
pub struct NoLimit;

impl NodeLimit for NoLimit {
    fn told(&mut self, _: RequestRate, _: Instant, _: Instant) {}

    fn sends(&mut self, _: u32, _: f64, _: Instant) -> bool {
        true
    }
}

/// Sends in each window the whole number of requests that the number of nodes leaves to it.
#[derive(Default)]
pub struct PlainSplit {
    limit: Option<RequestRate>,
    sent: Vec<Instant>,
}

impl NodeLimit for PlainSplit {
    fn told(&mut self, limit: RequestRate, _: Instant, _: Instant) {
        self.limit = Some(limit);
    }

    fn sends(&mut self, nodes: u32, _: f64, now: Instant) -> bool {
        let Some(limit) = self.limit else { return true };
        let share = limit.per_s() * WINDOW_MS as f64 / 1_000.0 / f64::from(nodes);
        self.sent.retain(|at| now.ms_since(*at) < WINDOW_MS);
        let is_sent = self.sent.len() < share as usize;
        if is_sent {
            self.sent.push(now);
        }
        is_sent
    }
}

impl NodeLimit for EndpointNotices {
    fn told(&mut self, limit: RequestRate, sent_at: Instant, now: Instant) {
        let notice = EndpointNotice { limit: Some(limit), ..EndpointNotice::default() };
        self.record(&notice, sent_at, now);
    }

    fn sends(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        self.try_send(nodes, random, now)
    }

    fn tells(&mut self, now: Instant) -> Option<LimitUse> {
        self.zone_use(now)
    }

    fn hears(&mut self, used: &LimitUse, nodes: u32, as_of: Instant) {
        self.record_zone_use(used, nodes, as_of);
    }
}

/// What the nodes told at one moment, and the sums by zone.
struct Told {
    at_ms: u64,
    nodes: Vec<Option<LimitUse>>,
    sums: Vec<Option<LimitUse>>,
}

impl Told {
    fn new(nodes: &mut [Node], zones: usize, now_ms: u64) -> Self {
        let now = Instant::from_ms(now_ms);
        let told: Vec<_> = nodes.iter_mut().map(|node| node.limit.tells(now)).collect();
        let sum = |zone| told.iter().skip(zone).step_by(zones).flatten().copied().reduce(add);
        Self { at_ms: now_ms, sums: (0..zones).map(sum).collect(), nodes: told }
    }

    /// Returns what the others of the zone of a node have told.
    fn others(&self, node: usize) -> Option<LimitUse> {
        let sum = self.sums[node % self.sums.len()]?;
        let (wanted, sent) = self.nodes[node].map_or((0, 0), |own| (own.wanted, own.sent));
        let sent_in_turn = sum.sent_in_turn - self.nodes[node].map_or(0, |own| own.sent_in_turn);
        Some(LimitUse { wanted: sum.wanted - wanted, sent: sum.sent - sent, sent_in_turn, ..sum })
    }
}

fn add(sum: LimitUse, used: LimitUse) -> LimitUse {
    LimitUse {
        rate: sum.rate,
        named_age_ms: sum.named_age_ms.min(used.named_age_ms),
        wanted: sum.wanted + used.wanted,
        sent: sum.sent + used.sent,
        sent_in_turn: sum.sent_in_turn + used.sent_in_turn,
    }
}

/// Lets the nodes hear what the others of their zone told a moment ago, each once in a period.
fn exchange(nodes: &mut [Node], zones: usize, told: &mut VecDeque<Told>, now_ms: u64) {
    if now_ms.is_multiple_of(TELL_MS) {
        told.push_back(Told::new(nodes, zones, now_ms));
    }
    while told.len() > 1 && told[1].at_ms + EXCHANGED_AGE_MS <= now_ms {
        told.pop_front();
    }
    let is_due = |told: &&Told| told.at_ms + EXCHANGED_AGE_MS <= now_ms;
    let Some(told) = told.front().filter(is_due) else { return };
    let count = nodes.len();
    for (number, node) in nodes.iter_mut().enumerate() {
        let phase_ms = number as u64 * STEP_MS;
        if (now_ms + phase_ms) % EXCHANGE_MS < STEP_MS {
            let others = (number % zones..count).step_by(zones).count() as u32 - 1;
            if let Some(sum) = told.others(number) {
                node.limit.hears(&sum, others, Instant::from_ms(told.at_ms));
            }
        }
    }
}

struct Node {
    limit: Box<dyn NodeLimit>,
    told_at: Option<u64>,
    // When answers arrive.
    answers_ms: Vec<u64>,
}

/// Plays a run; `new_limit` makes the part of a node that keeps to the limit.
pub fn run(setup: &Setup, seed: u64, new_limit: impl Fn() -> Box<dyn NodeLimit>) -> Report {
    let mut random = StdRng::seed_from_u64(seed);
    let new_node = || Node { limit: new_limit(), told_at: None, answers_ms: Vec::new() };
    let mut nodes: Vec<Node> = (0..setup.nodes).map(|_| new_node()).collect();
    let active = ((f64::from(setup.nodes) * setup.active_share).ceil() as usize).max(1);
    let limit = RequestRate::from_per_s(setup.limit_per_s).expect("the rate is valid");
    let (mut counted_ms, mut all) = (Vec::new(), 0_usize);
    let mut told = VecDeque::new();
    for now_ms in (0..setup.length_ms).step_by(STEP_MS as usize) {
        let now = Instant::from_ms(now_ms);
        if let Some(zones) = setup.exchange_zones {
            exchange(&mut nodes, zones, &mut told, now_ms);
        }
        for (_, share) in
            setup.restarts_ms.iter().filter(|(at, _)| *at / STEP_MS == now_ms / STEP_MS)
        {
            let count = (nodes.len() as f64 * share).ceil() as usize;
            nodes[..count].iter_mut().for_each(|node| *node = new_node());
        }
        for node in &mut nodes {
            let is_due = |at: &u64| *at <= now_ms;
            for at in node.answers_ms.iter().copied().filter(is_due) {
                node.limit.told(limit, Instant::from_ms(at - ANSWER_MS), now);
                node.told_at.get_or_insert(now_ms);
            }
            node.answers_ms.retain(|at| !is_due(at));
        }
        let is_burst = setup.burst_ms.is_some_and(|from_ms| now_ms >= from_ms);
        let demand_per_s = setup.demand_per_s * if is_burst { 10.0 } else { 1.0 };
        let mut expected = demand_per_s * STEP_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if random.random_bool(expected.min(1.0)) {
                let node = &mut nodes[random.random_range(0..active)];
                if node.limit.sends(setup.nodes, random.random(), now) {
                    node.answers_ms.push(now_ms + ANSWER_MS);
                    all += usize::from(now_ms >= STABLE_MS);
                    let counts = node.told_at.is_some_and(|at| now_ms >= at + TOLD_MS);
                    if counts && now_ms >= STABLE_MS {
                        counted_ms.push(now_ms);
                    }
                }
            }
            expected -= 1.0;
        }
    }
    let in_window =
        |&from: &u64| counted_ms.iter().filter(|at| (from..from + WINDOW_MS).contains(*at)).count();
    let allowed = setup.limit_per_s * (setup.length_ms - STABLE_MS) as f64 / 1_000.0;
    Report {
        worst_window: counted_ms.iter().map(in_window).max().unwrap_or_default(),
        used_share: all as f64 / allowed,
    }
}
