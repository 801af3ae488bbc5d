//! Confirms that one version of the software has begun all streams that are not known.
//!
//! A node that was cut off or stood still believes in the versions that it knew before. Before it goes on with a
//! stream that nobody knows, it asks the key-value service for changes of the endpoints since then. If the service does
//! not answer, other nodes have to agree; see [`TakeUpEvidence`].

use std::sync::Arc;

use async_std::sync::Mutex;
use async_std::task;
use futures::StreamExt;
use futures::future::join;
use futures::stream::FuturesUnordered;
use yuccapass_decisions::gateway::{
    StreamOrigin, TakeUpEvidence, VersionStatement, ZoneNodes, asked_in_each,
};
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_http::{sleep_until, with_deadline};
use yuccapass_peers::PeerMessage;
use yuccapass_platform::{
    Key, KeyRange, KeyValue, KeyValueClient, KeyValueRevision, PlatformClient, StoreEra,
    WatchOutcome, WatchRequest,
};
use yuccapass_types::{Deadline, Instant, RequestId, ServiceId, SoftwareVersion, ZoneId};

use super::{Asked, StreamTable, zone_keepers};
use crate::relay::keys_topic;
use crate::state::Shared;

/// How long the key-value service is waited for.
const CHECK_TIMEOUT_MS: u64 = 300;

/// How long other nodes are waited for, each of which may wait for the service.
const STATEMENT_TIMEOUT_MS: u64 = CHECK_TIMEOUT_MS + 200;

/// How long a check waits for changes at the service.
const WAIT_MS: u64 = 1;

/// Pause in which the watch of the endpoints applies the changes that a check has found.
const APPLY_PAUSE_MS: u64 = 20;

/// How long after a check that has failed no other one is made. Other nodes are asked meanwhile.
const FAILED_PAUSE_MS: u64 = 300;

/// Checks whether all endpoints are known that serve now.
pub(super) struct EndpointCheck {
    key_value: KeyValueClient,
    prefix: Key,
    // One check serves all requests that wait for it.
    last: Mutex<LastChecks>,
}

#[derive(Default)]
struct LastChecks {
    // When the last one was begun that has found no changes.
    confirmed_at: Option<Instant>,
    // Until when the service counts as silent, after a check that has failed.
    fails_until: Option<Deadline>,
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
        if last.fails_until.is_some_and(|until| !until.has_passed(shared.now())) {
            return None;
        }
        let confirmed_at = self.check(shared).await;
        match confirmed_at {
            Some(at) => last.confirmed_at = Some(at),
            None => last.fails_until = Some(Deadline::after_ms(shared.now(), FAILED_PAUSE_MS)),
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
                WatchOutcome::Changes(_) | WatchOutcome::PartialChanges { .. }
                    if !limit.has_passed(shared.now()) =>
                {
                    let pause = Deadline::after_ms(shared.now(), APPLY_PAUSE_MS);
                    sleep_until(&*shared.clock, pause).await;
                }
                _ => return None,
            }
        }
    }
}

impl StreamTable {
    /// Returns where a stream has begun that the nodes of this zone do not know, as of the arrival of a request at
    /// `arrived_at`: at the only version of its service. Returns `None` if several may have begun it, or this node
    /// may be out of step.
    pub(crate) async fn unrecorded_origin(
        &self,
        shared: &Shared,
        service: &ServiceId,
        id: &RequestId,
        arrived_at: Instant,
    ) -> Option<StreamOrigin> {
        let check = self.endpoint_check.get()?;
        self.sole_version(shared, service)?;
        let mut evidence = TakeUpEvidence::new(arrived_at, self.zones_with_others(shared));
        if let Some(at) = check.confirm(shared, arrived_at).await {
            evidence.record_confirmation(at);
        }
        // The check may have found another version.
        let sole = self.sole_version(shared, service)?;
        if !evidence.is_sufficient() {
            let finding = self.find_origin(shared, id, Asked::AllZones);
            let asking = self.ask_nodes(shared, service, id, &sole, &mut evidence);
            if let (Some(origin), ()) = join(finding, asking).await {
                return Some(origin);
            }
        }
        if !evidence.is_sufficient() {
            log::info!(
                resumed = id.as_str(), service = service.as_str(), evidence:?;
                "a stream may have begun at a version that this node has not heard of"
            );
            return None;
        }
        Some(StreamOrigin { service: service.clone(), software: sole })
    }

    /// Returns what this node says to another one about the streams of a service that are not known.
    pub(crate) async fn statement(&self, shared: &Shared, service: &ServiceId) -> VersionStatement {
        let asked_at = shared.now();
        let confirmed_at = match self.endpoint_check.get() {
            // Several versions need no confirmation.
            Some(check) if self.sole_version(shared, service).is_some() => {
                check.confirm(shared, asked_at).await
            }
            _ => None,
        };
        let is_confirmed = confirmed_at.is_some_and(|at| at >= asked_at);
        self.observe(shared, service);
        let versions = self.history().known_versions(service, shared.now());
        VersionStatement { versions, is_confirmed }
    }

    /// Returns the nodes of all zones that may keep streams, without this one.
    fn all_keepers(&self, shared: &Shared) -> Vec<ZoneNodes> {
        let own = ZoneNodes { zone: shared.options.zone.clone(), nodes: zone_keepers(shared) };
        self.other_zones.zones().into_iter().chain([own]).collect()
    }

    fn zones_with_others(&self, shared: &Shared) -> Vec<ZoneId> {
        let with_others = self.all_keepers(shared).into_iter();
        with_others.filter(|known| !known.nodes.is_empty()).map(|known| known.zone).collect()
    }

    /// Asks nodes of all zones for the version.
    async fn ask_nodes(
        &self,
        shared: &Shared,
        service: &ServiceId,
        id: &RequestId,
        sole: &Option<SoftwareVersion>,
        evidence: &mut TakeUpEvidence,
    ) {
        let Some(transport) = self.transport.get() else { return };
        let deadline = Deadline::after_ms(shared.now(), STATEMENT_TIMEOUT_MS);
        let mut calls = FuturesUnordered::new();
        for ZoneNodes { zone, nodes } in asked_in_each(id, &self.all_keepers(shared)) {
            for (_, address) in self.addressed(shared, nodes) {
                let message = PeerMessage::RequestSoleVersion(service.clone());
                let (transport, zone) = (Arc::clone(transport), zone.clone());
                calls.push(task::spawn(async move {
                    (zone, transport.call(address, message, deadline).await)
                }));
            }
        }
        while let Some((zone, reply)) = calls.next().await {
            if let Ok(PeerMessage::SoleVersion(statement)) = reply.map(|reply| reply.message) {
                evidence.record_statement(&zone, &statement, sole);
            }
        }
    }
}
