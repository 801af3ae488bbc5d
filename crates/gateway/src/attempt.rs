//! One attempt to run a request at an endpoint.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use futures::future::{Either, select};
use yuccapass_decisions::gateway::{
    AttemptFailure, EndpointRecord, EndpointTracker, RequestWork, SilenceStep,
};
use yuccapass_http::message::{Connection, ResponseHead};
use yuccapass_http::{Expired, with_deadline};
use yuccapass_types::{Deadline, EndpointId, Instant, Tokens, WeightRevision};

use crate::admission::Admitted;
use crate::answer::AnswerWriter;
use crate::endpoints::OutstandingRequest;
use crate::events::EventSplitter;
use crate::received::{AnswerSource, BufferedAnswer, exchange, forward_buffered, forward_stream};
use crate::request_message::{is_separate, request_message};
use crate::state::Shared;

/// How often a request that waits for its answer looks whether newer weights were named. A target that
/// is read late may have little of its bound left.
const BOUND_CHECK_PERIOD_MS: u64 = 1_000;

/// How long before the end of the bound on outdated weights a waiting request is cancelled. The
/// endpoint must notice that the connection has closed before it would begin the request.
const CANCEL_MARGIN_MS: u64 = 300;

/// An endpoint that was chosen for an attempt.
pub(crate) struct Target {
    pub(crate) id: EndpointId,
    pub(crate) record: EndpointRecord,
    /// Another endpoint that has most likely cached the prefix of the prompt.
    pub(crate) cache_peer: Option<SocketAddr>,
    /// What the request needs there.
    pub(crate) work: RequestWork,
}

impl AnswerSource for Target {
    fn keep_connection(&self, shared: &Shared, connection: Connection, head: &ResponseHead) {
        shared.endpoints.put_idle(&self.id, &self.record, connection, head);
    }

    fn endpoint(&self) -> Option<&EndpointRecord> {
        Some(&self.record)
    }
}

/// A failed attempt.
pub(crate) struct FailedAttempt {
    pub(crate) failure: AttemptFailure,
    /// The endpoint's answer, if the failure is [`AttemptFailure::Failed`].
    pub(crate) answer: Option<BufferedAnswer>,
    /// Description for the log.
    pub(crate) detail: String,
    // Since when the endpoint had sent nothing, if the failure is [`AttemptFailure::Silent`].
    silent_since: Option<Instant>,
}

impl FailedAttempt {
    pub(crate) fn new(failure: AttemptFailure, detail: impl ToString) -> Self {
        Self { failure, answer: None, detail: detail.to_string(), silent_since: None }
    }

    pub(crate) fn silent(expired: Expired, silent_since: Instant) -> Self {
        let silent_since = Some(silent_since);
        Self { silent_since, ..Self::new(AttemptFailure::Silent, expired) }
    }

    /// The endpoint's complete answer reports a failure.
    pub(crate) fn answered(answer: BufferedAnswer, detail: impl ToString) -> Self {
        Self { answer: Some(answer), ..Self::new(AttemptFailure::Failed, detail) }
    }

    pub(crate) fn broken(detail: impl ToString) -> Self {
        Self::new(AttemptFailure::Broken, detail)
    }
}

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The complete answer, with this status, was forwarded to the caller.
    Answered(u16),
    /// The caller's connection failed.
    CallerGone,
    /// The attempt failed.
    Failed(FailedAttempt),
}

/// How long an attempt waits for the beginning of the answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptLimit {
    pub(crate) deadline: Deadline,
    /// How long an endpoint may be silent until it is checked whether it is reachable; `None` if the
    /// request cannot be sent to another endpoint, or the deployment does not use this.
    pub(crate) patience_ms: Option<u64>,
}

/// Makes one attempt and forwards the answer.
pub(crate) async fn attempt(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    limit: AttemptLimit,
    events: &mut EventSplitter,
    answer: &mut AnswerWriter,
) -> AttemptOutcome {
    // Dropped after `outstanding`, because it wakes requests that look for the room of this one.
    let _sent = shared.waiting.track(shared, request);
    let memory = request.queued.map_or(target.work.prompt, |queued| queued.work.memory());
    let outstanding =
        shared.endpoints.track_request(&target.id, &target.record, target.work, memory);
    let mut rollout_attempt = shared.rollouts.track(&target.id, &target.record);
    let sent_at = shared.now();
    let earlier_bytes = events.event_bytes();
    let outcome = run(shared, request, target, &outstanding, limit, events, answer).await;
    rollout_attempt.record_outcome(
        &request.route.id,
        &outcome,
        shared.now().ms_since(sent_at),
        events.event_bytes() - earlier_bytes,
        target.record.cold_until.is_some_and(|until| !until.has_passed(sent_at)),
    );
    record_outcome(shared, request, target, &outcome);
    if matches!(outcome, AttemptOutcome::Answered(..)) {
        outstanding.record_run();
    }
    record_crash_evidence(shared, request, target, sent_at, &outcome);
    if matches!(outcome, AttemptOutcome::Answered(200)) {
        shared.waiting.record_answer(request, sent_at, output_tokens(events), shared.now());
    }
    outcome
}

