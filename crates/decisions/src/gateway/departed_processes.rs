//! Remembers the last registrations of endpoint processes that have left.
//!
//! The key-value service may come back from an older copy, which still has registrations of processes that
//! have left since. Such a registration must not bring an endpoint back.

use std::net::SocketAddr;

use yuccapass_types::{Deadline, EndpointId, Instant, SortedMap};

use super::directory::EndpointRecord;

/// Number of registrations after which those before them are forgotten. A copy is some seconds old, and
/// within that time a zone may leave with all its endpoints.
const MAX_RECENT: usize = 1_024;

/// Time after which registrations may be forgotten: copies are some seconds old. A process that lives may write
/// the same registration again later.
const PERIOD_MS: u64 = 30_000;

/// How a registration disappeared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Departure {
    /// It was removed, or another process has taken its place. The same registration is an old one.
    Certain,
    /// It is missing from a list, or did not return in time after an outage. The process may write the same
    /// registration again.
    Uncertain,
}

#[derive(Debug, Clone, Copy)]
struct Departed {
    address: SocketAddr,
    sequence: u64,
    departure: Departure,
}

impl Departed {
    fn supersedes(&self, record: &EndpointRecord) -> bool {
        let Some(sequence) = record.sequence.filter(|_| record.address == self.address) else {
            return false;
        };
        match self.departure {
            Departure::Certain => sequence <= self.sequence,
            Departure::Uncertain => sequence < self.sequence,
        }
    }
}

/// Identifies a process by its endpoint and the time at which it started.
type ProcessKey = (EndpointId, u64);

/// The last registrations of processes that have left.
#[derive(Debug, Clone, Default)]
pub(super) struct DepartedProcesses {
    recent: SortedMap<ProcessKey, Departed>,
    // Those that were recent before.
    earlier: SortedMap<ProcessKey, Departed>,
    // When the recent ones become the earlier ones.
    period_end: Option<Deadline>,
}

impl DepartedProcesses {
    /// Forgets the registrations of ended periods, which may end late: each is remembered for one period
    /// at least, and for two if this is called often.
    pub(super) fn forget_ended(&mut self, now: Instant) {
        let Some(period_end) = self.period_end.filter(|end| end.has_passed(now)) else {
            self.period_end.get_or_insert(Deadline::after_ms(now, PERIOD_MS));
            return;
        };
        self.earlier = std::mem::replace(&mut self.recent, SortedMap::new());
        if Deadline::after_ms(period_end.instant(), PERIOD_MS).has_passed(now) {
            self.earlier = SortedMap::new();
        }
        self.period_end = Some(Deadline::after_ms(now, PERIOD_MS));
    }

    /// Remembers a registration that has disappeared. One without a start time or a sequence cannot be told
    /// from that of a later process.
    pub(super) fn add(&mut self, id: &EndpointId, record: &EndpointRecord, departure: Departure) {
        let (Some(started_unix_ms), Some(sequence)) = (record.started_unix_ms, record.sequence)
        else {
            return;
        };
        if self.recent.len() >= MAX_RECENT {
            self.earlier = std::mem::replace(&mut self.recent, SortedMap::new());
        }
        let departed = Departed { address: record.address, sequence, departure };
        self.recent.insert((id.clone(), started_unix_ms), departed);
    }

    /// Returns whether a registration was written before its process left.
    pub(super) fn supersedes(&self, id: &EndpointId, record: &EndpointRecord) -> bool {
        let Some(started_unix_ms) = record.started_unix_ms else { return false };
        let key = (id.clone(), started_unix_ms);
        let known = self.recent.get(&key).or_else(|| self.earlier.get(&key));
        known.is_some_and(|known| known.supersedes(record))
    }
}
