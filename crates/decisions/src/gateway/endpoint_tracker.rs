//! Load and failures of one endpoint, as seen by this node.

use yuccapass_types::{Deadline, Instant, RequestRate, Slowdown, Tokens};

use super::endpoint_speed::{EndpointSpeed, RequestWork, ServicePace, SlowdownEstimate};
use super::paced_turns::PacedTurns;
use super::placement::CandidateSpeed;
use super::zone_room::{self, EndpointUse};

/// The load that an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there now, if the endpoint reports it.
    pub slowdown: Option<Slowdown>,
}

impl LoadReport {
    /// Returns whether requests wait, or nearly all slots are taken.
    pub fn is_nearly_full(&self) -> bool {
        self.waiting > 0 || u64::from(self.running) * 10 >= u64::from(self.slots) * 9
    }
}

/// What a node knows of the load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KnownLoad {
    /// Requests that this node has there.
    pub own_requests: u32,
    /// Tokens of these requests, as they were recorded when they were sent.
    pub own_tokens: Tokens,
    /// Requests of other nodes there, by the last report, as far as that still counts, and by the
    /// counts of the zone.
    pub others: f64,
    /// How far the last report still counts, from 0 (not at all, or there is none) to 1.
    pub report_weight: f64,
}

/// The requests that the other nodes of the zone have outstanding at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneLoad {
    /// Their number.
    pub requests: u32,
    /// Tokens in their prompts.
    pub tokens: Tokens,
    /// A random part of the zone's [`load_spread`](zone_room::load_spread) in a period of the exchange.
    pub spread: f64,
    /// Share of the other nodes of the zone that are counted, from 0 to 1.
    pub coverage: f64,
    /// The counts are not older than this.
    pub as_of: Instant,
}

impl ZoneLoad {
    fn weight(&self, now: Instant) -> f64 {
        self.coverage.clamp(0.0, 1.0) * zone_room::weight(now.ms_since(self.as_of))
    }

    /// Returns the requests that may have been sent since the counts or the last report.
    fn unseen(&self, reported_at: Option<Instant>, now: Instant) -> f64 {
        let seen_at = reported_at.map_or(self.as_of, |at| at.max(self.as_of));
        self.spread * now.ms_since(seen_at) as f64 / zone_room::PERIOD_MS as f64
    }

    /// Returns the number of requests at an instant between these counts and later ones.
    fn requests_at(&self, later: &Self, instant: Instant) -> f64 {
        let (first, last) = (f64::from(self.requests), f64::from(later.requests));
        let between_ms = later.as_of.ms_since(self.as_of).max(1) as f64;
        let part = (instant.ms_since(self.as_of) as f64 / between_ms).min(1.0);
        first + part * (last - first)
    }
}

/// What to do about a request whose answer has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceStep {
    /// Wait until this time at least.
    Wait(Deadline),
    /// Check whether the endpoint is reachable.
    Check,
    /// Give the attempt up: the endpoint is not reachable.
    GiveUp,
}

/// Settings of an [`EndpointTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointTrackerSettings {
    /// Half-life of the load of other nodes, counted from the endpoint's last report.
    pub report_half_life_ms: u64,
    /// How long an endpoint is avoided after a failure; it doubles with each consecutive failure.
    pub base_avoid_ms: u64,
    /// Maximum time for which a failing endpoint is avoided.
    pub max_avoid_ms: u64,
    /// How long an endpoint is avoided after it rejected a request.
    pub rejection_avoid_ms: u64,
    /// The same for an endpoint with outdated weights: before it swaps them, it rejects requests
    /// until its running requests have finished.
    pub swap_avoid_ms: u64,
}

impl Default for EndpointTrackerSettings {
    /// A half-life of 1 s for the load of other nodes; avoidance for 500 ms to 4 s after failures,
    /// 150 ms after a rejection and 1 s after a rejection by an endpoint with outdated weights.
    fn default() -> Self {
        Self {
            report_half_life_ms: 1_000,
            base_avoid_ms: 500,
            max_avoid_ms: 4_000,
            rejection_avoid_ms: 150,
            swap_avoid_ms: 1_000,
        }
    }
}

/// Weight of a new sample in the moving average of prompt lengths.
const MEAN_TOKENS_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Share of the capacity of a slow endpoint that all nodes together use to see whether it has
/// recovered.
const SLOW_SHARE: f64 = 0.25;

