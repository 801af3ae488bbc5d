//! Whether and how to retry a failed attempt.

use yuccapass_types::{Deadline, Instant, ResultCode, RunState, Tokens};

/// Settings of [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    share_percent: u64,
    minimum: u64,
    window_ms: u64,
}

impl Default for RetryBudgetSettings {
    /// 10 % of the requests of the last 10 s, and at least 3 retries.
    fn default() -> Self {
        Self { share_percent: 10, minimum: 3, window_ms: 10_000 }
    }
}

impl RetryBudgetSettings {
    /// Sets the allowed retries as a share of the recent requests; default 10 %.
    pub fn share_percent(mut self, share_percent: u64) -> Self {
        self.share_percent = share_percent;
        self
    }

    /// Sets how many retries are allowed in a window however few requests it has; default 3.
    pub fn minimum(mut self, minimum: u64) -> Self {
        self.minimum = minimum;
        self
    }

    /// Sets the window in which requests count as recent; default 10 s, at least 10 ms.
    pub fn window_ms(mut self, window_ms: u64) -> Self {
        self.window_ms = window_ms.max(SLICES as u64);
        self
    }
}

/// Number of slices of a window, which moves in steps of a tenth of its length.
const SLICES: usize = 10;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Limits retries to a share of the recent requests, so that a failing fleet is not overloaded with
/// several attempts for each request.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    slices: [Slice; SLICES],
}

impl RetryBudget {
    /// Creates a budget that has counted no request.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, slices: [Slice::default(); SLICES] }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes a retry from the budget; returns false if none is left.
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
    /// The connection went silent, but the endpoint answers on new connections.
    ConnectionSilent,
    /// The endpoint no longer answers on any connection.
    EndpointSilent,
    /// The endpoint refused the request because it is overloaded.
    Overloaded,
    /// The endpoint refused the request because another weight version is active.
    WrongVersion,
    /// The endpoint refused the request for another reason or reported an error.
    Rejected,
}

/// What is known about a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFacts {
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Whether a byte of the request was written in this attempt.
    pub was_sent: bool,
    /// What the endpoint reported about this attempt.
    pub reported_state: Option<RunState>,
    /// What was known after the earlier attempts; `not run` for the first attempt.
    pub earlier_state: RunState,
    /// Tokens that the caller has received.
    pub delivered: Tokens,
    /// Whether the caller has received any other part of the response, which cannot be undone.
    pub response_started: bool,
    /// Whether endpoints can continue an answer at an offset.
    pub can_resume: bool,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// When the response is no longer wanted.
    pub deadline: Deadline,
    /// Shortest remaining time in which another attempt is worthwhile.
    pub min_attempt_ms: u64,
    /// Number of attempts so far, including the failed one.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

impl AttemptFacts {
    /// Returns what is known about the request's execution in all attempts so far.
    pub fn run_state(&self) -> RunState {
        let this_state = match (self.has_output(), self.was_sent, self.reported_state) {
            (true, _, _) => RunState::Ran,
            (false, false, _) => RunState::NotRun,
            (false, true, reported) => reported.unwrap_or(RunState::Unknown),
        };
        match (self.earlier_state, this_state) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
        }
    }

    fn has_output(&self) -> bool {
        self.delivered > Tokens::ZERO || self.response_started
    }
}

/// Where the retry may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryTarget {
    /// Preferably the same endpoint, which works and has the prompt's cache blocks.
    SameEndpoint,
    /// An endpoint that has not been tried yet.
    OtherEndpoint,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPlan {
    /// Make another attempt.
    Retry {
        /// Where the attempt may run.
        target: RetryTarget,
        /// Offset at which the endpoint continues the answer: the tokens that the caller has.
        resume_offset: Tokens,
        /// Whether the attempt must use the weight version of the failed one, since tokens of two
        /// versions would not form a valid answer of either.
        same_version: bool,
        /// Whether a pooled connection must not be used.
        new_connection: bool,
    },
    /// Report the failure to the caller.
    Fail {
        /// What is known about the request's execution.
        run_state: RunState,
        /// The result code of the response.
        code: ResultCode,
    },
}

/// Decides what to do after a failed attempt.
///
/// A non-repeatable request of which a byte was written is sent again only if the endpoint reported
/// that it did not run. A retry is taken from `budget` only if nothing else forbids it.
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
        target: retry_target(facts),
        resume_offset: facts.delivered,
        same_version: facts.delivered > Tokens::ZERO,
        // Other pooled connections may be silent too, and a request that was sent already has no
        // time left for another silent one.
        new_connection: is_silent || run_state != RunState::NotRun,
    }
}

fn may_run_again(facts: &AttemptFacts, run_state: RunState) -> bool {
    facts.is_repeatable || run_state == RunState::NotRun
}

/// Returns whether another attempt can continue the response that the caller has received so far.
fn can_continue(facts: &AttemptFacts) -> bool {
    match facts.delivered > Tokens::ZERO {
        true => facts.can_resume,
        false => !facts.response_started,
    }
}

fn retry_target(facts: &AttemptFacts) -> RetryTarget {
    match facts.failure {
        AttemptFailure::ConnectionSilent => RetryTarget::SameEndpoint,
        // The retry uses the version in the configuration, unless it has to continue an answer.
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
