//! Continuous batching of runs, with priorities.

use std::cmp::Reverse;
use std::fmt;
use std::str::FromStr;

use yuccapass_types::{Instant, SortedMap, Tokens, TokensPerSecond};

/// Units of prefill work per token. At a rate of r tokens per second, r units are done in each
/// millisecond, so integer arithmetic is exact.
const WORK_PER_TOKEN: u64 = 1_000;

/// Identifies a run within an engine process; later runs have larger ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(u64);

impl RunId {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RunId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The order in which runs are scheduled: by descending priority, then in order of arrival.
type ScheduleKey = (Reverse<i32>, RunId);

/// Decides which runs are in the batch and which of them is prefilled.
///
/// The engine prefills one run at a time, at its whole prefill rate. Decoding has a fixed rate per
/// run and is not scheduled here; a run keeps its slot in the batch until it is removed.
#[derive(Debug)]
pub struct Scheduler {
    max_running: usize,
    prefill_rate: TokensPerSecond,
    queue: SortedMap<ScheduleKey, ()>,
    running: SortedMap<RunId, i32>,
    /// Remaining prefill work of the runs in the batch.
    prefill_work: SortedMap<ScheduleKey, u64>,
    last_advance: Instant,
}

impl Scheduler {
    /// Creates an idle scheduler.
    pub fn new(max_running: usize, prefill_rate: TokensPerSecond, now: Instant) -> Self {
        Self {
            max_running,
            prefill_rate: TokensPerSecond::new(prefill_rate.get().max(1)),
            queue: SortedMap::new(),
            running: SortedMap::new(),
            prefill_work: SortedMap::new(),
            last_advance: now,
        }
    }

    /// Adds a run to the queue.
    pub fn enqueue(&mut self, run: RunId, priority: i32) {
        self.queue.insert((Reverse(priority), run), ());
    }

    /// Moves the next run from the queue to the batch if it has a free slot; the caller then calls
    /// [`Scheduler::start_prefill`].
    pub fn start_next(&mut self) -> Option<RunId> {
        if self.running.len() >= self.max_running {
            return None;
        }
        let key = *self.queue.keys().next()?;
        self.queue.remove(&key);
        let (Reverse(priority), run) = key;
        self.running.insert(run, priority);
        Some(run)
    }

    /// Sets the prefill work of a run in the batch: `slow_factor` times that of its tokens.
    pub fn start_prefill(&mut self, run: RunId, tokens: Tokens, slow_factor: u64) {
        let Some(&priority) = self.running.get(&run) else { return };
        let work = tokens.get().saturating_mul(WORK_PER_TOKEN).saturating_mul(slow_factor.max(1));
        self.prefill_work.insert((Reverse(priority), run), work);
    }

    /// Performs the prefill work up to `now` and returns the runs whose prefill completed.
    pub fn advance(&mut self, now: Instant) -> Vec<RunId> {
        let elapsed_ms = now.ms_since(self.last_advance);
        let mut budget = elapsed_ms.saturating_mul(self.prefill_rate.get());
        self.last_advance = self.last_advance.max(now);
        let mut complete = Vec::new();
        for ((_, run), work) in self.prefill_work.iter_mut() {
            let done = budget.min(*work);
            budget -= done;
            *work -= done;
            if *work > 0 {
                break;
            }
            complete.push(*run);
        }
        self.prefill_work.retain(|_, work| *work > 0);
        complete
    }

    /// Returns when the next prefill completes if no run is added or removed.
    pub fn next_completion(&self) -> Option<Instant> {
        let work = *self.prefill_work.values().next()?;
        let needed_ms = work.div_ceil(self.prefill_rate.get());
        Some(Instant::from_ms(self.last_advance.as_ms().saturating_add(needed_ms)))
    }

    /// Removes a run from the queue or the batch.
    pub fn remove(&mut self, run: RunId, priority: i32) {
        let key = (Reverse(priority), run);
        self.queue.remove(&key);
        self.running.remove(&run);
        self.prefill_work.remove(&key);
    }

    /// Returns the number of runs in the batch.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of runs in the queue.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the tokens of the runs in the batch that are still to be prefilled.
    pub fn remaining_prefill(&self) -> Tokens {
        Tokens::new(self.prefill_work.values().sum::<u64>().div_ceil(WORK_PER_TOKEN))
    }
}
