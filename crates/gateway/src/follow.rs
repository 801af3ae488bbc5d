//! Follows keys of the platform's key-value service.
//!
//! A follower reads all keys with a prefix and then waits for their changes. It begins anew when the
//! service has dropped the changes that it missed, or after a failure.

use std::sync::Arc;

use async_std::task;
use yuccapass_decisions::gateway::{EndpointRecord, EndpointState};
use yuccapass_decisions::platform_budget::CallRank;
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, Entry, Key, KeyRange, KeyValue, PlatformClient, PlatformError,
    RangeRequest, RankedKeyValue, StoreRevision, WatchOutcome, WatchRequest,
};
use yuccapass_types::{Deadline, EndpointId, Instant, SortedMap, ZoneId};

use crate::protocol::{Catalog, CatalogChange, CatalogError};
use crate::state::Shared;
use crate::weights::WeightDuty;

/// Longest time for which one watch of the operators' decisions waits. Its quiet end confirms the
/// keys, which a node may rely on for some seconds only.
const DECISIONS_WATCH_MS: u64 = 1_200;

/// Watches of the operators' decisions in the time for which keys are relied on: one may fail, and
/// the next one must still end in time.
const WATCHES_PER_BOUND: u64 = 4;

/// How long one watch of the endpoints waits. A connection that has gone silent is noticed at its
/// end.
const ENDPOINTS_WATCH_MS: u64 = 2_500;

/// How long reading all keys may take.
const READ_LIMIT_MS: u64 = 3_000;

/// Entries in one page.
const PAGE_ENTRIES: u32 = 500;

/// Pause after a failure, so that a service that refuses calls is not called in a loop.
const PAUSE_MS: u64 = 150;

/// Period of the check for endpoints that did not register again.
const EXPIRY_PERIOD_MS: u64 = 250;

/// What a follower does with what it reads.
pub(crate) trait Follower: Send + Sync {
    /// Takes all entries.
    fn replace(&self, entries: &[Entry]);

    /// Takes one change.
    fn change(&self, change: &Change);

    /// Notes that a call which was sent at `sent_at` has shown everything up to then.
    fn confirmed(&self, _sent_at: Instant) {}

    /// Notes that the service does not answer.
    fn lost(&self) {}
}

/// Follows the keys with a prefix until the process ends.
pub(crate) async fn follow(
    shared: Arc<Shared>,
    platform: Arc<PlatformClient>,
    prefix: Key,
    watch_ms: u64,
    follower: Arc<dyn Follower>,
) {
    let mut is_lost = false;
    loop {
        let result = follow_once(&shared, &platform, &prefix, watch_ms, &*follower, &mut is_lost);
        if let Err(error) = result.await {
            if !is_lost {
                log::warn!(prefix = prefix.as_str(), error:%; "the platform does not answer");
            }
            is_lost = true;
            follower.lost();
        }
        let pause = Deadline::after_ms(shared.now(), PAUSE_MS);
        sleep_until(&*shared.clock, pause).await;
    }
}

async fn follow_once(
    shared: &Shared,
    platform: &Arc<PlatformClient>,
    prefix: &Key,
    watch_ms: u64,
    follower: &dyn Follower,
    is_lost: &mut bool,
) -> Result<(), PlatformError> {
    let reader = platform.ranked(CallRank::Refresh);
    let watcher = platform.ranked(CallRank::Watch);
    let sent_at = shared.now();
    let (entries, mut revision) = read_all(shared, &reader, prefix).await?;
    if *is_lost {
        log::info!(prefix = prefix.as_str(), revision = revision.get(); "the platform answers again");
        *is_lost = false;
    }
    follower.replace(&entries);
    follower.confirmed(sent_at);
    loop {
        let request =
            WatchRequest { range: KeyRange::Prefix(prefix.clone()), from: revision.next() };
        let sent_at = shared.now();
        let deadline = Deadline::after_ms(sent_at, watch_ms);
        match watcher.watch(&request, deadline).await? {
            WatchOutcome::Changes(changes) => {
                for change in &changes {
                    follower.change(change);
                    revision = revision.max(change.revision);
                }
            }
            WatchOutcome::Quiet { revision: newest } => {
                revision = revision.max(newest.unwrap_or(revision));
            }
            WatchOutcome::Compacted | WatchOutcome::Restored { .. } => {
                log::info!(prefix = prefix.as_str(); "changes were dropped; reading anew");
                return Ok(());
            }
        }
        follower.confirmed(sent_at);
    }
}

