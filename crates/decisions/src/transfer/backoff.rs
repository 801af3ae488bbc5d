//! Backoff from store VMs that failed or are full.

use yuccapass_types::{Deadline, Instant};

/// Backoff after the first failure.
const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Maximum backoff; a replaced VM is used again within this time.
const MAX_BACKOFF_MS: u64 = 30_000;

/// Backoff of exports to a full VM. Blocks leave a store only by deletion, which is rare.
const FULL_BACKOFF_MS: u64 = 10_000;

/// The backoff state of a store VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    failures: u32,
    skipped_until: Option<Deadline>,
    full_until: Option<Deadline>,
}

impl StoreBackoff {
    /// Returns whether blocks may be read from the VM now.
    pub fn may_read(&self, now: Instant) -> bool {
        self.skipped_until.is_none_or(|end| end.has_passed(now))
    }

    /// Returns whether blocks may be written to the VM now.
    pub fn may_write(&self, now: Instant) -> bool {
        self.may_read(now) && self.full_until.is_none_or(|end| end.has_passed(now))
    }

    /// Records that the VM could not be reached; each failure after a backoff doubles the next one.
    ///
    /// Failures during a backoff, of calls that began before it, are not counted.
    pub fn record_failure(&mut self, now: Instant) {
        if !self.may_read(now) {
            return;
        }
        let backoff_ms = INITIAL_BACKOFF_MS.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        self.skipped_until = Some(Deadline::after_ms(now, backoff_ms.min(MAX_BACKOFF_MS)));
    }

    /// Records that the VM had no room for a block.
    pub fn record_full(&mut self, now: Instant) {
        self.full_until = Some(Deadline::after_ms(now, FULL_BACKOFF_MS));
    }

    /// Records that the VM answered.
    pub fn record_answer(&mut self, now: Instant) {
        if self.may_read(now) {
            self.failures = 0;
            self.skipped_until = None;
        }
    }
}
