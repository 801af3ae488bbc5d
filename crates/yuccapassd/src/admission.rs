//! Requests that wait until an endpoint has room for them.

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

/// Most waiting requests of one class for one model.
const MAX_WAITING_PER_CLASS: usize = 2_000;

/// Window over which the rate of leaving the queue is measured.
const RATE_WINDOW_MS: u64 = 5_000;

/// Assumed until a rate was measured: a small engine's prefill rate.
const INITIAL_RATE: TokensPerSecond = TokensPerSecond::new(5_000);

/// Wake-ups that may wait for the dispatcher; a lost one is made up for by the next period.
const MAX_PENDING_WAKES: usize = 1_024;

/// What a waiting request is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// There is room now.
    Go,
    /// It does not get its turn.
    Rejected(ResultCode),
}

/// Counts tokens over two windows.
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

struct ModelQueue {
    queue: FairQueue,
    waiters: SortedMap<RequestId, Sender<Turn>>,
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
    fn tell(&mut self, id: &RequestId, turn: Turn) {
        if let Some(waiter) = self.waiters.remove(id) {
            // A waiter that is gone has cancelled; its room is offered again by the next wake.
            let _ = waiter.try_send(turn);
        }
    }
}

/// The queues of all models.
pub(crate) struct Admission {
    queues: Sharded<SortedMap<ModelId, ModelQueue>>,
    wake: Sender<ModelId>,
    clock: Arc<dyn Clock>,
}

impl Admission {
    /// Makes empty queues and the receiver of the models that may have room again.
    pub(crate) fn new(clock: Arc<dyn Clock>) -> (Self, Receiver<ModelId>) {
        let (wake, woken) = bounded(MAX_PENDING_WAKES);
        (Self { queues: Sharded::default(), wake, clock }, woken)
    }

    /// Returns whether requests wait for a model, so that a new one must not pass them.
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

    /// Returns how many requests wait.
    pub(crate) fn waiting_requests(&self) -> u32 {
        self.queues.fold(0, |sum, shard| {
            sum + shard.values().map(|model_queue| model_queue.queue.len() as u32).sum::<u32>()
        })
    }

    /// Tells that a model may have room.
    pub(crate) fn wake(&self, model: &ModelId) {
        let _ = self.wake.try_send(model.clone());
    }

    /// Counts a request that was sent.
    pub(crate) fn sent(&self, model: &ModelId, cost: Tokens) {
        let now = self.clock.now();
        self.with_queue(model, |model_queue| model_queue.rate.record(cost, now));
    }

    /// Waits until it is the turn of a request.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full, or the deadline passes or cannot be kept.
    pub(crate) async fn wait_turn(
        &self,
        model: &ModelId,
        request: QueuedRequest,
    ) -> Result<(), Failure> {
        let deadline = request.deadline;
        let id = request.id.clone();
        let turn = self.push(model, request)?;
        let _guard = WaitGuard { admission: self, model, id: &id };
        self.wake(model);
        match with_deadline(&*self.clock, deadline, turn.recv()).await {
            Ok(Ok(Turn::Go)) => Ok(()),
            Ok(Ok(Turn::Rejected(code))) => Err(Failure::not_run(code).retry_after_ms(1_000)),
            Ok(Err(_)) => Err(Failure::not_run(ResultCode::Internal)),
            Err(_) => Err(Failure::not_run(ResultCode::DeadlinePassed)),
        }
    }

    fn push(&self, model: &ModelId, request: QueuedRequest) -> Result<Receiver<Turn>, Failure> {
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
                        model_queue.tell(&displaced.id, Turn::Rejected(ResultCode::QueueFull));
                    }
                    let (sender, receiver) = bounded(1);
                    model_queue.waiters.insert(id, sender);
                    Ok(receiver)
                }
            }
        })
    }

    /// Lets the next request of a model go, and rejects those whose deadline passed.
    pub(crate) fn release_next(&self, model: &ModelId) {
        let now = self.clock.now();
        self.with_queue(model, |model_queue| {
            let PopOutcome { next, expired } = model_queue.queue.pop(now);
            for request in expired {
                model_queue.tell(&request.id, Turn::Rejected(ResultCode::DeadlinePassed));
            }
            if let Some(request) = next {
                model_queue.tell(&request.id, Turn::Go);
            }
        });
    }

    fn with_queue<R>(&self, model: &ModelId, action: impl FnOnce(&mut ModelQueue) -> R) -> R {
        self.queues.with(model, |shard| {
            action(shard.get_or_insert_with(model.clone(), ModelQueue::default))
        })
    }
}

/// Takes a request out of its queue when its caller leaves.
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
        // The room that this request was told of may go to the next one.
        self.admission.wake(self.model);
    }
}
