//! What this process holds for callers: asks the budget, and closes the connections that give way.

use std::fmt;
use std::net::Shutdown;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes as Buffer;
use yuccapass_decisions::gateway::caller_budget::body_capacity;
use yuccapass_decisions::gateway::{
    BudgetUse, CallerBudget, CallerBudgetLimits, ConnectionId, Decision, Grant, Shortage,
};
use yuccapass_types::{Bytes, Clock, Deadline, Instant, OrganisationId, SortedMap};

/// Pause before asking again for bytes that other connections give back.
const WAIT_MS: u64 = 20;

/// Minimum time between two log lines about callers that got no more. A crowd would otherwise write one
/// for each of its connections.
const LOG_PERIOD_MS: u64 = 1_000;

/// The budget of all callers, with their connections.
pub(crate) struct CallerMemory {
    clock: Arc<dyn Clock>,
    // One lock: the limit holds for all connections together. It is held for a few additions, and for a
    // scan of the connections only when something is short.
    state: Mutex<State>,
    evictions: AtomicU64,
    log: Mutex<LogLimit>,
}

struct State {
    budget: CallerBudget,
    streams: SortedMap<ConnectionId, TcpStream>,
}

/// When the next log line may be written, and how many were left out.
#[derive(Default)]
struct LogLimit {
    next: Option<Deadline>,
    omitted: u64,
}

impl CallerMemory {
    pub(crate) fn new(clock: Arc<dyn Clock>, limits: CallerBudgetLimits) -> Arc<Self> {
        let state = State { budget: CallerBudget::new(limits), streams: SortedMap::new() };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
            evictions: AtomicU64::new(0),
            log: Mutex::default(),
        })
    }

    /// Opens a connection; returns `None` if there are too many.
    pub(crate) fn open(self: &Arc<Self>, stream: &TcpStream) -> Option<OpenConnection> {
        let now = self.clock.now();
        let (id, evicted) = {
            let mut state = self.lock();
            let (id, evicted) = state.budget.open(now);
            if let Some(id) = id {
                state.streams.insert(id, stream.clone());
            }
            (id, evicted.and_then(|evicted| state.streams.get(&evicted).cloned()))
        };
        self.shut_down(evicted);
        let claim = CallerClaim { memory: Arc::clone(self), id: id? };
        Some(OpenConnection { claim })
    }

    /// Returns what is held at present.
    pub(crate) fn in_use(&self) -> BudgetUse {
        self.lock().budget.in_use()
    }

    /// Returns how many connections were closed for the sake of others.
    pub(crate) fn evictions(&self) -> u64 {
        self.evictions.load(Ordering::Relaxed)
    }

    /// Returns whether a log line about a caller may be written now, and how many were left out before.
    pub(crate) fn may_log(&self) -> Option<u64> {
        let now = self.clock.now();
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.next.is_some_and(|next| !next.has_passed(now)) {
            log.omitted += 1;
            return None;
        }
        log.next = Some(Deadline::after_ms(now, LOG_PERIOD_MS));
        Some(std::mem::take(&mut log.omitted))
    }

    fn decide(&self, ask: impl FnOnce(&mut CallerBudget, Instant) -> Decision) -> Grant {
        let now = self.clock.now();
        let (decision, stream) = {
            let mut state = self.lock();
            let decision = ask(&mut state.budget, now);
            let stream = decision.evicted.and_then(|id| state.streams.get(&id).cloned());
            (decision, stream)
        };
        self.shut_down(stream);
        decision.grant
    }

    fn record(&self, record: impl FnOnce(&mut CallerBudget, Instant)) {
        let now = self.clock.now();
        record(&mut self.lock().budget, now);
    }

    fn shut_down(&self, stream: Option<TcpStream>) {
        let Some(stream) = stream else { return };
        self.evictions.fetch_add(1, Ordering::Relaxed);
        // The task of the connection notices this and ends. It fails only on a closed connection.
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, which is closed in the budget when this is dropped.
pub(crate) struct OpenConnection {
    claim: CallerClaim,
}

impl OpenConnection {
    pub(crate) fn claim(&self) -> &CallerClaim {
        &self.claim
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let id = self.claim.id;
        let stream = {
            let mut state = self.claim.memory.lock();
            state.budget.close(id);
            state.streams.remove(&id)
        };
        // Closing a socket is a system call, which is not made under the lock.
        drop(stream);
    }
}

/// A handle to what one connection holds.
#[derive(Clone)]
pub(crate) struct CallerClaim {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
}

impl fmt::Debug for CallerClaim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerClaim({})", self.id)
    }
}

