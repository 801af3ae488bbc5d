//! This node's part of the retries that all nodes may make together.

use std::collections::VecDeque;

use yuccapass_types::{Deadline, Instant};

/// Part of the bound that is given out, so that nodes which disagree about their number stay
/// inside it together.
const USABLE_FRACTION: f64 = 0.8;

/// The bound for all nodes together: in each window a service gets no more retries than a part of
/// its requests and a fixed number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window without any request.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// The retries to one service that this node may make.
#[derive(Debug, Clone)]
pub struct RetryShare {
    limits: RetryLimits,
    requests: VecDeque<Deadline>,
    retries: VecDeque<Deadline>,
}

impl RetryShare {
    /// Makes the share of a node that has sent nothing.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        drop_expired(&mut self.requests, now);
        self.requests.push_back(Deadline::after_ms(now, self.limits.window_ms));
    }

    /// Takes a retry if one is left; `nodes` is the number of nodes that share the bound.
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

/// Drops what has left the window.
fn drop_expired(events: &mut VecDeque<Deadline>, now: Instant) {
    while events.front().is_some_and(|deadline| deadline.has_passed(now)) {
        events.pop_front();
    }
}
