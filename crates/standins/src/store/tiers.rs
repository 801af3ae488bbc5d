//! Blocks in a memory and a disk tier.

use std::sync::Arc;

use snafu::Snafu;
use yuccapass_stores::{BlockTier, TierStatus};
use yuccapass_types::{BlockHash, Bytes, ChecksummedBlock, SortedMap};

/// The error for a block that fits in neither tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("neither tier has room for the block"))]
pub struct StoreFull;

#[derive(Debug)]
struct StoredBlock {
    block: Arc<ChecksummedBlock>,
    is_in_memory: bool,
    /// Value of the use counter when the block was last used.
    last_use: u64,
}

/// Two tiers of bounded size.
///
/// A new block is stored in memory, and the least recently used blocks move from there to disk to
/// make room. Nothing is evicted: a block that does not fit is refused.
#[derive(Debug)]
pub struct Tiers {
    memory: TierStatus,
    disk: TierStatus,
    blocks: SortedMap<BlockHash, StoredBlock>,
    /// Counts the uses of all blocks.
    use_counter: u64,
}

impl Tiers {
    /// Creates empty tiers.
    pub fn new(memory_capacity: Bytes, disk_capacity: Bytes) -> Self {
        let empty = |capacity_bytes| TierStatus { used_bytes: Bytes::ZERO, capacity_bytes };
        Self {
            memory: empty(memory_capacity),
            disk: empty(disk_capacity),
            blocks: SortedMap::new(),
            use_counter: 0,
        }
    }

    /// Stores a block and replaces an earlier one with the same hash.
    ///
    /// # Errors
    ///
    /// Fails if neither tier has room; then the earlier block is kept.
    pub fn put(&mut self, block: ChecksummedBlock) -> Result<(), StoreFull> {
        let (demoted, is_in_memory) = self.plan_placement(block.hash, size_of_block(&block))?;
        let hash = block.hash;
        self.remove(hash);
        for oldest in demoted {
            if let Some(stored) = self.remove(oldest) {
                self.insert(oldest, StoredBlock { is_in_memory: false, ..stored });
            }
        }
        self.use_counter += 1;
        let block = Arc::new(block);
        self.insert(hash, StoredBlock { block, is_in_memory, last_use: self.use_counter });
        Ok(())
    }

    /// Returns a block and marks it as used.
    pub fn get(&mut self, block: BlockHash) -> Option<Arc<ChecksummedBlock>> {
        self.use_counter += 1;
        let stored = self.blocks.get_mut(&block)?;
        stored.last_use = self.use_counter;
        Some(Arc::clone(&stored.block))
    }

    /// Returns the tier of a block without marking it as used.
    pub fn tier_of(&self, block: &BlockHash) -> Option<BlockTier> {
        let stored = self.blocks.get(block)?;
        Some(if stored.is_in_memory { BlockTier::Memory } else { BlockTier::Disk })
    }

    /// Deletes a block if it is stored.
    pub fn delete(&mut self, block: BlockHash) {
        self.remove(block);
    }

    /// Deletes the blocks in memory, as a crash does.
    pub fn lose_memory(&mut self) {
        self.blocks.retain(|_, stored| !stored.is_in_memory);
        self.memory.used_bytes = Bytes::ZERO;
    }

    /// Returns the number of blocks, and the status of the memory and the disk tier.
    pub fn status(&self) -> (u64, TierStatus, TierStatus) {
        (self.blocks.len() as u64, self.memory, self.disk)
    }

    /// Plans where to store a block: returns the blocks to move from memory to disk, and whether
    /// the block itself is stored in memory. Changes nothing, so that a refused block has no
    /// effect.
    fn plan_placement(
        &self,
        hash: BlockHash,
        size: Bytes,
    ) -> Result<(Vec<BlockHash>, bool), StoreFull> {
        let (mut memory, mut disk) = (self.memory, self.disk);
        if let Some(earlier) = self.blocks.get(&hash) {
            let tier = if earlier.is_in_memory { &mut memory } else { &mut disk };
            tier.used_bytes = tier.used_bytes.saturating_sub(size_of_block(&earlier.block));
        }
        if size <= memory.capacity_bytes
            && let Some(demoted) = self.plan_demotions(hash, size, memory, disk)
        {
            return Ok((demoted, true));
        }
        if has_room(&disk, size) { Ok((Vec::new(), false)) } else { Err(StoreFull) }
    }

    /// Returns the blocks to move to disk to make room in memory, or `None` if they do not fit
    /// there.
    fn plan_demotions(
        &self,
        hash: BlockHash,
        size: Bytes,
        mut memory: TierStatus,
        mut disk: TierStatus,
    ) -> Option<Vec<BlockHash>> {
        let others = self.blocks.iter().filter(|(other, _)| **other != hash);
        let mut in_memory: Vec<_> = others.filter(|(_, stored)| stored.is_in_memory).collect();
        in_memory.sort_by_key(|(_, stored)| stored.last_use);
        let mut oldest = in_memory.into_iter();
        let mut demoted = Vec::new();
        while !has_room(&memory, size) {
            let (other, stored) = oldest.next()?;
            let demoted_size = size_of_block(&stored.block);
            if !has_room(&disk, demoted_size) {
                return None;
            }
            memory.used_bytes = memory.used_bytes.saturating_sub(demoted_size);
            disk.used_bytes = disk.used_bytes + demoted_size;
            demoted.push(*other);
        }
        Some(demoted)
    }

    /// Removes a block and frees its space.
    fn remove(&mut self, block: BlockHash) -> Option<StoredBlock> {
        let stored = self.blocks.remove(&block)?;
        let tier = self.tier(stored.is_in_memory);
        tier.used_bytes = tier.used_bytes.saturating_sub(size_of_block(&stored.block));
        Some(stored)
    }

    /// Adds a block and accounts for its space.
    fn insert(&mut self, block: BlockHash, stored: StoredBlock) {
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
