//! A lock that at most one node holds at a time, based on a lease and a fencing number.

use std::sync::{Mutex, MutexGuard, PoisonError};

use yuccapass_decisions::platform_budget::{
    Backoff, LeaseHolder, LeasePermit, LeaseStep, LeaseTerms, RequestTime,
};
use yuccapass_types::{Deadline, FencingNumber, Instant, NodeId};

use crate::client::KeyValueClient;
use crate::error::{PlatformError, PlatformErrorKind};
use crate::ids::{InvalidId, Key, KeyValueRevision, LeaseId, LeaseTtl, StoreEra, Value};
use crate::key_value::{Compare, Entry, KeyValue, Transaction, TransactionOutcome, Write};

/// Base and limit of the backoff before a failed renewal is repeated, in milliseconds; the base is
/// also the shortest delay.
const RENEWAL_RETRY_MS: (u64, u64) = (100, 1_000);

fn new_renewal_backoff() -> Backoff {
    let (base_ms, limit_ms) = RENEWAL_RETRY_MS;
    Backoff::new(base_ms, limit_ms)
}

/// Who holds the lock after [`LeaseLock::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LockStatus {
    /// This node holds the lock; the next step is due at the instant.
    Held(Instant),
    /// Another node holds the lock.
    HeldByOther,
}

struct State {
    holder: LeaseHolder,
    // The lease under which the lock was acquired, and the revision of the holder key.
    lease: Option<(LeaseId, KeyValueRevision)>,
    // Grows with each failed renewal in a row, until a renewal succeeds.
    renewal_backoff: Backoff,
    // The highest number that this node has used.
    highest_fencing: Option<FencingNumber>,
    restorations: u64,
    era: StoreEra,
    // No acquisition before this instant; set when a new era or a restoration of the service is detected.
    acquire_after: Instant,
    // The lease of an acquisition whose outcome is not known.
    unsettled: Option<LeaseId>,
}

/// A lock in the key-value service.
///
/// The holder key is attached to the holder's lease. The fencing number is stored under a key of
/// its own and grows with each holder. It contains the era of the service in which it was given out, since
/// a service that comes back from an older copy has lost the latest numbers. One task calls [`LeaseLock::step`]; any task may call
/// [`LeaseLock::permit`].
pub struct LeaseLock {
    key_value: KeyValueClient,
    node: NodeId,
    holder_key: Key,
    fencing_key: Key,
    state: Mutex<State>,
}

impl LeaseLock {
    /// Creates a lock under `name` that `node` does not hold yet. The lifetime of the lease is
    /// rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// Fails if the name is too long for a key.
    pub fn new(
        key_value: KeyValueClient,
        name: &Key,
        node: NodeId,
        terms: LeaseTerms,
    ) -> Result<Self, InvalidId> {
        let state = State {
            holder: LeaseHolder::new(terms),
            lease: None,
            renewal_backoff: new_renewal_backoff(),
            highest_fencing: None,
            restorations: key_value.client().restorations(),
            era: StoreEra::default(),
            acquire_after: Instant::default(),
            unsettled: None,
        };
        let (holder_key, fencing_key) = (name.child("holder")?, name.child("fencing")?);
        Ok(Self { key_value, node, holder_key, fencing_key, state: Mutex::new(state) })
    }

    /// Returns the permit to act as the holder, if it is valid now. Callers check it immediately
    /// before each action.
    pub fn permit(&self) -> Option<LeasePermit> {
        self.detect_restoration();
        let now = self.now();
        self.lock().holder.permit(now)
    }

    /// Returns a condition for transactions, which then fail once this node has lost the lock.
    pub fn held_condition(&self) -> Option<Compare> {
        self.permit()?;
        let (_, revision) = self.lock().lease?;
        Some(Compare::ModRevision(self.holder_key.clone(), revision))
    }

    /// Returns until when this node does not acquire the lock, although it may be free, because an earlier
    /// holder may still rely on a lease that was lost.
    pub fn waits_until(&self) -> Option<Instant> {
        self.detect_restoration();
        let now = self.now();
        Some(self.lock().acquire_after).filter(|&instant| instant > now)
    }

    /// Returns whether an acquisition of this node may have left the holder key behind. The next step then
    /// removes it, also if the lock is not free.
    pub fn is_unsettled(&self) -> bool {
        self.lock().unsettled.is_some()
    }

    /// Learns the revision of the holder key from the entries of a transaction that failed.
    ///
    /// A service may give each write of a transaction a revision of its own and return only the last
    /// one. The lease shows that the entry is the one that this node has written.
    pub fn record_entries(&self, entries: &[Entry]) {
        let Some(entry) = entries.iter().find(|entry| entry.key == self.holder_key) else { return };
        if let Some((lease, revision)) = &mut self.lock().lease
            && entry.lease == Some(*lease)
        {
            *revision = entry.mod_revision;
        }
    }

