//! State that is shared by the tasks of a gateway.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use yuccapass_decisions::gateway::{
    CallerBudgetLimits, Configuration, ConfirmedConfiguration, ConnectionShares, Directory,
    Distance, EndpointRecord, FleetSize, OperatorSettings, Placement, RetryShare, SettingsBounds,
};
use yuccapass_decisions::platform_budget::CallPurpose;
use yuccapass_http::{StopController, StopSignal, sleep_until, stop_pair};
use yuccapass_platform::CallObserver;
use yuccapass_types::{
    Bytes, Clock, Deadline, EndpointId, Instant, ServiceId, Sharded, SortedMap, ZoneId,
};

use crate::caller_memory::CallerMemory;
use crate::crashes::CrashTracker;
use crate::detour::DetourTable;
use crate::endpoints::EndpointTable;
use crate::metrics::Metrics;
use crate::notices::NoticeTable;
use crate::options::GatewayOptions;
use crate::own_links::LinkTable;
use crate::part_crashes::PartCrashTracker;
use crate::protocol::Protocol;
use crate::relay::RelayTable;
use crate::relay::room::RoomTable;
use crate::rollouts::RolloutTable;
use crate::stores::StoreTable;
use crate::streams::StreamTable;
use crate::waiting::WaitingTable;

/// The strategies for choosing endpoints.
pub(crate) struct Placements {
    /// For sticky routes, whose requests run faster where a prefix of their prompt is cached.
    pub(crate) models: Box<dyn Placement>,
    /// For all other routes.
    pub(crate) services: Box<dyn Placement>,
}

/// State that is shared by the tasks of a gateway. Each part has its own lock, which is never held
/// across an await.
pub(crate) struct Shared {
    pub(crate) options: GatewayOptions,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) notices: NoticeTable,
    pub(crate) stores: StoreTable,
    pub(crate) crashes: CrashTracker,
    pub(crate) part_crashes: PartCrashTracker,
    pub(crate) caller_memory: Arc<CallerMemory>,
    pub(crate) relay: RelayTable,
    pub(crate) zone_room: RoomTable,
    pub(crate) waiting: WaitingTable,
    pub(crate) rollouts: RolloutTable,
    pub(crate) streams: StreamTable,
    pub(crate) links: LinkTable,
    pub(crate) detours: DetourTable,
    pub(crate) metrics: Metrics,
    pub(crate) placements: Placements,
    settings: RwLock<OperatorSettings>,
    // Copied on write, so that a request can read a consistent snapshot without holding the lock.
    directory: RwLock<Arc<Directory>>,
    fleet: Mutex<FleetSize>,
    retry_shares: Sharded<SortedMap<ServiceId, RetryShare>>,
    stop_controller: Mutex<Option<StopController>>,
    stop: StopSignal,
    refuses_from: Mutex<Option<Deadline>>,
    // Until when requests may be answered during a stop.
    answers_until: Mutex<Option<Deadline>>,
    open_requests: AtomicUsize,
}

impl CallObserver for Shared {
    fn record_call(&self, purpose: CallPurpose) {
        self.metrics.record_platform_call(purpose);
    }

    fn record_unanswered(&self, purpose: CallPurpose) {
        self.metrics.record_unanswered_call(purpose);
    }
}

impl Shared {
    pub(crate) fn new(
        options: GatewayOptions,
        protocol: Arc<dyn Protocol>,
        clock: Arc<dyn Clock>,
        placements: Placements,
        metrics: Metrics,
    ) -> Self {
        let (controller, stop) = stop_pair();
        Self {
            protocol,
            endpoints: EndpointTable::new(Arc::clone(&clock), options.silence_ms),
            notices: NoticeTable::default(),
            stores: StoreTable::default(),
            caller_memory: CallerMemory::new(Arc::clone(&clock), caller_limits(&options)),
            clock,
            relay: RelayTable::default(),
            zone_room: RoomTable::new(
                options.node.clone(),
                options.incarnation,
                options.capabilities.limits_endpoint_memory,
            ),
            waiting: WaitingTable::new(
                options.request_queue,
                options.capabilities.limits_endpoint_memory,
            ),
            rollouts: RolloutTable::new(&options),
            streams: StreamTable::default(),
            links: LinkTable::default(),
            detours: DetourTable::default(),
            crashes: CrashTracker::new(options.node.clone(), options.incarnation),
            part_crashes: PartCrashTracker::default(),
            metrics,
            placements,
            settings: RwLock::new(OperatorSettings::new(settings_bounds(&options))),
            directory: RwLock::new(Arc::new(Directory::new(options.zones.clone()))),
            fleet: Mutex::new(FleetSize::new(options.node.clone())),
            retry_shares: Sharded::default(),
            stop_controller: Mutex::new(Some(controller)),
            stop,
            refuses_from: Mutex::default(),
            answers_until: Mutex::default(),
            open_requests: AtomicUsize::new(0),
            options,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the newest configuration with its confirmation.
    pub(crate) fn settings(&self) -> Option<ConfirmedConfiguration> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).current()
    }

