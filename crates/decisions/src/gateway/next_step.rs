//! What happens after an attempt that did not give a complete answer.

use yuccapass_types::{Deadline, Instant, ResultCode};

use super::route::RouteKind;

/// Minimum time that must remain for another attempt.
const MIN_ATTEMPT_MS: u64 = 30;

/// Why an attempt gave no successful answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was made; nothing was sent.
    NotSent,
    /// The endpoint reports that it did not run the request.
    NotRun,
    /// The connection broke, or the answer was incomplete or invalid.
    Broken,
    /// The endpoint did not answer in time.
    Silent,
    /// The request waited at an endpoint with outdated weights until their bound was about to end.
    Outdated,
    /// The endpoint sent a complete answer that reports a failure (status 5xx).
    Failed,
}

impl AttemptFailure {
    /// Returns whether it is certain that the request did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// The state of a request after an attempt, from which [`next_step`] decides.
#[derive(Debug, Clone, Copy)]
pub struct AttemptSummary {
    /// How the attempt ended.
    pub failure: AttemptFailure,
    /// How requests of the route may be handled.
    pub kind: RouteKind,
    /// Whether this attempt or an earlier one may have run the request.
    pub may_have_run: bool,
    /// Number of attempts that were sent to an endpoint.
    pub sent_attempts: u32,
    /// Number of attempts that may have run the request.
    pub run_attempts: u32,
    /// Maximum number of endpoints that may run the request.
    pub max_attempts: u32,
    /// Whether a part of the answer was already sent to the caller.
    pub has_begun_answer: bool,
    /// Whether there is an endpoint that was not tried yet.
    pub has_other_endpoint: bool,
    /// When the caller must have its complete answer.
    pub deadline: Deadline,
}

/// An error answer that this node makes itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// The result code in the body.
    pub code: ResultCode,
    /// When the caller may retry. `None` if it should not, for example because the request may have
    /// run.
    pub retry_after_ms: Option<u64>,
}

/// `Retry-After` for requests that did not run: long enough for an endpoint to finish some
/// requests, and short compared with callers' deadlines.
const RETRY_AFTER_MS: u64 = 250;

/// `Retry-After` for blocked requests: short compared with the time for which they are blocked.
const BLOCKED_RETRY_AFTER_MS: u64 = 10_000;

impl Refusal {
    /// Creates the answer for a request that did not run and may be retried.
    pub const fn not_run(code: ResultCode) -> Self {
        Self { status: 503, code, retry_after_ms: Some(RETRY_AFTER_MS) }
    }

    /// Tells the caller to retry after this time at the earliest, unless it should not retry.
    pub fn not_before(self, earliest_ms: u64) -> Self {
        Self { retry_after_ms: self.retry_after_ms.map(|ms| ms.max(earliest_ms)), ..self }
    }

    /// Creates the answer for a request that is blocked for a while.
    pub const fn blocked(code: ResultCode) -> Self {
        Self { status: 503, code, retry_after_ms: Some(BLOCKED_RETRY_AFTER_MS) }
    }

    /// Creates an answer without `Retry-After`.
    pub const fn without_retry(status: u16, code: ResultCode) -> Self {
        Self { status, code, retry_after_ms: None }
    }
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Make another attempt.
    Retry,
    /// Forward the endpoint's answer, although it reports a failure.
    PassOn,
    /// Send an error answer from this node.
    Refuse(Refusal),
    /// Close the connection to the caller, because a part of the answer was already sent.
    BreakOff,
}

/// Decides what to do after an attempt. `take_retry` takes a retry from the node's share; it is
/// called only if an attempt was already sent and all other conditions for a retry hold.
///
/// Attempts that did not run the request do not count towards the route's `max_attempts`, but at
/// most one attempt more than `max_attempts` is sent in total.
pub fn next_step(
    summary: &AttemptSummary,
    take_retry: impl FnOnce() -> bool,
    now: Instant,
) -> NextStep {
    let may_run_again = summary.kind.may_run_again() || !summary.may_have_run;
    let can_continue =
        !summary.has_begun_answer || summary.kind == RouteKind::Streaming { is_resumable: true };
    let has_attempts = summary.run_attempts < summary.max_attempts
        && summary.sent_attempts <= summary.max_attempts;
    let has_time = summary.deadline.remaining_ms(now) >= MIN_ATTEMPT_MS;
    let may_retry = may_run_again
        && can_continue
        && has_attempts
        && has_time
        && summary.has_other_endpoint
        && (summary.sent_attempts == 0 || take_retry());
    match may_retry {
        true => NextStep::Retry,
        false => give_up(summary, now),
    }
}

fn give_up(summary: &AttemptSummary, now: Instant) -> NextStep {
    if summary.has_begun_answer {
        return NextStep::BreakOff;
    }
    if summary.failure == AttemptFailure::Failed {
        return NextStep::PassOn;
    }
    if !summary.may_have_run {
        let code = match summary.failure {
            AttemptFailure::NotRun => ResultCode::QueueFull,
            _ => ResultCode::NoEndpoint,
        };
        return NextStep::Refuse(Refusal::not_run(code));
    }
    let is_late = summary.deadline.has_passed(now)
        || matches!(summary.failure, AttemptFailure::Silent | AttemptFailure::Outdated);
    NextStep::Refuse(match is_late {
        true => Refusal::without_retry(504, ResultCode::EndpointTimeout),
        false => Refusal::without_retry(502, ResultCode::EndpointFailed),
    })
}
