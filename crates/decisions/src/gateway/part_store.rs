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

use std::net::SocketAddr;

use yuccapass_types::{
    CacheSpace, Deadline, Instant, PromptPartId, RegionId, ServiceId, SortedMap, Tokens, ZoneId,
};

use super::configuration::PartStore;
use super::directory::Directory;
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
    /// Time within which a fetch must have ended. The prompt is read instead if a store's link is
    /// slow: with 2 s, requests waited for fetches longer than their target latency.
    pub fetch_ms: u64,
    /// Time for which a node saves nothing to a store that it has not known before, or that has
    /// restarted: longer than trust, fetch and a period of asking together.
    pub hold_off_ms: u64,
}

impl Default for TransferTerms {
    /// 2.2 s, 800 ms, 1.9 s, 400 ms and 3.6 s. While parts settled for 3.2 s, half of the shared
    /// parts that were read again were those that had been saved less than 4 s before.
    fn default() -> Self {
        Self {
            trust_ms: 2_200,
            save_trust_ms: 800,
            settle_ms: 1_900,
            fetch_ms: 400,
            hold_off_ms: 3_600,
        }
    }
}

/// Time after which a part that this node had saved, and of which the store has not told, may be
/// saved again: some tellings are lost.
const SAVE_AGAIN_MS: u64 = 8_000;

/// Smallest part that is worth a transfer: reading it takes a few milliseconds, as the start of a
/// transfer does.
const MIN_TRANSFER: Tokens = Tokens::new(128);

/// A change of what a store keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartEvent {
    /// Whether the part is now complete, rather than gone.
    pub is_added: bool,
    /// Where it is found.
    pub space: CacheSpace,
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

/// Part of the calls of a store that nodes use; the rest covers nodes that disagree about their
/// number, and calls that meet by chance.
const USED_CALLS_PART: f64 = 0.6;

/// How often a node asks a store for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AskTerms {
    /// Time between two calls, from one's sending to the other's.
    pub period_ms: u64,
    /// How long a store waits with its answer if there are no changes.
    pub wait_ms: u64,
    /// Longest time between two calls: what is known must not lapse between them.
    pub max_period_ms: u64,
}

impl Default for AskTerms {
    /// 400 ms, 200 ms and 1.7 s. A call that waits for less than 200 ms costs more.
    fn default() -> Self {
        Self { period_ms: 400, wait_ms: 200, max_period_ms: 1_700 }
    }
}

impl AskTerms {
    /// Returns the time from one call to the next. While a store has changes it answers at once, so
    /// that many nodes can ask it often; while it has none, the calls of `nodes` nodes wait there and
    /// have to share the `max_calls` that it holds.
    pub fn next_ms(&self, is_quiet: bool, nodes: u32, max_calls: u32) -> u64 {
        if !is_quiet {
            return self.period_ms;
        }
        let calls = USED_CALLS_PART * f64::from(max_calls.max(1));
        let shared_ms = (f64::from(nodes) * self.wait_ms as f64 / calls) as u64;
        shared_ms.clamp(self.period_ms, self.max_period_ms.max(self.period_ms))
    }
}

type PartKey = (CacheSpace, PromptPartId);

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
    // The tokens of both, which are too many to add up for each request.
    used: Tokens,
    confirmed_at: Option<Instant>,
    saves_from: Option<Instant>,
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
            used: Tokens::ZERO,
            confirmed_at: None,
            saves_from: None,
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
            self.used = Tokens::ZERO;
            self.saves_from = Some(Deadline::after_ms(now, self.terms.hold_off_ms).instant());
            self.epoch = Some(answer.epoch);
        }
        for event in answer.events {
            let key = (event.space, event.part);
            self.forget(&key);
            if event.is_added {
                self.used = self.used + event.tokens;
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
            self.used = self.used.saturating_sub(tokens);
        }
        if let Some(kept) = self.parts.remove(key) {
            self.used = self.used.saturating_sub(kept.tokens);
        }
    }

    /// Notes that the changes asked for belong to an earlier life, so that all are asked for.
    pub fn ask_anew(&mut self) {
        self.next = 0;
    }

    /// Returns whether a part may be fetched.
    pub fn holds(&self, space: &CacheSpace, part: &PromptPartId, now: Instant) -> bool {
        let is_settled = |kept: &Kept| now.ms_since(kept.told_at) >= self.terms.settle_ms;
        self.is_confirmed_within(self.terms.trust_ms, now)
            && self.parts.get(&(space.clone(), part.clone())).is_some_and(is_settled)
    }

    /// Drops saves of which the store has not told in time, so that they no longer take room.
    pub fn expire_saves(&mut self, now: Instant) {
        let lapsed = |&(tokens, deadline): &(Tokens, Deadline)| (tokens, deadline.has_passed(now));
        let freed = self.saving.values().map(lapsed).filter(|&(_, is_lapsed)| is_lapsed);
        self.used = self.used.saturating_sub(freed.map(|(tokens, _)| tokens).sum());
        self.saving.retain(|_, (_, deadline)| !deadline.has_passed(now));
    }

    /// Returns whether a part should be saved: it is not kept, not being saved, and there is room.
    pub fn wants(&self, space: &CacheSpace, part: &PromptPart, now: Instant) -> bool {
        let key = (space.clone(), part.id.clone());
        let is_saving =
            self.saving.get(&key).is_some_and(|(_, deadline)| !deadline.has_passed(now));
        self.is_confirmed_within(self.terms.save_trust_ms, now)
            && self.saves_from.is_some_and(|from| from <= now)
            && !is_saving
            && !self.parts.contains_key(&key)
            && self.used() + part.tokens <= self.store.capacity
    }

    fn is_confirmed_within(&self, trust_ms: u64, now: Instant) -> bool {
        let until = |at| Deadline::after_ms(at, trust_ms);
        self.confirmed_at.is_some_and(|at| !until(at).has_passed(now))
    }

    /// Notes that a part is being saved by this node.
    pub fn saving(&mut self, space: &CacheSpace, part: &PromptPart, now: Instant) {
        let deadline = Deadline::after_ms(now, SAVE_AGAIN_MS);
        let key = (space.clone(), part.id.clone());
        if let Some((tokens, _)) = self.saving.insert(key, (part.tokens, deadline)) {
            self.used = self.used.saturating_sub(tokens);
        }
        self.used = self.used + part.tokens;
    }

    /// Returns the parts under names for which `is_stale` holds.
    pub fn parts_where(&self, is_stale: impl Fn(&CacheSpace) -> bool) -> Vec<PartKey> {
        self.parts.keys().filter(|(space, _)| is_stale(space)).cloned().collect()
    }

    /// Returns the time on the shared clock by which a fetch must have ended.
    pub fn fetch_until_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.shared_clock?;
        Some(clock_ms + now.ms_since(at) + self.terms.fetch_ms)
    }

    /// Returns the tokens that it keeps or is about to keep, as far as this node knows.
    pub fn used(&self) -> Tokens {
        self.used
    }
}

