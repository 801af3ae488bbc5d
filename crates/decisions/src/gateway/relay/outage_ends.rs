//! Decides which reports of relays are about outages of the origin.

use yuccapass_types::{Deadline, Instant};

/// Time by which two reports of the same end may differ: each is too early by the time that the
/// request took, and one that takes longer gets no reply.
const REPORT_TOLERANCE_MS: u64 = 1_000;

/// The time in which a follower read from the origin itself, without a failure. A follower that hears that
/// its relay gets no answers reads from the origin within less than the tolerance.
#[derive(Debug, Clone, Copy)]
struct OwnReads {
    from: Instant,
    until: Instant,
}

impl OwnReads {
    fn contains(self, instant: Instant) -> bool {
        let is_before = Deadline::after_ms(instant, REPORT_TOLERANCE_MS).instant() < self.from;
        !is_before && instant <= self.until
    }
}

/// The ends of outages that a follower has heard of.
///
/// A relay reports what it has seen. The origin may have turned away the relay alone, so the report does
/// not count for a follower that the origin served at that time.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutageEnds {
    last: Option<Instant>,
    own_reads: Option<OwnReads>,
}

impl OutageEnds {
    /// Records that the origin has answered a call of this node that was sent at `sent_at`. `is_first` if
    /// the node followed a relay before, or the call before failed.
    pub fn record_own_answer(&mut self, sent_at: Instant, is_first: bool, now: Instant) {
        let from = self.own_reads.filter(|_| !is_first).map_or(sent_at, |reads| reads.from);
        self.own_reads = Some(OwnReads { from, until: now });
    }

    /// Records a report; returns whether it is about an outage of the origin that was not known.
    pub fn record(&mut self, ended_at: Instant) -> bool {
        let known_until = self.last.map(|last| Deadline::after_ms(last, REPORT_TOLERANCE_MS));
        let is_known = known_until.is_some_and(|until| !until.has_passed(ended_at));
        if is_known || self.own_reads.is_some_and(|reads| reads.contains(ended_at)) {
            return false;
        }
        self.last = Some(ended_at);
        true
    }
}
