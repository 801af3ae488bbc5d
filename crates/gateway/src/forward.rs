//! Makes attempts until the caller has its answer.

use std::sync::atomic::Ordering;

use yuccapass_decisions::gateway::next_step::next_step;
use yuccapass_decisions::gateway::{
    AttemptFailure, AttemptSummary, EndpointTracker, NextStep, Refusal,
};
use yuccapass_types::{Deadline, EndpointId, Instant, RequestId, ResultCode, SoftwareVersion};

use crate::admission::Admitted;
use crate::answer::AnswerWriter;
use crate::attempt::{AttemptLimit, AttemptOutcome, FailedAttempt, Target, attempt};
use crate::choice::{NeededRoom, choose};
use crate::detour;
use crate::events::EventSplitter;
use crate::received::BufferedAnswer;
use crate::state::Shared;
use crate::waiting::enter;

/// Timeout of an attempt that may be retried, as a multiple of the route's target latency. With a
/// factor of 5, requests that waited behind slow transfers were retried and displaced others.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 12;

/// Minimum time for which an endpoint may be silent until it is checked: longer than a lost packet takes
/// to be sent again.
const MIN_PATIENCE_MS: u64 = 300;

/// How long ago an endpoint has begun an answer at most whose open connections are used while no new ones can be
/// opened.
const RECENT_ANSWER_MS: u64 = 400;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// An endpoint's answer with this status was forwarded to the caller.
    Answered(u16),
    /// The caller got an error answer from this node.
    Refused(Refusal),
    /// The answer is incomplete, and the connection to the caller must be closed.
    BrokenOff,
    /// The caller has closed its connection.
    CallerGone,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
struct Attempts {
    sent: u32,
    run: u32,
    may_have_run: bool,
    tried: Vec<EndpointId>,
    // Whether other nodes were asked to serve the request.
    has_asked_nodes: bool,
}

impl Attempts {
    /// The attempts that another node has made before, `runs` of which may have run the request.
    fn before(runs: u32) -> Self {
        Self { sent: runs, run: runs, may_have_run: runs > 0, ..Self::default() }
    }

    fn record(&mut self, failure: AttemptFailure) {
        if failure != AttemptFailure::NotSent {
            self.sent += 1;
        }
        if !failure.is_not_run() {
            self.run += 1;
            self.may_have_run = true;
        }
    }
}

/// Forwards an admitted request and retries it as needed.
pub(crate) async fn forward(
    shared: &Shared,
    request: &Admitted<'_>,
    answer: &mut AnswerWriter,
) -> RequestOutcome {
    let mut attempts = Attempts::before(request.caller.detoured_runs.unwrap_or(0));
    let mut events = EventSplitter::default();
    let is_detoured = request.caller.detoured_runs.is_some();
    if is_detoured && shared.links.are_lost() {
        return refuse(shared, request, answer, detour::REFUSAL).await;
    }
    // The request counts at the node that serves it.
    if let Some(outcome) =
        forward_through_node(shared, request, &mut attempts, &mut events, answer).await
    {
        return outcome;
    }
    shared.count_request(request.service);
    let mut next_target = match enter(shared, request).await {
        Ok(target) => target,
        Err(refusal) => return refuse(shared, request, answer, refusal).await,
    };
    if !request.regions(shared).may_be_used(shared.now()) {
        let refusal = Refusal::not_run(ResultCode::PlatformUnavailable);
        return refuse(shared, request, answer, refusal).await;
    }
    loop {
        if !attempts.tried.is_empty()
            && let Some(outcome) =
                forward_through_node(shared, request, &mut attempts, &mut events, answer).await
        {
            return outcome;
        }
        let Some(target) = take_turn(shared, request, next_target, &attempts.tried) else {
            return refuse(shared, request, answer, no_endpoint_refusal(&attempts)).await;
        };
        log_region_bound(shared, request, &target);
        log_resumption(request, &target, &events);
        attempts.tried.push(target.id.clone());
        let limit = attempt_limit(shared, request, &attempts);
        let failed = match attempt(shared, request, &target, limit, &mut events, answer).await {
            AttemptOutcome::Answered(status) => return RequestOutcome::Answered(status),
            AttemptOutcome::CallerGone => return RequestOutcome::CallerGone,
            AttemptOutcome::Failed(failed) => failed,
        };
        attempts.record(failed.failure);
        request.message.may_have_run.store(attempts.may_have_run, Ordering::Release);
        next_target = choose(shared, request, &attempts.tried, NeededRoom::Preferred)
            .filter(|_| request.regions(shared).may_be_used(shared.now()));
        let has_other = next_target.is_some() || detour::is_wanted(shared, request);
        let step = decide(shared, request, &attempts, &failed, answer, has_other);
        log_attempt(shared, request, &target, &attempts, &failed, step);
        match step {
            NextStep::Retry if request.is_blocked(shared) => {
                return refuse(shared, request, answer, blocked_refusal(&attempts)).await;
            }
            NextStep::Retry => {}
            NextStep::BreakOff => return RequestOutcome::BrokenOff,
            NextStep::PassOn => return send_answer(shared, request, answer, failed.answer).await,
            NextStep::Refuse(refusal) => return refuse(shared, request, answer, refusal).await,
        }
    }
}

