//! A clock that also advances while the machine is suspended.

use rustix_1::time::{ClockId, clock_gettime};
use yuccapass_types::{Clock, Instant};

/// The operating system's boot-time clock, relative to the creation of this value.
///
/// Leases and confirmations from before a suspension must not be relied on afterwards, so their
/// deadlines have to pass during it. On the monotonic clock, which stops meanwhile, they would not.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin_ms: u64,
}

impl BootClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self { origin_ms: boot_time_ms() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        Instant::from_ms(boot_time_ms().saturating_sub(self.origin_ms))
    }
}

fn boot_time_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanoseconds / 1_000_000
}
