//! Watches keys in the platform's key-value service.
//!
//! [`watch_prefix`] reads all keys with a prefix and then watches for changes. After a failure it
//! continues from the last known revision, and starts over only if the service no longer has the
//! changes since then. While this node follows a relay, the changes come from the relay.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::task;
use yuccapass_decisions::gateway::relay::{
    OriginRead, OutageEnds, RelayItem, RelayedEntry, TopicClass,
};
use yuccapass_decisions::gateway::{EndpointRecord, EndpointState, TargetBounds};
use yuccapass_decisions::platform_budget::{Backoff, CallPurpose, CallRank};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, Entry, Key, KeyRange, KeyValue, KeyValueClient, KeyValueRevision,
    PlatformClient, PlatformError, RangeRequest, Value, WatchOutcome, WatchRequest,
};
use yuccapass_types::{
    Deadline, EndpointId, Instant, ModelId, RolloutOrderId, SortedMap, WeightRevision, ZoneId,
};

use crate::options::GatewayOptions;
use crate::protocol::{DecodeError, EntryChange, EntryDecoder};
use crate::relay::{NextRead, RelayedChanges, Subscription, keys_topic};
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

/// Reserve within the bound on earlier configurations, beside its own margin. Two watch calls and this
/// reserve fit into the bound, so that a node which gets its answers always knows the allowed regions.
const REGIONS_RESERVE_MS: u64 = 700;

/// How long one watch call for the endpoints waits. The client notices by other calls if the connection
/// is silent; if the service has lost the call, that shows only when this time is over.
const ENDPOINTS_WATCH_MS: u64 = 5_000;

/// Pause after a watch call that returned changes of the operator settings, so that changes in
/// quick succession are returned together. Otherwise each change costs a call of each node.
const OPERATOR_PAUSE_MS: u64 = 150;

/// The same for endpoints, many of which change together: all of a zone, or all of a model.
const ENDPOINTS_PAUSE_MS: u64 = 500;

/// Timeout for reading one page. It does not apply to all pages together, because that time grows
/// with the deployment: with 3 s for all pages, 300 nodes with 3,000 endpoints never got past the
/// first pages.
const PAGE_TIMEOUT_MS: u64 = 8_000;

/// Number of entries per page.
const PAGE_ENTRIES: u32 = 500;

/// Base and limit of the pauses between failed calls. Half of the base is the shortest pause; after
/// an outage, keys must be confirmed again soon.
const RETRY_BASE_MS: u64 = 150;
const RETRY_LIMIT_MS: u64 = 600;

/// Base of the pause before a background topic is listed again after the service has dropped its
/// history. The lists of the other topics, and the link that they share, go first.
const BACKGROUND_LIST_PAUSE_MS: u64 = 1_000;

/// How long the first watch call waits after this node has followed a relay, or after a failed call.
/// What the node knows may already be old; with a call of the usual length, the keys could not be
/// confirmed in time. The end of an outage would be noticed only with the next change, and an
/// endpoint that leaves with that change would be kept as if it had lapsed in the outage.
const FIRST_WATCH_MS: u64 = 100;

/// How long one watch call of a relay for the operator settings waits. It is shorter than that of
/// other nodes, since the confirmation of the keys ages further on its way to the followers.
const RELAY_OPERATOR_WATCH_MS: u64 = 900;

/// Minimum bound on the use of revoked keys with which followers can confirm keys in time: the age
/// up to which a relay's knowledge is used, two relays that time out, and a call.
const MIN_RELAYED_REVOKE_BOUND_MS: u64 = 4_700;

/// The same as `RELAY_OPERATOR_WATCH_MS` for the endpoints.
const RELAY_ENDPOINTS_WATCH_MS: u64 = 1_200;

/// Time by which the age of what a relay knows may exceed the wait of its calls: pauses between the
/// calls, the calls themselves under load, and the time for which the relay holds requests.
const RELAY_DELAY_MS: u64 = 1_000;

/// Period of the check for endpoints that did not register again. It adds to the time for which an
/// endpoint that leaves just after an outage still gets requests, at most 2.5 s in all.
const EXPIRY_PERIOD_MS: u64 = 100;

/// Handles the entries and changes of a watched prefix.
pub(crate) trait WatchHandler: Send + Sync {
    /// Handles the complete list of entries.
    fn replace(&self, entries: &[Entry]);

