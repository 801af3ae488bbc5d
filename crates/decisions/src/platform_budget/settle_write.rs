//! Settles a write whose answer was lost.
//!
//! The transaction of a command creates a record under the command's id and demands that the
//! record is absent, so it takes effect at most once however often it is sent. Each state is a type
//! of its own whose methods consume it, so a write cannot follow an unanswered one without a read
//! between them.

use rand::Rng;
use yuccapass_types::{Deadline, Instant};

use crate::platform_budget::Backoff;

/// First bound of the delay before a repetition.
const BASE_MS: u64 = 50;

/// Limit of the delay before a repetition.
const LIMIT_MS: u64 = 2_000;

/// What is known after a write was tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The service confirmed it.
    Committed,
    /// The service refused it because a condition did not hold.
    Conflict,
    /// It did not reach the service or was refused before it was carried out.
    NotDone,
    /// It was sent, and no answer came.
    Unknown,
}

/// What is known after reading the command's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBackResult {
    /// The record exists, so the write took effect.
    Found,
    /// The record does not exist; a delayed write may still arrive.
    Absent,
    /// No answer came.
    Failed,
}

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It took effect once.
    Committed,
    /// A condition did not hold, and it never took effect.
    Conflict,
    /// The deadline passed, and it never took effect.
    NotDone,
    /// The deadline passed, and it may have taken effect or may still do so.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleStep {
    /// Wait until the instant, then send the write.
    Write(Instant, Writing),
    /// Wait until the instant, then read the record.
    ReadBack(Instant, ReadingBack),
    /// The command is settled.
    Done(Settled),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Progress {
    deadline: Deadline,
    backoff: Backoff,
    // Whether any attempt was sent without an answer.
    had_unknown: bool,
}

impl Progress {
    /// Returns when to go on, or `None` if that is not before the deadline.
    fn resume_at(&mut self, now: Instant, random: &mut dyn Rng) -> Option<Instant> {
        let at = Deadline::after_ms(now, self.backoff.next_delay_ms(random)).instant();
        (!self.deadline.has_passed(at)).then_some(at)
    }
}

/// The write is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Writing(Progress);

/// The record is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadingBack {
    progress: Progress,
    // Whether the service refused the last write.
    had_conflict: bool,
}

impl Writing {
    /// Starts a command that is to be settled by `deadline`.
    pub fn new(deadline: Deadline) -> Self {
        let backoff = Backoff::new(BASE_MS, LIMIT_MS);
        Self(Progress { deadline, backoff, had_unknown: false })
    }

    /// Takes the result of the write.
    pub fn record_result(
        mut self,
        result: WriteResult,
        now: Instant,
        random: &mut dyn Rng,
    ) -> SettleStep {
        match result {
            WriteResult::Committed => SettleStep::Done(Settled::Committed),
            WriteResult::Conflict if !self.0.had_unknown => SettleStep::Done(Settled::Conflict),
            // The conflict may be with an earlier attempt's own record.
            WriteResult::Conflict => {
                SettleStep::ReadBack(now, ReadingBack { progress: self.0, had_conflict: true })
            }
            WriteResult::Unknown => {
                self.0.had_unknown = true;
                SettleStep::ReadBack(now, ReadingBack { progress: self.0, had_conflict: false })
            }
            WriteResult::NotDone => match self.0.resume_at(now, random) {
                Some(at) => SettleStep::Write(at, self),
                None if self.0.had_unknown => SettleStep::Done(Settled::Unknown),
                None => SettleStep::Done(Settled::NotDone),
            },
        }
    }
}

impl ReadingBack {
    /// Takes the result of the read.
    pub fn record_result(
        mut self,
        result: ReadBackResult,
        now: Instant,
        random: &mut dyn Rng,
    ) -> SettleStep {
        match result {
            ReadBackResult::Found => SettleStep::Done(Settled::Committed),
            // A write that is still on its way meets the same failing conditions only as long as
            // they keep failing, so without the record the outcome stays open.
            ReadBackResult::Absent if self.had_conflict => SettleStep::Done(Settled::Unknown),
            ReadBackResult::Absent => match self.progress.resume_at(now, random) {
                Some(at) => SettleStep::Write(at, Writing(self.progress)),
                None => SettleStep::Done(Settled::Unknown),
            },
            ReadBackResult::Failed => match self.progress.resume_at(now, random) {
                Some(at) => SettleStep::ReadBack(at, self),
                None => SettleStep::Done(Settled::Unknown),
            },
        }
    }
}
