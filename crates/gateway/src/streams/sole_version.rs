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
    // When the last check was sent that has found no changes. One check serves all requests that wait for it.
    confirmed_at: Mutex<Option<Instant>>,
}

/// Sets up the checks.
pub(crate) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>, prefix: &Key) {
    let key_value = platform.key_value(CallRank::Watch).with_purpose(CallPurpose::Endpoints);
    let prefix = prefix.clone();
    let check = EndpointCheck { key_value, prefix, confirmed_at: Mutex::new(None) };
    // A second call would be an error of the start, and change nothing.
    let _ = shared.streams.endpoint_check.set(check);
}

impl EndpointCheck {
    /// Returns when the service confirmed that no changes of the endpoints are missing, after `since` if it
    /// answers in time.
    async fn confirm(&self, shared: &Shared, since: Instant) -> Option<Instant> {
        let mut confirmed_at = self.confirmed_at.lock().await;
        let limit = Deadline::after_ms(shared.now(), CHECK_TIMEOUT_MS);
        while confirmed_at.is_none_or(|at| at < since) {
            let (epoch, after) = shared.relay.position(&keys_topic(self.prefix.as_str()))?;
            let known = KeyValueRevision::new(after).in_era(StoreEra::new(epoch));
            let range = KeyRange::Prefix(self.prefix.clone());
            let request = WatchRequest { range, from: known.next() };
            let sent_at = shared.now();
            let wait = Deadline::after_ms(sent_at, WAIT_MS);
            let watching = self.key_value.watch(&request, wait);
            match with_deadline(&*shared.clock, limit, watching).await.ok()?.ok()? {
                WatchOutcome::NoChanges { .. } => *confirmed_at = Some(sent_at),
                WatchOutcome::Changes(_) if !limit.has_passed(shared.now()) => {
                    let pause = Deadline::after_ms(shared.now(), APPLY_PAUSE_MS);
                    sleep_until(&*shared.clock, pause).await;
                }
                _ => return *confirmed_at,
            }
        }
        *confirmed_at
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
