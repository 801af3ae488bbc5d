//! The phase of an endpoint and the load that it sustains.
//!
//! An endpoint may fall back to a cold start without warning. It counts as cold from the first sign
//! of that until it was seen to sustain more load. The signs are a new incarnation, a refusal because
//! of overload, a report that the endpoint is cold, and a latency of several times the expected one.

use yuccapass_types::{Deadline, Incarnation, Instant};

/// Phase of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Nothing has been heard from it yet.
    Unknown,
    /// It has just started, or fell back to a cold start.
    Cold,
    /// It sustains more and more load.
    Warming,
    /// It sustains full load.
    Warm,
    /// It does not answer.
    Silent,
    /// It gets no new requests.
    Leaving,
}

/// Phase of an endpoint and the load that it sustains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCondition {
    /// The phase.
    pub phase: EndpointPhase,
    /// Number of concurrent requests that it sustains, from all nodes together.
    pub sustainable_requests: u32,
}

impl EndpointCondition {
    /// Returns whether a request needs a permit, so that all nodes together do not exceed what the
    /// endpoint sustains.
    pub fn needs_permit(self) -> bool {
        matches!(self.phase, EndpointPhase::Cold | EndpointPhase::Warming)
    }

    /// Returns whether the endpoint may get new requests, with a permit if it needs one.
    pub fn accepts_requests(self) -> bool {
        let is_up = self.needs_permit() || self.phase == EndpointPhase::Warm;
        is_up && self.sustainable_requests > 0
    }
}

/// Settings of [`EndpointHealth`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    cold_requests: u32,
    cold_latency_factor: u64,
    min_cold_latency_ms: u64,
    silent_after_ms: u64,
    silent_after_failures: u32,
    ramp_interval_ms: u64,
}

impl Default for HealthSettings {
    /// 1 request when cold; cold above 4 times the expected latency and 200 ms; silent after 5 s or 2
    /// failures; one warm-up step a second.
    fn default() -> Self {
        Self {
            cold_requests: 1,
            cold_latency_factor: 4,
            min_cold_latency_ms: 200,
            silent_after_ms: 5_000,
            silent_after_failures: 2,
            ramp_interval_ms: 1_000,
        }
    }
}

impl HealthSettings {
    /// Sets the number of requests that the endpoint sustains in a cold start; default 1.
    pub fn cold_requests(mut self, cold_requests: u32) -> Self {
        self.cold_requests = cold_requests;
        self
    }

    /// Sets the multiple of the expected latency above which an endpoint counts as cold; default 4.
    pub fn cold_latency_factor(mut self, cold_latency_factor: u64) -> Self {
        self.cold_latency_factor = cold_latency_factor.max(1);
        self
    }

    /// Sets the latency up to which an endpoint never counts as cold; default 200 ms.
    ///
    /// Without it, a delay of some milliseconds on a short prompt would count as a cold start.
    pub fn min_cold_latency_ms(mut self, min_cold_latency_ms: u64) -> Self {
        self.min_cold_latency_ms = min_cold_latency_ms;
        self
    }

    /// Sets after how long without an answer the endpoint is silent; default 5 s.
    pub fn silent_after_ms(mut self, silent_after_ms: u64) -> Self {
        self.silent_after_ms = silent_after_ms;
        self
    }

    /// Sets after how many failed connections in a row the endpoint is silent; default 2.
    pub fn silent_after_failures(mut self, silent_after_failures: u32) -> Self {
        self.silent_after_failures = silent_after_failures.max(1);
        self
    }

    /// Sets the time between steps of the warm-up; default 1 s.
    pub fn ramp_interval_ms(mut self, ramp_interval_ms: u64) -> Self {
        self.ramp_interval_ms = ramp_interval_ms;
        self
    }
}

/// The readiness that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// It is in a cold start.
    Cold,
    /// It sustains full load.
    Warm,
    /// It accepts no new requests.
    Leaving,
}

/// The part of a load report that concerns health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// The engine process.
    pub incarnation: Incarnation,
    /// Its readiness.
    pub state: ReportedState,
    /// Number of running and queued requests, from all nodes.
    pub load_requests: u32,
    /// Number of concurrent requests that, by its report, it sustains.
    pub sustainable_requests: u32,
    /// Age of the report when it was read.
    pub age_ms: u64,
}

