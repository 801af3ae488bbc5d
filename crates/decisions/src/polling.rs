//! How often the load of each endpoint is read.
//!
//! Reads have a budget of calls per second. With few endpoints each is read at the shortest period;
//! with many the period grows with their number, up to a longest period, since a node must notice
//! within a few seconds that an endpoint leaves or fell back to a cold start. The longest period
//! goes before the budget.

use rand::{Rng, RngExt};
use yuccapass_types::{Bytes, BytesPerSecond, Instant, RequestsPerSecond};

/// Limits of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollSettings {
    reads: RequestsPerSecond,
    min_period_ms: u64,
    max_period_ms: u64,
    other_region_hold_ms: u64,
}

impl Default for PollSettings {
    /// 40 reads a second; each endpoint every 250 ms to 2 s; spare endpoints for 60 s.
    fn default() -> Self {
        Self {
            reads: RequestsPerSecond::new(40),
            min_period_ms: 250,
            // A permit owner needs reports of at most 3 s, to which the endpoint's lag adds.
            max_period_ms: 2_000,
            other_region_hold_ms: 60_000,
        }
    }
}

impl PollSettings {
    /// Sets the budget of reads; 40 a second by default.
    pub fn reads(mut self, reads: RequestsPerSecond) -> Self {
        self.reads = reads;
        self
    }

    /// Sets the period with few endpoints; 250 ms by default.
    pub fn min_period_ms(mut self, ms: u64) -> Self {
        self.min_period_ms = ms;
        self
    }

    /// Sets the longest period; 2 s by default.
    pub fn max_period_ms(mut self, ms: u64) -> Self {
        self.max_period_ms = ms;
        self
    }

    /// Sets how long the spare endpoints of a model are read after they were last needed; 60 s by
    /// default.
    pub fn other_region_hold_ms(mut self, ms: u64) -> Self {
        self.other_region_hold_ms = ms;
        self
    }

    /// Returns the longest time between two reads of an endpoint when `endpoints` are read.
    pub fn period_ms(&self, endpoints: usize) -> u64 {
        let stretched_ms = (endpoints as u64 * 1_000).div_ceil(self.reads.get().max(1));
        stretched_ms.max(self.min_period_ms).min(self.max_period_ms)
    }

    /// Draws the time of the next read of one endpoint, at most the longest period after `now`.
    ///
    /// Reads fall on multiples of the least period, so that one wake-up of a node's threads serves
    /// many reads. The clocks of nodes start at different times, so that their reads spread out.
    pub fn next_read(&self, now: Instant, endpoints: usize, random: &mut dyn Rng) -> Instant {
        let steps = self.steps(endpoints);
        self.after_steps(now, random.random_range((steps * 3).div_ceil(4)..=steps))
    }

    /// Draws the time of the first read of one endpoint: readers that start together would
    /// otherwise all read at once.
    pub fn first_read(&self, now: Instant, endpoints: usize, random: &mut dyn Rng) -> Instant {
        self.after_steps(now, random.random_range(1..=self.steps(endpoints)))
    }

    /// Returns the period in multiples of the least period: rounded up, but not above the longest.
    fn steps(&self, endpoints: usize) -> u64 {
        let least_ms = self.min_period_ms.max(1);
        let most_steps = (self.max_period_ms / least_ms).max(1);
        self.period_ms(endpoints).div_ceil(least_ms).clamp(1, most_steps)
    }

    fn after_steps(&self, now: Instant, steps: u64) -> Instant {
        let least_ms = self.min_period_ms.max(1);
        Instant::from_ms((now.as_ms() / least_ms + steps) * least_ms)
    }
}

/// Whether the endpoints of other regions are read for one model.
///
/// They are candidates only if a request cannot be served in the own region, so they are read while
/// the own region has no room, and for some time after.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherRegionReads {
    last_needed: Option<Instant>,
}

impl OtherRegionReads {
    /// Takes in whether the own region has room for the model.
    pub fn observe(&mut self, own_region_has_room: bool, now: Instant) {
        if !own_region_has_room {
            self.last_needed = Some(now);
        }
    }

    /// Returns whether the endpoints of other regions are to be read.
    pub fn are_needed(&self, settings: &PollSettings, now: Instant) -> bool {
        self.last_needed.is_some_and(|needed| now.ms_since(needed) < settings.other_region_hold_ms)
    }
}

/// Bytes of cache events and listings that a node may read.
///
/// A read is allowed while the balance is not negative and is charged afterwards, since its size is
/// not known before. The debt is bounded, so that one large listing does not stop all reads for
/// minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventReadBudget {
    rate: BytesPerSecond,
    most: Bytes,
    balance_bytes: i64,
    updated: Instant,
}

impl EventReadBudget {
    /// Makes an allowance that is full; it holds and owes at most `most`.
    pub fn new(rate: BytesPerSecond, most: Bytes, now: Instant) -> Self {
        Self { rate, most, balance_bytes: most_bytes(most), updated: now }
    }

    /// Returns whether events may be read now.
    pub fn may_read(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.balance_bytes >= 0
    }

    /// Takes in how much was read.
    pub fn charge(&mut self, read: Bytes, now: Instant) {
        self.refill(now);
        let balance_bytes = self.balance_bytes.saturating_sub_unsigned(read.get());
        self.balance_bytes = balance_bytes.max(-most_bytes(self.most));
    }

    /// Adds what accrued; a part of a byte counts at the next refill.
    fn refill(&mut self, now: Instant) {
        let accrued_bytes = now.ms_since(self.updated).saturating_mul(self.rate.get()) / 1_000;
        if accrued_bytes > 0 {
            let balance_bytes = self.balance_bytes.saturating_add_unsigned(accrued_bytes);
            self.balance_bytes = balance_bytes.min(most_bytes(self.most));
            self.updated = now;
        }
    }
}

fn most_bytes(most: Bytes) -> i64 {
    i64::try_from(most.get()).unwrap_or(i64::MAX)
}
