//! Clients, load and health of the endpoints.

use std::sync::Arc;

use yuccapass_decisions::config::{Document, Endpoint};
use yuccapass_decisions::endpoint_health::{EndpointCondition, EndpointPhase};
use yuccapass_decisions::routing::placement::{Candidate, ZoneDistance};
use yuccapass_endpoints::{EndpointState, HttpEndpoint, LoadReport, ModelEndpoint};
use yuccapass_http::ClientConfig;
use yuccapass_types::{
    Clock, Deadline, EndpointId, Instant, Sharded, SortedMap, Tokens, TokensPerSecond,
};

/// A report that is older than this says nothing; the endpoint counts as silent.
const REPORT_LIFETIME_MS: u64 = 5_000;

/// Assumed until an answer was seen: a short answer at the target of 33 ms between tokens.
const INITIAL_MEAN_RUN_MS: u64 = 2_000;

/// A load report and what this node did since.
struct ReportedLoad {
    report: LoadReport,
    received: Instant,
    expiry: Deadline,
    sent_since_requests: u32,
    sent_since: Tokens,
}

struct Entry {
    client: Arc<dyn ModelEndpoint>,
    /// Requests that this node runs there.
    in_flight_requests: u32,
    load: Option<ReportedLoad>,
    mean_run_ms: u64,
}

type Shard = SortedMap<EndpointId, Entry>;

/// The endpoints that this node has met.
pub(crate) struct EndpointTable {
    entries: Sharded<Shard>,
    clock: Arc<dyn Clock>,
}

impl EndpointTable {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self { entries: Sharded::default(), clock })
    }

    /// Returns the client of an endpoint.
    pub(crate) fn client(&self, endpoint: &Endpoint) -> Arc<dyn ModelEndpoint> {
        self.with_entry(endpoint, |entry| Arc::clone(&entry.client))
    }

    /// Takes in a load report.
    pub(crate) fn reported(&self, endpoint: &Endpoint, report: LoadReport) {
        let now = self.clock.now();
        let load = ReportedLoad {
            report,
            received: now,
            expiry: Deadline::after_ms(now, REPORT_LIFETIME_MS),
            sent_since_requests: 0,
            sent_since: Tokens::ZERO,
        };
        self.with_entry(endpoint, |entry| entry.load = Some(load));
    }

    /// Drops the endpoints that the configuration no longer has and that run nothing.
    pub(crate) fn retain(&self, document: &Document) {
        self.entries.fold((), |(), shard| {
            shard.retain(|id, entry| {
                document.endpoint(id).is_some() || entry.in_flight_requests > 0
            });
        });
    }

    /// Describes an endpoint for placement.
    pub(crate) fn candidate(
        &self,
        endpoint: &Endpoint,
        distance: ZoneDistance,
        cached_blocks: u32,
    ) -> Candidate {
        let now = self.clock.now();
        self.with_entry(endpoint, |entry| entry.candidate(endpoint, distance, cached_blocks, now))
    }

    /// Counts a request at an endpoint until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>, endpoint: &Endpoint, prefill: Tokens) -> InFlight {
        let client = self.with_entry(endpoint, |entry| {
            entry.in_flight_requests += 1;
            if let Some(load) = &mut entry.load {
                load.sent_since_requests += 1;
                load.sent_since = load.sent_since + prefill;
            }
            Arc::clone(&entry.client)
        });
        InFlight { table: Arc::clone(self), client, start: self.clock.now() }
    }

    fn with_entry<R>(&self, endpoint: &Endpoint, action: impl FnOnce(&mut Entry) -> R) -> R {
        self.entries.with(&endpoint.id, |shard| {
            action(shard.get_or_insert_with(endpoint.id.clone(), || self.new_entry(endpoint)))
        })
    }

    fn new_entry(&self, endpoint: &Endpoint) -> Entry {
        let config = ClientConfig::default();
        let clock = Arc::clone(&self.clock);
        let client = HttpEndpoint::new(endpoint.id.clone(), endpoint.address, config, clock);
        Entry {
            client: Arc::new(client),
            in_flight_requests: 0,
            load: None,
            mean_run_ms: INITIAL_MEAN_RUN_MS,
        }
    }
}

impl Entry {
    fn candidate(
        &self,
        endpoint: &Endpoint,
        distance: ZoneDistance,
        cached_blocks: u32,
        now: Instant,
    ) -> Candidate {
        let load = self.load.as_ref();
        let report = load.map(|load| &load.report);
        Candidate {
            endpoint: endpoint.id.clone(),
            distance,
            health: self.condition(endpoint, now),
            running_requests: report.map_or(0, |report| report.running_requests),
            queued_requests: report.map_or(0, |report| report.queued_requests),
            prefill_backlog: report.map_or(Tokens::ZERO, |report| report.queued_prefill_tokens),
            report_age_ms: load.map_or(0, |load| load.report.age_ms + now.ms_since(load.received)),
            sent_since_requests: load
                .map_or(self.in_flight_requests, |load| load.sent_since_requests),
            sent_since: load.map_or(Tokens::ZERO, |load| load.sent_since),
            max_running_requests: report.map_or(1, |report| report.max_running_requests),
            prefill_rate: TokensPerSecond::new(
                report.map_or(1, |report| report.prefill_tokens_per_s),
            ),
            mean_run_ms: self.mean_run_ms,
            cached_blocks,
            runs_other_suspect: false,
        }
    }

    fn condition(&self, endpoint: &Endpoint, now: Instant) -> EndpointCondition {
        let load = self.load.as_ref().filter(|load| !load.expiry.has_passed(now));
        let (phase, sustainable_requests) = match load.map(|load| &load.report) {
            _ if endpoint.leaving => (EndpointPhase::Leaving, 0),
            None => (EndpointPhase::Silent, 0),
            Some(report) => match report.state {
                EndpointState::Cold => (EndpointPhase::Cold, endpoint.cold_requests),
                EndpointState::Warm => (EndpointPhase::Warm, report.sustainable_requests),
                EndpointState::Leaving => (EndpointPhase::Leaving, 0),
            },
        };
        EndpointCondition { phase, sustainable_requests }
    }

    fn ended(&mut self, run_ms: u64) {
        self.in_flight_requests -= 1;
        // A moving mean over about eight answers.
        self.mean_run_ms = (self.mean_run_ms * 7 + run_ms) / 8;
    }
}

/// A request that runs at an endpoint.
pub(crate) struct InFlight {
    table: Arc<EndpointTable>,
    client: Arc<dyn ModelEndpoint>,
    start: Instant,
}

impl InFlight {
    pub(crate) fn client(&self) -> &dyn ModelEndpoint {
        &*self.client
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let id = self.client.id();
        let run_ms = self.table.clock.now().ms_since(self.start);
        self.table.entries.with(id, |shard| {
            if let Some(entry) = shard.get_mut(id) {
                entry.ended(run_ms);
            }
        });
    }
}
