//! Decides which endpoint takes new weights next.
//!
//! The nodes elect a leader that orders the endpoints to swap. An endpoint that is ordered to
//! change weights finishes its running requests first, and publishes the weights that it serves in
//! the directory. So, unlike [`crate::rollout`], a swap needs no drain by the node and no progress
//! in the key-value service: a new leader continues from the directory.

use yuccapass_types::{Deadline, EndpointId, Instant, ModelId, SortedMap, WeightRevision};

use super::directory::{Directory, EndpointRecord, EndpointState};
use super::weight_targets::OutdatedWeights;

/// The state that an engine reports before it gets an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// The weights that it serves for the model.
    pub weights: Option<WeightRevision>,
}

/// Limits of weight swaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// One out of this many endpoints may swap at a time.
    pub endpoints_per_swap: u32,
    /// Time after new target weights were named from which no request may start on older ones.
    pub bound_ms: u64,
    /// Minimum time from the last order of the previous leader to the first order of a new one.
    pub takeover_ms: u64,
}

impl Default for SwapLimits {
    /// Returns one in three endpoints at a time, a bound of 10 s and a takeover time of 3 s. Before
    /// it swaps, an endpoint finishes its running requests, which takes some seconds under load;
    /// with one in six at a time, 18 endpoints took 21 s.
    fn default() -> Self {
        Self { endpoints_per_swap: 3, bound_ms: 10_000, takeover_ms: 3_000 }
    }
}

/// Number of nodes that try to become the leader at once when there is none.
const FIRST_CANDIDATES: usize = 3;

/// Delay of the candidates after the first ones: two checks of the lock.
const CANDIDATE_DELAY_MS: u64 = 1_000;

/// Additional delay for each of the candidates before a node, and its maximum.
const CANDIDATE_STEP_MS: u64 = 50;
const MAX_CANDIDATE_DELAY_MS: u64 = 8_000;

/// Returns how long a node waits before it tries to become the leader when there is none, by its
/// rank among the nodes. If hundreds of nodes tried at once, each of them would make five calls to
/// the key-value service, and all but one in vain.
pub fn candidate_delay_ms(rank: usize) -> u64 {
    match rank.checked_sub(FIRST_CANDIDATES) {
        None => 0,
        Some(before) => {
            let step_ms = CANDIDATE_STEP_MS.saturating_mul(before as u64);
            (CANDIDATE_DELAY_MS + step_ms).min(MAX_CANDIDATE_DELAY_MS)
        }
    }
}

/// What the leader does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapStep {
    /// Order an endpoint to serve these weights.
    Order(EndpointId, ModelId, WeightRevision),
    /// All endpoints serve the target weights, or need no order because they are draining.
    Done,
    /// Wait until a started swap has ended or a declined one may be retried.
    Wait,
}

/// An endpoint and one of the models that it serves.
type EndpointModel = (EndpointId, ModelId);

/// The swaps that this node has ordered as the leader.
#[derive(Debug, Clone)]
pub struct SwapPlan {
    limits: SwapLimits,
    started: Vec<EndpointModel>,
    retry_after: SortedMap<EndpointModel, Deadline>,
    // The weights that endpoints reported to this node; their directory entries may be older.
    completed: SortedMap<EndpointModel, WeightRevision>,
}

impl SwapPlan {
    /// Creates a plan without swaps.
    pub fn new(limits: SwapLimits) -> Self {
        Self {
            limits,
            started: Vec::new(),
            retry_after: SortedMap::new(),
            completed: SortedMap::new(),
        }
    }

