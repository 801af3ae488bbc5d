//! When a node publishes its evidence.

use rand::{Rng, RngExt};
use yuccapass_types::{Deadline, Instant};

/// Time for each node of the fleet over which the first reports after a quiet time are spread. When
/// engines full of streams crash, almost all nodes have news at the same moment.
const SPREAD_PER_NODE_MS: u64 = 8;

/// Upper limit of that spread: a crash counts after 1.5 s, and its evidence should be known soon after.
const MAX_SPREAD_MS: u64 = 1_000;

/// Minimum pause between two reports; in a large fleet it is as long as the spread.
const MIN_PAUSE_MS: u64 = 250;

/// Pause for each node of the fleet up to which the pause grows while news continue, so that all nodes
/// together write about 30 reports a second. Each report goes to every node of the fleet.
const PAUSE_PER_NODE_MS: u64 = 32;

/// Upper limit of the pause.
const MAX_PAUSE_MS: u64 = 4_000;

/// Time without a report after which the pause is the minimum again.
const QUIET_MS: u64 = 5_000;

/// Decides when a node publishes news about crashes.
///
/// The first report after a quiet time is published after a random part of a short time, further ones
/// after pauses that double while the news continue. Both times grow with the fleet, and in a small one
/// hardly delay a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportPacing {
    fleet_nodes: u32,
    // The last pause; 0 after a quiet time.
    pause_ms: u64,
    // When the next report may be published; `None` until there are news.
    next: Option<Deadline>,
    reported_at: Option<Instant>,
}

impl Default for ReportPacing {
    fn default() -> Self {
        Self { fleet_nodes: 1, pause_ms: 0, next: None, reported_at: None }
    }
}

impl ReportPacing {
    /// Sets the number of nodes that publish evidence.
    pub fn set_fleet_nodes(&mut self, fleet_nodes: u32) {
        self.fleet_nodes = fleet_nodes;
    }

    /// Returns when news that exist at `now` may be published.
    pub fn due(&mut self, now: Instant, random: &mut dyn Rng) -> Deadline {
        if let Some(next) = self.next {
            return next;
        }
        let spread_ms = spread_ms(self.fleet_nodes);
        let due = Deadline::after_ms(now, random.random_range(0..=spread_ms));
        self.next = Some(due);
        due
    }

    /// Records that a report was published, or that publishing it has failed.
    pub fn record_report(&mut self, now: Instant, random: &mut dyn Rng) {
        let min_ms = spread_ms(self.fleet_nodes).max(MIN_PAUSE_MS);
        let max_ms = PAUSE_PER_NODE_MS * u64::from(self.fleet_nodes);
        let max_ms = max_ms.clamp(min_ms, MAX_PAUSE_MS);
        self.pause_ms = (self.pause_ms * 2).clamp(min_ms, max_ms);
        // Nodes whose pauses are equally long keep apart.
        let random_ms = random.random_range(0..=self.pause_ms / 2);
        self.next = Some(Deadline::after_ms(now, self.pause_ms * 3 / 4 + random_ms));
        self.reported_at = Some(now);
    }

    /// Records that there are no news. The next ones are spread again once the pause is over, and the
    /// pause is the minimum again some time later.
    pub fn rest(&mut self, now: Instant) {
        if self.next.is_some_and(|next| next.has_passed(now)) {
            self.next = None;
        }
        if self.reported_at.is_some_and(|at| now.ms_since(at) >= QUIET_MS) {
            *self = Self { fleet_nodes: self.fleet_nodes, ..Self::default() };
        }
    }
}

/// Returns the time over which the first reports of a fleet about a crash are spread.
pub(super) fn spread_ms(fleet_nodes: u32) -> u64 {
    (SPREAD_PER_NODE_MS * u64::from(fleet_nodes)).min(MAX_SPREAD_MS)
}
