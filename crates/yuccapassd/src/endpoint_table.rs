//! Clients, load and health of the endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use smol_str::{SmolStr, ToSmolStr};
use yuccapass_decisions::config::{Document, Endpoint};
use yuccapass_decisions::crash_guard::Fingerprint;
use yuccapass_decisions::endpoint_health::{
    AttemptResult, EndpointHealth, EndpointPhase, HealthReport, HealthSettings, LeavingSource,
    ReportedState,
};
use yuccapass_decisions::rollout::{ReplicaReport, ReplicaState, Role};
use yuccapass_decisions::routing::holder::HolderSlot;
use yuccapass_decisions::routing::index::PrefixMatch;
use yuccapass_decisions::routing::placement::{Candidate, ZoneDistance};
use yuccapass_endpoints::{EndpointState, HttpEndpoint, LoadReport, ModelEndpoint};
use yuccapass_http::ClientConfig;
use yuccapass_types::{
    Clock, EndpointId, Incarnation, Instant, ModelId, OrganisationId, RequestId, Sharded,
    SortedMap, Tokens, TokensPerSecond, WeightVersion,
};

use crate::prefix_cache_view::PrefixCacheView;

/// Mean run time that is assumed at first: a short answer at the target of 33 ms between tokens.
const INITIAL_MEAN_RUN_MS: u64 = 2_000;

/// The latest load report, and what this node has sent since.
struct ReportedLoad {
    report: LoadReport,
    received_at: Instant,
    /// The report describes a time no earlier than this minus the report's age.
    requested_at: Instant,
    requests_sent_since_report: u32,
    tokens_sent_since_report: Tokens,
}

/// The state of one endpoint.
struct Entry {
    /// Slot of the endpoint in the prefix index.
    slot: Option<HolderSlot>,
    model: ModelId,
    client: Arc<dyn ModelEndpoint>,
    /// Requests of this node that run there, each with a number from `next_number`.
    running: Vec<RunningRequest>,
    /// The requests that ran there when a connection to the current process first broke.
    broken: Option<BrokenProcess>,
    load: Option<ReportedLoad>,
    health: EndpointHealth,
    mean_run_ms: u64,
}

/// The identity of a running request, for operators and the crash guard.
#[derive(Debug, Clone)]
pub(crate) struct RequestInfo {
    pub(crate) id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) fingerprint: Fingerprint,
}

#[derive(Debug)]
struct RunningRequest {
    number: u64,
    start: Instant,
    request: RequestInfo,
}

/// The requests that may have crashed a process of an endpoint.
struct BrokenProcess {
    incarnation: Option<Incarnation>,
    running: Vec<Fingerprint>,
}

type Shard = SortedMap<EndpointId, Entry>;

/// The properties of a placement candidate that depend on the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CandidateContext<'a> {
    pub(crate) distance: ZoneDistance,
    /// The version that the endpoint must serve, if it has reported one.
    pub(crate) version: Option<&'a WeightVersion>,
    /// The longest known cached prefix of the prompt at each holder, sorted by slot.
    pub(crate) matches: &'a [PrefixMatch],
}

/// The endpoints that this node uses, sharded by id.
pub(crate) struct EndpointTable {
    entries: Sharded<Shard>,
    prefix_caches: Arc<PrefixCacheView>,
    clock: Arc<dyn Clock>,
    next_number: AtomicU64,
}

impl EndpointTable {
    pub(crate) fn new(prefix_caches: Arc<PrefixCacheView>, clock: Arc<dyn Clock>) -> Arc<Self> {
        let next_number = AtomicU64::new(0);
        Arc::new(Self { entries: Sharded::default(), prefix_caches, clock, next_number })
    }

    /// Returns the client of an endpoint.
    pub(crate) fn client(&self, endpoint: &Endpoint) -> Arc<dyn ModelEndpoint> {
        self.with_entry(endpoint, |entry| Arc::clone(&entry.client))
    }

