//! Whether the new version is worse than the old one.
//!
//! Cumulative sums of log-likelihood ratios, one for each route and one for all routes together, for
//! failures and for slow answers. The design note of roll-outs has the error bound.

use yuccapass_types::{EndpointId, NodeId, RouteId, SortedMap};

use super::evidence::{NodeEvidence, RouteCounts, VersionRole};
use super::progress::RollbackReason;

/// Maximum probability with which a sound version is found to be bad in an order.
const FALSE_ALARM: f64 = 0.001;

/// Answers of the target in the first period of a sum; each period has twice as many as all before it.
const FIRST_PERIOD_ANSWERS: f64 = 64.0;

/// Answers of the old version whose rates count as those of the same time.
const BASE_MEMORY: f64 = 400.0;

/// The prior of a rate: one event in this many answers.
const PRIOR_ANSWERS: f64 = 20.0;

/// Increases of a rate that the sums look for, at least: a small one that shows in many answers, and a
/// large one that shows in few.
const MIN_INCREASES: [f64; 2] = [0.15, 0.5];

/// Rates between which the sums are sensitive.
const RATE_RANGE: (f64, f64) = (0.01, 0.8);

/// Share of the old version's answers that are slow.
const SLOW_SHARE: f64 = 0.1;

/// Minimum number of complete answers of the old version that tell what is slow.
const MIN_TIMED_ANSWERS: f64 = 8.0;

/// Part of its limit at which a sum raises a suspicion.
const SUSPICIOUS_LEVEL: f64 = 0.5;

/// Minimum number of failures of an endpoint that shows a fault of its version.
const MIN_ENDPOINT_FAILURES: u64 = 2;

/// What the answers say about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is no sign that it is worse.
    Sound,
    /// It may be worse; more answers will tell.
    Suspect,
    /// It is worse.
    Bad(RollbackReason),
}

/// Sums of log-likelihood ratios that are reset at 0, one for each increase of the rate.
#[derive(Debug, Clone, Copy, Default)]
struct CumulativeSum {
    values: [f64; MIN_INCREASES.len()],
    answers: f64,
}

impl CumulativeSum {
    /// Adds `events` among `answers`, whose rate is at most `rate` if the version is sound.
    fn add(&mut self, events: f64, answers: f64, rate: f64) {
        // If nearly all answers of the old version are such events, those of the target say nothing.
        if rate > RATE_RANGE.1 {
            return;
        }
        let usual = rate.max(RATE_RANGE.0);
        for (value, min_increase) in self.values.iter_mut().zip(MIN_INCREASES) {
            let increased = (usual + usual.max(min_increase)).min(0.95);
            let of_event = (increased / usual).ln();
            let of_other = ((1.0 - increased) / (1.0 - usual)).ln();
            *value = (*value + events * of_event + (answers - events) * of_other).max(0.0);
        }
        self.answers += answers;
    }

    /// Returns the larger sum as a multiple of its limit. `false_alarm` is the probability with which a
    /// sum may reach the limit if the version is sound.
    fn level(&self, false_alarm: f64) -> f64 {
        let value = self.values.into_iter().fold(0.0, f64::max);
        let period = (self.answers / FIRST_PERIOD_ANSWERS).max(1.0).log2().ceil();
        let answers = FIRST_PERIOD_ANSWERS * period.exp2();
        // The inverses of the weights of all periods have the sum 1.
        let weight = if period == 0.0 { 2.0 } else { 2.0 * period * (period + 1.0) };
        value / (answers * weight / false_alarm).ln()
    }
}

/// Recent answers of the old version on a route.
#[derive(Debug, Clone, Default)]
struct RecentBase {
    failures: f64,
    untimed: f64,
    times: Vec<(u8, f64)>,
}

impl RecentBase {
    fn answers(&self) -> f64 {
        self.failures + self.untimed + self.timed()
    }

    fn timed(&self) -> f64 {
        self.times.iter().map(|&(_, count)| count).sum()
    }

