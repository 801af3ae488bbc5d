//! An index of which endpoints and stores hold which prompt prefixes.
//!
//! Entries are hints: only the engine knows what it has. A prompt has entries for the blocks at the
//! positions 1, 2, 4, 8 and so on, and for its last block where the order of the events shows which
//! one that is. A holder has a prefix only if it has the blocks at all smaller powers of two, so an
//! evicted block in the middle shortens the prefix.

use yuccapass_types::{BlockHash, Incarnation, Instant, Sharded, SortedMap};

use super::bucket::{BUCKETS, Key, Shard};
use super::event_log::{Change, EventLog, is_always_indexed};
use super::holder::HolderSlot;

/// Maximum number of positions after the deepest matching power of two that a lookup searches for
/// the last block of a prompt. Bounds the time of a lookup with a very long prompt.
const MAX_END_PROBES: u32 = 64;

/// Settings of [`PrefixIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndexSettings {
    max_entries: usize,
    epoch_ms: u64,
}

impl Default for IndexSettings {
    /// 2.5 million entries (20 MB), epochs of 30 minutes.
    fn default() -> Self {
        Self { max_entries: 2_500_000, epoch_ms: 30 * 60 * 1000 }
    }
}

impl IndexSettings {
    /// Sets the maximum number of entries, which take 8 bytes each; default 2.5 million.
    ///
    /// The maximum is divided evenly between 4,096 buckets, each with at least one entry.
    pub fn max_entries(mut self, max_entries: usize) -> Self {
        self.max_entries = max_entries;
        self
    }

    /// Sets the length of an epoch, the resolution of an entry's time of last use; default
    /// 30 minutes.
    ///
    /// The epoch is stored modulo 256, so an entry not used for 256 epochs counts as new again.
    pub fn epoch_ms(mut self, epoch_ms: u64) -> Self {
        self.epoch_ms = epoch_ms.max(1);
        self
    }
}

/// What happened to a block in a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was added and can be used.
    Stored,
    /// The block was removed.
    Evicted,
}

/// A change in the cache of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the event; each incarnation starts at 1.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheChange,
    /// Position of the block in its prompt, from 1.
    pub position_blocks: u32,
    /// The block.
    pub block: BlockHash,
}

/// A block in the listing of a cache's contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedBlock {
    /// Position of the block in its prompt, from 1.
    pub position_blocks: u32,
    /// The block.
    pub block: BlockHash,
}

/// What the caller has to do after applying events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndexAction {
    /// Nothing.
    None,
    /// Read the listing of all blocks of the holder, because some of its events are missing.
    NeedsListing,
}

/// The longest known prefix that a holder has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixMatch {
    /// The holder.
    pub holder: HolderSlot,
    /// Length of the prefix in blocks, at least 1.
    pub blocks: u32,
}

/// Size of the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndexSize {
    /// Number of entries.
    pub entries: usize,
    /// Allocated bytes, without the overhead of the allocator.
    pub allocated_bytes: usize,
}

/// The prefix index of a region.
///
/// When a bucket is full, the entry in it that was stored or looked up least recently is evicted.
///
/// Batches and listings of one holder have to be applied one after the other. Lookups and updates
/// of different holders may run concurrently.
#[derive(Debug)]
pub struct PrefixIndex {
    settings: IndexSettings,
    shards: Sharded<Shard>,
    logs: Sharded<SortedMap<HolderSlot, EventLog>>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(settings: IndexSettings) -> Self {
        Self { settings, shards: Sharded::default(), logs: Sharded::default() }
    }

    /// Applies a batch of events of a holder.
    ///
    /// If events were lost or the holder was not known before, this and later calls return
    /// [`IndexAction::NeedsListing`] until a listing is applied.
    pub fn apply_events(
        &self,
        holder: HolderSlot,
        incarnation: Incarnation,
        events: &[CacheEvent],
        now: Instant,
    ) -> IndexAction {
        let (accepted, needs_listing) = self.logs.with(&holder, |logs| {
            let log = logs.get_or_insert_with(holder, EventLog::default);
            (log.accept(incarnation, events), log.needs_listing())
        });
        if accepted.clears_holder {
            self.remove_entries(holder);
        }
        for change in accepted.changes {
            match change {
                Change::Insert(block) => self.insert(holder, block, now),
                Change::Remove(block) => self.remove(holder, block),
            }
        }
        match needs_listing {
            true => IndexAction::NeedsListing,
            false => IndexAction::None,
        }
    }

    /// Replaces all entries of a holder by a listing that includes the events up to `sequence`.
    ///
    /// The caller then reads the events after `sequence`, see [`Self::events_after`]. A listing of
    /// an earlier incarnation is ignored. The last block of a prompt is recognised if the listing
    /// has the blocks of the prompt one after the other.
    pub fn apply_listing(
        &self,
        holder: HolderSlot,
        incarnation: Incarnation,
        sequence: u64,
        blocks: &[ListedBlock],
        now: Instant,
    ) {
        let is_current = self.logs.with(&holder, |logs| {
            let log = logs.get_or_insert_with(holder, EventLog::default);
            log.accept_listing(incarnation, sequence)
        });
        if !is_current {
            return;
        }
        self.remove_entries(holder);
        for (position, listed) in blocks.iter().enumerate() {
            if is_always_indexed(listed.position_blocks) || ends_listed_prompt(blocks, position) {
                self.insert(holder, listed.block, now);
            }
        }
    }

