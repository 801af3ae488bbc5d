//! The memory of engines that is left to the most urgent requests.

/// Smallest and largest share of the memory that is reserved. A tenth holds the short prompts that arrive
/// during the run of a long one; with half of the memory, an engine still has the next prompt to read
/// while it writes.
const BOUNDS: (f64, f64) = (0.1, 0.5);

/// How much the reserve grows with an answer that begins too late, and shrinks with one that begins in
/// time. It is stable if one in eleven answers is late.
const GROWTH: f64 = 0.05;
const DECREASE: f64 = 0.005;

/// The share of the memory of engines that only the most urgent requests may use.
///
/// An engine reads the prompts of running requests before it reads those of requests that come later, also
/// if they are more urgent. So less urgent requests get less memory while requests have to wait and answers to
/// the most urgent ones begin after their target latency. If no request has to wait, some endpoints are slow,
/// and a larger reserve would only move long prompts to the other ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UrgentReserve {
    share: f64,
}

impl Default for UrgentReserve {
    fn default() -> Self {
        Self { share: BOUNDS.0 }
    }
}

impl UrgentReserve {
    /// Records the first event of a most urgent request, by the time since it was sent. `has_waiting` says
    /// whether requests wait for an endpoint with room.
    pub fn record_first_event(&mut self, first_event_ms: u64, target_ms: u64, has_waiting: bool) {
        let is_short = has_waiting && first_event_ms > target_ms;
        let change = if is_short { GROWTH } else { -DECREASE };
        self.share = (self.share + change).clamp(BOUNDS.0, BOUNDS.1);
    }

    /// Returns the share, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
