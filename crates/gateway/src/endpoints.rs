//! Load, failures and connections of the endpoints, sharded by endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use yuccapass_decisions::gateway::zone_room::{EndpointKey, EndpointUse};
use yuccapass_decisions::gateway::{
    Configuration, Directory, EndpointRecord, EndpointTracker, EndpointTrackerSettings, LoadReport,
    RequestWork, ServicePace, ZoneLoad,
};
use yuccapass_http::message::{Connection, ResponseHead};
use yuccapass_http::with_deadline;
use yuccapass_types::{
    Clock, Deadline, EndpointId, Instant, ServiceId, Sharded, Slowdown, SortedMap, Tokens,
};

/// Timeout for opening a connection: a few round trips between regions. If the endpoint's accept
/// queue is full, the SYN packet is dropped, and the retransmission would come only after seconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Idle timeout of a connection if the endpoint does not send one.
const DEFAULT_IDLE_MS: u64 = 8_000;

/// How long before the endpoint's idle timeout a connection is dropped, so that a request does not
/// race with the endpoint's close.
const IDLE_MARGIN_MS: u64 = 400;

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

struct IdleConnection {
    connection: Connection,
    expiry: Deadline,
}

struct EndpointEntry {
    address: SocketAddr,
    started_unix_ms: Option<u64>,
    tracker: EndpointTracker,
    idle: Vec<IdleConnection>,
}

/// Load, failures and connections of the endpoints.
pub(crate) struct EndpointTable {
    clock: Arc<dyn Clock>,
    silence_ms: u64,
    shards: Sharded<SortedMap<EndpointId, EndpointEntry>>,
    // Read before a lock of an endpoint is taken, never under one.
    paces: Sharded<SortedMap<ServiceId, ServicePace>>,
}

impl EndpointTable {
    pub(crate) fn new(clock: Arc<dyn Clock>, silence_ms: u64) -> Self {
        Self { clock, silence_ms, shards: Sharded::default(), paces: Sharded::default() }
    }

    /// Drops the state of endpoints that are no longer in the directory, or were restarted as
    /// another process.
    pub(crate) fn retain_listed(&self, directory: &Directory) {
        self.shards.fold((), |(), shard| {
            shard.retain(|id, endpoint| {
                directory.endpoint(id).is_some_and(|record| {
                    record.address == endpoint.address
                        && record.started_unix_ms == endpoint.started_unix_ms
                })
            });
        });
    }

    /// Runs `action` on the tracker of an endpoint.
    pub(crate) fn with_tracker<R>(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        action: impl FnOnce(&mut EndpointTracker) -> R,
    ) -> R {
        let pace = self.pace(&record.service);
        self.with(id, record, |endpoint| {
            endpoint.tracker.set_pace(pace);
            action(&mut endpoint.tracker)
        })
    }

    /// Returns what this node has learnt about a service.
    pub(crate) fn pace(&self, service: &ServiceId) -> ServicePace {
        self.with_pace(service, |pace| *pace)
    }

    /// Takes over the engines of the services.
    pub(crate) fn set_engines(&self, configuration: &Configuration) {
        for (id, service) in configuration.services() {
            self.with_pace(id, |pace| pace.set_engine(service.engine));
        }
    }

    /// Returns what this node has outstanding at each endpoint, and what it has sent there since the last
    /// call.
    pub(crate) fn take_uses(&self) -> Vec<(EndpointKey, EndpointUse)> {
        self.shards.fold(Vec::new(), |mut uses, shard| {
            let taken =
                shard.iter_mut().map(|(id, entry)| (EndpointKey::of(id), entry.tracker.take_use()));
            uses.extend(taken.filter(|(_, used)| !used.is_empty()));
            uses
        })
    }

    /// Records what the other nodes of the zone have outstanding at each endpoint.
    pub(crate) fn record_zone_loads(&self, zone_load: impl Fn(&EndpointId) -> ZoneLoad) {
        self.shards.fold((), |(), shard| {
            for (id, entry) in shard.iter_mut() {
                entry.tracker.record_zone_load(zone_load(id));
            }
        });
    }

