//! Applies the operator settings and the registrations of endpoints.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::task;
use yuccapass_decisions::gateway::relay::TopicClass;
use yuccapass_decisions::gateway::{EndpointRecord, EndpointState, TargetBounds};
use yuccapass_decisions::platform_budget::CallPurpose;
use yuccapass_http::sleep_until;
use yuccapass_platform::{Change, Entry, Key, KeyValueRevision, PlatformClient, Value};
use yuccapass_types::{
    Deadline, EndpointId, Instant, ModelId, RolloutOrderId, SortedMap, WeightRevision, ZoneId,
};

use super::{
    Confirmation, FIRST_WATCH_MS, WatchHandler, WatchSettings, changed_entry, watch_prefix,
};
use crate::protocol::{DecodeError, EntryChange, EntryDecoder};
use crate::state::Shared;
use crate::swap_leader::SwapLeader;

/// Maximum time for which one watch call for the operator settings waits. Together with the renewal of
/// the registration it bounds the time after which silent connections are noticed, see
/// `HttpClient::send_repeatable`.
const MAX_OPERATOR_WATCH_MS: u64 = 1_800;

/// Minimum such time, so that a small revocation bound does not lead to calls in a tight loop.
const MIN_OPERATOR_WATCH_MS: u64 = 100;

/// Reserve within the revocation bound. Two watch calls and this reserve fit into the bound: the
/// first call confirms the keys, the second may be lost with its connection, and the settings must
/// then be read again in time.
const CONFIRM_RESERVE_MS: u64 = 1_400;

/// How long one watch call for the endpoints waits. The client notices by other calls if the connection
/// is silent; if the service has lost the call, that shows only when this time is over.
const ENDPOINTS_WATCH_MS: u64 = 5_000;

/// Pause after a watch call that returned changes of the operator settings, so that changes in
/// quick succession are returned together. Otherwise each change costs a call of each node.
const OPERATOR_PAUSE_MS: u64 = 150;

/// The same for endpoints, many of which change together: all of a zone, or all of a model.
const ENDPOINTS_PAUSE_MS: u64 = 500;

/// How long one watch call of a relay for the operator settings waits. It is shorter than that of
/// other nodes, since the confirmation of the keys ages further on its way to the followers.
const RELAY_OPERATOR_WATCH_MS: u64 = 900;

/// Reserve within the bound on earlier configurations, which fits into it with two watch calls, so that slow
/// answers leave the regions confirmed.
const REGIONS_RESERVE_MS: u64 = 1_400;

/// Minimum bound on the use of revoked keys with which followers can confirm keys in time: the age
/// up to which a relay's knowledge is used, two relays that time out, and a call.
const MIN_RELAYED_REVOKE_BOUND_MS: u64 = 4_700;

/// The same as `RELAY_OPERATOR_WATCH_MS` for the endpoints.
const RELAY_ENDPOINTS_WATCH_MS: u64 = 1_200;

/// Period of the check for endpoints that did not register again. It adds to the time for which an
/// endpoint that leaves just after an outage still gets requests, at most 2.5 s in all.
const EXPIRY_PERIOD_MS: u64 = 100;

/// Starts the watches of the operator settings and of the endpoints.
pub(crate) fn start(
    shared: &Arc<Shared>,
    platform: &Arc<PlatformClient>,
    entry_decoder: &Arc<dyn EntryDecoder>,
    swap_leader: &Arc<SwapLeader>,
) {
    let operator_handler = OperatorHandler {
        shared: Arc::clone(shared),
        entry_decoder: Arc::clone(entry_decoder),
        swap_leader: Arc::clone(swap_leader),
        target_bounds: Mutex::new(TargetBounds::new(shared.options.swap_limits.bound_ms)),
    };
    let endpoint_handler = EndpointHandler {
        shared: Arc::clone(shared),
        entry_decoder: Arc::clone(entry_decoder),
        swap_leader: Arc::clone(swap_leader),
    };
    let spawn = |settings, handler: Arc<dyn WatchHandler>| {
        let (shared, platform) = (Arc::clone(shared), Arc::clone(platform));
        task::spawn(watch_prefix(shared, platform, settings, handler));
    };
    let operator_settings = WatchSettings {
        prefix: entry_decoder.operator_prefix().clone(),
        watch_ms: operator_watch_ms(shared.options.revoke_bound_ms, CONFIRM_RESERVE_MS),
        relay_watch_ms: (shared.options.revoke_bound_ms >= MIN_RELAYED_REVOKE_BOUND_MS)
            .then_some(RELAY_OPERATOR_WATCH_MS),
        pause_ms: OPERATOR_PAUSE_MS,
        purpose: CallPurpose::Settings,
        class: TopicClass::Urgent,
    };
    let endpoint_settings = WatchSettings {
        prefix: entry_decoder.endpoint_prefix().clone(),
        watch_ms: ENDPOINTS_WATCH_MS,
        relay_watch_ms: Some(RELAY_ENDPOINTS_WATCH_MS),
        pause_ms: ENDPOINTS_PAUSE_MS,
        purpose: CallPurpose::Endpoints,
        class: TopicClass::Urgent,
    };
    spawn(operator_settings, Arc::new(operator_handler));
    spawn(endpoint_settings, Arc::new(endpoint_handler));
    task::spawn(expire_endpoints(Arc::clone(shared)));
}

