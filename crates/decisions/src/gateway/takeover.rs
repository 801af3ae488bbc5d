//! Decides when a leader may give its first order after another one.
//!
//! Orders of two leaders must be some time apart. A leader that does not know when the last order was given
//! waits for all of that time. One that stops as planned hands over what is left of it: otherwise, if
//! leaders are stopped one after the other, each would wait from the beginning and none would order.

use yuccapass_types::{Deadline, FencingNumber, Instant};

/// What a leader that stops tells the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Handover {
    /// The number of the leader that has stopped.
    pub fencing: FencingNumber,
    /// Time from its end until the next leader may give its first order.
    pub wait_ms: u64,
}

/// The pauses of one leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Takeover {
    fencing: FencingNumber,
    first_order_at: Instant,
    last_order_at: Option<Instant>,
}

impl Takeover {
    /// Begins the time of a leader with this number, which waits for `wait_ms` unless its predecessor has
    /// handed over a shorter time.
    pub fn new(
        fencing: FencingNumber,
        wait_ms: u64,
        handover: Option<Handover>,
        now: Instant,
    ) -> Self {
        // The very first leader has no predecessor.
        let is_first = fencing.is_first();
        let handed_over = handover.filter(|handover| handover.fencing.next() == fencing);
        let wait_ms = match handed_over {
            _ if is_first => 0,
            Some(handover) => handover.wait_ms.min(wait_ms),
            None => wait_ms,
        };
        let first_order_at = Deadline::after_ms(now, wait_ms).instant();
        Self { fencing, first_order_at, last_order_at: None }
    }

    /// Returns whether this is the time of the leader with this number.
    pub fn is_of(&self, fencing: FencingNumber) -> bool {
        self.fencing == fencing
    }

    /// Returns whether the leader with this number may give orders. One that has lost the lock and got it
    /// again has another number, and has to wait again.
    pub fn may_order(&self, fencing: FencingNumber, now: Instant) -> bool {
        self.is_of(fencing) && self.first_order_at <= now
    }

    /// Returns when the first order may be given.
    pub fn first_order_at(&self) -> Instant {
        self.first_order_at
    }

    /// Records that an order is given, or may have been.
    pub fn record_order(&mut self, now: Instant) {
        self.last_order_at = self.last_order_at.max(Some(now));
    }

    /// Returns what a leader that ends now hands over. `takeover_ms` is the time between orders of two leaders.
    pub fn handover(&self, takeover_ms: u64, now: Instant) -> Handover {
        let after_last = self.last_order_at.map(|at| Deadline::after_ms(at, takeover_ms));
        let after_last_ms = after_last.map_or(0, |at| at.remaining_ms(now));
        let own_ms = Deadline::after_ms(self.first_order_at, 0).remaining_ms(now);
        Handover { fencing: self.fencing, wait_ms: after_last_ms.max(own_ms) }
    }
}
