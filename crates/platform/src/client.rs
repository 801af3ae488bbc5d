//! A client of the key-value service that adds a call budget, call ranks, backoff and detection of
//! restorations.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_trait::async_trait;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yuccapass_decisions::platform_budget::{
    Backoff, CallBudget, CallDecision, CallKind, CallPurpose, CallRank, FleetRates, NewestRevision,
    OutageDecision, OutageGate, RevisionAtCall, Ticket,
};
use yuccapass_http::sleep_until;
use yuccapass_types::{Clock, Deadline, Instant};

use crate::error::{PlatformError, PlatformErrorKind};
use crate::ids::{Key, KeyValueRevision, LeaseId, LeaseTtl, StoreEra};
use crate::key_value::{
    GetResponse, KeyValue, LeaseGrant, Page, RangeRequest, Transaction, TransactionOutcome,
    WatchOutcome, WatchRequest,
};

/// Upper bound of the first delay before a read is repeated.
const RETRY_BASE_MS: u64 = 50;

/// Upper bound of every delay before a read is repeated.
const RETRY_LIMIT_MS: u64 = 2_000;

/// Factor by which the timeout of an attempt of a read grows at most. It doubles with each attempt: if
/// hundreds of nodes read large pages at once, the pages share the service's link, and attempts that
/// are all given up at the same age fill it without any of them ever ending.
const MAX_ATTEMPT_FACTOR: u64 = 4;

/// Settings of a [`PlatformClient`].
#[derive(Debug, Clone)]
pub struct PlatformClientConfig {
    rates: FleetRates,
    fleet_nodes: u32,
    attempt_timeout_ms: u64,
    max_probe_ms: Option<u64>,
    seed: u64,
}

impl PlatformClientConfig {
    /// Creates settings for a fleet of `fleet_nodes` nodes. That is the number of configured nodes,
    /// not of reachable ones; otherwise each side of a partition would use the whole rate. `seed`
    /// must differ between the nodes, so that their random delays differ.
    pub fn new(fleet_nodes: u32, seed: u64) -> Self {
        Self {
            rates: FleetRates::default(),
            fleet_nodes,
            attempt_timeout_ms: 2_000,
            max_probe_ms: None,
            seed,
        }
    }

    /// Sets the call rates of the service; 2,000 reads/s and 300 writes/s by default.
    pub fn rates(mut self, rates: FleetRates) -> Self {
        self.rates = rates;
        self
    }

    /// Sets the longest time between two probes during an outage; 5 s by default.
    pub fn max_probe_ms(mut self, ms: u64) -> Self {
        self.max_probe_ms = Some(ms);
        self
    }

    /// Sets how long one attempt of a call may take; 2 s by default. For reads, that is the first
    /// attempt.
    pub fn attempt_timeout_ms(mut self, ms: u64) -> Self {
        self.attempt_timeout_ms = ms;
        self
    }
}

// One lock suffices, since a node makes only a few calls a second.
struct State {
    budget: CallBudget,
    gate: OutageGate,
    newest: NewestRevision,
    random: StdRng,
}

/// Counts the calls of a [`PlatformClient`].
pub trait CallObserver: Send + Sync {
    /// Records that a call is made.
    fn record_call(&self, purpose: CallPurpose);

    /// Records that a call was made and not answered.
    fn record_unanswered(&self, purpose: CallPurpose);
}

/// The node's access to the key-value service.
pub struct PlatformClient {
    inner: Arc<dyn KeyValue>,
    clock: Arc<dyn Clock>,
    attempt_timeout_ms: u64,
    state: Mutex<State>,
    observer: OnceLock<Arc<dyn CallObserver>>,
}

impl PlatformClient {
    /// Creates a client that calls the service through `inner`.
    pub fn new(
        inner: Arc<dyn KeyValue>,
        clock: Arc<dyn Clock>,
        config: &PlatformClientConfig,
    ) -> Arc<Self> {
        let gate = OutageGate::new(config.fleet_nodes);
        let state = State {
            budget: CallBudget::new(config.rates, config.fleet_nodes, clock.now()),
            gate: match config.max_probe_ms {
                None => gate,
                Some(ms) => gate.max_probe_ms(ms),
            },
            newest: NewestRevision::default(),
            random: StdRng::seed_from_u64(config.seed),
        };
        let attempt_timeout_ms = config.attempt_timeout_ms;
        let state = Mutex::new(state);
        Arc::new(Self { inner, clock, attempt_timeout_ms, state, observer: OnceLock::new() })
    }

