//! Follows the load and the cache events of the endpoints.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use futures::future::join_all;
use yuccapass_decisions::config::Endpoint;
use yuccapass_endpoints::{EndpointError, ModelEndpoint};
use yuccapass_http::sleep_until;
use yuccapass_types::{Deadline, EndpointId, SortedMap};

use crate::request_path::Core;

/// Period of the comparison with the configuration in force.
const RECONCILE_PERIOD_MS: u64 = 200;

/// Period of reading an endpoint's load and events.
const POLL_PERIOD_MS: u64 = 250;

/// How long one read may take.
const POLL_TIMEOUT_MS: u64 = 2_000;

/// Follows all endpoints of the configuration in force; ends only with the process.
///
/// Sets `is_ready` once each endpoint was read or did not answer: before, this node would refuse
/// requests that it can serve.
pub(crate) async fn follow_endpoints(core: Arc<Core>, is_ready: Arc<AtomicBool>) {
    read_all(&core).await;
    is_ready.store(true, Ordering::Release);
    let mut followers: SortedMap<EndpointId, (Endpoint, task::JoinHandle<()>)> = SortedMap::new();
    loop {
        let active = core.configuration.active();
        let document = active.document();
        let stale: Vec<EndpointId> = followers
            .iter()
            .filter(|(id, (followed, _))| document.endpoint(id) != Some(followed))
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
        core.endpoints.retain(document);
        for endpoint in &document.endpoints {
            followers.get_or_insert_with(endpoint.id.clone(), || {
                let follower = task::spawn(follow(Arc::clone(&core), endpoint.clone()));
                (endpoint.clone(), follower)
            });
        }
        let next = Deadline::after_ms(core.clock.now(), RECONCILE_PERIOD_MS);
        sleep_until(&*core.clock, next).await;
    }
}

async fn read_all(core: &Core) {
    let active = core.configuration.active();
    let reads = active.document().endpoints.iter().map(|endpoint| async move {
        let client = core.endpoints.client(endpoint);
        if let Err(error) = poll(core, endpoint, &*client).await {
            log::warn!(endpoint = endpoint.id.as_str(); "an endpoint cannot be read: {error}");
        }
    });
    join_all(reads).await;
}

async fn follow(core: Arc<Core>, endpoint: Endpoint) {
    let client = core.endpoints.client(&endpoint);
    loop {
        let next = Deadline::after_ms(core.clock.now(), POLL_PERIOD_MS);
        if let Err(error) = poll(&core, &endpoint, &*client).await {
            log::debug!(endpoint = endpoint.id.as_str(); "an endpoint cannot be read: {error}");
        }
        sleep_until(&*core.clock, next).await;
    }
}

async fn poll(
    core: &Core,
    endpoint: &Endpoint,
    client: &dyn ModelEndpoint,
) -> Result<(), EndpointError> {
    let deadline = Deadline::after_ms(core.clock.now(), POLL_TIMEOUT_MS);
    let asked = core.clock.now();
    let report = client.load_report(deadline).await?;
    core.endpoints.reported(endpoint, report.clone(), asked);
    let sustainable = core.endpoints.cold_process(endpoint).map(|(_, requests)| requests);
    core.permits.reported(&endpoint.id, &report, sustainable, asked);
    let after_sequence = core.prefix_caches.events_after(&endpoint.id);
    let batch = client.cache_events(after_sequence, deadline).await?;
    if core.prefix_caches.apply_events(&endpoint.id, &batch) {
        let listing = client.block_listing(deadline).await?;
        core.prefix_caches.apply_listing(&endpoint.id, &listing);
    }
    Ok(())
}
