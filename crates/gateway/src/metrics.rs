//! Prometheus metrics, with histograms per organisation and kind of route.

use std::sync::{Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use smol_str::{SmolStr, ToSmolStr};
use yuccapass_decisions::gateway::version_rollout::{RolloutProgress, Stage};
use yuccapass_decisions::gateway::waiting_room::RefusalReason;
use yuccapass_decisions::gateway::zone_room::Receipt;
use yuccapass_decisions::gateway::{BudgetUse, OutstandingSum, Refusal, RouteKind, Shortage};
use yuccapass_decisions::platform_budget::CallPurpose;
use yuccapass_types::{Bytes, Instant, Revision, ServiceId};

use crate::admission::Admitted;
use crate::forward::RequestOutcome;

/// Histogram boundaries, densest around the latency targets of 150 ms to 1.2 s for the first event.
const BOUNDARIES_S: [f64; 12] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.4, 10.0];

/// Maximum number of organisations with their own label. Each one costs memory here and in the
/// system that scrapes the metrics.
const MAX_ORGANISATION_LABELS: usize = 200;

/// Label value for requests without an organisation, and for organisations beyond the maximum.
const OTHER: &str = "other";

/// The way that changes of a topic take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangePath {
    /// From the origin to this node.
    FromOrigin,
    /// From a relay to this node.
    FromRelay,
    /// From this node, which is a relay, to a follower.
    ToFollower,
}

impl ChangePath {
    /// Returns the value of the label.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::FromOrigin => "from_origin",
            Self::FromRelay => "from_relay",
            Self::ToFollower => "to_follower",
        }
    }
}