/// Result of an attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The first token arrived.
    Success {
        /// The engine process, if the response named it.
        incarnation: Option<Incarnation>,
        /// Time to the first token.
        latency_ms: u64,
        /// Time to the first token that placement expected.
        expected_ms: u64,
    },
    /// The endpoint refused the request because it is overloaded.
    Overloaded,
    /// No connection could be made.
    ConnectionFailed,
}

/// A source that reports from outside whether an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The operators, through the configuration of the endpoint or its zone.
    Operators,
    /// The platform's list of VMs.
    VmList,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WarmUpState {
    Unknown,
    Cold,
    Warming,
    Warm,
}

/// The health of one endpoint, as seen by one node.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    settings: HealthSettings,
    warm_up: WarmUpState,
    incarnation: Option<Incarnation>,
    leaving_by_operators: bool,
    leaving_by_vm_list: bool,
    leaving_by_report: bool,
    // When the last cold start was detected; observations that began earlier are ignored.
    cold_since: Instant,
    // Whether high latency was the only sign of the last cold start; a long queue can cause that too.
    cold_by_latency_only: bool,
    last_heard_at: Instant,
    failures: u32,
    // Number of requests that the endpoint sustains while it is cold or warming.
    limit_requests: u32,
    reported_requests: u32,
    successes: u32,
    next_raise: Deadline,
}

impl EndpointHealth {
    /// Creates the health of an endpoint from which nothing has been heard.
    pub fn new(settings: HealthSettings, now: Instant) -> Self {
        Self {
            settings,
            warm_up: WarmUpState::Unknown,
            incarnation: None,
            leaving_by_operators: false,
            leaving_by_vm_list: false,
            leaving_by_report: false,
            cold_since: now,
            cold_by_latency_only: false,
            last_heard_at: now,
            failures: 0,
            limit_requests: settings.cold_requests,
            reported_requests: 0,
            successes: 0,
            next_raise: Deadline::after_ms(now, 0),
        }
    }

    /// Returns the phase of the endpoint and the load that it sustains now.
    pub fn condition(&self, now: Instant) -> EndpointCondition {
        let is_silent = self.failures >= self.settings.silent_after_failures
            || now.ms_since(self.last_heard_at) >= self.settings.silent_after_ms;
        let (phase, sustainable_requests) = match self.warm_up {
            _ if self.is_leaving() => (EndpointPhase::Leaving, 0),
            WarmUpState::Unknown => (EndpointPhase::Unknown, 0),
            _ if is_silent => (EndpointPhase::Silent, 0),
            WarmUpState::Cold => (EndpointPhase::Cold, self.limit_requests),
            WarmUpState::Warming => (EndpointPhase::Warming, self.limit_requests),
            WarmUpState::Warm => (EndpointPhase::Warm, self.reported_requests),
        };
        EndpointCondition { phase, sustainable_requests }
    }

    /// Records a load report that was read at `now`.
    pub fn record_report(&mut self, report: &HealthReport, now: Instant) {
        if !self.accept_incarnation(report.incarnation, now) {
            return;
        }
        self.mark_heard(now);
        // A report that the endpoint leaves counts whatever its age; only the report that it no
        // longer leaves must be newer than the last cold start.
        self.leaving_by_report |= report.state == ReportedState::Leaving;
        let reported_at = Instant::from_ms(now.as_ms().saturating_sub(report.age_ms));
        if self.warm_up == WarmUpState::Unknown {
            self.apply_first_report(report, now);
        } else if reported_at > self.cold_since {
            self.apply_report(report, now);
        }
    }

    /// Records the result of an attempt that began at `started`.
    pub fn record_attempt(&mut self, result: AttemptResult, started: Instant, now: Instant) {
        match result {
            AttemptResult::ConnectionFailed => self.failures = self.failures.saturating_add(1),
            AttemptResult::Overloaded => {
                self.mark_heard(now);
                if started >= self.cold_since {
                    self.mark_cold(now);
                }
            }
            AttemptResult::Success { incarnation, latency_ms, expected_ms } => {
                let known = incarnation.or(self.incarnation);
                if known.is_some_and(|incarnation| !self.accept_incarnation(incarnation, now)) {
                    return;
                }
                self.mark_heard(now);
                if started >= self.cold_since {
                    self.record_latency(latency_ms, expected_ms, now);
                }
            }
        }
    }

