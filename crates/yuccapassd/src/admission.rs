//! Queues of requests that wait for capacity at an endpoint.

use std::sync::Arc;

use async_std::channel::{Receiver, Sender, bounded};
use yuccapass_callers::Failure;
use yuccapass_decisions::admission::fair_queue::{
    FairQueue, PopOutcome, PushOutcome, QueuedRequest,
};
use yuccapass_http::with_deadline;
use yuccapass_types::{
    Clock, Instant, ModelId, RequestId, ResultCode, Sharded, SortedMap, Tokens, TokensPerSecond,
};

/// Maximum number of waiting requests of one class for one model.
const MAX_WAITING_PER_CLASS: usize = 2_000;

/// Window over which the rate of sent tokens is measured.
const RATE_WINDOW_MS: u64 = 5_000;

/// Rate that is assumed before one is measured, and the lowest rate used: a small engine's prefill
/// rate.
const INITIAL_RATE: TokensPerSecond = TokensPerSecond::new(5_000);

/// Maximum number of wake-ups that wait for the dispatcher. It checks all queues periodically, so a
/// dropped wake-up only causes a delay.
const MAX_PENDING_WAKEUPS: usize = 1_024;

/// The signal to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    /// An endpoint has capacity now.
    Proceed,
    /// The request was removed from the queue.
    Rejected(ResultCode),
}

/// Measures the rate of sent tokens over the previous window.
#[derive(Debug, Clone, Copy, Default)]
struct RateMeter {
    window: u64,
    current_tokens: u64,
    previous: Option<u64>,
}

impl RateMeter {
    fn record(&mut self, cost: Tokens, now: Instant) {
        let window = now.as_ms() / RATE_WINDOW_MS;
        if window != self.window {
            let is_next = window == self.window + 1;
            self.previous = is_next.then_some(self.current_tokens);
            self.current_tokens = 0;
            self.window = window;
        }
        self.current_tokens += cost.get();
    }

    fn rate(&self) -> TokensPerSecond {
        let measured = self.previous.map(|tokens| tokens * 1_000 / RATE_WINDOW_MS);
        measured.map_or(INITIAL_RATE, |rate| TokensPerSecond::new(rate).max(INITIAL_RATE))
    }
}

/// The queue of one model, with a channel to each waiting request.
struct ModelQueue {
    queue: FairQueue,
    waiters: SortedMap<RequestId, Sender<Signal>>,
    rate: RateMeter,
}

impl Default for ModelQueue {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(MAX_WAITING_PER_CLASS),
            waiters: SortedMap::new(),
            rate: RateMeter::default(),
        }
    }
}

impl ModelQueue {
    fn notify(&mut self, id: &RequestId, signal: Signal) {
        if let Some(waiter) = self.waiters.remove(id) {
            // Fails only if the request was cancelled; `WaitGuard` then wakes the dispatcher for
            // the next one.
            let _ = waiter.try_send(signal);
        }
    }
}

/// The queues of all models.
pub(crate) struct Admission {
    queues: Sharded<SortedMap<ModelId, ModelQueue>>,
    wakeups: Sender<ModelId>,
    clock: Arc<dyn Clock>,
}

impl Admission {
    /// Creates empty queues, and the receiver of the models that may have capacity again.
    pub(crate) fn new(clock: Arc<dyn Clock>) -> (Self, Receiver<ModelId>) {
        let (wakeups, receiver) = bounded(MAX_PENDING_WAKEUPS);
        (Self { queues: Sharded::default(), wakeups, clock }, receiver)
    }

    /// Returns whether requests wait for a model. A new one must then queue behind them.
    pub(crate) fn has_waiting(&self, model: &ModelId) -> bool {
        self.queues.with(model, |shard| {
            shard.get(model).is_some_and(|model_queue| !model_queue.queue.is_empty())
        })
    }