/// The instruments of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    // Dropping the provider would disconnect the instruments from the registry.
    _provider: SdkMeterProvider,
    organisations: Mutex<Vec<SmolStr>>,
    first_event: Histogram<f64>,
    answer: Histogram<f64>,
    refusals: Counter<u64>,
    broken_off: Counter<u64>,
    outdated_answers: Counter<u64>,
    caller_shortages: Counter<u64>,
    caller_bytes: Gauge<u64>,
    caller_connections: Gauge<u64>,
    caller_evictions: Gauge<u64>,
    platform_calls: Counter<u64>,
    unanswered_calls: Counter<u64>,
    change_bytes: Counter<u64>,
    following: Gauge<u64>,
    lost_links: Gauge<u64>,
    detours: Counter<u64>,
    nodes: Gauge<u64>,
    suspected_parts: Gauge<u64>,
    blocked_parts: Gauge<u64>,
    mean_slowdown: Gauge<f64>,
    slowdown_spread: Gauge<f64>,
    slow_endpoints: Gauge<u64>,
    zone_summaries: Counter<u64>,
    zone_requests: Gauge<u64>,
    zone_nodes: Gauge<u64>,
    zone_age: Gauge<f64>,
    waiting: Gauge<u64>,
    waited: Histogram<f64>,
    room_refusals: Counter<u64>,
    rollout_share: Gauge<f64>,
    rollout_steps: Counter<u64>,
    configuration_revision: Gauge<u64>,
    settings_age: Gauge<f64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be created.
    pub(crate) fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("yuccapass-gateway");
        let seconds = |name: &'static str, about: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(about)
                .with_boundaries(BOUNDARIES_S.to_vec())
                .build()
        };
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let gauge = |name: &'static str, about: &'static str| {
            meter.u64_gauge(name).with_description(about).build()
        };
        let ratio = |name: &'static str, about: &'static str| {
            meter.f64_gauge(name).with_description(about).build()
        };
        Ok(Self {
            mean_slowdown: ratio(
                "yuccapass_gateway_mean_slowdown",
                "Mean of the slowdowns that the endpoints of a service report; 1 is the usual time.",
            ),
            slowdown_spread: ratio(
                "yuccapass_gateway_slowdown_spread",
                "Standard deviation of the slowdowns that the endpoints of a service report.",
            ),
            slow_endpoints: gauge(
                "yuccapass_gateway_slow_endpoints",
                "Endpoints of a service that this node avoids because they are far slower than the \
                 others.",
            ),
            first_event: seconds(
                "yuccapass_gateway_first_event",
                "Time from a request's arrival to the first event of its answer.",
            ),
            answer: seconds(
                "yuccapass_gateway_answer",
                "Time from a request's arrival to the end of its answer.",
            ),
            refusals: counter("yuccapass_gateway_refusals", "Answers of this node's own, by code."),
            nodes: meter
                .u64_gauge("yuccapass_gateway_nodes")
                .with_description("Nodes that share the bounds which hold for all together.")
                .build(),
            suspected_parts: gauge(
                "yuccapass_gateway_suspected_parts",
                "Parts of prompts that may have crashed an endpoint.",
            ),
            blocked_parts: gauge(
                "yuccapass_gateway_blocked_parts",
                "Parts of prompts whose requests are refused because they crash endpoints.",
            ),
            zone_summaries: counter(
                "yuccapass_gateway_zone_summaries",
                "Counts of outstanding requests received from nodes of the zone, by what became of them.",
            ),
            zone_requests: gauge(
                "yuccapass_gateway_zone_requests",
                "Requests that the other nodes of the zone have outstanding, as far as known.",
            ),
            zone_nodes: gauge(
                "yuccapass_gateway_zone_nodes_known",
                "Other nodes of the zone whose outstanding requests are known.",
            ),
            zone_age: meter
                .f64_gauge("yuccapass_gateway_zone_summary_age")
                .with_unit("s")
                .with_description("Mean age of what is known of the zone's other nodes.")
                .build(),
            waiting: gauge(
                "yuccapass_gateway_waiting",
                "Requests that wait for an engine, by service.",
            ),
            waited: seconds(
                "yuccapass_gateway_waited",
                "Time that requests waited for an engine, until they started or left.",
            ),
            room_refusals: counter(
                "yuccapass_gateway_waiting_refusals",
                "Requests refused because no engine can start them in time, by reason.",
            ),
            rollout_share: meter
                .f64_gauge("yuccapass_gateway_rollout_share")
                .with_description("Share of the target of a service's last roll-out.")
                .build(),
            rollout_steps: counter(
                "yuccapass_gateway_rollout_steps",
                "Steps of roll-outs that this node has followed, by service and stage.",
            ),
            broken_off: counter("yuccapass_gateway_broken_off", "Answers that were broken off."),
            outdated_answers: counter(
                "yuccapass_gateway_outdated_answers",
                "Answers that began on weights older than the target weights.",
            ),
            caller_shortages: counter(
                "yuccapass_gateway_caller_shortages",
                "Requests and connections of callers that got no room, by what was short.",
            ),
            caller_bytes: gauge(
                "yuccapass_gateway_caller_bytes",
                "Bytes that are held for callers, by kind.",
            ),
            caller_connections: gauge(
                "yuccapass_gateway_caller_connections",
                "Open connections of callers, and those whose request is not complete.",
            ),
            caller_evictions: gauge(
                "yuccapass_gateway_caller_evictions",
                "Connections that were closed for the sake of others since the start.",
            ),
            configuration_revision: gauge(
                "yuccapass_gateway_configuration_revision",
                "Revision of the configuration by which requests are admitted.",
            ),
            settings_age: meter
                .f64_gauge("yuccapass_gateway_settings_age")
                .with_unit("s")
                .with_description("Time since the operator settings were last confirmed.")
                .build(),
            platform_calls: counter(
                "yuccapass_gateway_platform_calls",
                "Calls to the platform's key-value service, by purpose.",
            ),
            unanswered_calls: counter(
                "yuccapass_gateway_unanswered_platform_calls",
                "Calls to the platform's key-value service without a complete answer, by purpose.",
            ),
            following: gauge(
                "yuccapass_gateway_following",
                "1 if this node gets changes from a relay of its zone, 0 if it reads them itself.",
            ),
            lost_links: gauge(
                "yuccapass_gateway_lost_links",
                "1 if this node cannot open connections to any endpoint, 0 otherwise.",
            ),
            detours: counter(
                "yuccapass_gateway_detours",
                "Requests that another node has served for this one.",
            ),
            change_bytes: counter(
                "yuccapass_gateway_change_bytes",
                "Bytes of changes, by topic and by the way they took.",
            ),
            registry,
            _provider: provider,
            organisations: Mutex::default(),
        })
    }

    /// Records the first event of a stream.
    pub(crate) fn record_first_event(&self, request: &Admitted<'_>, now: Instant) {
        let seconds = now.ms_since(request.arrived_at) as f64 / 1_000.0;
        self.first_event.record(seconds, &self.labels(request));
    }

    /// Records the outcome of a request.
    pub(crate) fn record_outcome(
        &self,
        request: &Admitted<'_>,
        outcome: RequestOutcome,
        now: Instant,
    ) {
        match outcome {
            RequestOutcome::Answered(_) => {
                let seconds = now.ms_since(request.arrived_at) as f64 / 1_000.0;
                self.answer.record(seconds, &self.labels(request));
            }
            RequestOutcome::Refused(refusal) => self.record_refusal(refusal),
            RequestOutcome::BrokenOff | RequestOutcome::CallerGone => {
                self.broken_off.add(1, &self.labels(request));
            }
        }
    }

    /// Records how many nodes share the limits that apply to all of them together.
    pub(crate) fn record_node_count(&self, nodes: u32) {
        self.nodes.record(u64::from(nodes), &[]);
    }

    /// Records how many parts of prompts are suspected and blocked because of crashes.
    pub(crate) fn record_crash_parts(&self, suspected: u64, blocked: u64) {
        self.suspected_parts.record(suspected, &[]);
        self.blocked_parts.record(blocked, &[]);
    }

    /// Records the speeds of a service's endpoints: the mean and the standard deviation of their
    /// slowdowns, and how many are avoided.
    pub(crate) fn record_speeds(&self, service: &ServiceId, (mean, spread): (f64, f64), slow: u64) {
        let label = [KeyValue::new("service", service.to_string())];
        self.mean_slowdown.record(mean, &label);
        self.slowdown_spread.record(spread, &label);
        self.slow_endpoints.record(slow, &label);
    }

    /// Records what became of the counts of another node.
    pub(crate) fn record_summary(&self, receipt: Receipt) {
        let receipt = match receipt {
            Receipt::Merged => "merged",
            Receipt::Unstamped => "unstamped",
            Receipt::Outdated => "outdated",
        };
        self.zone_summaries.add(1, &[KeyValue::new("receipt", receipt)]);
    }

    /// Records what the other nodes of the zone have outstanding.
    pub(crate) fn record_zone_load(&self, sum: &OutstandingSum) {
        self.zone_requests.record(sum.requests(), &[]);
        self.zone_nodes.record(u64::from(sum.nodes), &[]);
        self.zone_age.record(sum.age_ms as f64 / 1_000.0, &[]);
    }

    /// Records a request that has waited, and how many still wait for its service.
    pub(crate) fn record_wait(
        &self,
        request: &Admitted<'_>,
        entered_at: Instant,
        now: Instant,
        waiting: usize,
    ) {
        let seconds = now.ms_since(entered_at) as f64 / 1_000.0;
        self.waited.record(seconds, &self.labels(request));
        let service = KeyValue::new("service", request.service.to_string());
        self.waiting.record(waiting as u64, &[service]);
    }

    /// Records a refusal by a waiting room.
    pub(crate) fn record_room_refusal(&self, reason: RefusalReason) {
        self.room_refusals.add(1, &[KeyValue::new("reason", reason.to_string())]);
    }

    /// Records a step of a roll-out that this node follows.
    pub(crate) fn record_rollout_step(&self, service: &ServiceId, progress: &RolloutProgress) {
        let service = KeyValue::new("service", service.to_string());
        self.rollout_share.record(progress.share.fraction(), std::slice::from_ref(&service));
        let stage = match progress.stage {
            Stage::Waiting => "waiting",
            Stage::Observing => "observing",
            Stage::Raising(_) => "raising",
            Stage::Full => "full",
            Stage::Completed => "completed",
            Stage::RolledBack(_) => "rolled_back",
        };
        self.rollout_steps.add(1, &[service, KeyValue::new("stage", stage)]);
    }

    /// Records an error answer of this node.
    pub(crate) fn record_refusal(&self, refusal: Refusal) {
        self.refusals.add(1, &[KeyValue::new("code", refusal.code.to_string())]);
    }

    /// Records that a caller got no room.
    pub(crate) fn record_caller_shortage(&self, shortage: Shortage) {
        self.caller_shortages.add(1, &[KeyValue::new("short", shortage.to_string())]);
    }

    /// Records what is held for callers, and how many connections were closed for it.
    pub(crate) fn record_caller_use(&self, in_use: BudgetUse, evictions: u64) {
        let record = |gauge: &Gauge<u64>, kind: &'static str, value: u64| {
            gauge.record(value, &[KeyValue::new("kind", kind)]);
        };
        record(&self.caller_bytes, "incomplete", in_use.incomplete.get());
        record(&self.caller_bytes, "complete", in_use.complete.get());
        record(&self.caller_bytes, "answers", in_use.answers.get());
        record(&self.caller_connections, "open", in_use.connections as u64);
        record(&self.caller_connections, "incomplete", in_use.incomplete_connections as u64);
        self.caller_evictions.record(evictions, &[]);
    }

    /// Records an answer that began on outdated weights; `is_late` if their bound had passed.
    pub(crate) fn record_outdated_answer(&self, is_late: bool) {
        self.outdated_answers.add(1, &[KeyValue::new("is_late", is_late)]);
    }

    /// Records the configuration in use, and when the operator settings were last confirmed.
    pub(crate) fn record_settings(
        &self,
        revision: Revision,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) {
        self.configuration_revision.record(revision.get(), &[]);
        if let Some(confirmed_at) = confirmed_at {
            self.settings_age.record(now.ms_since(confirmed_at) as f64 / 1_000.0, &[]);
        }
    }

    /// Records a call to the platform.
    pub(crate) fn record_platform_call(&self, purpose: CallPurpose) {
        self.platform_calls.add(1, &[KeyValue::new("purpose", purpose.as_str())]);
    }

    /// Records a call to the platform that was not answered.
    pub(crate) fn record_unanswered_call(&self, purpose: CallPurpose) {
        self.unanswered_calls.add(1, &[KeyValue::new("purpose", purpose.as_str())]);
    }

    /// Records whether this node follows a relay.
    pub(crate) fn record_following(&self, is_following: bool) {
        self.following.record(u64::from(is_following), &[]);
    }

    /// Records whether this node has lost its links to the endpoints.
    pub(crate) fn record_own_links(&self, are_lost: bool) {
        self.lost_links.record(u64::from(are_lost), &[]);
    }

    /// Records a request that another node has served.
    pub(crate) fn record_detour(&self) {
        self.detours.add(1, &[]);
    }

    /// Records the size of changes of a topic that this node has received or sent.
    pub(crate) fn record_change_bytes(&self, topic: &str, path: ChangePath, size: Bytes) {
        if size > Bytes::default() {
            let labels =
                [KeyValue::new("topic", topic.to_owned()), KeyValue::new("path", path.as_str())];
            self.change_bytes.add(size.get(), &labels);
        }
    }

    /// Returns the metrics in the text format of Prometheus.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:%; "the metrics could not be encoded");
        }
        text
    }

    fn labels(&self, request: &Admitted<'_>) -> [KeyValue; 2] {
        let organisation = match request.organisation {
            None => SmolStr::new_static(OTHER),
            Some(organisation) => self.organisation_label(organisation.as_str()),
        };
        let kind = match request.route.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Streaming { .. } => "streaming",
        };
        [KeyValue::new("organisation", organisation.to_string()), KeyValue::new("kind", kind)]
    }

    fn organisation_label(&self, organisation: &str) -> SmolStr {
        let mut known = self.organisations.lock().unwrap_or_else(PoisonError::into_inner);
        match known.binary_search_by(|name| name.as_str().cmp(organisation)) {
            Ok(position) => known[position].clone(),
            Err(position) if known.len() < MAX_ORGANISATION_LABELS => {
                known.insert(position, organisation.to_smolstr());
                known[position].clone()
            }
            Err(_) => SmolStr::new_static(OTHER),
        }
    }
}
