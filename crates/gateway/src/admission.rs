//! Checks a caller's request against the configuration.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;

use bytes::Bytes;
use yuccapass_decisions::gateway::{
    AllowedRegions, Configuration, ConfirmedConfiguration, EndpointRecord, KeyVerdict, Priority,
    Refusal, Route, RouteKind, SettingsValidity, StreamOrigin, StreamRecord,
};
use yuccapass_http::message::RequestHead;
use yuccapass_types::{
    Deadline, Instant, ModelId, OrganisationId, RequestId, ResultCode, Revision, ServiceId,
    SoftwareVersion, ZoneId,
};

use crate::caller_memory::CallerClaim;
use crate::protocol::CallerRequest;
use crate::state::Shared;
use crate::streams::Asked;
use crate::waiting::QueuedWork;

/// Number of route priorities that are kept apart within an organisation priority. Three of them
/// fit into the ten priorities that engines support.
const ROUTE_PRIORITIES: u8 = 3;

/// The most urgent priority of a route.
const MOST_URGENT: Priority = Priority::new(0);

/// The least urgent priority that engines support.
const LOWEST_PRIORITY: u8 = 9;

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct ReadRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: Instant,
    /// What its connection holds.
    pub(crate) claim: CallerClaim,
    /// Whether an endpoint may have run it. Known also when the work on the request is given up.
    pub(crate) may_have_run: AtomicBool,
}

/// The regions in which a request may be served.
pub(crate) struct RequestRegions {
    /// The revision of the configuration that names them.
    pub(crate) revision: Revision,
    pub(crate) allowed: AllowedRegions,
    /// How long they may be relied on.
    pub(crate) validity: SettingsValidity,
}

impl RequestRegions {
    /// Returns whether the request may be sent by these regions at `now`: all are allowed, or the settings
    /// that name them are confirmed. A node that has not confirmed them in time may have missed that others
    /// are allowed.
    pub(crate) fn may_be_used(&self, now: Instant) -> bool {
        !self.allowed.is_bound() || self.validity.are_regions_valid(now)
    }
}

/// A request that passed the checks, with what is needed to forward it.
pub(crate) struct Admitted<'a> {
    pub(crate) message: &'a ReadRequest,
    pub(crate) caller: &'a CallerRequest,
    // The configuration that admitted it, with its confirmation then.
    settings: &'a ConfirmedConfiguration,
    pub(crate) route: &'a Route,
    pub(crate) service: &'a ServiceId,
    pub(crate) organisation: Option<&'a OrganisationId>,
    /// What keeps its cached prompt parts apart from those of others.
    pub(crate) cache_partition: Option<&'a str>,
    pub(crate) priority: Priority,
    /// Its priority if it goes on with a stream: before all of its organisation that begin, since its caller has
    /// waited already, has less time left and loses what it has.
    pub(crate) resumed_priority: Priority,
    // The regions in which it may be served, by the configuration that admitted it.
    regions: AllowedRegions,
    // The version of the software that began the stream, once it has begun.
    software: OnceLock<Option<SoftwareVersion>>,
    /// Requests a second that a cold endpoint of the service can handle.
    pub(crate) cold_requests_per_s: f64,
    /// Whether the endpoints of the service are model engines.
    pub(crate) uses_engine: bool,
    /// What it needs of an engine, if it may have to wait for one.
    pub(crate) queued: Option<QueuedWork>,
    pub(crate) arrived_at: Instant,
    /// When the caller must have its complete answer.
    pub(crate) deadline: Deadline,
}

