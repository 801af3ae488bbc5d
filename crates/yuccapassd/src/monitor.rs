//! Selects the endpoints to poll, and runs a polling task for each.
//!
//! Endpoints of the local region are always polled. Endpoints of other regions are candidates only
//! if the local region cannot serve a request. They are polled only while it has no capacity for
//! their model, and for a minute after: polling all of them would double the cost on every node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use futures::future::join_all;
use yuccapass_decisions::config::{Document, Endpoint, ZoneState};
use yuccapass_decisions::polling::OtherRegionReads;
use yuccapass_decisions::routing::placement::ZoneDistance;
use yuccapass_http::sleep_until;
use yuccapass_types::{Deadline, EndpointId, ModelId, RegionId, SortedMap};

use crate::endpoint_table::CandidateContext;
use crate::poller::{Poller, PollingState, poll_periodically};
use crate::request_handler::Core;

/// Period of comparing the polling tasks with the active configuration.
const RECONCILE_PERIOD_MS: u64 = 200;

/// The polling task of each endpoint, with the configuration that it was started for.
type PollTasks = SortedMap<EndpointId, (Endpoint, task::JoinHandle<()>)>;

/// Polls the endpoints of the active configuration; never returns.
///
/// Sets `is_ready` after polling each endpoint once, whether it replied or not. Before, this node
/// would reject requests that it can serve.
pub(crate) async fn monitor_endpoints(core: Arc<Core>, is_ready: Arc<AtomicBool>) {
    let polling = Arc::new(PollingState::new(&core));
    let mut other_regions = OtherRegionPolling::default();
    poll_once(&core, &polling, &mut other_regions).await;
    is_ready.store(true, Ordering::Release);
    let mut tasks = PollTasks::new();
    loop {
        let active = core.configuration.active();
        let document = active.document();
        other_regions.update(&core, document);
        let selected = other_regions.selected(&core, &polling, document);
        stop_stale(&core, document, &selected, &mut tasks).await;
        core.endpoints.retain(document);
        polling.set_endpoints(selected.len());
        for endpoint in selected {
            tasks.get_or_insert_with(endpoint.id.clone(), || {
                let (core, polling) = (Arc::clone(&core), Arc::clone(&polling));
                (endpoint.clone(), task::spawn(poll_periodically(core, polling, endpoint.clone())))
            });
        }
        let next = Deadline::after_ms(core.clock.now(), RECONCILE_PERIOD_MS);
        sleep_until(&*core.clock, next).await;
    }
}

/// Cancels the polling tasks of endpoints that changed or are not selected; `selected` is sorted by
/// id.
async fn stop_stale(
    core: &Core,
    document: &Document,
    selected: &[&Endpoint],
    tasks: &mut PollTasks,
) {
    let is_selected = |id: &EndpointId, polled: &Endpoint| {
        let position = selected.binary_search_by(|endpoint| endpoint.id.cmp(id));
        position.is_ok_and(|position| selected[position] == polled)
    };
    let stale: Vec<EndpointId> = tasks
        .iter()
        .filter(|(id, (polled, _))| !is_selected(id, polled))
        .map(|(id, _)| id.clone())
        .collect();
    for id in stale {
        if let Some((_, task)) = tasks.remove(&id) {
            task.cancel().await;
        }
        if document.endpoint(&id).is_none() {
            core.prefix_caches.remove_endpoint(&id);
        }
    }
}

/// Polls each selected endpoint once: first those of the local region, which show whether others
/// are needed.
async fn poll_once(core: &Core, polling: &PollingState, other_regions: &mut OtherRegionPolling) {
    let active = core.configuration.active();
    let document = active.document();
    let local = other_regions.selected(core, polling, document);
    poll_each(core, polling, &local).await;
    other_regions.update(core, document);
    let mut remote = other_regions.selected(core, polling, document);
    remote.retain(|endpoint| !local.iter().any(|polled| polled.id == endpoint.id));
    poll_each(core, polling, &remote).await;
}

async fn poll_each(core: &Core, polling: &PollingState, endpoints: &[&Endpoint]) {
    let polls = endpoints.iter().map(|endpoint| async move {
        if let Err(error) = Poller::new(core, polling, endpoint).poll().await {
            log::warn!(endpoint = endpoint.id.as_str(); "cannot poll an endpoint: {error}");
        }
    });
    join_all(polls).await;
}

/// The models for which endpoints of other regions are polled.
#[derive(Default)]
struct OtherRegionPolling {
    models: SortedMap<ModelId, OtherRegionReads>,
}

impl OtherRegionPolling {
    /// Checks for each model whether the local region has capacity.
    fn update(&mut self, core: &Core, document: &Document) {
        let Some(region) = local_region(core, document) else { return };
        let now = core.clock.now();
        self.models.retain(|id, _| document.model(id).is_some());
        for model in &document.models {
            let has_capacity = document.endpoints_of(&model.id).any(|endpoint| {
                is_in_service(document, region, endpoint) && has_capacity(core, endpoint)
            });
            self.models
                .get_or_insert_with(model.id.clone(), OtherRegionReads::default)
                .observe(has_capacity, now);
        }
    }

    /// Returns the endpoints to poll, in the order of the document, which is sorted by id.
    fn selected<'a>(
        &self,
        core: &Core,
        polling: &PollingState,
        document: &'a Document,
    ) -> Vec<&'a Endpoint> {
        let region = local_region(core, document);
        let now = core.clock.now();
        let needs_other_regions = |model: &ModelId| {
            let reads = self.models.get(model);
            reads.is_some_and(|reads| reads.are_needed(&polling.settings, now))
        };
        let is_selected = |endpoint: &&Endpoint| {
            region.is_none_or(|region| is_in_region(document, region, endpoint))
                || needs_other_regions(&endpoint.model)
        };
        document.endpoints.iter().filter(is_selected).collect()
    }
}

/// Returns the region of this node, if the configuration has its zone.
fn local_region<'a>(core: &Core, document: &'a Document) -> Option<&'a RegionId> {
    document.zone(&core.members.identity().zone).map(|zone| &zone.region)
}

fn is_in_region(document: &Document, region: &RegionId, endpoint: &Endpoint) -> bool {
    document.zone(&endpoint.zone).is_some_and(|zone| zone.region == *region)
}

/// Returns whether an endpoint is in a zone of the region that accepts new work.
fn is_in_service(document: &Document, region: &RegionId, endpoint: &Endpoint) -> bool {
    let zone = document.zone(&endpoint.zone);
    zone.is_some_and(|zone| zone.region == *region && zone.state == ZoneState::In)
}

/// Returns whether an endpoint could accept a request now, according to its last report.
fn has_capacity(core: &Core, endpoint: &Endpoint) -> bool {
    let context =
        CandidateContext { distance: ZoneDistance::SameRegion, version: None, matches: &[] };
    core.endpoints.candidate(endpoint, context, |_| false).is_some_and(|candidate| {
        let running =
            candidate.running_requests.saturating_add(candidate.requests_sent_since_report);
        candidate.health.accepts_requests()
            && candidate.queued_requests == 0
            && running < candidate.max_running_requests
    })
}