/// Returns the length of the output of a complete stream, whose events have their position as their id.
fn output_tokens(events: &EventSplitter) -> Option<Tokens> {
    events.last_id()?.parse().ok()
}

/// Records the outcome of an attempt for later choices of an endpoint.
fn record_outcome(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    outcome: &AttemptOutcome,
) {
    let now = shared.now();
    if let AttemptOutcome::Failed(failed) = outcome
        && matches!(failed.failure, AttemptFailure::Broken | AttemptFailure::Silent)
    {
        shared.links.record_broken(now);
    }
    let is_outdated = shared.directory().outdated(&target.record, request.model()).is_some();
    let record = |tracker: &mut EndpointTracker| match outcome {
        AttemptOutcome::Answered(..) => tracker.record_success(now),
        AttemptOutcome::CallerGone => {}
        AttemptOutcome::Failed(failed) => match failed.failure {
            AttemptFailure::NotRun => tracker.record_rejection(is_outdated, now),
            AttemptFailure::Failed => tracker.record_error_answer(),
            AttemptFailure::Silent => {
                tracker.record_silence(failed.silent_since.unwrap_or(now), now);
            }
            AttemptFailure::Outdated => {}
            AttemptFailure::NotSent | AttemptFailure::Broken => tracker.record_failure(now),
        },
    };
    shared.endpoints.with_tracker(&target.id, &target.record, record);
}

/// Records whether the request may have crashed the endpoint.
///
/// Only the end of an answer shows that it did not: an endpoint may crash at any time before, also when
/// events of a stream have arrived.
fn record_crash_evidence(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    sent_at: Instant,
    outcome: &AttemptOutcome,
) {
    match outcome {
        // An endpoint may reject a request that it could not run.
        AttemptOutcome::Answered(status) if *status < 300 => {
            shared.crashes.record_answer(request, shared.now());
            shared.part_crashes.record_answer(&request.caller.parts, shared.now());
        }
        AttemptOutcome::Failed(failed) if may_be_crash(shared, target, failed) => {
            let address = target.record.address;
            shared.crashes.record_broken(request, address, sent_at, shared.now());
            shared.part_crashes.record_broken(&request.caller.parts, target);
        }
        AttemptOutcome::Answered(_) | AttemptOutcome::Failed(_) | AttemptOutcome::CallerGone => {}
    }
}

/// Returns whether an attempt may have failed because its endpoint has ended. If the host of an endpoint
/// has failed or the path to it is broken, its connections are silent. One that answers other requests is
/// only slow.
fn may_be_crash(shared: &Shared, target: &Target, failed: &FailedAttempt) -> bool {
    let answers_others = |since| {
        let answered = |tracker: &mut EndpointTracker| tracker.has_answered_since(since);
        shared.endpoints.with_tracker(&target.id, &target.record, answered)
    };
    match failed.failure {
        AttemptFailure::Broken => true,
        AttemptFailure::Silent => !failed.silent_since.is_some_and(answers_others),
        _ => false,
    }
}

async fn run(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    outstanding: &OutstandingRequest<'_>,
    limit: AttemptLimit,
    events: &mut EventSplitter,
    answer: &mut AnswerWriter,
) -> AttemptOutcome {
    let (mut connection, is_reused) =
        match shared.endpoints.connect(&target.id, &target.record, request.deadline).await {
            Ok((connection, is_reused)) => {
                if !is_reused {
                    shared.links.record_connection(true, shared.now());
                }
                (connection, is_reused)
            }
            Err(error) => {
                shared.links.record_connection(false, shared.now());
                return AttemptOutcome::Failed(FailedAttempt::new(AttemptFailure::NotSent, error));
            }
        };
    // The configuration may have changed while the connection was opened, or the machine was suspended.
    if !request.may_be_sent_to(shared, &target.record.zone) {
        let detail = "the endpoint's region may no longer serve the request";
        return AttemptOutcome::Failed(FailedAttempt::new(AttemptFailure::NotSent, detail));
    }
    let message = request_message(shared, request, target, events);
    let separate_body = match is_separate(&request.message.body) {
        true => &request.message.body[..],
        false => &[],
    };
    request.message.may_have_run.store(true, Ordering::Release);
    let sent_at = shared.now();
    let parts = [&message[..], separate_body];
    let exchange = exchange(shared, request, &mut connection, is_reused, parts);
    let received = match until_begun(shared, request, target, limit, exchange).await {
        Ok(Ok(received)) => received,
        Ok(Err(error)) => return AttemptOutcome::Failed(FailedAttempt::broken(error)),
        Err(WaitEnd::Expired(expired)) => {
            return AttemptOutcome::Failed(FailedAttempt::silent(expired, sent_at));
        }
        Err(WaitEnd::Unreachable) => {
            let detail = "the endpoint is not reachable";
            let failed = FailedAttempt::new(AttemptFailure::Silent, detail);
            let silent_since = Some(sent_at);
            return AttemptOutcome::Failed(FailedAttempt { silent_since, ..failed });
        }
        Err(WaitEnd::Outdated) => {
            let detail = "the bound on the endpoint's outdated weights ends";
            return AttemptOutcome::Failed(FailedAttempt::new(AttemptFailure::Outdated, detail));
        }
    };
    let now = shared.now();
    shared.links.record_heard(now);
    outstanding.record_begun(received.info.load, !received.info.is_not_run);
    if let Some(weights) = received.info.weights {
        record_weights(shared, request, target, weights);
        if !received.info.is_not_run {
            record_outdated_answer(shared, request, target, sent_at);
        }
    }
    if let Some(notice) = &received.info.notice {
        shared.notices.record((&target.id, &target.record), notice, sent_at, now);
    }
    if let Some(load) = received.info.load.filter(|_| request.uses_engine) {
        let own_requests = shared.endpoints.with_tracker(&target.id, &target.record, |tracker| {
            tracker.known_load(now).own_requests
        });
        shared.waiting.record_load(request.service, load, own_requests, now);
    }
    if received.info.load.is_some_and(|load| load.slowdown.is_some()) {
        shared.zone_room.enable();
    }
    let is_stream = request.route.kind.is_streaming() && received.head.status == 200;
    if is_stream && received.info.is_signed {
        return forward_stream(shared, request, target, connection, received, events, answer).await;
    }
    forward_buffered(shared, request, target, connection, received, answer).await
}

