//! Confirms that one version of the software has begun all streams that are not known.
//!
//! A node that was cut off or stood still believes in the versions that it knew before. Before it goes on with a
//! stream that nobody knows, it asks the key-value service for changes of the endpoints since then. If the service does
//! not answer, other nodes of the zone have to agree.

use std::sync::Arc;

use async_std::sync::Mutex;
use async_std::task;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use yuccapass_decisions::gateway::TakeUpEvidence;
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_http::{sleep_until, with_deadline};
use yuccapass_peers::PeerMessage;
use yuccapass_platform::{
    Key, KeyRange, KeyValue, KeyValueClient, KeyValueRevision, PlatformClient, StoreEra,
    WatchOutcome, WatchRequest,
};
use yuccapass_types::{Deadline, Instant, RequestId, ServiceId, SoftwareVersion};

use super::{Asked, StreamTable};
use crate::relay::keys_topic;
use crate::state::Shared;

/// How long the key-value service is waited for, and after it the other nodes.
const CHECK_TIMEOUT_MS: u64 = 300;

/// How long a check waits for changes at the service.
const WAIT_MS: u64 = 1;

/// Pause in which the watch of the endpoints applies the changes that a check has found.
const APPLY_PAUSE_MS: u64 = 20;

/// Checks whether all endpoints are known that serve now.
pub(super) struct EndpointCheck {
    key_value: KeyValueClient,
    prefix: Key,
    // One check serves all requests that wait for it.
    last: Mutex<LastChecks>,
}

/// When the last checks were begun, by their results.
#[derive(Default)]
struct LastChecks {
    // No changes were missing.
    confirmed_at: Option<Instant>,
    // The service gave no answer, or there were changes until the end.
    failed_at: Option<Instant>,
}

/// Sets up the checks.
pub(crate) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>, prefix: &Key) {
    let key_value = platform.key_value(CallRank::Watch).with_purpose(CallPurpose::Endpoints);
    let check = EndpointCheck { key_value, prefix: prefix.clone(), last: Mutex::default() };
    // A second call would be an error of the start, and change nothing.
    let _ = shared.streams.endpoint_check.set(check);
}

impl EndpointCheck {
    /// Returns when the service confirmed that no changes of the endpoints are missing, if it did so after `since`.
    async fn confirm(&self, shared: &Shared, since: Instant) -> Option<Instant> {
        let mut last = self.last.lock().await;
        if let Some(at) = last.confirmed_at.filter(|at| *at >= since) {
            return Some(at);
        }
        if last.failed_at.is_some_and(|at| at >= since) {
            return None;
        }
        let begun_at = shared.now();
        let confirmed_at = self.check(shared).await;
        match confirmed_at {
            Some(at) => last.confirmed_at = Some(at),
            None => last.failed_at = Some(begun_at),
        }
        confirmed_at
    }

    /// Asks the service for changes until there are none; returns when it was asked last.
    async fn check(&self, shared: &Shared) -> Option<Instant> {
        let limit = Deadline::after_ms(shared.now(), CHECK_TIMEOUT_MS);
        loop {
            let (epoch, after) = shared.relay.position(&keys_topic(self.prefix.as_str()))?;
            let known = KeyValueRevision::new(after).in_era(StoreEra::new(epoch));
            let range = KeyRange::Prefix(self.prefix.clone());
            let request = WatchRequest { range, from: known.next() };
            let sent_at = shared.now();
            let wait = Deadline::after_ms(sent_at, WAIT_MS);
            let watching = self.key_value.watch(&request, wait);
            match with_deadline(&*shared.clock, limit, watching).await.ok()?.ok()? {
                WatchOutcome::NoChanges { .. } => return Some(sent_at),
                WatchOutcome::Changes(_) if !limit.has_passed(shared.now()) => {
                    let pause = Deadline::after_ms(shared.now(), APPLY_PAUSE_MS);
                    sleep_until(&*shared.clock, pause).await;
                }
                _ => return None,
            }
        }
    }
}

impl StreamTable {
    /// Returns the version that has begun all streams of a service that are not known, as of the arrival of a
    /// request at `arrived_at`; `None` if there may be several, or this node may be out of step.
    pub(crate) async fn confirmed_sole_version(
        &self,
        shared: &Shared,
        service: &ServiceId,
        id: &RequestId,
        arrived_at: Instant,
    ) -> Option<Option<SoftwareVersion>> {
        let check = self.endpoint_check.get()?;
        let mut evidence = TakeUpEvidence::new(arrived_at);
        if let Some(at) = check.confirm(shared, arrived_at).await {
            evidence.record_confirmation(at);
        }
        let sole = self.sole_version(shared, service)?;
        if !evidence.is_sufficient() {
            self.ask_nodes(shared, service, id, &sole, &mut evidence).await;
        }
        let is_sufficient = evidence.is_sufficient();
        if !is_sufficient {
            log::info!(
                resumed = id.as_str(), service = service.as_str();
                "a stream may have begun at a version that this node has not heard of"
            );
        }
        is_sufficient.then_some(sole)
    }

    /// Asks the nodes that would keep the stream for the version.
    async fn ask_nodes(
        &self,
        shared: &Shared,
        service: &ServiceId,
        id: &RequestId,
        sole: &Option<SoftwareVersion>,
        evidence: &mut TakeUpEvidence,
    ) {
        let Some(transport) = self.transport.get() else { return };
        let deadline = Deadline::after_ms(shared.now(), CHECK_TIMEOUT_MS);
        let mut calls: FuturesUnordered<_> = self
            .asked(shared, id, Asked::Zone)
            .into_iter()
            .map(|(_, address)| {
                let message = PeerMessage::RequestSoleVersion(service.clone());
                let transport = Arc::clone(transport);
                task::spawn(async move { transport.call(address, message, deadline).await })
            })
            .collect();
        while let Some(reply) = calls.next().await {
            if let Ok(PeerMessage::SoleVersion(of_node)) = reply.map(|reply| reply.message) {
                evidence.record_node(of_node.as_ref() == Some(sole));
            }
        }
    }
}
