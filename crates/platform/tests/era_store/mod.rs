//! A model of a key-value service that comes back from older copies, and of its clients.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use yuccapass_platform::{
    Compare, Entry, GetResponse, Key, KeyValue, KeyValueRevision, LeaseGrant, LeaseId, LeaseTtl,
    Page, PlatformError, PlatformErrorKind, RangeRequest, StoreEra, Transaction,
    TransactionOutcome, Value, WatchOutcome, WatchRequest, Write,
};
use yuccapass_types::{Clock, Deadline, Instant, MonotonicClock};

/// A real clock that can also jump ahead.
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
        Instant::from_ms(self.clock.now().as_ms() + self.jumped_ms.load(Ordering::SeqCst))
    }
}

#[derive(Clone)]
struct Item {
    value: Value,
    revision: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct Stored {
    revision: u64,
    items: BTreeMap<Key, Item>,
    next_lease: u64,
}

/// When the service goes back to a copy, counted in its calls.
#[derive(Debug, Clone, Copy)]
pub struct Restore {
    pub copied_before_call: u64,
    pub before_call: u64,
}

#[derive(Default)]
pub struct Service {
    stored: Stored,
    leases: BTreeMap<u64, Deadline>,
    era: u64,
    calls: u64,
    restores: Vec<Restore>,
    copies: BTreeMap<u64, Stored>,
    // Whether the last lease ids are given out again to others, who keep them.
    reuses_leases: bool,
}

impl Service {
    pub fn new(restores: Vec<Restore>, reuses_leases: bool) -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self { era: 1, restores, reuses_leases, ..Self::default() }))
    }

    pub fn era(&self) -> u64 {
        self.era
    }

    fn begin_call(&mut self, now: Instant) {
        self.expire(now);
        if self.restores.iter().any(|restore| restore.copied_before_call == self.calls) {
            self.copies.insert(self.calls, self.stored.clone());
        }
        for restore in self.restores.clone() {
            if restore.before_call == self.calls {
                self.restore(&restore);
            }
        }
        self.calls += 1;
    }

    fn restore(&mut self, restore: &Restore) {
        let last_lease = self.stored.next_lease;
        self.stored = self.copies[&restore.copied_before_call].clone();
        self.stored.items.retain(|_, item| item.lease == 0);
        self.leases.clear();
        self.era += 1;
        if self.reuses_leases {
            self.stored.revision += 1;
            for lease in self.stored.next_lease + 1..=last_lease + 1 {
                self.leases.insert(lease, Deadline::NEVER);
                self.stored.next_lease = lease;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, end| !end.has_passed(now));
        let leases = &self.leases;
        self.stored.items.retain(|_, item| item.lease == 0 || leases.contains_key(&item.lease));
    }

    fn revision(&self) -> KeyValueRevision {
        KeyValueRevision::new(self.stored.revision).in_era(StoreEra::new(self.era))
    }

    fn entry(&self, key: &Key) -> Option<Entry> {
        let era = StoreEra::new(self.era);
        let item = self.stored.items.get(key)?;
        Some(Entry {
            key: key.clone(),
            value: item.value.clone(),
            mod_revision: KeyValueRevision::new(item.revision).in_era(era),
            lease: (item.lease != 0).then(|| LeaseId::new(item.lease).in_era(era)),
        })
    }

    /// Compares and writes numbers without their era, as the service does.
    fn transact(&mut self, transaction: &Transaction) -> Result<bool, PlatformError> {
        let known = |key: &Key| self.stored.items.get(key).map_or(0, |item| item.revision);
        let holds = |compare: &Compare| match compare {
            Compare::Absent(key) => known(key) == 0,
            Compare::ModRevision(key, revision) => known(key) == revision.get(),
        };
        if !transaction.compares.iter().all(holds) {
            return Ok(false);
        }
        self.stored.revision += 1;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value, lease } => {
                    let lease = lease.map_or(0, LeaseId::get);
                    if lease != 0 && !self.leases.contains_key(&lease) {
                        return Err(failure(PlatformErrorKind::LeaseNotFound));
                    }
                    let revision = self.stored.revision;
                    let item = Item { value: value.clone(), revision, lease };
                    self.stored.items.insert(key.clone(), item);
                }
                Write::Delete(key) => drop(self.stored.items.remove(key)),
            }
        }
        Ok(true)
    }
}

fn failure(kind: PlatformErrorKind) -> PlatformError {
    PlatformError::new(kind, "scripted")
}

/// The client of one node, which checks eras as [`KeyValue`] demands.
pub struct Client {
    service: Arc<Mutex<Service>>,
    clock: Arc<JumpingClock>,
    newest_era: AtomicU64,
    is_cut_off: AtomicBool,
}

