//! Keys, their history and leases.

use yuccapass_platform::wire::{
    Base64Bytes, CompareBody, EventBody, Kv, OperationAnswer, OperationBody, RangeAnswer,
    RangeBody, TxnAnswer, TxnBody,
};
use yuccapass_types::{Deadline, Instant, SortedMap};

/// Why the key-value store refuses a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyValueStoreError {
    /// The revision was compacted.
    Compacted,
    /// The revision is in the future.
    FutureRevision,
    /// The lease does not exist.
    LeaseNotFound,
    /// The request is invalid.
    Invalid,
}

/// A change of one key.
#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    key: Vec<u8>,
    /// The new value and its lease, or zero for none; `None` for a deletion.
    value: Option<(Vec<u8>, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_s: u64,
    created_revision: u64,
    expiry: Deadline,
}

/// The state of the key-value service, with its whole history.
#[derive(Debug, Clone, Default)]
pub struct KeyValueStore {
    revision: u64,
    compacted_revision: u64,
    history: Vec<Event>,
    entries: SortedMap<Vec<u8>, Kv>,
    leases: SortedMap<u64, Lease>,
    last_lease: u64,
}

impl KeyValueStore {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the oldest revision that can be read.
    pub fn compacted_revision(&self) -> u64 {
        self.compacted_revision
    }

