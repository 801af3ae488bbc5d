//! The prompt parts in a store, and when they may be fetched and saved.
//!
//! A prompt part is a section of a prompt whose KV cache can be reused by other requests. A store
//! keeps a part until it is told to free it, announces it only once it is complete, and does not
//! check fetches. Fetching a part that is still being written would give the request an incomplete
//! KV cache. So a node fetches only parts that were announced since the store's last restart, and
//! the times in [`TransferTiming`] keep fetches and writes of the same part apart around a restart:
//!
//! * A node fetches announced parts for `fetch_validity_ms` after its last successful poll, and
//!   each fetch must end within `fetch_timeout_ms`. A node that sees a store for the first time, or
//!   restarted, saves nothing to it for `save_delay_ms`, which is longer than both together.
//! * A node that has not noticed a restart may go on saving unannounced parts for
//!   `save_validity_ms`. So a part is fetched only `fetch_delay_ms` after its announcement. By then
//!   all nodes that may save know of the part, and the last such save has ended.
//!
//! Parts are stored under a [`CacheNamespace`] that contains the revision of the weights which
//! produced them, so that an endpoint never uses parts of other weights.

use yuccapass_types::{CacheNamespace, Deadline, Instant, PromptPartId, SortedMap, Tokens};

use super::configuration::PartStore;
use super::link_share::LinkShare;
use super::route::PromptPart;

/// Times that keep fetches and writes of the same part apart; see the [module](self).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferTiming {
    /// How long parts may be fetched after the last successful poll of the store was sent.
    pub fetch_validity_ms: u64,
    /// How long parts may be saved after that poll. Shorter, because it delays the first fetch of
    /// each new part.
    pub save_validity_ms: u64,
    /// Time from the announcement of a part to its first fetch: longer than `save_validity_ms` and
    /// a write together.
    pub fetch_delay_ms: u64,
    /// Time within which a fetch must have ended. An endpoint starts the fetch only when it admits
    /// the request: with 400 ms, the fetches of requests that queued for longer all expired, and
    /// the prefill of their prompts made the queues longer still.
    pub fetch_timeout_ms: u64,
    /// Time for which a node saves nothing to a store that is new to it or has restarted: longer
    /// than `fetch_validity_ms`, `fetch_timeout_ms` and a polling period together.
    pub save_delay_ms: u64,
}

impl Default for TransferTiming {
    /// 2.2 s, 800 ms, 1.9 s, 2 s and 5.2 s. A longer `fetch_delay_ms` costs prefills: with 3.2 s,
    /// half of the shared parts that were prefilled again had been saved less than 4 s before.
    fn default() -> Self {
        Self {
            fetch_validity_ms: 2_200,
            save_validity_ms: 800,
            fetch_delay_ms: 1_900,
            fetch_timeout_ms: 2_000,
            save_delay_ms: 5_200,
        }
    }
}

/// Time after which this node may save a part again if the store has not announced it. Some
/// announcements are lost.
const SAVE_RETRY_MS: u64 = 8_000;

/// An announcement that a store has added or removed a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartEvent {
    /// Whether the part was added and is complete; otherwise it was removed.
    pub is_added: bool,
    /// The cache namespace that it belongs to.
    pub namespace: CacheNamespace,
    /// The part.
    pub part: PromptPartId,
    /// Its length.
    pub tokens: Tokens,
}

/// A store's answer to a poll for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartEvents {
    /// Identifies the run of the store; it changes with each restart.
    pub epoch: u64,
    /// The position in the store's events from which to poll next.
    pub next: u64,
    /// Whether the store has dropped events between the requested position and these.
    pub has_gap: bool,
    /// The changes.
    pub events: Vec<PartEvent>,
    /// The time in milliseconds on the clock that stores and endpoints share, if the store sent it.
    pub clock_ms: Option<u64>,
}

type PartKey = (CacheNamespace, PromptPartId);

#[derive(Debug, Clone, Copy)]
struct StoredPart {
    tokens: Tokens,
    announced_at: Instant,
}

/// The parts in a store, as announced to this node, and the saves of this node.
#[derive(Debug, Clone)]
pub struct StoreContents {
    store: PartStore,
    timing: TransferTiming,
    epoch: Option<u64>,
    next: u64,
    parts: SortedMap<PartKey, StoredPart>,
    pending_saves: SortedMap<PartKey, (Tokens, Deadline)>,
    // The sums of tokens in `parts` and `pending_saves`, kept up to date because adding them up for
    // each request takes too long.
    stored_tokens: Tokens,
    pending_tokens: Tokens,
    confirmed_at: Option<Instant>,
    save_allowed_at: Option<Instant>,
    link: LinkShare,
    // A time on the shared clock, and the instant at which this node received it.
    shared_clock: Option<(u64, Instant)>,
}

impl StoreContents {
    /// Creates the state of a store that was not polled yet.
    pub fn new(store: PartStore, timing: TransferTiming) -> Self {
        Self {
            store,
            timing,
            epoch: None,
            next: 0,
            parts: SortedMap::new(),
            pending_saves: SortedMap::new(),
            stored_tokens: Tokens::ZERO,
            pending_tokens: Tokens::ZERO,
            confirmed_at: None,
            save_allowed_at: None,
            link: LinkShare::default(),
            shared_clock: None,
        }
    }

    /// Returns the store.
    pub fn store(&self) -> &PartStore {
        &self.store
    }

    /// Returns the position in the store's events from which to poll next.
    pub fn next_event(&self) -> u64 {
        self.next
    }