    /// Handles changes, in their order.
    fn change(&self, changes: &[Change]);

    /// Handles the end of a call that was sent at `sent_at` and returned all changes up to then.
    fn confirmed(&self, _sent_at: Instant) {}

    /// Handles the end of a call after which all changes before `at` are known. A call that waited
    /// without changes returns all changes up to the end of the wait.
    fn record_known_until(&self, _at: Instant) {}

    /// Returns the longest time for which a watch call may wait now, if it is shorter than the usual one.
    fn max_watch_ms(&self) -> Option<u64> {
        None
    }

    /// Handles a failure of the service to answer.
    fn lost(&self) {}

    /// Handles the first answer of the service after a failure, before its content. The service has
    /// answered since then, this node or a relay.
    fn recovered(&self, _since: Instant) {}
}

/// Which keys are watched, and how.
#[derive(Debug, Clone)]
pub(crate) struct WatchSettings {
    /// The prefix of the keys.
    pub(crate) prefix: Key,
    /// How long one watch call waits for changes.
    pub(crate) watch_ms: u64,
    /// The same if this node is a relay; `None` if changes must not come from relays.
    pub(crate) relay_watch_ms: Option<u64>,
    /// Pause after a watch call that returned changes.
    pub(crate) pause_ms: u64,
    /// What the calls are counted as.
    pub(crate) purpose: CallPurpose,
    /// How important the changes are. Keys of a background topic are read after all others.
    pub(crate) class: TopicClass,
}

impl WatchSettings {
    /// Returns the ranks of the lists and of the watch calls.
    fn ranks(&self) -> (CallRank, CallRank) {
        match self.class {
            TopicClass::Urgent | TopicClass::Regular => (CallRank::Refresh, CallRank::Watch),
            TopicClass::Background => (CallRank::Report, CallRank::Report),
        }
    }
}

/// Watches keys until the process ends.
pub(crate) async fn watch_prefix(
    shared: Arc<Shared>,
    platform: Arc<PlatformClient>,
    settings: WatchSettings,
    handler: Arc<dyn WatchHandler>,
) {
    let subscription = settings.relay_watch_ms.map(|watch_ms| {
        // What a relay knows is confirmed as of the start of a call, and next at the end of another
        // one.
        let max_age_ms = 2 * watch_ms + RELAY_DELAY_MS;
        let topic = keys_topic(settings.prefix.as_str());
        shared.relay.subscribe(topic, settings.class, max_age_ms)
    });
    let (list_rank, watch_rank) = settings.ranks();
    let watcher = PrefixWatcher {
        reader: platform.key_value(list_rank).with_purpose(settings.purpose),
        watcher: platform.key_value(watch_rank).with_purpose(settings.purpose),
        shared,
        settings,
        handler,
        subscription,
        listing: None,
        revision: None,
        was_following: false,
        outage: None,
        outage_ends: OutageEnds::default(),
    };
    watcher.run().await;
}

/// The watch of one prefix.
struct PrefixWatcher {
    shared: Arc<Shared>,
    reader: KeyValueClient,
    watcher: KeyValueClient,
    settings: WatchSettings,
    handler: Arc<dyn WatchHandler>,
    subscription: Option<Subscription>,
    // The list that is being read.
    listing: Option<Listing>,
    // The revision up to which all changes are known; `None` until the keys were listed.
    revision: Option<KeyValueRevision>,
    // Whether the last changes came from a relay.
    was_following: bool,
    // The pauses between calls while they fail.
    outage: Option<Backoff>,
    // Which outages that relays report are those of the service.
    outage_ends: OutageEnds,
}

impl PrefixWatcher {
    async fn run(mut self) {
        loop {
            let next_read = match (&self.subscription, self.revision) {
                (Some(subscription), Some(revision)) => {
                    self.shared.relay.next_read(subscription, 0, revision.get()).await
                }
                _ => NextRead::Origin,
            };
            match next_read {
                NextRead::Relayed(changes) => self.apply_relayed(changes),
                NextRead::Origin => match self.read_origin().await {
                    Ok(()) => {}
                    Err(error) => self.pause_after(&error).await,
                },
            }
        }
    }

