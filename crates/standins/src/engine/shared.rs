//! The engine as several threads use it, driven by a clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use futures::channel::oneshot;
use futures::future::{Either, select};
use futures::pin_mut;
use yuccapass_endpoints::Order;
use yuccapass_http::{ConnectionHandle, WeakConnection, sleep_until};
use yuccapass_types::{Clock, Deadline, Instant, Sharded, SortedMap};

use super::config::EngineConfig;
use super::core::{EngineCore, RunRequest, RunSignal, SubmitError};
use super::faults::{FaultAction, FaultCommand};
use super::scheduler::RunId;
use super::serving_state::OrderProgress;

/// Number of connections in a shard from which on closed ones are removed before another is added.
const CONNECTION_PRUNE_THRESHOLD: usize = 64;

/// The receiving ends through which a run's stream is notified.
pub(crate) struct RunReceivers {
    /// Receives the digest of the answer when prefill is complete.
    pub(crate) decode: oneshot::Receiver<String>,
    /// Completes when the run is cancelled or the engine crashes.
    pub(crate) ended: oneshot::Receiver<()>,
}

/// The sending ends of [`RunReceivers`], and the stream's connection. Dropping it ends the stream.
struct StreamSenders {
    decode: Option<oneshot::Sender<String>>,
    _ended: oneshot::Sender<()>,
    connection: ConnectionHandle,
}

/// An engine that serves several connections.
///
/// The core schedules all runs together and so has a single lock; the state of streams and of
/// connections is in shards. No two locks are held at once.
pub struct Engine {
    config: EngineConfig,
    clock: Arc<dyn Clock>,
    core: Mutex<EngineCore>,
    stream_senders: Sharded<SortedMap<RunId, StreamSenders>>,
    /// The connections that a crash closes, by number.
    connections: Sharded<SortedMap<u64, WeakConnection>>,
    next_run: AtomicU64,
    /// Connections with a smaller number are silent.
    first_responsive_connection: AtomicU64,
    /// Connections with a smaller number belong to an incarnation that crashed.
    first_live_connection: AtomicU64,
    wake: Sender<()>,
}

impl Engine {
    /// Starts an engine and the task that advances it, which ends when the engine is dropped.
    pub fn start(config: EngineConfig, clock: Arc<dyn Clock>) -> Arc<Self> {
        let (wake, woken) = bounded(1);
        let core = EngineCore::new(config.clone(), clock.now());
        let engine = Arc::new(Self {
            config,
            clock,
            core: Mutex::new(core),
            stream_senders: Sharded::default(),
            connections: Sharded::default(),
            next_run: AtomicU64::new(0),
            first_responsive_connection: AtomicU64::new(0),
            first_live_connection: AtomicU64::new(0),
            wake,
        });
        task::spawn(drive(Arc::downgrade(&engine), woken));
        engine
    }

    pub(crate) fn config(&self) -> &EngineConfig {
        &self.config
    }

    pub(crate) fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Runs `action` on the core and then delivers the signals that it caused to the streams.
    pub fn with_core<R>(&self, action: impl FnOnce(&mut EngineCore, Instant) -> R) -> R {
        let now = self.clock.now();
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let crashes = core.stats().crashes;
        let result = action(&mut core, now);
        let signals = core.take_signals();
        let has_crashed = core.stats().crashes != crashes;
        drop(core);
        if has_crashed {
            self.handle_crash();
        }
        signals.into_iter().for_each(|signal| self.deliver_signal(signal));
        result
    }

    /// Submits a request; the returned receivers are for its stream.
    pub(crate) fn submit(
        &self,
        request: RunRequest,
        connection: &ConnectionHandle,
    ) -> Result<(RunId, RunReceivers), SubmitError> {
        let run = RunId::new(self.next_run.fetch_add(1, Ordering::Relaxed));
        let (decode_sender, decode) = oneshot::channel();
        let (ended_sender, ended) = oneshot::channel();
        let senders = StreamSenders {
            decode: Some(decode_sender),
            _ended: ended_sender,
            connection: connection.clone(),
        };
        // Inserted before the core knows the run, so that no signal to the stream is lost.
        self.stream_senders.with(&run, |shard| shard.insert(run, senders));
        let result = self.with_core(|core, now| core.submit(run, request, now));
        self.wake_driver();
        match result {
            Ok(()) => Ok((run, RunReceivers { decode, ended })),
            Err(error) => {
                self.remove_stream(run);
                Err(error)
            }
        }
    }

