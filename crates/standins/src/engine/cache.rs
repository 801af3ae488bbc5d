//! The prefix cache.

use yuccapass_endpoints::{CacheEventKind, ListedBlock};
use yuccapass_types::{BlockHash, SortedMap};

/// A complete block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CachedBlock {
    /// Position in its prompt, from 1.
    pub(crate) position_blocks: u32,
    /// Number of the write that filled it.
    pub(crate) generation: u64,
    /// The payload if it is not what this engine computes for the block.
    pub(crate) foreign_payload: Option<Vec<u8>>,
    use_number: u64,
}

/// A change that is to be published.
pub(crate) type CacheChange = (CacheEventKind, ListedBlock);

/// A bounded cache of complete blocks that evicts the least recently used one.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    blocks: SortedMap<BlockHash, CachedBlock>,
    by_use: SortedMap<u64, BlockHash>,
    next_use: u64,
    next_generation: u64,
}

impl PrefixCache {
    /// Makes an empty cache.
    pub fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            blocks: SortedMap::new(),
            by_use: SortedMap::new(),
            next_use: 0,
            next_generation: 1,
        }
    }

    /// Returns how many blocks at the start of a chain are cached, and marks them as used.
    pub fn use_prefix(&mut self, chain: &[BlockHash]) -> usize {
        let count = chain.iter().take_while(|block| self.blocks.contains_key(block)).count();
        // The first block is marked last: without it those behind it are of no use, so it must not
        // be evicted before them.
        chain[..count].iter().rev().for_each(|block| self.mark_used(*block));
        count
    }

    /// Stores the blocks of a chain whose computation is complete.
    pub(crate) fn store_chain(&mut self, chain: &[BlockHash]) -> Vec<CacheChange> {
        // More than the capacity would evict the beginning, which the rest needs.
        let kept = &chain[..chain.len().min(self.capacity_blocks)];
        let mut changes = Vec::new();
        for (index, block) in kept.iter().enumerate() {
            if !self.blocks.contains_key(block) {
                let position_blocks = u32::try_from(index + 1).unwrap_or(u32::MAX);
                changes.extend(self.store(*block, position_blocks, None));
            }
        }
        kept.iter().rev().for_each(|block| self.mark_used(*block));
        changes
    }

    /// Stores one block, evicting others if there is no room.
    pub(crate) fn store(
        &mut self,
        block: BlockHash,
        position_blocks: u32,
        foreign_payload: Option<Vec<u8>>,
    ) -> Vec<CacheChange> {
        if self.capacity_blocks == 0 {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.blocks.contains_key(&block) {
            changes.extend(self.remove(block));
        }
        while self.blocks.len() >= self.capacity_blocks {
            let Some((_, &oldest)) = self.by_use.iter().next() else { break };
            changes.extend(self.remove(oldest));
        }
        let generation = self.next_generation;
        self.next_generation += 1;
        let use_number = self.take_use_number();
        self.by_use.insert(use_number, block);
        let entry = CachedBlock { position_blocks, generation, foreign_payload, use_number };
        self.blocks.insert(block, entry);
        changes.push((CacheEventKind::Stored, ListedBlock { position_blocks, block }));
        changes
    }

    /// Removes all blocks.
    pub(crate) fn clear(&mut self) -> Vec<CacheChange> {
        let blocks: Vec<BlockHash> = self.blocks.keys().copied().collect();
        blocks.into_iter().filter_map(|block| self.remove(block)).collect()
    }

    pub(crate) fn get(&self, block: &BlockHash) -> Option<&CachedBlock> {
        self.blocks.get(block)
    }

    /// Returns all blocks.
    pub fn listing(&self) -> Vec<ListedBlock> {
        let list = |(block, entry): (&BlockHash, &CachedBlock)| ListedBlock {
            position_blocks: entry.position_blocks,
            block: *block,
        };
        self.blocks.iter().map(list).collect()
    }

    fn remove(&mut self, block: BlockHash) -> Option<CacheChange> {
        let entry = self.blocks.remove(&block)?;
        self.by_use.remove(&entry.use_number);
        let listed = ListedBlock { position_blocks: entry.position_blocks, block };
        Some((CacheEventKind::Evicted, listed))
    }

    fn mark_used(&mut self, block: BlockHash) {
        let use_number = self.take_use_number();
        if let Some(entry) = self.blocks.get_mut(&block) {
            self.by_use.remove(&entry.use_number);
            entry.use_number = use_number;
            self.by_use.insert(use_number, block);
        }
    }

    fn take_use_number(&mut self) -> u64 {
        self.next_use += 1;
        self.next_use
    }
}