    /// Returns the epoch of the store, or `None` if it was never reached.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Applies the answer to a poll that was sent at `sent_at`; returns whether the store is new to
    /// this node or has restarted.
    pub fn apply_events(&mut self, events: PartEvents, sent_at: Instant, now: Instant) -> bool {
        let is_new = self.epoch != Some(events.epoch);
        if is_new {
            self.parts = SortedMap::new();
            self.pending_saves = SortedMap::new();
            self.stored_tokens = Tokens::ZERO;
            self.pending_tokens = Tokens::ZERO;
            self.save_allowed_at =
                Some(Deadline::after_ms(now, self.timing.save_delay_ms).instant());
            self.epoch = Some(events.epoch);
        }
        for event in events.events {
            let key = (event.namespace, event.part);
            self.remove(&key);
            if event.is_added {
                self.stored_tokens = self.stored_tokens + event.tokens;
                self.parts.insert(key, StoredPart { tokens: event.tokens, announced_at: now });
            }
        }
        self.next = events.next;
        self.confirmed_at = Some(sent_at);
        if let Some(clock_ms) = events.clock_ms {
            // The store read its clock before this node received the answer, so the estimate that
            // starts here is never ahead of the shared clock.
            self.shared_clock = Some((clock_ms, now));
        }
        is_new
    }

    fn remove(&mut self, key: &PartKey) {
        if let Some((tokens, _)) = self.pending_saves.remove(key) {
            self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        }
        if let Some(stored) = self.parts.remove(key) {
            self.stored_tokens = self.stored_tokens.saturating_sub(stored.tokens);
        }
    }

    /// Makes the next poll start at the first event, because the position belongs to an earlier
    /// epoch.
    pub fn restart_events(&mut self) {
        self.next = 0;
    }

    /// Returns whether the store has announced a part, even if it may not be fetched yet.
    pub(crate) fn contains(&self, namespace: &CacheNamespace, part: &PromptPartId) -> bool {
        self.parts.contains_key(&(namespace.clone(), part.clone()))
    }

    /// Takes `time_us` of this node's share of the store's link; returns `false` if too little is
    /// left.
    pub(crate) fn try_take_link(&mut self, time_us: u64, nodes: u32, now: Instant) -> bool {
        self.link.try_take(time_us, nodes, now)
    }

    /// Returns whether a part may be fetched now.
    pub fn is_fetchable(
        &self,
        namespace: &CacheNamespace,
        part: &PromptPartId,
        now: Instant,
    ) -> bool {
        let is_delay_over =
            |stored: &StoredPart| now.ms_since(stored.announced_at) >= self.timing.fetch_delay_ms;
        self.is_confirmed_within(self.timing.fetch_validity_ms, now)
            && self.parts.get(&(namespace.clone(), part.clone())).is_some_and(is_delay_over)
    }

    /// Drops saves that the store has not announced in time, so that they no longer count as used.
    pub fn expire_pending_saves(&mut self, now: Instant) {
        let expiry = |&(tokens, deadline): &(Tokens, Deadline)| (tokens, deadline.has_passed(now));
        let freed = self.pending_saves.values().map(expiry).filter(|&(_, is_expired)| is_expired);
        self.pending_tokens =
            self.pending_tokens.saturating_sub(freed.map(|(tokens, _)| tokens).sum());
        self.pending_saves.retain(|_, (_, deadline)| !deadline.has_passed(now));
    }

    /// Returns whether a part should be saved: it is neither stored nor being saved, and it fits if
    /// `nodes` nodes save to the store.
    pub fn should_save(
        &self,
        namespace: &CacheNamespace,
        part: &PromptPart,
        nodes: u32,
        now: Instant,
    ) -> bool {
        let key = (namespace.clone(), part.id.clone());
        let is_saving =
            self.pending_saves.get(&key).is_some_and(|(_, deadline)| !deadline.has_passed(now));
        self.is_confirmed_within(self.timing.save_validity_ms, now)
            && self.save_allowed_at.is_some_and(|from| from <= now)
            && !is_saving
            && !self.contains(namespace, &part.id)
            && self.used_tokens(nodes) + part.tokens <= self.store.capacity
    }

    fn is_confirmed_within(&self, validity_ms: u64, now: Instant) -> bool {
        let until = |at| Deadline::after_ms(at, validity_ms);
        self.confirmed_at.is_some_and(|at| !until(at).has_passed(now))
    }

    /// Records that this node has begun to save a part.
    pub fn record_save(&mut self, namespace: &CacheNamespace, part: &PromptPart, now: Instant) {
        let deadline = Deadline::after_ms(now, SAVE_RETRY_MS);
        let key = (namespace.clone(), part.id.clone());
        if let Some((tokens, _)) = self.pending_saves.insert(key, (part.tokens, deadline)) {
            self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        }
        self.pending_tokens = self.pending_tokens + part.tokens;
    }

    /// Returns the parts in cache namespaces for which `is_stale` returns true.
    pub fn parts_where(&self, is_stale: impl Fn(&CacheNamespace) -> bool) -> Vec<PartKey> {
        self.parts.keys().filter(|(namespace, _)| is_stale(namespace)).cloned().collect()
    }

    /// Returns when a fetch that is planned now must have ended, in milliseconds on the shared
    /// clock.
    pub fn fetch_deadline_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.shared_clock?;
        Some(clock_ms + now.ms_since(at) + self.timing.fetch_timeout_ms)
    }

    /// Returns the tokens that are stored or being saved, if `nodes` nodes save as much as this
    /// one. A store does not report that it is full, so the node has to estimate this.
    pub fn used_tokens(&self, nodes: u32) -> Tokens {
        let pending = self.pending_tokens.get().saturating_mul(u64::from(nodes));
        self.stored_tokens + Tokens::new(pending)
    }
}
