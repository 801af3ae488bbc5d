//! Whether and how a failed attempt is followed by another.

use yuccapass_types::{Deadline, Instant, ResultCode, RunState, Tokens};

/// Bounds of [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    share_percent: u64,
    minimum: u64,
    window_ms: u64,
}

impl Default for RetryBudgetSettings {
    /// 10 % of the requests of the last 10 s, and 3 retries in any case.
    fn default() -> Self {
        Self { share_percent: 10, minimum: 3, window_ms: 10_000 }
    }
}

impl RetryBudgetSettings {
    /// Sets the retries as a share of the requests; default 10 %.
    pub fn share_percent(mut self, share_percent: u64) -> Self {
        self.share_percent = share_percent;
        self
    }

    /// Sets how many retries are allowed in a window without requests; default 3.
    pub fn minimum(mut self, minimum: u64) -> Self {
        self.minimum = minimum;
        self
    }

    /// Sets the window in which requests are recent; default 10 s, at least 10 ms.
    pub fn window_ms(mut self, window_ms: u64) -> Self {
        self.window_ms = window_ms.max(SLICES as u64);
        self
    }
}

/// Slices of a window; counts are exact to a tenth of it.
const SLICES: usize = 10;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Limits retries to a share of recent requests, so that a failing fleet is not loaded with several
/// attempts of each request.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    slices: [Slice; SLICES],
}

impl RetryBudget {
    /// Makes a budget that has seen no request.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, slices: [Slice::default(); SLICES] }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes a retry from the budget if it has one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let current = self.slice_number(now);
        let recent = |slice: &&Slice| slice.number + SLICES as u64 > current;
        let (requests, retries) =
            self.slices.iter().filter(recent).fold((0, 0), |(requests, retries), slice| {
                (requests + slice.requests, retries + slice.retries)
            });
        let allowed = (requests * self.settings.share_percent / 100).max(self.settings.minimum);
        if retries >= allowed {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    fn slice_number(&self, now: Instant) -> u64 {
        now.as_ms() / (self.settings.window_ms / SLICES as u64)
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        let number = self.slice_number(now);
        let slice = &mut self.slices[number as usize % SLICES];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }
}

/// Why an attempt ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be made, or it was closed before a byte was written.
    ConnectFailed,
    /// The connection broke.
    ConnectionBroken,
    /// The connection went silent while the endpoint answers on new ones.
    ConnectionSilent,
    /// The endpoint no longer answers.
    EndpointSilent,
    /// The endpoint refused because it has too much work.
    Overloaded,
    /// The endpoint refused because another weight version is active.
    WrongVersion,
    /// The endpoint refused for another reason or reported an error.
    Rejected,
}

/// What is known of a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFacts {
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Whether a byte of the request was written in this attempt.
    pub was_sent: bool,
    /// What the endpoint said of this attempt.
    pub reported_state: Option<RunState>,
    /// What was known after the attempts before this one; `not run` for the first.
    pub earlier_state: RunState,
    /// Tokens that the caller has.
    pub delivered: Tokens,
    /// Whether the caller has received any other part of the response, which cannot be taken back.
    pub response_started: bool,
    /// Whether endpoints can continue an answer at an offset.
    pub can_resume: bool,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// When the response is no longer wanted.
    pub deadline: Deadline,
    /// Shortest time in which another attempt can be useful.
    pub min_attempt_ms: u64,
    /// Attempts so far, the failed one included.
    pub attempts: u32,
    /// Largest number of attempts.
    pub max_attempts: u32,
}

impl AttemptFacts {
    /// Returns what is known of the request's execution in all attempts so far.
    pub fn run_state(&self) -> RunState {
        let this = match (self.has_output(), self.was_sent, self.reported_state) {
            (true, _, _) => RunState::Ran,
            (false, false, _) => RunState::NotRun,
            (false, true, reported) => reported.unwrap_or(RunState::Unknown),
        };
        match (self.earlier_state, this) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        }
    }

    fn has_output(&self) -> bool {
        self.delivered > Tokens::ZERO || self.response_started
    }
}

/// Where another attempt may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryTarget {
    /// The same endpoint first, because it works and has the blocks.
    SameEndpoint,
    /// An endpoint that was not tried yet.
    OtherEndpoint,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPlan {
    /// Make another attempt.
    Retry {
        /// Where.
        target: RetryTarget,
        /// Tokens that the caller has, from which the endpoint continues.
        resume_offset: Tokens,
        /// Whether the attempt must use the weight version of the failed one: an answer continued by
        /// other weights would be no answer of either.
        same_version: bool,
        /// Whether a pooled connection must not be used.
        new_connection: bool,
    },
    /// Tell the caller.
    Fail {
        /// What is known of the request's execution.
        run_state: RunState,
        /// The code.
        code: ResultCode,
    },
}

/// Decides what follows a failed attempt.
///
/// A non-repeatable request of which a byte was written is sent again only if the endpoint said that
/// it did not run. `budget` is asked only if nothing else forbids the retry.
pub fn plan_retry(facts: &AttemptFacts, budget: &mut RetryBudget, now: Instant) -> RetryPlan {
    let run_state = facts.run_state();
    let code = failure_code(facts);
    if !may_run_again(facts, run_state) || !can_continue(facts) {
        return RetryPlan::Fail { run_state, code };
    }
    if facts.deadline.remaining_ms(now) < facts.min_attempt_ms.max(1) {
        let code = match run_state {
            RunState::NotRun => ResultCode::DeadlineUnreachable,
            _ => ResultCode::EndpointTimeout,
        };
        return RetryPlan::Fail { run_state, code };
    }
    if facts.attempts >= facts.max_attempts || !budget.try_take(now) {
        return RetryPlan::Fail { run_state, code: ResultCode::RetriesExhausted };
    }
    let is_silent = facts.failure == AttemptFailure::ConnectionSilent;
    RetryPlan::Retry {
        target: target(facts),
        resume_offset: facts.delivered,
        same_version: facts.delivered > Tokens::ZERO,
        // A silent connection may be one of several, and a resumed or sent request has no time to
        // meet another.
        new_connection: is_silent || run_state != RunState::NotRun,
    }
}

fn may_run_again(facts: &AttemptFacts, run_state: RunState) -> bool {
    facts.is_repeatable || run_state == RunState::NotRun
}

/// Returns whether another attempt can give the caller the rest of what it has.
fn can_continue(facts: &AttemptFacts) -> bool {
    match facts.delivered > Tokens::ZERO {
        true => facts.can_resume,
        false => !facts.response_started,
    }
}

fn target(facts: &AttemptFacts) -> RetryTarget {
    match facts.failure {
        AttemptFailure::ConnectionSilent => RetryTarget::SameEndpoint,
        // The new version is taken from the configuration, unless an answer is to be continued.
        AttemptFailure::WrongVersion if facts.delivered == Tokens::ZERO => {
            RetryTarget::SameEndpoint
        }
        _ => RetryTarget::OtherEndpoint,
    }
}

fn failure_code(facts: &AttemptFacts) -> ResultCode {
    if facts.has_output() {
        return ResultCode::StreamCut;
    }
    match facts.failure {
        AttemptFailure::ConnectFailed => ResultCode::NoEndpoint,
        AttemptFailure::ConnectionBroken => ResultCode::EndpointFailed,
        AttemptFailure::ConnectionSilent | AttemptFailure::EndpointSilent => {
            ResultCode::EndpointTimeout
        }
        AttemptFailure::Overloaded => ResultCode::QueueFull,
        AttemptFailure::WrongVersion | AttemptFailure::Rejected => ResultCode::EndpointRejected,
    }
}
