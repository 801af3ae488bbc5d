//! Store VMs that are skipped because they failed or are full.

use yuccapass_types::{Deadline, Instant};

/// Pause after the first failure.
const FIRST_PAUSE_MS: u64 = 1_000;

/// Longest pause: a replaced VM is used again within this time.
const MAX_PAUSE_MS: u64 = 30_000;

/// Pause of exports to a full VM; blocks leave a store only by deletion, which is rare.
const FULL_PAUSE_MS: u64 = 10_000;

/// What is known of a store VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    failures: u32,
    skipped_until: Option<Deadline>,
    full_until: Option<Deadline>,
}

impl StoreBackoff {
    /// Returns whether blocks may be read now.
    pub fn may_read(&self, now: Instant) -> bool {
        self.skipped_until.is_none_or(|end| end.has_passed(now))
    }

    /// Returns whether blocks may be written now.
    pub fn may_write(&self, now: Instant) -> bool {
        self.may_read(now) && self.full_until.is_none_or(|end| end.has_passed(now))
    }

    /// Takes in that the VM could not be reached; each failure after a pause doubles the next one.
    ///
    /// Failures of calls that began before the pause count once.
    pub fn record_failure(&mut self, now: Instant) {
        if !self.may_read(now) {
            return;
        }
        let pause_ms = FIRST_PAUSE_MS.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        self.skipped_until = Some(Deadline::after_ms(now, pause_ms.min(MAX_PAUSE_MS)));
    }

    /// Takes in that the VM had no room for a block.
    pub fn record_full(&mut self, now: Instant) {
        self.full_until = Some(Deadline::after_ms(now, FULL_PAUSE_MS));
    }

    /// Takes in that the VM answered.
    pub fn record_answer(&mut self, now: Instant) {
        if self.may_read(now) {
            self.failures = 0;
            self.skipped_until = None;
        }
    }
}
