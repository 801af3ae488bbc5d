//! Which prompt parts stores keep, and which to fetch from and save to them.
//!
//! A store keeps a part until it is told to free it, tells of it only once it is complete, and does
//! not check what is fetched. A fetch of a part that is just being written would give a prompt memory
//! that is not whole. So a node fetches only parts of which it was told in the store's present life,
//! and [`TransferTerms`] keep fetches and writes of the same part apart around a restart:
//!
//! * A node fetches what it was told for `trust_ms` after the call, and a fetch must have ended
//!   `fetch_ms` later. A node that sees a store for the first time, or restarted, saves nothing to it
//!   for `hold_off_ms`, which is longer than both together.
//! * A node that has not noticed a restart may still save a part of which it was not told yet, for
//!   `save_trust_ms`. So a part is fetched only `settle_ms` after it was told, when all nodes that
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
pub struct TransferTerms {
    /// How long parts are fetched after the call that confirmed a store's contents was sent.
    pub trust_ms: u64,
    /// The same for saves. It is shorter, since parts cannot be fetched before it has passed.
    pub save_trust_ms: u64,
    /// Time after a part was told before it is fetched: longer than the trust of saves and a write
    /// together.
    pub settle_ms: u64,
    /// Time within which a fetch must have ended. It begins only when the endpoint admits the
    /// request: with 400 ms, the fetches of all requests that queued for longer came too late, and
    /// reading their prompts made the queues longer still.
    pub fetch_ms: u64,
    /// Time for which a node saves nothing to a store that it has not known before, or that has
    /// restarted: longer than trust, fetch and a period of asking together.
    pub hold_off_ms: u64,
}

impl Default for TransferTerms {
    /// 2.2 s, 800 ms, 1.9 s, 2 s and 5.2 s. While parts settled for 3.2 s, half of the shared
    /// parts that were read again were those that had been saved less than 4 s before.
    fn default() -> Self {
        Self {
            trust_ms: 2_200,
            save_trust_ms: 800,
            settle_ms: 1_900,
            fetch_ms: 2_000,
            hold_off_ms: 5_200,
        }
    }
}

/// Time after which a part that this node had saved, and of which the store has not told, may be
/// saved again: some tellings are lost.
const SAVE_AGAIN_MS: u64 = 8_000;

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
struct Kept {
    tokens: Tokens,
    told_at: Instant,
}

/// What a store keeps, as far as this node was told.
#[derive(Debug, Clone)]
pub struct StoreContents {
    store: PartStore,
    terms: TransferTerms,
    epoch: Option<u64>,
    next: u64,
    parts: SortedMap<PartKey, Kept>,
    saving: SortedMap<PartKey, (Tokens, Deadline)>,
    // The tokens of each, which are too many to add up for each request.
    kept_tokens: Tokens,
    saving_tokens: Tokens,
    confirmed_at: Option<Instant>,
    saves_from: Option<Instant>,
    link: LinkShare,
    // The shared clock at an instant of this node's.
    shared_clock: Option<(u64, Instant)>,
}

impl StoreContents {
    /// Makes the state of a store of which nothing is known.
    pub fn new(store: PartStore, terms: TransferTerms) -> Self {
        Self {
            store,
            terms,
            epoch: None,
            next: 0,
            parts: SortedMap::new(),
            saving: SortedMap::new(),
            kept_tokens: Tokens::ZERO,
            saving_tokens: Tokens::ZERO,
            confirmed_at: None,
            saves_from: None,
            link: LinkShare::default(),
            shared_clock: None,
        }
    }

    /// Returns the store.
    pub fn store(&self) -> &PartStore {
        &self.store
    }

    /// Returns from which change on the store is to be asked.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the life of the store, if it was ever reached.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Takes the answer to a call that was sent at `sent_at`; returns whether the store is new to
    /// this node or has restarted.
    pub fn answered(&mut self, answer: PartEvents, sent_at: Instant, now: Instant) -> bool {
        let is_new = self.epoch != Some(answer.epoch);
        if is_new {
            self.parts = SortedMap::new();
            self.saving = SortedMap::new();
            self.kept_tokens = Tokens::ZERO;
            self.saving_tokens = Tokens::ZERO;
            self.saves_from = Some(Deadline::after_ms(now, self.terms.hold_off_ms).instant());
            self.epoch = Some(answer.epoch);
        }
        for event in answer.events {
            let key = (event.space, event.part);
            self.forget(&key);
            if event.is_added {
                self.kept_tokens = self.kept_tokens + event.tokens;
                self.parts.insert(key, Kept { tokens: event.tokens, told_at: now });
            }
        }
        self.next = answer.next;
        self.confirmed_at = Some(sent_at);
        if let Some(clock_ms) = answer.clock_ms {
            // The answer was made after the call was sent, so this clock is never ahead.
            self.shared_clock = Some((clock_ms, now));
        }
        is_new
    }

