//! A link whose transfers share a byte rate.

use yuccapass_types::{Bytes, BytesPerSecond, Instant};

/// Time of a byte in the unit of the link's calendar; with a rate in bytes per second this makes a
/// millisecond as long as the rate, so that all arithmetic is exact.
const UNITS_PER_BYTE: u128 = 1_000;

/// A calendar of when the link is free.
#[derive(Debug, Default)]
pub struct Link {
    rate: Option<BytesPerSecond>,
    free_at: u128,
}

impl Link {
    /// Makes a link; without a rate it is as fast as the machine.
    pub fn new(rate: Option<BytesPerSecond>) -> Self {
        Self { rate, free_at: 0 }
    }

    /// Changes the rate; transfers that are booked keep their time.
    pub fn set_rate(&mut self, rate: Option<BytesPerSecond>, now: Instant) {
        *self = Self::new(rate);
        self.free_at = u128::from(now.as_ms()) * self.units_per_ms();
    }

    /// Books a transfer behind those that were booked before; returns when it is complete.
    pub fn book(&mut self, size: Bytes, now: Instant) -> Instant {
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
