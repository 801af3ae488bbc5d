//! Requests that wait for an endpoint or a model.

use yuccapass_types::{
    Deadline, Instant, OrganisationId, RequestId, ResultCode, SortedMap, Tokens, TokensPerSecond,
};

use super::class_queue::ClassQueue;

/// Shortest time after which a rejected caller is told to come back.
const LEAST_RETRY_AFTER_MS: u64 = 1_000;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The organisation's share of contended capacity.
    pub share: u32,
    /// Priority of its class; larger runs first.
    pub priority: i32,
    /// Expected tokens, prompt and answer together.
    pub cost: Tokens,
    /// Shortest time that it needs once it runs.
    pub min_run_ms: u64,
    /// When the response is no longer wanted.
    pub deadline: Deadline,
}

/// What became of a request that was to wait. A rejected request has not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PushOutcome {
    /// It waits.
    Queued {
        /// How long it is expected to wait.
        expected_wait_ms: u64,
        /// A request that had to leave for it, to be rejected as not run with
        /// [`ResultCode::QueueFull`].
        displaced: Option<Box<QueuedRequest>>,
    },
    /// It does not wait.
    Rejected {
        /// The code.
        code: ResultCode,
        /// When it can be sent again with better chances.
        retry_after_ms: u64,
    },
}

/// What to do next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PopOutcome {
    /// The request to run.
    pub next: Option<QueuedRequest>,
    /// Requests whose deadline passed, to be rejected as not run.
    pub expired: Vec<QueuedRequest>,
}

/// Waiting requests for one endpoint or model.
///
/// Classes are served strictly by priority. Within a class, organisations get tokens in proportion
/// to their shares, and each organisation's requests keep their order. When a class is full, the
/// organisation that queues most for its share loses its newest request.
#[derive(Debug, Clone)]
pub struct FairQueue {
    max_per_class: usize,
    // Keyed by priority.
    classes: SortedMap<i32, ClassQueue>,
}

impl FairQueue {
    /// Makes an empty queue with a bound for each class.
    pub fn new(max_per_class: usize) -> Self {
        Self { max_per_class: max_per_class.max(1), classes: SortedMap::new() }
    }

    /// Adds a request, unless its deadline cannot be kept at `service_rate`, the recent rate at which
    /// requests leave the queue. At a rate of zero a request waits only if nothing is ahead of it.
    pub fn push(
        &mut self,
        request: QueuedRequest,
        service_rate: TokensPerSecond,
        now: Instant,
    ) -> PushOutcome {
        if request.deadline.has_passed(now) {
            return PushOutcome::Rejected { code: ResultCode::DeadlinePassed, retry_after_ms: 0 };
        }
        let expected_wait_ms = self.expected_wait_ms(&request, service_rate);
        let end_ms = expected_wait_ms.saturating_add(request.min_run_ms);
        let late_ms = end_ms.saturating_sub(request.deadline.remaining_ms(now));
        if late_ms > 0 {
            let retry_after_ms = late_ms.max(LEAST_RETRY_AFTER_MS);
            return PushOutcome::Rejected { code: ResultCode::DeadlineUnreachable, retry_after_ms };
        }
        let class = self.classes.get_or_insert_with(request.priority, ClassQueue::default);
        let mut displaced = None;
        if class.len() >= self.max_per_class {
            displaced = class.displace_for(&request).map(Box::new);
            if displaced.is_none() {
                // By then half of the queue has been served.
                let retry_after_ms = drain_ms(class.queued_tokens() / 2, service_rate);
                let retry_after_ms = retry_after_ms.max(LEAST_RETRY_AFTER_MS);
                return PushOutcome::Rejected { code: ResultCode::QueueFull, retry_after_ms };
            }
        }
        class.push(request);
        PushOutcome::Queued { expected_wait_ms, displaced }
    }

    /// Takes the next request to run and those whose deadline passed.
    pub fn pop(&mut self, now: Instant) -> PopOutcome {
        let expired = self.expire(now);
        let next = self.classes.values_mut().rev().find_map(ClassQueue::pop);
        self.drop_empty_classes();
        PopOutcome { next, expired }
    }

    /// Takes the requests whose deadline passed.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let expired = self.classes.values_mut().flat_map(|class| class.expire(now)).collect();
        self.drop_empty_classes();
        expired
    }

    /// Takes a request whose caller left.
    pub fn cancel(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        let cancelled = self.classes.values_mut().find_map(|class| class.cancel(id));
        self.drop_empty_classes();
        cancelled
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how long a request would wait if no other arrived after it.
    pub fn expected_wait_ms(&self, request: &QueuedRequest, service_rate: TokensPerSecond) -> u64 {
        let ahead =
            self.classes.iter().map(|(&priority, class)| match priority.cmp(&request.priority) {
                std::cmp::Ordering::Less => 0,
                std::cmp::Ordering::Equal => {
                    class.tokens_ahead(&request.organisation, request.share)
                }
                std::cmp::Ordering::Greater => class.queued_tokens(),
            });
        drain_ms(ahead.sum(), service_rate)
    }

    fn drop_empty_classes(&mut self) {
        self.classes.retain(|_, class| class.len() > 0);
    }
}

fn drain_ms(tokens: u64, rate: TokensPerSecond) -> u64 {
    tokens.saturating_mul(1_000) / rate.get().max(1)
}