    /// Returns a handle to the service whose calls all have `rank`.
    pub fn key_value(self: &Arc<Self>, rank: CallRank) -> KeyValueClient {
        KeyValueClient { client: Arc::clone(self), rank, purpose: CallPurpose::default() }
    }

    /// Sets the observer of all calls. Only the first one is kept.
    pub fn observe_calls(&self, observer: Arc<dyn CallObserver>) {
        // A second observer would count the same calls again.
        let _ = self.observer.set(observer);
    }

    /// Changes the number of nodes that share the service's rates.
    pub fn set_fleet_nodes(&self, fleet_nodes: u32) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.budget.set_fleet_nodes(fleet_nodes, now);
        state.gate.set_fleet_nodes(fleet_nodes);
    }

    /// Returns whether the service failed to answer the last call.
    pub fn is_down(&self) -> bool {
        self.lock().gate.is_down()
    }

    /// Returns the newest era of the service that an answer has named.
    pub fn era(&self) -> StoreEra {
        self.record_era();
        StoreEra::new(self.lock().newest.era())
    }

    /// Returns how many restorations of the service from an older state were detected. Each rise of the
    /// era counts once, whichever answer named the new one first.
    pub fn restorations(&self) -> u64 {
        self.record_era();
        self.lock().newest.restorations()
    }

    /// Returns the clock by which deadlines are measured.
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    pub(crate) fn with_random<R>(&self, action: impl FnOnce(&mut StdRng) -> R) -> R {
        action(&mut self.lock().random)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the outage gate and the call budget allow a call.
    async fn wait_for_turn(
        &self,
        kind: CallKind,
        rank: CallRank,
        deadline: Deadline,
    ) -> Result<(), PlatformError> {
        self.wait_for_gate(rank, deadline).await?;
        let ticket = self.lock().budget.enqueue(kind, rank, deadline);
        let _guard = TicketGuard { client: self, ticket };
        loop {
            let turn = self.lock().budget.poll(ticket, self.clock.now());
            match turn {
                CallDecision::Proceed => return Ok(()),
                CallDecision::WaitUntil(instant) => self.wait(instant, deadline).await,
                CallDecision::GiveUp => return Err(self.budget_error()),
            }
        }
    }

    async fn wait_for_gate(&self, rank: CallRank, deadline: Deadline) -> Result<(), PlatformError> {
        loop {
            let now = self.clock.now();
            let admission = {
                let mut guard = self.lock();
                let State { gate, random, .. } = &mut *guard;
                gate.admit(rank, now, random)
            };
            match admission {
                OutageDecision::Proceed => return Ok(()),
                OutageDecision::WaitUntil(_) if deadline.has_passed(now) => {
                    return Err(gate_closed());
                }
                OutageDecision::WaitUntil(instant) => self.wait(instant, deadline).await,
            }
        }
    }

    /// Returns the error of a call whose deadline passed while it waited for the budget.
    fn budget_error(&self) -> PlatformError {
        // The time was used up by the outage, not by the budget.
        if self.is_down() {
            return gate_closed();
        }
        let detail = "the node's call budget had no room before the deadline";
        PlatformError::new(PlatformErrorKind::OverBudget, detail)
    }

    async fn wait(&self, instant: Instant, deadline: Deadline) {
        sleep_until(&*self.clock, deadline.earlier(Deadline::after_ms(instant, 0))).await;
    }

    fn revision_at_call(&self) -> RevisionAtCall {
        self.lock().newest.at_call()
    }

    /// Records the era that the answers have named so far. An answer to a call of another task may have
    /// named a new one.
    fn record_era(&self) {
        if let Some(era) = self.inner.era() {
            self.lock().newest.record_era(era.get());
        }
    }

    /// Reports the result of a call to the outage gate, and records the era of its answer.
    fn record_result<T>(
        &self,
        rank: CallRank,
        purpose: CallPurpose,
        result: &Result<T, PlatformError>,
    ) {
        self.record_era();
        let failure = result.as_ref().err().filter(|error| is_unanswered(error));
        if let Some(observer) = self.observer.get().filter(|_| failure.is_some()) {
            observer.record_unanswered(purpose);
        }
        if !rank.shows_outage() {
            return;
        }
        let now = self.clock.now();
        let mut guard = self.lock();
        let State { gate, random, .. } = &mut *guard;
        let before = gate.outage();
        match failure {
            Some(_) => gate.record_failure(now, random),
            None => gate.record_success(now, random),
        }
        let after = gate.outage();
        drop(guard);
        if let (Some(error), Some(outage)) = (failure, after) {
            log::info!(
                purpose:%, error:%, failures = outage.failures,
                next_probe_ms = outage.next_probe.ms_since(now);
                "a call to the platform was not answered"
            );
        } else if let Some(outage) = before {
            log::info!(
                purpose:%, closed_ms = now.ms_since(outage.since), failures = outage.failures;
                "calls to the platform are let through again"
            );
        }
    }

    /// Checks the revision of a response; fails if it shows an older state than seen before. The first
    /// response of a newer era is a usable one.
    fn check_revision(
        &self,
        at_call: RevisionAtCall,
        revision: KeyValueRevision,
    ) -> Result<(), PlatformError> {
        let (is_older, restoration) = {
            let mut state = self.lock();
            let newest = &mut state.newest;
            let is_older = newest.record_answer(at_call, revision.era().get(), revision.get());
            (is_older, newest.take_restoration())
        };
        if let Some(restoration) = restoration {
            log::warn!(
                old_era = restoration.old_era, new_era = restoration.new_era,
                revisions_back = restoration.revisions_back;
                "the platform was restored from an older copy"
            );
        }
        if !is_older {
            return Ok(());
        }
        let detail = format!("the platform is at revision {revision}, older than seen before");
        Err(PlatformError::new(PlatformErrorKind::Restored, detail))
    }

    fn attempt_deadline(&self, attempt_ms: u64, deadline: Deadline) -> Deadline {
        Deadline::after_ms(self.clock.now(), attempt_ms).earlier(deadline)
    }

    /// Returns how long the last attempts of a read may take. The first ones are shorter, because a
    /// lost answer is more common than one that takes seconds on a busy link.
    fn max_attempt_ms(&self) -> u64 {
        self.attempt_timeout_ms.saturating_mul(MAX_ATTEMPT_FACTOR)
    }
}