    /// Returns the models for which requests wait.
    pub(crate) fn waiting_models(&self) -> Vec<ModelId> {
        self.queues.fold(Vec::new(), |mut models, shard| {
            let waiting = shard.iter().filter(|(_, model_queue)| !model_queue.queue.is_empty());
            models.extend(waiting.map(|(model, _)| model.clone()));
            models
        })
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting_requests(&self) -> u32 {
        self.queues.fold(0, |sum, shard| {
            sum + shard.values().map(|model_queue| model_queue.queue.len() as u32).sum::<u32>()
        })
    }

    /// Wakes the dispatcher, because a model may have capacity.
    pub(crate) fn wake(&self, model: &ModelId) {
        let _ = self.wakeups.try_send(model.clone());
    }

    /// Counts a sent request for the token rate.
    pub(crate) fn record_sent(&self, model: &ModelId, cost: Tokens) {
        let now = self.clock.now();
        self.with_queue(model, |model_queue| model_queue.rate.record(cost, now));
    }

    /// Queues a request and waits until it may proceed.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full, the deadline passes, or the request cannot meet its deadline.
    pub(crate) async fn wait_in_queue(
        &self,
        model: &ModelId,
        request: QueuedRequest,
    ) -> Result<(), Failure> {
        let deadline = request.deadline;
        let id = request.id.clone();
        let signal = self.push(model, request)?;
        let _guard = WaitGuard { admission: self, model, id: &id };
        self.wake(model);
        match with_deadline(&*self.clock, deadline, signal.recv()).await {
            Ok(Ok(Signal::Proceed)) => Ok(()),
            Ok(Ok(Signal::Rejected(code))) => Err(Failure::not_run(code).retry_after_ms(1_000)),
            Ok(Err(_)) => Err(Failure::not_run(ResultCode::Internal)),
            Err(_) => Err(Failure::not_run(ResultCode::DeadlinePassed)),
        }
    }

    fn push(&self, model: &ModelId, request: QueuedRequest) -> Result<Receiver<Signal>, Failure> {
        let now = self.clock.now();
        let id = request.id.clone();
        self.with_queue(model, |model_queue| {
            let rate = model_queue.rate.rate();
            match model_queue.queue.push(request, rate, now) {
                PushOutcome::Rejected { code, retry_after_ms } => {
                    Err(Failure::not_run(code).retry_after_ms(retry_after_ms))
                }
                PushOutcome::Queued { displaced, .. } => {
                    if let Some(displaced) = displaced {
                        model_queue.notify(&displaced.id, Signal::Rejected(ResultCode::QueueFull));
                    }
                    let (sender, receiver) = bounded(1);
                    model_queue.waiters.insert(id, sender);
                    Ok(receiver)
                }
            }
        })
    }

    /// Lets the next request of a model proceed, and rejects those whose deadline has passed.
    pub(crate) fn release_next(&self, model: &ModelId) {
        let now = self.clock.now();
        self.with_queue(model, |model_queue| {
            let PopOutcome { next, expired } = model_queue.queue.pop(now);
            for request in expired {
                model_queue.notify(&request.id, Signal::Rejected(ResultCode::DeadlinePassed));
            }
            if let Some(request) = next {
                model_queue.notify(&request.id, Signal::Proceed);
            }
        });
    }

    fn with_queue<R>(&self, model: &ModelId, action: impl FnOnce(&mut ModelQueue) -> R) -> R {
        self.queues.with(model, |shard| {
            action(shard.get_or_insert_with(model.clone(), ModelQueue::default))
        })
    }
}

/// Removes a request from its queue when it stops waiting, also because its caller disconnected.
struct WaitGuard<'a> {
    admission: &'a Admission,
    model: &'a ModelId,
    id: &'a RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.admission.with_queue(self.model, |model_queue| {
            model_queue.waiters.remove(self.id);
            model_queue.queue.cancel(self.id);
        });
        // The capacity that this request was signalled may go to the next one.
        self.admission.wake(self.model);
    }
}