    /// Records that a holder without events, such as a store tier, has all blocks of a prompt.
    ///
    /// `chain` holds the hashes of the blocks in order.
    pub fn record_chain(&self, holder: HolderSlot, chain: &[BlockHash], now: Instant) {
        for (position_blocks, &block) in (1..).zip(chain) {
            if is_always_indexed(position_blocks) || position_blocks as usize == chain.len() {
                self.insert(holder, block, now);
            }
        }
    }

    /// Records that a holder no longer has a block.
    pub fn remove(&self, holder: HolderSlot, block: BlockHash) {
        let key = Key::of(block);
        self.shards.with(&key.shard_key(), |shard| shard.remove(key, holder));
    }

    /// Removes a holder and all its entries.
    pub fn remove_holder(&self, holder: HolderSlot) {
        self.logs.with(&holder, |logs| logs.remove(&holder));
        self.remove_entries(holder);
    }

    /// Returns the sequence number after which to continue reading the events of a holder.
    pub fn events_after(&self, holder: HolderSlot) -> u64 {
        self.logs.with(&holder, |logs| logs.get(&holder).map_or(0, EventLog::last_sequence))
    }

    /// Returns the longest known prefix of a prompt for each holder, in the order of the slots.
    ///
    /// `chain` holds the hashes of the prompt's blocks in order. Matches that end at the last block
    /// of an earlier prompt are found only for the holders with the deepest matching power of two.
    pub fn lookup(&self, chain: &[BlockHash], now: Instant) -> Vec<PrefixMatch> {
        let stamp = self.stamp(now);
        let mut found = Vec::new();
        let mut matches = Vec::new();
        let mut deepest = 0;
        let mut position = 1;
        while let Some(&block) = chain.get(position as usize - 1) {
            self.holders(block, stamp, &mut found);
            let extended = match position {
                1 => start_matches(&mut matches, &found),
                _ => extend_matches(&mut matches, &found, deepest, position),
            };
            if extended == 0 {
                break;
            }
            deepest = position;
            position *= 2;
        }
        self.extend_to_last_block(chain, stamp, deepest, &mut matches);
        matches
    }

    /// Returns the size of the index.
    pub fn size(&self) -> IndexSize {
        let (entries, allocated_bytes) = self.shards.fold((0, 0), |sum, shard| {
            let (entries, bytes) = shard.size();
            (sum.0 + entries, sum.1 + bytes)
        });
        IndexSize { entries, allocated_bytes }
    }

    /// Extends the matches of `deepest` blocks to the last block of an earlier prompt, if known.
    fn extend_to_last_block(
        &self,
        chain: &[BlockHash],
        stamp: u8,
        deepest: u32,
        matches: &mut [PrefixMatch],
    ) {
        let last = chain.len().min((2 * deepest as usize).saturating_sub(1)) as u32;
        let mut found = Vec::new();
        let mut unextended = matches.iter().filter(|known| known.blocks == deepest).count();
        for position in (deepest + 1..=last).rev().take(MAX_END_PROBES as usize) {
            if unextended == 0 {
                break;
            }
            self.holders(chain[position as usize - 1], stamp, &mut found);
            if !found.is_empty() {
                unextended -= extend_matches(matches, &found, deepest, position);
            }
        }
    }

    fn holders(&self, block: BlockHash, stamp: u8, found: &mut Vec<HolderSlot>) {
        let key = Key::of(block);
        found.clear();
        self.shards.with(&key.shard_key(), |shard| shard.holders(key, stamp, found));
    }

    fn insert(&self, holder: HolderSlot, block: BlockHash, now: Instant) {
        let key = Key::of(block);
        let stamp = self.stamp(now);
        let max_entries = (self.settings.max_entries / BUCKETS).max(1);
        self.shards.with(&key.shard_key(), |shard| shard.insert(key, holder, stamp, max_entries));
    }

    fn remove_entries(&self, holder: HolderSlot) {
        self.shards.fold((), |(), shard| shard.remove_holder(holder));
    }

    fn stamp(&self, now: Instant) -> u8 {
        (now.as_ms() / self.settings.epoch_ms) as u8
    }
}

/// Returns whether a listed block continues a prompt and is its last block in the listing.
fn ends_listed_prompt(blocks: &[ListedBlock], position: usize) -> bool {
    let follows = |earlier: &ListedBlock, later: &ListedBlock| {
        later.position_blocks == earlier.position_blocks + 1
    };
    let listed = &blocks[position];
    let continues_previous = position > 0 && follows(&blocks[position - 1], listed);
    continues_previous && blocks.get(position + 1).is_none_or(|next| !follows(listed, next))
}

/// Adds a match of one block for each holder and returns their number.
fn start_matches(matches: &mut Vec<PrefixMatch>, found: &[HolderSlot]) -> usize {
    matches.extend(found.iter().map(|&holder| PrefixMatch { holder, blocks: 1 }));
    found.len()
}

/// Extends the matches of `from` blocks whose holder is in the sorted list `found` to `to` blocks.
///
/// Returns how many were extended.
fn extend_matches(matches: &mut [PrefixMatch], found: &[HolderSlot], from: u32, to: u32) -> usize {
    let mut rest = found;
    let mut extended = 0;
    for known in matches.iter_mut().filter(|known| known.blocks == from) {
        while rest.first().is_some_and(|&holder| holder < known.holder) {
            rest = &rest[1..];
        }
        if rest.first() == Some(&known.holder) {
            known.blocks = to;
            extended += 1;
        }
    }
    extended
}