    /// Decides the next step. The caller reports the start of each ordered swap by
    /// [`record_started`](Self::record_started).
    pub fn step(&mut self, directory: &Directory, now: Instant) -> SwapStep {
        self.completed.retain(|(id, _), _| directory.endpoint(id).is_some());
        self.started.retain(|(id, _)| directory.endpoint(id).is_some());
        self.retry_after.retain(|_, until| !until.has_passed(now));
        let mut waiting: Vec<(EndpointModel, OutdatedWeights)> = self.outdated(directory).collect();
        // Those that must swap first come first. The sort is stable, so the others keep their order.
        waiting.sort_by_key(|(_, outdated)| outdated.deadlines.swap_by);
        let may_start = |served: &EndpointModel| {
            !self.started.contains(served) && !self.retry_after.contains_key(served)
        };
        let has_slot = |model: &ModelId, outdated: &OutdatedWeights| {
            let swapping = self.started.iter().filter(|(_, started)| started == model).count();
            swapping < self.max_swaps(directory, model, *outdated, now)
        };
        let next = waiting
            .iter()
            .find(|(served, outdated)| may_start(served) && has_slot(&served.1, outdated));
        let Some(((endpoint, model), outdated)) = next else {
            return if waiting.is_empty() { SwapStep::Done } else { SwapStep::Wait };
        };
        SwapStep::Order(endpoint.clone(), model.clone(), outdated.target)
    }

    /// Records the start of a swap. It counts as running until it is completed or declined.
    pub fn record_started(&mut self, endpoint: EndpointId, model: ModelId) {
        self.started.push((endpoint, model));
    }

    /// Records that a swap has ended without effect. It may be started again after `delay_ms`.
    pub fn record_declined(
        &mut self,
        endpoint: EndpointId,
        model: ModelId,
        delay_ms: u64,
        now: Instant,
    ) {
        let served = (endpoint, model);
        self.end(&served);
        self.retry_after.insert(served, Deadline::after_ms(now, delay_ms));
    }

    /// Records that an endpoint reports these weights, before its directory entry shows them.
    pub fn record_completed(
        &mut self,
        endpoint: EndpointId,
        model: ModelId,
        weights: WeightRevision,
    ) {
        let served = (endpoint, model);
        self.end(&served);
        self.completed.insert(served, weights);
    }

    fn end(&mut self, served: &EndpointModel) {
        if let Some(position) = self.started.iter().position(|started| started == served) {
            self.started.swap_remove(position);
        }
    }

    fn outdated<'a>(
        &'a self,
        directory: &'a Directory,
    ) -> impl Iterator<Item = (EndpointModel, OutdatedWeights)> + 'a {
        directory
            .endpoints()
            .filter(|(_, record)| record.state == EndpointState::Ready)
            .flat_map(move |(id, record)| {
                directory
                    .outdated_models(record)
                    .map(move |(model, outdated)| ((id.clone(), model.clone()), outdated))
            })
            .filter(|(served, outdated)| {
                self.completed.get(served).is_none_or(|&serving| serving < outdated.target)
            })
    }

    /// Returns how many endpoints may swap at the same time.
    ///
    /// An endpoint that has accepted an order starts no request on its old weights, so the bound is
    /// met if all endpoints get their orders in time: after a third of it half of the endpoints may
    /// swap at a time, and after half of it all of them.
    fn max_swaps(
        &self,
        directory: &Directory,
        model: &ModelId,
        outdated: OutdatedWeights,
        now: Instant,
    ) -> usize {
        let serves = |record: &EndpointRecord| record.weights.iter().any(|(name, _)| name == model);
        let replicas = directory.endpoints().filter(|(_, record)| serves(record)).count();
        let age_ms =
            self.limits.bound_ms.saturating_sub(outdated.deadlines.swap_by.remaining_ms(now));
        let endpoints_per_swap = match age_ms {
            _ if age_ms >= self.limits.bound_ms / 2 => 1,
            _ if age_ms >= self.limits.bound_ms / 3 => self.limits.endpoints_per_swap.min(2),
            _ => self.limits.endpoints_per_swap,
        };
        replicas.div_ceil(endpoints_per_swap.max(1) as usize).max(1)
    }
}
