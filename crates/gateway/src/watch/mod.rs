//! Watches keys in the platform's key-value service.
//!
//! [`watch_prefix`] reads all keys with a prefix and then watches for changes. After a failure it
//! continues from the last known revision, and starts over only if the service no longer has the
//! changes since then, or has come back from an older copy. While this node follows a relay, the changes
//! come from the relay.

mod handler;
mod listing;
mod mirror;
mod settings;

use std::sync::Arc;

use futures::future::{Either, select};
use yuccapass_decisions::gateway::relay::{
    Crossing, EraStep, KnownPosition, OriginRead, OutageEnds, RelayItem, RelayedEntry, TopicClass,
};
use yuccapass_decisions::platform_budget::{Backoff, CallPurpose, CallRank};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, Entry, Key, KeyRange, KeyValue, KeyValueClient, KeyValueRevision,
    PlatformClient, PlatformError, PlatformErrorKind, StoreEra, Value, WatchOutcome, WatchRequest,
};
use yuccapass_types::{Bytes, Deadline, Instant};

pub(crate) use self::handler::{Confirmation, WatchHandler};
pub(crate) use self::listing::read_all;
use self::listing::{Listing, PAGE_TIMEOUT_MS};
use self::mirror::Mirror;
pub(crate) use self::settings::start;
use crate::metrics::ChangePath;
use crate::relay::{NextRead, RelayedChanges, RelayedList, Subscription, keys_topic, read_list};
use crate::state::Shared;

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
pub(super) const FIRST_WATCH_MS: u64 = 100;

/// How long a watch call waits that only shows whether an answer has left out later changes.
const FOLLOWING_WATCH_MS: u64 = 1;

/// Time by which the age of what a relay knows may exceed the wait of its calls: pauses between the
/// calls, the calls themselves under load, and the time for which the relay holds requests.
const RELAY_DELAY_MS: u64 = 1_000;

/// How long a relay may lead a node into a later era of the service that the node has heard of itself. A
/// relay that has failed is not asked again for up to 4 s.
const LEAD_MS: u64 = 5_000;

/// Timeout for reading one page in that time, after which the node looks for a relay again.
const LED_PAGE_TIMEOUT_MS: u64 = 1_000;

/// Size from which what was read is logged.
const LOGGED_READ: Bytes = Bytes::new(16 << 10);

