//! Applies call budget, ranks, backoff and notice of restorations around a key-value service.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yuccapass_decisions::platform_budget::{
    Backoff, CallBudget, CallDecision, CallKind, CallRank, FleetRates, NewestRevision,
    OutageDecision, OutageGate, RevisionAtCall, Ticket,
};
use yuccapass_http::sleep_until;
use yuccapass_types::{Clock, Deadline, Instant};

use crate::error::{PlatformError, PlatformErrorKind};
use crate::ids::{Key, KeyValueRevision, LeaseId, LeaseTtl};
use crate::key_value::{
    GetResponse, KeyValue, LeaseGrant, Page, RangeRequest, Transaction, TransactionOutcome,
    WatchOutcome, WatchRequest,
};

/// First bound of the delay before a read is repeated.
const RETRY_BASE_MS: u64 = 50;

/// Limit of the delay before a read is repeated.
const RETRY_LIMIT_MS: u64 = 2_000;

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
    /// Makes settings for a node among `fleet_nodes`, which counts the configured nodes and not
    /// those that are reached, since a partition would give each side the whole rate. `seed` differs between the nodes, so that
    /// their delays do.
    pub fn new(fleet_nodes: u32, seed: u64) -> Self {
        Self {
            rates: FleetRates::default(),
            fleet_nodes,
            attempt_timeout_ms: 2_000,
            max_probe_ms: None,
            seed,
        }
    }

    /// Sets the service's rates; 2,000 reads/s and 300 writes/s by default.
    pub fn rates(mut self, rates: FleetRates) -> Self {
        self.rates = rates;
        self
    }

    /// Sets the longest time between two probes in an outage; 5 s by default.
    pub fn max_probe_ms(mut self, ms: u64) -> Self {
        self.max_probe_ms = Some(ms);
        self
    }

    /// Sets how long one attempt of a call may take; 2 s by default.
    pub fn attempt_timeout_ms(mut self, ms: u64) -> Self {
        self.attempt_timeout_ms = ms;
        self
    }
}

// One lock for the whole node: it makes a few calls a second.
struct State {
    budget: CallBudget,
    gate: OutageGate,
    newest: NewestRevision,
    random: StdRng,
}

/// The node's access to the key-value service.
pub struct PlatformClient {
    inner: Arc<dyn KeyValue>,
    clock: Arc<dyn Clock>,
    attempt_timeout_ms: u64,
    state: Mutex<State>,
}

impl PlatformClient {
    /// Makes the access through `inner`.
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
        Arc::new(Self { inner, clock, attempt_timeout_ms, state: Mutex::new(state) })
    }

    /// Returns the service as calls of a rank see it.
    pub fn key_value(self: &Arc<Self>, rank: CallRank) -> KeyValueClient {
        KeyValueClient { client: Arc::clone(self), rank }
    }

    /// Changes the number of nodes that share the service.
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

    /// Returns how often the service was found restored from an older state.
    pub fn restorations(&self) -> u64 {
        self.lock().newest.restorations()
    }

    /// Returns the clock that deadlines refer to.
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    pub(crate) fn with_random<R>(&self, action: impl FnOnce(&mut StdRng) -> R) -> R {
        action(&mut self.lock().random)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the call may be made.
    async fn turn(
        &self,
        kind: CallKind,
        rank: CallRank,
        deadline: Deadline,
    ) -> Result<(), PlatformError> {
        self.pass_gate(rank, deadline).await?;
        let ticket = self.lock().budget.enqueue(kind, rank, deadline);
        let _guard = TicketGuard { client: self, ticket };
        loop {
            let turn = self.lock().budget.poll(ticket, self.clock.now());
            match turn {
                CallDecision::Proceed => return Ok(()),
                CallDecision::WaitUntil(instant) => self.wait(instant, deadline).await,
                CallDecision::GiveUp => return Err(self.too_late()),
            }
        }
    }

    async fn pass_gate(&self, rank: CallRank, deadline: Deadline) -> Result<(), PlatformError> {
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

    /// The error of a call whose deadline passed while it waited for the budget.
    fn too_late(&self) -> PlatformError {
        // The outage has used up the time, not the budget.
        if self.is_down() {
            return gate_closed();
        }
        let detail = "the node's call budget had no room before the deadline";
        PlatformError::new(PlatformErrorKind::OverBudget, detail)
    }

    async fn wait(&self, instant: Instant, deadline: Deadline) {
        sleep_until(&*self.clock, deadline.earlier(Deadline::after_ms(instant, 0))).await;
    }

    fn calling(&self) -> RevisionAtCall {
        self.lock().newest.at_call()
    }

    /// Notes the outcome of a call for the outage gate.
    fn note<T>(&self, result: &Result<T, PlatformError>) {
        let now = self.clock.now();
        let mut guard = self.lock();
        let State { gate, random, .. } = &mut *guard;
        match result {
            Err(error) if error.is_outage() || error.kind() == PlatformErrorKind::RateLimited => {
                gate.record_failure(now, random);
            }
            _ => gate.record_success(now, random),
        }
    }

    /// Notes the revision of an answer.
    fn check_revision(
        &self,
        seen: RevisionAtCall,
        revision: KeyValueRevision,
    ) -> Result<(), PlatformError> {
        if !self.lock().newest.record_answer(seen, revision.get()) {
            return Ok(());
        }
        let detail = format!("the platform is at revision {revision}, older than seen before");
        Err(PlatformError::new(PlatformErrorKind::Restored, detail))
    }

    fn attempt_deadline(&self, deadline: Deadline) -> Deadline {
        Deadline::after_ms(self.clock.now(), self.attempt_timeout_ms).earlier(deadline)
    }
}

fn gate_closed() -> PlatformError {
    let detail = "the platform is down or has just returned";
    PlatformError::new(PlatformErrorKind::Unavailable, detail)
}

/// Gives a ticket back when its call is dropped while it waits.
struct TicketGuard<'a> {
    client: &'a PlatformClient,
    ticket: Ticket,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.client.lock().budget.cancel(self.ticket);
    }
}

