//! State of this process that its transport and its listener share.

use std::sync::Arc;

use yuccapass_types::Clock;

use crate::counters::PeerCounters;
use crate::incarnations::Incarnations;
use crate::message::Sender;

/// The identity of this process towards other nodes, with state that its transport and its listener
/// share.
pub struct LocalNode {
    pub(crate) sender: Sender,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) counters: PeerCounters,
    pub(crate) incarnations: Incarnations,
}

impl LocalNode {
    /// Creates the state of a process that sends messages as `sender`.
    pub fn new(sender: Sender, clock: Arc<dyn Clock>) -> Self {
        let (counters, incarnations) = (PeerCounters::default(), Incarnations::default());
        Self { sender, clock, counters, incarnations }
    }

    /// Returns the counts of messages and bytes in both directions.
    pub fn counters(&self) -> &PeerCounters {
        &self.counters
    }
}
