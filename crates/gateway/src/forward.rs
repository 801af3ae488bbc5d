//! Chooses endpoints and makes attempts until the caller has its answer.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use yuccapass_decisions::gateway::next_step::next_step;
use yuccapass_decisions::gateway::placement::{prefers_current, prompt_work};
use yuccapass_decisions::gateway::waiting_room::{Assumptions, EndpointRoom};
use yuccapass_decisions::gateway::{
    AttemptFailure, AttemptSummary, Candidate, Directory, EndpointRecord, NextStep,
    PlacementRequest, Refusal,
};
use yuccapass_types::{Deadline, EndpointId, RequestRate, ResultCode};

use crate::admission::Admitted;
use crate::answer::AnswerWriter;
use crate::attempt::{
    AttemptLimit, AttemptOutcome, BufferedAnswer, FailedAttempt, Target, attempt,
};
use crate::events::EventSplitter;
use crate::state::Shared;
use crate::waiting::{QueuedWork, enter};

/// Timeout of an attempt that may be retried, as a multiple of the route's target latency. With a
/// factor of 5, requests that waited behind slow transfers were retried and displaced others.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 12;

/// Minimum time for which an endpoint may be silent until it is checked: longer than a lost packet takes
/// to be sent again.
const MIN_PATIENCE_MS: u64 = 300;

/// Share of the bound for new weights, in tenths, before the end of which an endpoint with older
/// weights gets no more requests. A request that has to wait there could otherwise not begin in time.
const RESERVE_TENTHS: u64 = 2;

/// Maximum of that reserve. It must be shorter than the time that a started node has for targets that
/// it finds.
const MAX_RESERVE_MS: u64 = 2_000;

/// Share of a cold endpoint's capacity that all nodes together use. The rest allows for nodes that
/// disagree about their number.
const COLD_SHARE: f64 = 0.7;

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
}

impl Attempts {
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
    shared.count_request(request.service);
    let mut attempts = Attempts::default();
    let mut events = EventSplitter::default();
    let mut next_target = match enter(shared, request).await {
        Ok(target) => target,
        Err(refusal) => return refuse(shared, request, answer, refusal).await,
    };
    loop {
        let Some(target) = take_turn(shared, request, next_target, &attempts.tried) else {
            return refuse(shared, request, answer, no_endpoint_refusal(&attempts)).await;
        };
        attempts.tried.push(target.id.clone());
        let limit = attempt_limit(shared, request, &attempts);
        let failed = match attempt(shared, request, &target, limit, &mut events, answer).await {
            AttemptOutcome::Answered(status) => return RequestOutcome::Answered(status),
            AttemptOutcome::CallerGone => return RequestOutcome::CallerGone,
            AttemptOutcome::Failed(failed) => failed,
        };
        attempts.record(failed.failure);
        request.message.may_have_run.store(attempts.may_have_run, Ordering::Release);
        next_target = choose(shared, request, &attempts.tried, NeededRoom::Preferred);
        let step = decide(shared, request, &attempts, &failed, answer, next_target.is_some());
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

/// An endpoint of the directory.
type DirectoryEntry<'a> = (&'a EndpointId, &'a EndpointRecord);

/// The endpoint that was chosen from several.
struct Placed<'a> {
    endpoint: DirectoryEntry<'a>,
    /// Whether requests with the same shared prefix go there as well. Known only if the endpoints
    /// report their speeds.
    is_home: bool,
}

/// Whether an endpoint must have room for a request that may wait for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NeededRoom {
    /// Any endpoint is chosen.
    None,
    /// A sound endpoint is preferred if one has room.
    Preferred,
    /// An endpoint is chosen only if one has room; the memory that is left to the most urgent requests
    /// counts if this is `true`.
    Required(bool),
}

/// Returns whether any endpoint may get a request of this node.
pub(crate) fn has_endpoint(shared: &Shared, request: &Admitted<'_>) -> bool {
    let (now, nodes) = (shared.now(), shared.nodes());
    let directory = shared.directory();
    let eligible = directory.eligible(request.service, &request.regions);
    eligible.iter().any(|(id, record)| shared.notices.may_send(id, record, nodes, now))
}

/// Chooses an endpoint that was not tried yet, takes another request of this node, and has a version to
/// which the request may go.
pub(crate) fn choose(
    shared: &Shared,
    request: &Admitted<'_>,
    tried: &[EndpointId],
    needed_room: NeededRoom,
) -> Option<Target> {
    let with_room = |may_use_reserve| {
        let queued = request.queued.as_ref()?;
        let assumptions = shared.waiting.assumptions(request.service, shared.now());
        let room = Room { queued, assumptions, may_use_reserve };
        choose_with_room(shared, request, tried, Some(room))
    };
    match needed_room {
        NeededRoom::None => choose_with_room(shared, request, tried, None),
        NeededRoom::Required(may_use_reserve) => with_room(may_use_reserve),
        NeededRoom::Preferred => {
            with_room(true).or_else(|| choose_with_room(shared, request, tried, None))
        }
    }
}