/// Tracks the load and failures of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointTracker {
    settings: EndpointTrackerSettings,
    outstanding: u32,
    outstanding_tokens: Tokens,
    // Sent since `take_use` was last called.
    sent: u32,
    mean_tokens: f64,
    other_load: f64,
    reported_at: Option<Instant>,
    zone_load: Option<ZoneLoad>,
    // What the report says beyond the zone's counts at its time.
    unknown_load: f64,
    // When the endpoint last began or completed an answer.
    answered_at: Option<Instant>,
    failures_in_a_row: u32,
    failure_rate: f64,
    avoid_until: Option<Deadline>,
    rejected_until: Option<Deadline>,
    cold_turns: PacedTurns,
    slow_turns: PacedTurns,
    is_slow: bool,
    // When it was last checked whether the endpoint is reachable, and when it was not.
    checked_at: Option<Instant>,
    unreachable_at: Option<Instant>,
    slots: Option<u32>,
    speed: EndpointSpeed,
    pace: ServicePace,
    // Tokens of this node's requests that the endpoint had still to prefill at `backlog_at`.
    backlog_tokens: f64,
    backlog_at: Instant,
    // When the requests were sent whose answers have not begun. Sorted.
    pending: Vec<Instant>,
}

impl EndpointTracker {
    /// Creates the tracker of an endpoint to which no request was sent.
    pub fn new(settings: EndpointTrackerSettings) -> Self {
        Self {
            settings,
            outstanding: 0,
            outstanding_tokens: Tokens::ZERO,
            sent: 0,
            mean_tokens: 0.0,
            other_load: 0.0,
            reported_at: None,
            zone_load: None,
            unknown_load: 0.0,
            answered_at: None,
            failures_in_a_row: 0,
            failure_rate: 0.0,
            avoid_until: None,
            rejected_until: None,
            cold_turns: PacedTurns::default(),
            slow_turns: PacedTurns::default(),
            is_slow: false,
            checked_at: None,
            unreachable_at: None,
            slots: None,
            speed: EndpointSpeed::default(),
            pace: ServicePace::default(),
            backlog_tokens: 0.0,
            backlog_at: Instant::default(),
            pending: Vec::new(),
        }
    }

