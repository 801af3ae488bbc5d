//! How often the load of each endpoint is read.
//!
//! Reads have a budget of calls per second. Few endpoints are each read at the minimum period. With
//! more endpoints the period grows with their number up to a maximum, since a node must notice within
//! a few seconds that an endpoint leaves or fell back to a cold start. Where the maximum period and
//! the budget conflict, the maximum period prevails.

use rand::{Rng, RngExt};
use yuccapass_types::{Bytes, BytesPerSecond, Instant, RequestsPerSecond};

/// Settings of the read schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollSettings {
    reads: RequestsPerSecond,
    min_period_ms: u64,
    max_period_ms: u64,
    other_region_hold_ms: u64,
}

impl Default for PollSettings {
    /// 40 reads a second; a period of 250 ms to 2 s; endpoints of other regions for 60 s.
    fn default() -> Self {
        Self {
            reads: RequestsPerSecond::new(40),
            min_period_ms: 250,
            // A permit owner needs reports that are at most 3 s old, which includes the endpoint's
            // own lag.
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

    /// Sets the minimum period, which applies to few endpoints; 250 ms by default.
    pub fn min_period_ms(mut self, ms: u64) -> Self {
        self.min_period_ms = ms;
        self
    }

    /// Sets the maximum period; 2 s by default.
    pub fn max_period_ms(mut self, ms: u64) -> Self {
        self.max_period_ms = ms;
        self
    }

    /// Sets how long the endpoints of other regions are read after they were last needed; 60 s by
    /// default.
    pub fn other_region_hold_ms(mut self, ms: u64) -> Self {
        self.other_region_hold_ms = ms;
        self
    }

    /// Returns the period of the reads of each endpoint when this many endpoints are read.
    pub fn period_ms(&self, endpoints: usize) -> u64 {
        let stretched_ms = (endpoints as u64 * 1_000).div_ceil(self.reads.get().max(1));
        stretched_ms.max(self.min_period_ms).min(self.max_period_ms)
    }

    /// Draws the time of the next read of an endpoint, at most the maximum period after `now`.
    ///
    /// Reads fall on multiples of the minimum period, so that a node's threads wake up once for many
    /// reads. The clocks of the nodes start at different times, which spreads the nodes' reads.
    pub fn next_read(&self, now: Instant, endpoints: usize, random: &mut dyn Rng) -> Instant {
        let steps = self.steps(endpoints);
        self.after_steps(now, random.random_range((steps * 3).div_ceil(4)..=steps))
    }

    /// Draws the time of the first read of an endpoint from the whole period, so that reads that are
    /// scheduled together do not all happen at once.
    pub fn first_read(&self, now: Instant, endpoints: usize, random: &mut dyn Rng) -> Instant {
        self.after_steps(now, random.random_range(1..=self.steps(endpoints)))
    }

    /// Returns the period in multiples of the minimum period, rounded up but not above the maximum.
    fn steps(&self, endpoints: usize) -> u64 {
        let min_ms = self.min_period_ms.max(1);
        let max_steps = (self.max_period_ms / min_ms).max(1);
        self.period_ms(endpoints).div_ceil(min_ms).clamp(1, max_steps)
    }

    fn after_steps(&self, now: Instant, steps: u64) -> Instant {
        let min_ms = self.min_period_ms.max(1);
        Instant::from_ms((now.as_ms() / min_ms + steps) * min_ms)
    }
}

/// Whether the endpoints of other regions are read for a model.
///
/// They are candidates only if a request cannot be served in the node's own region, so they are read
/// while that region has no capacity left, and for some time after.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherRegionReads {
    last_needed: Option<Instant>,
}

impl OtherRegionReads {
    /// Records whether the node's own region has capacity for the model.
    pub fn observe(&mut self, own_region_has_capacity: bool, now: Instant) {
        if !own_region_has_capacity {
            self.last_needed = Some(now);
        }
    }

    /// Returns whether the endpoints of other regions are to be read.
    pub fn are_needed(&self, settings: &PollSettings, now: Instant) -> bool {
        self.last_needed
            .is_some_and(|needed_at| now.ms_since(needed_at) < settings.other_region_hold_ms)
    }
}

/// Token bucket for the bytes of cache events and listings that a node reads.
///
/// A read is allowed while the balance is not negative and is charged afterwards, since its size is
/// not known before. The debt is bounded, so that one large listing does not stop all reads for
/// minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventReadBudget {
    rate: BytesPerSecond,
    capacity: Bytes,
    balance_bytes: i64,
    refilled_at: Instant,
}

impl EventReadBudget {
    /// Creates a full budget; `capacity` limits both its balance and its debt.
    pub fn new(rate: BytesPerSecond, capacity: Bytes, now: Instant) -> Self {
        Self { rate, capacity, balance_bytes: capacity_bytes(capacity), refilled_at: now }
    }

    /// Returns whether events may be read now.
    pub fn may_read(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.balance_bytes >= 0
    }

    /// Charges a read to the budget.
    pub fn charge(&mut self, read: Bytes, now: Instant) {
        self.refill(now);
        let balance_bytes = self.balance_bytes.saturating_sub_unsigned(read.get());
        self.balance_bytes = balance_bytes.max(-capacity_bytes(self.capacity));
    }

    /// Adds the bytes that accrued; less than one byte is left to accrue until the next refill.
    fn refill(&mut self, now: Instant) {
        let accrued_bytes = now.ms_since(self.refilled_at).saturating_mul(self.rate.get()) / 1_000;
        if accrued_bytes > 0 {
            let balance_bytes = self.balance_bytes.saturating_add_unsigned(accrued_bytes);
            self.balance_bytes = balance_bytes.min(capacity_bytes(self.capacity));
            self.refilled_at = now;
        }
    }
}

fn capacity_bytes(capacity: Bytes) -> i64 {
    i64::try_from(capacity.get()).unwrap_or(i64::MAX)
}
