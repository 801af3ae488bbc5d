//! Elects a leader among the nodes, which orders endpoints to swap to new weights.
//!
//! The leader holds a lock in the platform's key-value service. The lock has a fencing number that
//! grows with each holder, and each order carries it. A leader keeps the lock for as long as it
//! runs, so that orders come from one node in sequence. A new leader delays its first order until
//! enough time has passed since the last order of the previous leader. One that stops as planned hands over
//! what is left of that time, see `yuccapass_decisions::gateway::Takeover`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use bytes::Bytes;
use futures::future::{Either, select};
use serde::{Deserialize, Serialize};
use yuccapass_decisions::gateway::{
    EndpointRecord, EngineReport, Handover, ReplacedWeights, SwapPlan, SwapStep, Takeover,
    candidate_delay_ms,
};
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank, LeaseTerms};
use yuccapass_http::message::{Connection, MessageError};
use yuccapass_http::{sleep_until, with_deadline};
use yuccapass_platform::{
    Compare, Entry, Key, KeyValue, KeyValueClient, LeaseLock, LockStatus, PlatformClient,
    Transaction, Value, Write,
};
use yuccapass_types::{Deadline, EndpointId, FencingNumber, Instant, ModelId, WeightRevision};

use crate::exchange::exchange;
use crate::membership::SWAP_LOCK_PREFIX;
use crate::protocol::{EngineProtocol, OrderOutcome, WeightOrder};
use crate::state::Shared;

/// Time to live of the lock's lease. After a leader has failed, no endpoint gets new weights until
/// the lease has expired and the next leader has waited, so it is as short as slow answers of the
/// key-value service allow.
const LEASE_TTL_MS: u64 = 2_000;

/// How long before the end of its lease a leader stops giving orders.
const LEASE_MARGIN_MS: u64 = 500;

/// Timeout of a call to acquire, renew or release the lock.
const LOCK_CALL_TIMEOUT_MS: u64 = 1_200;

/// Timeout of reading or writing what one leader hands over to the next. Without an answer the next one
/// waits for the longest time, and the lease must be renewed meanwhile.
const HANDOVER_TIMEOUT_MS: u64 = 500;

/// Maximum time between two checks of the lock.
const LOCK_PERIOD_MS: u64 = 500;

/// Period of polling an engine that is carrying out an order.
const REPORT_PERIOD_MS: u64 = 200;

/// Timeout of a report request or an order to an engine.
const ENGINE_CALL_TIMEOUT_MS: u64 = 800;

/// Time after which reports show an accepted order. If one does not, the engine has restarted since.
const REPORT_AGE_MS: u64 = 1_500;

/// Timeout of a swap: an engine may first have to finish requests that run for many seconds.
const SWAP_TIMEOUT_MS: u64 = 20_000;

/// Time after which an order that an engine declined is repeated.
const DECLINED_RETRY_MS: u64 = 300;

/// The form of a [`Handover`] in the key-value service.
#[derive(Debug, Serialize, Deserialize)]
struct HandoverEntry {
    fencing: u64,
    wait_ms: u64,
}

impl From<Handover> for HandoverEntry {
    fn from(handover: Handover) -> Self {
        Self { fencing: handover.fencing.get(), wait_ms: handover.wait_ms }
    }
}

impl HandoverEntry {
    fn handover(&self) -> Handover {
        Handover { fencing: FencingNumber::new(self.fencing), wait_ms: self.wait_ms }
    }
}

struct LeaderState {
    plan: SwapPlan,
    // Since when there has been no holder, if there is none.
    free_since: Option<Instant>,
    // When this node may give orders; set when it becomes the leader.
    takeover: Option<Takeover>,
    replaced: ReplacedWeights,
}

