//! Requests that wait at this node until an engine can start them.

use std::hash::{DefaultHasher, Hash, Hasher};

use futures::channel::oneshot;
use yuccapass_decisions::gateway::waiting_room::{
    Arrival, Assumptions, MemoryPerRequest, ObservedRunTimes, OthersLoad, OutputBounds,
    OutputEstimate, RoomRefusal, RunTimeEstimate, Ticket, Turn, UrgentReserve, WaitingLimits,
    WaitingRequest, WaitingRoom,
};
use yuccapass_decisions::gateway::{
    EngineSpec, LoadReport, Priority, Refusal, RequestWork, Route, Service,
};
use yuccapass_http::with_deadline;
use yuccapass_types::{Bytes, Deadline, Instant, RouteId, ServiceId, Sharded, SortedMap, Tokens};

use crate::admission::Admitted;
use crate::attempt::Target;
use crate::choice::{NeededRoom, choose, has_endpoint};
use crate::options::RequestQueue;
use crate::protocol::CallerRequest;
use crate::state::Shared;

/// How often the first request of a waiting room looks for an endpoint while nothing is heard of any: what
/// reports say of the load counts less with their age.
const CHECK_PERIOD_MS: u64 = 50;

/// Status of a refusal.
const UNAVAILABLE: u16 = 503;

/// What a request needs of an engine, if it may have to wait for one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedWork {
    pub(crate) engine: EngineSpec,
    pub(crate) work: RequestWork,
}

/// Tells a waiting request what happens to it.
enum Wake {
    Turn(Turn),
    Displaced(RoomRefusal),
}

/// The waiting room of a service and what was learnt from its requests.
struct ServiceQueue {
    room: WaitingRoom,
    wakers: SortedMap<Ticket, oneshot::Sender<Wake>>,
    others: OthersLoad,
    memory: MemoryPerRequest,
    outputs: SortedMap<RouteId, OutputEstimate>,
    times: Box<dyn RunTimeEstimate>,
    reserve: UrgentReserve,
    // Whether its endpoints report how fast they are.
    reports_speed: bool,
    // Requests of this node that are at its endpoints.
    outstanding: u32,
}

impl ServiceQueue {
    fn new(now: Instant) -> Self {
        Self {
            room: WaitingRoom::new(WaitingLimits::default(), now),
            wakers: SortedMap::new(),
            others: OthersLoad::default(),
            memory: MemoryPerRequest::default(),
            outputs: SortedMap::new(),
            times: Box::new(ObservedRunTimes::default()),
            reserve: UrgentReserve::default(),
            reports_speed: false,
            outstanding: 0,
        }
    }

    /// Wakes the request that has the next turn.
    fn wake_next(&mut self, now: Instant) {
        while let Some(turn) = self.room.next_turn(now) {
            let waker = self.wakers.remove(&turn.ticket);
            if waker.is_some_and(|waker| waker.send(Wake::Turn(turn)).is_ok()) {
                return;
            }
            // Its task is about to leave the room.
            self.room.no_room(turn.ticket);
        }
    }

    /// Begins a round of turns.
    fn room_changed(&mut self, now: Instant) {
        if !self.room.is_empty() {
            self.room.room_changed();
            self.wake_next(now);
        }
    }

    fn wait_for_wake(&mut self, ticket: Ticket) -> oneshot::Receiver<Wake> {
        let (waker, receiver) = oneshot::channel();
        self.wakers.insert(ticket, waker);
        receiver
    }
}

/// The waiting rooms of a node, sharded by service.
pub(crate) struct WaitingTable {
    mode: RequestQueue,
    limits_endpoint_memory: bool,
    shards: Sharded<SortedMap<ServiceId, ServiceQueue>>,
}

impl WaitingTable {
    pub(crate) fn new(mode: RequestQueue, limits_endpoint_memory: bool) -> Self {
        Self { mode, limits_endpoint_memory, shards: Sharded::default() }
    }