    /// Lists the keys, or waits for their changes if they are known.
    async fn read_origin(&mut self) -> Result<(), PlatformError> {
        match self.revision {
            Some(revision) => self.watch(revision).await,
            None => self.list().await,
        }
    }

    /// Lists the keys. After a failure, the next call continues with the page that was not read: if
    /// hundreds of nodes started over, their lists would fill the service's link for nothing.
    async fn list(&mut self) -> Result<(), PlatformError> {
        let listing = self.listing.get_or_insert_with(|| Listing::new(self.shared.now()));
        listing.read(&self.shared, &self.reader, &self.settings.prefix, false).await?;
        let Some(Listing { sent_at, entries, revision, .. }) = self.listing.take() else {
            return Ok(());
        };
        self.record_answer(self.shared.now());
        self.handler.replace(&entries);
        self.handler.confirmed(sent_at);
        self.handler.record_known_until(sent_at);
        self.publish(revision, revision, &[], sent_at);
        Ok(())
    }

    async fn watch(&mut self, revision: KeyValueRevision) -> Result<(), PlatformError> {
        let range = KeyRange::Prefix(self.settings.prefix.clone());
        let request = WatchRequest { range, from: revision.next() };
        let sent_at = self.shared.now();
        let is_relay = self.shared.relay.is_relay(&self.shared.options.node);
        let needs_answer = self.was_following || self.outage.is_some();
        let watch_ms = match (needs_answer, self.settings.relay_watch_ms) {
            (true, _) => FIRST_WATCH_MS,
            (false, Some(relay_watch_ms)) if is_relay => relay_watch_ms,
            _ => self.settings.watch_ms,
        };
        let watch_ms = self.handler.max_watch_ms().map_or(watch_ms, |max_ms| watch_ms.min(max_ms));
        let deadline = Deadline::after_ms(sent_at, watch_ms);
        let outcome = self.watcher.watch(&request, deadline).await?;
        let now = self.shared.now();
        self.was_following = false;
        self.outage_ends.record_own_answer(sent_at, needs_answer, now);
        self.record_answer(now);
        let known_until = match outcome {
            // An answer before the end of the wait was cut short; only its beginning is certain.
            WatchOutcome::NoChanges { .. } if deadline.has_passed(self.shared.now()) => {
                deadline.instant()
            }
            _ => sent_at,
        };
        let (changes, newest) = match outcome {
            WatchOutcome::Changes(changes) => {
                let newest = changes.iter().map(|change| change.revision).fold(revision, Ord::max);
                (changes, newest)
            }
            WatchOutcome::NoChanges { revision: newest } => {
                (Vec::new(), revision.max(newest.unwrap_or(revision)))
            }
            WatchOutcome::Compacted | WatchOutcome::Restored { .. } => {
                log::info!(
                    prefix = self.settings.prefix.as_str();
                    "the platform no longer has the missed changes; reading all entries again"
                );
                self.revision = None;
                self.pause_before_list().await;
                return Ok(());
            }
        };
        if !changes.is_empty() {
            self.handler.change(&changes);
        }
        self.handler.confirmed(sent_at);
        self.handler.record_known_until(known_until);
        self.publish(revision, newest, &changes, sent_at);
        if !changes.is_empty() && self.settings.pause_ms > 0 {
            let resume_at = Deadline::after_ms(self.shared.now(), self.settings.pause_ms);
            sleep_until(&*self.shared.clock, resume_at).await;
        }
        Ok(())
    }

    /// Pauses before the keys are listed again: a service that drops its history does so for all
    /// nodes, and may do so again soon.
    async fn pause_before_list(&self) {
        let base_ms = match self.settings.class {
            TopicClass::Urgent | TopicClass::Regular => RETRY_BASE_MS,
            TopicClass::Background => BACKGROUND_LIST_PAUSE_MS,
        };
        let pause_ms = base_ms + rand::random_range(0..base_ms);
        let pause = Deadline::after_ms(self.shared.now(), pause_ms);
        sleep_until(&*self.shared.clock, pause).await;
    }

