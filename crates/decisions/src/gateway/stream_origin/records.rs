//! The origins of streams that have begun.

use yuccapass_types::{Deadline, Instant, RequestId, SortedMap};

use super::{REMEMBER_MS, StreamOrigin, StreamRecord};

/// Maximum number of records. What is not recorded is unknown, which is safe.
const MAX_RECORDS: usize = 1_024;

/// Period of forgetting old records.
const FORGET_PERIOD_MS: u64 = 5_000;

/// The origins of streams that callers may take up.
#[derive(Debug, Clone, Default)]
pub struct StreamRecords {
    records: SortedMap<RequestId, (StreamOrigin, Deadline)>,
    forget_at: Option<Deadline>,
}

impl StreamRecords {
    /// Records a stream. If there is no room, it stays unknown.
    pub fn record(&mut self, record: StreamRecord, now: Instant) {
        if self.forget_at.is_none_or(|at| at.has_passed(now)) {
            self.records.retain(|_, (_, until)| !until.has_passed(now));
            self.forget_at = Some(Deadline::after_ms(now, FORGET_PERIOD_MS));
        }
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&record.id) {
            let until = Deadline::after_ms(now, REMEMBER_MS);
            self.records.insert(record.id, (record.origin, until));
        }
    }

    /// Returns where a stream has begun.
    pub fn origin(&self, id: &RequestId, now: Instant) -> Option<&StreamOrigin> {
        let (origin, until) = self.records.get(id)?;
        (!until.has_passed(now)).then_some(origin)
    }

    /// Returns all records.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = StreamRecord> {
        let known = self.records.iter().filter(move |(_, (_, until))| !until.has_passed(now));
        known.map(|(id, (origin, _))| StreamRecord { id: id.clone(), origin: origin.clone() })
    }
}
