//! Chooses the endpoint for an attempt, from what this node knows of the service's endpoints.

use std::net::SocketAddr;

use yuccapass_decisions::gateway::placement::{prefers_current, prompt_work};
use yuccapass_decisions::gateway::waiting_room::{Assumptions, EndpointRoom};
use yuccapass_decisions::gateway::{Candidate, Directory, EndpointRecord, PlacementRequest};
use yuccapass_types::{EndpointId, RequestRate};

use crate::admission::Admitted;
use crate::attempt::Target;
use crate::state::Shared;
use crate::waiting::QueuedWork;

/// Share of the bound for new weights, in tenths, before the end of which an endpoint with older
/// weights gets no more requests. A request that has to wait there could otherwise not begin in time.
const RESERVE_TENTHS: u64 = 2;

/// Maximum of that reserve. It must be shorter than the time that a started node has for targets that
/// it finds.
const MAX_RESERVE_MS: u64 = 2_000;

/// Share of a cold endpoint's capacity that all nodes together use. The rest allows for nodes that
/// disagree about their number.
const COLD_SHARE: f64 = 0.7;

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
    let eligible = directory.eligible(request.service, &request.regions(shared).allowed);
    eligible.iter().any(|(id, record)| {
        request.may_go_on_at(record) && shared.notices.may_send(id, record, nodes, now)
    })
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
    let eligible = directory.eligible(request.service, &request.regions(shared).allowed);
    let versions = shared.rollouts.choice(request.service, &eligible, nodes, now);
    let untried: Vec<DirectoryEntry<'_>> = eligible
        .iter()
        .copied()
        .filter(|(id, record)| versions.allows(id, record))
        .filter(|(_, record)| request.may_go_on_at(record))
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
    let cache_peer = cache_peer(shared, &directory, request, &eligible, record)
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
    directory: &Directory,
    request: &Admitted<'_>,
    eligible: &[DirectoryEntry<'_>],
    chosen: &EndpointRecord,
) -> Option<SocketAddr> {
    if !request.route.is_sticky {
        return None;
    }
    let now = shared.now();
    let model = request.model();
    // What an endpoint has cached does not tell whose prompt it was.
    let stays_in_region = shared.configuration().is_some_and(|known| known.has_bound_prompts());
    let is_allowed_source = |record: &EndpointRecord| {
        !stays_in_region || directory.region(&record.zone) == directory.region(&chosen.zone)
    };
    let sources: Vec<&DirectoryEntry<'_>> = eligible
        .iter()
        .filter(|(_, record)| record.served(model) == chosen.served(model))
        .filter(|(_, record)| is_allowed_source(record))
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