    /// Acquires or renews the lock if that is due.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer; the permit is unchanged.
    pub async fn step(&self, deadline: Deadline) -> Result<LockStatus, PlatformError> {
        self.detect_restoration();
        let now = self.now();
        let step = self.lock().holder.next_step(now);
        match step {
            LeaseStep::WaitUntil(instant) => Ok(LockStatus::Held(instant)),
            LeaseStep::Renew => self.renew(deadline).await,
            LeaseStep::Acquire => self.acquire(deadline).await,
        }
    }

    /// Releases the lock, so that another node need not wait until the lease expires.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer; the permit has ended nevertheless.
    pub async fn release(&self, deadline: Deadline) -> Result<(), PlatformError> {
        let lease = {
            let mut state = self.lock();
            state.holder.lost();
            state.lease.take()
        };
        let Some((lease, _)) = lease else { return Ok(()) };
        match self.key_value.lease_revoke(lease, deadline).await {
            Err(error) if error.kind() != PlatformErrorKind::LeaseNotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Gives up the lock if the service was restored from an older state.
    ///
    /// After a restoration an earlier holder may not know yet that its lease no longer exists, so
    /// this node does not acquire the lock before that holder's permit must have ended. How long ago an era
    /// began is not known to a node that first hears of it, also if its process has just started.
    fn detect_restoration(&self) {
        let client = self.key_value.client();
        let (restorations, era) = (client.restorations(), client.era());
        let now = self.now();
        let mut state = self.lock();
        if restorations != state.restorations || era > state.era {
            state.restorations = restorations;
            state.era = era;
            state.holder.lost();
            let ttl_ms = state.holder.terms().ttl_ms();
            state.acquire_after = Deadline::after_ms(now, ttl_ms).instant();
        }
    }

    async fn renew(&self, deadline: Deadline) -> Result<LockStatus, PlatformError> {
        let Some((lease, _)) = self.lock().lease else { return Ok(LockStatus::HeldByOther) };
        let requested_at = RequestTime::at(self.now());
        let result = self.key_value.lease_keep_alive(lease, deadline).await;
        let now = self.now();
        let (base_ms, _) = RENEWAL_RETRY_MS;
        let mut backoff = self.lock().renewal_backoff;
        let delay_ms =
            self.key_value.client().with_random(|random| base_ms + backoff.next_delay_ms(random));
        let mut state = self.lock();
        match result {
            Ok(grant) => {
                state.renewal_backoff = new_renewal_backoff();
                state.holder.renewed(requested_at, grant.ttl.as_ms(), now);
            }
            Err(error) if error.kind() == PlatformErrorKind::LeaseNotFound => {
                state.holder.lost();
                state.lease = None;
                return Ok(LockStatus::HeldByOther);
            }
            Err(error) => {
                state.renewal_backoff = backoff;
                state.holder.renewal_failed(now, delay_ms);
                return Err(error);
            }
        }
        match state.holder.next_step(now) {
            LeaseStep::WaitUntil(instant) => Ok(LockStatus::Held(instant)),
            LeaseStep::Renew => Ok(LockStatus::Held(now)),
            LeaseStep::Acquire => Ok(LockStatus::HeldByOther),
        }
    }

    async fn acquire(&self, deadline: Deadline) -> Result<LockStatus, PlatformError> {
        let earlier = self.lock().lease.map(|(lease, _)| lease);
        let answer = self.key_value.get(&self.holder_key, deadline).await?;
        // An earlier lease of this node may still hold the holder key. It is only revoked once the era is
        // known, since its id may be that of another lease in a new one.
        self.release(deadline).await?;
        let is_own = |entry: &Entry| earlier.is_some() && entry.lease == earlier;
        if let Some(entry) = answer.entry.filter(|entry| !is_own(entry)) {
            self.remove_stray(&entry, deadline).await?;
            return Ok(LockStatus::HeldByOther);
        }
        self.lock().unsettled = None;
        let era = answer.revision.era();
        // The answer may have been the first one that named the era.
        self.detect_restoration();
        if self.now() < self.lock().acquire_after {
            return Ok(LockStatus::HeldByOther);
        }
        let stored = self.key_value.get(&self.fencing_key, deadline).await?.entry;
        let fencing = self.next_fencing(stored.as_ref(), era)?;
        let requested_at = RequestTime::at(self.now());
        let ttl = LeaseTtl::new(self.lock().holder.terms().ttl_ms().div_ceil(1_000));
        let grant = self.key_value.lease_grant(ttl, deadline).await?;
        let transaction = self.acquire_transaction(grant.id, fencing, stored.as_ref());
        self.lock().unsettled = Some(grant.id);
        let settled = self.settle_acquisition(&transaction, grant.id, deadline).await?;
        self.lock().unsettled = None;
        // A number is only used in the era for which it was made.
        let Some(revision) = settled.filter(|revision| revision.era() == era) else {
            // If this fails, the lease expires.
            let _ = self.key_value.lease_revoke(grant.id, deadline).await;
            return Ok(LockStatus::HeldByOther);
        };
        self.detect_restoration();
        let now = self.now();
        let mut state = self.lock();
        if state.era != era {
            return Ok(LockStatus::HeldByOther);
        }
        state.highest_fencing = Some(fencing);
        state.lease = Some((grant.id, revision));
        state.renewal_backoff = new_renewal_backoff();
        state.holder.acquired(requested_at, grant.ttl.as_ms(), fencing);
        Ok(match state.holder.permit(now) {
            Some(_) => LockStatus::Held(now),
            None => LockStatus::HeldByOther,
        })
    }

    /// Returns a number above the stored one and above every number that this node has used, which
    /// may be higher if the service was restored.
    fn next_fencing(
        &self,
        stored: Option<&Entry>,
        era: StoreEra,
    ) -> Result<FencingNumber, PlatformError> {
        let invalid = || {
            let detail =
                format!("{} does not hold a number before era {era} ends", self.fencing_key);
            PlatformError::new(PlatformErrorKind::Protocol, detail)
        };
        let decode = |entry: &Entry| {
            let text = std::str::from_utf8(entry.value.as_bytes()).ok();
            text.and_then(|text| text.parse::<FencingNumber>().ok()).ok_or_else(invalid)
        };
        let stored = stored.map(decode).transpose()?;
        let last = stored.max(self.lock().highest_fencing);
        FencingNumber::following(last, era.get()).ok_or_else(invalid)
    }

    fn acquire_transaction(
        &self,
        lease: LeaseId,
        fencing: FencingNumber,
        stored: Option<&Entry>,
    ) -> Transaction {
        let fencing_key = self.fencing_key.clone();
        let value = |text: String| Value::new(text.into_bytes()).unwrap_or_default();
        let unchanged = match stored {
            Some(entry) => Compare::ModRevision(fencing_key.clone(), entry.mod_revision),
            None => Compare::Absent(fencing_key.clone()),
        };
        Transaction {
            compares: vec![Compare::Absent(self.holder_key.clone()), unchanged],
            writes: vec![
                Write::Put {
                    key: self.holder_key.clone(),
                    value: value(self.node.to_string()),
                    lease: Some(lease),
                },
                Write::Put { key: fencing_key, value: value(fencing.to_string()), lease: None },
            ],
        }
    }

    /// Returns the revision of the holder key if it was written under `lease`.
    ///
    /// If the response is lost, the holder key is read back; the new lease shows whether this write
    /// created it.
    async fn settle_acquisition(
        &self,
        transaction: &Transaction,
        lease: LeaseId,
        deadline: Deadline,
    ) -> Result<Option<KeyValueRevision>, PlatformError> {
        match self.key_value.compare_and_swap(transaction, deadline).await {
            Ok(TransactionOutcome::Committed { revision }) => Ok(Some(revision)),
            Ok(TransactionOutcome::Conflict { .. }) => Ok(None),
            Err(error) if error.kind() == PlatformErrorKind::Unknown => {
                let entry = self.key_value.get(&self.holder_key, deadline).await?.entry;
                match entry {
                    Some(entry) if entry.lease == Some(lease) => Ok(Some(entry.mod_revision)),
                    Some(entry) => self.remove_stray(&entry, deadline).await.map(|()| None),
                    None => Ok(None),
                }
            }
            Err(error) => Err(error),
        }
    }

    /// Removes the holder key if this node has written it in a new era under a lease of an earlier one. It
    /// is then attached to the lease of someone else with the same id, which may be renewed for ever.
    async fn remove_stray(&self, entry: &Entry, deadline: Deadline) -> Result<(), PlatformError> {
        let Some(unsettled) = self.lock().unsettled else { return Ok(()) };
        let is_stray = entry.value.as_bytes() == self.node.as_str().as_bytes()
            && entry
                .lease
                .is_some_and(|lease| lease.get() == unsettled.get() && lease != unsettled);
        if is_stray {
            let key = self.holder_key.clone();
            let transaction = Transaction {
                compares: vec![Compare::ModRevision(key.clone(), entry.mod_revision)],
                writes: vec![Write::Delete(key)],
            };
            self.key_value.compare_and_swap(&transaction, deadline).await?;
        }
        self.lock().unsettled = None;
        Ok(())
    }

    fn now(&self) -> Instant {
        self.key_value.client().clock().now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