/// Counts a waiting watch until it is dropped.
struct WatchGuard<'a>(&'a PlatformClient);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        let now = self.0.clock.now();
        self.0.lock().budget.end_watch(now);
    }
}

/// The key-value service with a rank for all calls.
///
/// Reads are repeated until their deadline; the first read that finds the service restored from an
/// older state fails with `Restored`. Writes are sent once.
#[derive(Clone)]
pub struct KeyValueClient {
    client: Arc<PlatformClient>,
    rank: CallRank,
}

impl KeyValueClient {
    pub(crate) fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Makes a read until it succeeds, fails for another reason than an outage, or is too late.
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
        loop {
            client.turn(CallKind::Read, self.rank, deadline).await?;
            let seen = client.calling();
            let result = call(client.attempt_deadline(deadline)).await;
            client.note(&result);
            let error = match result {
                Ok(answer) => {
                    if let Some(revision) = revision_of(&answer) {
                        client.check_revision(seen, revision)?;
                    }
                    return Ok(answer);
                }
                Err(error) => error,
            };
            let may_repeat = error.is_outage() || error.kind() == PlatformErrorKind::RateLimited;
            let delay_ms = client.with_random(|random| backoff.next_delay_ms(random));
            let resume_at = Deadline::after_ms(client.clock.now(), delay_ms);
            if !may_repeat || deadline <= resume_at {
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
        self.client.turn(CallKind::Write, self.rank, deadline).await?;
        let result = call(self.client.attempt_deadline(deadline)).await;
        self.client.note(&result);
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
        // The revision of the answer is left for the next read to check, so that a committed write
        // is not reported as an error.
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

    /// Waits for changes; fails at once with `OverBudget` if the node's share is too small.
    async fn watch(
        &self,
        request: &WatchRequest,
        deadline: Deadline,
    ) -> Result<WatchOutcome, PlatformError> {
        let client = &*self.client;
        client.turn(CallKind::Read, self.rank, deadline).await?;
        let now = client.clock.now();
        if !client.lock().budget.start_watch(now) {
            let detail = "the node's share is too small for another waiting watch";
            return Err(PlatformError::new(PlatformErrorKind::OverBudget, detail));
        }
        let _guard = WatchGuard(client);
        let result = client.inner.watch(request, deadline).await;
        client.note(&result);
        if let Ok(WatchOutcome::Restored { revision }) = &result {
            let seen = client.calling();
            // The caller learns of it from the outcome.
            let _ = client.check_revision(seen, *revision);
        }
        result
    }
}