    /// Counts a request that takes `memory` there as sent to an endpoint until the guard is dropped.
    pub(crate) fn track_request(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        work: RequestWork,
        memory: Tokens,
    ) -> OutstandingRequest<'_> {
        let sent_at = self.clock.now();
        self.with_tracker(id, record, |tracker| {
            tracker.record_sent(memory);
            tracker.record_work(&work, sent_at);
        });
        let (id, record) = (id.clone(), record.clone());
        OutstandingRequest { table: self, id, record, work, memory, sent_at }
    }

    fn with_pace<R>(&self, service: &ServiceId, action: impl FnOnce(&mut ServicePace) -> R) -> R {
        self.paces.with(service, |paces| {
            action(paces.get_or_insert_with(service.clone(), ServicePace::default))
        })
    }

    /// Returns an idle connection, or opens a new one, and whether it was used before.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not accept a connection in time.
    pub(crate) async fn connect(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        deadline: Deadline,
    ) -> std::io::Result<(Connection, bool)> {
        if let Some(connection) = self.take_idle(id, record) {
            return Ok((connection, true));
        }
        Ok((self.open(id, record, deadline).await?, false))
    }

    async fn open(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        deadline: Deadline,
    ) -> std::io::Result<Connection> {
        let limit = Deadline::after_ms(self.clock.now(), CONNECT_TIMEOUT_MS).earlier(deadline);
        let connection = with_deadline(&*self.clock, limit, Connection::open(record.address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        if let Err(error) = connection.set_dead_peer_timeout(self.silence_ms) {
            log::warn!(
                endpoint:% = id, error:%;
                "the dead-peer timeout of a connection could not be set"
            );
        }
        Ok(connection)
    }

    /// Checks whether an endpoint is reachable.
    ///
    /// The kernel notices a silent peer only after seconds, and only whole ones.
    pub(crate) async fn check(&self, id: &EndpointId, record: &EndpointRecord) {
        let is_reachable = match self.open_idle(id, record).await {
            Ok(()) => true,
            // The host has answered. If the process had ended, it would have closed the connection.
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        };
        if !is_reachable {
            log::info!(endpoint:% = id; "an endpoint does not answer and is not reachable");
        }
        let now = self.clock.now();
        self.with_tracker(id, record, |tracker| tracker.record_check(is_reachable, now));
    }

    /// Opens a connection, which is kept for a request.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not accept a connection in time.
    pub(crate) async fn open_idle(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
    ) -> std::io::Result<()> {
        let connection = self.open(id, record, Deadline::NEVER).await?;
        let expiry = Deadline::after_ms(self.clock.now(), DEFAULT_IDLE_MS);
        self.keep_idle(id, record, IdleConnection { connection, expiry });
        Ok(())
    }

    /// Returns whether there is an open connection for a request.
    pub(crate) fn has_idle(&self, id: &EndpointId, record: &EndpointRecord) -> bool {
        let now = self.clock.now();
        self.with(id, record, |endpoint| {
            endpoint.idle.iter().any(|idle| !idle.expiry.has_passed(now))
        })
    }

    /// Keeps an idle connection for another request, if the endpoint keeps it open after this
    /// answer.
    pub(crate) fn put_idle(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        connection: Connection,
        head: &ResponseHead,
    ) {
        let Some(idle_ms) = idle_ms(head) else { return };
        let expiry = Deadline::after_ms(self.clock.now(), idle_ms);
        self.keep_idle(id, record, IdleConnection { connection, expiry });
    }

    fn keep_idle(&self, id: &EndpointId, record: &EndpointRecord, idle: IdleConnection) {
        self.with(id, record, |endpoint| {
            if endpoint.idle.len() < MAX_IDLE_CONNECTIONS {
                endpoint.idle.push(idle);
            }
        });
    }

    fn take_idle(&self, id: &EndpointId, record: &EndpointRecord) -> Option<Connection> {
        let now = self.clock.now();
        loop {
            // The endpoint is least likely to have closed the most recently used connection.
            let idle = self.with(id, record, |endpoint| endpoint.idle.pop())?;
            if !idle.expiry.has_passed(now) && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
    }

    fn with<R>(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        action: impl FnOnce(&mut EndpointEntry) -> R,
    ) -> R {
        self.shards.with(id, |shard| {
            let endpoint = shard.get_or_insert_with(id.clone(), || self.new_endpoint(record));
            let is_same = endpoint.address == record.address
                && endpoint.started_unix_ms == record.started_unix_ms;
            if !is_same {
                *endpoint = self.new_endpoint(record);
            }
            action(endpoint)
        })
    }

    fn new_endpoint(&self, record: &EndpointRecord) -> EndpointEntry {
        EndpointEntry {
            address: record.address,
            started_unix_ms: record.started_unix_ms,
            tracker: EndpointTracker::new(EndpointTrackerSettings::default())
                .with_slots(record.slots),
            idle: Vec::new(),
        }
    }
}

/// Returns for how long a connection can be reused after this answer, or `None` if the endpoint
/// closes it.
fn idle_ms(head: &ResponseHead) -> Option<u64> {
    if !head.keeps_connection() {
        return None;
    }
    let Some(text) = head.headers.get_str("keep-alive") else { return Some(DEFAULT_IDLE_MS) };
    let timeout_s = text
        .split(',')
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse::<u64>().ok());
    match timeout_s {
        None => Some(DEFAULT_IDLE_MS),
        Some(seconds) => seconds.saturating_mul(1_000).checked_sub(IDLE_MARGIN_MS),
    }
}

/// Counts a request as sent to an endpoint until it is dropped.
pub(crate) struct OutstandingRequest<'a> {
    table: &'a EndpointTable,
    id: EndpointId,
    record: EndpointRecord,
    work: RequestWork,
    memory: Tokens,
    sent_at: Instant,
}