    /// Sets whether the endpoint leaves according to a source.
    pub fn set_leaving(&mut self, source: LeavingSource, leaving: bool) {
        match source {
            LeavingSource::Operators => self.leaving_by_operators = leaving,
            LeavingSource::VmList => self.leaving_by_vm_list = leaving,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving_by_operators || self.leaving_by_vm_list || self.leaving_by_report
    }

    fn mark_heard(&mut self, now: Instant) {
        self.last_heard_at = self.last_heard_at.max(now);
        self.failures = 0;
    }

    /// Returns false for a process that was replaced already; marks the endpoint as cold if the
    /// process replaces the known one.
    fn accept_incarnation(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return false;
        }
        let is_replaced = self.incarnation.is_some_and(|known| known < incarnation);
        self.incarnation = Some(incarnation);
        if is_replaced {
            self.leaving_by_report = false;
            self.mark_cold(now);
        }
        true
    }

    fn mark_cold(&mut self, now: Instant) {
        if self.warm_up != WarmUpState::Unknown {
            self.warm_up = WarmUpState::Cold;
        }
        self.cold_since = now;
        self.cold_by_latency_only = false;
        self.limit_requests = self.settings.cold_requests;
        self.successes = 0;
        self.next_raise = Deadline::after_ms(now, self.settings.ramp_interval_ms);
    }

    /// Applies the first report, which is trusted: the endpoint may have been warm for days, and the
    /// other nodes use it at full load.
    fn apply_first_report(&mut self, report: &HealthReport, now: Instant) {
        self.leaving_by_report = report.state == ReportedState::Leaving;
        self.reported_requests = report.sustainable_requests;
        self.warm_up = WarmUpState::Warm;
        if report.state == ReportedState::Cold {
            self.mark_cold(now);
        }
    }

    /// Applies a report that was made after the last cold start was detected.
    fn apply_report(&mut self, report: &HealthReport, now: Instant) {
        self.leaving_by_report = report.state == ReportedState::Leaving;
        self.reported_requests = report.sustainable_requests;
        if self.cold_by_latency_only && report.state == ReportedState::Warm {
            // The process is the same and reports after the slow answer that it is warm.
            self.warm_up = WarmUpState::Warm;
            self.cold_by_latency_only = false;
        }
        if self.warm_up == WarmUpState::Warm {
            if report.state == ReportedState::Cold {
                self.mark_cold(now);
            }
            return;
        }
        self.raise_limit(report, now);
        if report.state == ReportedState::Cold {
            let reported = report.sustainable_requests.max(self.settings.cold_requests);
            self.limit_requests = self.limit_requests.min(reported);
        } else if self.warm_up == WarmUpState::Warming
            && self.limit_requests >= self.reported_requests
        {
            self.warm_up = WarmUpState::Warm;
        }
    }

    /// Raises the limit to one and a half times the sustained load, if that was at least three
    /// quarters of the limit.
    fn raise_limit(&mut self, report: &HealthReport, now: Instant) {
        let load = report.load_requests.min(self.limit_requests);
        let was_used = load.saturating_mul(4) >= self.limit_requests.saturating_mul(3);
        if self.successes == 0 || !was_used || !self.next_raise.has_passed(now) {
            return;
        }
        self.limit_requests = (load + load / 2).max(self.limit_requests + 1);
        self.successes = 0;
        self.next_raise = Deadline::after_ms(now, self.settings.ramp_interval_ms);
    }

    fn record_latency(&mut self, latency_ms: u64, expected_ms: u64, now: Instant) {
        let cold_ms = expected_ms.saturating_mul(self.settings.cold_latency_factor);
        if latency_ms > cold_ms.max(self.settings.min_cold_latency_ms) {
            let was_certain = self.warm_up != WarmUpState::Warm && !self.cold_by_latency_only;
            self.mark_cold(now);
            self.cold_by_latency_only = !was_certain;
            return;
        }
        self.successes = self.successes.saturating_add(1);
        if self.warm_up == WarmUpState::Cold {
            self.warm_up = WarmUpState::Warming;
        }
    }
}
