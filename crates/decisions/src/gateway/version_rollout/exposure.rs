//! How many requests a node may send to a version that is not yet judged.

use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{NodeId, RolloutOrderId};

use super::limits::RolloutLimits;

/// The part of the share that nodes use. The rest is for requests that were under way when they were
/// counted.
const USABLE_SHARE: f64 = 0.9;

/// The part of the slack that nodes use. The rest is for nodes that count only two thirds of the others,
/// and for the random fractions of the parts.
const USABLE_SLACK: f64 = 0.5;

/// Maximum of the requests that are still to come, as a multiple of those that were sent.
const MAX_PROJECTION: f64 = 2.0;

/// Returns the fraction of the nodes that may use some of the slack.
pub(super) fn slack_holders(limits: &RolloutLimits, nodes: u32) -> f64 {
    let part = limits.expose_slack * USABLE_SLACK / f64::from(nodes.max(1));
    part.clamp(f64::EPSILON, 1.0)
}

/// The cap of one node on its requests to the target of an order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureCap {
    limits: RolloutLimits,
    // Position of this node among random numbers from 0 to 1, for the fraction of the slack.
    draw: f64,
}

impl ExposureCap {
    /// Creates the cap of a node for an order.
    pub fn new(limits: RolloutLimits, node: &NodeId, order: RolloutOrderId) -> Self {
        let mut hasher = DefaultHasher::new();
        (node.as_str(), order.get()).hash(&mut hasher);
        // The upper 53 bits fit into the mantissa.
        let draw = (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64;
        Self { limits, draw }
    }

    /// Returns whether the node may send one more request to the target, after `exposed` of the `sent`
    /// requests that it has sent to the service. `nodes` is the number of nodes, and `projection` the
    /// number of requests of the whole order for each one so far.
    pub fn allows(&self, sent: u64, exposed: u64, nodes: u32, projection: f64) -> bool {
        let share = self.limits.expose_share.fraction() * USABLE_SHARE;
        let expected = sent as f64 * projection.clamp(1.0, MAX_PROJECTION);
        ((exposed + 1) as f64) <= share * expected + self.slack(nodes)
    }

    /// Returns this node's part of the slack. It is a whole number, which is larger by one at as many
    /// nodes as the fraction says: most nodes of a large deployment have a part below one request.
    fn slack(&self, nodes: u32) -> f64 {
        let part = self.limits.expose_slack * USABLE_SLACK / f64::from(nodes.max(1));
        let is_rounded_up = self.draw < part.fract();
        part.floor() + f64::from(u8::from(is_rounded_up))
    }
}