    /// Returns what a request needs of an engine, or `None` if it never has to wait for one: its service
    /// has no engines, or the waiting room is not used for it.
    pub(crate) fn queued_work(
        &self,
        service: &ServiceId,
        spec: Option<&Service>,
        route: &Route,
        caller: &CallerRequest,
    ) -> Option<QueuedWork> {
        let engine = spec?.engine?;
        if self.mode == RequestQueue::Off {
            return None;
        }
        self.shards.with(service, |queues| {
            let queue = queues.get(service);
            let is_used = self.mode == RequestQueue::On
                || self.limits_endpoint_memory
                || queue.is_some_and(|queue| queue.reports_speed);
            let estimate = queue.and_then(|queue| queue.outputs.get(&route.id));
            let output = estimate.copied().unwrap_or_default().expected(OutputBounds {
                max: caller.max_output_tokens,
                hint: caller.output_hint_tokens,
            });
            is_used.then(|| QueuedWork { engine, work: request_work(route, caller, output) })
        })
    }

    /// Returns what is assumed about the engines of a service.
    pub(crate) fn assumptions(&self, service: &ServiceId, now: Instant) -> Assumptions {
        self.with(service, now, |queue| Assumptions {
            others: queue.others.mean(now),
            memory_per_request: queue.memory.mean_tokens().unwrap_or_default(),
            urgent_reserve: queue.reserve.share(),
        })
    }

    /// Counts a request as sent to an engine until the guard is dropped.
    pub(crate) fn track<'a>(
        &'a self,
        shared: &'a Shared,
        request: &Admitted<'_>,
    ) -> Option<SentRequest<'a>> {
        let queued = request.queued?;
        let now = shared.now();
        self.with(request.service, now, |queue| queue.outstanding += 1);
        let service = request.service.clone();
        Some(SentRequest { shared, service, memory: queued.work.memory(), sent_at: now })
    }

    /// Records a load report of an endpoint at which this node has `own_requests`.
    pub(crate) fn record_load(
        &self,
        service: &ServiceId,
        report: LoadReport,
        own_requests: u32,
        now: Instant,
    ) {
        self.with(service, now, |queue| {
            queue.reports_speed |= report.slowdown.is_some();
            queue.others.record(report, own_requests, now);
            queue.room_changed(now);
        });
    }

    /// Records the time from sending a request to the first event of its answer.
    pub(crate) fn record_first_event(
        &self,
        request: &Admitted<'_>,
        sent_at: Instant,
        now: Instant,
    ) {
        if request.queued.is_some() {
            self.with(request.service, now, |queue| {
                let first_event_ms = now.ms_since(sent_at);
                queue.times.record_first_event(&request.route.id, first_event_ms);
                if is_urgent(request) {
                    let target_ms = request.route.target_latency_ms;
                    let has_waiting = !queue.room.is_empty();
                    queue.reserve.record_first_event(first_event_ms, target_ms, has_waiting);
                }
            });
        }
    }

    /// Records a complete answer with its length, if that is known.
    pub(crate) fn record_answer(
        &self,
        request: &Admitted<'_>,
        sent_at: Instant,
        output: Option<Tokens>,
        now: Instant,
    ) {
        if request.queued.is_none() {
            return;
        }
        self.with(request.service, now, |queue| {
            queue.times.record_answer(&request.route.id, now.ms_since(sent_at));
            if let Some(output) = output {
                let route = request.route.id.clone();
                queue.outputs.get_or_insert_with(route, OutputEstimate::default).record(output);
            }
        });
    }

    /// Returns whether this node has no request at the endpoints of a service.
    fn is_idle(&self, service: &ServiceId) -> bool {
        self.shards
            .with(service, |queues| queues.get(service).is_none_or(|queue| queue.outstanding == 0))
    }

    fn with<R>(
        &self,
        service: &ServiceId,
        now: Instant,
        action: impl FnOnce(&mut ServiceQueue) -> R,
    ) -> R {
        self.shards.with(service, |queues| {
            action(queues.get_or_insert_with(service.clone(), || ServiceQueue::new(now)))
        })
    }
}

/// Returns what a request needs of an engine.
fn request_work(route: &Route, caller: &CallerRequest, output: Tokens) -> RequestWork {
    let in_parts: Tokens = caller.parts.iter().map(|part| part.tokens).sum();
    let prompt = caller.prompt_tokens.unwrap_or_default().max(in_parts);
    // Shared parts are mostly cached where the request is placed; the last part is its own.
    let uncached = match caller.parts.last() {
        Some(own) if route.is_sticky => own.tokens,
        _ => prompt,
    };
    RequestWork { prompt, uncached, output }
}

/// Counts a request as sent to an engine until it is dropped.
pub(crate) struct SentRequest<'a> {
    shared: &'a Shared,
    service: ServiceId,
    memory: Tokens,
    sent_at: Instant,
}