    /// Applies changes that a relay has read.
    fn apply_relayed(&mut self, relayed: RelayedChanges) {
        self.was_following = true;
        // The relay may have heard from the service earlier than this node.
        self.record_answer(relayed.outage_ended_at.unwrap_or_else(|| self.shared.now()));
        if let Some(ended_at) = relayed.outage_ended_at.filter(|&at| self.outage_ends.record(at)) {
            // Registrations that the service removed during the outage may return.
            self.handler.lost();
            self.handler.recovered(ended_at);
        }
        let changes: Vec<Change> = relayed.items.into_iter().filter_map(change_of).collect();
        if !changes.is_empty() {
            self.handler.change(&changes);
        }
        self.handler.confirmed(relayed.confirmed_at);
        self.handler.record_known_until(relayed.confirmed_at);
        self.revision = Some(KeyValueRevision::new(relayed.end));
        if let Some(subscription) = &self.subscription {
            self.shared.relay.set_position(subscription, 0, relayed.end);
        }
    }

    /// Publishes what was read after `from`, up to `to`, for the followers of this node.
    fn publish(
        &mut self,
        from: KeyValueRevision,
        to: KeyValueRevision,
        changes: &[Change],
        sent_at: Instant,
    ) {
        self.revision = Some(to);
        let read = OriginRead {
            epoch: 0,
            from: from.get(),
            to: to.get(),
            items: changes.iter().map(relay_item).collect(),
            sent_at,
            clock_ms: None,
        };
        if let Some(subscription) = &self.subscription {
            self.shared.relay.publish(subscription, read, self.shared.now());
        }
    }

    /// Records that the service answers, itself or through a relay, and has answered from `since` on.
    fn record_answer(&mut self, since: Instant) {
        if self.outage.take().is_none() {
            return;
        }
        log::info!(
            prefix = self.settings.prefix.as_str(), revision = self.revision.map_or(0, |at| at.get());
            "the platform answers again"
        );
        self.handler.recovered(since);
        if let Some(subscription) = &self.subscription {
            self.shared.relay.publish_outage_end(subscription, since);
        }
    }

    async fn pause_after(&mut self, error: &PlatformError) {
        if self.outage.is_none() {
            let prefix = self.settings.prefix.as_str();
            log::warn!(prefix, error:%; "the platform does not answer");
        }
        self.handler.lost();
        if let Some(subscription) = &self.subscription {
            self.shared.relay.publish_lost(subscription);
        }
        let backoff =
            self.outage.get_or_insert_with(|| Backoff::new(RETRY_BASE_MS, RETRY_LIMIT_MS));
        let pause_ms = RETRY_BASE_MS / 2 + backoff.next_delay_ms(&mut rand::rng());
        let pause = Deadline::after_ms(self.shared.now(), pause_ms);
        sleep_until(&*self.shared.clock, pause).await;
    }
}

