//! The state that all calls share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use yuccapass_platform::VmListing;
use yuccapass_types::{Clock, Deadline, MonotonicClock, RequestsPerSecond};

use super::faults::{FaultSampler, Faults};
use super::key_value_store::KeyValueStore;
use super::stats::Stats;

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub struct StandinConfig {
    /// Highest rate of reads.
    pub read_rate: RequestsPerSecond,
    /// Highest rate of writes.
    pub write_rate: RequestsPerSecond,
    /// Whether calls above the rates get status 429.
    pub enforces_rates: bool,
    /// Age at which a change of the VM list becomes visible.
    pub vm_lag_ms: u64,
    /// Seed of the random choices of faults.
    pub seed: u64,
    /// The faults at the start.
    pub faults: Faults,
}

impl Default for StandinConfig {
    fn default() -> Self {
        Self {
            read_rate: RequestsPerSecond::new(2_000),
            write_rate: RequestsPerSecond::new(300),
            enforces_rates: false,
            vm_lag_ms: 0,
            seed: 1,
            faults: Faults::default(),
        }
    }
}

pub(super) struct Inner {
    pub(super) store: KeyValueStore,
    pub(super) faults: Faults,
    pub(super) fault_sampler: FaultSampler,
    pub(super) stats: Stats,
    /// The listing that is visible now, if there is one, then those that become visible later.
    listings: Vec<(Deadline, VmListing)>,
    /// Replaced to wake all watches, whose receivers then return an error.
    changed: (Sender<()>, Receiver<()>),
}

impl Inner {
    pub(super) fn wake_watches(&mut self) {
        self.changed = bounded(1);
    }

    pub(super) fn changed(&self) -> Receiver<()> {
        self.changed.1.clone()
    }
}

/// The state of a stand-in; clones share it.
#[derive(Clone)]
pub struct PlatformState {
    inner: Arc<Mutex<Inner>>,
    clock: Arc<dyn Clock>,
    config: StandinConfig,
}

impl PlatformState {
    /// Creates an empty state.
    pub fn new(config: StandinConfig) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
        let mut inner = Inner {
            store: KeyValueStore::default(),
            faults: Faults::default(),
            fault_sampler: FaultSampler::new(config.seed),
            stats: Stats::default(),
            listings: Vec::new(),
            changed: bounded(1),
        };
        set_faults(&mut inner, config.faults.clone());
        Self { inner: Arc::new(Mutex::new(inner)), clock, config }
    }

    /// Replaces the active faults, and compacts or restores the store if they say so.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&mut self.lock(), faults);
    }

    /// Returns the counts of calls and the current revision.
    pub fn stats(&self) -> Stats {
        let inner = self.lock();
        Stats { revision: inner.store.revision(), ..inner.stats.clone() }
    }

    /// Changes the VM list; the change is visible after the lag.
    pub fn set_vms(&self, listing: VmListing) {
        let visible_from = Deadline::after_ms(self.clock.now(), self.config.vm_lag_ms);
        self.lock().listings.push((visible_from, listing));
    }

    pub(super) fn visible_vms(&self) -> VmListing {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.stats.vm_lists += 1;
        let visible_count = inner.listings.partition_point(|(from, _)| from.has_passed(now));
        inner.listings.drain(..visible_count.saturating_sub(1));
        let visible = inner.listings.first().filter(|(from, _)| from.has_passed(now));
        visible.map(|(_, listing)| listing.clone()).unwrap_or_default()
    }

    pub(super) fn config(&self) -> &StandinConfig {
        &self.config
    }

    pub(super) fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Locks the state and ends the leases that have expired.
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.store.expire(self.clock.now()) {
            inner.wake_watches();
        }
        inner
    }
}

fn set_faults(inner: &mut Inner, mut faults: Faults) {
    if std::mem::take(&mut faults.compact) {
        inner.store.compact();
    }
    if let Some(revision) = faults.restore_revision.take() {
        inner.store.restore(revision);
    }
    inner.faults = faults;
    inner.wake_watches();
}
