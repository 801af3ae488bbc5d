//! Packed storage of index entries.
//!
//! An entry is one `u64`: 44 bits of the block hash, 12 bits of holder slot and 8 bits of stamp,
//! the epoch in which the entry was last used. Further bits of the hash choose the shard and the
//! bucket, so about 56 bits of the hash are compared. A false match only makes a hint wrong.

use yuccapass_types::BlockHash;

use super::holder::HolderSlot;

/// Buckets per shard. At 2 million entries a bucket holds about 500, so an insertion moves about
/// 2 KB; a single sorted list per shard would move 125 KB.
const BUCKETS_PER_SHARD: usize = 64;

/// Buckets in the whole index.
pub(crate) const BUCKETS: usize = BUCKETS_PER_SHARD * 64;

const STAMP_BITS: u32 = 8;
const HOLDER_BITS: u32 = 12;
const LOW_BITS: u32 = STAMP_BITS + HOLDER_BITS;

/// The low 64 bits of a block hash, which determine where its entries are stored.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Key(u64);

impl Key {
    pub(crate) fn of(block: BlockHash) -> Self {
        Self(block.to_bits() as u64)
    }

    pub(crate) fn shard_key(self) -> u64 {
        self.0
    }

    fn bucket(self) -> usize {
        self.0 as usize % BUCKETS_PER_SHARD
    }

    /// Returns the smallest entry that the block can have.
    fn first_entry(self) -> u64 {
        self.0 >> LOW_BITS << LOW_BITS
    }

    fn entry(self, holder: HolderSlot, stamp: u8) -> u64 {
        self.first_entry() | u64::from(holder.get()) << STAMP_BITS | u64::from(stamp)
    }
}

fn holder_of(entry: u64) -> HolderSlot {
    HolderSlot::from_low_bits(entry >> STAMP_BITS)
}

/// Returns the epochs since the last use of an entry, modulo 256.
fn age_epochs(entry: u64, stamp: u8) -> u8 {
    stamp.wrapping_sub(entry as u8)
}

/// One shard of the index.
#[derive(Debug)]
pub(crate) struct Shard {
    buckets: Box<[Vec<u64>]>,
}

impl Default for Shard {
    fn default() -> Self {
        Self { buckets: vec![Vec::new(); BUCKETS_PER_SHARD].into_boxed_slice() }
    }
}

impl Shard {
    /// Adds an entry or updates its stamp; a full bucket evicts its oldest entry first.
    pub(crate) fn insert(&mut self, key: Key, holder: HolderSlot, stamp: u8, max_entries: usize) {
        let bucket = &mut self.buckets[key.bucket()];
        let first = key.entry(holder, 0);
        let position = bucket.partition_point(|&entry| entry < first);
        if bucket.get(position).is_some_and(|&entry| entry >> STAMP_BITS == first >> STAMP_BITS) {
            bucket[position] = key.entry(holder, stamp);
            return;
        }
        if bucket.len() >= max_entries {
            remove_oldest(bucket, stamp);
        }
        if bucket.len() == bucket.capacity() {
            // Doubling the capacity would leave a quarter of the memory unused on average.
            bucket.reserve_exact(bucket.len() / 8 + 4);
        }
        let position = bucket.partition_point(|&entry| entry < first);
        bucket.insert(position, key.entry(holder, stamp));
    }

    /// Removes an entry.
    pub(crate) fn remove(&mut self, key: Key, holder: HolderSlot) {
        let bucket = &mut self.buckets[key.bucket()];
        let first = key.entry(holder, 0);
        let position = bucket.partition_point(|&entry| entry < first);
        if bucket.get(position).is_some_and(|&entry| entry >> STAMP_BITS == first >> STAMP_BITS) {
            bucket.remove(position);
        }
    }

    /// Appends the holders of a block in the order of their slots and updates their stamps.
    pub(crate) fn holders(&mut self, key: Key, stamp: u8, found: &mut Vec<HolderSlot>) {
        let bucket = &mut self.buckets[key.bucket()];
        let first = key.first_entry();
        let start = bucket.partition_point(|&entry| entry < first);
        let rest = &mut bucket[start..];
        let is_same = |entry: &u64| *entry >> LOW_BITS == first >> LOW_BITS;
        let count = rest.iter().take_while(|entry| is_same(entry)).count();
        found.extend(rest[..count].iter().map(|&entry| holder_of(entry)));
        for entry in &mut rest[..count] {
            *entry = *entry >> STAMP_BITS << STAMP_BITS | u64::from(stamp);
        }
    }

    /// Removes all entries of a holder.
    pub(crate) fn remove_holder(&mut self, holder: HolderSlot) {
        for bucket in &mut self.buckets {
            bucket.retain(|&entry| holder_of(entry) != holder);
        }
    }

    /// Returns the number of entries and the bytes allocated for them.
    pub(crate) fn size(&self) -> (usize, usize) {
        let headers = self.buckets.len() * size_of::<Vec<u64>>();
        self.buckets.iter().fold((0, headers), |(entries, bytes), bucket| {
            (entries + bucket.len(), bytes + bucket.capacity() * size_of::<u64>())
        })
    }
}

fn remove_oldest(bucket: &mut Vec<u64>, stamp: u8) {
    let oldest = (0..bucket.len()).max_by_key(|&position| age_epochs(bucket[position], stamp));
    if let Some(position) = oldest {
        bucket.remove(position);
    }
}
