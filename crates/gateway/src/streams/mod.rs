//! Which version of a service's software began a stream, so that only that version goes on with it.
//!
//! A stream may be taken up by its caller at any node. Each node records the streams that it begins, and where
//! several versions may serve, it gives the record to its [`keepers`], two in its zone and two in others, before the
//! first event goes out. These are among the nodes that read from origins.
//!
//! * [`other_zones`] has those of the other zones.
//! * [`saved`] makes the records outlast their keepers.
//! * [`published`] makes the versions that may have begun streams known to nodes that start.
//! * [`sole_version`] keeps a node that is out of step from going on by what it knew before.
//!
//! See `yuccapass_decisions::gateway::stream_origin`.

mod other_zones;
pub(crate) mod published;
pub(crate) mod saved;
pub(crate) mod sole_version;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_std::channel::bounded;
use async_std::task;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use yuccapass_decisions::gateway::{
    RouteKind, SoftwareHistory, StreamOrigin, StreamRecord, StreamRecords, asked_elsewhere,
    asked_in_zone, keepers,
};
use yuccapass_http::with_deadline;
use yuccapass_peers::{MAX_STREAM_RECORDS, PeerMessage, PeerTransport};
use yuccapass_types::{
    Deadline, NodeId, RequestId, ServiceId, Sharded, SoftwareVersion, SortedMap, ZoneId,
};

use self::other_zones::OtherZones;
use self::sole_version::EndpointCheck;
use crate::state::Shared;

/// Maximum number of records that wait to be saved. What is not saved stays known to its keepers only.
const MAX_UNSAVED: usize = 2_048;

/// How long the first event of a stream waits for a keeper. Without one the stream may stay unknown to others.
const KEEP_TIMEOUT_MS: u64 = 150;

/// How long a keeper may take to accept a record. Callers take a stream up later than that.
const KEEP_CALL_TIMEOUT_MS: u64 = 1_000;

/// How long the keepers of a stream are waited for when its caller takes it up.
const FIND_TIMEOUT_MS: u64 = 300;

/// Which nodes are asked for a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asked {
    /// Nodes of the zone of this node.
    Zone,
    /// Nodes of other zones too.
    AllZones,
}

/// The streams that this node has begun or keeps, and the versions that may have begun others.
#[derive(Default)]
pub(crate) struct StreamTable {
    records: Sharded<StreamRecords>,
    history: Mutex<SoftwareHistory>,
    other_zones: OtherZones,
    // What this node keeps and has not saved.
    unsaved: Mutex<Vec<StreamRecord>>,
    // Set once, if the node can call other nodes.
    transport: OnceLock<Arc<dyn PeerTransport>>,
    // Set once, when the node starts.
    endpoint_check: OnceLock<EndpointCheck>,
}

impl StreamTable {
    /// Sets the connections to other nodes.
    pub(crate) fn set_transport(&self, transport: Arc<dyn PeerTransport>) {
        // A second call would be an error of the start, and change nothing.
        let _ = self.transport.set(transport);
    }

    /// Replaces the nodes of other zones that accept connections of this one.
    pub(crate) fn replace_other_nodes(&self, nodes: Vec<(ZoneId, NodeId, SocketAddr)>) {
        self.other_zones.replace(nodes);
    }

    fn history(&self) -> MutexGuard<'_, SoftwareHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps streams that another node has begun.
    pub(crate) fn keep(&self, shared: &Shared, records: Vec<StreamRecord>) {
        for record in records {
            self.save_later(shared, record.clone());
            self.record_kept(shared, record);
        }
    }

    /// Records a stream that another node has begun, or an earlier process of this one.
    fn record_kept(&self, shared: &Shared, record: StreamRecord) {
        self.history().record_begun(&record.origin, shared.now());
        self.record(shared, record);
    }

    /// Notes that a record is to be saved, if this node may be a keeper.
    fn save_later(&self, shared: &Shared, record: StreamRecord) {
        if shared.relay.reads_from_origins(&shared.options.node) {
            let mut unsaved = self.unsaved.lock().unwrap_or_else(PoisonError::into_inner);
            if unsaved.len() < MAX_UNSAVED {
                unsaved.push(record);
            }
        }
    }