    fn forget(&mut self, key: &PartKey) {
        if let Some((tokens, _)) = self.saving.remove(key) {
            self.saving_tokens = self.saving_tokens.saturating_sub(tokens);
        }
        if let Some(kept) = self.parts.remove(key) {
            self.kept_tokens = self.kept_tokens.saturating_sub(kept.tokens);
        }
    }

    /// Notes that the changes asked for belong to an earlier life, so that all are asked for.
    pub fn ask_anew(&mut self) {
        self.next = 0;
    }

    /// Returns whether the store was told to keep a part, whether or not it may be fetched yet.
    pub(crate) fn keeps(&self, space: &CacheNamespace, part: &PromptPartId) -> bool {
        self.parts.contains_key(&(space.clone(), part.clone()))
    }

    /// Takes `time_us` of this node's part of the store's link, if that is left.
    pub(crate) fn take_link(&mut self, time_us: u64, nodes: u32, now: Instant) -> bool {
        self.link.try_take(time_us, nodes, now)
    }

    /// Returns whether a part may be fetched.
    pub fn holds(&self, space: &CacheNamespace, part: &PromptPartId, now: Instant) -> bool {
        let is_settled = |kept: &Kept| now.ms_since(kept.told_at) >= self.terms.settle_ms;
        self.is_confirmed_within(self.terms.trust_ms, now)
            && self.parts.get(&(space.clone(), part.clone())).is_some_and(is_settled)
    }

    /// Drops saves of which the store has not told in time, so that they no longer take room.
    pub fn expire_saves(&mut self, now: Instant) {
        let lapsed = |&(tokens, deadline): &(Tokens, Deadline)| (tokens, deadline.has_passed(now));
        let freed = self.saving.values().map(lapsed).filter(|&(_, is_lapsed)| is_lapsed);
        self.saving_tokens =
            self.saving_tokens.saturating_sub(freed.map(|(tokens, _)| tokens).sum());
        self.saving.retain(|_, (_, deadline)| !deadline.has_passed(now));
    }

    /// Returns whether a part should be saved: it is not kept, not being saved, and there is room
    /// when `nodes` nodes save to the store.
    pub fn wants(
        &self,
        space: &CacheNamespace,
        part: &PromptPart,
        nodes: u32,
        now: Instant,
    ) -> bool {
        let key = (space.clone(), part.id.clone());
        let is_saving =
            self.saving.get(&key).is_some_and(|(_, deadline)| !deadline.has_passed(now));
        self.is_confirmed_within(self.terms.save_trust_ms, now)
            && self.saves_from.is_some_and(|from| from <= now)
            && !is_saving
            && !self.keeps(space, &part.id)
            && self.used(nodes) + part.tokens <= self.store.capacity
    }

    fn is_confirmed_within(&self, trust_ms: u64, now: Instant) -> bool {
        let until = |at| Deadline::after_ms(at, trust_ms);
        self.confirmed_at.is_some_and(|at| !until(at).has_passed(now))
    }

    /// Notes that a part is being saved by this node.
    pub fn saving(&mut self, space: &CacheNamespace, part: &PromptPart, now: Instant) {
        let deadline = Deadline::after_ms(now, SAVE_AGAIN_MS);
        let key = (space.clone(), part.id.clone());
        if let Some((tokens, _)) = self.saving.insert(key, (part.tokens, deadline)) {
            self.saving_tokens = self.saving_tokens.saturating_sub(tokens);
        }
        self.saving_tokens = self.saving_tokens + part.tokens;
    }

    /// Returns the parts under names for which `is_stale` holds.
    pub fn parts_where(&self, is_stale: impl Fn(&CacheNamespace) -> bool) -> Vec<PartKey> {
        self.parts.keys().filter(|(space, _)| is_stale(space)).cloned().collect()
    }

    /// Returns the time on the shared clock by which a fetch must have ended.
    pub fn fetch_until_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.shared_clock?;
        Some(clock_ms + now.ms_since(at) + self.terms.fetch_ms)
    }

    /// Returns the tokens that it keeps or is about to keep, if `nodes` nodes save as much as this
    /// one. A store that has no room left for a part does not say so.
    pub fn used(&self, nodes: u32) -> Tokens {
        let saving = self.saving_tokens.get().saturating_mul(u64::from(nodes));
        self.kept_tokens + Tokens::new(saving)
    }
}