/// The room that a request needs at an endpoint.
struct Room<'a> {
    queued: &'a QueuedWork,
    assumptions: Assumptions,
    may_use_reserve: bool,
}

impl Room<'_> {
    fn is_at(&self, shared: &Shared, (id, record): &DirectoryEntry<'_>) -> bool {
        let now = shared.now();
        let load = shared.endpoints.with_tracker(id, record, |tracker| tracker.known_load(now));
        EndpointRoom::new(self.queued.engine, load, &self.assumptions)
            .fits(&self.queued.work, self.may_use_reserve)
    }
}

fn choose_with_room(
    shared: &Shared,
    request: &Admitted<'_>,
    tried: &[EndpointId],
    room: Option<Room<'_>>,
) -> Option<Target> {
    let (now, nodes) = (shared.now(), shared.nodes());
    let directory = shared.directory();
    let reserve_ms =
        (shared.options.swap_limits.bound_ms * RESERVE_TENTHS / 10).min(MAX_RESERVE_MS);
    let is_overdue = |record: &EndpointRecord| {
        let outdated = directory.outdated(record, request.model());
        outdated
            .is_some_and(|outdated| outdated.deadlines.bound_end.remaining_ms(now) <= reserve_ms)
    };
    let eligible = directory.eligible(request.service, &request.regions);
    let versions = shared.rollouts.choice(request.service, &eligible, nodes, now);
    let untried: Vec<DirectoryEntry<'_>> = eligible
        .iter()
        .copied()
        .filter(|(id, record)| versions.allows(id, record))
        .filter(|(id, _)| !tried.contains(id))
        .filter(|(_, record)| !is_overdue(record))
        .filter(|(id, record)| shared.notices.may_send(id, record, nodes, now))
        .collect();
    let (preferred, others): (Vec<_>, Vec<_>) =
        untried.into_iter().partition(|(_, record)| versions.prefers(record));
    let Placed { endpoint: (id, record), is_home } =
        choose_among(shared, &directory, request, preferred, room.as_ref())
            .or_else(|| choose_among(shared, &directory, request, others, room.as_ref()))?;
    shared.endpoints.with_tracker(id, record, |tracker| {
        if tracker.is_slow() {
            tracker.record_sent_slow(now);
        }
    });
    let cache_peer = cache_peer(shared, request, &eligible, record)
        .filter(|cache_peer| *cache_peer != record.address);
    let work = prompt_work(&request.caller.parts, is_home);
    Some(Target { id: id.clone(), record: record.clone(), cache_peer, work })
}

/// Chooses one of these endpoints: a warm one without recent failures, else any warm one, else a cold one
/// within this node's share of its capacity. With `room`, none is chosen unless one of them has room.
fn choose_among<'a>(
    shared: &Shared,
    directory: &Directory,
    request: &Admitted<'_>,
    endpoints: Vec<DirectoryEntry<'a>>,
    room: Option<&Room<'_>>,
) -> Option<Placed<'a>> {
    let now = shared.now();
    let is_cold =
        |record: &EndpointRecord| record.cold_until.is_some_and(|until| !until.has_passed(now));
    let (cold, warm): (Vec<_>, Vec<_>) =
        endpoints.into_iter().partition(|(_, record)| is_cold(record));
    let (mut avoided, healthy): (Vec<_>, Vec<_>) = warm.into_iter().partition(|(id, record)| {
        shared.endpoints.with_tracker(id, record, |tracker| tracker.is_avoided(now))
    });
    if let Some(room) = room {
        // A request rather waits for a sound endpoint than goes to one that fails or is full.
        if !healthy.is_empty() {
            avoided.clear();
        }
        // Any of them may be chosen once one has room: to leave the endpoint that has cached a prompt costs
        // more than a short queue there.
        let mut endpoints = healthy.iter().chain(&avoided).chain(&cold);
        if !endpoints.any(|entry| room.is_at(shared, entry)) {
            return None;
        }
    }
    place(shared, directory, request, &healthy)
        .or_else(|| place(shared, directory, request, &avoided))
        .or_else(|| choose_cold(shared, directory, request, cold))
}

