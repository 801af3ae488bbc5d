//! Reads the load and the cache events of one endpoint again and again.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use yuccapass_decisions::config::Endpoint;
use yuccapass_decisions::polling::{EventReadBudget, PollSettings};
use yuccapass_endpoints::{EndpointError, HttpEndpoint, LoadReport, ModelEndpoint};
use yuccapass_http::{ClientConfig, sleep_until};
use yuccapass_types::{Bytes, BytesPerSecond, Deadline, Instant};

use crate::request_path::Core;

/// How long one read may take; with the longest period of 2 s, a lost connection does not make an
/// endpoint silent, which it is after 5 s.
const POLL_TIMEOUT_MS: u64 = 2_000;

/// Reads over one connection. A new one now and then shows that the endpoint still accepts some.
const READS_PER_CONNECTION: u32 = 16;

/// An endpoint without work has its events read at each such read of its load.
const IDLE_READS_PER_EVENTS: u32 = 4;

/// Bytes of events and listings a second. The whole budget of a node is 23 KB/s, with which its
/// prefix index would fall behind at much smaller sizes than the target.
const EVENT_RATE: BytesPerSecond = BytesPerSecond::new(64 << 10);

/// Most bytes of events that are saved up or owed: eight seconds of the rate.
const EVENT_BURST: Bytes = Bytes::new(512 << 10);

/// Size of one event or listed block in JSON, about.
const EVENT_BYTES: u64 = 110;

/// What the readers of all endpoints share.
pub(crate) struct Polling {
    pub(crate) settings: PollSettings,
    endpoints: AtomicUsize,
    events: Mutex<EventReadBudget>,
}

impl Polling {
    pub(crate) fn new(core: &Core) -> Self {
        let events = EventReadBudget::new(EVENT_RATE, EVENT_BURST, core.clock.now());
        Self {
            settings: PollSettings::default(),
            endpoints: AtomicUsize::new(0),
            events: Mutex::new(events),
        }
    }

    /// Sets how many endpoints are read.
    pub(crate) fn set_endpoints(&self, endpoints: usize) {
        self.endpoints.store(endpoints, Ordering::Relaxed);
    }

    fn with_events<R>(&self, action: impl FnOnce(&mut EventReadBudget) -> R) -> R {
        action(&mut self.events.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Reads one endpoint; ends only when it is cancelled.
pub(crate) async fn follow(core: Arc<Core>, polling: Arc<Polling>, endpoint: Endpoint) {
    let mut poller = Poller::new(&core, &polling, &endpoint);
    let endpoints = polling.endpoints.load(Ordering::Relaxed);
    let first = polling.settings.first_read(core.clock.now(), endpoints, &mut rand::rng());
    sleep_until(&*core.clock, Deadline::after_ms(first, 0)).await;
    loop {
        let endpoints = polling.endpoints.load(Ordering::Relaxed);
        let next = polling.settings.next_read(core.clock.now(), endpoints, &mut rand::rng());
        let polled = poller.poll().await;
        core.metrics.endpoint_polled(polled.is_ok());
        if let Err(error) = polled {
            log::debug!(endpoint = endpoint.id.as_str(); "an endpoint cannot be read: {error}");
        }
        sleep_until(&*core.clock, Deadline::after_ms(next, 0)).await;
    }
}

/// Reads one endpoint.
pub(crate) struct Poller<'a> {
    core: &'a Core,
    polling: &'a Polling,
    endpoint: &'a Endpoint,
    client: HttpEndpoint,
    reads: u32,
    /// Reads of the load since the events were read.
    reads_without_events: u32,
    was_busy: bool,
}

impl<'a> Poller<'a> {
    pub(crate) fn new(core: &'a Core, polling: &'a Polling, endpoint: &'a Endpoint) -> Self {
        let client = new_client(core, endpoint);
        Self {
            core,
            polling,
            endpoint,
            client,
            reads: 0,
            reads_without_events: IDLE_READS_PER_EVENTS,
            was_busy: true,
        }
    }

    /// Reads the load, and the events if that is due and within their budget.
    pub(crate) async fn poll(&mut self) -> Result<(), EndpointError> {
        if self.reads >= READS_PER_CONNECTION {
            self.reads = 0;
            // Dropping the client closes its connection.
            self.client = new_client(self.core, self.endpoint);
        }
        self.reads += 1;
        let asked = self.core.clock.now();
        let deadline = Deadline::after_ms(asked, POLL_TIMEOUT_MS);
        let report = self.client.load_report(deadline).await?;
        let is_busy = report.running_requests > 0 || report.queued_requests > 0;
        self.take_report(report, asked);
        self.reads_without_events += 1;
        let is_due = is_busy || self.was_busy || self.reads_without_events >= IDLE_READS_PER_EVENTS;
        let now = self.core.clock.now();
        if is_due && self.polling.with_events(|events| events.may_read(now)) {
            self.was_busy = self.read_events(deadline).await? || is_busy;
            self.reads_without_events = 0;
        }
        Ok(())
    }

    fn take_report(&self, report: LoadReport, asked: Instant) {
        let (core, endpoint) = (self.core, self.endpoint);
        core.endpoints.reported(endpoint, report.clone(), asked);
        let sustainable = core.endpoints.cold_process(endpoint).map(|(_, requests)| requests);
        core.permits.reported(&endpoint.id, &report, sustainable, asked);
    }

    /// Reads the events, and a listing if some were lost; returns whether there was anything new.
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
        self.polling.with_events(|events| events.charge(read_bytes, now));
        Ok(read > 0)
    }
}

fn new_client(core: &Core, endpoint: &Endpoint) -> HttpEndpoint {
    let config = ClientConfig::default().max_idle_connections(1);
    let clock = Arc::clone(&core.clock);
    HttpEndpoint::new(endpoint.id.clone(), endpoint.address, config, clock)
        .reuse_connections_for_reports()
}