/// Reads all pages. They show different moments, so the watch starts after the first one and
/// repeats changes that later pages may already show.
async fn read_all(
    shared: &Shared,
    reader: &RankedKeyValue,
    prefix: &Key,
) -> Result<(Vec<Entry>, StoreRevision), PlatformError> {
    let deadline = Deadline::after_ms(shared.now(), READ_LIMIT_MS);
    let mut request = RangeRequest {
        range: KeyRange::Prefix(prefix.clone()),
        start: None,
        limit: PAGE_ENTRIES,
        revision: None,
    };
    let first = reader.range(&request, deadline).await?;
    let (mut entries, revision, mut next) = (first.entries, first.revision, first.next);
    while next.is_some() {
        request.start = next;
        let page = reader.range(&request, deadline).await?;
        entries.extend(page.entries);
        next = page.next;
    }
    Ok((entries, revision))
}

/// Starts the followers of the operators' decisions and of the endpoints.
pub(crate) fn start(
    shared: &Arc<Shared>,
    platform: &Arc<PlatformClient>,
    catalog: &Arc<dyn Catalog>,
    duty: &Arc<WeightDuty>,
) {
    let decisions = Decisions {
        shared: Arc::clone(shared),
        catalog: Arc::clone(catalog),
        duty: Arc::clone(duty),
    };
    let endpoints = Endpoints {
        shared: Arc::clone(shared),
        catalog: Arc::clone(catalog),
        duty: Arc::clone(duty),
    };
    let spawn = |prefix: &Key, watch_ms, follower: Arc<dyn Follower>| {
        let (shared, platform) = (Arc::clone(shared), Arc::clone(platform));
        task::spawn(follow(shared, platform, prefix.clone(), watch_ms, follower));
    };
    let confirm_ms = shared.options.revoke_bound_ms / WATCHES_PER_BOUND;
    spawn(catalog.decisions(), confirm_ms.min(DECISIONS_WATCH_MS), Arc::new(decisions));
    spawn(catalog.endpoints(), ENDPOINTS_WATCH_MS, Arc::new(endpoints));
    task::spawn(expire_endpoints(Arc::clone(shared)));
}

/// Drops endpoints that did not register again after an outage.
async fn expire_endpoints(shared: Arc<Shared>) {
    loop {
        let next = Deadline::after_ms(shared.now(), EXPIRY_PERIOD_MS);
        sleep_until(&*shared.clock, next).await;
        let now = shared.now();
        if shared.directory().has_overdue(now) {
            shared.change_directory(|directory| directory.expire(now));
            log::info!("endpoints that did not register again were dropped");
        }
    }
}

/// Decodes an entry; one that cannot be understood is logged and changes nothing.
fn decode(
    catalog: &dyn Catalog,
    entry: (&Key, Option<&yuccapass_platform::Value>),
    now: Instant,
) -> Result<CatalogChange, CatalogError> {
    let (key, value) = entry;
    catalog.decode(key, value, now).inspect_err(|error| {
        log::warn!(error:%; "an entry of the platform cannot be understood");
    })
}

/// The key of a change with its value, if it has one.
fn changed_entry(change: &Change) -> (&Key, Option<&yuccapass_platform::Value>) {
    match &change.kind {
        ChangeKind::Put(entry) => (&entry.key, Some(&entry.value)),
        ChangeKind::Deleted(key) => (key, None),
    }
}

