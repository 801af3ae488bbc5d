//! Which endpoint takes new weights next.
//!
//! The endpoints of a routed service finish their running requests by themselves when they are
//! ordered to change weights, and say in the directory which weights they serve. So, unlike
//! [`crate::rollout`], a swap needs no drain by the node and no progress written to the platform:
//! another node continues from the directory.

use yuccapass_types::{Deadline, EndpointId, Instant, ModelId, SortedMap, WeightRevision};

use super::directory::{Directory, EndpointRecord, EndpointState, TargetWeights};

/// What an engine says when it is asked before an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// The weights of the model that it serves.
    pub weights: Option<WeightRevision>,
}

/// Limits of a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// Endpoints for each one that may swap at the same time.
    pub endpoints_per_swap: u32,
    /// Time after weights were named by which no request may begin on older ones.
    pub bound_ms: u64,
    /// Shortest time between an order of another node and the first one of this node.
    pub takeover_ms: u64,
}

impl Default for SwapLimits {
    /// One in three endpoints at a time, all within 10 s, and 3 s after another node. An
    /// endpoint first finishes what it runs, some seconds under load; with one in six at a time 18
    /// endpoints took 21 s.
    fn default() -> Self {
        Self { endpoints_per_swap: 3, bound_ms: 10_000, takeover_ms: 3_000 }
    }
}

/// What the holder of the duty does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapStep {
    /// Order an endpoint to serve these weights.
    Order(EndpointId, ModelId, WeightRevision),
    /// All endpoints serve the wanted weights, or will without another order.
    Done,
    /// Nothing until an order has taken effect.
    Wait,
}

/// An endpoint and one of the models that it serves.
type EndpointModel = (EndpointId, ModelId);

/// The swaps that the holder of the duty has begun.
#[derive(Debug, Clone)]
pub struct SwapPlan {
    limits: SwapLimits,
    started: Vec<EndpointModel>,
    retry_after: SortedMap<EndpointModel, Deadline>,
    // What endpoints said since their entry in the directory was last written.
    completed: SortedMap<EndpointModel, WeightRevision>,
}

impl SwapPlan {
    /// Makes a plan of a node that has begun no swap.
    pub fn new(limits: SwapLimits) -> Self {
        Self {
            limits,
            started: Vec::new(),
            retry_after: SortedMap::new(),
            completed: SortedMap::new(),
        }
    }

    /// Decides the next order.
    pub fn step(&mut self, directory: &Directory, now: Instant) -> SwapStep {
        self.completed.retain(|(id, _), _| directory.endpoint(id).is_some());
        self.retry_after.retain(|_, until| !until.has_passed(now));
        let outdated: Vec<(EndpointModel, TargetWeights)> = self.outdated(directory).collect();
        let may_start = |served: &EndpointModel| {
            !self.started.contains(served) && !self.retry_after.contains_key(served)
        };
        let Some((served, target)) = outdated.iter().find(|(served, _)| may_start(served)) else {
            return if outdated.is_empty() { SwapStep::Done } else { SwapStep::Wait };
        };
        let (endpoint, model) = served;
        let swapping = self.started.iter().filter(|(_, begun)| begun == model).count();
        if swapping >= self.max_swaps(directory, model, *target, now) {
            return SwapStep::Wait;
        }
        SwapStep::Order(endpoint.clone(), model.clone(), target.weights)
    }

    /// Notes that a swap is begun; it counts until it is settled or declined.
    pub fn record_started(&mut self, endpoint: EndpointId, model: ModelId) {
        self.started.push((endpoint, model));
    }

    /// Notes that a swap has ended without effect; it is begun again after `delay_ms`.
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

    /// Notes that an endpoint says that it serves these weights; its entry in the directory follows.
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
        if let Some(position) = self.started.iter().position(|begun| begun == served) {
            self.started.swap_remove(position);
        }
    }

    fn outdated<'a>(
        &'a self,
        directory: &'a Directory,
    ) -> impl Iterator<Item = (EndpointModel, TargetWeights)> + 'a {
        directory
            .endpoints()
            .filter(|(_, record)| record.state == EndpointState::Ready)
            .flat_map(move |(id, record)| {
                directory
                    .outdated_models(record)
                    .map(move |(model, target)| ((id.clone(), model.clone()), target))
            })
            .filter(|(served, target)| {
                self.completed.get(served).is_none_or(|&said| said < target.weights)
            })
    }

    /// Returns how many endpoints may swap at the same time. An endpoint that was ordered begins no
    /// request on its old weights, so the bound is kept if all are ordered by then: half of them at
    /// a time after a third of it, and all after half of it.
    fn max_swaps(
        &self,
        directory: &Directory,
        model: &ModelId,
        target: TargetWeights,
        now: Instant,
    ) -> usize {
        let serves = |record: &EndpointRecord| record.weights.iter().any(|(name, _)| name == model);
        let replicas = directory.endpoints().filter(|(_, record)| serves(record)).count();
        let age_ms = now.ms_since(target.known_since);
        let endpoints_per_swap = match age_ms {
            _ if age_ms >= self.limits.bound_ms / 2 => 1,
            _ if age_ms >= self.limits.bound_ms / 3 => self.limits.endpoints_per_swap.min(2),
            _ => self.limits.endpoints_per_swap,
        };
        replicas.div_ceil(endpoints_per_swap.max(1) as usize).max(1)
    }
}
