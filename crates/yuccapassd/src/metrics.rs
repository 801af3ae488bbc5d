//! Prometheus metrics, with histograms per organisation and class.

use std::sync::{Arc, Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use smol_str::{SmolStr, ToSmolStr};
use snafu::{ResultExt, Snafu};
use yuccapass_peers::LocalNode;
use yuccapass_types::{ClassId, Instant, OrganisationId, ResultCode};

/// Label value of organisations beyond the maximum number of labels, and of requests without a
/// class.
const OTHER: &str = "other";

/// Histogram boundaries around the target of 1.2 s for the first token.
const FIRST_TOKEN_BOUNDARIES_S: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.4, 5.0, 10.0];

/// Histogram boundaries around the target of 33 ms between tokens.
const TOKEN_GAP_BOUNDARIES_S: [f64; 11] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.25, 1.0, 5.0];

/// Reports that metrics cannot be set up or encoded.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum MetricsError {
    /// The exporter cannot be set up.
    #[snafu(display("the metrics exporter cannot be set up: {source}"))]
    Exporter {
        /// The library's error.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics cannot be encoded.
    #[snafu(display("the metrics cannot be encoded: {source}"))]
    Encode {
        /// The library's error.
        source: prometheus::Error,
    },
}

/// The metric labels of a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestLabels {
    attributes: [KeyValue; 2],
}

/// The metric instruments of a node.
pub(crate) struct Metrics {
    registry: Registry,
    // Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    organisations: Mutex<Vec<SmolStr>>,
    max_organisation_labels: usize,
    time_to_first_token: Histogram<f64>,
    time_between_tokens: Histogram<f64>,
    queue_wait: Histogram<f64>,
    answers: Counter<u64>,
    failures: Counter<u64>,
    tokens: Counter<u64>,
    prompt_tokens: Counter<u64>,
    attempts: Counter<u64>,
    dropped_events: Counter<u64>,
    transferred_blocks: Counter<u64>,
    open_answers: UpDownCounter<i64>,
    blocked_requests: Gauge<u64>,
    endpoint_polls: Counter<u64>,
    meter: Meter,
}