/// Sends a request through another node if this one has lost its links to the endpoints. Returns `None` if it has
/// not, or if no other node has taken the request and this one may reach an endpoint itself.
async fn forward_through_node(
    shared: &Shared,
    request: &Admitted<'_>,
    attempts: &mut Attempts,
    events: &mut EventSplitter,
    answer: &mut AnswerWriter,
) -> Option<RequestOutcome> {
    if !detour::is_wanted(shared, request)
        || attempts.has_asked_nodes
        || has_open_connection(shared, request, &attempts.tried)
    {
        return None;
    }
    attempts.has_asked_nodes = true;
    let failed = match detour::detour(shared, request, attempts.run, events, answer).await {
        AttemptOutcome::Answered(status) => return Some(RequestOutcome::Answered(status)),
        AttemptOutcome::CallerGone => return Some(RequestOutcome::CallerGone),
        AttemptOutcome::Failed(failed) => failed,
    };
    if failed.failure.is_not_run() && shared.links.reach_some() {
        request.message.may_have_run.store(attempts.may_have_run, Ordering::Release);
        return None;
    }
    attempts.record(failed.failure);
    request.message.may_have_run.store(attempts.may_have_run, Ordering::Release);
    Some(match decide(shared, request, attempts, &failed, answer, false) {
        NextStep::Refuse(refusal) => refuse(shared, request, answer, refusal).await,
        NextStep::PassOn => send_answer(shared, request, answer, failed.answer).await,
        // Without another endpoint nothing is tried again.
        NextStep::BreakOff | NextStep::Retry => RequestOutcome::BrokenOff,
    })
}

/// Returns whether the request can go to an endpoint on a connection that is open, and lives on while no new
/// ones can be opened.
fn has_open_connection(shared: &Shared, request: &Admitted<'_>, tried: &[EndpointId]) -> bool {
    let since = Instant::from_ms(shared.now().as_ms().saturating_sub(RECENT_ANSWER_MS));
    let is_open = |target: &Target| {
        let answers = |tracker: &mut EndpointTracker| tracker.has_answered_since(since);
        shared.endpoints.with_tracker(&target.id, &target.record, answers)
            && shared.endpoints.has_idle(&target.id, &target.record)
    };
    choose(shared, request, tried, NeededRoom::None).is_some_and(|target| is_open(&target))
}

/// Takes the right to send the request to the chosen endpoint, or chooses another one if that was taken by
/// another request meanwhile.
fn take_turn(
    shared: &Shared,
    request: &Admitted<'_>,
    mut chosen: Option<Target>,
    tried: &[EndpointId],
) -> Option<Target> {
    loop {
        let target = chosen?;
        if shared.notices.try_send(&target.id, &target.record, shared.nodes(), shared.now()) {
            return Some(target);
        }
        chosen = choose(shared, request, tried, NeededRoom::Preferred);
    }
}

/// Decides what follows a failed attempt.
fn decide(
    shared: &Shared,
    request: &Admitted<'_>,
    attempts: &Attempts,
    failed: &FailedAttempt,
    answer: &AnswerWriter,
    has_other_endpoint: bool,
) -> NextStep {
    let summary = AttemptSummary {
        failure: failed.failure,
        kind: request.route.kind,
        may_have_run: attempts.may_have_run,
        sent_attempts: attempts.sent,
        run_attempts: attempts.run,
        max_attempts: request.route.max_attempts,
        has_begun_answer: answer.has_begun(),
        has_other_endpoint,
        deadline: request.deadline,
    };
    next_step(&summary, || shared.take_retry(request.service), shared.now())
}

/// Returns how long an attempt waits for the beginning of the answer. The deadline is earlier than that
/// of the request if the request can be retried, so that it does not wait for an endpoint that hangs.
fn attempt_limit(shared: &Shared, request: &Admitted<'_>, attempts: &Attempts) -> AttemptLimit {
    let route = request.route;
    let has_another = route.kind.may_run_again() && attempts.run + 1 < route.max_attempts;
    if !has_another {
        return AttemptLimit { deadline: request.deadline, patience_ms: None };
    }
    let timeout_ms = route.target_latency_ms.saturating_mul(ATTEMPT_TIMEOUT_FACTOR);
    let deadline = Deadline::after_ms(shared.now(), timeout_ms).earlier(request.deadline);
    let is_checked = shared.options.capabilities.limits_endpoint_memory
        || shared.endpoints.pace(request.service).has_reports();
    let patience_ms = route.target_latency_ms.max(MIN_PATIENCE_MS);
    AttemptLimit { deadline, patience_ms: is_checked.then_some(patience_ms) }
}

