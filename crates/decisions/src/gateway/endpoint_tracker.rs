//! Load and failures of one endpoint, as seen by this node.

use yuccapass_types::{Deadline, Instant, RequestRate, Tokens};

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
    // When the next request may be sent if the endpoint is cold.
    next_cold_at: Option<Instant>,
    cold_period_ms: u64,
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
            next_cold_at: None,
            cold_period_ms: 0,
        }
    }

    /// Records that a request with a prompt of `tokens` is sent.
    pub fn record_sent(&mut self, tokens: Tokens) {
        self.outstanding += 1;
        self.sent = self.sent.saturating_add(1);
        self.outstanding_tokens = self.outstanding_tokens + tokens;
        self.mean_tokens += MEAN_TOKENS_WEIGHT * (tokens.get() as f64 - self.mean_tokens);
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
        f64::from(self.outstanding) + self.other_requests_and_tokens(now).0
    }

    /// Returns the estimated tokens in the prompts at the endpoint. The prompts of other nodes that are
    /// known only from the endpoint's reports are assumed to be as long as the average of this node,
    /// since all nodes get the same mix.
    pub fn load_tokens(&self, now: Instant) -> f64 {
        self.outstanding_tokens.get() as f64 + self.other_requests_and_tokens(now).1
    }

    /// Returns the estimated requests of other nodes, and the tokens in their prompts.
    ///
    /// The counts of the zone say what its nodes have outstanding now, also what they have sent since
    /// the last report; the part of the report that they do not include belongs to other zones. As the
    /// counts grow old, the report alone decides.
    fn other_requests_and_tokens(&self, now: Instant) -> (f64, f64) {
        let decay = self.report_decay(now);
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

    fn report_decay(&self, now: Instant) -> f64 {
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