    /// Adds answers, and forgets as many of the earlier ones once there are enough.
    fn add(&mut self, counts: &RouteCounts) {
        let known = self.answers();
        let excess = (known + counts.answers() as f64 - BASE_MEMORY).max(0.0);
        let kept = if known > 0.0 { (1.0 - excess / known).max(0.0) } else { 1.0 };
        self.failures = self.failures * kept + counts.failures as f64;
        self.untimed = self.untimed * kept + counts.untimed as f64;
        self.times.iter_mut().for_each(|(_, count)| *count *= kept);
        for &(bucket, added) in &counts.times {
            match self.times.binary_search_by_key(&bucket, |&(at, _)| at) {
                Ok(position) => self.times[position].1 += added as f64,
                Err(position) => self.times.insert(position, (bucket, added as f64)),
            }
        }
    }

    /// Returns the bucket beyond which an answer is slow, and the share of such answers; `None` if
    /// there are too few answers.
    fn slow_beyond(&self) -> Option<(u8, f64)> {
        let timed = self.timed();
        if timed < MIN_TIMED_ANSWERS {
            return None;
        }
        let mut beyond = timed;
        let position = self.times.iter().position(|&(_, count)| {
            beyond -= count;
            beyond <= timed * SLOW_SHARE
        })?;
        // One more bucket, so that small differences between endpoints do not count.
        let bucket = self.times[position].0 + 1;
        let slower = self.times.iter().filter(|&&(at, _)| at > bucket).map(|&(_, count)| count);
        Some((bucket, upper_bound(slower.sum(), timed)))
    }
}

/// Returns an upper bound of a rate: two standard errors above its estimate with the prior.
fn upper_bound(events: f64, answers: f64) -> f64 {
    let answers = answers + PRIOR_ANSWERS;
    let rate = ((events + 1.0) / answers).min(1.0);
    rate + 2.0 * (rate * (1.0 - rate) / answers).sqrt()
}

#[derive(Debug, Clone, Default)]
struct RouteState {
    base: RecentBase,
    failures: CumulativeSum,
    slowness: CumulativeSum,
    // Not judged yet.
    batch_base: RouteCounts,
    batch_target: RouteCounts,
}

/// Events, answers and expected events of all routes in a batch.
#[derive(Debug, Clone, Copy, Default)]
struct Pool {
    events: f64,
    answers: f64,
    expected: f64,
}

impl Pool {
    fn add(&mut self, events: f64, answers: f64, rate: f64) {
        self.events += events;
        self.answers += answers;
        self.expected += answers * rate;
    }

    fn add_to(self, sum: &mut CumulativeSum) {
        if self.answers > 0.0 {
            sum.add(self.events, self.answers, self.expected / self.answers);
        }
    }
}

/// Compares the answers of the target of an order with those of the old version.
#[derive(Debug, Clone)]
pub struct VersionJudge {
    // How many nodes judge the order by themselves.
    population: u32,
    // The last evidence of each node.
    known: SortedMap<NodeId, NodeEvidence>,
    // Answers and failures of processes that have ended.
    ended: SortedMap<EndpointId, (u64, u64)>,
    routes: SortedMap<RouteId, RouteState>,
    all_failures: CumulativeSum,
    all_slowness: CumulativeSum,
    verdict: Verdict,
}

impl VersionJudge {
    /// Creates a judge that has seen no answers, one of `population` judges of the same order.
    pub fn new(population: u32) -> Self {
        Self {
            population: population.max(1),
            known: SortedMap::new(),
            ended: SortedMap::new(),
            routes: SortedMap::new(),
            all_failures: CumulativeSum::default(),
            all_slowness: CumulativeSum::default(),
            verdict: Verdict::Sound,
        }
    }

    /// Adds what a node has counted since its last evidence.
    pub fn record(&mut self, node: &NodeId, evidence: &NodeEvidence) {
        let earlier = self.known.get(node);
        let earlier = earlier.filter(|earlier| earlier.incarnation == evidence.incarnation);
        for route in &evidence.routes {
            let before = earlier.and_then(|earlier| {
                let same = |known: &&_| is_same_route(known, route);
                earlier.routes.iter().find(same)
            });
            let added = match before {
                Some(before) => route.counts.since(&before.counts),
                None => route.counts.clone(),
            };
            let state = self.routes.get_or_insert_with(route.route.clone(), RouteState::default);
            match route.version {
                VersionRole::Base => state.batch_base.add(&added),
                VersionRole::Target => state.batch_target.add(&added),
            }
        }
        if let Some(previous) = self.known.insert(node.clone(), evidence.clone())
            && previous.incarnation != evidence.incarnation
        {
            for (endpoint, answers, failures) in previous.endpoints {
                let ended = self.ended.get_or_insert_with(endpoint, || (0, 0));
                *ended = (ended.0 + answers, ended.1 + failures);
            }
        }
    }