/// Chooses a cold endpoint within this node's share of its capacity.
fn choose_cold<'a>(
    shared: &Shared,
    directory: &Directory,
    request: &Admitted<'_>,
    cold: Vec<DirectoryEntry<'a>>,
) -> Option<Placed<'a>> {
    let now = shared.now();
    let (rate, nodes) = (cold_rate(request), shared.nodes());
    let may_send = |(id, record): &DirectoryEntry<'_>| {
        let random = rand::random();
        shared
            .endpoints
            .with_tracker(id, record, |tracker| tracker.may_send_cold(rate, nodes, random, now))
    };
    let allowed: Vec<_> = cold.into_iter().filter(may_send).collect();
    let placed = place(shared, directory, request, &allowed)?;
    let (id, record) = placed.endpoint;
    shared.endpoints.with_tracker(id, record, |tracker| tracker.record_sent_cold(now));
    Some(placed)
}

/// Returns the address of the endpoint that has most likely cached the prefix of the prompt with
/// the weights of the chosen endpoint. It may be overloaded, but must be reachable.
fn cache_peer(
    shared: &Shared,
    request: &Admitted<'_>,
    eligible: &[DirectoryEntry<'_>],
    chosen: &EndpointRecord,
) -> Option<SocketAddr> {
    if !request.route.is_sticky {
        return None;
    }
    let now = shared.now();
    let model = request.model();
    let sources: Vec<&DirectoryEntry<'_>> = eligible
        .iter()
        .filter(|(_, record)| record.served(model) == chosen.served(model))
        .collect();
    let ids: Vec<&EndpointId> = sources.iter().map(|(id, _)| *id).collect();
    let placement_request = PlacementRequest { parts: &request.caller.parts, random: 0 };
    let (id, record) = sources[shared.placements.models.preferred(&placement_request, &ids)?];
    let is_failing = shared.endpoints.with_tracker(id, record, |tracker| tracker.is_failing(now));
    (!is_failing).then_some(record.address)
}

/// Returns the rate that all nodes together may send to each cold endpoint.
fn cold_rate(request: &Admitted<'_>) -> RequestRate {
    // A capacity that is not valid allows nothing.
    RequestRate::from_per_s(request.cold_requests_per_s * COLD_SHARE).unwrap_or_default()
}

/// Chooses one of these endpoints, preferably one with the target weights.
fn place<'a>(
    shared: &Shared,
    directory: &Directory,
    request: &Admitted<'_>,
    endpoints: &[DirectoryEntry<'a>],
) -> Option<Placed<'a>> {
    let is_outdated =
        |record: &EndpointRecord| directory.outdated(record, request.model()).is_some();
    let (outdated, current): (Vec<_>, Vec<_>) =
        endpoints.iter().copied().partition(|(_, record)| is_outdated(record));
    let mut candidates = candidates_of(shared, directory, request, &current);
    let others = candidates_of(shared, directory, request, &outdated);
    if !prefers_current(&candidates, &others) {
        candidates.extend(others);
    }
    let placement_request =
        PlacementRequest { parts: &request.caller.parts, random: rand::random() };
    let placement = match request.route.is_sticky {
        true => &shared.placements.models,
        false => &shared.placements.services,
    };
    let position = placement.choose(&placement_request, &candidates)?;
    let is_home = candidates[position].speed.is_some()
        && placement.home(&placement_request, &candidates) == Some(position);
    // The candidates are the current endpoints, followed by the outdated ones if they were added.
    let endpoint = current.iter().chain(&outdated).nth(position).copied()?;
    Some(Placed { endpoint, is_home })
}

/// Combines the registrations of endpoints with their load, speed and failures.
fn candidates_of<'a>(
    shared: &Shared,
    directory: &Directory,
    request: &Admitted<'_>,
    endpoints: &[DirectoryEntry<'a>],
) -> Vec<Candidate<'a>> {
    let (now, nodes) = (shared.now(), shared.nodes());
    let reports_speeds = shared.endpoints.pace(request.service).has_reports();
    let work = prompt_work(&request.caller.parts, true);
    let candidate = |&(id, record): &DirectoryEntry<'a>| {
        shared.endpoints.with_tracker(id, record, |tracker| Candidate {
            endpoint: id,
            distance: shared.distance(directory, &record.zone),
            load: tracker.load(now),
            load_tokens: tracker.load_tokens(now),
            slots: record.slots,
            failure_rate: tracker.failure_rate(),
            speed: reports_speeds.then(|| tracker.speed_for(&work, nodes, rand::random(), now)),
        })
    };
    endpoints.iter().map(candidate).collect()
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
    for (id, record) in directory.eligible(request.service, &request.regions) {
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
        attempt = attempts.tried.len(),
        failure:? = failed.failure,
        detail = failed.detail.as_str(),
        age_ms = now.ms_since(request.arrived_at),
        remaining_ms = request.deadline.remaining_ms(now),
        next:? = step;
        "an attempt failed"
    );
}
