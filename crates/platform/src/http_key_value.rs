//! An implementation of [`KeyValue`] over the JSON gateway of the etcd v3 protocol.

use std::sync::Arc;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use futures::{AsyncBufRead, AsyncBufReadExt};
use yuccapass_http::with_deadline;
use yuccapass_types::{Clock, Deadline};

use crate::error::{Effect, PlatformError, PlatformErrorKind};
use crate::ids::{Key, KeyValueRevision, LeaseId, LeaseTtl, PageCursor, Value};
use crate::key_value::{
    Change, ChangeKind, Compare, Entry, GetResponse, KeyRange, KeyValue, LeaseGrant, Page,
    RangeRequest, Transaction, TransactionOutcome, WatchOutcome, WatchRequest, Write,
};
use crate::transport::{PlatformTransportConfig, Transport};
use crate::wire::{self, Base64Bytes};

/// Largest accepted line of a watch response: several values of 1 MB in base64.
const MAX_LINE_BYTES: usize = 8 << 20;

/// The key-value service behind one or more HTTP addresses.
pub struct HttpKeyValue {
    transport: Transport,
}

impl HttpKeyValue {
    /// Creates a client without opening a connection. Without an address every call fails.
    pub fn new(config: &PlatformTransportConfig, clock: Arc<dyn Clock>) -> Self {
        Self { transport: Transport::new(config, clock) }
    }
}

#[async_trait]
impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &Key, deadline: Deadline) -> Result<GetResponse, PlatformError> {
        let body = wire::RangeBody { key: bytes_of(key), ..Default::default() };
        let answer: wire::RangeAnswer =
            self.transport.post(Effect::Read, "/v3/kv/range", &body, deadline).await?;
        let entry = answer.kvs.into_iter().next().map(entry_of).transpose()?;
        Ok(GetResponse { revision: KeyValueRevision::new(answer.header.revision), entry })
    }

    async fn range(
        &self,
        request: &RangeRequest,
        deadline: Deadline,
    ) -> Result<Page, PlatformError> {
        let (mut key, range_end) = bounds(&request.range);
        if let Some(start) = &request.start {
            key = key_at(start)?;
        }
        let first = key.0.clone();
        let revision = request.revision.unwrap_or_default().get();
        // One more than requested: its key is the start of the next page.
        let limit = u64::from(request.limit) + 1;
        let body = wire::RangeBody { key, range_end, limit, revision };
        let answer: wire::RangeAnswer =
            self.transport.post(Effect::Read, "/v3/kv/range", &body, deadline).await?;
        let mut kvs = answer.kvs;
        let next = kvs.get(request.limit as usize);
        if next.is_some_and(|kv| kv.key.0 <= first) {
            return Err(protocol_error("a page does not lead on to the next one"));
        }
        let next = next.map(|kv| PageCursor::new(BASE64.encode(&kv.key.0)));
        kvs.truncate(request.limit as usize);
        let entries = readable(kvs, entry_of);
        Ok(Page { revision: KeyValueRevision::new(answer.header.revision), entries, next })
    }

    async fn compare_and_swap(
        &self,
        transaction: &Transaction,
        deadline: Deadline,
    ) -> Result<TransactionOutcome, PlatformError> {
        let body = txn_body(transaction);
        let answer: wire::TxnAnswer =
            self.transport.post(Effect::Write, "/v3/kv/txn", &body, deadline).await?;
        let revision = KeyValueRevision::new(answer.header.revision);
        if answer.succeeded {
            return Ok(TransactionOutcome::Committed { revision });
        }
        let ranges = answer.responses.into_iter().filter_map(|response| response.response_range);
        let kvs = ranges.flat_map(|range| range.kvs);
        let entries = readable(kvs, entry_of);
        Ok(TransactionOutcome::Conflict { revision, entries })
    }

    async fn lease_grant(
        &self,
        ttl: LeaseTtl,
        deadline: Deadline,
    ) -> Result<LeaseGrant, PlatformError> {
        let body = wire::LeaseMessage { ttl: ttl.get(), ..Default::default() };
        let answer: wire::LeaseMessage =
            self.transport.post(Effect::Write, "/v3/lease/grant", &body, deadline).await?;
        grant_of(&answer)
    }

    async fn lease_keep_alive(
        &self,
        lease: LeaseId,
        deadline: Deadline,
    ) -> Result<LeaseGrant, PlatformError> {
        let body = wire::LeaseMessage { id: lease.get(), ..Default::default() };
        let answer: wire::KeepAliveAnswer =
            self.transport.post(Effect::Write, "/v3/lease/keepalive", &body, deadline).await?;
        grant_of(&answer.result)
    }

    async fn lease_revoke(&self, lease: LeaseId, deadline: Deadline) -> Result<(), PlatformError> {
        let body = wire::LeaseMessage { id: lease.get(), ..Default::default() };
        let _: wire::LeaseMessage =
            self.transport.post(Effect::Write, "/v3/lease/revoke", &body, deadline).await?;
        Ok(())
    }

    async fn watch(
        &self,
        request: &WatchRequest,
        deadline: Deadline,
    ) -> Result<WatchOutcome, PlatformError> {
        let (key, range_end) = bounds(&request.range);
        let start_revision = request.from.get();
        let create_request = wire::WatchCreate { key, range_end, start_revision };
        let body = wire::WatchBody { create_request };
        let mut exchange = self.transport.open("/v3/watch", &body, deadline).await?;
        let mut lines = exchange.response_mut().take_body();
        let reading = first_outcome(&mut lines, request.from);
        with_deadline(self.transport.clock(), deadline, reading)
            .await
            .unwrap_or(Ok(WatchOutcome::NoChanges { revision: None }))
    }
}

