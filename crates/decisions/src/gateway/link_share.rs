//! This node's share of a store's link.
//!
//! A store sends one prompt part after the other. If fetches are requested faster than its link can
//! carry them, all of them end too late, and the prompts are prefilled after the wait. So each node
//! limits its fetches to its share of the link, and lets other prompts be prefilled at once.

use yuccapass_types::Instant;

/// Share of the link that all nodes together may use. It is above 1, because callers are spread
/// unevenly over the nodes and not every node uses its share.
const OVERCOMMIT: f64 = 1.5;

/// Maximum link time that a node accumulates: enough for a few large parts.
const MAX_BURST_US: f64 = 200_000.0;

/// A token bucket of link time for this node.
#[derive(Debug, Clone, Default)]
pub struct LinkShare {
    // The link time in microseconds that was available at an instant.
    available: Option<(f64, Instant)>,
}

impl LinkShare {
    /// Takes `time_us` of link time; returns `false` if too little is available. `nodes` is the
    /// number of nodes that share the link.
    pub fn try_take(&mut self, time_us: u64, nodes: u32, now: Instant) -> bool {
        let part = OVERCOMMIT / f64::from(nodes.max(1));
        let available_us = self.available.map_or(MAX_BURST_US, |(available_us, at)| {
            (available_us + now.ms_since(at) as f64 * 1_000.0 * part).min(MAX_BURST_US)
        });
        // A part that takes longer than the maximum is allowed when the bucket is full.
        let is_allowed = available_us >= (time_us as f64).min(MAX_BURST_US);
        let taken_us = if is_allowed { time_us as f64 } else { 0.0 };
        self.available = Some((available_us - taken_us, now));
        is_allowed
    }
}
