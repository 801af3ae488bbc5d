//! Tells the outages apart that relays report.

use yuccapass_types::{Deadline, Instant};

/// Time by which two reports of the same end may differ: each is too early by the time that the
/// request took, and one that takes longer gets no reply.
const REPORT_TOLERANCE_MS: u64 = 1_000;

/// The ends of outages that a follower has heard of.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutageEnds {
    last: Option<Instant>,
}

impl OutageEnds {
    /// Records a report; returns whether it is about an outage that was not known.
    pub fn record(&mut self, ended_at: Instant) -> bool {
        let known_until = self.last.map(|last| Deadline::after_ms(last, REPORT_TOLERANCE_MS));
        let is_new = known_until.is_none_or(|until| until.has_passed(ended_at));
        if is_new {
            self.last = Some(ended_at);
        }
        is_new
    }
}