/// Returns how long a watch call for the operator settings may wait, so that two of them and the
/// reserve fit into the bound within which the settings must be confirmed.
fn operator_watch_ms(bound_ms: u64, reserve_ms: u64) -> u64 {
    let wait_ms = bound_ms.saturating_sub(reserve_ms) / 2;
    wait_ms.clamp(MIN_OPERATOR_WATCH_MS, MAX_OPERATOR_WATCH_MS)
}

/// Drops endpoints that did not register again after an outage.
async fn expire_endpoints(shared: Arc<Shared>) {
    loop {
        let next = Deadline::after_ms(shared.now(), EXPIRY_PERIOD_MS);
        sleep_until(&*shared.clock, next).await;
        let now = shared.now();
        if shared.directory().has_expired(now) {
            shared.change_directory(|directory| directory.expire(now));
            log::info!("endpoints that did not register again were dropped");
        }
    }
}

/// Decodes an entry, and logs the error if that fails.
fn decode(
    entry_decoder: &dyn EntryDecoder,
    entry: (&Key, Option<&Value>),
    now: Instant,
) -> Result<EntryChange, DecodeError> {
    let (key, value) = entry;
    entry_decoder.decode(key, value, now).inspect_err(|error| {
        log::warn!(error:%; "an entry of the platform could not be decoded");
    })
}

/// Applies the operator settings: configuration, evacuated zones and target weights.
struct OperatorHandler {
    shared: Arc<Shared>,
    entry_decoder: Arc<dyn EntryDecoder>,
    swap_leader: Arc<SwapLeader>,
    target_bounds: Mutex<TargetBounds>,
}

impl OperatorHandler {
    /// Applies a change whose decoding began at `began_at`.
    fn apply(&self, change: EntryChange, revision: KeyValueRevision, began_at: Instant) {
        match change {
            EntryChange::Configuration(configuration) => {
                let revision = configuration.revision();
                if self.shared.offer_configuration(*configuration) {
                    let spent_ms = self.shared.now().ms_since(began_at);
                    log::info!(revision = revision.get(), spent_ms; "configuration activated");
                }
            }
            EntryChange::Evacuation { zone, is_evacuated } => {
                log::info!(
                    zone = zone.as_str(), is_evacuated; "the evacuation of a zone has changed"
                );
                self.shared.change_directory(|directory| {
                    directory.set_evacuated(zone, is_evacuated);
                });
            }
            EntryChange::Weights { model, weights } => {
                let now = self.shared.now();
                self.log_target(&model, weights, now);
                let deadlines = self.target_bounds().deadlines(now);
                self.shared.change_directory(|directory| {
                    directory.set_target_weights(model, weights, deadlines)
                });
                self.swap_leader.wake();
            }
            EntryChange::Rollout { service, request } => {
                let order = RolloutOrderId::new(revision.get());
                let request = request.map(|request| (order, request));
                self.shared.rollouts.set_order(&service, request, self.shared.now());
            }
            EntryChange::Endpoint { .. } | EntryChange::Ignored => {}
        }
    }
}

impl OperatorHandler {
    fn target_bounds(&self) -> MutexGuard<'_, TargetBounds> {
        self.target_bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs new target weights, with what is left of the bound of those that they replace and how
    /// many endpoints have not swapped to these yet.
    fn log_target(&self, model: &ModelId, weights: WeightRevision, now: Instant) {
        let directory = self.shared.directory();
        let previous = directory.target_weights(model);
        let is_outdated = |record: &EndpointRecord| {
            directory.outdated_models(record).any(|(outdated, _)| outdated == model)
        };
        let outdated = directory.endpoints().filter(|(_, record)| is_outdated(record)).count();
        log::info!(
            model = model.as_str(), weights = weights.get(),
            previous = previous.map_or(0, |previous| previous.weights.get()),
            previous_remaining_ms =
                previous.map_or(0, |previous| previous.deadlines.bound_end.remaining_ms(now)),
            outdated_endpoints = outdated;
            "the target weights of a model were set"
        );
    }
}