/// What an endpoint fetches and saves for a request, one entry for each part of the prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartTransfers {
    /// From where each part is fetched.
    pub fetch: Vec<Option<SocketAddr>>,
    /// To where each part is saved.
    pub save: Vec<Option<SocketAddr>>,
    /// When fetches must have ended, on the clock that stores and endpoints share.
    pub fetch_until_ms: Option<u64>,
}

impl PartTransfers {
    /// Returns whether anything is fetched.
    pub fn has_fetch(&self) -> bool {
        self.fetch.iter().any(Option::is_some)
    }

    /// Returns whether anything is saved.
    pub fn has_save(&self) -> bool {
        self.save.iter().any(Option::is_some)
    }
}

/// Decides what an endpoint in `zone` fetches and saves for a prompt, and notes the saves.
///
/// All parts but the last, which belongs to the request alone, are fetched from the nearest store of
/// the region that keeps them. A part that none of them keeps is saved to the one with the most room.
/// Other regions are not used: transfers between regions take ten times as long.
pub fn plan_transfers(
    stores: &mut SortedMap<ServiceId, StoreContents>,
    directory: &Directory,
    zone: &ZoneId,
    allowed_regions: &[&[RegionId]],
    space: &CacheSpace,
    parts: &[PromptPart],
    now: Instant,
) -> PartTransfers {
    let region = directory.region(zone);
    let is_near = |contents: &StoreContents| {
        let store_region = directory.region(&contents.store.zone);
        store_region.is_some()
            && store_region == region
            && allowed_regions.iter().all(|allowed| {
                allowed.is_empty()
                    || store_region.is_some_and(|region| allowed.binary_search(region).is_ok())
            })
    };
    let shared = parts.len().saturating_sub(1);
    let mut transfers = PartTransfers::default();
    for (position, part) in parts.iter().enumerate() {
        let (mut fetch, mut save) = (None, None);
        if position < shared && part.tokens >= MIN_TRANSFER {
            let holder = stores
                .values()
                .filter(|contents| is_near(contents) && contents.holds(space, &part.id, now))
                .min_by_key(|contents| contents.store.zone != *zone);
            match holder {
                Some(contents) => {
                    fetch = Some(contents.store.address);
                    let until_ms = contents.fetch_until_ms(now);
                    let earliest = transfers.fetch_until_ms.into_iter().chain(until_ms).min();
                    transfers.fetch_until_ms = earliest;
                }
                None => save = begin_save(stores, is_near, space, part, now),
            }
        }
        transfers.fetch.push(fetch);
        transfers.save.push(save);
    }
    transfers
}

fn begin_save(
    stores: &mut SortedMap<ServiceId, StoreContents>,
    is_near: impl Fn(&StoreContents) -> bool,
    space: &CacheSpace,
    part: &PromptPart,
    now: Instant,
) -> Option<SocketAddr> {
    let is_kept = |contents: &StoreContents| {
        is_near(contents) && contents.parts.contains_key(&(space.clone(), part.id.clone()))
    };
    if stores.values().any(is_kept) {
        return None;
    }
    let roomiest = stores
        .values_mut()
        .filter(|contents| is_near(contents) && contents.wants(space, part, now))
        .max_by_key(|contents| contents.store.capacity.saturating_sub(contents.used()))?;
    roomiest.saving(space, part, now);
    Some(roomiest.store.address)
}