/// Follows the operators' decisions.
struct Decisions {
    shared: Arc<Shared>,
    catalog: Arc<dyn Catalog>,
    duty: Arc<WeightDuty>,
}

impl Decisions {
    fn apply(&self, change: CatalogChange) {
        match change {
            CatalogChange::Configuration(configuration) => {
                let revision = configuration.revision();
                if self.shared.offer_configuration(*configuration) {
                    log::info!(revision = revision.get(); "a configuration is in force");
                }
            }
            CatalogChange::Evacuation { zone, is_evacuated } => {
                log::info!(zone = zone.as_str(), is_evacuated; "a zone was taken out or back");
                self.shared.change_directory(|directory| {
                    directory.set_evacuated(zone, is_evacuated);
                });
            }
            CatalogChange::Weights { model, weights } => {
                log::info!(model = model.as_str(), weights = weights.get(); "weights were named");
                let now = self.shared.now();
                self.shared
                    .change_directory(|directory| directory.want_weights(model, weights, now));
                self.duty.wake();
            }
            CatalogChange::Endpoint { .. } | CatalogChange::Nothing => {}
        }
    }
}

impl Follower for Decisions {
    fn replace(&self, entries: &[Entry]) {
        let now = self.shared.now();
        let mut evacuated: Vec<ZoneId> = Vec::new();
        for entry in entries {
            match decode(&*self.catalog, (&entry.key, Some(&entry.value)), now) {
                Ok(CatalogChange::Evacuation { zone, .. }) => evacuated.push(zone),
                Ok(change) => self.apply(change),
                Err(_) => {}
            }
        }
        self.shared.change_directory(|directory| directory.replace_evacuated(evacuated));
    }

    fn change(&self, change: &Change) {
        if let Ok(change) = decode(&*self.catalog, changed_entry(change), self.shared.now()) {
            self.apply(change);
        }
    }

    fn confirmed(&self, sent_at: Instant) {
        self.shared.approval().confirm(sent_at);
    }
}

/// Follows the endpoints.
struct Endpoints {
    shared: Arc<Shared>,
    catalog: Arc<dyn Catalog>,
    duty: Arc<WeightDuty>,
}

impl Follower for Endpoints {
    fn replace(&self, entries: &[Entry]) {
        let now = self.shared.now();
        let mut records: SortedMap<EndpointId, EndpointRecord> = SortedMap::new();
        for entry in entries {
            let decoded = decode(&*self.catalog, (&entry.key, Some(&entry.value)), now);
            if let Ok(CatalogChange::Endpoint { id, record: Some(record) }) = decoded {
                records.insert(id, record);
            }
        }
        log::info!(endpoints = records.len(); "the list of endpoints was read");
        self.shared.change_directory(|directory| {
            directory.service_answers(now);
            directory.replace(records, now);
        });
        self.duty.wake();
    }

    fn change(&self, change: &Change) {
        let now = self.shared.now();
        let (key, value) = changed_entry(change);
        let removed = || self.catalog.decode(key, None, now);
        // An endpoint whose entry cannot be understood is not used.
        let decoded = decode(&*self.catalog, (key, value), now).or_else(|_| removed());
        let Ok(CatalogChange::Endpoint { id, record }) = decoded else { return };
        log::info!(
            endpoint = id.as_str(),
            state:? = record.as_ref().map(|record| record.state),
            is_ready = record.as_ref().is_some_and(|record| record.state == EndpointState::Ready),
            revision = change.revision.get();
            "an endpoint has changed"
        );
        self.shared.change_directory(|directory| match record {
            Some(record) => directory.register(id, record),
            None => directory.remove(&id, now),
        });
        self.duty.wake();
    }

    fn lost(&self) {
        self.shared.change_directory(|directory| directory.service_lost());
    }
}