/// What was read of the watched keys.
#[derive(Debug, Clone, Copy)]
enum News<'a> {
    /// The complete list of entries.
    List(&'a [Entry]),
    /// Changes, in their order.
    Changes(&'a [Change]),
}

/// What an answer to a watch may have left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gap {
    /// Nothing, or nothing that matters to the handler until the next call.
    None,
    /// The service may have cut the answer off, as it may any with changes.
    Possible,
    /// The service has probably cut the answer off. The next one may be as large, and take time.
    Likely,
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
        // Who is a relay follows from the registrations of the nodes, so they don't wait behind reports.
        match (self.class, self.purpose) {
            (TopicClass::Urgent | TopicClass::Regular, _)
            | (TopicClass::Background, CallPurpose::Nodes) => (CallRank::Refresh, CallRank::Watch),
            (TopicClass::Background, _) => (CallRank::Report, CallRank::Report),
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
        known: None,
        confirmed_at: None,
        gap: Gap::None,
        mirror: Mirror::default(),
        is_restored: false,
        led_until: None,
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
    // The revision of what is known; it stays while the keys are listed again.
    known: Option<KeyValueRevision>,
    // When the origin confirmed that what is known has no gaps.
    confirmed_at: Option<Instant>,
    // What the last answer may have left out.
    gap: Gap,
    // What is known; empty for a background topic, whose followers list the keys themselves.
    mirror: Mirror,
    // Whether the service has come back from an older copy since the keys were listed.
    is_restored: bool,
    // Until when a relay may lead this node into the era that it has heard of.
    led_until: Option<Deadline>,
    // Whether the last changes came from a relay.
    was_following: bool,
    // The pauses between calls while they fail.
    outage: Option<Backoff>,
    // Which outages that relays report are those of the service.
    outage_ends: OutageEnds,
}

impl PrefixWatcher {
    async fn run(mut self) {
        self.list_in_zone().await;
        loop {
            // While a relay may lead this node into a later era, its position is the last one before.
            let position = self.revision.or(self.known.filter(|_| self.led_until.is_some()));
            let next_read = match (&self.subscription, position) {
                (Some(subscription), Some(revision)) => {
                    let era = revision.era().get();
                    self.shared.relay.next_read(subscription, era, revision.get()).await
                }
                _ => NextRead::Origin,
            };
            match next_read {
                NextRead::Relayed(changes) => self.follow(changes).await,
                NextRead::List if self.list_in_zone().await => {}
                NextRead::List | NextRead::Origin => match self.read_origin_unless_led().await {
                    Ok(()) => {}
                    // A late answer of an ended era was not used; the service answers.
                    Err(error) if error.kind() == PlatformErrorKind::Restored => {
                        self.is_restored = true;
                        self.pause_before_list().await;
                    }
                    Err(error) => self.pause_after(&error).await,
                },
            }
        }
    }

    /// Lists the keys at another node of the zone; returns whether one has a newer list than this node.
    async fn list_in_zone(&mut self) -> bool {
        let Some(subscription) = self.held_subscription() else { return false };
        let Some(list) = read_list(&self.shared, subscription, self.known).await else {
            return false;
        };
        self.apply_relayed_list(list);
        true
    }

    /// Reads from the origin. A wait for changes there ends when this node begins to follow a relay: a change
    /// would otherwise come twice, once with its whole value.
    async fn read_origin_unless_led(&mut self) -> Result<(), PlatformError> {
        // A follower reads here what its relay does not send.
        let has_no_choice = self.subscription.is_none() || !self.shared.relay.reads_origins();
        if has_no_choice || self.revision.is_none() {
            return self.read_origin().await;
        }
        let shared = Arc::clone(&self.shared);
        let reading = std::pin::pin!(self.read_origin());
        let following = std::pin::pin!(shared.relay.leaves_origins());
        match select(reading, following).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Ok(()),
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
        let now = self.shared.now();
        self.led_until = self.led_until.filter(|until| !until.has_passed(now));
        let page_timeout_ms = match self.led_until {
            Some(_) => LED_PAGE_TIMEOUT_MS,
            None => PAGE_TIMEOUT_MS,
        };
        let listing = self.listing.get_or_insert_with(|| Listing::new(now));
        listing.page_timeout_ms = page_timeout_ms;
        listing.read(&self.shared, &self.reader, &self.settings.prefix, false).await?;
        let Some(Listing { sent_at, entries, revision, .. }) = self.listing.take() else {
            return Ok(());
        };
        self.record_answer(self.shared.now());
        let is_other_era = self.known.is_some_and(|known| known.era() != revision.era());
        if std::mem::take(&mut self.is_restored) || is_other_era {
            // Registrations that the copy lacks may return.
            self.handler.lost();
            self.record_recovery(self.shared.now());
        }
        let sizes = entries.iter().map(entry_size);
        self.record_read(ChangePath::FromOrigin, sizes, sent_at, revision);
        self.shared.relay.values.hold(&entries);
        self.hold_list(&entries, revision, sent_at);
        self.pass_on(News::List(&entries), Some(Confirmation::at(sent_at)));
        self.publish_list(&entries, revision, sent_at);
        Ok(())
    }

    async fn watch(&mut self, revision: KeyValueRevision) -> Result<(), PlatformError> {
        let range = KeyRange::Prefix(self.settings.prefix.clone());
        let request = WatchRequest { range, from: revision.next() };
        let sent_at = self.shared.now();
        let may_have_followers = self.shared.relay.may_have_followers();
        let needs_answer = self.was_following || self.outage.is_some();
        let gap_before = self.gap;
        let watch_ms = match (gap_before, self.settings.relay_watch_ms) {
            (Gap::Likely, _) => FIRST_WATCH_MS,
            _ if needs_answer => FIRST_WATCH_MS,
            (Gap::Possible, _) => FOLLOWING_WATCH_MS,
            (Gap::None, Some(relay_watch_ms)) if may_have_followers => relay_watch_ms,
            (Gap::None, _) => self.settings.watch_ms,
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
        self.gap = match outcome {
            WatchOutcome::PartialChanges { .. } => Gap::Likely,
            WatchOutcome::Changes(_) if self.handler.relies_on_confirmations() => Gap::Possible,
            _ => Gap::None,
        };
        let is_complete = self.gap == Gap::None;
        let (changes, newest) = match outcome {
            WatchOutcome::Changes(changes) => {
                let newest = changes.iter().map(|change| change.revision).fold(revision, Ord::max);
                (changes, newest)
            }
            WatchOutcome::PartialChanges { changes, revision: newest } => {
                (changes, revision.max(newest))
            }
            WatchOutcome::NoChanges { revision: newest } => {
                (Vec::new(), revision.max(newest.unwrap_or(revision)))
            }
            WatchOutcome::Compacted => {
                log::info!(
                    prefix = self.settings.prefix.as_str();
                    "the platform no longer has the missed changes; reading all entries again"
                );
                self.revision = None;
                self.pause_before_list().await;
                return Ok(());
            }
            WatchOutcome::Restored { revision: newest } => {
                let may_be_led = self.settings.class != TopicClass::Background
                    && self.subscription.is_some()
                    && self.shared.relay.has_relay_for(&self.shared.options.node);
                self.led_until = may_be_led.then(|| Deadline::after_ms(now, LEAD_MS));
                self.list_after_restoration(newest.era()).await;
                return Ok(());
            }
        };
        if !changes.is_empty() {
            let sizes = changes.iter().map(change_size);
            self.record_read(ChangePath::FromOrigin, sizes, sent_at, newest);
        }
        let confirmation = Confirmation { sent_at, known_until };
        self.pass_on(News::Changes(&changes), is_complete.then_some(confirmation));
        if !is_complete {
            // Without an earlier confirmation there would be no revision to watch from.
            let confirmed_at = self.confirmed_at.unwrap_or_default();
            self.publish(revision, newest, &changes, confirmed_at);
            return Ok(());
        }
        self.publish(revision, newest, &changes, sent_at);
        let has_changed = gap_before != Gap::None || !changes.is_empty();
        if has_changed && self.settings.pause_ms > 0 {
            let resume_at = Deadline::after_ms(self.shared.now(), self.settings.pause_ms);
            sleep_until(&*self.shared.clock, resume_at).await;
        }
        Ok(())
    }

    /// Lists the keys again, because the service has come back from an older copy. No position carries
    /// over: the service gives the revisions out again.
    async fn list_after_restoration(&mut self, era: StoreEra) {
        log::info!(
            prefix = self.settings.prefix.as_str(), era:%,
            old_revision:% = self.revision.unwrap_or_default();
            "the platform has come back from an older copy; reading all entries again"
        );
        self.revision = None;
        self.is_restored = true;
        self.pause_before_list().await;
    }

    /// Pauses before the keys are listed again: a service that drops its history or comes back from a copy
    /// does so for all nodes, and may do so again soon.
    async fn pause_before_list(&self) {
        let base_ms = match self.settings.class {
            TopicClass::Urgent | TopicClass::Regular => RETRY_BASE_MS,
            TopicClass::Background => BACKGROUND_LIST_PAUSE_MS,
        };
        let pause_ms = base_ms + rand::random_range(0..base_ms);
        let pause = Deadline::after_ms(self.shared.now(), pause_ms);
        sleep_until(&*self.shared.clock, pause).await;
    }

    /// Applies what a relay has read, or lists the keys again if that is of a later era.
    async fn follow(&mut self, relayed: RelayedChanges) {
        let own = self.known.unwrap_or_default().era();
        match EraStep::of(own.get(), relayed.epoch, relayed.items.is_some()) {
            EraStep::Apply => self.apply_relayed(relayed),
            EraStep::Cross => {
                log::info!(
                    prefix = self.settings.prefix.as_str(), era = relayed.epoch,
                    old_revision:% = self.revision.unwrap_or_default();
                    "a relay leads into a later era of the platform"
                );
                self.is_restored = false;
                self.handler.lost();
                self.handler.recovered(self.shared.now());
                self.apply_relayed(relayed);
            }
            EraStep::ListAgain => {
                self.led_until = None;
                self.list_after_restoration(StoreEra::new(relayed.epoch)).await;
            }
            // The relay client does not pass these on.
            EraStep::Refuse => {}
        }
    }

    /// Applies the list of another node of the zone.
    fn apply_relayed_list(&mut self, list: RelayedList) {
        let RelayedList { epoch, end, confirmed_at, entries } = list;
        let entries: Vec<Entry> =
            entries.into_iter().filter_map(|entry| entry_of(entry, epoch)).collect();
        let revision = KeyValueRevision::new(end).in_era(StoreEra::new(epoch));
        self.was_following = true;
        self.record_answer(self.shared.now());
        let sizes = entries.iter().map(entry_size);
        self.record_read(ChangePath::FromRelay, sizes, confirmed_at, revision);
        self.shared.relay.values.hold(&entries);
        self.hold_list(&entries, revision, confirmed_at);
        self.pass_on(News::List(&entries), Some(Confirmation::at(confirmed_at)));
        // There is nothing to compare the list with.
        drop(self.mirror.replace(&entries, revision));
        self.record_known(&[], revision, confirmed_at);
        if let Some(subscription) = &self.subscription {
            self.shared.relay.set_position(subscription, epoch, end);
        }
    }

    /// Passes on what was read, and then its confirmation, if nothing is missing: a confirmation covers all that was
    /// passed on before it.
    fn pass_on(&self, news: News<'_>, confirmation: Option<Confirmation>) {
        match news {
            News::List(entries) => self.handler.replace(entries),
            News::Changes([]) => {}
            News::Changes(changes) => self.handler.change(changes),
        }
        if let Some(confirmation) = confirmation {
            self.handler.confirmed(confirmation);
        }
    }

    /// Holds a complete list for nodes that start.
    fn hold_list(&self, entries: &[Entry], revision: KeyValueRevision, confirmed_at: Instant) {
        let Some(subscription) = self.held_subscription() else { return };
        let entries: Vec<RelayedEntry> = entries.iter().map(relayed_entry).collect();
        self.shared.relay.hold_list(subscription, position(revision, confirmed_at), &entries);
    }

    /// Returns the subscription if all that is known is held for other nodes.
    fn held_subscription(&self) -> Option<&Subscription> {
        let is_held = self.settings.class != TopicClass::Background;
        self.subscription.as_ref().filter(|_| is_held)
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
        let changes: Vec<Change> = relayed
            .items
            .into_iter()
            .flatten()
            .filter_map(|item| change_of(item, relayed.epoch))
            .collect();
        let end = KeyValueRevision::new(relayed.end).in_era(StoreEra::new(relayed.epoch));
        if !changes.is_empty() {
            let sizes = changes.iter().map(change_size);
            self.record_read(ChangePath::FromRelay, sizes, relayed.confirmed_at, end);
        }
        self.pass_on(News::Changes(&changes), Some(Confirmation::at(relayed.confirmed_at)));
        self.record_known(&changes, end, relayed.confirmed_at);
        if let Some(subscription) = &self.subscription {
            self.shared.relay.set_position(subscription, relayed.epoch, relayed.end);
        }
    }

    /// Records the sizes of entries or changes that were read, and logs them if a slow link needs long for
    /// them. The origin confirmed at `confirmed_at` that there were no later ones.
    fn record_read(
        &self,
        path: ChangePath,
        sizes: impl ExactSizeIterator<Item = Bytes>,
        confirmed_at: Instant,
        revision: KeyValueRevision,
    ) {
        let count = sizes.len();
        let size: Bytes = sizes.sum();
        let prefix = self.settings.prefix.as_str();
        // What came from a relay was counted as it arrived.
        if path == ChangePath::FromOrigin {
            self.shared.metrics.record_change_bytes(&keys_topic(prefix), path, size);
        }
        if size >= LOGGED_READ {
            log::info!(
                prefix, path = path.as_str(), count, bytes = size.get(), revision:%,
                age_ms = self.shared.now().ms_since(confirmed_at);
                "much was read"
            );
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
        self.record_known(changes, to, sent_at);
        let items = changes.iter().map(relay_item).collect();
        if let Some(subscription) = &self.subscription {
            let read = origin_read(from, to, items, sent_at);
            self.shared.relay.publish(subscription, read, self.shared.now());
        }
    }

    /// Publishes a complete list for the followers of this node, with the differences from what is known
    /// if that belongs to an earlier era.
    fn publish_list(&mut self, entries: &[Entry], revision: KeyValueRevision, sent_at: Instant) {
        let differences = match self.settings.class {
            TopicClass::Background => None,
            _ => Some(self.mirror.replace(entries, revision)),
        };
        let before = self.known.filter(|known| known.era() < revision.era());
        self.record_known(&[], revision, sent_at);
        let Some(subscription) = &self.subscription else { return };
        let (read, now) = (origin_read(revision, revision, Vec::new(), sent_at), self.shared.now());
        match (before, differences) {
            (Some(before), Some(differences)) => {
                let items = differences.iter().map(|change| relay_item(change).1).collect();
                let crossing = Crossing { epoch: before.era().get(), end: before.get(), items };
                self.shared.relay.publish_crossing(subscription, read, crossing, now);
            }
            _ => self.shared.relay.publish(subscription, read, now),
        }
    }

    /// Records that all changes up to a revision are known, as the origin confirmed at `confirmed_at`.
    fn record_known(
        &mut self,
        changes: &[Change],
        revision: KeyValueRevision,
        confirmed_at: Instant,
    ) {
        if let Some(subscription) = self.held_subscription() {
            let changes: Vec<RelayedEntry> = changes.iter().map(relayed_change).collect();
            let position = position(revision, confirmed_at);
            self.shared.relay.hold_changes(subscription, position, &changes);
        }
        if self.settings.class != TopicClass::Background {
            self.mirror.apply(changes);
        }
        (self.revision, self.known) = (Some(revision), Some(revision));
        self.confirmed_at = Some(confirmed_at);
        // Pages that were read before a relay led this node on are older than what it knows now.
        self.listing = None;
        self.led_until = None;
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
        self.record_recovery(since);
    }

    /// Passes on that what the service lost may return from `since` on.
    fn record_recovery(&self, since: Instant) {
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

fn origin_read(
    from: KeyValueRevision,
    to: KeyValueRevision,
    items: Vec<(u64, RelayItem)>,
    sent_at: Instant,
) -> OriginRead {
    let epoch = to.era().get();
    OriginRead { epoch, from: from.get(), to: to.get(), items, sent_at, clock_ms: None }
}

fn entry_size(entry: &Entry) -> Bytes {
    Bytes::new((entry.key.as_str().len() + entry.value.as_bytes().len()) as u64)
}

fn change_size(change: &Change) -> Bytes {
    match &change.kind {
        ChangeKind::Put(entry) => entry_size(entry),
        ChangeKind::Deleted(key) => Bytes::new(key.as_str().len() as u64),
    }
}

fn position(revision: KeyValueRevision, confirmed_at: Instant) -> KnownPosition {
    KnownPosition { epoch: revision.era().get(), end: revision.get(), confirmed_at }
}

/// Converts a change for the followers of this node.
fn relay_item(change: &Change) -> (u64, RelayItem) {
    (change.revision.get(), RelayItem::Entry(relayed_change(change)))
}

fn relayed_change(change: &Change) -> RelayedEntry {
    let (key, value) = changed_entry(change);
    RelayedEntry {
        key: key.as_str().into(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision: change.revision.get(),
    }
}

fn relayed_entry(entry: &Entry) -> RelayedEntry {
    RelayedEntry {
        key: entry.key.as_str().into(),
        value: Some(entry.value.as_bytes().to_vec()),
        revision: entry.mod_revision.get(),
    }
}

/// Converts an entry of another node's list. One whose key or value is not valid is left out, as this node cannot
/// have read it from the service either.
fn entry_of(entry: RelayedEntry, era: u64) -> Option<Entry> {
    let mod_revision = KeyValueRevision::new(entry.revision).in_era(StoreEra::new(era));
    let value = Value::new(entry.value?).ok()?;
    Some(Entry { key: entry.key.parse().ok()?, value, mod_revision, lease: None })
}

/// Converts a change of an era from a relay. One whose key or value is not valid is left out, as this node
/// cannot have read it from the service either.
fn change_of(item: RelayItem, era: u64) -> Option<Change> {
    let RelayItem::Entry(entry) = item else { return None };
    let key: Key = entry.key.parse().ok()?;
    let revision = KeyValueRevision::new(entry.revision).in_era(StoreEra::new(era));
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

/// Returns the key of a change, and the value unless the key was deleted.
fn changed_entry(change: &Change) -> (&Key, Option<&Value>) {
    match &change.kind {
        ChangeKind::Put(entry) => (&entry.key, Some(&entry.value)),
        ChangeKind::Deleted(key) => (key, None),
    }
}