impl Metrics {
    /// Sets up the instruments. At most `max_organisation_labels` organisations get a label of
    /// their own, since each costs memory here and in the scraping system.
    pub(crate) fn new(max_organisation_labels: usize) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(ExporterSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("yuccapass");
        let seconds = |name: &'static str, description: &'static str, boundaries: &[f64]| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(boundaries.to_vec())
                .build()
        };
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        Ok(Self {
            time_to_first_token: seconds(
                "yuccapass_time_to_first_token",
                "Time from a request's arrival to its first token.",
                &FIRST_TOKEN_BOUNDARIES_S,
            ),
            time_between_tokens: seconds(
                "yuccapass_time_between_tokens",
                "Time between two tokens of an answer.",
                &TOKEN_GAP_BOUNDARIES_S,
            ),
            queue_wait: seconds(
                "yuccapass_queue_wait",
                "Time that a request waited on this node before it was sent.",
                &FIRST_TOKEN_BOUNDARIES_S,
            ),
            answers: counter("yuccapass_answers", "Answers delivered whole."),
            failures: counter("yuccapass_failures", "Requests that failed, by code and run state."),
            tokens: counter("yuccapass_tokens", "Tokens delivered to callers."),
            prompt_tokens: counter(
                "yuccapass_prompt_tokens",
                "Prompt tokens sent, by whether placement expected them to be cached.",
            ),
            attempts: counter("yuccapass_attempts", "Attempts sent to endpoints, by result."),
            dropped_events: counter(
                "yuccapass_dropped_events",
                "Events of endpoints that were dropped as late, mismatched or repeated.",
            ),
            transferred_blocks: counter(
                "yuccapass_transferred_blocks",
                "Cache blocks to and from stores, by result.",
            ),
            open_answers: meter
                .i64_up_down_counter("yuccapass_open_answers")
                .with_description("Answers that are being delivered.")
                .build(),
            blocked_requests: meter
                .u64_gauge("yuccapass_blocked_requests")
                .with_description("Requests that are refused because they crashed endpoints.")
                .build(),
            endpoint_polls: counter(
                "yuccapass_endpoint_polls",
                "Reads of an endpoint's load and cache events, by result.",
            ),
            organisations: Mutex::default(),
            max_organisation_labels,
            _provider: provider,
            meter,
            registry,
        })
    }

    /// Returns the labels of a request.
    pub(crate) fn labels(
        &self,
        organisation: &OrganisationId,
        class: Option<&ClassId>,
    ) -> RequestLabels {
        let class = class.map_or(OTHER, ClassId::as_str);
        let organisation = self.organisation_label(organisation);
        RequestLabels {
            attributes: [
                KeyValue::new("organisation", organisation.to_string()),
                KeyValue::new("class", class.to_owned()),
            ],
        }
    }

    fn organisation_label(&self, organisation: &OrganisationId) -> SmolStr {
        let name = organisation.as_str();
        let mut known = self.organisations.lock().unwrap_or_else(PoisonError::into_inner);
        match known.binary_search_by(|entry| entry.as_str().cmp(name)) {
            Ok(position) => known[position].clone(),
            Err(position) if known.len() < self.max_organisation_labels => {
                known.insert(position, name.to_smolstr());
                known[position].clone()
            }
            Err(_) => OTHER.to_smolstr(),
        }
    }

    pub(crate) fn record_first_token(&self, labels: &RequestLabels, from: Instant, to: Instant) {
        self.time_to_first_token.record(seconds_between(from, to), &labels.attributes);
    }

    pub(crate) fn record_token_gap(&self, labels: &RequestLabels, from: Instant, to: Instant) {
        self.time_between_tokens.record(seconds_between(from, to), &labels.attributes);
    }

    pub(crate) fn record_queue_wait(&self, labels: &RequestLabels, from: Instant, to: Instant) {
        self.queue_wait.record(seconds_between(from, to), &labels.attributes);
    }

    pub(crate) fn record_answer_start(&self) {
        self.open_answers.add(1, &[]);
    }

    pub(crate) fn record_answer_end(&self, labels: &RequestLabels, tokens: u64, is_complete: bool) {
        self.open_answers.add(-1, &[]);
        self.tokens.add(tokens, &labels.attributes);
        if is_complete {
            self.answers.add(1, &labels.attributes);
        }
    }

    pub(crate) fn record_failure(&self, code: ResultCode, run_state: impl ToString) {
        self.failures.add(
            1,
            &[
                KeyValue::new("code", code.to_string()),
                KeyValue::new("run_state", run_state.to_string()),
            ],
        );
    }

    /// Counts the tokens of a prompt by whether placement expects them to be cached.
    pub(crate) fn record_prompt(&self, cached_tokens: u64, computed_tokens: u64) {
        self.prompt_tokens.add(cached_tokens, &[KeyValue::new("cached", true)]);
        self.prompt_tokens.add(computed_tokens, &[KeyValue::new("cached", false)]);
    }

    pub(crate) fn record_attempt_end(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn set_blocked_requests(&self, count: u64) {
        self.blocked_requests.record(count, &[]);
    }

    pub(crate) fn record_transferred_blocks(&self, result: &'static str, blocks: u64) {
        self.transferred_blocks.add(blocks, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_dropped_event(&self, reason: &'static str) {
        self.dropped_events.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_poll(&self, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        self.endpoint_polls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Exports the counters of messages and bytes that `node` exchanges with other nodes.
    pub(crate) fn observe_peers(&self, node: &Arc<LocalNode>) {
        let observed = Arc::clone(node);
        self.meter
            .u64_observable_counter("yuccapass_peer_bytes")
            .with_description("Bytes of messages between nodes, by direction.")
            .with_callback(move |observer| {
                let traffic = observed.counters().traffic();
                observer.observe(traffic.sent_bytes, &[KeyValue::new("direction", "sent")]);
                observer.observe(traffic.received_bytes, &[KeyValue::new("direction", "received")]);
            })
            .build();
        let observed = Arc::clone(node);
        self.meter
            .u64_observable_counter("yuccapass_peer_messages")
            .with_description("Messages between nodes, by direction.")
            .with_callback(move |observer| {
                let traffic = observed.counters().traffic();
                observer.observe(traffic.sent_messages, &[KeyValue::new("direction", "sent")]);
                observer
                    .observe(traffic.received_messages, &[KeyValue::new("direction", "received")]);
            })
            .build();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).context(EncodeSnafu)?;
        Ok(text)
    }
}

fn seconds_between(from: Instant, to: Instant) -> f64 {
    to.ms_since(from) as f64 / 1000.0
}
