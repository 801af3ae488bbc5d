//! What an endpoint can bear now.
//!
//! An endpoint falls back to a cold start without warning. It counts as cold from the first sign of
//! that until it was seen to bear more: a sign is a new incarnation, a refusal because of overload, a
//! report that says so, or a latency of several times the expected one.

use yuccapass_types::{Deadline, Incarnation, Instant};

/// Phase of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Nothing has been heard of it yet.
    Unknown,
    /// It has just started, or fell back to a cold start.
    Cold,
    /// It bears more and more load.
    Warming,
    /// It bears full load.
    Warm,
    /// It does not answer.
    Silent,
    /// It gets no new work.
    Leaving,
}

/// Phase of an endpoint and the load it bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCondition {
    /// The phase.
    pub phase: EndpointPhase,
    /// Requests that it bears at the same time, from all nodes together.
    pub sustainable_requests: u32,
}

impl EndpointCondition {
    /// Returns whether a request needs a permit, because all nodes together must not exceed what
    /// the endpoint bears.
    pub fn needs_permit(self) -> bool {
        matches!(self.phase, EndpointPhase::Cold | EndpointPhase::Warming)
    }

    /// Returns whether the endpoint may get new work at all.
    pub fn takes_work(self) -> bool {
        let is_up = self.needs_permit() || self.phase == EndpointPhase::Warm;
        is_up && self.sustainable_requests > 0
    }
}

/// Thresholds of [`EndpointHealth`].
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
    /// 1 request when cold; 4 times the expected latency and at least 200 ms; silent after 5 s or 2
    /// failures; a step of the warm-up each second.
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
    /// Sets the requests that the endpoint bears in a cold start; default 1.
    pub fn cold_requests(mut self, cold_requests: u32) -> Self {
        self.cold_requests = cold_requests;
        self
    }

    /// Sets the multiple of the expected latency that shows a cold start; default 4.
    pub fn cold_latency_factor(mut self, cold_latency_factor: u64) -> Self {
        self.cold_latency_factor = cold_latency_factor.max(1);
        self
    }

    /// Sets the latency below which an endpoint never counts as cold; default 200 ms. Without it, a
    /// pause of some milliseconds on a short prompt would.
    pub fn min_cold_latency_ms(mut self, min_cold_latency_ms: u64) -> Self {
        self.min_cold_latency_ms = min_cold_latency_ms;
        self
    }

    /// Sets after which time without an answer the endpoint is silent; default 5 s.
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

/// What an endpoint says of its readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// In a cold start.
    Cold,
    /// Bears full load.
    Warm,
    /// Takes no new work.
    Leaving,
}

/// The part of a load report that concerns health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// The engine process.
    pub incarnation: Incarnation,
    /// Its readiness.
    pub state: ReportedState,
    /// Requests that it runs or keeps waiting, from all nodes.
    pub load_requests: u32,
    /// Requests that it says it bears.
    pub sustainable_requests: u32,
    /// Age of the report when it was read.
    pub age_ms: u64,
}

/// How an attempt to run a request went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The first token arrived.
    Success {
        /// The engine process, if the response named it.
        incarnation: Option<Incarnation>,
        /// Time to the first token.
        latency_ms: u64,
        /// Time that placement expected.
        expected_ms: u64,
    },
    /// The endpoint refused because it has too much work.
    Overloaded,
    /// No connection could be made.
    ConnectionFailed,
}

/// Who says that an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// Operators, by the endpoint's or its zone's configuration.
    Operators,
    /// The platform's list of VMs.
    VmList,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Warmth {
    Unknown,
    Cold,
    Warming,
    Warm,
}

/// The health of one endpoint, as seen by one node.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    settings: HealthSettings,
    warmth: Warmth,
    incarnation: Option<Incarnation>,
    leaving_by_operators: bool,
    leaving_by_vm_list: bool,
    leaving_by_report: bool,
    // Signs that were observed before the last fall say nothing of the time after it.
    fell: Instant,
    // Whether only a slow answer showed the last fall, which a long queue can bring about as well.
    fell_by_latency: bool,
    heard: Instant,
    failures: u32,
    // Requests that the endpoint bears while it is cold or warming.
    level_requests: u32,
    reported_requests: u32,
    successes: u32,
    next_step: Deadline,
}

impl EndpointHealth {
    /// Makes the health of an endpoint of which nothing has been heard.
    pub fn new(settings: HealthSettings, now: Instant) -> Self {
        Self {
            settings,
            warmth: Warmth::Unknown,
            incarnation: None,
            leaving_by_operators: false,
            leaving_by_vm_list: false,
            leaving_by_report: false,
            fell: now,
            fell_by_latency: false,
            heard: now,
            failures: 0,
            level_requests: settings.cold_requests,
            reported_requests: 0,
            successes: 0,
            next_step: Deadline::after_ms(now, 0),
        }
    }

    /// Returns the phase and the requests that the endpoint bears now.
    pub fn condition(&self, now: Instant) -> EndpointCondition {
        let is_silent = self.failures >= self.settings.silent_after_failures
            || now.ms_since(self.heard) >= self.settings.silent_after_ms;
        let (phase, sustainable_requests) = match self.warmth {
            _ if self.is_leaving() => (EndpointPhase::Leaving, 0),
            Warmth::Unknown => (EndpointPhase::Unknown, 0),
            _ if is_silent => (EndpointPhase::Silent, 0),
            Warmth::Cold => (EndpointPhase::Cold, self.level_requests),
            Warmth::Warming => (EndpointPhase::Warming, self.level_requests),
            Warmth::Warm => (EndpointPhase::Warm, self.reported_requests),
        };
        EndpointCondition { phase, sustainable_requests }
    }