impl Drop for SentRequest<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.waiting.with(&self.service, now, |queue| {
            queue.outstanding = queue.outstanding.saturating_sub(1);
            queue.memory.record(self.memory, now.ms_since(self.sent_at));
            queue.room_changed(now);
        });
    }
}

/// The endpoint with room for a request, `None` if there is no endpoint for it at all, or the refusal of a
/// request that cannot be served in time.
type Entered = Result<Option<Target>, Refusal>;

/// Chooses the endpoint of a request, and waits before until one has room for it.
pub(crate) async fn enter(shared: &Shared, request: &Admitted<'_>) -> Entered {
    let Some(queued) = request.queued else {
        return Ok(choose(shared, request, &[], NeededRoom::None));
    };
    let is_urgent = is_urgent(request);
    let target = choose(shared, request, &[], NeededRoom::Required(is_urgent));
    if target.is_none() {
        // A node without requests hears nothing of the load, so it may always send one.
        if shared.waiting.is_idle(request.service) || !has_endpoint(shared, request) {
            return Ok(choose(shared, request, &[], NeededRoom::None));
        }
    }
    let now = shared.now();
    let waiting_request = waiting_request(shared, request, &queued, now);
    let latest_start = waiting_request.latest_start;
    let has_room = target.is_some();
    let arrival = shared.waiting.with(request.service, now, |queue| {
        let arrival = queue.room.arrive(waiting_request, has_room, rand::random(), now);
        let Arrival::Wait { ticket, rank, expected_wait_ms, displaced } = arrival else {
            return Err(arrival);
        };
        for victim in displaced {
            if let Some(waker) = queue.wakers.remove(&victim.ticket) {
                // The send fails only if the request leaves the room anyway.
                let _ = waker.send(Wake::Displaced(victim.refusal));
            }
        }
        let receiver = queue.wait_for_wake(ticket);
        queue.wake_next(now);
        Ok((ticket, rank, expected_wait_ms, receiver))
    });
    match arrival {
        Ok((ticket, rank, expected_wait_ms, receiver)) => {
            let place = Place { shared, service: request.service, ticket, is_left: false };
            let waiting = Waiting { place, latest_start, receiver, is_urgent };
            let entered = waiting.wait(request).await;
            record_wait(shared, request, &queued, (rank, expected_wait_ms), now, &entered);
            entered
        }
        Err(Arrival::Refuse(refusal)) => {
            let entered = refused(shared, refusal);
            record_wait(shared, request, &queued, (0, None), now, &entered);
            entered
        }
        Err(_) => Ok(target),
    }
}

/// Returns whether a request is among the most urgent ones.
fn is_urgent(request: &Admitted<'_>) -> bool {
    request.priority == Priority::default()
}

/// A place in a waiting room, which is left when it is dropped: also if the caller closes its connection.
struct Place<'a> {
    shared: &'a Shared,
    service: &'a ServiceId,
    ticket: Ticket,
    is_left: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.waiting.with(self.service, now, |queue| {
            queue.wakers.remove(&self.ticket);
            if !self.is_left {
                queue.room.leave(self.ticket);
            }
            queue.room_changed(now);
        });
    }
}

/// A request that waits.
struct Waiting<'a> {
    place: Place<'a>,
    latest_start: Deadline,
    receiver: oneshot::Receiver<Wake>,
    is_urgent: bool,
}

