//! Load and failures of one endpoint, as seen by this node.

use yuccapass_types::{Deadline, Instant, RequestRate, Slowdown, Tokens};

use super::endpoint_speed::{EndpointSpeed, RequestWork, ServicePace, SlowdownEstimate};

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

/// What a node knows of the load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KnownLoad {
    /// Requests that this node has there.
    pub own_requests: u32,
    /// Tokens of these requests, as they were recorded when they were sent.
    pub own_tokens: Tokens,
    /// Requests of other nodes there, by the last report and as far as that still counts.
    pub reported_others: f64,
    /// How far the last report still counts, from 0 (not at all, or there is none) to 1.
    pub report_weight: f64,
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

/// Tracks the load and failures of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointTracker {
    settings: EndpointTrackerSettings,
    outstanding: u32,
    outstanding_tokens: Tokens,
    mean_tokens: f64,
    other_load: f64,
    reported_at: Option<Instant>,
    // When the endpoint last began or completed an answer.
    answered_at: Option<Instant>,
    failures_in_a_row: u32,
    failure_rate: f64,
    avoid_until: Option<Deadline>,
    rejected_until: Option<Deadline>,
    // When the next request may be sent if the endpoint is cold.
    next_cold_at: Option<Instant>,
    cold_period_ms: u64,
    slots: Option<u32>,
    speed: EndpointSpeed,
    pace: ServicePace,
    // Tokens of this node's requests that the endpoint had still to prefill at `backlog_at`.
    backlog_tokens: f64,
    backlog_at: Instant,
}

impl EndpointTracker {
    /// Creates the tracker of an endpoint to which no request was sent.
    pub fn new(settings: EndpointTrackerSettings) -> Self {
        Self {
            settings,
            outstanding: 0,
            outstanding_tokens: Tokens::ZERO,
            mean_tokens: 0.0,
            other_load: 0.0,
            reported_at: None,
            answered_at: None,
            failures_in_a_row: 0,
            failure_rate: 0.0,
            avoid_until: None,
            rejected_until: None,
            next_cold_at: None,
            cold_period_ms: 0,
            slots: None,
            speed: EndpointSpeed::default(),
            pace: ServicePace::default(),
            backlog_tokens: 0.0,
            backlog_at: Instant::default(),
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
        self.outstanding_tokens = self.outstanding_tokens + tokens;
        self.mean_tokens += MEAN_TOKENS_WEIGHT * (tokens.get() as f64 - self.mean_tokens);
    }

    /// Records the work of a request that is sent. Prefill is estimated to go on at the endpoint's
    /// expected speed.
    pub fn record_work(&mut self, work: &RequestWork, now: Instant) {
        self.backlog_tokens = self.remaining_backlog_tokens(now) + work.uncached.get() as f64;
        self.backlog_at = now;
    }

    /// Records that a request with a prompt of `tokens` has ended, successfully or not.
    pub fn record_ended(&mut self, tokens: Tokens) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.outstanding_tokens = self.outstanding_tokens.saturating_sub(tokens);
    }

    /// Records a load report, which includes the requests of this node.
    pub fn record_load(&mut self, report: LoadReport, now: Instant) {
        let total = report.running.saturating_add(report.waiting);
        self.other_load = f64::from(total.saturating_sub(self.outstanding));
        self.reported_at = Some(now);
        self.slots = Some(report.slots);
        if let Some(slowdown) = report.slowdown {
            self.speed.record_report(slowdown, now);
        }
    }

    /// Records that the answer to a request began `waited_ms` after it was sent. This shows the
    /// speed of endpoints that do not report it.
    pub fn record_begun_after(&mut self, waited_ms: u64, work: &RequestWork, now: Instant) {
        let expected_ms = self.pace.begin_ms(work);
        self.speed.record_answer(waited_ms, expected_ms, now);
    }

    /// Records that the endpoint has begun an answer.
    pub fn record_answer_begun(&mut self, now: Instant) {
        self.answered_at = Some(now);
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
        f64::from(self.outstanding) + self.decayed_other_load(now)
    }

    /// Returns the estimated tokens in the prompts at the endpoint. The prompts of other nodes are
    /// assumed to be as long as the average of this node, since all nodes get the same mix.
    pub fn load_tokens(&self, now: Instant) -> f64 {
        self.outstanding_tokens.get() as f64 + self.decayed_other_load(now) * self.mean_tokens
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
    /// milliseconds: the queue, the prefill of this node's other requests, and its own prefill, at
    /// the endpoint's expected speed.
    pub fn expected_wait_ms(&self, work: &RequestWork, now: Instant) -> f64 {
        let prefill_ms = self.remaining_backlog_tokens(now) * self.pace.token_ms();
        let usual_ms = self.queue_ms(now) + prefill_ms + self.pace.begin_ms(work);
        usual_ms * self.factor(now)
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
        let token_ms = self.pace.token_ms() * self.factor(now);
        match token_ms > 0.0 {
            true => (self.backlog_tokens - elapsed_ms / token_ms).max(0.0),
            false => 0.0,
        }
    }

    /// Returns the expected time of work, as a multiple of the usual time.
    fn factor(&self, now: Instant) -> f64 {
        self.slowdown(now).map_or(1.0, |estimate| estimate.expected.factor())
    }

    /// Returns the own requests at the endpoint and what is known of those of other nodes.
    pub fn known_load(&self, now: Instant) -> KnownLoad {
        KnownLoad {
            own_requests: self.outstanding,
            own_tokens: self.outstanding_tokens,
            reported_others: self.decayed_other_load(now),
            report_weight: self.report_weight(now),
        }
    }

    fn decayed_other_load(&self, now: Instant) -> f64 {
        self.other_load * self.report_weight(now)
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
    /// `nodes` nodes may send together.
    ///
    /// Unused capacity does not accumulate, and the first request is delayed by `random`, from 0 to
    /// 1, times the period. Otherwise all nodes would send a request at the moment at which the
    /// endpoint becomes cold.
    pub fn may_send_cold(
        &mut self,
        rate: RequestRate,
        nodes: u32,
        random: f64,
        now: Instant,
    ) -> bool {
        let Some(period_us) = rate.period_us(nodes) else { return false };
        self.cold_period_ms = period_us / 1_000;
        let is_unused =
            self.next_cold_at.is_none_or(|from| now.ms_since(from) > self.cold_period_ms);
        if is_unused {
            let wait_ms = (random * self.cold_period_ms as f64) as u64;
            self.next_cold_at = Some(Deadline::after_ms(now, wait_ms).instant());
        }
        self.next_cold_at.is_some_and(|from| from <= now)
    }

    /// Records that a request is sent to the endpoint while it is cold.
    pub fn record_sent_cold(&mut self, now: Instant) {
        self.next_cold_at = Some(Deadline::after_ms(now, self.cold_period_ms).instant());
    }
}

fn is_pending(until: Option<Deadline>, now: Instant) -> bool {
    until.is_some_and(|at| !at.has_passed(now))
}