/// Returns the error answer for a request without an endpoint that is left to try.
fn no_endpoint_refusal(attempts: &Attempts) -> Refusal {
    match attempts.may_have_run {
        false => Refusal::not_run(ResultCode::NoEndpoint),
        true => Refusal::without_retry(502, ResultCode::EndpointFailed),
    }
}

/// Returns when the first endpoint of the request's service takes another one, in milliseconds; `None` if
/// some endpoint does now, or none says when it does.
fn earliest_ms(shared: &Shared, request: &Admitted<'_>) -> Option<u64> {
    let (now, nodes) = (shared.now(), shared.nodes());
    let directory = shared.directory();
    let mut earliest_ms = None;
    for (id, record) in directory.eligible(request.service, &request.regions(shared).allowed) {
        if shared.notices.may_send(id, record, nodes, now) {
            return None;
        }
        let wait_ms = shared.notices.retry_after_ms(id, record, now);
        earliest_ms = earliest_ms.into_iter().chain(wait_ms).min();
    }
    earliest_ms
}

/// Returns the error answer for a request that was blocked after its first attempt.
fn blocked_refusal(attempts: &Attempts) -> Refusal {
    match attempts.may_have_run {
        false => Refusal::blocked(ResultCode::RequestBlocked),
        true => Refusal::without_retry(502, ResultCode::EndpointFailed),
    }
}

async fn send_answer(
    shared: &Shared,
    request: &Admitted<'_>,
    answer: &mut AnswerWriter,
    buffered: Option<BufferedAnswer>,
) -> RequestOutcome {
    let Some(BufferedAnswer { head, body, .. }) = &buffered else {
        let refusal = Refusal::without_retry(502, ResultCode::EndpointFailed);
        return refuse(shared, request, answer, refusal).await;
    };
    match answer.write_answer(head, body).await {
        Ok(()) => RequestOutcome::Answered(head.status),
        Err(_) => RequestOutcome::CallerGone,
    }
}

async fn refuse(
    shared: &Shared,
    request: &Admitted<'_>,
    answer: &mut AnswerWriter,
    refusal: Refusal,
) -> RequestOutcome {
    if answer.has_begun() {
        return RequestOutcome::BrokenOff;
    }
    let refusal =
        earliest_ms(shared, request).map_or(refusal, |earliest_ms| refusal.not_before(earliest_ms));
    match answer.refuse(&*shared.protocol, request.caller, refusal).await {
        Ok(()) => RequestOutcome::Refused(refusal),
        Err(_) => RequestOutcome::CallerGone,
    }
}

/// Logs by which configuration an endpoint was chosen for a request that only some regions may serve.
fn log_region_bound(shared: &Shared, request: &Admitted<'_>, target: &Target) {
    let regions = request.regions(shared);
    if !regions.allowed.is_bound() {
        return;
    }
    let now = shared.now();
    let confirmed_at = regions.validity.confirmed_at();
    log::info!(
        request_id = request.caller.id.as_str(),
        route = request.route.id.as_str(),
        revision = regions.revision.get(),
        settings_age_ms = confirmed_at.map(|at| now.ms_since(at)),
        regions:% = regions.allowed,
        endpoint = target.id.as_str(),
        zone = target.record.zone.as_str(),
        age_ms = now.ms_since(request.arrived_at);
        "an endpoint was chosen within the allowed regions"
    );
}

/// Logs at which version of the software a stream goes on.
fn log_resumption(request: &Admitted<'_>, target: &Target, events: &EventSplitter) {
    let caller = request.caller;
    let Some(event) = events.last_id().or(caller.resume_after.as_ref()) else { return };
    log::info!(
        request_id = caller.id.as_str(),
        resumed = caller.resumed.as_ref().map(RequestId::as_str),
        revision = request.revision().get(),
        after_event = event.as_str(),
        is_within_answer = events.last_id().is_some(),
        endpoint = target.id.as_str(),
        software = target.record.software.as_ref().map(SoftwareVersion::as_str);
        "a stream goes on"
    );
}

fn log_attempt(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    attempts: &Attempts,
    failed: &FailedAttempt,
    step: NextStep,
) {
    let now = shared.now();
    log::info!(
        request_id = request.caller.id.as_str(),
        route = request.route.id.as_str(),
        endpoint = target.id.as_str(),
        software = target.record.software.as_ref().map(SoftwareVersion::as_str),
        attempt = attempts.tried.len(),
        failure:? = failed.failure,
        detail = failed.detail.as_str(),
        age_ms = now.ms_since(request.arrived_at),
        remaining_ms = request.deadline.remaining_ms(now),
        next:? = step;
        "an attempt failed"
    );
}