impl Waiting<'_> {
    async fn wait(mut self, request: &Admitted<'_>) -> Entered {
        let (shared, service, ticket) = (self.place.shared, self.place.service, self.place.ticket);
        loop {
            let now = shared.now();
            let is_first =
                shared.waiting.with(service, now, |queue| queue.room.is_first(ticket, now));
            let check_at = match is_first {
                true => Deadline::after_ms(now, CHECK_PERIOD_MS),
                false => Deadline::NEVER,
            };
            let until = self.latest_start.earlier(check_at);
            match with_deadline(&*shared.clock, until, &mut self.receiver).await {
                Ok(Ok(Wake::Turn(turn))) => {
                    if let Some(target) = self.take_turn(request, turn) {
                        return Ok(Some(target));
                    }
                }
                Ok(Ok(Wake::Displaced(refusal))) => {
                    self.place.is_left = true;
                    return refused(shared, refusal);
                }
                Ok(Err(_)) => return self.expire(),
                Err(_) if self.latest_start.has_passed(shared.now()) => return self.expire(),
                Err(_) => {
                    let now = shared.now();
                    shared.waiting.with(service, now, |queue| queue.room_changed(now));
                }
            }
        }
    }

    /// Looks for an endpoint with room, and passes the turn on if there is none.
    fn take_turn(&mut self, request: &Admitted<'_>, turn: Turn) -> Option<Target> {
        let (shared, ticket) = (self.place.shared, self.place.ticket);
        let room = NeededRoom::Required(self.is_urgent || turn.may_use_reserve);
        let target = choose(shared, request, &[], room);
        let now = shared.now();
        shared.waiting.with(self.place.service, now, |queue| match target.is_some() {
            true => queue.room.start(ticket, now),
            false => {
                self.receiver = queue.wait_for_wake(ticket);
                queue.room.no_room(ticket);
                queue.wake_next(now);
            }
        });
        self.place.is_left = target.is_some();
        target
    }

    /// Leaves the room at the latest useful start.
    fn expire(mut self) -> Entered {
        let (shared, now) = (self.place.shared, self.place.shared.now());
        self.place.is_left = true;
        let refusal = shared.waiting.with(self.place.service, now, |queue| {
            queue.room.expire(self.place.ticket, rand::random(), now)
        });
        match (refusal, self.receiver.try_recv()) {
            (Some(refusal), _) | (None, Ok(Some(Wake::Displaced(refusal)))) => {
                refused(shared, refusal)
            }
            _ => Err(Refusal::not_run(yuccapass_types::ResultCode::QueueFull)),
        }
    }
}

fn refused(shared: &Shared, refusal: RoomRefusal) -> Entered {
    shared.metrics.record_room_refusal(refusal.reason);
    Err(Refusal {
        status: UNAVAILABLE,
        code: refusal.code(),
        retry_after_ms: Some(refusal.retry_after_ms),
    })
}

fn waiting_request(
    shared: &Shared,
    request: &Admitted<'_>,
    queued: &QueuedWork,
    now: Instant,
) -> WaitingRequest {
    let route = request.route;
    let run = shared
        .waiting
        .with(request.service, now, |queue| queue.times.expected(&route.id, &queued.work));
    let target_ms = route.target_latency_ms;
    let is_stream = route.kind.is_streaming();
    let (arrived_at, deadline) = (request.arrived_at, request.deadline);
    WaitingRequest {
        organisation: request.organisation.cloned(),
        route: route.id.clone(),
        caller_hash: caller_hash(request),
        priority: request.priority,
        work: queued.work,
        body: Bytes::new(request.message.body.len() as u64),
        target_start: run.target_start(arrived_at, target_ms),
        latest_start: run.latest_start(arrived_at, target_ms, is_stream, deadline),
        deadline,
    }
}

/// Returns a hash of what a caller sends again after a refusal. Each attempt has its own id.
fn caller_hash(request: &Admitted<'_>) -> u64 {
    let mut hasher = DefaultHasher::new();
    request.caller.key.hash(&mut hasher);
    request.message.head.target.hash(&mut hasher);
    request.caller.parts.last().map(|part| part.id.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Records how a request left the waiting room, with what decided about it.
fn record_wait(
    shared: &Shared,
    request: &Admitted<'_>,
    queued: &QueuedWork,
    (rank, expected_wait_ms): (usize, Option<u64>),
    entered_at: Instant,
    entered: &Entered,
) {
    let now = shared.now();
    let (is_refused, endpoint) = match entered {
        Err(_) => (true, None),
        Ok(target) => (false, target.as_ref().map(|target| target.id.as_str())),
    };
    let waiting = shared.waiting.with(request.service, now, |queue| queue.room.len());
    shared.metrics.record_wait(request, entered_at, now, waiting);
    let assumptions = shared.waiting.assumptions(request.service, now);
    log::info!(
        request_id = request.caller.id.as_str(), route = request.route.id.as_str(),
        priority = request.priority.get(), memory_tokens = queued.work.memory().get(), rank,
        assumed_others = assumptions.others, memory_per_request = assumptions.memory_per_request,
        urgent_reserve = assumptions.urgent_reserve,
        expected_wait_ms, waited_ms = now.ms_since(entered_at),
        remaining_ms = request.deadline.remaining_ms(now), waiting, is_refused, endpoint;
        "a request has left the waiting room"
    );
}
