//! Counts of calls.

use serde::{Deserialize, Serialize};
use yuccapass_types::{Instant, RequestsPerSecond};

/// Calls of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindStats {
    /// All calls.
    pub total: u64,
    /// Most calls in one second of the stand-in's clock; for reads, waiting watches count too.
    pub peak_per_s: u64,
    /// Calls that exceeded the rate in their second.
    pub over_rate: u64,
    current_second: u64,
    current_count: u64,
}

impl KindStats {
    /// Counts a call; returns whether it exceeds the rate. Each waiting watch counts as one call.
    pub(super) fn count(&mut self, rate: RequestsPerSecond, waiting: u64, now: Instant) -> bool {
        let second = now.as_ms() / 1_000;
        if second != self.current_second {
            self.current_second = second;
            self.current_count = 0;
        }
        self.total += 1;
        self.current_count += 1;
        let load = self.current_count + waiting;
        self.peak_per_s = self.peak_per_s.max(load);
        let exceeds_rate = load > rate.get();
        self.over_rate += u64::from(exceeds_rate);
        exceeds_rate
    }
}

/// The response to `GET /stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads and starts of watches.
    pub reads: KindStats,
    /// Transactions, puts and lease calls.
    pub writes: KindStats,
    /// Reads of the VM list, whose rate is not limited.
    pub vm_lists: u64,
    /// Watches that wait for changes now.
    pub waiting_watches: u64,
    /// Most watches that waited at the same time.
    pub peak_waiting_watches: u64,
    /// Revision of the key-value service.
    pub revision: u64,
}