impl Admitted<'_> {
    /// Returns the model that the request is for, if it names one.
    pub(crate) fn model(&self) -> Option<&ModelId> {
        self.caller.model.as_ref()
    }

    /// Returns the revision of the configuration that admitted the request.
    pub(crate) fn revision(&self) -> Revision {
        self.settings.configuration().revision()
    }

    /// Returns the regions in which the request may be served, by the newest configuration: it may have
    /// waited, or been sent before, since it was admitted.
    pub(crate) fn regions(&self, shared: &Shared) -> RequestRegions {
        let newest = shared.settings();
        let newest = newest.as_ref().unwrap_or(self.settings);
        let is_later = newest.configuration().revision() > self.revision();
        let allowed = is_later.then(|| self.regions_in(newest.configuration())).flatten();
        let (revision, allowed) = match allowed {
            Some(allowed) => (newest.configuration().revision(), allowed),
            None => (self.revision(), self.regions.clone()),
        };
        RequestRegions { revision, allowed, validity: newest.validity() }
    }

    /// Returns the regions by another configuration, or `None` if it has no longer the organisation, or
    /// another route for the request: the request still goes to the service of the earlier one.
    fn regions_in(&self, configuration: &Configuration) -> Option<AllowedRegions> {
        let head = &self.message.head;
        let route = configuration.route(host(head), head.path())?;
        if route.id != self.route.id {
            return None;
        }
        let organisation = match self.organisation {
            Some(id) => Some(configuration.organisation(id)?),
            None => None,
        };
        Some(AllowedRegions::of_request(route, organisation))
    }

    /// Returns whether the request may be sent to an endpoint in this zone now.
    pub(crate) fn may_be_sent_to(&self, shared: &Shared, zone: &ZoneId) -> bool {
        let regions = self.regions(shared);
        regions.may_be_used(shared.now())
            && regions.allowed.contains(shared.directory().region(zone))
    }

    /// Returns whether an endpoint may go on with the stream: it has the version of the software that began
    /// it, or the stream has not begun.
    pub(crate) fn may_go_on_at(&self, record: &EndpointRecord) -> bool {
        self.software.get().is_none_or(|software| *software == record.software)
    }

    /// Records the stream before its first event goes out, if its caller may take it up later.
    pub(crate) async fn begin_stream(&self, shared: &Shared, record: &EndpointRecord) {
        if self.route.kind != (RouteKind::Streaming { is_resumable: true }) {
            return;
        }
        let software = self.software.get_or_init(|| record.software.clone()).clone();
        let id = self.caller.resumed.clone().or_else(|| self.caller.id.parse().ok());
        if let Some(id) = id {
            let origin = StreamOrigin { service: self.service.clone(), software };
            shared.streams.begin(shared, StreamRecord { id, origin }).await;
        }
    }

    /// Returns whether the request is refused because it, or a part of its prompt, crashes endpoints.
    pub(crate) fn is_blocked(&self, shared: &Shared) -> bool {
        is_blocked(shared, self.message, self.caller, self.organisation)
    }
}

/// Checks a request against a configuration and chooses its service.
///
/// # Errors
///
/// Returns the error answer for a request that must not be forwarded.
pub(crate) fn admit<'a>(
    shared: &Shared,
    settings: &'a ConfirmedConfiguration,
    request: &'a ReadRequest,
    caller: &'a CallerRequest,
    origin: Option<&StreamOrigin>,
) -> Result<Admitted<'a>, Refusal> {
    let (configuration, validity) = (settings.configuration(), settings.validity());
    let head = &request.head;
    let route = configuration
        .route(host(head), head.path())
        .ok_or(Refusal::without_retry(404, ResultCode::NotFound))?;
    let verdict = configuration.verify_key(route, caller.key);
    if verdict != KeyVerdict::NotRequired && !validity.are_keys_valid(request.arrived_at) {
        // The organisations and their keys may have changed since they were last confirmed.
        return Err(Refusal::not_run(ResultCode::PlatformUnavailable));
    }
    let organisation = match verdict {
        KeyVerdict::Unknown => return Err(Refusal::without_retry(401, ResultCode::Unauthorised)),
        KeyVerdict::NotRequired => None,
        KeyVerdict::Known(id, organisation) => Some((id, organisation)),
    };
    let organisation_id = organisation.map(|(id, _)| id);
    if is_blocked(shared, request, caller, organisation_id) {
        return Err(Refusal::blocked(ResultCode::RequestBlocked));
    }
    let regions = AllowedRegions::of_request(route, organisation.map(|(_, known)| known));
    if regions.is_bound() && !validity.are_regions_valid(shared.now()) {
        return Err(Refusal::not_run(ResultCode::PlatformUnavailable));
    }
    let goes_on = caller.resume_after.is_some()
        && route.kind == (RouteKind::Streaming { is_resumable: true });
    let (service, software) = match goes_on {
        true => {
            let (service, software) = resumed_service(route, origin)
                .ok_or(Refusal::without_retry(503, ResultCode::StreamOriginUnknown))?;
            (service, OnceLock::from(software))
        }
        false => {
            let service = route.service_for(rand::random());
            (service.ok_or(Refusal::not_run(ResultCode::ServiceNotFound))?, OnceLock::new())
        }
    };
    let wait_ms = caller.wait_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let organisation_priority = organisation.and_then(|(_, organisation)| organisation.priority);
    let spec = configuration.service(service);
    Ok(Admitted {
        cold_requests_per_s: spec.map(|spec| spec.cold_requests_per_s).unwrap_or_default(),
        uses_engine: spec.is_some_and(|spec| spec.engine.is_some()),
        queued: shared.waiting.queued_work(service, spec, route, caller),
        message: request,
        caller,
        settings,
        route,
        service,
        organisation: organisation_id,
        cache_partition: configuration.cache_partition(organisation_id),
        priority: combined_priority(organisation_priority, route.priority),
        resumed_priority: combined_priority(organisation_priority, MOST_URGENT),
        regions,
        software,
        arrived_at: request.arrived_at,
        deadline: Deadline::after_ms(request.arrived_at, wait_ms),
    })
}

