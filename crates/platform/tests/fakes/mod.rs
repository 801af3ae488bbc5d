//! An in-memory key-value service with scripted failures, and a clock that can jump.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use yuccapass_platform::{
    Compare, Entry, GetResponse, Key, KeyValue, KeyValueRevision, LeaseGrant, LeaseId, LeaseTtl,
    Page, PlatformError, PlatformErrorKind, RangeRequest, StoreEra, Transaction,
    TransactionOutcome, WatchOutcome, WatchRequest, Write,
};
use yuccapass_types::{Clock, Deadline, Instant, MonotonicClock};

/// The scripted failure of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    NotSent,
    LostAfterEffect,
    LostBeforeEffect,
}

#[derive(Default)]
pub struct Data {
    pub era: StoreEra,
    pub revision: u64,
    pub entries: BTreeMap<Key, Entry>,
    pub faults: VecDeque<Fault>,
    pub calls: Vec<&'static str>,
    /// The deadlines of the attempts of `get`.
    pub deadlines: Vec<Deadline>,
    pub effects: u32,
    pub leases: u64,
}

impl Data {
    fn current(&self) -> KeyValueRevision {
        KeyValueRevision::new(self.revision).in_era(self.era)
    }
}

#[derive(Default)]
pub struct FakeKeyValue {
    pub data: Mutex<Data>,
}

fn failure(kind: PlatformErrorKind) -> PlatformError {
    PlatformError::new(kind, "scripted")
}

impl FakeKeyValue {
    pub fn with_faults(faults: &[Fault]) -> Self {
        let fake = Self::default();
        fake.data.lock().unwrap().faults = faults.iter().copied().collect();
        fake
    }

    fn call<T>(
        &self,
        name: &'static str,
        is_write: bool,
        action: impl FnOnce(&mut Data) -> T,
    ) -> Result<T, PlatformError> {
        let mut data = self.data.lock().unwrap();
        data.calls.push(name);
        let fault = data.faults.pop_front().unwrap_or(Fault::None);
        let lost = match is_write {
            true => PlatformErrorKind::Unknown,
            false => PlatformErrorKind::Unavailable,
        };
        match fault {
            Fault::None => Ok(action(&mut data)),
            Fault::NotSent => Err(failure(PlatformErrorKind::Unavailable)),
            Fault::LostBeforeEffect => Err(failure(lost)),
            Fault::LostAfterEffect => {
                action(&mut data);
                Err(failure(lost))
            }
        }
    }
}

fn commit(data: &mut Data, transaction: &Transaction) -> TransactionOutcome {
    let holds = |compare: &Compare| match compare {
        Compare::Absent(key) => !data.entries.contains_key(key),
        Compare::ModRevision(key, revision) => {
            data.entries.get(key).is_some_and(|entry| entry.mod_revision == *revision)
        }
    };
    if !transaction.compares.iter().all(holds) {
        let revision = data.current();
        return TransactionOutcome::Conflict { revision, entries: Vec::new() };
    }
    data.revision += 1;
    data.effects += 1;
    let mod_revision = data.current();
    for write in &transaction.writes {
        match write.clone() {
            Write::Put { key, value, lease } => {
                let entry = Entry { key: key.clone(), value, mod_revision, lease };
                data.entries.insert(key, entry);
            }
            Write::Delete(key) => {
                data.entries.remove(&key);
            }
        }
    }
    TransactionOutcome::Committed { revision: mod_revision }
}

#[async_trait]
impl KeyValue for FakeKeyValue {
    fn era(&self) -> Option<StoreEra> {
        let data = self.data.lock().unwrap();
        (!data.calls.is_empty()).then_some(data.era)
    }

    async fn get(&self, key: &Key, deadline: Deadline) -> Result<GetResponse, PlatformError> {
        self.data.lock().unwrap().deadlines.push(deadline);
        self.call("get", false, |data| GetResponse {
            revision: data.current(),
            entry: data.entries.get(key).cloned(),
        })
    }

    async fn range(&self, _: &RangeRequest, _: Deadline) -> Result<Page, PlatformError> {
        Err(failure(PlatformErrorKind::InvalidRequest))
    }

    async fn compare_and_swap(
        &self,
        transaction: &Transaction,
        _: Deadline,
    ) -> Result<TransactionOutcome, PlatformError> {
        self.call("write", true, |data| commit(data, transaction))
    }

    async fn lease_grant(&self, ttl: LeaseTtl, _: Deadline) -> Result<LeaseGrant, PlatformError> {
        self.call("grant", true, |data| {
            data.leases += 1;
            LeaseGrant { id: LeaseId::new(data.leases).in_era(data.era), ttl }
        })
    }

    async fn lease_keep_alive(
        &self,
        lease: LeaseId,
        _: Deadline,
    ) -> Result<LeaseGrant, PlatformError> {
        self.call("renew", true, |_| LeaseGrant { id: lease, ttl: LeaseTtl::new(30) })
    }

    async fn lease_revoke(&self, lease: LeaseId, _: Deadline) -> Result<(), PlatformError> {
        self.call("revoke", true, |data| {
            data.entries.retain(|_, entry| entry.lease != Some(lease));
        })
    }

    /// A watch of an earlier era learns the era only: the service has not named a revision.
    async fn watch(
        &self,
        request: &WatchRequest,
        _: Deadline,
    ) -> Result<WatchOutcome, PlatformError> {
        self.call("watch", false, |data| match request.from.era() == data.era {
            true => WatchOutcome::NoChanges { revision: None },
            false => {
                let revision = KeyValueRevision::new(0).in_era(data.era);
                WatchOutcome::Restored { revision }
            }
        })
    }
}

/// A monotonic clock that can be moved forward, as if the process had been paused.
#[derive(Default)]
pub struct JumpingClock {
    clock: MonotonicClock,
    jumped_ms: AtomicU64,
}

impl JumpingClock {
    pub fn jump_ms(&self, ms: u64) {
        self.jumped_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for JumpingClock {
    fn now(&self) -> Instant {
        let jumped_ms = self.jumped_ms.load(Ordering::SeqCst);
        Instant::from_ms(self.clock.now().as_ms() + jumped_ms)
    }
}
