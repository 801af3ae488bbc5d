//! Determines the outcome of a write whose answer may be lost.
//!
//! An idempotent transaction creates a record under its own id on the condition that the record is
//! absent, so it takes effect at most once however often it is sent. Each state is a type whose
//! methods consume it, so a write cannot follow an unanswered one without a read in between.

use rand::Rng;
use yuccapass_types::{Deadline, Instant};

use crate::platform_budget::Backoff;

/// First bound of the delay before a retry.
const BACKOFF_BASE_MS: u64 = 50;

/// Maximum bound of the delay before a retry.
const BACKOFF_LIMIT_MS: u64 = 2_000;

/// Result of one attempt to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The platform confirmed the write.
    Committed,
    /// The platform refused the write because a condition did not hold.
    Conflict,
    /// The write did not reach the platform or was refused before it was executed.
    NotDone,
    /// The write was sent, and no answer was received.
    Unknown,
}

/// Result of reading the transaction's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBackResult {
    /// The record exists, so the write took effect.
    Found,
    /// The record does not exist; a delayed write may still arrive.
    Absent,
    /// No answer was received.
    Failed,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It took effect once.
    Committed,
    /// A condition did not hold, and it never took effect.
    Conflict,
    /// The deadline passed, and it never took effect.
    NotDone,
    /// It may have taken effect or may still do so.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleStep {
    /// Wait until the instant, then send the write.
    Write(Instant, Writing),
    /// Wait until the instant, then read the record.
    ReadBack(Instant, ReadingBack),
    /// The outcome of the transaction is determined.
    Done(Settled),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Progress {
    deadline: Deadline,
    backoff: Backoff,
    // Whether the result of any write was `WriteResult::Unknown`.
    had_unknown: bool,
}

impl Progress {
    /// Returns when to try again, or `None` if that would not be before the deadline.
    fn retry_at(&mut self, now: Instant, random: &mut dyn Rng) -> Option<Instant> {
        let at = Deadline::after_ms(now, self.backoff.next_delay_ms(random)).instant();
        (!self.deadline.has_passed(at)).then_some(at)
    }
}

/// The state in which the write is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Writing(Progress);

/// The state in which the record is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadingBack {
    progress: Progress,
    // Whether the result of the last write was `WriteResult::Conflict`.
    had_conflict: bool,
}

impl Writing {
    /// Starts a transaction that is not retried beyond `deadline`.
    pub fn new(deadline: Deadline) -> Self {
        let backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_LIMIT_MS);
        Self(Progress { deadline, backoff, had_unknown: false })
    }

    /// Records the result of the write.
    pub fn record_result(
        mut self,
        result: WriteResult,
        now: Instant,
        random: &mut dyn Rng,
    ) -> SettleStep {
        match result {
            WriteResult::Committed => SettleStep::Done(Settled::Committed),
            WriteResult::Conflict if !self.0.had_unknown => SettleStep::Done(Settled::Conflict),
            // The conflict may be with the record of an earlier attempt of the same transaction.
            WriteResult::Conflict => {
                SettleStep::ReadBack(now, ReadingBack { progress: self.0, had_conflict: true })
            }
            WriteResult::Unknown => {
                self.0.had_unknown = true;
                SettleStep::ReadBack(now, ReadingBack { progress: self.0, had_conflict: false })
            }
            WriteResult::NotDone => match self.0.retry_at(now, random) {
                Some(at) => SettleStep::Write(at, self),
                None if self.0.had_unknown => SettleStep::Done(Settled::Unknown),
                None => SettleStep::Done(Settled::NotDone),
            },
        }
    }
}

impl ReadingBack {
    /// Records the result of the read.
    pub fn record_result(
        mut self,
        result: ReadBackResult,
        now: Instant,
        random: &mut dyn Rng,
    ) -> SettleStep {
        match result {
            ReadBackResult::Found => SettleStep::Done(Settled::Committed),
            // A write that is still in transit may yet find its conditions met, so the absence of
            // the record does not determine the outcome.
            ReadBackResult::Absent if self.had_conflict => SettleStep::Done(Settled::Unknown),
            ReadBackResult::Absent => match self.progress.retry_at(now, random) {
                Some(at) => SettleStep::Write(at, Writing(self.progress)),
                None => SettleStep::Done(Settled::Unknown),
            },
            ReadBackResult::Failed => match self.progress.retry_at(now, random) {
                Some(at) => SettleStep::ReadBack(at, self),
                None => SettleStep::Done(Settled::Unknown),
            },
        }
    }
}