/// Returns whether a call was made and shows that the platform may be down.
fn is_unanswered(error: &PlatformError) -> bool {
    error.is_outage() || error.kind() == PlatformErrorKind::RateLimited
}

fn gate_closed() -> PlatformError {
    let detail = "the platform is down or has just returned";
    PlatformError::new(PlatformErrorKind::Unavailable, detail)
}

/// Removes a waiting call from the budget when its future is dropped.
struct TicketGuard<'a> {
    client: &'a PlatformClient,
    ticket: Ticket,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.client.lock().budget.cancel(self.ticket);
    }
}

/// Counts as a waiting watch in the budget until it is dropped.
struct WatchGuard<'a>(&'a PlatformClient);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        let now = self.0.clock.now();
        self.0.lock().budget.end_watch(now);
    }
}

/// A handle to the key-value service whose calls all have the same rank.
///
/// Reads are repeated until their deadline. The first read that detects a restoration of the
/// service from an older state fails with `Restored`. Writes are sent once.
#[derive(Clone)]
pub struct KeyValueClient {
    client: Arc<PlatformClient>,
    rank: CallRank,
    purpose: CallPurpose,
}

impl KeyValueClient {
    /// Sets the purpose by which the calls are counted.
    pub fn with_purpose(mut self, purpose: CallPurpose) -> Self {
        self.purpose = purpose;
        self
    }

    /// Waits until a call may be made, and counts it.
    async fn wait_for_turn(&self, kind: CallKind, deadline: Deadline) -> Result<(), PlatformError> {
        self.client.wait_for_turn(kind, self.rank, deadline).await?;
        if let Some(observer) = self.client.observer.get() {
            observer.record_call(self.purpose);
        }
        Ok(())
    }

