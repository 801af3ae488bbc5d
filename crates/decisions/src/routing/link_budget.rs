//! This node's share of the bandwidth between regions.

use yuccapass_types::{Bytes, BytesPerSecond, Deadline, Instant};

/// Delay before the share of a node that left the membership view goes to the other nodes. A lost
/// node may still send for the 6 s until it counts as dead, and the view may be wrong for some
/// seconds more.
const SHRINK_DELAY_MS: u64 = 10_000;

/// Largest burst, in milliseconds at this node's rate.
const BURST_MS: u64 = 1_000;

/// A byte budget for one direction of the link between regions.
///
/// A token bucket with the zone's rate divided evenly between the nodes of the zone. A larger
/// number of nodes applies at once, a smaller one only after 10 s, so that the nodes together stay
/// within the zone's rate while their views differ about a lost node.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    zone_rate: BytesPerSecond,
    nodes: u32,
    fewer_nodes: Option<(u32, Deadline)>,
    level_bytes: u64,
    // Earned millibytes that do not add up to a byte yet.
    remainder: u64,
    updated: Instant,
}

impl LinkBudget {
    /// Creates an empty budget, so that a restarted node does not send a second burst.
    pub fn new(zone_rate: BytesPerSecond, nodes: u32, now: Instant) -> Self {
        let nodes = nodes.max(1);
        Self { zone_rate, nodes, fewer_nodes: None, level_bytes: 0, remainder: 0, updated: now }
    }

    /// Sets the number of nodes in the zone, from the membership view.
    pub fn set_nodes(&mut self, nodes: u32, now: Instant) {
        self.refill(now);
        let nodes = nodes.max(1);
        if nodes >= self.nodes {
            self.nodes = nodes;
            self.fewer_nodes = None;
            return;
        }
        let deadline = self.fewer_nodes.map(|(_, deadline)| deadline);
        let deadline = deadline.unwrap_or(Deadline::after_ms(now, SHRINK_DELAY_MS));
        let largest = self.fewer_nodes.map_or(nodes, |(earlier, _)| earlier.max(nodes));
        self.fewer_nodes = Some((largest, deadline));
    }

    /// Takes bytes from the budget; returns false and takes nothing if it does not have as many.
    pub fn try_take(&mut self, bytes: Bytes, now: Instant) -> bool {
        self.refill(now);
        let is_enough = self.level_bytes >= bytes.get();
        if is_enough {
            self.level_bytes -= bytes.get();
        }
        is_enough
    }

    /// Returns the bytes that can be taken now.
    pub fn available(&mut self, now: Instant) -> Bytes {
        self.refill(now);
        Bytes::new(self.level_bytes)
    }

    /// Returns this node's rate.
    pub fn node_rate(&self) -> BytesPerSecond {
        BytesPerSecond::new(self.zone_rate.get() / u64::from(self.nodes))
    }

    fn refill(&mut self, now: Instant) {
        let rate = self.node_rate().get();
        let earned = rate.saturating_mul(now.ms_since(self.updated)).saturating_add(self.remainder);
        let burst_bytes = rate.saturating_mul(BURST_MS) / 1000;
        self.level_bytes = self.level_bytes.saturating_add(earned / 1000).min(burst_bytes);
        self.remainder = earned % 1000;
        self.updated = self.updated.max(now);
        if let Some((nodes, _)) = self.fewer_nodes.filter(|(_, end)| end.has_passed(now)) {
            self.nodes = nodes;
            self.fewer_nodes = None;
        }
    }
}
