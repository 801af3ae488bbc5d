//! Decides which endpoints are read, and keeps a reader for each.
//!
//! Those of the own region are always read. Those of other regions are candidates only if the own
//! region cannot serve a request, and are read only while it has no room for their model, and for a
//! minute after: reading all would double the cost on every node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use futures::future::join_all;
use yuccapass_decisions::config::{Document, Endpoint, ZoneState};
use yuccapass_decisions::polling::OtherRegionReads;
use yuccapass_decisions::routing::placement::ZoneDistance;
use yuccapass_http::sleep_until;
use yuccapass_types::{Deadline, EndpointId, ModelId, RegionId, SortedMap};

use crate::endpoint_table::CandidatePlace;
use crate::poller::{Poller, Polling, follow};
use crate::request_path::Core;

/// Period of the comparison with the configuration in force.
const RECONCILE_PERIOD_MS: u64 = 200;

type Followers = SortedMap<EndpointId, (Endpoint, task::JoinHandle<()>)>;

/// Follows the endpoints of the configuration in force; ends only with the process.
///
/// Sets `is_ready` once each endpoint was read or did not answer: before, this node would refuse
/// requests that it can serve.
pub(crate) async fn follow_endpoints(core: Arc<Core>, is_ready: Arc<AtomicBool>) {
    let polling = Arc::new(Polling::new(&core));
    let mut spares = Spares::default();
    read_first(&core, &polling, &mut spares).await;
    is_ready.store(true, Ordering::Release);
    let mut followers = Followers::new();
    loop {
        let active = core.configuration.active();
        let document = active.document();
        spares.observe(&core, document);
        let wanted = spares.wanted(&core, &polling, document);
        stop_stale(&core, document, &wanted, &mut followers).await;
        core.endpoints.retain(document);
        polling.set_endpoints(wanted.len());
        for endpoint in wanted {
            followers.get_or_insert_with(endpoint.id.clone(), || {
                let (core, polling) = (Arc::clone(&core), Arc::clone(&polling));
                (endpoint.clone(), task::spawn(follow(core, polling, endpoint.clone())))
            });
        }
        let next = Deadline::after_ms(core.clock.now(), RECONCILE_PERIOD_MS);
        sleep_until(&*core.clock, next).await;
    }
}

/// Ends the readers of endpoints that changed or are not wanted; `wanted` is sorted by id.
async fn stop_stale(
    core: &Core,
    document: &Document,
    wanted: &[&Endpoint],
    followers: &mut Followers,
) {
    let is_wanted = |id: &EndpointId, followed: &Endpoint| {
        let position = wanted.binary_search_by(|endpoint| endpoint.id.cmp(id));
        position.is_ok_and(|position| wanted[position] == followed)
    };
    let stale: Vec<EndpointId> = followers
        .iter()
        .filter(|(id, (followed, _))| !is_wanted(id, followed))
        .map(|(id, _)| id.clone())
        .collect();
    for id in stale {
        if let Some((_, follower)) = followers.remove(&id) {
            follower.cancel().await;
        }
        if document.endpoint(&id).is_none() {
            core.prefix_caches.forget(&id);
        }
    }
}

/// Reads each wanted endpoint once: first those of the own region, which tell whether others are
/// needed.
async fn read_first(core: &Core, polling: &Polling, spares: &mut Spares) {
    let active = core.configuration.active();
    let document = active.document();
    let near = spares.wanted(core, polling, document);
    read_each(core, polling, &near).await;
    spares.observe(core, document);
    let mut far = spares.wanted(core, polling, document);
    far.retain(|endpoint| !near.iter().any(|read| read.id == endpoint.id));
    read_each(core, polling, &far).await;
}

async fn read_each(core: &Core, polling: &Polling, endpoints: &[&Endpoint]) {
    let reads = endpoints.iter().map(|endpoint| async move {
        if let Err(error) = Poller::new(core, polling, endpoint).poll().await {
            log::warn!(endpoint = endpoint.id.as_str(); "an endpoint cannot be read: {error}");
        }
    });
    join_all(reads).await;
}

/// For which models the endpoints of other regions are read.
#[derive(Default)]
struct Spares {
    models: SortedMap<ModelId, OtherRegionReads>,
}

impl Spares {
    /// Looks for room in the own region.
    fn observe(&mut self, core: &Core, document: &Document) {
        let Some(region) = own_region(core, document) else { return };
        let now = core.clock.now();
        self.models.retain(|id, _| document.model(id).is_some());
        for model in &document.models {
            let has_room = document
                .endpoints_of(&model.id)
                .any(|endpoint| is_in(document, region, endpoint) && has_room(core, endpoint));
            self.models
                .get_or_insert_with(model.id.clone(), OtherRegionReads::default)
                .observe(has_room, now);
        }
    }

    /// Returns the endpoints to read, in the order of the document, which is that of their ids.
    fn wanted<'a>(
        &self,
        core: &Core,
        polling: &Polling,
        document: &'a Document,
    ) -> Vec<&'a Endpoint> {
        let region = own_region(core, document);
        let now = core.clock.now();
        let needs_spares = |model: &ModelId| {
            let reads = self.models.get(model);
            reads.is_some_and(|reads| reads.are_needed(&polling.settings, now))
        };
        let is_wanted = |endpoint: &&Endpoint| {
            region.is_none_or(|region| is_of_region(document, region, endpoint))
                || needs_spares(&endpoint.model)
        };
        document.endpoints.iter().filter(is_wanted).collect()
    }
}

/// Returns the region of this node, if the configuration has its zone.
fn own_region<'a>(core: &Core, document: &'a Document) -> Option<&'a RegionId> {
    document.zone(&core.members.identity().zone).map(|zone| &zone.region)
}

fn is_of_region(document: &Document, region: &RegionId, endpoint: &Endpoint) -> bool {
    document.zone(&endpoint.zone).is_some_and(|zone| zone.region == *region)
}

/// Returns whether an endpoint is in a zone of the region that gets new work.
fn is_in(document: &Document, region: &RegionId, endpoint: &Endpoint) -> bool {
    let zone = document.zone(&endpoint.zone);
    zone.is_some_and(|zone| zone.region == *region && zone.state == ZoneState::In)
}

/// Returns whether an endpoint could take a request now, as far as is known.
fn has_room(core: &Core, endpoint: &Endpoint) -> bool {
    let place = CandidatePlace { distance: ZoneDistance::SameRegion, version: None, matches: &[] };
    core.endpoints.candidate(endpoint, place, |_| false).is_some_and(|candidate| {
        let running =
            candidate.running_requests.saturating_add(candidate.requests_sent_since_report);
        candidate.health.takes_work()
            && candidate.queued_requests == 0
            && running < candidate.max_running_requests
    })
}