    pub(crate) fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Repeats a read until it succeeds, fails for another reason than an outage or a rate limit,
    /// or no time is left for another attempt.
    async fn read<T, F>(
        &self,
        deadline: Deadline,
        call: impl Fn(Deadline) -> F,
        revision_of: impl Fn(&T) -> Option<KeyValueRevision>,
    ) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        let client = &*self.client;
        let mut backoff = Backoff::new(RETRY_BASE_MS, RETRY_LIMIT_MS);
        let mut attempt_ms = client.attempt_timeout_ms;
        loop {
            self.wait_for_turn(CallKind::Read, deadline).await?;
            let at_call = client.revision_at_call();
            let result = call(client.attempt_deadline(attempt_ms, deadline)).await;
            attempt_ms = attempt_ms.saturating_mul(2).min(client.max_attempt_ms());
            client.record_result(self.rank, self.purpose, &result);
            let error = match result {
                Ok(answer) => {
                    if let Some(revision) = revision_of(&answer) {
                        client.check_revision(at_call, revision)?;
                    }
                    return Ok(answer);
                }
                Err(error) => error,
            };
            let delay_ms = client.with_random(|random| backoff.next_delay_ms(random));
            let resume_at = Deadline::after_ms(client.clock.now(), delay_ms);
            if !is_unanswered(&error) || deadline <= resume_at {
                return Err(error);
            }
            sleep_until(&*client.clock, resume_at).await;
        }
    }

    async fn write<T, F>(
        &self,
        deadline: Deadline,
        call: impl FnOnce(Deadline) -> F,
    ) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        self.wait_for_turn(CallKind::Write, deadline).await?;
        let client = &*self.client;
        let result = call(client.attempt_deadline(client.attempt_timeout_ms, deadline)).await;
        client.record_result(self.rank, self.purpose, &result);
        result
    }
}

#[async_trait]
impl KeyValue for KeyValueClient {
    async fn get(&self, key: &Key, deadline: Deadline) -> Result<GetResponse, PlatformError> {
        let call = |limit| self.client.inner.get(key, limit);
        self.read(deadline, call, |answer| Some(answer.revision)).await
    }

    async fn range(
        &self,
        request: &RangeRequest,
        deadline: Deadline,
    ) -> Result<Page, PlatformError> {
        let call = |limit| self.client.inner.range(request, limit);
        // A stale page would look as if the service had been restored from an older state.
        let checked = |page: &Page| (!request.may_be_stale).then_some(page.revision);
        self.read(deadline, call, checked).await
    }

    async fn compare_and_swap(
        &self,
        transaction: &Transaction,
        deadline: Deadline,
    ) -> Result<TransactionOutcome, PlatformError> {
        // The revision is not checked here, so that a committed write is never reported as an
        // error; the next read checks it.
        self.write(deadline, |limit| self.client.inner.compare_and_swap(transaction, limit)).await
    }

    async fn lease_grant(
        &self,
        ttl: LeaseTtl,
        deadline: Deadline,
    ) -> Result<LeaseGrant, PlatformError> {
        self.write(deadline, |limit| self.client.inner.lease_grant(ttl, limit)).await
    }

    async fn lease_keep_alive(
        &self,
        lease: LeaseId,
        deadline: Deadline,
    ) -> Result<LeaseGrant, PlatformError> {
        self.write(deadline, |limit| self.client.inner.lease_keep_alive(lease, limit)).await
    }

    async fn lease_revoke(&self, lease: LeaseId, deadline: Deadline) -> Result<(), PlatformError> {
        self.write(deadline, |limit| self.client.inner.lease_revoke(lease, limit)).await
    }

    /// Waits for changes; fails at once with `OverBudget` if the node's share of the rates is too
    /// small for another waiting watch.
    async fn watch(
        &self,
        request: &WatchRequest,
        deadline: Deadline,
    ) -> Result<WatchOutcome, PlatformError> {
        let client = &*self.client;
        self.wait_for_turn(CallKind::Read, deadline).await?;
        let now = client.clock.now();
        let at_call = client.revision_at_call();
        if !client.lock().budget.start_watch(now) {
            let detail = "the node's share is too small for another waiting watch";
            return Err(PlatformError::new(PlatformErrorKind::OverBudget, detail));
        }
        let _guard = WatchGuard(client);
        let result = client.inner.watch(request, deadline).await;
        client.record_result(self.rank, self.purpose, &result);
        // Where the service names eras, its answers have shown the restoration, and the revision may not be
        // one of its own.
        if let Ok(WatchOutcome::Restored { revision }) = &result
            && revision.era() == StoreEra::default()
        {
            // The outcome already tells the caller, so the error is not needed.
            let _ = client.check_revision(at_call, *revision);
        }
        result
    }
}
