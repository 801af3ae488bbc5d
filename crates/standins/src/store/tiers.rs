//! Blocks in a memory and a disk tier.

use std::sync::Arc;

use snafu::Snafu;
use yuccapass_stores::{BlockTier, TierStatus};
use yuccapass_types::{BlockHash, Bytes, ChecksummedBlock, SortedMap};

/// Reports that neither tier has room for a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("neither tier has room for the block"))]
pub struct StoreFull;

#[derive(Debug)]
struct Stored {
    block: Arc<ChecksummedBlock>,
    is_in_memory: bool,
    use_number: u64,
}

/// Two bounded tiers.
///
/// A new block goes to memory, and blocks that were not used for longest move from there to disk to
/// make room. Nothing is evicted: a block for which there is no room is refused.
#[derive(Debug)]
pub struct Tiers {
    memory: TierStatus,
    disk: TierStatus,
    blocks: SortedMap<BlockHash, Stored>,
    next_use: u64,
}

impl Tiers {
    /// Makes empty tiers.
    pub fn new(memory_capacity: Bytes, disk_capacity: Bytes) -> Self {
        let empty = |capacity_bytes| TierStatus { used_bytes: Bytes::ZERO, capacity_bytes };
        Self {
            memory: empty(memory_capacity),
            disk: empty(disk_capacity),
            blocks: SortedMap::new(),
            next_use: 0,
        }
    }

    /// Stores a block, in place of an earlier one with the same hash.
    ///
    /// # Errors
    ///
    /// Fails if neither tier has room; then the earlier block stays.
    pub fn put(&mut self, block: ChecksummedBlock) -> Result<(), StoreFull> {
        let (moved, is_in_memory) = self.plan(block.hash, size_of_block(&block))?;
        let hash = block.hash;
        self.take(hash);
        for oldest in moved {
            if let Some(stored) = self.take(oldest) {
                self.add(oldest, Stored { is_in_memory: false, ..stored });
            }
        }
        self.next_use += 1;
        let block = Arc::new(block);
        self.add(hash, Stored { block, is_in_memory, use_number: self.next_use });
        Ok(())
    }

    /// Returns a block and marks it as used.
    pub fn get(&mut self, block: BlockHash) -> Option<Arc<ChecksummedBlock>> {
        self.next_use += 1;
        let stored = self.blocks.get_mut(&block)?;
        stored.use_number = self.next_use;
        Some(Arc::clone(&stored.block))
    }

    /// Returns the tier of a block without marking it as used.
    pub fn tier_of(&self, block: &BlockHash) -> Option<BlockTier> {
        let stored = self.blocks.get(block)?;
        Some(if stored.is_in_memory { BlockTier::Memory } else { BlockTier::Disk })
    }

    /// Deletes a block, if it is there.
    pub fn delete(&mut self, block: BlockHash) {
        self.take(block);
    }

    /// Loses what is in memory, as a crash does.
    pub fn lose_memory(&mut self) {
        self.blocks.retain(|_, stored| !stored.is_in_memory);
        self.memory.used_bytes = Bytes::ZERO;
    }

    /// Returns the number of blocks, and the use of memory and disk.
    pub fn status(&self) -> (u64, TierStatus, TierStatus) {
        (self.blocks.len() as u64, self.memory, self.disk)
    }

    /// Finds room for a block: the blocks that move from memory to disk, and whether the block then
    /// goes to memory. Nothing changes, so a refused block leaves everything where it was.
    fn plan(&self, hash: BlockHash, size: Bytes) -> Result<(Vec<BlockHash>, bool), StoreFull> {
        let (mut memory, mut disk) = (self.memory, self.disk);
        if let Some(earlier) = self.blocks.get(&hash) {
            let tier = if earlier.is_in_memory { &mut memory } else { &mut disk };
            tier.used_bytes = tier.used_bytes.saturating_sub(size_of_block(&earlier.block));
        }
        if size <= memory.capacity_bytes
            && let Some(moved) = self.plan_moves(hash, size, memory, disk)
        {
            return Ok((moved, true));
        }
        if has_room(&disk, size) { Ok((Vec::new(), false)) } else { Err(StoreFull) }
    }

    /// Finds the blocks that move to disk to make room in memory, or `None` if disk has none.
    fn plan_moves(
        &self,
        hash: BlockHash,
        size: Bytes,
        mut memory: TierStatus,
        mut disk: TierStatus,
    ) -> Option<Vec<BlockHash>> {
        let others = self.blocks.iter().filter(|(other, _)| **other != hash);
        let mut in_memory: Vec<_> = others.filter(|(_, stored)| stored.is_in_memory).collect();
        in_memory.sort_by_key(|(_, stored)| stored.use_number);
        let mut oldest = in_memory.into_iter();
        let mut moved = Vec::new();
        while !has_room(&memory, size) {
            let (other, stored) = oldest.next()?;
            let moved_size = size_of_block(&stored.block);
            if !has_room(&disk, moved_size) {
                return None;
            }
            memory.used_bytes = memory.used_bytes.saturating_sub(moved_size);
            disk.used_bytes = disk.used_bytes + moved_size;
            moved.push(*other);
        }
        Some(moved)
    }

    fn take(&mut self, block: BlockHash) -> Option<Stored> {
        let stored = self.blocks.remove(&block)?;
        let tier = self.tier(stored.is_in_memory);
        tier.used_bytes = tier.used_bytes.saturating_sub(size_of_block(&stored.block));
        Some(stored)
    }

    fn add(&mut self, block: BlockHash, stored: Stored) {
        let tier = self.tier(stored.is_in_memory);
        tier.used_bytes = tier.used_bytes + size_of_block(&stored.block);
        self.blocks.insert(block, stored);
    }

    fn tier(&mut self, is_in_memory: bool) -> &mut TierStatus {
        if is_in_memory { &mut self.memory } else { &mut self.disk }
    }
}

fn size_of_block(block: &ChecksummedBlock) -> Bytes {
    Bytes::new(block.payload.len() as u64)
}

fn has_room(tier: &TierStatus, size: Bytes) -> bool {
    tier.used_bytes + size <= tier.capacity_bytes
}
