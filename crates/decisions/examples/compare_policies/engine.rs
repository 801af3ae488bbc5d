//! A simulated model endpoint: a batch, one prompt processed at a time, and a bounded prefix cache.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};

use yuccapass_decisions::routing::index::{CacheChange, CacheEvent};
use yuccapass_types::BlockHash;

use super::workload::{BLOCK_TOKENS, Prompt};

pub const PREFILL_TOKENS_PER_S: u64 = 10_000;
pub const MAX_RUNNING: u32 = 16;
/// Maximum number of running and queued requests.
pub const SUSTAINABLE_REQUESTS: u32 = 24;
pub const DECODE_US_PER_TOKEN: u64 = 30_000;

/// A cache that evicts the least recently used blocks first, and of one prompt the last block
/// first.
#[derive(Default)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockHash, (u64, u32)>,
    order: BTreeSet<(u64, Reverse<u32>, BlockHash)>,
    pub changes: Vec<(CacheChange, u32, BlockHash)>,
}

impl BlockCache {
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns how many blocks of a prompt are cached.
    pub fn prefix(&self, chain: &[BlockHash]) -> usize {
        chain.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Stores the blocks of a prompt or marks them as used.
    pub fn touch(&mut self, chain: &[BlockHash], now_us: u64) {
        for (position, &block) in (1..).zip(chain) {
            match self.blocks.insert(block, (now_us, position)) {
                Some((used_us, _)) => drop(self.order.remove(&(used_us, Reverse(position), block))),
                None => self.changes.push((CacheChange::Stored, position, block)),
            }
            self.order.insert((now_us, Reverse(position), block));
        }
        while self.blocks.len() > self.capacity {
            let Some((_, Reverse(position), block)) = self.order.pop_first() else { break };
            self.blocks.remove(&block);
            self.changes.push((CacheChange::Evicted, position, block));
        }
    }
}

/// A request at an endpoint.
pub struct Job {
    pub prompt: Prompt,
    pub arrived_us: u64,
    pub imported_blocks: usize,
}

/// A load report of an endpoint.
#[derive(Clone, Copy, Default)]
pub struct Report {
    pub made_us: u64,
    pub running: u32,
    pub queued: u32,
    pub backlog_tokens: u64,
}

/// A request whose prompt is being processed.
pub struct Prefill {
    pub job: Job,
    pub uncached_tokens: u64,
    pub end_us: u64,
}

pub struct Engine {
    pub cache: BlockCache,
    queue: VecDeque<Job>,
    decoding: u32,
    prefill: Option<Prefill>,
    sequence: u64,
}

impl Engine {
    pub fn new(cache_blocks: usize) -> Self {
        let cache = BlockCache::new(cache_blocks);
        Self { cache, queue: VecDeque::new(), decoding: 0, prefill: None, sequence: 0 }
    }

    /// Queues a request; returns false if the endpoint is full.
    pub fn accept(&mut self, job: Job, now_us: u64) -> bool {
        if self.running() + self.queue.len() as u32 >= SUSTAINABLE_REQUESTS {
            return false;
        }
        if job.imported_blocks > 0 {
            self.cache.touch(&job.prompt.chain[..job.imported_blocks], now_us);
        }
        self.queue.push_back(job);
        true
    }

    /// Starts to process the next prompt; returns the time when this ends.
    pub fn start_prefill(&mut self, now_us: u64) -> Option<u64> {
        if self.prefill.is_some() || self.running() >= MAX_RUNNING {
            return None;
        }
        let job = self.queue.pop_front()?;
        let uncached_tokens = self.uncached_tokens(&job.prompt);
        let end_us = now_us + uncached_tokens * 1_000_000 / PREFILL_TOKENS_PER_S;
        self.prefill = Some(Prefill { job, uncached_tokens, end_us });
        Some(end_us)
    }

    pub fn end_prefill(&mut self, now_us: u64) -> Option<Prefill> {
        let done = self.prefill.take()?;
        self.cache.touch(&done.job.prompt.chain, now_us);
        self.decoding += 1;
        Some(done)
    }

    pub fn end_decode(&mut self) {
        self.decoding -= 1;
    }

    pub fn report(&self, now_us: u64) -> Report {
        let queued_tokens: u64 =
            self.queue.iter().map(|job| self.uncached_tokens(&job.prompt)).sum();
        let remaining_us = self.prefill.as_ref().map_or(0, |p| p.end_us.saturating_sub(now_us));
        Report {
            made_us: now_us,
            running: self.running(),
            queued: self.queue.len() as u32,
            backlog_tokens: queued_tokens + remaining_us * PREFILL_TOKENS_PER_S / 1_000_000,
        }
    }

    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        let changes = std::mem::take(&mut self.cache.changes);
        let events = changes.into_iter().map(|(kind, position_blocks, block)| {
            self.sequence += 1;
            CacheEvent { sequence: self.sequence, kind, position_blocks, block }
        });
        events.collect()
    }

    fn running(&self) -> u32 {
        self.decoding + u32::from(self.prefill.is_some())
    }

    fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        let cached = self.cache.prefix(&prompt.chain) as u64 * BLOCK_TOKENS;
        prompt.tokens().saturating_sub(cached).max(1)
    }
}
