//! The [`KeyValue`] trait, through which the key-value service is called, and the types of its
//! requests and responses.

use async_trait::async_trait;
use yuccapass_types::Deadline;

use crate::error::PlatformError;
use crate::ids::{Key, KeyValueRevision, LeaseId, LeaseTtl, PageCursor, StoreEra, Value};

/// A stored key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Value,
    /// Revision of the last write to the key.
    pub mod_revision: KeyValueRevision,
    /// The lease that the key is attached to; the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// The response to [`KeyValue::get`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GetResponse {
    /// The service's revision at the time of the response.
    pub revision: KeyValueRevision,
    /// The entry, if the key has a value.
    pub entry: Option<Entry>,
}

/// Which keys a range or a watch covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRange {
    /// One key.
    Exact(Key),
    /// All keys with a prefix.
    Prefix(Key),
}

/// A request for a page of a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeRequest {
    /// The range.
    pub range: KeyRange,
    /// Where the page begins, as the page before it says; at the start of the range if absent.
    pub start: Option<PageCursor>,
    /// Maximum number of entries in the page. A response of more than 8 MiB fails, so a range with
    /// large values needs a small limit.
    pub limit: u32,
    /// Revision to read at, so that all pages show the same state; the newest one if absent.
    pub revision: Option<KeyValueRevision>,
    /// Whether the page may show a state that is a few seconds old, which costs the service less.
    pub may_be_stale: bool,
}

/// A page of entries in key order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The service's revision at the time of the response.
    pub revision: KeyValueRevision,
    /// The entries. Those that cannot be decoded are left out, so there may be none.
    pub entries: Vec<Entry>,
    /// Where the next page begins; `None` if this is the last one.
    pub next: Option<PageCursor>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key has no value.
    Absent(Key),
    /// The key was last written at this revision.
    ModRevision(Key, KeyValueRevision),
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a value.
    Put {
        /// The key.
        key: Key,
        /// The value.
        value: Value,
        /// The lease that the key is attached to; the key is deleted when the lease ends.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete(Key),
}

/// Writes that take effect together if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The outcome of [`KeyValue::compare_and_swap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All conditions held and all writes took effect.
    Committed {
        /// Revision of the writes.
        revision: KeyValueRevision,
    },
    /// A condition did not hold and nothing was written.
    Conflict {
        /// The service's revision at the time of the response.
        revision: KeyValueRevision,
        /// The entries of the compared keys.
        entries: Vec<Entry>,
    },
}

/// A granted or renewed lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub id: LeaseId,
    /// Its lifetime, which starts at some moment between the request and the response.
    pub ttl: LeaseTtl,
}

/// A request to wait for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchRequest {
    /// The keys to watch.
    pub range: KeyRange,
    /// First revision whose changes are wanted: the one after the state that was read.
    pub from: KeyValueRevision,
}

/// What happened to a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// The key has a new value.
    Put(Entry),
    /// The key was deleted.
    Deleted(Key),
}

/// A change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Revision of the change.
    pub revision: KeyValueRevision,
    /// What happened.
    pub kind: ChangeKind,
}

/// How a watch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, in order. The next watch starts after the revision of the last one. A service may cut off an answer of
    /// any size, so only `NoChanges` shows that no change from before the watch was sent is missing.
    Changes(Vec<Change>),
    /// The same, but there probably are later changes from before the watch was sent. The next watch starts after
    /// `revision`: changes that cannot be decoded are left out, so it may be later than the last one.
    PartialChanges {
        /// The changes.
        changes: Vec<Change>,
        /// Revision up to which there are no others.
        revision: KeyValueRevision,
    },
    /// Nothing changed before the deadline.
    NoChanges {
        /// The service's revision, if the service reported it; the next watch may start after it.
        revision: Option<KeyValueRevision>,
    },
    /// The service no longer keeps all changes since the requested revision; the state has to be
    /// read again.
    Compacted,
    /// The service was restored from an older state: it is at an older revision than the caller has
    /// seen, or in another era. The state has to be read again.
    Restored {
        /// The service's revision.
        revision: KeyValueRevision,
    },
}

/// The platform's key-value service.
///
/// An error of a write has the kind `Unknown` if the write may have taken effect.
///
/// Revisions and leases belong to an era of the service. What an implementation is given of an older era
/// than the newest one that it has seen is not sent, since the number may stand for something else now: a
/// watch is `Restored`, a condition is a `Conflict`, and a lease is `LeaseNotFound`.
#[async_trait]
pub trait KeyValue: Send + Sync {
    /// Returns the newest era that an answer of the service has named, also one without a revision;
    /// `None` if the service has not answered yet or names no eras.
    fn era(&self) -> Option<StoreEra> {
        None
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if no platform address answers in time.
    async fn get(&self, key: &Key, deadline: Deadline) -> Result<GetResponse, PlatformError>;

    /// Reads a page of a range.
    ///
    /// # Errors
    ///
    /// Fails if no platform address answers in time, or with `Compacted` if the requested revision
    /// is no longer kept.
    async fn range(
        &self,
        request: &RangeRequest,
        deadline: Deadline,
    ) -> Result<Page, PlatformError>;

    /// Writes if all conditions hold.
    ///
    /// # Errors
    ///
    /// Fails with `Unknown` if the transaction was sent but not answered.
    async fn compare_and_swap(
        &self,
        transaction: &Transaction,
        deadline: Deadline,
    ) -> Result<TransactionOutcome, PlatformError>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails with `Unknown` if the lease may have been granted; it then expires unused.
    async fn lease_grant(
        &self,
        ttl: LeaseTtl,
        deadline: Deadline,
    ) -> Result<LeaseGrant, PlatformError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails with `LeaseNotFound` if the lease has expired.
    async fn lease_keep_alive(
        &self,
        lease: LeaseId,
        deadline: Deadline,
    ) -> Result<LeaseGrant, PlatformError>;

    /// Revokes a lease, which deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails with `LeaseNotFound` if the lease has expired.
    async fn lease_revoke(&self, lease: LeaseId, deadline: Deadline) -> Result<(), PlatformError>;

    /// Waits for changes until the deadline.
    ///
    /// A dead connection cannot be told from a watch without changes, so callers set a deadline of
    /// a few seconds and repeat a watch without changes from the same revision.
    ///
    /// # Errors
    ///
    /// Fails if no platform address accepts the watch, or the connection breaks.
    async fn watch(
        &self,
        request: &WatchRequest,
        deadline: Deadline,
    ) -> Result<WatchOutcome, PlatformError>;
}
