//! Prometheus metrics, with histograms per organisation and kind of route.

use std::sync::{Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use smol_str::{SmolStr, ToSmolStr};
use yuccapass_decisions::gateway::{Refusal, RouteKind};
use yuccapass_decisions::platform_budget::CallPurpose;
use yuccapass_types::Instant;

use crate::admission::Admitted;
use crate::forward::RequestOutcome;

/// Histogram boundaries, densest around the latency targets of 150 ms to 1.2 s for the first event.
const BOUNDARIES_S: [f64; 12] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.4, 10.0];

/// Maximum number of organisations with their own label. Each one costs memory here and in the
/// system that scrapes the metrics.
const MAX_ORGANISATION_LABELS: usize = 200;

/// Label value for requests without an organisation, and for organisations beyond the maximum.
const OTHER: &str = "other";

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
    platform_calls: Counter<u64>,
    nodes: Gauge<u64>,
    suspected_parts: Gauge<u64>,
    blocked_parts: Gauge<u64>,
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
        Ok(Self {
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
            broken_off: counter("yuccapass_gateway_broken_off", "Answers that were broken off."),
            outdated_answers: counter(
                "yuccapass_gateway_outdated_answers",
                "Answers that began on weights older than the target weights.",
            ),
            platform_calls: counter(
                "yuccapass_gateway_platform_calls",
                "Calls to the platform's key-value service, by purpose.",
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

    /// Records an error answer of this node.
    pub(crate) fn record_refusal(&self, refusal: Refusal) {
        self.refusals.add(1, &[KeyValue::new("code", refusal.code.to_string())]);
    }

    /// Records an answer that began on outdated weights; `is_late` if their bound had passed.
    pub(crate) fn record_outdated_answer(&self, is_late: bool) {
        self.outdated_answers.add(1, &[KeyValue::new("is_late", is_late)]);
    }

    /// Records a call to the platform.
    pub(crate) fn record_platform_call(&self, purpose: CallPurpose) {
        self.platform_calls.add(1, &[KeyValue::new("purpose", purpose.as_str())]);
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