impl Client {
    pub fn new(service: &Arc<Mutex<Service>>, clock: &Arc<JumpingClock>) -> Arc<Self> {
        Arc::new(Self {
            service: Arc::clone(service),
            clock: Arc::clone(clock),
            newest_era: AtomicU64::new(0),
            is_cut_off: AtomicBool::new(false),
        })
    }

    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.is_cut_off.store(is_cut_off, Ordering::SeqCst);
    }

    fn newest_era(&self) -> StoreEra {
        StoreEra::new(self.newest_era.load(Ordering::SeqCst))
    }

    fn check_lease(&self, lease: LeaseId, era: StoreEra) -> Result<(), PlatformError> {
        match lease.era() < era {
            true => Err(failure(PlatformErrorKind::LeaseNotFound)),
            false => Ok(()),
        }
    }

    fn call(&self) -> Result<MutexGuard<'_, Service>, PlatformError> {
        if self.is_cut_off.load(Ordering::SeqCst) {
            return Err(failure(PlatformErrorKind::Unavailable));
        }
        let mut service = self.service.lock().unwrap();
        service.begin_call(self.clock.now());
        self.newest_era.store(service.era, Ordering::SeqCst);
        Ok(service)
    }
}

#[async_trait]
impl KeyValue for Client {
    fn era(&self) -> Option<StoreEra> {
        Some(self.newest_era()).filter(|era| era.get() > 0)
    }

    async fn get(&self, key: &Key, _: Deadline) -> Result<GetResponse, PlatformError> {
        let service = self.call()?;
        Ok(GetResponse { revision: service.revision(), entry: service.entry(key) })
    }

    async fn range(&self, _: &RangeRequest, _: Deadline) -> Result<Page, PlatformError> {
        Err(failure(PlatformErrorKind::InvalidRequest))
    }

    async fn compare_and_swap(
        &self,
        transaction: &Transaction,
        _: Deadline,
    ) -> Result<TransactionOutcome, PlatformError> {
        let is_older = |compare: &Compare, era: StoreEra| matches!(compare, Compare::ModRevision(_, revision) if revision.era() < era);
        let leases = || {
            transaction.writes.iter().filter_map(|write| match write {
                Write::Put { lease, .. } => *lease,
                Write::Delete(_) => None,
            })
        };
        let known = self.newest_era();
        if transaction.compares.iter().any(|compare| is_older(compare, known)) {
            let revision = KeyValueRevision::default().in_era(known);
            return Ok(TransactionOutcome::Conflict { revision, entries: Vec::new() });
        }
        leases().try_for_each(|lease| self.check_lease(lease, known))?;
        let mut service = self.call()?;
        let is_committed = service.transact(transaction)?;
        let revision = service.revision();
        let is_of_older_era =
            transaction.compares.iter().any(|compare| is_older(compare, revision.era()))
                || leases().any(|lease| lease.era() < revision.era());
        match is_committed {
            false => Ok(TransactionOutcome::Conflict { revision, entries: Vec::new() }),
            true if is_of_older_era => Err(failure(PlatformErrorKind::Unknown)),
            true => Ok(TransactionOutcome::Committed { revision }),
        }
    }

    async fn lease_grant(&self, ttl: LeaseTtl, _: Deadline) -> Result<LeaseGrant, PlatformError> {
        let mut service = self.call()?;
        service.stored.next_lease += 1;
        let lease = service.stored.next_lease;
        service.leases.insert(lease, Deadline::after_ms(self.clock.now(), ttl.as_ms()));
        Ok(LeaseGrant { id: LeaseId::new(lease).in_era(StoreEra::new(service.era)), ttl })
    }

    async fn lease_keep_alive(
        &self,
        lease: LeaseId,
        _: Deadline,
    ) -> Result<LeaseGrant, PlatformError> {
        self.check_lease(lease, self.newest_era())?;
        let mut service = self.call()?;
        let ttl = LeaseTtl::new(2);
        let end = service.leases.get_mut(&lease.get());
        let end = end.ok_or_else(|| failure(PlatformErrorKind::LeaseNotFound))?;
        *end = (*end).max(Deadline::after_ms(self.clock.now(), ttl.as_ms()));
        self.check_lease(lease, StoreEra::new(service.era))?;
        Ok(LeaseGrant { id: lease, ttl })
    }

    async fn lease_revoke(&self, lease: LeaseId, _: Deadline) -> Result<(), PlatformError> {
        self.check_lease(lease, self.newest_era())?;
        let mut service = self.call()?;
        service.leases.remove(&lease.get());
        service.expire(self.clock.now());
        Ok(())
    }

    async fn watch(&self, _: &WatchRequest, _: Deadline) -> Result<WatchOutcome, PlatformError> {
        Err(failure(PlatformErrorKind::InvalidRequest))
    }
}
