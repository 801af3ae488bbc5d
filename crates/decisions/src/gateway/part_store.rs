//! Which prompt parts stores keep, and which to fetch from and save to them.
//!
//! A store keeps a part until it is told to free it, tells of it only once it is complete, and does
//! not check what is fetched. A fetch of a part that is just being written would give a prompt memory
//! that is not whole. So a node fetches only parts of which it was told in the store's present life,
//! and [`TransferTiming`] keep fetches and writes of the same part apart around a restart:
//!
//! * A node fetches what it was told for `fetch_validity_ms` after the call, and a fetch must have ended
//!   `fetch_timeout_ms` later. A node that sees a store for the first time, or restarted, saves nothing to it
//!   for `save_delay_ms`, which is longer than both together.
//! * A node that has not noticed a restart may still save a part of which it was not told yet, for
//!   `save_validity_ms`. So a part is fetched only `fetch_delay_ms` after it was told, when all nodes that
//!   may save know of it and the last such save has ended.
//!
//! Parts are kept under a name that contains the weights they were made with, so that new weights
//! never meet parts of old ones.

use yuccapass_types::{CacheNamespace, Deadline, Instant, PromptPartId, SortedMap, Tokens};

use super::configuration::PartStore;
use super::link_share::LinkShare;
use super::route::PromptPart;

/// Times that keep fetches and writes of the same part apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferTiming {
    /// How long parts are fetched after the call that confirmed a store's contents was sent.
    pub fetch_validity_ms: u64,
    /// The same for saves. It is shorter, since parts cannot be fetched before it has passed.
    pub save_validity_ms: u64,
    /// Time after a part was told before it is fetched: longer than the trust of saves and a write
    /// together.
    pub fetch_delay_ms: u64,
    /// Time within which a fetch must have ended. It begins only when the endpoint admits the
    /// request: with 400 ms, the fetches of all requests that queued for longer came too late, and
    /// reading their prompts made the queues longer still.
    pub fetch_timeout_ms: u64,
    /// Time for which a node saves nothing to a store that it has not known before, or that has
    /// restarted: longer than trust, fetch and a period of asking together.
    pub save_delay_ms: u64,
}

impl Default for TransferTiming {
    /// 2.2 s, 800 ms, 1.9 s, 2 s and 5.2 s. While parts settled for 3.2 s, half of the shared
    /// parts that were read again were those that had been saved less than 4 s before.
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

/// Time after which a part that this node had saved, and of which the store has not told, may be
/// saved again: some tellings are lost.
const SAVE_RETRY_MS: u64 = 8_000;

/// A change of what a store keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartEvent {
    /// Whether the part is now complete, rather than gone.
    pub is_added: bool,
    /// Where it is found.
    pub space: CacheNamespace,
    /// The part.
    pub part: PromptPartId,
    /// Its length.
    pub tokens: Tokens,
}

/// What a store answers when it is asked for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartEvents {
    /// The life of the store; it changes with a restart.
    pub epoch: u64,
    /// What to ask for next.
    pub next: u64,
    /// Whether older changes were dropped.
    pub has_gap: bool,
    /// The changes.
    pub events: Vec<PartEvent>,
    /// The time on the clock that stores and endpoints share, in milliseconds, if it was told.
    pub clock_ms: Option<u64>,
}

type PartKey = (CacheNamespace, PromptPartId);

#[derive(Debug, Clone, Copy)]
struct StoredPart {
    tokens: Tokens,
    announced_at: Instant,
}

/// What a store keeps, as far as this node was told.
#[derive(Debug, Clone)]
pub struct StoreContents {
    store: PartStore,
    timing: TransferTiming,
    epoch: Option<u64>,
    next: u64,
    parts: SortedMap<PartKey, StoredPart>,
    pending_saves: SortedMap<PartKey, (Tokens, Deadline)>,
    // The tokens of each, which are too many to add up for each request.
    stored_tokens: Tokens,
    pending_tokens: Tokens,
    confirmed_at: Option<Instant>,
    save_allowed_at: Option<Instant>,
    link: LinkShare,
    // The shared clock at an instant of this node's.
    shared_clock: Option<(u64, Instant)>,
}

impl StoreContents {
    /// Makes the state of a store of which nothing is known.
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

    /// Returns from which change on the store is to be asked.
    pub fn next_event(&self) -> u64 {
        self.next
    }

