//! What follows an attempt that did not give a whole answer.

use yuccapass_types::{Deadline, Instant, ResultCode};

use super::route::RouteKind;

/// Least time that must remain for another attempt.
const MIN_ATTEMPT_MS: u64 = 30;

/// Why an attempt gave no answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was made; nothing was sent.
    NotSent,
    /// The endpoint says that it did not run the request.
    NotRun,
    /// The connection broke, or the answer was incomplete or not valid.
    Broken,
    /// The endpoint was silent for too long.
    Silent,
    /// The endpoint gave a whole answer that reports a failure of its own.
    Failed,
}

impl AttemptFailure {
    /// Returns whether it is certain that the request did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// What a decision after an attempt depends on.
#[derive(Debug, Clone, Copy)]
pub struct AttemptSummary {
    /// How the attempt ended.
    pub failure: AttemptFailure,
    /// How requests of the route may be handled.
    pub kind: RouteKind,
    /// Whether an earlier attempt, or this one, may have run the request.
    pub may_have_run: bool,
    /// Attempts so far that were sent.
    pub sent_attempts: u32,
    /// Attempts so far that may have run the request.
    pub run_attempts: u32,
    /// Most endpoints that may run the request.
    pub max_attempts: u32,
    /// Whether the beginning of the answer was passed on.
    pub has_begun_answer: bool,
    /// Whether another endpoint is left that can be tried.
    pub has_other_endpoint: bool,
    /// When the caller must have its final answer.
    pub deadline: Deadline,
}

/// An answer of this node's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// The numbered code.
    pub code: ResultCode,
    /// When the caller may send the request again, if it has not run.
    pub retry_after_ms: Option<u64>,
}

/// Time after which a caller whose request has not run is asked to send it again: long enough for
/// an endpoint to finish some requests, short against the time that callers have.
const RETRY_AFTER_MS: u64 = 250;

/// Time after which a caller whose request is held back may ask again: short against the time for
/// which it is.
const BLOCKED_RETRY_AFTER_MS: u64 = 10_000;

impl Refusal {
    /// Makes an answer which says that the request has not run.
    pub const fn not_run(code: ResultCode) -> Self {
        Self { status: 503, code, retry_after_ms: Some(RETRY_AFTER_MS) }
    }

    /// Makes an answer which says that the request has not run and will not for a while.
    pub const fn blocked(code: ResultCode) -> Self {
        Self { status: 503, code, retry_after_ms: Some(BLOCKED_RETRY_AFTER_MS) }
    }

    /// Makes an answer after which a caller should not send the request again.
    pub const fn without_retry(status: u16, code: ResultCode) -> Self {
        Self { status, code, retry_after_ms: None }
    }
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt.
    Retry,
    /// The endpoint's own answer is passed on.
    PassOn,
    /// The caller gets an answer of this node's own.
    Refuse(Refusal),
    /// The connection to the caller is closed, since the beginning of an answer was passed on.
    BreakOff,
}

/// Decides what follows an attempt; `take_retry` takes one from the node's share and is asked only
/// if an earlier attempt was sent.
///
/// Only attempts that may have run count against the endpoints that a request may run on: one that
/// the endpoint says it did not run may be followed by one more than the route allows.
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
    let is_late = summary.deadline.has_passed(now) || summary.failure == AttemptFailure::Silent;
    NextStep::Refuse(match is_late {
        true => Refusal::without_retry(504, ResultCode::EndpointTimeout),
        false => Refusal::without_retry(502, ResultCode::EndpointFailed),
    })
}