    /// Sets the number of requests that the endpoint can run at once, until it reports it.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = Some(slots);
        self
    }

    /// Sets what this node has learnt about the endpoint's service.
    pub fn set_pace(&mut self, pace: ServicePace) {
        self.pace = pace;
    }

    /// Records that a request with a prompt of `tokens` is sent.
    pub fn record_sent(&mut self, tokens: Tokens) {
        self.outstanding += 1;
        self.sent = self.sent.saturating_add(1);
        self.outstanding_tokens = self.outstanding_tokens + tokens;
        self.mean_tokens += MEAN_TOKENS_WEIGHT * (tokens.get() as f64 - self.mean_tokens);
    }

    /// Records the work of a request that is sent. Prefill is estimated to go on at the endpoint's
    /// expected speed.
    pub fn record_work(&mut self, work: &RequestWork, now: Instant) {
        self.backlog_tokens = self.remaining_backlog_tokens(now) + work.uncached.get() as f64;
        self.backlog_at = now;
        // Requests of several threads may be recorded in another order than they were sent.
        let position = self.pending.partition_point(|sent_at| *sent_at <= now);
        self.pending.insert(position, now);
    }

    /// Records that the answer to a request that was sent at `sent_at` has begun, or that it ended
    /// without an answer.
    pub fn record_not_pending(&mut self, sent_at: Instant) {
        if let Ok(position) = self.pending.binary_search(&sent_at) {
            self.pending.remove(position);
        }
    }

    /// Records that a request with a prompt of `tokens` has ended, successfully or not.
    pub fn record_ended(&mut self, tokens: Tokens) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.outstanding_tokens = self.outstanding_tokens.saturating_sub(tokens);
    }

    /// Returns what this node has outstanding, and what it has sent since the last call.
    pub fn take_use(&mut self) -> EndpointUse {
        EndpointUse {
            requests: self.outstanding,
            tokens: self.outstanding_tokens,
            sent: std::mem::take(&mut self.sent),
        }
    }

    /// Records a load report, which includes the requests of this node.
    pub fn record_load(&mut self, report: LoadReport, now: Instant) {
        let total = report.running.saturating_add(report.waiting);
        self.other_load = f64::from(total.saturating_sub(self.outstanding));
        let zone_requests = self.zone_load.map_or(0.0, |zone_load| zone_load.requests.into());
        // It is negative if requests of the zone have ended since they were counted.
        self.unknown_load = self.other_load - zone_requests;
        self.reported_at = Some(now);
        self.slots = Some(report.slots);
        if let Some(slowdown) = report.slowdown {
            self.speed.record_report(slowdown, now);
            self.is_slow = self.speed.is_slow(&self.pace, now);
        }
    }

    /// Records that the answer to a request with this work that was sent at `sent_at` has begun. This
    /// shows the speed of endpoints that do not report it, and the queues that none reports.
    pub fn record_begun(&mut self, work: &RequestWork, sent_at: Instant, now: Instant) {
        self.record_not_pending(sent_at);
        let (waited_ms, expected_ms) = (now.ms_since(sent_at), self.pace.begin_ms(work));
        self.speed.record_answer(waited_ms, expected_ms, now);
    }

    /// Records what the other nodes of the zone have outstanding at the endpoint.
    pub fn record_zone_load(&mut self, zone_load: ZoneLoad) {
        let last = self.zone_load.replace(zone_load);
        let Some(reported_at) = self.reported_at else { return };
        if last.is_some_and(|last| last.as_of >= reported_at) {
            return;
        }
        // These are the first counts since the report, or still older than it.
        self.unknown_load = match zone_load.as_of < reported_at {
            true => self.other_load - f64::from(zone_load.requests),
            false => {
                let at_report = last.unwrap_or(zone_load).requests_at(&zone_load, reported_at);
                (self.other_load - at_report).max(0.0)
            }
        };
    }

    /// Decides what to do about a request that was sent at `sent_at` and whose answer has not begun.
    /// An endpoint of which nothing was heard for `patience_ms` is checked, by one request at a time.
    pub fn silence_step(
        &mut self,
        sent_at: Instant,
        patience_ms: u64,
        now: Instant,
    ) -> SilenceStep {
        if self.unreachable_at.is_some_and(|at| at >= sent_at) {
            return SilenceStep::GiveUp;
        }
        let last =
            [self.answered_at, self.checked_at].into_iter().flatten().fold(sent_at, Ord::max);
        let check_at = Deadline::after_ms(last, patience_ms);
        if !check_at.has_passed(now) {
            return SilenceStep::Wait(check_at);
        }
        self.checked_at = Some(now);
        SilenceStep::Check
    }

    /// Records whether the endpoint was reachable when it was checked.
    pub fn record_check(&mut self, is_reachable: bool, now: Instant) {
        self.unreachable_at = (!is_reachable).then_some(now);
    }

    /// Records that the endpoint has begun an answer.
    pub fn record_answer_begun(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.unreachable_at = None;
    }

    /// Records a complete answer that does not report a failure.
    pub fn record_success(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.failures_in_a_row = 0;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.avoid_until = None;
    }

    /// Records a complete answer that reports a failure of the endpoint. The endpoint is reachable,
    /// so it is not avoided.
    pub fn record_error_answer(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records that the endpoint was unreachable or broke the connection, or that nothing is heard of
    /// it.
    pub fn record_failure(&mut self, now: Instant) {
        self.record_error_answer();
        let doublings = self.failures_in_a_row.min(16);
        self.failures_in_a_row += 1;
        let avoid_ms = self.settings.base_avoid_ms.saturating_mul(1 << doublings);
        let avoid_ms = avoid_ms.min(self.settings.max_avoid_ms);
        self.avoid_until = Some(Deadline::after_ms(now, avoid_ms));
    }

    /// Records that the time for a request ran out, and the endpoint had sent nothing for it since
    /// `silent_since`.
    ///
    /// If it has answered other requests meanwhile, it is only slow for this one, or the time was
    /// short, so it is not avoided: avoiding one of a few sound endpoints overloads the others.
    pub fn record_silence(&mut self, silent_since: Instant, now: Instant) {
        match self.has_answered_since(silent_since) {
            true => self.record_error_answer(),
            false => self.record_failure(now),
        }
    }

    /// Returns whether the endpoint has begun or completed an answer after `instant`.
    pub fn has_answered_since(&self, instant: Instant) -> bool {
        self.answered_at.is_some_and(|at| at > instant)
    }

    /// Records that the endpoint rejected a request; `is_outdated` if its weights are older than
    /// the target weights.
    pub fn record_rejection(&mut self, is_outdated: bool, now: Instant) {
        let avoid_ms = match is_outdated {
            true => self.settings.swap_avoid_ms,
            false => self.settings.rejection_avoid_ms,
        };
        self.rejected_until = Some(Deadline::after_ms(now, avoid_ms));
    }

    /// Returns the estimated number of requests at the endpoint, from this node and others.
    pub fn load(&self, now: Instant) -> f64 {
        f64::from(self.outstanding) + self.other_requests_and_tokens(now).0
    }

    /// Returns the estimated tokens in the prompts at the endpoint. The prompts of other nodes that are
    /// known only from the endpoint's reports are assumed to be as long as the average of this node,
    /// since all nodes get the same mix.
    pub fn load_tokens(&self, now: Instant) -> f64 {
        self.outstanding_tokens.get() as f64 + self.other_requests_and_tokens(now).1
    }

    /// Returns the average of the slowdowns that were reported or observed, as a multiple of the usual
    /// time.
    pub fn mean_slowdown(&self) -> Option<f64> {
        self.speed.mean()
    }

    /// Returns whether the endpoint reports its slowdown.
    pub fn reports_slowdown(&self) -> bool {
        self.speed.has_reported()
    }

    /// Returns the estimated slowdown; `None` before the first report or answer.
    pub fn slowdown(&self, now: Instant) -> Option<SlowdownEstimate> {
        self.speed.estimate(&self.pace, now)
    }

    /// Returns the expected time from sending a request to the beginning of its answer, in
    /// milliseconds: the queue for slots and memory, the prefill of this node's other requests, and its
    /// own prefill, at the endpoint's expected speed.
    pub fn expected_wait_ms(&self, work: &RequestWork, now: Instant) -> f64 {
        let prefill_ms = self.remaining_backlog_tokens(now) * self.pace.token_ms();
        let queue_ms = self.queue_ms(now).max(self.memory_ms(work, now)) + prefill_ms;
        let queue_ms = (queue_ms * self.factor(now)).max(self.overdue_ms(now));
        queue_ms + self.pace.begin_ms(work) * self.factor(now)
    }

    /// Returns how long this node's oldest request without an answer has been waiting there beyond the
    /// usual time. Engines do not report the prompts that they have to prefill, and an overloaded one
    /// reports nothing until it begins an answer.
    fn overdue_ms(&self, now: Instant) -> f64 {
        let pending_ms = self.pending.first().map_or(0, |sent_at| now.ms_since(*sent_at));
        let usual_ms = self.pace.base_ms() * self.factor(now);
        (pending_ms as f64 - usual_ms).max(0.0)
    }

    /// Returns the expected time to prefill a token, in milliseconds.
    pub fn token_ms(&self, now: Instant) -> f64 {
        self.pace.token_ms() * self.factor(now)
    }

    /// Returns how long a request waits for memory at the usual speed: requests release the memory of
    /// their prompts evenly over the time that a request runs.
    fn memory_ms(&self, work: &RequestWork, now: Instant) -> f64 {
        let Some(capacity) = self.pace.capacity() else { return 0.0 };
        let capacity = capacity.get() as f64;
        let needed = self.load_tokens(now) + (work.prompt + work.output).get() as f64;
        (needed - capacity).max(0.0) * self.pace.run_ms() / capacity.max(1.0)
    }

    /// Returns how long a request waits for a slot at the usual speed. All slots end their requests
    /// evenly spread over the time that a request runs.
    fn queue_ms(&self, now: Instant) -> f64 {
        let Some(slots) = self.slots.filter(|slots| *slots > 0) else { return 0.0 };
        let slots = f64::from(slots);
        let excess = (self.load(now) + 1.0 - slots).max(0.0);
        excess * self.pace.run_ms() / slots
    }

    fn remaining_backlog_tokens(&self, now: Instant) -> f64 {
        let elapsed_ms = now.ms_since(self.backlog_at) as f64;
        let token_ms = self.token_ms(now);
        match token_ms > 0.0 {
            true => (self.backlog_tokens - elapsed_ms / token_ms).max(0.0),
            false => 0.0,
        }
    }

    /// Returns the expected time of work, as a multiple of the usual time.
    pub fn factor(&self, now: Instant) -> f64 {
        self.slowdown(now).map_or(1.0, |estimate| estimate.expected.factor())
    }

    /// Returns the own requests at the endpoint and what is known of those of other nodes.
    pub fn known_load(&self, now: Instant) -> KnownLoad {
        KnownLoad {
            own_requests: self.outstanding,
            own_tokens: self.outstanding_tokens,
            others: self.other_requests_and_tokens(now).0,
            report_weight: self.report_weight(now),
        }
    }

    /// Returns the estimated requests of other nodes, and the tokens in their prompts.
    ///
    /// The counts of the zone say what its nodes have outstanding now, also what they have sent since
    /// the last report; the part of the report that they do not include belongs to other zones. As the
    /// counts grow old, the report alone decides.
    fn other_requests_and_tokens(&self, now: Instant) -> (f64, f64) {
        let decay = self.report_weight(now);
        let reported = self.other_load * decay;
        let Some(zone_load) = &self.zone_load else {
            return (reported, reported * self.mean_tokens);
        };
        let weight = zone_load.weight(now);
        let beyond_zone = weight * self.unknown_load * decay + (1.0 - weight) * reported;
        let unseen = zone_load.unseen(self.reported_at, now);
        let zone_requests = weight * (f64::from(zone_load.requests) + unseen);
        let zone_tokens = weight * zone_load.tokens.get() as f64;
        let tokens = zone_tokens + beyond_zone * self.mean_tokens;
        ((zone_requests + beyond_zone).max(0.0), tokens.max(0.0))
    }

    fn report_weight(&self, now: Instant) -> f64 {
        let age_ms = self.reported_at.map_or(u64::MAX, |at| now.ms_since(at));
        let halvings = age_ms as f64 / self.settings.report_half_life_ms as f64;
        0.5_f64.powf(halvings.min(64.0))
    }

    /// Returns the moving average of failed answers, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether to prefer any other endpoint over this one.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.is_failing(now) || is_pending(self.rejected_until, now)
    }

    /// Returns whether the endpoint is avoided because of recent failures.
    pub fn is_failing(&self, now: Instant) -> bool {
        is_pending(self.avoid_until, now)
    }

    /// Returns whether this node may send a request to the endpoint while it is cold. `rate` is what
    /// `nodes` nodes may send together, and `random`, from 0 to 1, delays the first request.
    pub fn may_send_cold(
        &mut self,
        rate: RequestRate,
        nodes: u32,
        random: f64,
        now: Instant,
    ) -> bool {
        self.cold_turns.is_due(rate, nodes, random, now)
    }

    /// Records that a request is sent to the endpoint while it is cold.
    pub fn record_sent_cold(&mut self, now: Instant) {
        self.cold_turns.record_taken(now);
    }

    /// Returns whether the endpoint has reported to be far slower than its service, and not
    /// recovered since.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns whether this node may send a request to the endpoint while it is slow, to see whether
    /// it has recovered. `nodes` nodes together use only a part of its capacity, and `random`, from 0
    /// to 1, delays the first request.
    pub fn may_send_slow(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        let slots = f64::from(self.slots.unwrap_or(1).max(1));
        let run_s = self.pace.run_ms().max(1.0) * self.factor(now) / 1_000.0;
        let rate = RequestRate::from_per_s(SLOW_SHARE * slots / run_s).unwrap_or_default();
        self.slow_turns.is_due(rate, nodes, random, now)
    }

    /// Returns how fast the endpoint is expected to run a request with this work, for its placement
    /// by one of `nodes` nodes. `random` is from 0 to 1.
    pub fn speed_for(
        &mut self,
        work: &RequestWork,
        nodes: u32,
        random: f64,
        now: Instant,
    ) -> CandidateSpeed {
        CandidateSpeed {
            factor: self.factor(now),
            lasting_factor: self.speed.lasting_factor(&self.pace, now),
            wait_ms: self.expected_wait_ms(work, now),
            token_ms: self.token_ms(now),
            run_ms: self.pace.run_ms(),
            is_barred: self.is_slow && !self.may_send_slow(nodes, random, now),
        }
    }

    /// Records that a request is sent to the endpoint while it is slow.
    pub fn record_sent_slow(&mut self, now: Instant) {
        self.slow_turns.record_taken(now);
    }
}

fn is_pending(until: Option<Deadline>, now: Instant) -> bool {
    until.is_some_and(|at| !at.has_passed(now))
}