/// Returns the service and the version of its software that go on with a stream, or `None` if several may have
/// begun it.
fn resumed_service<'a>(
    route: &'a Route,
    origin: Option<&StreamOrigin>,
) -> Option<(&'a ServiceId, Option<SoftwareVersion>)> {
    let origin = origin?;
    let service = services_of(route).find(|service| **service == origin.service)?;
    Some((service, origin.software.clone()))
}

fn services_of(route: &Route) -> impl Iterator<Item = &ServiceId> {
    route.services.iter().filter(|part| part.weight > 0).map(|part| &part.service)
}

/// Returns where the stream has begun that a caller takes up, or `None` if it takes none up or several services or
/// versions may have begun it.
pub(crate) async fn resumed_origin(
    shared: &Shared,
    configuration: &Configuration,
    request: &ReadRequest,
    caller: &CallerRequest,
) -> Option<StreamOrigin> {
    caller.resume_after.as_ref()?;
    let route = configuration.route(host(&request.head), request.head.path())?;
    if route.kind != (RouteKind::Streaming { is_resumable: true }) {
        return None;
    }
    let id = caller.resumed.as_ref();
    // Streams of a service with one version are kept by nobody.
    let is_mixed = |service| shared.streams.sole_version(shared, service).is_none();
    let asked = if services_of(route).any(is_mixed) { Asked::AllZones } else { Asked::Zone };
    if let Some(id) = id
        && let Some(origin) = shared.streams.find_origin(shared, id, asked).await
    {
        return Some(origin);
    }
    let mut services = services_of(route);
    let service = services.next().filter(|_| services.next().is_none())?;
    let own_id: Option<RequestId> = caller.id.parse().ok();
    let id = id.or(own_id.as_ref())?;
    shared.streams.unrecorded_origin(shared, service, id, request.arrived_at).await
}

fn is_blocked(
    shared: &Shared,
    request: &ReadRequest,
    caller: &CallerRequest,
    organisation: Option<&OrganisationId>,
) -> bool {
    let now = shared.now();
    shared.crashes.blocks(request, organisation, now)
        || shared.part_crashes.blocks(&caller.parts, now)
}

/// Combines the priorities of the organisation and the route; that of the organisation takes
/// precedence.
fn combined_priority(organisation: Option<Priority>, route: Priority) -> Priority {
    let organisation = organisation.map_or(0, Priority::get);
    let route = route.get().min(ROUTE_PRIORITIES - 1);
    Priority::new(
        organisation.saturating_mul(ROUTE_PRIORITIES).saturating_add(route).min(LOWEST_PRIORITY),
    )
}

/// Returns the host that a request names.
pub(crate) fn host(head: &RequestHead) -> &str {
    head.headers.get_str("host").map(without_port).unwrap_or_default()
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name).trim()
}