impl CallerClaim {
    pub(crate) fn begin_request(&self) {
        self.memory.record(|budget, now| budget.begin_request(self.id, now));
    }

    pub(crate) fn begin_body(&self, promised: Bytes) {
        self.memory.record(|budget, _| budget.begin_body(self.id, promised));
    }

    pub(crate) fn record_received(&self, received: Bytes) {
        self.memory.record(|budget, now| budget.record_received(self.id, received, now));
    }

    pub(crate) fn set_organisation(&self, organisation: &OrganisationId) {
        let organisation = organisation.clone();
        self.memory.record(|budget, _| budget.set_organisation(self.id, organisation));
    }

    pub(crate) fn complete(&self) {
        self.memory.record(|budget, _| budget.complete(self.id));
    }

    pub(crate) fn finish(&self) {
        self.memory.record(|budget, now| budget.finish(self.id, now));
    }

    pub(crate) fn block_answer(&self) {
        self.memory.record(|budget, now| budget.block_answer(self.id, now));
    }

    pub(crate) fn unblock_answer(&self) {
        self.memory.record(|budget, _| budget.unblock_answer(self.id));
    }

    pub(crate) fn now(&self) -> Instant {
        self.memory.clock.now()
    }

    pub(crate) fn clock(&self) -> &dyn Clock {
        &*self.memory.clock
    }

    /// Takes bytes for a request, if there are any now.
    pub(crate) fn try_grow_request(&self, bytes: usize) -> bool {
        let bytes = Bytes::new(bytes as u64);
        self.memory.decide(|budget, now| budget.grow_request(self.id, bytes, now)) == Grant::Granted
    }

    /// Takes bytes for a request; waits while other connections are closed for it.
    ///
    /// # Errors
    ///
    /// Returns what is short.
    pub(crate) async fn grow_request(&self, bytes: Bytes) -> Result<(), Shortage> {
        loop {
            match self.memory.decide(|budget, now| budget.grow_request(self.id, bytes, now)) {
                Grant::Granted => return Ok(()),
                Grant::Refused(shortage) => return Err(shortage),
                Grant::Wait => task::sleep(Duration::from_millis(WAIT_MS)).await,
            }
        }
    }
}

/// The part of the budget that one answer takes, until it is dropped.
pub(crate) struct AnswerReservation {
    claim: CallerClaim,
    bytes: u64,
}

impl AnswerReservation {
    pub(crate) fn new(claim: &CallerClaim) -> Self {
        Self { claim: claim.clone(), bytes: 0 }
    }

    /// Takes this part of the budget instead of what was taken; returns `false` if there is too little.
    pub(crate) async fn resize(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes).await;
        }
        self.shrink(self.bytes - bytes);
        true
    }

    /// Takes more of the budget; returns `false` if there is too little. Waits for answers that are being
    /// read.
    pub(crate) async fn grow(&mut self, bytes: u64) -> bool {
        let (id, more) = (self.claim.id, Bytes::new(bytes));
        loop {
            match self.claim.memory.decide(|budget, now| budget.grow_answer(id, more, now)) {
                Grant::Granted => break,
                Grant::Refused(_) => return false,
                Grant::Wait => task::sleep(Duration::from_millis(WAIT_MS)).await,
            }
        }
        self.bytes += bytes;
        true
    }

    fn shrink(&mut self, bytes: u64) {
        if bytes > 0 {
            self.bytes -= bytes;
            let id = self.claim.id;
            self.claim.memory.record(|budget, _| budget.shrink_answer(id, Bytes::new(bytes)));
        }
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// Collects a body from several reads. Its capacity is asked for before it grows.
#[derive(Default)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    limit_bytes: u64,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most this many bytes. It holds nothing yet.
    pub(crate) fn new(limit_bytes: u64) -> Self {
        Self { bytes: Vec::new(), limit_bytes }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether a part would exceed the limit.
    pub(crate) fn exceeds_limit(&self, part: &[u8]) -> bool {
        (self.bytes.len() + part.len()) as u64 > self.limit_bytes
    }

    /// Returns by how much the capacity has to grow for a part.
    pub(crate) fn growth(&self, part: &[u8]) -> u64 {
        let (needed, capacity) = (self.bytes.len() + part.len(), self.bytes.capacity());
        match needed > capacity {
            true => {
                body_capacity(capacity as u64, needed as u64, self.limit_bytes) - capacity as u64
            }
            false => 0,
        }
    }

    pub(crate) fn append(&mut self, part: &[u8]) {
        let growth = self.growth(part) as usize;
        if growth > 0 {
            let capacity = self.bytes.capacity() + growth;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
    }

    pub(crate) fn freeze(self) -> Buffer {
        self.bytes.into()
    }
}
