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
    Change, ChangeKind, Entry, Key, KeyRange, KeyValue, KeyValueClient, KeyValueRevision,
    PlatformClient, PlatformError, RangeRequest, WatchOutcome, WatchRequest,
};
use yuccapass_types::{Deadline, EndpointId, Instant, SortedMap, ZoneId};

use crate::protocol::{Catalog, CatalogChange, CatalogError};
use crate::state::Shared;
use crate::weights::WeightDuty;

/// Longest time for which one watch of the operators' decisions waits, since a connection that has
/// gone silent is noticed at its end only.
const MAX_DECISIONS_WATCH_MS: u64 = 1_800;

/// Shortest such time, so that a small bound does not make calls in a loop.
const MIN_DECISIONS_WATCH_MS: u64 = 100;

/// What is left of the time for which keys are relied on after two watches: the first confirms them,
/// the second may fail with its connection, and reading anew must end in time.
const CONFIRM_RESERVE_MS: u64 = 1_400;

/// How long one watch of the endpoints waits. A connection that has gone silent is noticed at its
/// end, which must come before a leaving endpoint that was not shown may get nothing more.
const ENDPOINTS_WATCH_MS: u64 = 5_000;

/// Pause between a watch of the decisions that showed changes and the next one. Changes that follow
/// each other are then shown together: each of them costs a call of each node otherwise.
const DECISIONS_PAUSE_MS: u64 = 150;

/// The same for endpoints, of which many change together: all of a zone, or all of a model.
const ENDPOINTS_PAUSE_MS: u64 = 500;

/// How long reading one page may take. The time for all pages grows with the deployment: with 3 s for
/// all of them, 300 nodes before 3,000 endpoints read the first pages again and again.
const PAGE_LIMIT_MS: u64 = 3_000;

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

    /// Takes changes in their order.
    fn change(&self, changes: &[Change]);

    /// Notes that a call which was sent at `sent_at` has shown everything up to then.
    fn confirmed(&self, _sent_at: Instant) {}

    /// Notes that the service does not answer.
    fn lost(&self) {}
}

/// Which keys are followed, and how.
#[derive(Debug, Clone)]
pub(crate) struct FollowTerms {
    /// The beginning of the keys.
    pub(crate) prefix: Key,
    /// How long one watch waits.
    pub(crate) watch_ms: u64,
    /// Pause after a watch that showed changes.
    pub(crate) pause_ms: u64,
}

