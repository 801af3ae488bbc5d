//! What an engine can still start.

use yuccapass_types::Instant;

use super::super::configuration::EngineSpec;
use super::super::endpoint_tracker::{KnownLoad, LoadReport};
use crate::gateway::RequestWork;

/// Share of an engine's memory that is left to the most urgent requests. The engine would preempt a less
/// urgent one to start them; a tenth holds the short prompts that arrive during the run of a long one.
const URGENT_RESERVE: f64 = 0.1;

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

/// Free slots and memory of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointRoom {
    /// Requests that it can start.
    pub slots: f64,
    /// Memory that is free, in tokens.
    pub memory_tokens: f64,
    /// Its whole memory, in tokens.
    capacity_tokens: f64,
}

impl EndpointRoom {
    /// Estimates the room of an engine with this load. `others` is the mean number of requests that other
    /// nodes have at an engine, and `memory_per_request` the mean memory of a running request in tokens.
    pub fn new(engine: EngineSpec, load: KnownLoad, others: f64, memory_per_request: f64) -> Self {
        let others = load.others + (1.0 - load.report_weight) * others;
        let requests = f64::from(load.own_requests) + others;
        let memory_tokens = load.own_tokens.get() as f64 + others * memory_per_request;
        let capacity_tokens = engine.capacity.get() as f64;
        Self {
            slots: f64::from(engine.slots) - requests,
            memory_tokens: capacity_tokens - memory_tokens,
            capacity_tokens,
        }
    }

    /// Returns whether the endpoint can start a request. Only one that `may_use_reserve` gets the memory
    /// that is left to the most urgent ones.
    pub fn fits(&self, work: &RequestWork, may_use_reserve: bool) -> bool {
        let reserve = if may_use_reserve { 0.0 } else { URGENT_RESERVE * self.capacity_tokens };
        // One that is larger than the memory cannot run anywhere; an empty engine rejects it.
        let needed = (work.memory().get() as f64).min(self.capacity_tokens - reserve);
        self.slots >= 1.0 && self.memory_tokens - reserve >= needed
    }
}
