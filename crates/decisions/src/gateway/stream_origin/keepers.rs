//! Which nodes keep the record of a stream besides the one that has begun it.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{NodeId, RequestId};

/// Returns the first nodes, at most `count`, in an order that differs for each stream and is the same on all
/// nodes.
pub fn keepers(id: &RequestId, nodes: &[NodeId], count: usize) -> Vec<NodeId> {
    let rank = |node: &NodeId| {
        let mut hasher = DefaultHasher::new();
        (node.as_str(), id.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    let mut ranked: Vec<(Reverse<u64>, &NodeId)> =
        nodes.iter().map(|node| (Reverse(rank(node)), node)).collect();
    ranked.sort();
    ranked.into_iter().take(count).map(|(_, node)| node.clone()).collect()
}
