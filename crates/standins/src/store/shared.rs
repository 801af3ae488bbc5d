//! Settings, faults, crashes and shared state of a stand-in store VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use yuccapass_http::sleep_until;
use yuccapass_stores::{BlockTier, StoreStatus};
use yuccapass_types::{
    BlockHash, Bytes, BytesPerSecond, ChecksummedBlock, Clock, Deadline, Incarnation,
};

use super::link::Link;
use super::tiers::{StoreFull, Tiers};
use crate::seeded_random;

/// Faults that stay on until they are replaced. Probabilities are from 0 to 1.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every block is refused as if both tiers were full.
    pub full: bool,
    /// Byte rate of the link, which all transfers share; without a value it has no limit.
    pub link_rate: Option<BytesPerSecond>,
    /// Probability that the second half of a block that is read is zeroed.
    pub torn_probability: f64,
    /// Probability that the VM crashes in the middle of a transfer.
    pub crash_probability: f64,
}

/// Settings of a stand-in store VM.
#[derive(Debug, Clone)]
pub struct StoreConfig {
    seed: u64,
    memory_capacity: Bytes,
    disk_capacity: Bytes,
    faults: StoreFaults,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            memory_capacity: Bytes::new(256 << 20),
            disk_capacity: Bytes::new(1 << 30),
            faults: StoreFaults::default(),
        }
    }
}

impl StoreConfig {
    /// Sets the seed of all random choices; 1 by default.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the size of the memory tier; 256 MiB by default.
    pub fn memory_capacity(mut self, capacity: Bytes) -> Self {
        self.memory_capacity = capacity;
        self
    }

    /// Sets the size of the disk tier, which is simulated in memory; 1 GiB by default.
    pub fn disk_capacity(mut self, capacity: Bytes) -> Self {
        self.disk_capacity = capacity;
        self
    }

    /// Sets the faults that are on from the start; none by default.
    pub fn faults(mut self, faults: StoreFaults) -> Self {
        self.faults = faults;
        self
    }
}

#[derive(Debug)]
struct State {
    tiers: Tiers,
    link: Link,
    faults: StoreFaults,
    incarnation: Incarnation,
    transfers: u64,
}

/// How a transfer fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TransferFaults {
    pub(crate) is_torn: bool,
    pub(crate) crashes: bool,
}

/// A stand-in store VM.
pub struct Store {
    seed: u64,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Store {
    /// Creates an empty store.
    pub fn new(config: StoreConfig, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            tiers: Tiers::new(config.memory_capacity, config.disk_capacity),
            link: Link::new(config.faults.link_rate),
            faults: config.faults,
            incarnation: Incarnation::new(1),
            transfers: 0,
        };
        Self { seed: config.seed, clock, state: Mutex::new(state) }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.link.set_rate(faults.link_rate, now);
        state.faults = faults;
    }

    /// Loses the memory tier and starts a new incarnation; the disk tier stays.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.tiers.lose_memory();
        state.incarnation = state.incarnation.next();
    }

    pub(crate) fn put(&self, block: ChecksummedBlock) -> Result<(), StoreFull> {
        let mut state = self.lock();
        if state.faults.full { Err(StoreFull) } else { state.tiers.put(block) }
    }

    pub(crate) fn get(&self, block: BlockHash) -> Option<Arc<ChecksummedBlock>> {
        self.lock().tiers.get(block)
    }

    pub(crate) fn tier_of(&self, block: &BlockHash) -> Option<BlockTier> {
        self.lock().tiers.tier_of(block)
    }

    pub(crate) fn delete(&self, block: BlockHash) {
        self.lock().tiers.delete(block);
    }

    pub(crate) fn status(&self) -> StoreStatus {
        let state = self.lock();
        let (blocks, memory, disk) = state.tiers.status();
        StoreStatus { incarnation: state.incarnation, blocks, memory, disk }
    }

    /// Numbers a transfer and chooses its faults at random.
    pub(crate) fn begin_transfer(&self) -> TransferFaults {
        let mut state = self.lock();
        state.transfers += 1;
        let key = state.transfers.to_string();
        TransferFaults {
            is_torn: seeded_random(self.seed, "torn", &key) < state.faults.torn_probability,
            crashes: seeded_random(self.seed, "crash", &key) < state.faults.crash_probability,
        }
    }

    /// Schedules a transfer on the link and waits until it completes.
    pub(crate) async fn transfer(&self, size: Bytes) {
        let end = self.lock().link.schedule(size, self.clock.now());
        sleep_until(&*self.clock, Deadline::after_ms(end, 0)).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