    /// Returns the life of the store, if it was ever reached.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Takes the answer to a call that was sent at `sent_at`; returns whether the store is new to
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
            let key = (event.space, event.part);
            self.remove(&key);
            if event.is_added {
                self.stored_tokens = self.stored_tokens + event.tokens;
                self.parts.insert(key, StoredPart { tokens: event.tokens, announced_at: now });
            }
        }
        self.next = events.next;
        self.confirmed_at = Some(sent_at);
        if let Some(clock_ms) = events.clock_ms {
            // The answer was made after the call was sent, so this clock is never ahead.
            self.shared_clock = Some((clock_ms, now));
        }
        is_new
    }

    fn remove(&mut self, key: &PartKey) {
        if let Some((tokens, _)) = self.pending_saves.remove(key) {
            self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        }
        if let Some(kept) = self.parts.remove(key) {
            self.stored_tokens = self.stored_tokens.saturating_sub(kept.tokens);
        }
    }

    /// Notes that the changes asked for belong to an earlier life, so that all are asked for.
    pub fn restart_events(&mut self) {
        self.next = 0;
    }

    /// Returns whether the store was told to keep a part, whether or not it may be fetched yet.
    pub(crate) fn contains(&self, space: &CacheNamespace, part: &PromptPartId) -> bool {
        self.parts.contains_key(&(space.clone(), part.clone()))
    }

    /// Takes `time_us` of this node's part of the store's link, if that is left.
    pub(crate) fn try_take_link(&mut self, time_us: u64, nodes: u32, now: Instant) -> bool {
        self.link.try_take(time_us, nodes, now)
    }

    /// Returns whether a part may be fetched.
    pub fn is_fetchable(&self, space: &CacheNamespace, part: &PromptPartId, now: Instant) -> bool {
        let is_settled =
            |kept: &StoredPart| now.ms_since(kept.announced_at) >= self.timing.fetch_delay_ms;
        self.is_confirmed_within(self.timing.fetch_validity_ms, now)
            && self.parts.get(&(space.clone(), part.clone())).is_some_and(is_settled)
    }

    /// Drops saves of which the store has not told in time, so that they no longer take room.
    pub fn expire_pending_saves(&mut self, now: Instant) {
        let lapsed = |&(tokens, deadline): &(Tokens, Deadline)| (tokens, deadline.has_passed(now));
        let freed = self.pending_saves.values().map(lapsed).filter(|&(_, is_lapsed)| is_lapsed);
        self.pending_tokens =
            self.pending_tokens.saturating_sub(freed.map(|(tokens, _)| tokens).sum());
        self.pending_saves.retain(|_, (_, deadline)| !deadline.has_passed(now));
    }

    /// Returns whether a part should be saved: it is not kept, not being saved, and there is room
    /// when `nodes` nodes save to the store.
    pub fn should_save(
        &self,
        space: &CacheNamespace,
        part: &PromptPart,
        nodes: u32,
        now: Instant,
    ) -> bool {
        let key = (space.clone(), part.id.clone());
        let is_saving =
            self.pending_saves.get(&key).is_some_and(|(_, deadline)| !deadline.has_passed(now));
        self.is_confirmed_within(self.timing.save_validity_ms, now)
            && self.save_allowed_at.is_some_and(|from| from <= now)
            && !is_saving
            && !self.contains(space, &part.id)
            && self.used_tokens(nodes) + part.tokens <= self.store.capacity
    }

    fn is_confirmed_within(&self, fetch_validity_ms: u64, now: Instant) -> bool {
        let until = |at| Deadline::after_ms(at, fetch_validity_ms);
        self.confirmed_at.is_some_and(|at| !until(at).has_passed(now))
    }

    /// Notes that a part is being saved by this node.
    pub fn record_save(&mut self, space: &CacheNamespace, part: &PromptPart, now: Instant) {
        let deadline = Deadline::after_ms(now, SAVE_RETRY_MS);
        let key = (space.clone(), part.id.clone());
        if let Some((tokens, _)) = self.pending_saves.insert(key, (part.tokens, deadline)) {
            self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        }
        self.pending_tokens = self.pending_tokens + part.tokens;
    }

    /// Returns the parts under names for which `is_stale` holds.
    pub fn parts_where(&self, is_stale: impl Fn(&CacheNamespace) -> bool) -> Vec<PartKey> {
        self.parts.keys().filter(|(space, _)| is_stale(space)).cloned().collect()
    }

    /// Returns the time on the shared clock by which a fetch must have ended.
    pub fn fetch_deadline_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.shared_clock?;
        Some(clock_ms + now.ms_since(at) + self.timing.fetch_timeout_ms)
    }

    /// Returns the tokens that it keeps or is about to keep, if `nodes` nodes save as much as this
    /// one. A store that has no room left for a part does not say so.
    pub fn used_tokens(&self, nodes: u32) -> Tokens {
        let pending_saves = self.pending_tokens.get().saturating_mul(u64::from(nodes));
        self.stored_tokens + Tokens::new(pending_saves)
    }
}