/// Converts a change for the followers of this node.
fn relay_item(change: &Change) -> (u64, RelayItem) {
    let (key, value) = changed_entry(change);
    let revision = change.revision.get();
    let entry = RelayedEntry {
        key: key.as_str().into(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision,
    };
    (revision, RelayItem::Entry(entry))
}

/// Converts a change from a relay. One whose key or value is not valid is left out, as this node
/// cannot have read it from the service either.
fn change_of(item: RelayItem) -> Option<Change> {
    let RelayItem::Entry(entry) = item else { return None };
    let key: Key = entry.key.parse().ok()?;
    let revision = KeyValueRevision::new(entry.revision);
    let kind = match entry.value {
        Some(value) => ChangeKind::Put(Entry {
            key,
            value: Value::new(value).ok()?,
            mod_revision: revision,
            lease: None,
        }),
        None => ChangeKind::Deleted(key),
    };
    Some(Change { revision, kind })
}

/// A list of keys that is read page by page.
#[derive(Debug)]
struct Listing {
    // When the first page was requested.
    sent_at: Instant,
    // The revision of the first page: later pages may be newer, so a watch from there may repeat
    // changes that they already contain.
    revision: KeyValueRevision,
    entries: Vec<Entry>,
    next: Option<Key>,
    has_first: bool,
}

impl Listing {
    fn new(sent_at: Instant) -> Self {
        let (revision, entries) = (KeyValueRevision::default(), Vec::new());
        Self { sent_at, revision, entries, next: None, has_first: false }
    }

    /// Reads the pages that are left.
    async fn read(
        &mut self,
        shared: &Shared,
        reader: &KeyValueClient,
        prefix: &Key,
        may_be_stale: bool,
    ) -> Result<(), PlatformError> {
        while !self.has_first || self.next.is_some() {
            let request = RangeRequest {
                range: KeyRange::Prefix(prefix.clone()),
                start: self.next.clone(),
                limit: PAGE_ENTRIES,
                revision: None,
                may_be_stale,
            };
            let limit = Deadline::after_ms(shared.now(), PAGE_TIMEOUT_MS);
            let page = reader.range(&request, limit).await?;
            if !self.has_first {
                self.revision = page.revision;
                self.has_first = true;
            }
            self.entries.extend(page.entries);
            self.next = page.next;
        }
        Ok(())
    }
}

/// Reads all entries with a prefix.
pub(crate) async fn read_all(
    shared: &Shared,
    reader: &KeyValueClient,
    prefix: &Key,
    may_be_stale: bool,
) -> Result<Vec<Entry>, PlatformError> {
    let mut listing = Listing::new(shared.now());
    listing.read(shared, reader, prefix, may_be_stale).await?;
    Ok(listing.entries)
}

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
        relay_watch_ms: relay_operator_watch_ms(&shared.options),
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

/// Returns how long one watch call of a relay for the operator settings waits, or `None` if followers
/// could not confirm their settings in time.
fn relay_operator_watch_ms(options: &GatewayOptions) -> Option<u64> {
    let regions_ms = operator_watch_ms(options.apply_bound_ms, REGIONS_RESERVE_MS + RELAY_DELAY_MS);
    (options.revoke_bound_ms >= MIN_RELAYED_REVOKE_BOUND_MS)
        .then_some(RELAY_OPERATOR_WATCH_MS.min(regions_ms))
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
    entry: (&Key, Option<&yuccapass_platform::Value>),
    now: Instant,
) -> Result<EntryChange, DecodeError> {
    let (key, value) = entry;
    entry_decoder.decode(key, value, now).inspect_err(|error| {
        log::warn!(error:%; "an entry of the platform could not be decoded");
    })
}

/// Returns the key of a change, and the value unless the key was deleted.
fn changed_entry(change: &Change) -> (&Key, Option<&yuccapass_platform::Value>) {
    match &change.kind {
        ChangeKind::Put(entry) => (&entry.key, Some(&entry.value)),
        ChangeKind::Deleted(key) => (key, None),
    }
}

/// Applies the operator settings: configuration, evacuated zones and target weights.
struct OperatorHandler {
    shared: Arc<Shared>,
    entry_decoder: Arc<dyn EntryDecoder>,
    swap_leader: Arc<SwapLeader>,
    target_bounds: Mutex<TargetBounds>,
}

impl OperatorHandler {
    fn apply(&self, change: EntryChange, revision: KeyValueRevision) {
        match change {
            EntryChange::Configuration(configuration) => {
                let revision = configuration.revision();
                if self.shared.offer_configuration(*configuration) {
                    log::info!(revision = revision.get(); "configuration activated");
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
            match decode(&*self.entry_decoder, (&entry.key, Some(&entry.value)), now) {
                Ok(EntryChange::Evacuation { zone, .. }) => evacuated.push(zone),
                Ok(EntryChange::Rollout { service, request: Some(request) }) => {
                    orders.push((service, RolloutOrderId::new(entry.mod_revision.get()), request));
                }
                Ok(change) => self.apply(change, entry.mod_revision),
                Err(_) => {}
            }
        }
        self.shared.rollouts.replace_orders(&orders, now);
        self.shared.change_directory(|directory| directory.replace_evacuated(evacuated));
    }

    fn change(&self, changes: &[Change]) {
        for change in changes {
            if let Ok(decoded) =
                decode(&*self.entry_decoder, changed_entry(change), self.shared.now())
            {
                self.apply(decoded, change.revision);
            }
        }
    }

    fn max_watch_ms(&self) -> Option<u64> {
        let is_bound = self.shared.configuration()?.is_region_bound();
        let watch_ms = || operator_watch_ms(self.shared.options.apply_bound_ms, REGIONS_RESERVE_MS);
        is_bound.then(watch_ms)
    }

    fn confirmed(&self, sent_at: Instant) {
        self.shared.settings_validity().confirm(sent_at);
    }

    fn record_known_until(&self, at: Instant) {
        self.target_bounds().confirm(at);
        self.shared.rollouts.confirm_settings(at);
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