    /// Returns the newest configuration, for what does not depend on its confirmation.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.settings().map(|settings| Arc::clone(settings.configuration()))
    }

    /// Replaces the configuration if this one is newer; returns whether it was replaced.
    pub(crate) fn offer_configuration(&self, configuration: Configuration) -> bool {
        let is_replaced = {
            let mut settings = self.settings.write().unwrap_or_else(PoisonError::into_inner);
            settings.offer(configuration)
        };
        if let Some(current) = self.configuration().filter(|_| is_replaced) {
            self.endpoints.set_engines(&current);
        }
        is_replaced
    }

    /// Records that a read sent at `sent_at` has returned the newest operator settings, which were offered.
    /// Returns whether that has made the API keys valid.
    pub(crate) fn confirm_settings(&self, sent_at: Instant) -> bool {
        let now = self.now();
        let mut settings = self.settings.write().unwrap_or_else(PoisonError::into_inner);
        let are_valid = |settings: &OperatorSettings| {
            settings.current().is_some_and(|known| known.validity().are_keys_valid(now))
        };
        let were_valid = are_valid(&settings);
        settings.confirm(sent_at);
        !were_valid && are_valid(&settings)
    }

    pub(crate) fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the directory and drops the connections of endpoints that are no longer in it.
    pub(crate) fn change_directory(&self, change: impl FnOnce(&mut Directory)) {
        let directory = {
            let mut current = self.directory.write().unwrap_or_else(PoisonError::into_inner);
            change(Arc::make_mut(&mut current));
            Arc::clone(&current)
        };
        self.endpoints.retain_listed(&directory);
    }

    /// Records the speeds of the endpoints of all services whose endpoints report them.
    pub(crate) fn record_speeds(&self) {
        let Some(configuration) = self.configuration() else { return };
        let directory = self.directory();
        for (service, _) in configuration.services() {
            let pace = self.endpoints.pace(service);
            if !pace.has_reports() {
                continue;
            }
            let is_slow = |(id, record): &(&EndpointId, &EndpointRecord)| {
                record.service == *service
                    && self.endpoints.with_tracker(id, record, |tracker| tracker.is_slow())
            };
            let slow = directory.endpoints().filter(is_slow).count();
            let (mean, variance) = pace.slowdown();
            self.metrics.record_speeds(service, (mean, variance.sqrt()), slow as u64);
        }
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetSize> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn nodes(&self) -> u32 {
        let now = self.now();
        self.fleet().nodes(now)
    }

    /// Counts a caller's request to a service towards the limit on retries.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_retry_share(service, |share| share.record_request(now));
    }

    /// Takes a retry to a service from this node's share; returns `false` if none is left.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        let (now, nodes) = (self.now(), self.nodes());
        self.with_retry_share(service, |share| share.try_take(nodes, now))
    }

    fn with_retry_share<R>(
        &self,
        service: &ServiceId,
        action: impl FnOnce(&mut RetryShare) -> R,
    ) -> R {
        let limits = self.options.retry_limits;
        self.retry_shares.with(service, |shares| {
            action(shares.get_or_insert_with(service.clone(), || RetryShare::new(limits)))
        })
    }

    /// Returns the distance of a zone from this node.
    pub(crate) fn distance(&self, directory: &Directory, zone: &ZoneId) -> Distance {
        directory.distance(&self.options.zone, zone)
    }

    /// Returns whether the node can serve requests: it is not stopping, it knows the endpoints, and it has
    /// a configuration whose keys are valid.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.directory().is_listed()
            && self
                .settings()
                .is_some_and(|settings| settings.validity().are_keys_valid(self.now()))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_closed()
    }

    /// Waits until the node begins to stop.
    pub(crate) async fn stopping(&self) {
        self.stop.closed().await;
    }

    /// Returns whether the node is too close to its end to accept new requests.
    pub(crate) fn refuses_requests(&self) -> bool {
        let from = *self.refuses_from.lock().unwrap_or_else(PoisonError::into_inner);
        from.is_some_and(|from| from.has_passed(self.now()))
    }

    /// Waits until the time for answers during a stop is over.
    pub(crate) async fn answers_ended(&self) {
        self.stopping().await;
        let until = *self.answers_until.lock().unwrap_or_else(PoisonError::into_inner);
        sleep_until(&*self.clock, until.unwrap_or(Deadline::NEVER)).await;
    }

    /// Begins the stop. New requests are refused after `serve_ms`, and requests whose answers have not
    /// come after `answer_ms` are given up.
    pub(crate) fn begin_stop(&self, serve_ms: u64, answer_ms: u64) {
        let now = self.now();
        let set = |deadline: &Mutex<Option<Deadline>>, ms: u64| {
            let mut deadline = deadline.lock().unwrap_or_else(PoisonError::into_inner);
            *deadline = Some(Deadline::after_ms(now, ms));
        };
        set(&self.refuses_from, serve_ms.min(answer_ms));
        set(&self.answers_until, answer_ms);
        // Dropping the controller wakes all connections that wait for a request.
        self.stop_controller.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Returns how many connections operators and other nodes may open.
    pub(crate) fn connection_shares(&self) -> ConnectionShares {
        ConnectionShares::new(self.options.process_limits.descriptors)
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(&self) -> OpenRequest<'_> {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest { shared: self }
    }
}

/// Counts a request that was read and not yet answered.
pub(crate) struct OpenRequest<'a> {
    shared: &'a Shared,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.shared.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the bounds on the use of settings that may have been replaced.
fn settings_bounds(options: &GatewayOptions) -> SettingsBounds {
    SettingsBounds {
        revoke_ms: options.is_fail_closed.then_some(options.revoke_bound_ms),
        apply_ms: options.apply_bound_ms,
    }
}

/// Returns the limits of what is held for callers.
fn caller_limits(options: &GatewayOptions) -> CallerBudgetLimits {
    let answers = Bytes::new(options.answer_limits.buffered_bytes as u64);
    CallerBudgetLimits::new(options.process_limits.memory, options.max_connections, answers)
}