/// Reads lines until one determines the outcome of the watch.
async fn first_outcome<R: AsyncBufRead + Unpin>(
    source: &mut R,
    from: KeyValueRevision,
) -> Result<WatchOutcome, PlatformError> {
    let mut line = Vec::new();
    loop {
        read_line(source, &mut line).await?;
        if let Some(outcome) = decode_watch_line(&line, from)? {
            return Ok(outcome);
        }
    }
}

async fn read_line<R: AsyncBufRead + Unpin>(
    source: &mut R,
    line: &mut Vec<u8>,
) -> Result<(), PlatformError> {
    let broken = |detail: String| PlatformError::new(PlatformErrorKind::Unavailable, detail);
    line.clear();
    loop {
        let available = source.fill_buf().await.map_err(|error| broken(error.to_string()))?;
        if available.is_empty() {
            return Err(broken("the platform ended the watch".to_owned()));
        }
        let end = available.iter().position(|&byte| byte == b'\n');
        let content_bytes = end.unwrap_or(available.len());
        line.extend_from_slice(&available[..content_bytes]);
        source.consume_unpin(content_bytes + usize::from(end.is_some()));
        if line.len() > MAX_LINE_BYTES {
            return Err(protocol_error("a line of a watch is longer than 8 MiB"));
        }
        if end.is_some() {
            return Ok(());
        }
    }
}

/// Decodes a line of a watch that started at `from`; returns `None` if the line has no outcome. Changes of
/// keys that are not valid here are left out.
///
/// # Errors
///
/// Fails if the line cannot be decoded or the platform cancelled the watch.
pub fn decode_watch_line(
    line: &[u8],
    from: KeyValueRevision,
) -> Result<Option<WatchOutcome>, PlatformError> {
    let line: wire::WatchLine =
        serde_json::from_slice(line).map_err(|error| protocol_error(&error.to_string()))?;
    let result = line.result;
    if result.compact_revision > 0 {
        return Ok(Some(WatchOutcome::Compacted));
    }
    if result.canceled {
        let detail = "the platform cancelled the watch";
        return Err(PlatformError::new(PlatformErrorKind::Unavailable, detail));
    }
    let revision = KeyValueRevision::new(result.header.revision);
    if result.created && revision.next() < from {
        return Ok(Some(WatchOutcome::Restored { revision }));
    }
    let changes = readable(result.events, change_of);
    Ok((!changes.is_empty()).then_some(WatchOutcome::Changes(changes)))
}

/// Decodes items one by one, and skips those that cannot be decoded: other writers may use keys that are not
/// valid here.
fn readable<W, T>(
    items: impl IntoIterator<Item = W>,
    decode: impl Fn(W) -> Result<T, PlatformError>,
) -> Vec<T> {
    let skip = |error: &PlatformError| {
        log::warn!(error:%; "an item of the platform could not be decoded");
    };
    items.into_iter().filter_map(|item| decode(item).inspect_err(skip).ok()).collect()
}

