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
    free_slots: f64,
    /// Error of the number of requests that is assumed without a report. It counts in favour of a request,
    /// because an endpoint queues what it cannot start.
    error_slots: f64,
    free_tokens: f64,
    slots: f64,
    capacity_tokens: f64,
    urgent_reserve: f64,
}

impl EndpointRoom {
    /// Estimates the room of an engine with this load.
    pub fn new(engine: EngineSpec, load: KnownLoad, assumptions: &Assumptions) -> Self {
        let assumed_others = (1.0 - load.report_weight) * assumptions.others;
        let others = load.others + assumed_others;
        let (slots, capacity_tokens) =
            (f64::from(engine.slots.max(1)), engine.capacity.get() as f64);
        let tokens = load.own_tokens.get() as f64 + others * assumptions.memory_per_request;
        Self {
            free_slots: slots - f64::from(load.own_requests) - others,
            // Requests of many nodes arrive independently of each other.
            error_slots: assumed_others.sqrt(),
            free_tokens: capacity_tokens - tokens,
            slots,
            capacity_tokens,
            urgent_reserve: assumptions.urgent_reserve,
        }
    }

    /// Returns whether the endpoint can start a request.
    ///
    /// One that needs no more memory than its share of a slot finds it if a slot is free; it would be delayed
    /// for nothing by the error of the estimate. Others find memory if it is left beside the requests that
    /// are there, and beside what is reserved for the most urgent ones unless it `is_urgent`.
    pub fn fits(&self, work: &RequestWork, is_urgent: bool) -> bool {
        if self.free_slots + self.error_slots < 1.0 {
            return false;
        }
        let needed = work.memory().get() as f64;
        let reserve = if is_urgent { 0.0 } else { self.urgent_reserve * self.capacity_tokens };
        // One that is larger than the memory cannot run anywhere; an empty engine rejects it.
        needed <= self.capacity_tokens / self.slots
            || self.free_tokens - reserve >= needed.min(self.capacity_tokens - reserve)
    }
}