impl WatchHandler for OperatorHandler {
    fn replace(&self, entries: &[Entry]) {
        let now = self.shared.now();
        let mut evacuated: Vec<ZoneId> = Vec::new();
        let mut orders = Vec::new();
        for entry in entries {
            let began_at = self.shared.now();
            match decode(&*self.entry_decoder, (&entry.key, Some(&entry.value)), now) {
                Ok(EntryChange::Evacuation { zone, .. }) => evacuated.push(zone),
                Ok(EntryChange::Rollout { service, request: Some(request) }) => {
                    orders.push((service, RolloutOrderId::new(entry.mod_revision.get()), request));
                }
                Ok(change) => self.apply(change, entry.mod_revision, began_at),
                Err(_) => {}
            }
        }
        self.shared.rollouts.replace_orders(&orders, now);
        self.shared.change_directory(|directory| directory.replace_evacuated(evacuated));
    }

    fn change(&self, changes: &[Change]) {
        for change in changes {
            let began_at = self.shared.now();
            if let Ok(decoded) = decode(&*self.entry_decoder, changed_entry(change), began_at) {
                self.apply(decoded, change.revision, began_at);
            }
        }
    }

    fn max_watch_ms(&self) -> Option<u64> {
        let settings = self.shared.settings()?;
        if !settings.configuration().is_region_bound() {
            return None;
        }
        Some(match settings.validity().are_regions_valid(self.shared.now()) {
            true => operator_watch_ms(self.shared.options.apply_bound_ms, REGIONS_RESERVE_MS),
            // After a suspension, requests wait for the first confirmation.
            false => FIRST_WATCH_MS,
        })
    }

    fn relies_on_confirmations(&self) -> bool {
        true
    }

    fn confirmed(&self, Confirmation { sent_at, known_until }: Confirmation) {
        self.target_bounds().confirm(known_until);
        self.shared.rollouts.confirm_settings(known_until);
        if self.shared.confirm_settings(sent_at) {
            let revision = self.shared.configuration().map_or(0, |known| known.revision().get());
            log::info!(
                revision, age_ms = self.shared.now().ms_since(sent_at);
                "the API keys are confirmed again"
            );
        }
    }
}

/// Applies the registrations of endpoints.
struct EndpointHandler {
    shared: Arc<Shared>,
    entry_decoder: Arc<dyn EntryDecoder>,
    swap_leader: Arc<SwapLeader>,
}

impl EndpointHandler {
    /// Decodes a change. An endpoint whose entry cannot be decoded counts as removed.
    fn changed_endpoint(
        &self,
        change: &Change,
        now: Instant,
    ) -> Option<(EndpointId, Option<EndpointRecord>)> {
        let (key, value) = changed_entry(change);
        let removed = || self.entry_decoder.decode(key, None, now);
        let decoded = decode(&*self.entry_decoder, (key, value), now).or_else(|_| removed());
        let Ok(EntryChange::Endpoint { id, record }) = decoded else { return None };
        log::info!(
            endpoint = id.as_str(),
            state:? = record.as_ref().map(|record| record.state),
            is_ready = record.as_ref().is_some_and(|record| record.state == EndpointState::Ready),
            revision = change.revision.get();
            "an endpoint has changed"
        );
        Some((id, record))
    }
}

impl WatchHandler for EndpointHandler {
    fn replace(&self, entries: &[Entry]) {
        let now = self.shared.now();
        let mut records: SortedMap<EndpointId, EndpointRecord> = SortedMap::new();
        for entry in entries {
            let decoded = decode(&*self.entry_decoder, (&entry.key, Some(&entry.value)), now);
            if let Ok(EntryChange::Endpoint { id, record: Some(record) }) = decoded {
                records.insert(id, record);
            }
        }
        log::info!(endpoints = records.len(); "the list of endpoints was read");
        self.shared.change_directory(|directory| {
            directory.forget_departed(now);
            directory.replace(records, now);
        });
        self.shared.rollouts.note_directory(&self.shared.directory(), now);
        self.swap_leader.wake();
    }

    fn change(&self, changes: &[Change]) {
        let now = self.shared.now();
        let changed: Vec<_> =
            changes.iter().filter_map(|change| self.changed_endpoint(change, now)).collect();
        // All changes are applied at once, because each call of `change_directory` copies the
        // directory if a reader holds it.
        self.shared.change_directory(|directory| {
            directory.forget_departed(now);
            for (id, record) in changed {
                match record {
                    Some(record) => directory.register(id, record),
                    None => directory.remove(&id, now),
                }
            }
        });
        self.shared.rollouts.note_directory(&self.shared.directory(), now);
        self.swap_leader.wake();
    }

    fn lost(&self) {
        self.shared.change_directory(|directory| directory.source_lost());
    }

    fn recovered(&self, since: Instant) {
        self.shared.change_directory(|directory| directory.source_recovered(since));
    }
}
