//! When the bound of target weights ends that a node may have read late.

use yuccapass_types::{Deadline, Instant};

/// Bound of the targets that a node reads when it starts. They may have been named long ago, so
/// nearly nothing may be left of their bound. With no time at all, a fleet that starts during a
/// rollout could not serve anything until the first endpoints have swapped.
const FIRST_READ_BOUND_MS: u64 = 3_000;

/// Until when weights that are older than a target are used and replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetDeadlines {
    /// From then on, no request may begin on older weights.
    pub bound_end: Deadline,
    /// When all endpoints should have swapped. It sets the pace of the swaps, and may be later than the
    /// end of the bound: faster swaps than needed take endpoints away from callers.
    pub swap_by: Deadline,
}

/// Computes the deadlines of target weights for a node that reads them.
#[derive(Debug, Clone, Copy)]
pub struct TargetBounds {
    bound_ms: u64,
    // All targets that were named before this instant are known to this node; `None` until it has
    // read them once.
    known_until: Option<Instant>,
}

impl TargetBounds {
    /// Creates the bounds of a node that has read no targets. From `bound_ms` after a target was
    /// named, no request may begin on older weights.
    pub fn new(bound_ms: u64) -> Self {
        Self { bound_ms, known_until: None }
    }

    /// Records that this node knows all targets that were named before `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.known_until = self.known_until.max(Some(at));
    }

    /// Returns the deadlines of a target that this node reads at `now` for the first time.
    pub fn deadlines(&self, now: Instant) -> TargetDeadlines {
        match self.known_until {
            // It was named after that instant, and mostly just now.
            Some(known_until) => TargetDeadlines {
                bound_end: Deadline::after_ms(known_until.min(now), self.bound_ms),
                swap_by: Deadline::after_ms(now, self.bound_ms),
            },
            None => TargetDeadlines {
                bound_end: Deadline::after_ms(now, self.bound_ms.min(FIRST_READ_BOUND_MS)),
                swap_by: Deadline::after_ms(now, self.bound_ms / 2),
            },
        }
    }
}