    /// Takes the records that are to be saved.
    fn take_unsaved(&self) -> Vec<StreamRecord> {
        std::mem::take(&mut *self.unsaved.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn record(&self, shared: &Shared, record: StreamRecord) {
        let now = shared.now();
        let id = record.id.clone();
        self.records.with(&id, |records| records.record(record, now));
    }

    /// Returns where a stream has begun, if this node has begun or keeps it.
    pub(crate) fn known_origin(&self, shared: &Shared, id: &RequestId) -> Option<StreamOrigin> {
        let now = shared.now();
        self.records.with(id, |records| records.origin(id, now).cloned())
    }

    /// Returns where a stream has begun, if this node or one of the nodes that are asked knows it.
    pub(crate) async fn find_origin(
        &self,
        shared: &Shared,
        id: &RequestId,
        asked: Asked,
    ) -> Option<StreamOrigin> {
        if let Some(origin) = self.known_origin(shared, id) {
            return Some(origin);
        }
        let transport = self.transport.get()?;
        let deadline = Deadline::after_ms(shared.now(), FIND_TIMEOUT_MS);
        let mut calls: FuturesUnordered<_> = self
            .asked(shared, id, asked)
            .into_iter()
            .map(|(_, address)| {
                transport.call(address, PeerMessage::FindStream(id.clone()), deadline)
            })
            .collect();
        while let Some(reply) = calls.next().await {
            if let Ok(PeerMessage::StreamFound(Some(origin))) = reply.map(|reply| reply.message) {
                return Some(origin);
            }
        }
        None
    }

    /// Records a stream before its first event goes out. Waits until a keeper has it, if another version may
    /// have begun streams of the service.
    pub(crate) async fn begin(&self, shared: &Shared, record: StreamRecord) {
        let StreamOrigin { service, software } = &record.origin;
        let is_sole = self.history().sole_version(service, shared.now()) == Some(software);
        self.record(shared, record.clone());
        if is_sole {
            return;
        }
        self.save_later(shared, record.clone());
        let Some(transport) = self.transport.get() else { return };
        let keepers = self.keepers(shared, &record.id);
        let (kept, is_kept) = bounded(keepers.len().max(1));
        for (_, address) in keepers {
            let (transport, kept) = (Arc::clone(transport), kept.clone());
            let deadline = Deadline::after_ms(shared.now(), KEEP_CALL_TIMEOUT_MS);
            let message = PeerMessage::KeepStreams(vec![record.clone()]);
            task::spawn(async move {
                match transport.call(address, message, deadline).await {
                    // The receiver is gone once the first keeper has answered.
                    Ok(_) => drop(kept.try_send(())),
                    Err(error) => log::debug!(error:%; "a keeper of a stream did not answer"),
                }
            });
        }
        drop(kept);
        let limit = Deadline::after_ms(shared.now(), KEEP_TIMEOUT_MS);
        let kept = with_deadline(&*shared.clock, limit, is_kept.recv()).await;
        // The channel closes without a message if all calls fail.
        if !matches!(kept, Ok(Ok(()))) {
            log::info!(request_id = record.id.as_str(); "no keeper has a stream that begins");
        }
    }

    /// Returns the nodes that keep a stream which begins at this one.
    fn keepers(&self, shared: &Shared, id: &RequestId) -> Vec<(NodeId, SocketAddr)> {
        let nodes = keepers(id, &zone_keepers(shared), &self.other_zones.zones());
        self.addressed(shared, nodes)
    }

    /// Returns the nodes that are asked for a stream.
    fn asked(&self, shared: &Shared, id: &RequestId, asked: Asked) -> Vec<(NodeId, SocketAddr)> {
        let mut nodes = asked_in_zone(id, &zone_keepers(shared));
        if asked == Asked::AllZones {
            nodes.extend(asked_elsewhere(id, &self.other_zones.zones()));
        }
        self.addressed(shared, nodes)
    }

    fn addressed(&self, shared: &Shared, nodes: Vec<NodeId>) -> Vec<(NodeId, SocketAddr)> {
        let address =
            |node: &NodeId| shared.relay.address(node).or_else(|| self.other_zones.address(node));
        let addressed = |node: NodeId| address(&node).map(|address| (node, address));
        nodes.into_iter().filter_map(addressed).collect()
    }

    /// Returns the version that has begun all streams of a service that are not known, or `None` if there may
    /// be several.
    pub(crate) fn sole_version(
        &self,
        shared: &Shared,
        service: &ServiceId,
    ) -> Option<Option<SoftwareVersion>> {
        self.observe(shared, service);
        self.history().sole_version(service, shared.now()).cloned()
    }

    /// Records the versions of a service that serve now.
    fn observe(&self, shared: &Shared, service: &ServiceId) {
        let directory = shared.directory();
        let of_service = directory.endpoints().filter(|(_, record)| record.service == *service);
        let serving = of_service.map(|(_, record)| record.software.clone());
        self.history().observe(service, serving, shared.now());
    }

    /// Gives the records of a service to their keepers. Those from before a second version appeared have
    /// not been given to any.
    async fn hand_over(&self, shared: &Shared, service: &ServiceId) {
        let Some(transport) = self.transport.get() else { return };
        let now = shared.now();
        let mut by_keeper: SortedMap<(NodeId, SocketAddr), Vec<StreamRecord>> = SortedMap::new();
        let records = self.records.fold(Vec::new(), |mut all, records| {
            all.extend(records.all(now).filter(|record| record.origin.service == *service));
            all
        });
        for record in records {
            for keeper in self.keepers(shared, &record.id) {
                by_keeper.get_or_insert_with(keeper, Vec::new).push(record.clone());
            }
        }
        let hand_over = |((_, address), records): (_, Vec<StreamRecord>)| async move {
            for part in records.chunks(MAX_STREAM_RECORDS) {
                let deadline = Deadline::after_ms(shared.now(), FIND_TIMEOUT_MS);
                let message = PeerMessage::KeepStreams(part.to_vec());
                if let Err(error) = transport.call(address, message, deadline).await {
                    log::debug!(error:%; "a keeper did not take the streams that run");
                }
            }
        };
        // At once, so that the keepers of a zone that is lost delay none of the others.
        join_all(by_keeper.into_entries().map(hand_over)).await;
    }
}

/// Returns the other nodes of the zone of this one that may keep streams.
fn zone_keepers(shared: &Shared) -> Vec<NodeId> {
    let mut nodes = shared.relay.origin_readers();
    nodes.retain(|node| *node != shared.options.node);
    nodes
}

/// Returns the services whose streams callers may take up. Sorted.
fn resumable_services(shared: &Shared) -> Vec<ServiceId> {
    let Some(configuration) = shared.configuration() else { return Vec::new() };
    let is_resumable = |kind| kind == RouteKind::Streaming { is_resumable: true };
    let routes = configuration.routes().filter(|route| is_resumable(route.kind));
    let mut services: Vec<ServiceId> =
        routes.flat_map(|route| &route.services).map(|part| part.service.clone()).collect();
    services.sort();
    services.dedup();
    services
}
