//! What an engine can still start.

use yuccapass_types::Instant;

use super::super::configuration::EngineSpec;
use super::super::endpoint_tracker::{KnownLoad, LoadReport};
use crate::gateway::RequestWork;

/// Half-life of the mean load of other nodes, counted from the last report of any endpoint. Without it,
/// a node that takes all endpoints for full would send nothing and never hear otherwise.
const OTHERS_HALF_LIFE_MS: f64 = 1_000.0;

/// Weight of a new report in the mean load of other nodes.
const REPORT_WEIGHT: f64 = 0.1;

/// The mean number of requests that other nodes have at an endpoint of a service, from the reports of
/// its endpoints. It stands for the load of an endpoint without a recent report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OthersLoad {
    mean: f64,
    reported_at: Option<Instant>,
}

impl OthersLoad {
    /// Records a report of an endpoint at which this node has `own_requests`.
    pub fn record(&mut self, report: LoadReport, own_requests: u32, now: Instant) {
        let total = report.running.saturating_add(report.waiting);
        let others = f64::from(total.saturating_sub(own_requests));
        let mean = self.mean(now);
        self.mean = mean + REPORT_WEIGHT * (others - mean);
        self.reported_at = Some(now);
    }

    /// Returns the mean.
    pub fn mean(&self, now: Instant) -> f64 {
        let age_ms = self.reported_at.map_or(0, |at| now.ms_since(at));
        self.mean * 0.5_f64.powf((age_ms as f64 / OTHERS_HALF_LIFE_MS).min(64.0))
    }
}

/// What a node assumes about the engines of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Assumptions {
    /// Mean number of requests that other nodes have at an engine.
    pub others: f64,
    /// Mean memory of a running request, in tokens.
    pub memory_per_request: f64,
    /// Share of the memory that only the most urgent requests may use.
    pub urgent_reserve: f64,
}

/// Free slots and memory of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointRoom {
    /// Requests that it can start.
    pub slots: f64,
    /// Memory that is free, in tokens.
    pub memory_tokens: f64,
    /// Its whole memory, in tokens, and the share of it for the most urgent requests.
    capacity_tokens: f64,
    urgent_reserve: f64,
    /// Error of the number of requests of other nodes, and of their memory.
    error_requests: f64,
    error_tokens: f64,
}

impl EndpointRoom {
    /// Estimates the room of an engine with this load.
    pub fn new(engine: EngineSpec, load: KnownLoad, assumptions: &Assumptions) -> Self {
        let Assumptions { memory_per_request, urgent_reserve, .. } = *assumptions;
        let others = load.others + (1.0 - load.report_weight) * assumptions.others;
        let requests = f64::from(load.own_requests) + others;
        let memory_tokens = load.own_tokens.get() as f64 + others * memory_per_request;
        let capacity_tokens = engine.capacity.get() as f64;
        // Requests of many nodes arrive independently of each other.
        let error_requests = others.sqrt();
        Self {
            urgent_reserve,
            error_requests,
            error_tokens: error_requests * memory_per_request,
            slots: f64::from(engine.slots) - requests,
            memory_tokens: capacity_tokens - memory_tokens,
            capacity_tokens,
        }
    }

    /// Returns whether the endpoint can start a request.
    ///
    /// Only one that `is_urgent` gets the memory that is reserved for the most urgent ones. The error of the
    /// estimate is allowed for in its favour, because the endpoint preempts others for it if need be.
    pub fn fits(&self, work: &RequestWork, is_urgent: bool) -> bool {
        let (slots, memory_tokens) = match is_urgent {
            true => (self.slots + self.error_requests, self.memory_tokens + self.error_tokens),
            false => (self.slots, self.memory_tokens - self.urgent_reserve * self.capacity_tokens),
        };
        // One that is larger than the memory cannot run anywhere; an empty engine rejects it.
        let usable_share = if is_urgent { 1.0 } else { 1.0 - self.urgent_reserve };
        let needed = (work.memory().get() as f64).min(usable_share * self.capacity_tokens);
        slots >= 1.0 && memory_tokens >= needed
    }
}