    /// Drops the sending ends of a run, which ends its stream.
    pub(crate) fn remove_stream(&self, run: RunId) {
        self.stream_senders.with(&run, |shard| shard.remove(&run));
    }

    fn deliver_signal(&self, signal: RunSignal) {
        match signal {
            RunSignal::Decode(run, digest) => self.stream_senders.with(&run, |shard| {
                let sender = shard.get_mut(&run).and_then(|senders| senders.decode.take());
                // The stream may have ended in the meantime.
                let _ = sender.map(|sender| sender.send(digest));
            }),
            RunSignal::Cancelled(run) => self.remove_stream(run),
            RunSignal::Crashed(run) => {
                let senders = self.stream_senders.with(&run, |shard| shard.remove(&run));
                // Aborted before the senders are dropped, so that the body ends without its
                // terminating chunk.
                senders.into_iter().for_each(|senders| senders.connection.abort());
            }
        }
    }

    fn handle_crash(&self) {
        if self.config.exits_on_crash {
            log::error!("the engine crashed; the process ends with exit code 1");
            std::process::exit(1);
        }
        let next = ConnectionHandle::next_number();
        self.first_live_connection.store(next, Ordering::Release);
        let handles = self.connections.fold(Vec::new(), |mut handles, shard| {
            handles.extend(shard.values().filter_map(WeakConnection::upgrade));
            *shard = SortedMap::new();
            handles
        });
        handles.iter().for_each(ConnectionHandle::abort);
    }

    /// Registers a connection, so that a crash closes it.
    pub(crate) fn register_connection(&self, connection: &ConnectionHandle) {
        let number = connection.number();
        self.connections.with(&number, |shard| {
            if shard.contains_key(&number) {
                return;
            }
            if shard.len() >= CONNECTION_PRUNE_THRESHOLD {
                shard.retain(|_, weak| weak.upgrade().is_some());
            }
            shard.insert(number, connection.downgrade());
        });
    }

    /// Executes an order to its end; returns false if it is refused or another order replaces it.
    pub(crate) async fn execute_order(&self, order: &Order) -> bool {
        if !self.with_core(|core, now| core.start_order(order, now)) {
            return false;
        }
        self.wake_driver();
        loop {
            match self.with_core(|core, now| core.order_progress(order, now)) {
                OrderProgress::Done => return true,
                OrderProgress::Replaced => return false,
                OrderProgress::DueAt(end) => self.sleep_until(end).await,
            }
        }
    }

    /// Replaces the set of faults and triggers one-time faults.
    pub fn apply_fault_command(&self, command: FaultCommand) {
        if let Some(faults) = command.set {
            self.with_core(|core, _| core.set_faults(faults));
        }
        for action in command.actions {
            if action == FaultAction::SilenceConnections {
                let next = ConnectionHandle::next_number();
                self.first_responsive_connection.store(next, Ordering::Release);
            }
            self.with_core(|core, now| core.trigger_fault(action, now));
        }
        self.wake_driver();
    }

    /// Returns whether nothing may be sent on a connection any more.
    pub(crate) fn is_silent(&self, connection: &ConnectionHandle) -> bool {
        connection.number() < self.first_responsive_connection.load(Ordering::Acquire)
    }

    /// Returns whether the incarnation that accepted a connection has crashed.
    pub(crate) fn is_from_crashed_incarnation(&self, connection: &ConnectionHandle) -> bool {
        connection.number() < self.first_live_connection.load(Ordering::Acquire)
    }

    pub(crate) async fn sleep_until(&self, end: Instant) {
        sleep_until(&*self.clock, Deadline::after_ms(end, 0)).await;
    }

    pub(crate) fn wake_driver(&self) {
        // A full channel means that a wake-up is pending already.
        let _ = self.wake.try_send(());
    }
}

/// Advances the core whenever a change is due or the engine wakes this task.
async fn drive(engine: Weak<Engine>, woken: Receiver<()>) {
    loop {
        let Some(strong) = engine.upgrade() else { return };
        let next = strong.with_core(|core, now| {
            core.advance(now);
            core.next_change()
        });
        let clock = Arc::clone(&strong.clock);
        drop(strong);
        let waking = woken.recv();
        let deadline = next.map_or(Deadline::NEVER, |next| Deadline::after_ms(next, 0));
        let due = sleep_until(&*clock, deadline);
        pin_mut!(waking, due);
        if let Either::Left((Err(_), _)) = select(waking, due).await {
            return;
        }
    }
}