    /// Records a load report that was requested at `requested_at`.
    pub(crate) fn record_report(
        &self,
        endpoint: &Endpoint,
        report: LoadReport,
        requested_at: Instant,
    ) {
        let now = self.clock.now();
        self.with_entry(endpoint, |entry| {
            entry.health.set_leaving(LeavingSource::Operators, endpoint.leaving);
            entry.record_report(report, requested_at, now);
        });
    }

    /// Returns the number of requests of this node that run at endpoints.
    pub(crate) fn running_requests(&self) -> u32 {
        self.entries.fold(0, |sum, shard| {
            sum + shard.values().map(|entry| entry.running.len() as u32).sum::<u32>()
        })
    }

    /// Returns a table row for each running request: request, organisation, model, endpoint, age in
    /// milliseconds.
    pub(crate) fn running_rows(&self) -> Vec<Vec<SmolStr>> {
        let now = self.clock.now();
        self.entries.fold(Vec::new(), |mut rows, shard| {
            for (id, entry) in shard.iter() {
                rows.extend(entry.running.iter().map(|running| {
                    vec![
                        running.request.id.to_smolstr(),
                        running.request.organisation.to_smolstr(),
                        entry.model.to_smolstr(),
                        id.to_smolstr(),
                        now.ms_since(running.start).to_smolstr(),
                    ]
                }));
            }
            rows
        })
    }

    /// Returns the version that an endpoint last reported, and its phase.
    pub(crate) fn version_and_phase(
        &self,
        endpoint: &Endpoint,
    ) -> (Option<WeightVersion>, EndpointPhase) {
        let now = self.clock.now();
        self.with_entry(endpoint, |entry| {
            let version = entry.load.as_ref().map(|load| load.report.version.clone());
            (version, entry.health.condition(now).phase)
        })
    }

    /// Returns the last load report of an endpoint in the form that rollouts use.
    pub(crate) fn replica_report(&self, endpoint: &Endpoint) -> Option<ReplicaReport> {
        self.with_entry(endpoint, |entry| entry.load.as_ref().map(replica_report))
    }

    /// Returns the current process of an endpoint and the number of concurrent requests that it
    /// sustains, if requests need a permit because it is cold or warming up.
    pub(crate) fn cold_process(&self, endpoint: &Endpoint) -> Option<(Incarnation, u32)> {
        let now = self.clock.now();
        self.with_entry(endpoint, |entry| {
            let condition = entry.health.condition(now);
            let incarnation = entry.incarnation().filter(|_| condition.needs_permit())?;
            Some((incarnation, condition.sustainable_requests))
        })
    }

    /// Marks the endpoints on VMs that the platform is about to stop. Each VM is given by the
    /// address of its endpoint, or with port 0 for all endpoints on it.
    pub(crate) fn set_leaving_vms(&self, document: &Document, leaving: &[SocketAddr]) {
        for endpoint in &document.endpoints {
            let address = endpoint.address;
            let is_leaving = leaving
                .iter()
                .any(|vm| *vm == address || (vm.port() == 0 && vm.ip() == address.ip()));
            self.with_entry(endpoint, |entry| {
                entry.health.set_leaving(LeavingSource::VmList, is_leaving);
            });
        }
    }

    /// Drops endpoints that are no longer configured, unless requests still run there.
    pub(crate) fn retain(&self, document: &Document) {
        self.entries.fold((), |(), shard| {
            shard.retain(|id, entry| document.endpoint(id).is_some() || !entry.running.is_empty());
        });
    }

    /// Describes an endpoint for placement.
    ///
    /// Returns `None` if the endpoint serves another version, or has no slot because the prefix
    /// index is full. `is_suspect` returns whether a fingerprint is that of another suspect
    /// request.
    pub(crate) fn candidate(
        &self,
        endpoint: &Endpoint,
        context: CandidateContext<'_>,
        is_suspect: impl Fn(Fingerprint) -> bool,
    ) -> Option<Candidate> {
        let now = self.clock.now();
        self.with_entry(endpoint, |entry| {
            let runs_other_suspect =
                entry.running.iter().any(|running| is_suspect(running.request.fingerprint));
            let candidate = entry.candidate(context, now)?;
            Some(Candidate { runs_other_suspect, ..candidate })
        })
    }