impl OutstandingRequest<'_> {
    /// Records the beginning of the answer, with the endpoint's load, for the estimates of the endpoint
    /// and of its service. `is_run` tells whether the endpoint runs the request.
    pub(crate) fn record_begun(&self, load: Option<LoadReport>, is_run: bool) {
        let Self { table, id, record, work, sent_at, .. } = self;
        let now = table.clock.now();
        let (was_slow, mean, expected) = table.with_tracker(id, record, |tracker| {
            let expected = Slowdown::from_factor(tracker.factor(now));
            (tracker.is_slow(), tracker.mean_slowdown(), expected)
        });
        let is_queued = load.is_some_and(|load| load.waiting > 0);
        table.with_pace(&record.service, |pace| {
            if let Some(slowdown) = load.and_then(|load| load.slowdown) {
                pace.record_report(slowdown, mean, now);
            }
            if is_run && !is_queued {
                pace.record_begun(work, now.ms_since(*sent_at), expected, now);
            }
        });
        let is_slow = table.with_tracker(id, record, |tracker| {
            tracker.record_answer_begun(now);
            if is_run {
                tracker.record_begun(work, *sent_at, now);
            }
            if let Some(load) = load {
                tracker.record_load(load, now);
            }
            tracker.is_slow()
        });
        if is_slow != was_slow {
            log::info!(
                endpoint:% = id, service:% = record.service, is_slow,
                slowdown:? = load.and_then(|load| load.slowdown);
                "an endpoint has become far slower than its service, or has recovered"
            );
        }
    }

    /// Records that the whole answer has come.
    pub(crate) fn record_run(&self) {
        let Self { table, id, record, sent_at, .. } = self;
        let now = table.clock.now();
        let factor = table.with_tracker(id, record, |tracker| tracker.factor(now));
        table.with_pace(&record.service, |pace| {
            pace.record_run(now.ms_since(*sent_at), Slowdown::from_factor(factor), now);
        });
    }
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        self.table.shards.with(&self.id, |shard| {
            if let Some(endpoint) = shard.get_mut(&self.id) {
                endpoint.tracker.record_ended(self.memory);
                endpoint.tracker.record_not_pending(self.sent_at);
            }
        });
    }
}
