//! A network link whose transfers share a byte rate.

use yuccapass_types::{Bytes, BytesPerSecond, Instant};

/// Duration of a byte in the link's units of time. At a rate of r bytes per second, a millisecond
/// is r units, so integer arithmetic is exact.
const UNITS_PER_BYTE: u128 = 1_000;

/// A link that transfers one piece of data after the other, in the order in which they were
/// scheduled.
#[derive(Debug, Default)]
pub struct Link {
    rate: Option<BytesPerSecond>,
    /// End of the last scheduled transfer, in units of time since the clock's origin.
    free_at: u128,
}

impl Link {
    /// Creates a link; without a rate, transfers are not delayed.
    pub fn new(rate: Option<BytesPerSecond>) -> Self {
        Self { rate, free_at: 0 }
    }

    /// Changes the rate. Transfers that were scheduled before keep their end, and later ones do not
    /// wait for them.
    pub fn set_rate(&mut self, rate: Option<BytesPerSecond>, now: Instant) {
        *self = Self::new(rate);
        self.free_at = u128::from(now.as_ms()) * self.units_per_ms();
    }

    /// Schedules a transfer after all earlier ones; returns when it completes.
    pub fn schedule(&mut self, size: Bytes, now: Instant) -> Instant {
        if self.rate.is_none() {
            return now;
        }
        let units_per_ms = self.units_per_ms();
        let start = self.free_at.max(u128::from(now.as_ms()) * units_per_ms);
        self.free_at = start + u128::from(size.get()) * UNITS_PER_BYTE;
        let end_ms = self.free_at.div_ceil(units_per_ms);
        Instant::from_ms(u64::try_from(end_ms).unwrap_or(u64::MAX))
    }

    fn units_per_ms(&self) -> u128 {
        self.rate.map_or(1, |rate| u128::from(rate.get().max(1)))
    }
}
