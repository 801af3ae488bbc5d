//! Polls the load reports and cache events of one endpoint.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use yuccapass_decisions::config::Endpoint;
use yuccapass_decisions::polling::{EventReadBudget, PollSettings};
use yuccapass_endpoints::{EndpointError, HttpEndpoint, LoadReport, ModelEndpoint};
use yuccapass_http::{ClientConfig, sleep_until};
use yuccapass_types::{Bytes, BytesPerSecond, Deadline, Instant};

use crate::request_handler::Core;

/// Timeout of one poll. An endpoint counts as silent after 5 s without a report. The longest polling
/// period is 2 s, so one lost connection does not make it silent.
const POLL_TIMEOUT_MS: u64 = 2_000;

/// Polls per connection. A new connection from time to time shows that the endpoint still accepts
/// connections.
const POLLS_PER_CONNECTION: u32 = 16;

/// Polls of an idle endpoint for each read of its cache events.
const IDLE_POLLS_PER_EVENT_READ: u32 = 4;

/// Rate of reading events and listings. The total budget of a node is 23 KB/s; at that rate, its
/// prefix index would fall behind even in deployments much smaller than the target.
const EVENT_RATE: BytesPerSecond = BytesPerSecond::new(64 << 10);

/// Maximum balance or debt of the event budget: eight seconds of the rate.
const EVENT_BURST: Bytes = Bytes::new(512 << 10);

/// Approximate size of one event or listed block in JSON.
const EVENT_BYTES: u64 = 110;

/// State shared by the polling tasks of all endpoints.
pub(crate) struct PollingState {
    pub(crate) settings: PollSettings,
    endpoints: AtomicUsize,
    event_budget: Mutex<EventReadBudget>,
}

impl PollingState {
    pub(crate) fn new(core: &Core) -> Self {
        let event_budget = EventReadBudget::new(EVENT_RATE, EVENT_BURST, core.clock.now());
        Self {
            settings: PollSettings::default(),
            endpoints: AtomicUsize::new(0),
            event_budget: Mutex::new(event_budget),
        }
    }

    /// Sets the number of polled endpoints.
    pub(crate) fn set_endpoints(&self, endpoints: usize) {
        self.endpoints.store(endpoints, Ordering::Relaxed);
    }

    fn with_event_budget<R>(&self, action: impl FnOnce(&mut EventReadBudget) -> R) -> R {
        action(&mut self.event_budget.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Polls one endpoint periodically; runs until it is cancelled.
pub(crate) async fn poll_periodically(
    core: Arc<Core>,
    polling: Arc<PollingState>,
    endpoint: Endpoint,
) {
    let mut poller = Poller::new(&core, &polling, &endpoint);
    let endpoints = polling.endpoints.load(Ordering::Relaxed);
    let first = polling.settings.first_read(core.clock.now(), endpoints, &mut rand::rng());
    sleep_until(&*core.clock, Deadline::after_ms(first, 0)).await;
    loop {
        let endpoints = polling.endpoints.load(Ordering::Relaxed);
        let next = polling.settings.next_read(core.clock.now(), endpoints, &mut rand::rng());
        let polled = poller.poll().await;
        core.metrics.record_poll(polled.is_ok());
        if let Err(error) = polled {
            log::debug!(endpoint = endpoint.id.as_str(); "cannot poll an endpoint: {error}");
        }
        sleep_until(&*core.clock, Deadline::after_ms(next, 0)).await;
    }
}

/// Polls one endpoint.
pub(crate) struct Poller<'a> {
    core: &'a Core,
    polling: &'a PollingState,
    endpoint: &'a Endpoint,
    client: HttpEndpoint,
    /// Polls over the current connection.
    connection_polls: u32,
    /// Polls since the cache events were last read.
    polls_without_events: u32,
    was_busy: bool,
}

impl<'a> Poller<'a> {
    pub(crate) fn new(core: &'a Core, polling: &'a PollingState, endpoint: &'a Endpoint) -> Self {
        let client = new_client(core, endpoint);
        Self {
            core,
            polling,
            endpoint,
            client,
            connection_polls: 0,
            polls_without_events: IDLE_POLLS_PER_EVENT_READ,
            was_busy: true,
        }
    }

    /// Reads the load report, and the cache events if that is due and within their budget.
    pub(crate) async fn poll(&mut self) -> Result<(), EndpointError> {
        if self.connection_polls >= POLLS_PER_CONNECTION {
            self.connection_polls = 0;
            // Dropping the old client closes its connection.
            self.client = new_client(self.core, self.endpoint);
        }
        self.connection_polls += 1;
        let requested_at = self.core.clock.now();
        let deadline = Deadline::after_ms(requested_at, POLL_TIMEOUT_MS);
        let report = self.client.load_report(deadline).await?;
        let is_busy = report.running_requests > 0 || report.queued_requests > 0;
        self.record_report(report, requested_at);
        self.polls_without_events += 1;
        let is_due =
            is_busy || self.was_busy || self.polls_without_events >= IDLE_POLLS_PER_EVENT_READ;
        let now = self.core.clock.now();
        if is_due && self.polling.with_event_budget(|budget| budget.may_read(now)) {
            self.was_busy = self.read_events(deadline).await? || is_busy;
            self.polls_without_events = 0;
        }
        Ok(())
    }

    fn record_report(&self, report: LoadReport, requested_at: Instant) {
        let (core, endpoint) = (self.core, self.endpoint);
        core.endpoints.record_report(endpoint, report.clone(), requested_at);
        let sustainable = core.endpoints.cold_process(endpoint).map(|(_, requests)| requests);
        core.permits.record_report(&endpoint.id, &report, sustainable, requested_at);
    }

    /// Reads the cache events, and a listing of all blocks if events were lost; returns whether
    /// anything was new.
    async fn read_events(&self, deadline: Deadline) -> Result<bool, EndpointError> {
        let (caches, id) = (&self.core.prefix_caches, &self.endpoint.id);
        let batch = self.client.cache_events(caches.events_after(id), deadline).await?;
        let mut read = batch.events.len();
        if caches.apply_events(id, &batch) {
            let listing = self.client.block_listing(deadline).await?;
            read += listing.blocks.len();
            caches.apply_listing(id, &listing);
        }
        let now = self.core.clock.now();
        let read_bytes = Bytes::new(read as u64 * EVENT_BYTES);
        self.polling.with_event_budget(|budget| budget.charge(read_bytes, now));
        Ok(read > 0)
    }
}

fn new_client(core: &Core, endpoint: &Endpoint) -> HttpEndpoint {
    let config = ClientConfig::default().max_idle_connections(1);
    let clock = Arc::clone(&core.clock);
    HttpEndpoint::new(endpoint.id.clone(), endpoint.address, config, clock)
        .reuse_connections_for_reports()
}