    /// Counts a request as running at an endpoint until the returned guard is dropped.
    pub(crate) fn start_request(
        self: &Arc<Self>,
        endpoint: &Endpoint,
        request: RequestInfo,
        prefill: Tokens,
    ) -> InFlight {
        let start = self.clock.now();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (client, incarnation) = self.with_entry(endpoint, |entry| {
            entry.running.push(RunningRequest { number, start, request });
            if let Some(load) = &mut entry.load {
                load.requests_sent_since_report += 1;
                load.tokens_sent_since_report = load.tokens_sent_since_report + prefill;
            }
            (Arc::clone(&entry.client), entry.incarnation())
        });
        let table = Arc::clone(self);
        InFlight { table, client, number, incarnation, start }
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
            slot: self.prefix_caches.assign_slot(&endpoint.id),
            model: endpoint.model.clone(),
            client: Arc::new(client),
            running: Vec::new(),
            broken: None,
            load: None,
            health: EndpointHealth::new(
                HealthSettings::default().cold_requests(endpoint.cold_requests),
                self.clock.now(),
            ),
            mean_run_ms: INITIAL_MEAN_RUN_MS,
        }
    }
}

impl Entry {
    fn incarnation(&self) -> Option<Incarnation> {
        self.load.as_ref().map(|load| load.report.incarnation)
    }

    fn record_report(&mut self, report: LoadReport, requested_at: Instant, now: Instant) {
        self.health.record_report(&health_report(&report), now);
        self.load = Some(ReportedLoad {
            report,
            received_at: now,
            requested_at,
            requests_sent_since_report: 0,
            tokens_sent_since_report: Tokens::ZERO,
        });
    }

    fn candidate(&self, context: CandidateContext<'_>, now: Instant) -> Option<Candidate> {
        let slot = self.slot?;
        let known = context.matches.binary_search_by_key(&slot, |found| found.holder).ok();
        let load = self.load.as_ref();
        let report = load.map(|load| &load.report);
        let serves =
            |version: &WeightVersion| report.is_none_or(|report| report.version == *version);
        if !context.version.is_none_or(serves) {
            return None;
        }
        Some(Candidate {
            endpoint: slot,
            distance: context.distance,
            health: self.health.condition(now),
            running_requests: report.map_or(0, |report| report.running_requests),
            queued_requests: report.map_or(0, |report| report.queued_requests),
            prefill_backlog: report.map_or(Tokens::ZERO, |report| report.queued_prefill_tokens),
            report_age_ms: load
                .map_or(0, |load| load.report.age_ms + now.ms_since(load.received_at)),
            requests_sent_since_report: load
                .map_or(self.running.len() as u32, |load| load.requests_sent_since_report),
            tokens_sent_since_report: load
                .map_or(Tokens::ZERO, |load| load.tokens_sent_since_report),
            max_running_requests: report.map_or(1, |report| report.max_running_requests),
            prefill_rate: TokensPerSecond::new(
                report.map_or(1, |report| report.prefill_tokens_per_s),
            ),
            mean_run_ms: self.mean_run_ms,
            cached_blocks: known.map_or(0, |position| context.matches[position].blocks),
            runs_other_suspect: false,
        })
    }

    fn record_end(&mut self, number: u64, run_ms: u64) {
        self.running.retain(|running| running.number != number);
        // Exponential moving average with weight 1/8.
        self.mean_run_ms = (self.mean_run_ms * 7 + run_ms) / 8;
    }
}

/// Counts a request as running at an endpoint until it is dropped.
pub(crate) struct InFlight {
    table: Arc<EndpointTable>,
    client: Arc<dyn ModelEndpoint>,
    number: u64,
    incarnation: Option<Incarnation>,
    start: Instant,
}

