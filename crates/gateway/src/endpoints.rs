//! Load, failures and connections of the endpoints, in shards by endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use yuccapass_decisions::gateway::{
    Directory, EndpointRecord, EndpointTracker, EndpointTrackerSettings,
};
use yuccapass_http::message::{Connection, ResponseHead};
use yuccapass_http::with_deadline;
use yuccapass_types::{Clock, Deadline, EndpointId, Sharded, SortedMap, Tokens};

/// Longest wait for a connection: a few round trips between regions. A full queue of new
/// connections drops the opening packet, which is sent again only after seconds.
const CONNECT_LIMIT_MS: u64 = 300;

/// Time for which an unused connection is kept whose endpoint does not say how long it keeps it.
const DEFAULT_IDLE_MS: u64 = 8_000;

/// Part of an endpoint's own idle time that is not used, so that a request does not meet the
/// endpoint's close.
const IDLE_MARGIN_MS: u64 = 400;

/// Most unused connections to one endpoint.
const MAX_IDLE: usize = 64;

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
}

impl EndpointTable {
    pub(crate) fn new(clock: Arc<dyn Clock>, silence_ms: u64) -> Self {
        Self { clock, silence_ms, shards: Sharded::default() }
    }

    /// Drops what is known of endpoints that are no longer in the directory, or run as another
    /// process.
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

    /// Runs `action` on the track of an endpoint.
    pub(crate) fn with_tracker<R>(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        action: impl FnOnce(&mut EndpointTracker) -> R,
    ) -> R {
        self.with(id, record, |endpoint| action(&mut endpoint.tracker))
    }

    /// Counts a request as sent to an endpoint until the guard is dropped.
    pub(crate) fn track_request(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        tokens: Tokens,
    ) -> OutstandingRequest<'_> {
        self.with_tracker(id, record, |tracker| tracker.record_sent(tokens));
        OutstandingRequest { table: self, id: id.clone(), tokens }
    }

    /// Returns an unused connection, or a new one.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not accept a connection in time.
    pub(crate) async fn connect(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        deadline: Deadline,
    ) -> std::io::Result<Connection> {
        if let Some(connection) = self.take_idle(id, record) {
            return Ok(connection);
        }
        let limit = Deadline::after_ms(self.clock.now(), CONNECT_LIMIT_MS).earlier(deadline);
        let connection = with_deadline(&*self.clock, limit, Connection::open(record.address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        if let Err(error) = connection.set_dead_peer_timeout(self.silence_ms) {
            log::warn!(endpoint:% = id, error:%; "silence of a connection cannot be detected");
        }
        Ok(connection)
    }

    /// Keeps a connection for another request.
    pub(crate) fn put_idle(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        connection: Connection,
        head: &ResponseHead,
    ) {
        let Some(idle_ms) = idle_ms(head) else { return };
        let expiry = Deadline::after_ms(self.clock.now(), idle_ms);
        self.with(id, record, |endpoint| {
            if endpoint.idle.len() < MAX_IDLE {
                endpoint.idle.push(IdleConnection { connection, expiry });
            }
        });
    }

    fn take_idle(&self, id: &EndpointId, record: &EndpointRecord) -> Option<Connection> {
        let now = self.clock.now();
        loop {
            // The last one put back is the least likely to be closed by the endpoint.
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
            tracker: EndpointTracker::new(EndpointTrackerSettings::default()),
            idle: Vec::new(),
        }
    }
}

/// Returns how long an endpoint keeps the connection after this answer, if it does.
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

/// A request that is at an endpoint.
pub(crate) struct OutstandingRequest<'a> {
    table: &'a EndpointTable,
    id: EndpointId,
    tokens: Tokens,
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        self.table.shards.with(&self.id, |shard| {
            if let Some(endpoint) = shard.get_mut(&self.id) {
                endpoint.tracker.record_ended(self.tokens);
            }
        });
    }
}