fn change_of(event: wire::EventBody) -> Result<Change, PlatformError> {
    let revision = KeyValueRevision::new(event.kv.mod_revision);
    let kind = match event.kind.as_str() {
        "DELETE" => ChangeKind::Deleted(key_of(&event.kv.key)?),
        _ => ChangeKind::Put(entry_of(event.kv)?),
    };
    Ok(Change { revision, kind })
}

fn txn_body(transaction: &Transaction) -> wire::TxnBody {
    let keys = transaction.compares.iter().map(|compare| match compare {
        Compare::Absent(key) | Compare::ModRevision(key, _) => key,
    });
    let read_back = keys.map(|key| wire::OperationBody {
        request_range: Some(wire::RangeBody { key: bytes_of(key), ..Default::default() }),
        ..Default::default()
    });
    wire::TxnBody {
        compare: transaction.compares.iter().map(compare_body).collect(),
        success: transaction.writes.iter().map(write_body).collect(),
        failure: read_back.collect(),
    }
}

fn compare_body(compare: &Compare) -> wire::CompareBody {
    let (key, mod_revision) = match compare {
        Compare::Absent(key) => (key, 0),
        Compare::ModRevision(key, revision) => (key, revision.get()),
    };
    let (target, result) = ("MOD".to_owned(), "EQUAL".to_owned());
    wire::CompareBody { key: bytes_of(key), target, result, mod_revision }
}

fn write_body(write: &Write) -> wire::OperationBody {
    match write {
        Write::Put { key, value, lease } => {
            let value = Base64Bytes(value.as_bytes().to_vec());
            let lease = lease.unwrap_or_default().get();
            let put = wire::PutBody { key: bytes_of(key), value, lease };
            wire::OperationBody { request_put: Some(put), ..Default::default() }
        }
        Write::Delete(key) => {
            let delete = wire::DeleteBody { key: bytes_of(key) };
            wire::OperationBody { request_delete_range: Some(delete), ..Default::default() }
        }
    }
}

fn bounds(range: &KeyRange) -> (Base64Bytes, Base64Bytes) {
    match range {
        KeyRange::Exact(key) => (bytes_of(key), Base64Bytes::default()),
        KeyRange::Prefix(prefix) => {
            (bytes_of(prefix), Base64Bytes(wire::prefix_end(prefix.as_str().as_bytes())))
        }
    }
}

/// Returns the first key of a page. It may be any bytes, so the cursor has it as base64.
fn key_at(start: &PageCursor) -> Result<Base64Bytes, PlatformError> {
    let bytes =
        BASE64.decode(start.as_str()).map_err(|error| protocol_error(&error.to_string()))?;
    Ok(Base64Bytes(bytes))
}

fn bytes_of(key: &Key) -> Base64Bytes {
    Base64Bytes(key.as_str().as_bytes().to_vec())
}

fn key_of(bytes: &Base64Bytes) -> Result<Key, PlatformError> {
    let text = std::str::from_utf8(&bytes.0).map_err(|error| protocol_error(&error.to_string()))?;
    text.parse().map_err(|error: crate::ids::InvalidId| protocol_error(&error.to_string()))
}

fn entry_of(kv: wire::Kv) -> Result<Entry, PlatformError> {
    Ok(Entry {
        key: key_of(&kv.key)?,
        value: Value::new(kv.value.0).map_err(|error| protocol_error(&error.to_string()))?,
        mod_revision: KeyValueRevision::new(kv.mod_revision),
        lease: (kv.lease != 0).then(|| LeaseId::new(kv.lease)),
    })
}

fn grant_of(answer: &wire::LeaseMessage) -> Result<LeaseGrant, PlatformError> {
    if answer.ttl == 0 {
        let detail = format!("lease {} has expired", answer.id);
        return Err(PlatformError::new(PlatformErrorKind::LeaseNotFound, detail));
    }
    Ok(LeaseGrant { id: LeaseId::new(answer.id), ttl: LeaseTtl::new(answer.ttl) })
}

fn protocol_error(detail: &str) -> PlatformError {
    PlatformError::new(PlatformErrorKind::Protocol, detail)
}
