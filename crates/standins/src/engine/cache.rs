//! The prefix cache.

use yuccapass_endpoints::{CacheEventKind, ListedBlock};
use yuccapass_types::{BlockHash, SortedMap};

/// A cached block, whose computation is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CachedBlock {
    /// Position in its prompt, counted in blocks from 1.
    pub(crate) position_blocks: u32,
    /// Number of the write that stored the block; a later write has a larger number.
    pub(crate) generation: u64,
    /// The payload, if the block was imported and differs from what this engine would compute.
    pub(crate) unexpected_payload: Option<Vec<u8>>,
    /// Value of the use counter when the block was last used.
    last_use: u64,
}

/// A change that is to be published as a cache event.
pub(crate) type CacheChange = (CacheEventKind, ListedBlock);

/// A bounded cache of complete blocks that evicts the least recently used one.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    blocks: SortedMap<BlockHash, CachedBlock>,
    by_last_use: SortedMap<u64, BlockHash>,
    /// Counts the uses of all blocks.
    use_counter: u64,
    next_generation: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            blocks: SortedMap::new(),
            by_last_use: SortedMap::new(),
            use_counter: 0,
            next_generation: 1,
        }
    }

    /// Returns how many blocks at the start of a chain are cached, and marks them as used.
    pub fn match_prefix(&mut self, chain: &[BlockHash]) -> usize {
        let count = chain.iter().take_while(|block| self.blocks.contains_key(block)).count();
        // The first block is marked last: a cached prefix is usable only from its first block on,
        // so the blocks at the end must be evicted before it.
        chain[..count].iter().rev().for_each(|block| self.mark_used(*block));
        count
    }

    /// Stores the blocks of a chain whose computation is complete.
    pub(crate) fn store_chain(&mut self, chain: &[BlockHash]) -> Vec<CacheChange> {
        // Storing more than the capacity would evict the start of the chain, without which the rest
        // is unusable.
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

    /// Stores one block, evicting the least recently used ones if the cache is full.
    pub(crate) fn store(
        &mut self,
        block: BlockHash,
        position_blocks: u32,
        unexpected_payload: Option<Vec<u8>>,
    ) -> Vec<CacheChange> {
        if self.capacity_blocks == 0 {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.blocks.contains_key(&block) {
            changes.extend(self.remove(block));
        }
        while self.blocks.len() >= self.capacity_blocks {
            let Some((_, &oldest)) = self.by_last_use.iter().next() else { break };
            changes.extend(self.remove(oldest));
        }
        let generation = self.next_generation;
        self.next_generation += 1;
        let last_use = self.next_use_number();
        self.by_last_use.insert(last_use, block);
        let entry = CachedBlock { position_blocks, generation, unexpected_payload, last_use };
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
        self.by_last_use.remove(&entry.last_use);
        let listed = ListedBlock { position_blocks: entry.position_blocks, block };
        Some((CacheEventKind::Evicted, listed))
    }

    fn mark_used(&mut self, block: BlockHash) {
        let last_use = self.next_use_number();
        if let Some(entry) = self.blocks.get_mut(&block) {
            self.by_last_use.remove(&entry.last_use);
            entry.last_use = last_use;
            self.by_last_use.insert(last_use, block);
        }
    }

    fn next_use_number(&mut self) -> u64 {
        self.use_counter += 1;
        self.use_counter
    }
}