/// Takes part in the election, and orders the swaps if this node is the leader.
pub(crate) struct SwapLeader {
    shared: Arc<Shared>,
    engine_protocol: Arc<dyn EngineProtocol>,
    lock: LeaseLock,
    key_value: KeyValueClient,
    holder_key: Key,
    handover_key: Key,
    // Whether this node gives no more orders, because its process is about to end.
    is_releasing: AtomicBool,
    state: Mutex<LeaderState>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl SwapLeader {
    pub(crate) fn new(
        shared: Arc<Shared>,
        platform: &Arc<PlatformClient>,
        engine_protocol: Arc<dyn EngineProtocol>,
    ) -> Arc<Self> {
        let name: Key =
            SWAP_LOCK_PREFIX.trim_end_matches('/').parse().expect("the lock's name is a valid key");
        let holder_key = name.child("holder").expect("the holder's key is a valid key");
        let handover_key = name.child("handover").expect("the handover's key is a valid key");
        let key_value = platform.key_value(CallRank::Lease).with_purpose(CallPurpose::WeightSwaps);
        let lock = LeaseLock::new(
            key_value.clone(),
            &name,
            shared.options.node.clone(),
            LeaseTerms::new(LEASE_TTL_MS).margin_ms(LEASE_MARGIN_MS),
        )
        .expect("the lock's keys are valid keys");
        let state = LeaderState {
            plan: SwapPlan::new(shared.options.swap_limits),
            free_since: None,
            takeover: None,
            replaced: ReplacedWeights::default(),
        };
        let (wake_sender, wake_receiver) = bounded(1);
        Arc::new(Self {
            shared,
            engine_protocol,
            lock,
            key_value,
            holder_key,
            handover_key,
            is_releasing: AtomicBool::new(false),
            state: Mutex::new(state),
            wake_sender,
            wake_receiver,
        })
    }

    /// Returns the fencing number and a condition for transactions while this node holds the lock.
    pub(crate) fn held(&self) -> Option<(FencingNumber, Compare)> {
        let permit = self.lock.permit().filter(|_| !self.is_releasing.load(Ordering::Acquire))?;
        Some((permit.fencing, self.lock.held_condition()?))
    }

    /// Learns about the lock from the entries of a transaction with that condition that failed.
    pub(crate) fn record_entries(&self, entries: &[Entry]) {
        self.lock.record_entries(entries);
    }

    /// Wakes the task, because there may be something to do.
    pub(crate) fn wake(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake_sender.try_send(());
    }

    pub(crate) fn is_holder_key(&self, key: &Key) -> bool {
        *key == self.holder_key
    }

    /// Records whether any node holds the lock.
    pub(crate) fn set_has_holder(&self, has_holder: bool) {
        let now = self.shared.now();
        {
            let mut state = self.state();
            state.free_since = (!has_holder).then(|| state.free_since.unwrap_or(now));
        }
        self.wake();
    }

    /// Returns when this node may try to acquire the lock, or `None` if another node holds it or the
    /// nodes are not known yet.
    fn candidate_from(&self, now: Instant) -> Option<Deadline> {
        let rank = {
            let fleet = self.shared.fleet();
            fleet.is_known().then(|| fleet.rank(now))?
        };
        let free_since = self.state().free_since?;
        Some(Deadline::after_ms(free_since, candidate_delay_ms(rank)))
    }

    /// Releases the lock before the process ends, which it does at `limit` at the latest. It gives no more
    /// orders and waits first, so that the last one is at least `LEASE_MARGIN_MS` in the past, as it is
    /// when a lease expires.
    pub(crate) async fn release(&self, limit: Deadline) {
        self.is_releasing.store(true, Ordering::Release);
        if self.lock.permit().is_none() {
            return;
        }
        task::sleep(Duration::from_millis(LEASE_MARGIN_MS)).await;
        self.hand_over().await;
        let deadline = Deadline::after_ms(self.shared.now(), LOCK_CALL_TIMEOUT_MS).earlier(limit);
        if self.lock.permit().is_some()
            && let Err(error) = self.lock.release(deadline).await
        {
            log::warn!(
                error:%; "the lock for weight swaps could not be released; its lease will expire"
            );
        }
    }

    /// Acquires the lock whenever no other node holds it, and orders swaps while this node holds
    /// it, until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let wake_at = self.step().await;
            let sleeping = Box::pin(sleep_until(&*self.shared.clock, wake_at));
            let waking = Box::pin(self.wake_receiver.recv());
            if let Either::Right((Err(_), sleeping)) = select(sleeping, waking).await {
                // This cannot happen: the sender lives as long as this value.
                sleeping.await;
            }
        }
    }

    async fn step(self: &Arc<Self>) -> Deadline {
        let now = self.shared.now();
        let next_check = Deadline::after_ms(now, LOCK_PERIOD_MS);
        if self.is_releasing.load(Ordering::Acquire) {
            return next_check;
        }
        if self.lock.permit().is_none() {
            self.clear_lost_leadership();
            // A leader that stops goes on while its process runs; the next one may have to wait.
            if self.shared.is_stopping() {
                return next_check;
            }
            match self.candidate_from(now) {
                // What an acquisition has left behind keeps the lock from being free.
                _ if self.lock.is_unsettled() => {}
                Some(from) if from.has_passed(now) => {}
                Some(from) => return next_check.earlier(from),
                None => return next_check,
            }
            if let Some(instant) = self.lock.waits_until().filter(|_| !self.lock.is_unsettled()) {
                return next_check.earlier(Deadline::after_ms(instant, 0));
            }
        }
        let deadline = Deadline::after_ms(now, LOCK_CALL_TIMEOUT_MS);
        match self.lock.step(deadline).await {
            Ok(LockStatus::Held(next)) => {
                self.take_over().await;
                self.start_swaps();
                next_check.earlier(Deadline::after_ms(next, 0))
            }
            Ok(LockStatus::HeldByOther) => {
                self.clear_lost_leadership();
                if let Some(instant) = self.lock.waits_until() {
                    // The lock may be free, and then no watch would tell that again.
                    return next_check.earlier(Deadline::after_ms(instant, 0));
                }
                self.state().free_since = None;
                next_check
            }
            Err(error) => {
                log::warn!(error:%; "the lock for weight swaps could not be acquired or renewed");
                self.clear_lost_leadership();
                next_check
            }
        }
    }

    fn clear_lost_leadership(&self) {
        if self.lock.permit().is_none() && self.state().takeover.take().is_some() {
            log::info!("this node no longer orders weight swaps");
        }
    }

    /// Begins the time of this node as the leader, unless it has begun.
    async fn take_over(&self) {
        let Some(permit) = self.lock.permit() else { return };
        if self.state().takeover.is_some_and(|takeover| takeover.is_of(permit.fencing)) {
            return;
        }
        let handover = self.read_handover().await;
        let now = self.shared.now();
        let takeover = Takeover::new(permit.fencing, self.takeover_ms(), handover, now);
        let wait_ms = takeover.first_order_at().ms_since(now);
        log::info!(
            fencing = permit.fencing.get(), wait_ms, is_handed_over = handover.is_some();
            "this node now orders weight swaps"
        );
        self.state().takeover = Some(takeover);
    }

    async fn read_handover(&self) -> Option<Handover> {
        let deadline = Deadline::after_ms(self.shared.now(), HANDOVER_TIMEOUT_MS);
        let read = self.key_value.get(&self.handover_key, deadline).await;
        let entry = match read {
            Ok(answer) => answer.entry?,
            Err(error) => {
                log::info!(error:%; "the handover of the previous leader could not be read");
                return None;
            }
        };
        let decoded: Result<HandoverEntry, _> = serde_json::from_slice(entry.value.as_bytes());
        match decoded {
            Ok(entry) => Some(entry.handover()),
            Err(error) => {
                log::warn!(error:%; "the handover of the previous leader could not be decoded");
                None
            }
        }
    }

    /// Tells the next leader how long it has to wait. Without that it waits for the longest time. The entry
    /// counts for the next number only, so it does no harm if another leader has followed meanwhile.
    async fn hand_over(&self) {
        let takeover_ms = self.shared.options.swap_limits.takeover_ms;
        let Some(permit) = self.lock.permit() else { return };
        let takeover = self.state().takeover.filter(|takeover| takeover.is_of(permit.fencing));
        let Some(takeover) = takeover else { return };
        let entry = HandoverEntry::from(takeover.handover(takeover_ms, self.shared.now()));
        let bytes = serde_json::to_vec(&entry).expect("two numbers can be encoded");
        let value = Value::new(bytes).expect("two numbers are shorter than the longest value");
        let transaction = Transaction {
            compares: Vec::new(),
            writes: vec![Write::Put { key: self.handover_key.clone(), value, lease: None }],
        };
        let deadline = Deadline::after_ms(self.shared.now(), HANDOVER_TIMEOUT_MS);
        if let Err(error) = self.key_value.compare_and_swap(&transaction, deadline).await {
            log::info!(error:%; "the next leader could not be told when the last order was given");
        }
    }

    /// Records an order that is given now, so that a next leader keeps its distance.
    fn record_order(&self) {
        let now = self.shared.now();
        if let Some(takeover) = &mut self.state().takeover {
            takeover.record_order(now);
        }
    }

    /// Starts the swaps that are allowed now.
    fn start_swaps(self: &Arc<Self>) {
        let Some(permit) = self.lock.permit() else { return };
        let now = self.shared.now();
        let directory = self.shared.directory();
        let mut state = self.state();
        if !state.takeover.is_some_and(|takeover| takeover.may_order(permit.fencing, now)) {
            return;
        }
        while let SwapStep::Order(endpoint, model, weights) = state.plan.step(&directory, now) {
            let Some(record) = directory.endpoint(&endpoint).cloned() else { return };
            state.plan.record_started(endpoint.clone(), model.clone());
            let swap_leader = Arc::clone(self);
            task::spawn(async move { swap_leader.swap(endpoint, record, model, weights).await });
        }
    }

    /// Orders an endpoint to swap, and waits until it serves the weights.
    async fn swap(
        self: Arc<Self>,
        endpoint: EndpointId,
        record: EndpointRecord,
        model: ModelId,
        weights: WeightRevision,
    ) {
        let limit = Deadline::after_ms(self.shared.now(), SWAP_TIMEOUT_MS);
        let mut ordered: Option<AcceptedOrder> = None;
        // An endpoint that is carrying out an order counts as swapping, whatever was named since.
        while (ordered.is_some() || self.is_target(&model, weights))
            && self.is_registered(&endpoint, &record)
            && !limit.has_passed(self.shared.now())
        {
            let next = self.advance_swap(&endpoint, &record, &model, weights, ordered).await;
            match next {
                Ok(SwapProgress::Serves) => {
                    self.state().plan.record_completed(endpoint.clone(), model.clone(), weights);
                    log::info!(
                        endpoint = endpoint.as_str(), model = model.as_str(),
                        weights = weights.get();
                        "an endpoint serves new weights"
                    );
                    self.wake();
                    return;
                }
                Ok(SwapProgress::Ordered(order)) => ordered = Some(order),
                Ok(SwapProgress::Busy) => {}
                Ok(SwapProgress::Declined) => break,
                Err(error) => {
                    log::warn!(
                        endpoint = endpoint.as_str(), error:%;
                        "a report request or an order to an endpoint failed"
                    );
                    // The next report shows whether the order has arrived.
                    ordered = None;
                }
            }
            task::sleep(Duration::from_millis(REPORT_PERIOD_MS)).await;
        }
        let now = self.shared.now();
        self.state().plan.record_declined(endpoint, model, DECLINED_RETRY_MS, now);
        self.wake();
    }

    /// Returns the oldest weights whose parts in stores are still needed. `None` if this node is
    /// not the leader, or cannot tell yet.
    pub(crate) fn oldest_needed(&self) -> Option<WeightRevision> {
        self.lock.permit()?;
        let directory = self.shared.directory();
        self.state().replaced.oldest_needed(&directory, self.shared.now())
    }

    /// Returns whether these are still the target weights.
    fn is_target(&self, model: &ModelId, weights: WeightRevision) -> bool {
        let target = self.shared.directory().target_weights(model);
        target.is_some_and(|target| target.weights == weights)
    }

    /// Returns whether this process of the endpoint has not left.
    fn is_registered(&self, endpoint: &EndpointId, record: &EndpointRecord) -> bool {
        let directory = self.shared.directory();
        directory.endpoint(endpoint).is_some_and(|current| current.is_same_process(record))
    }

    async fn advance_swap(
        &self,
        endpoint: &EndpointId,
        record: &EndpointRecord,
        model: &ModelId,
        weights: WeightRevision,
        ordered: Option<AcceptedOrder>,
    ) -> Result<SwapProgress, MessageError> {
        let report = self.engine_protocol.report_request(endpoint);
        let (status, body) = self.call(endpoint, record, &report).await?;
        if status != 200 {
            return Ok(SwapProgress::Declined);
        }
        let report = self
            .engine_protocol
            .decode_report(model, &body)
            .map_err(|error| MessageError::Malformed { detail: error.to_string() })?;
        if report.weights >= Some(weights) {
            return Ok(SwapProgress::Serves);
        }
        let now = self.shared.now();
        if report.is_busy || ordered.is_some_and(|order| order.is_running(&report, now)) {
            return Ok(SwapProgress::Busy);
        }
        // Checked immediately before the order, because the lease may have expired meanwhile.
        // A swap may also go on from an earlier time of this node as the leader.
        let takeover = self.state().takeover;
        let may_order = |fencing| takeover.is_some_and(|known| known.may_order(fencing, now));
        let permit = self.lock.permit().filter(|_| !self.is_releasing.load(Ordering::Acquire));
        let Some(permit) = permit.filter(|permit| may_order(permit.fencing)) else {
            return Ok(SwapProgress::Declined);
        };
        let order = WeightOrder {
            endpoint,
            model,
            weights,
            holder: &self.shared.options.node,
            fencing: permit.fencing,
            after_orders: report.accepted_orders,
        };
        let message = self.engine_protocol.order_request(&order);
        self.record_order();
        let sending = self.call(endpoint, record, &message).await;
        self.record_order();
        let (status, _) = sending?;
        let outcome = self.engine_protocol.order_outcome(status);
        log::info!(
            endpoint = endpoint.as_str(), model = model.as_str(), weights = weights.get(),
            fencing = permit.fencing.get(), status, outcome:?;
            "an endpoint was ordered to swap weights"
        );
        Ok(match outcome {
            OrderOutcome::Accepted => {
                let after_orders = report.accepted_orders;
                let visible_at = Deadline::after_ms(self.shared.now(), REPORT_AGE_MS);
                SwapProgress::Ordered(AcceptedOrder { after_orders, visible_at })
            }
            OrderOutcome::Declined => SwapProgress::Busy,
            OrderOutcome::Fenced | OrderOutcome::Invalid => SwapProgress::Declined,
        })
    }

    /// Sends a message to an engine and reads its answer.
    async fn call(
        &self,
        endpoint: &EndpointId,
        record: &EndpointRecord,
        message: &[u8],
    ) -> Result<(u16, Bytes), MessageError> {
        let deadline = Deadline::after_ms(self.shared.now(), ENGINE_CALL_TIMEOUT_MS);
        let exchange = async {
            let connection = self.connect(endpoint, record, deadline).await?;
            let answer = exchange(connection, message).await?;
            if let Some(connection) = answer.connection {
                self.shared.endpoints.put_idle(endpoint, record, connection, &answer.head);
            }
            Ok((answer.head.status, answer.body))
        };
        let timed_out =
            |_| MessageError::Io { source: std::io::Error::from(std::io::ErrorKind::TimedOut) };
        with_deadline(&*self.shared.clock, deadline, exchange).await.map_err(timed_out)?
    }

    async fn connect(
        &self,
        endpoint: &EndpointId,
        record: &EndpointRecord,
        deadline: Deadline,
    ) -> Result<Connection, MessageError> {
        let connecting = self.shared.endpoints.connect(endpoint, record, deadline);
        let (connection, _) = connecting.await.map_err(|source| MessageError::Io { source })?;
        Ok(connection)
    }

    /// Returns how long a new leader waits. The previous one gave no orders in the margin at the
    /// end of its lease, which counts towards the time.
    fn takeover_ms(&self) -> u64 {
        self.shared.options.swap_limits.takeover_ms.saturating_sub(LEASE_MARGIN_MS)
    }

    fn state(&self) -> MutexGuard<'_, LeaderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An order that an engine has accepted.
#[derive(Debug, Clone, Copy)]
struct AcceptedOrder {
    /// Number of orders that the engine had accepted before.
    after_orders: u64,
    /// From when on reports show the order.
    visible_at: Deadline,
}

impl AcceptedOrder {
    /// Returns whether the engine may still carry out the order. After a restart it counts its orders
    /// anew, and has lost this one.
    fn is_running(self, report: &EngineReport, now: Instant) -> bool {
        report.accepted_orders > self.after_orders || !self.visible_at.has_passed(now)
    }
}

/// The state of a swap after an engine was polled.
enum SwapProgress {
    /// The engine serves the weights.
    Serves,
    /// The engine has accepted the order.
    Ordered(AcceptedOrder),
    /// The engine is still carrying out an order, or declined this one because of another.
    Busy,
    /// The engine cannot be ordered now.
    Declined,
}