    /// Judges what was added since the last time.
    pub fn judge(&mut self) -> Verdict {
        if matches!(self.verdict, Verdict::Bad(_)) {
            return self.verdict;
        }
        let (mut failures, mut slowness) = (Pool::default(), Pool::default());
        for state in self.routes.values_mut() {
            judge_route(state, &mut failures, &mut slowness);
        }
        failures.add_to(&mut self.all_failures);
        slowness.add_to(&mut self.all_slowness);
        self.verdict = self.current();
        self.verdict
    }

    fn current(&self) -> Verdict {
        let sums = 2 * (self.routes.len() + 1) * MIN_INCREASES.len();
        let false_alarm = FALSE_ALARM / (sums as f64 * f64::from(self.population));
        let highest = |sum_of: fn(&RouteState) -> CumulativeSum, all: CumulativeSum| {
            let levels = self.routes.values().map(|state| sum_of(state).level(false_alarm));
            levels.fold(all.level(false_alarm), f64::max)
        };
        let failures = highest(|state| state.failures, self.all_failures);
        let slowness = highest(|state| state.slowness, self.all_slowness);
        if failures >= 1.0 && self.is_spread() {
            return Verdict::Bad(RollbackReason::Failures);
        }
        if slowness >= 1.0 {
            return Verdict::Bad(RollbackReason::Slowness);
        }
        if failures.max(slowness) >= SUSPICIOUS_LEVEL { Verdict::Suspect } else { Verdict::Sound }
    }

    /// Returns the number of answers of the target that were recorded.
    pub fn target_answers(&self) -> u64 {
        let known = self.known.values().map(|evidence| evidence.target_answers().0);
        known.chain(self.ended.values().map(|&(answers, _)| answers)).sum()
    }

    /// Returns whether the failures are not those of a single endpoint among several.
    fn is_spread(&self) -> bool {
        let mut endpoints = self.ended.clone();
        for evidence in self.known.values() {
            for (endpoint, answers, failures) in &evidence.endpoints {
                let sum = endpoints.get_or_insert_with(endpoint.clone(), || (0, 0));
                *sum = (sum.0 + answers, sum.1 + failures);
            }
        }
        let failing =
            endpoints.values().filter(|(_, failures)| *failures >= MIN_ENDPOINT_FAILURES).count();
        failing >= 2 || endpoints.len() <= 1
    }
}

fn is_same_route(known: &super::RouteEvidence, route: &super::RouteEvidence) -> bool {
    known.route == route.route && known.version == route.version
}

fn judge_route(state: &mut RouteState, failures: &mut Pool, slowness: &mut Pool) {
    let base = std::mem::take(&mut state.batch_base);
    let target = std::mem::take(&mut state.batch_target);
    state.base.add(&base);
    let answers = target.answers() as f64;
    if answers == 0.0 {
        return;
    }
    let failure_rate = upper_bound(state.base.failures, state.base.answers())
        .max(latest_rate(base.failures, base.answers()));
    state.failures.add(target.failures as f64, answers, failure_rate);
    failures.add(target.failures as f64, answers, failure_rate);
    let timed = target.timed() as f64;
    if let Some((bucket, recent_rate)) = state.base.slow_beyond()
        && timed > 0.0
    {
        let rate = recent_rate.max(latest_rate(base.slower_than(bucket), base.timed()));
        let slow = target.slower_than(bucket) as f64;
        state.slowness.add(slow, timed, rate);
        slowness.add(slow, timed, rate);
    }
}

/// Returns the rate of the old version in the latest batch, in which a disturbance may have begun.
fn latest_rate(events: u64, answers: u64) -> f64 {
    let is_enough = answers as f64 >= PRIOR_ANSWERS;
    if is_enough { upper_bound(events as f64, answers as f64) } else { 0.0 }
}
