//! This node's share of the retries that all nodes may make together.

use std::collections::VecDeque;

use yuccapass_types::{Deadline, Instant};

/// Share of the limit that nodes use, so that they stay within it together even if they disagree
/// about their number.
const USABLE_FRACTION: f64 = 0.8;

/// The limit on the retries of all nodes together: in each window, a service gets at most `ratio`
/// retries per request plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to those by `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// The retries that this node may make to one service.
#[derive(Debug, Clone)]
pub struct RetryShare {
    limits: RetryLimits,
    requests: VecDeque<Deadline>,
    retries: VecDeque<Deadline>,
}

impl RetryShare {
    /// Creates the share of a node that has not sent anything.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        drop_expired(&mut self.requests, now);
        self.requests.push_back(Deadline::after_ms(now, self.limits.window_ms));
    }

    /// Takes a retry; returns `false` if none is left. `nodes` is the number of nodes that share
    /// the limit.
    pub fn try_take(&mut self, nodes: u32, now: Instant) -> bool {
        drop_expired(&mut self.requests, now);
        drop_expired(&mut self.retries, now);
        let slack = self.limits.slack / f64::from(nodes.max(1));
        let bound = USABLE_FRACTION * (self.limits.ratio * self.requests.len() as f64 + slack);
        let is_allowed = ((self.retries.len() + 1) as f64) <= bound;
        if is_allowed {
            self.retries.push_back(Deadline::after_ms(now, self.limits.window_ms));
        }
        is_allowed
    }
}

/// Drops events that have left the window.
fn drop_expired(events: &mut VecDeque<Deadline>, now: Instant) {
    while events.front().is_some_and(|deadline| deadline.has_passed(now)) {
        events.pop_front();
    }
}
