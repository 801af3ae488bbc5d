//! Which blocks are exported after an answer.

use std::ops::Range;

use yuccapass_types::{Bytes, BytesPerSecond, Instant};

use crate::routing::link_budget::LinkBudget;

/// Bounds of exports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExportSettings {
    min_blocks: u32,
    rate: BytesPerSecond,
}

impl Default for ExportSettings {
    /// Prompts of at least 4 blocks, 8 MB/s.
    ///
    /// At the target a node serves 11.5 requests a second; with 40 new blocks of 16 KiB each these
    /// are 7.5 MB/s.
    fn default() -> Self {
        Self { min_blocks: 4, rate: BytesPerSecond::new(8_000_000) }
    }
}

impl ExportSettings {
    /// Sets the length of the shortest prompt that is exported, in whole blocks; default 4.
    ///
    /// Shorter prompts are recomputed in about the time of a call to a store.
    pub fn min_blocks(mut self, min_blocks: u32) -> Self {
        self.min_blocks = min_blocks;
        self
    }

    /// Sets the rate at which this node exports; default 8 MB/s.
    pub fn rate(mut self, rate: BytesPerSecond) -> Self {
        self.rate = rate;
        self
    }

    /// Returns whether a prompt of so many whole blocks is long enough to be exported.
    pub fn is_long_enough(&self, prompt_blocks: u32) -> bool {
        prompt_blocks >= self.min_blocks.max(1)
    }
}

/// A prompt whose answer was delivered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredPrompt {
    /// Length of the prompt in whole blocks.
    pub prompt_blocks: u32,
    /// Blocks at its start that the store is known to have.
    pub stored_blocks: u32,
    /// Size of an exported block.
    pub block_size: Bytes,
}

/// Chooses the blocks to export within the byte budget of a node.
#[derive(Debug)]
pub struct ExportSelector {
    settings: ExportSettings,
    budget: LinkBudget,
}

impl ExportSelector {
    /// Makes a choice with an empty budget.
    pub fn new(settings: ExportSettings, now: Instant) -> Self {
        Self { settings, budget: LinkBudget::new(settings.rate, 1, now) }
    }

    /// Returns the positions, from 0, of the blocks to export, and takes their bytes from the
    /// budget.
    ///
    /// If the budget does not cover all blocks, it is spent on the first ones: a block is of use
    /// only behind those before it.
    pub fn choose(&mut self, prompt: &AnsweredPrompt, now: Instant) -> Range<u32> {
        let start = prompt.stored_blocks.min(prompt.prompt_blocks);
        if !self.settings.is_long_enough(prompt.prompt_blocks) {
            return start..start;
        }
        let block_bytes = prompt.block_size.get().max(1);
        let affordable = self.budget.available(now).get() / block_bytes;
        let missing = prompt.prompt_blocks - start;
        let blocks = missing.min(u32::try_from(affordable).unwrap_or(u32::MAX));
        let bytes = Bytes::new(block_bytes.saturating_mul(u64::from(blocks)));
        match self.budget.try_take(bytes, now) {
            true => start..start + blocks,
            false => start..start,
        }
    }
}
