//! Tracks the newest process of each node, so that frames of older ones can be dropped.

use yuccapass_types::{Incarnation, NodeId, Sharded, SortedMap};

/// Maximum number of nodes in each of the 64 shards; the target is 340 nodes in all.
const MAX_NODES_PER_SHARD: usize = 128;

/// The newest incarnation that was seen of each node.
#[derive(Debug, Default)]
pub(crate) struct Incarnations {
    newest: Sharded<SortedMap<NodeId, Incarnation>>,
}

impl Incarnations {
    /// Records the sender of a frame; returns false if it is an older process, whose frame is to be
    /// dropped.
    pub(crate) fn accept(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.newest.with(node, |shard| match shard.get_mut(node) {
            Some(newest) if incarnation < *newest => false,
            Some(newest) => {
                *newest = incarnation;
                true
            }
            None => {
                if shard.len() < MAX_NODES_PER_SHARD {
                    shard.insert(node.clone(), incarnation);
                }
                true
            }
        })
    }
}