/// Why an answer was not waited for any longer.
enum WaitEnd {
    Expired(Expired),
    Outdated,
    Unreachable,
}

/// Waits for the beginning of an answer until `limit`, until the endpoint is not reachable, or until the
/// bound on outdated weights of the endpoint is about to end: a request that is still in its queue could
/// begin on them later. Newer weights may also be named while the request waits.
async fn until_begun<F: Future>(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    limit: AttemptLimit,
    exchange: F,
) -> Result<F::Output, WaitEnd> {
    let AttemptLimit { deadline: limit, patience_ms } = limit;
    let sent_at = shared.now();
    let mut exchange = std::pin::pin!(exchange);
    loop {
        let bound_end = {
            let directory = shared.directory();
            let record = directory.endpoint(&target.id).unwrap_or(&target.record);
            directory.outdated(record, request.model()).map(|outdated| outdated.deadlines.bound_end)
        };
        let now = shared.now();
        if shared.links.are_lost()
            && request.route.kind.may_run_again()
            && !shared.links.is_heard(now)
        {
            return Err(WaitEnd::Unreachable);
        }
        let wait_ms = bound_end.map_or(BOUND_CHECK_PERIOD_MS, |end| {
            end.remaining_ms(now).saturating_sub(CANCEL_MARGIN_MS)
        });
        if wait_ms == 0 {
            return Err(WaitEnd::Outdated);
        }
        let mut check_at = Deadline::after_ms(now, wait_ms);
        let silence_step = patience_ms.map(|patience_ms| {
            let step =
                |tracker: &mut EndpointTracker| tracker.silence_step(sent_at, patience_ms, now);
            shared.endpoints.with_tracker(&target.id, &target.record, step)
        });
        match silence_step {
            Some(SilenceStep::GiveUp) => return Err(WaitEnd::Unreachable),
            Some(SilenceStep::Check) => {
                let checking = std::pin::pin!(shared.endpoints.check(&target.id, &target.record));
                match select(exchange.as_mut(), checking).await {
                    Either::Left((output, _)) => return Ok(output),
                    Either::Right(_) => continue,
                }
            }
            Some(SilenceStep::Wait(at)) => check_at = check_at.earlier(at),
            None => {}
        }
        let waiting = with_deadline(&*shared.clock, limit.earlier(check_at), exchange.as_mut());
        match waiting.await {
            Ok(output) => return Ok(output),
            Err(expired) if limit.has_passed(shared.now()) => {
                return Err(WaitEnd::Expired(expired));
            }
            Err(_) => {}
        }
    }
}

/// Records the weights that an endpoint serves if they are newer than those in its directory entry.
fn record_weights(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    weights: WeightRevision,
) {
    let served = target.record.served(request.model());
    if served.is_some_and(|&(_, known)| known < weights) {
        shared.change_directory(|directory| {
            directory.record_served_weights(&target.id, request.model(), weights);
        });
    }
}

/// Records an answer that has begun on weights older than the target weights.
fn record_outdated_answer(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    sent_at: Instant,
) {
    let now = shared.now();
    let directory = shared.directory();
    let Some(record) = directory.endpoint(&target.id) else { return };
    let Some(outdated) = directory.outdated(record, request.model()) else { return };
    let is_late = outdated.deadlines.bound_end.has_passed(now);
    shared.metrics.record_outdated_answer(is_late);
    if is_late {
        log::warn!(
            request_id = request.caller.id.as_str(), endpoint = target.id.as_str(),
            target_weights = outdated.target.get(),
            late_ms = now.ms_since(outdated.deadlines.bound_end.instant()),
            waited_ms = now.ms_since(sent_at);
            "an answer began on outdated weights after their bound"
        );
    }
}
