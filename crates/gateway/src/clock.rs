//! A clock that also counts while the machine is suspended.

use rustix_1::time::{ClockId, clock_gettime};
use yuccapass_types::{Clock, Instant};

/// The operating system's boot-time clock, counted from when this value was made.
///
/// A machine that was suspended must not rely on leases and confirmations from before, so their
/// deadlines have to pass meanwhile, which they do not on the steady clock.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin_ms: u64,
}

impl BootClock {
    /// Starts counting.
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