    /// Reads a key or a range.
    ///
    /// # Errors
    ///
    /// Fails if the revision was compacted or is in the future.
    pub fn range(&self, body: &RangeBody) -> Result<RangeAnswer, KeyValueStoreError> {
        if body.revision > self.revision {
            return Err(KeyValueStoreError::FutureRevision);
        }
        if body.revision > 0 && body.revision < self.compacted_revision {
            return Err(KeyValueStoreError::Compacted);
        }
        let past;
        let entries = match body.revision {
            0 => &self.entries,
            revision => {
                past = entries_at(&self.history, revision);
                &past
            }
        };
        let limit = if body.limit == 0 { usize::MAX } else { body.limit as usize };
        let in_range = |key: &[u8]| is_in_range(key, &body.key.0, &body.range_end.0);
        let mut kvs = entries.iter().filter(|(key, _)| in_range(key)).map(|(_, kv)| kv.clone());
        let page: Vec<Kv> = kvs.by_ref().take(limit).collect();
        Ok(RangeAnswer { kvs: page, more: kvs.next().is_some(), ..Default::default() })
    }

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// Fails if an operation is invalid or its lease does not exist; then nothing has changed.
    pub fn transact(&mut self, body: &TxnBody) -> Result<TxnAnswer, KeyValueStoreError> {
        let succeeded = body.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded { &body.success } else { &body.failure };
        operations.iter().try_for_each(|operation| self.check(operation))?;
        let next_revision = self.revision + 1;
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.apply(operation, next_revision)?);
        }
        if self.history.last().is_some_and(|event| event.revision == next_revision) {
            self.revision = next_revision;
        }
        Ok(TxnAnswer { succeeded, responses, ..Default::default() })
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl_s: u64, now: Instant) -> u64 {
        self.last_lease += 1;
        let expiry = Deadline::after_ms(now, ttl_s.saturating_mul(1_000));
        let lease = Lease { ttl_s, created_revision: self.revision, expiry };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease and returns its time to live in seconds, or zero if it does not exist.
    pub fn keep_alive(&mut self, id: u64, now: Instant) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.expiry = Deadline::after_ms(now, lease.ttl_s.saturating_mul(1_000));
        lease.ttl_s
    }

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails if the lease does not exist.
    pub fn revoke(&mut self, id: u64) -> Result<(), KeyValueStoreError> {
        self.leases.remove(&id).ok_or(KeyValueStoreError::LeaseNotFound)?;
        let leased = self.entries.iter().filter(|(_, kv)| kv.lease == id);
        let keys: Vec<Vec<u8>> = leased.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return Ok(());
        }
        self.revision += 1;
        keys.into_iter().for_each(|key| self.set(key, None, self.revision));
        Ok(())
    }

    /// Revokes the leases that have expired; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expiry.has_passed(now));
        let ids: Vec<u64> = expired.map(|(id, _)| *id).collect();
        ids.iter().for_each(|&id| {
            // Cannot fail, since the lease exists.
            let _ = self.revoke(id);
        });
        !ids.is_empty()
    }

    /// Returns the changes of a range, starting with those of revision `from`.
    ///
    /// # Errors
    ///
    /// Fails if the revision was compacted.
    pub fn changes(
        &self,
        key: &[u8],
        range_end: &[u8],
        from: u64,
    ) -> Result<Vec<EventBody>, KeyValueStoreError> {
        if from < self.compacted_revision {
            return Err(KeyValueStoreError::Compacted);
        }
        let recent = self.history.iter().filter(|event| event.revision >= from);
        let in_range = recent.filter(|event| is_in_range(&event.key, key, range_end));
        Ok(in_range.map(event_body).collect())
    }

    /// Makes the revisions before the current one unreadable.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
    }

    /// Restores the state of an older revision, as a restoration from a backup does.
    pub fn restore(&mut self, revision: u64) {
        self.history.retain(|event| event.revision <= revision);
        self.entries = entries_at(&self.history, revision);
        self.revision = self.revision.min(revision);
        self.compacted_revision = self.compacted_revision.min(revision);
        self.leases.retain(|_, lease| lease.created_revision <= revision);
    }

    /// Returns whether a condition of a transaction holds.
    fn holds(&self, compare: &CompareBody) -> bool {
        let mod_revision = self.entries.get(&compare.key.0).map_or(0, |kv| kv.mod_revision);
        mod_revision == compare.mod_revision
    }

    /// Checks that an operation can be applied.
    fn check(&self, operation: &OperationBody) -> Result<(), KeyValueStoreError> {
        match operation {
            OperationBody { request_put: Some(put), .. } => {
                match put.lease == 0 || self.leases.contains_key(&put.lease) {
                    true => Ok(()),
                    false => Err(KeyValueStoreError::LeaseNotFound),
                }
            }
            OperationBody { request_delete_range: None, request_range: None, .. } => {
                Err(KeyValueStoreError::Invalid)
            }
            _ => Ok(()),
        }
    }

    fn apply(
        &mut self,
        operation: &OperationBody,
        next_revision: u64,
    ) -> Result<OperationAnswer, KeyValueStoreError> {
        if let Some(put) = &operation.request_put {
            let value = Some((put.value.0.clone(), put.lease));
            self.set(put.key.0.clone(), value, next_revision);
        }
        if let Some(delete) = &operation.request_delete_range
            && self.entries.contains_key(&delete.key.0)
        {
            self.set(delete.key.0.clone(), None, next_revision);
        }
        let range = operation.request_range.as_ref().map(|range| self.range(range)).transpose()?;
        Ok(OperationAnswer { response_range: range })
    }

    fn set(&mut self, key: Vec<u8>, value: Option<(Vec<u8>, u64)>, revision: u64) {
        let event = Event { revision, key, value };
        apply_event(&mut self.entries, &event);
        self.history.push(event);
    }
}

/// Replays the history up to a revision.
fn entries_at(history: &[Event], revision: u64) -> SortedMap<Vec<u8>, Kv> {
    let mut entries = SortedMap::new();
    history
        .iter()
        .filter(|event| event.revision <= revision)
        .for_each(|event| apply_event(&mut entries, event));
    entries
}

fn apply_event(entries: &mut SortedMap<Vec<u8>, Kv>, event: &Event) {
    match event.value {
        Some(_) => entries.insert(event.key.clone(), event_body(event).kv),
        None => entries.remove(&event.key),
    };
}

fn event_body(event: &Event) -> EventBody {
    let kind = if event.value.is_some() { "PUT" } else { "DELETE" };
    let (value, lease) = event.value.clone().unwrap_or_default();
    let (key, value) = (Base64Bytes(event.key.clone()), Base64Bytes(value));
    let kv = Kv { key, value, mod_revision: event.revision, lease };
    EventBody { kind: kind.to_owned(), kv }
}

/// An empty `end` means the single key `start`, and a zero byte means no upper bound.
fn is_in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}
