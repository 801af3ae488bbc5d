//! Which endpoint takes new weights next.
//!
//! The endpoints of a routed service finish their running requests by themselves when they are
//! ordered to change weights, and say in the directory which weights they serve. So, unlike
//! [`crate::rollout`], a swap needs no drain by the node and no progress written to the platform:
//! another node continues from the directory.

use yuccapass_types::{Deadline, EndpointId, Instant, ModelId, SortedMap, WeightRevision};

use super::directory::{Directory, EndpointState};

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
pub struct SwapTerms {
    /// Endpoints for each one that may swap at the same time.
    pub endpoints_per_swap: u32,
    /// Time after which an order without visible effect is given again.
    pub order_limit_ms: u64,
    /// Shortest time between an order of another node and the first one of this node.
    pub takeover_ms: u64,
}

impl Default for SwapTerms {
    /// One in three endpoints at a time, orders again after 3 s, and 3 s after another node. An
    /// endpoint first finishes what it runs, some seconds under load; with one in six at a time 18
    /// endpoints took 21 s.
    fn default() -> Self {
        Self { endpoints_per_swap: 3, order_limit_ms: 3_000, takeover_ms: 3_000 }
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

/// The swaps that the holder of the duty has ordered.
#[derive(Debug, Clone)]
pub struct SwapPlan {
    terms: SwapTerms,
    ordered: SortedMap<(EndpointId, ModelId), Ordered>,
    // What endpoints said since their entry in the directory was last written.
    settled: SortedMap<(EndpointId, ModelId), WeightRevision>,
}

#[derive(Debug, Clone, Copy)]
struct Ordered {
    weights: WeightRevision,
    limit: Deadline,
}

impl SwapPlan {
    /// Makes a plan without wanted weights.
    pub fn new(terms: SwapTerms) -> Self {
        Self {
            terms,
            ordered: SortedMap::new(),
            settled: SortedMap::new(),
        }
    }

    /// Decides the next order.
    pub fn step(&mut self, directory: &Directory, now: Instant) -> SwapStep {
        self.forget_settled(directory, now);
        let outdated: Vec<(EndpointId, ModelId, WeightRevision)> =
            self.outdated(directory).collect();
        let next = outdated
            .iter()
            .find(|(id, model, _)| !self.ordered.contains_key(&(id.clone(), model.clone())));
        let Some((endpoint, model, weights)) = next else {
            return if outdated.is_empty() { SwapStep::Done } else { SwapStep::Wait };
        };
        let swapping = self.ordered.keys().filter(|(_, ordered)| ordered == model).count();
        if swapping >= self.max_swaps(directory, model) {
            return SwapStep::Wait;
        }
        SwapStep::Order(endpoint.clone(), model.clone(), *weights)
    }

    /// Notes that an order was given, whether or not it was answered.
    pub fn ordered(
        &mut self,
        endpoint: EndpointId,
        model: ModelId,
        weights: WeightRevision,
        now: Instant,
    ) {
        let limit = Deadline::after_ms(now, self.terms.order_limit_ms);
        self.ordered.insert((endpoint, model), Ordered { weights, limit });
    }

    /// Notes that an endpoint did not take an order; it is tried again after `delay_ms`.
    pub fn declined(
        &mut self,
        endpoint: EndpointId,
        model: ModelId,
        weights: WeightRevision,
        delay_ms: u64,
        now: Instant,
    ) {
        let limit = Deadline::after_ms(now, delay_ms);
        self.ordered.insert((endpoint, model), Ordered { weights, limit });
    }

    /// Notes that an endpoint says that it serves these weights; its entry in the directory follows.
    pub fn settled(&mut self, endpoint: EndpointId, model: ModelId, weights: WeightRevision) {
        let key = (endpoint, model);
        self.ordered.remove(&key);
        self.settled.insert(key, weights);
    }

    /// Forgets all orders, when another node may have taken over meanwhile.
    pub fn forget_orders(&mut self) {
        self.ordered = SortedMap::new();
        self.settled = SortedMap::new();
    }

    /// Returns the terms.
    pub fn terms(&self) -> SwapTerms {
        self.terms
    }

    fn outdated<'a>(
        &'a self,
        directory: &'a Directory,
    ) -> impl Iterator<Item = (EndpointId, ModelId, WeightRevision)> + 'a {
        directory
            .endpoints()
            .filter(|(_, record)| record.state == EndpointState::Ready)
            .flat_map(move |(id, record)| {
                directory.outdated_models(record).filter_map(move |(model, wanted)| {
                    let key = (id.clone(), model.clone());
                    let has_settled = self.settled.get(&key).is_some_and(|&said| said >= wanted);
                    let (id, model) = key;
                    (!has_settled).then_some((id, model, wanted))
                })
            })
    }

    /// Drops orders that have taken effect, whose endpoint is gone, or whose time has passed.
    fn forget_settled(&mut self, directory: &Directory, now: Instant) {
        self.settled.retain(|(id, _), _| directory.endpoint(id).is_some());
        self.ordered.retain(|(id, model), ordered| {
            let serves = |record: &super::directory::EndpointRecord| {
                record.weights.iter().find(|(name, _)| name == model).map(|&(_, weights)| weights)
            };
            let weights = directory.endpoint(id).and_then(serves);
            weights.is_some_and(|weights| weights < ordered.weights)
                && !ordered.limit.has_passed(now)
        });
    }

    fn max_swaps(&self, directory: &Directory, model: &ModelId) -> usize {
        let serves = |record: &super::directory::EndpointRecord| {
            record.weights.iter().any(|(name, _)| name == model)
        };
        let replicas = directory.endpoints().filter(|(_, record)| serves(record)).count();
        replicas.div_ceil(self.terms.endpoints_per_swap.max(1) as usize).max(1)
    }
}