/// Follows keys until the process ends.
pub(crate) async fn follow(
    shared: Arc<Shared>,
    platform: Arc<PlatformClient>,
    terms: FollowTerms,
    follower: Arc<dyn Follower>,
) {
    let mut is_lost = false;
    loop {
        let result = follow_once(&shared, &platform, &terms, &*follower, &mut is_lost);
        if let Err(error) = result.await {
            if !is_lost {
                let prefix = terms.prefix.as_str();
                log::warn!(prefix, error:%; "the platform does not answer");
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
    terms: &FollowTerms,
    follower: &dyn Follower,
    is_lost: &mut bool,
) -> Result<(), PlatformError> {
    let prefix = &terms.prefix;
    let reader = platform.key_value(CallRank::Refresh);
    let watcher = platform.key_value(CallRank::Watch);
    let sent_at = shared.now();
    let (entries, mut revision) = read_all(shared, &reader, prefix, false).await?;
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
        let deadline = Deadline::after_ms(sent_at, terms.watch_ms);
        let pause_ms = match watcher.watch(&request, deadline).await? {
            WatchOutcome::Changes(changes) => {
                follower.change(&changes);
                revision = changes.iter().map(|change| change.revision).fold(revision, Ord::max);
                terms.pause_ms
            }
            WatchOutcome::NoChanges { revision: newest } => {
                revision = revision.max(newest.unwrap_or(revision));
                0
            }
            WatchOutcome::Compacted | WatchOutcome::Restored { .. } => {
                log::info!(prefix = prefix.as_str(); "changes were dropped; reading anew");
                return Ok(());
            }
        };
        follower.confirmed(sent_at);
        if pause_ms > 0 {
            let resume_at = Deadline::after_ms(shared.now(), pause_ms);
            sleep_until(&*shared.clock, resume_at).await;
        }
    }
}

/// Reads all pages. They show different moments, so the watch starts after the first one and
/// repeats changes that later pages may already show.
pub(crate) async fn read_all(
    shared: &Shared,
    reader: &KeyValueClient,
    prefix: &Key,
    may_be_stale: bool,
) -> Result<(Vec<Entry>, KeyValueRevision), PlatformError> {
    let limit = || Deadline::after_ms(shared.now(), PAGE_LIMIT_MS);
    let mut request = RangeRequest {
        range: KeyRange::Prefix(prefix.clone()),
        start: None,
        limit: PAGE_ENTRIES,
        revision: None,
        may_be_stale,
    };
    let first = reader.range(&request, limit()).await?;
    let (mut entries, revision, mut next) = (first.entries, first.revision, first.next);
    while next.is_some() {
        request.start = next;
        let page = reader.range(&request, limit()).await?;
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
    let spawn = |terms, follower: Arc<dyn Follower>| {
        let (shared, platform) = (Arc::clone(shared), Arc::clone(platform));
        task::spawn(follow(shared, platform, terms, follower));
    };
    let decisions_terms = FollowTerms {
        prefix: catalog.decisions().clone(),
        watch_ms: decisions_watch_ms(shared.options.revoke_bound_ms),
        pause_ms: DECISIONS_PAUSE_MS,
    };
    let endpoints_terms = FollowTerms {
        prefix: catalog.endpoints().clone(),
        watch_ms: ENDPOINTS_WATCH_MS,
        pause_ms: ENDPOINTS_PAUSE_MS,
    };
    spawn(decisions_terms, Arc::new(decisions));
    spawn(endpoints_terms, Arc::new(endpoints));
    task::spawn(expire_endpoints(Arc::clone(shared)));
}

/// How long a watch of the decisions may wait, so that keys are confirmed within their bound even if
/// the connection of one watch is lost.
fn decisions_watch_ms(revoke_bound_ms: u64) -> u64 {
    let wait_ms = revoke_bound_ms.saturating_sub(CONFIRM_RESERVE_MS) / 2;
    wait_ms.clamp(MIN_DECISIONS_WATCH_MS, MAX_DECISIONS_WATCH_MS)
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

    fn change(&self, changes: &[Change]) {
        for change in changes {
            if let Ok(change) = decode(&*self.catalog, changed_entry(change), self.shared.now()) {
                self.apply(change);
            }
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

impl Endpoints {
    /// Decodes a change; an endpoint whose entry cannot be understood is not used.
    fn changed_endpoint(
        &self,
        change: &Change,
        now: Instant,
    ) -> Option<(EndpointId, Option<EndpointRecord>)> {
        let (key, value) = changed_entry(change);
        let removed = || self.catalog.decode(key, None, now);
        let decoded = decode(&*self.catalog, (key, value), now).or_else(|_| removed());
        let Ok(CatalogChange::Endpoint { id, record }) = decoded else { return None };
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

    fn change(&self, changes: &[Change]) {
        let now = self.shared.now();
        let changed: Vec<_> =
            changes.iter().filter_map(|change| self.changed_endpoint(change, now)).collect();
        // Once for all, since readers keep the directory as it was and a change copies it.
        self.shared.change_directory(|directory| {
            for (id, record) in changed {
                match record {
                    Some(record) => directory.register(id, record),
                    None => directory.remove(&id, now),
                }
            }
        });
        self.duty.wake();
    }

    fn lost(&self) {
        self.shared.change_directory(|directory| directory.service_lost());
    }
}