    /// Takes a load report that was read just now.
    pub fn record_report(&mut self, report: &HealthReport, now: Instant) {
        if !self.enter_incarnation(report.incarnation, now) {
            return;
        }
        self.hear(now);
        // Leaving is true whenever it was said; only its end depends on the age of the report.
        self.leaving_by_report |= report.state == ReportedState::Leaving;
        let made = Instant::from_ms(now.as_ms().saturating_sub(report.age_ms));
        if self.warmth == Warmth::Unknown {
            self.meet(report, now);
        } else if made > self.fell {
            self.follow(report, now);
        }
    }

    /// Takes the result of an attempt that began at `started`.
    pub fn record_attempt(&mut self, result: AttemptResult, started: Instant, now: Instant) {
        match result {
            AttemptResult::ConnectionFailed => self.failures = self.failures.saturating_add(1),
            AttemptResult::Overloaded => {
                self.hear(now);
                if started >= self.fell {
                    self.fall(now);
                }
            }
            AttemptResult::Success { incarnation, latency_ms, expected_ms } => {
                let known = incarnation.or(self.incarnation);
                if known.is_some_and(|incarnation| !self.enter_incarnation(incarnation, now)) {
                    return;
                }
                self.hear(now);
                if started >= self.fell {
                    self.record_latency(latency_ms, expected_ms, now);
                }
            }
        }
    }

    /// Takes from the configuration or the list of VMs whether the endpoint leaves.
    pub fn set_leaving(&mut self, source: LeavingSource, leaving: bool) {
        match source {
            LeavingSource::Operators => self.leaving_by_operators = leaving,
            LeavingSource::VmList => self.leaving_by_vm_list = leaving,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving_by_operators || self.leaving_by_vm_list || self.leaving_by_report
    }

    fn hear(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
        self.failures = 0;
    }

    /// Returns false for a process that was replaced; falls if this one is new.
    fn enter_incarnation(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return false;
        }
        let is_replaced = self.incarnation.is_some_and(|known| known < incarnation);
        self.incarnation = Some(incarnation);
        if is_replaced {
            self.leaving_by_report = false;
            self.fall(now);
        }
        true
    }

    fn fall(&mut self, now: Instant) {
        if self.warmth != Warmth::Unknown {
            self.warmth = Warmth::Cold;
        }
        self.fell = now;
        self.fell_by_latency = false;
        self.level_requests = self.settings.cold_requests;
        self.successes = 0;
        self.next_step = Deadline::after_ms(now, self.settings.ramp_interval_ms);
    }

    /// Takes the first report. A node that has just started trusts it: the endpoint may have been
    /// warm for days, and its other nodes would see no reason to hold back.
    fn meet(&mut self, report: &HealthReport, now: Instant) {
        self.leaving_by_report = report.state == ReportedState::Leaving;
        self.reported_requests = report.sustainable_requests;
        self.warmth = Warmth::Warm;
        if report.state == ReportedState::Cold {
            self.fall(now);
        }
    }

    /// Takes a report that was made after the last fall.
    fn follow(&mut self, report: &HealthReport, now: Instant) {
        self.leaving_by_report = report.state == ReportedState::Leaving;
        self.reported_requests = report.sustainable_requests;
        if self.fell_by_latency && report.state == ReportedState::Warm {
            // The process is the same and says after the slow answer that it is warm.
            self.warmth = Warmth::Warm;
            self.fell_by_latency = false;
        }
        if self.warmth == Warmth::Warm {
            if report.state == ReportedState::Cold {
                self.fall(now);
            }
            return;
        }
        self.step(report, now);
        if report.state == ReportedState::Cold {
            let most = report.sustainable_requests.max(self.settings.cold_requests);
            self.level_requests = self.level_requests.min(most);
        } else if self.warmth == Warmth::Warming && self.level_requests >= self.reported_requests {
            self.warmth = Warmth::Warm;
        }
    }

    /// Raises the level to one and a half times the load that was borne, if that was most of it.
    fn step(&mut self, report: &HealthReport, now: Instant) {
        let load = report.load_requests.min(self.level_requests);
        let was_used = load.saturating_mul(4) >= self.level_requests.saturating_mul(3);
        if self.successes == 0 || !was_used || !self.next_step.has_passed(now) {
            return;
        }
        self.level_requests = (load + load / 2).max(self.level_requests + 1);
        self.successes = 0;
        self.next_step = Deadline::after_ms(now, self.settings.ramp_interval_ms);
    }

    fn record_latency(&mut self, latency_ms: u64, expected_ms: u64, now: Instant) {
        let cold_ms = expected_ms.saturating_mul(self.settings.cold_latency_factor);
        if latency_ms > cold_ms.max(self.settings.min_cold_latency_ms) {
            let was_certain = self.warmth != Warmth::Warm && !self.fell_by_latency;
            self.fall(now);
            self.fell_by_latency = !was_certain;
            return;
        }
        self.successes = self.successes.saturating_add(1);
        if self.warmth == Warmth::Cold {
            self.warmth = Warmth::Warming;
        }
    }
}
