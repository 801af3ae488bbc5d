//! The engine with threads and time.

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
use super::deployment::OrderProgress;
use super::faults::{FaultAction, FaultCommand};
use super::scheduler::RunId;

/// Connections in a shard at which those that are closed are removed.
const MAX_CLOSED_CONNECTIONS: usize = 64;

/// What the stream of a run waits for.
pub(crate) struct RunWaiter {
    /// Gets the digest of the answer when prefill is complete.
    pub(crate) decode: oneshot::Receiver<String>,
    /// Ends when the run was cancelled or the engine crashed.
    pub(crate) ended: oneshot::Receiver<()>,
}

/// The other end of a [`RunWaiter`]; dropping it ends the stream.
struct RunEntry {
    decode: Option<oneshot::Sender<String>>,
    _ended: oneshot::Sender<()>,
    connection: ConnectionHandle,
}

/// An engine that several connections use.
///
/// The core is one scheduler and has one lock; the streams' signals are in shards. No two locks are
/// held at once.
pub struct Engine {
    config: EngineConfig,
    clock: Arc<dyn Clock>,
    core: Mutex<EngineCore>,
    entries: Sharded<SortedMap<RunId, RunEntry>>,
    /// The connections by number, which a crash closes.
    connections: Sharded<SortedMap<u64, WeakConnection>>,
    next_run: AtomicU64,
    /// Connections with a smaller number are silent.
    first_sound_connection: AtomicU64,
    /// Connections with a smaller number belong to an incarnation that crashed.
    first_live_connection: AtomicU64,
    wake: Sender<()>,
}

impl Engine {
    /// Starts an engine and the task that drives it, which ends when the engine is dropped.
    pub fn start(config: EngineConfig, clock: Arc<dyn Clock>) -> Arc<Self> {
        let (wake, woken) = bounded(1);
        let core = EngineCore::new(config.clone(), clock.now());
        let engine = Arc::new(Self {
            config,
            clock,
            core: Mutex::new(core),
            entries: Sharded::default(),
            connections: Sharded::default(),
            next_run: AtomicU64::new(0),
            first_sound_connection: AtomicU64::new(0),
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

    /// Runs `action` on the core and then passes on the signals that it caused.
    pub fn with_core<R>(&self, action: impl FnOnce(&mut EngineCore, Instant) -> R) -> R {
        let now = self.clock.now();
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let crashes = core.stats().crashes;
        let result = action(&mut core, now);
        let signals = core.take_signals();
        let has_crashed = core.stats().crashes != crashes;
        drop(core);
        if has_crashed {
            self.after_crash();
        }
        signals.into_iter().for_each(|signal| self.pass_on(signal));
        result
    }

    /// Submits a request; the waiter belongs to its stream.
    pub(crate) fn submit(
        &self,
        request: RunRequest,
        connection: &ConnectionHandle,
    ) -> Result<(RunId, RunWaiter), SubmitError> {
        let run = RunId::new(self.next_run.fetch_add(1, Ordering::Relaxed));
        let (decode_sender, decode) = oneshot::channel();
        let (ended_sender, ended) = oneshot::channel();
        let entry = RunEntry {
            decode: Some(decode_sender),
            _ended: ended_sender,
            connection: connection.clone(),
        };
        // The entry is there before the core knows the run, so no signal can miss it.
        self.entries.with(&run, |shard| shard.insert(run, entry));
        let result = self.with_core(|core, now| core.submit(run, request, now));
        self.wake_driver();
        match result {
            Ok(()) => Ok((run, RunWaiter { decode, ended })),
            Err(error) => {
                self.forget(run);
                Err(error)
            }
        }
    }

    /// Drops the signals of a run.
    pub(crate) fn forget(&self, run: RunId) {
        self.entries.with(&run, |shard| shard.remove(&run));
    }

    fn pass_on(&self, signal: RunSignal) {
        match signal {
            RunSignal::Decode(run, digest) => self.entries.with(&run, |shard| {
                let sender = shard.get_mut(&run).and_then(|entry| entry.decode.take());
                // The stream may have ended in between.
                let _ = sender.map(|sender| sender.send(digest));
            }),
            RunSignal::Cancelled(run) => self.forget(run),
            RunSignal::Crashed(run) => {
                let entry = self.entries.with(&run, |shard| shard.remove(&run));
                // Closing first keeps the end of the body from being sent.
                entry.into_iter().for_each(|entry| entry.connection.abort());
            }
        }
    }

    fn after_crash(&self) {
        if self.config.exits_on_crash {
            log::error!("the engine crashed");
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

    /// Notes a connection, so that a crash closes it.
    pub(crate) fn note_connection(&self, connection: &ConnectionHandle) {
        let number = connection.number();
        self.connections.with(&number, |shard| {
            if shard.contains_key(&number) {
                return;
            }
            if shard.len() >= MAX_CLOSED_CONNECTIONS {
                shard.retain(|_, weak| weak.upgrade().is_some());
            }
            shard.insert(number, connection.downgrade());
        });
    }

    /// Carries out an order; returns false if it is refused or another order replaces it.
    pub(crate) async fn carry_out(&self, order: &Order) -> bool {
        if !self.with_core(|core, now| core.start_order(order, now)) {
            return false;
        }
        self.wake_driver();
        loop {
            match self.with_core(|core, now| core.order_progress(order, now)) {
                OrderProgress::Done => return true,
                OrderProgress::Replaced => return false,
                OrderProgress::Until(end) => self.sleep_until(end).await,
            }
        }
    }

    /// Switches faults.
    pub fn command_faults(&self, command: FaultCommand) {
        if let Some(faults) = command.set {
            self.with_core(|core, _| core.set_faults(faults));
        }
        for action in command.actions {
            if action == FaultAction::SilenceConnections {
                let next = ConnectionHandle::next_number();
                self.first_sound_connection.store(next, Ordering::Release);
            }
            self.with_core(|core, now| core.act(action, now));
        }
        self.wake_driver();
    }

    /// Returns whether a connection has gone silent.
    pub(crate) fn is_silent(&self, connection: &ConnectionHandle) -> bool {
        connection.number() < self.first_sound_connection.load(Ordering::Acquire)
    }

    /// Returns whether the process that accepted a connection has crashed.
    pub(crate) fn is_dead(&self, connection: &ConnectionHandle) -> bool {
        connection.number() < self.first_live_connection.load(Ordering::Acquire)
    }

    pub(crate) async fn sleep_until(&self, end: Instant) {
        sleep_until(&*self.clock, Deadline::after_ms(end, 0)).await;
    }

    pub(crate) fn wake_driver(&self) {
        // If the channel is full, the driver is going to look anyway.
        let _ = self.wake.try_send(());
    }
}

/// Advances the core whenever something is due.
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