impl InFlight {
    pub(crate) fn client(&self) -> &dyn ModelEndpoint {
        &*self.client
    }

    /// Records the result of the attempt in the endpoint's health.
    pub(crate) fn record_attempt(&self, result: AttemptResult) {
        let id = self.client.id();
        let now = self.table.clock.now();
        self.table.entries.with(id, |shard| {
            if let Some(entry) = shard.get_mut(id) {
                entry.health.record_attempt(result, self.start, now);
            }
        });
    }

    /// Records a load report that was read because of this attempt.
    pub(crate) fn record_report(&self, report: LoadReport, requested_at: Instant) {
        let id = self.client.id();
        let now = self.table.clock.now();
        self.table.entries.with(id, |shard| {
            if let Some(entry) = shard.get_mut(id) {
                entry.record_report(report, requested_at, now);
            }
        });
    }

    /// Records that the first token has arrived.
    pub(crate) fn record_first_token(&self, expected_ms: u64) {
        let latency_ms = self.table.clock.now().ms_since(self.start);
        let incarnation = self.incarnation;
        self.record_attempt(AttemptResult::Success { incarnation, latency_ms, expected_ms });
    }

    /// Records which requests run at the endpoint when a connection to its process first breaks,
    /// before those that failed are removed from the table.
    pub(crate) fn record_broken_connection(&self) {
        let id = self.client.id();
        self.table.entries.with(id, |shard| {
            let Some(entry) = shard.get_mut(id) else { return };
            let is_recorded =
                entry.broken.as_ref().is_some_and(|broken| broken.incarnation == self.incarnation);
            if !is_recorded {
                let running =
                    entry.running.iter().map(|running| running.request.fingerprint).collect();
                entry.broken = Some(BrokenProcess { incarnation: self.incarnation, running });
            }
        });
    }

    /// Returns whether this request was sent to another process than `incarnation`.
    pub(crate) fn is_other_process(&self, incarnation: Incarnation) -> bool {
        self.incarnation.is_some_and(|own| own != incarnation)
    }

    /// Returns the requests that ran at the endpoint when it crashed; empty for all callers but the
    /// first, so that a crash is counted once.
    pub(crate) fn take_crashed(&self) -> Vec<Fingerprint> {
        let id = self.client.id();
        self.table.entries.with(id, |shard| {
            let broken = shard.get_mut(id).and_then(|entry| entry.broken.as_mut());
            let own = broken.filter(|broken| broken.incarnation == self.incarnation);
            own.map(|broken| std::mem::take(&mut broken.running)).unwrap_or_default()
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let id = self.client.id();
        let run_ms = self.table.clock.now().ms_since(self.start);
        self.table.entries.with(id, |shard| {
            if let Some(entry) = shard.get_mut(id) {
                entry.record_end(self.number, run_ms);
            }
        });
    }
}

fn replica_report(load: &ReportedLoad) -> ReplicaReport {
    let report = &load.report;
    ReplicaReport {
        incarnation: report.incarnation,
        state: match report.state {
            EndpointState::Cold => ReplicaState::Cold,
            EndpointState::Warm => ReplicaState::Warm,
            EndpointState::Leaving => ReplicaState::Leaving,
        },
        version: report.version.clone(),
        adapters: report.adapters.clone(),
        // Engines do not report a role, and no rollout of the daemon changes it.
        role: Role::Mixed,
        unfinished_requests: report.running_requests.saturating_add(report.queued_requests),
        reported_at: Instant::from_ms(load.requested_at.as_ms().saturating_sub(report.age_ms)),
    }
}

fn health_report(report: &LoadReport) -> HealthReport {
    HealthReport {
        incarnation: report.incarnation,
        state: match report.state {
            EndpointState::Cold => ReportedState::Cold,
            EndpointState::Warm => ReportedState::Warm,
            EndpointState::Leaving => ReportedState::Leaving,
        },
        load_requests: report.running_requests.saturating_add(report.queued_requests),
        sustainable_requests: report.sustainable_requests,
        age_ms: report.age_ms,
    }
}
