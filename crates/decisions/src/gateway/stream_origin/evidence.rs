//! Whether a node may go on with a stream that nobody knows, by the versions that it knows.

use yuccapass_types::Instant;

/// What shows that a node is not out of step when a caller takes a stream up.
#[derive(Debug, Clone, Copy)]
pub struct TakeUpEvidence {
    arrived_at: Instant,
    is_confirmed: bool,
    agreeing: u32,
    differing: u32,
}

impl TakeUpEvidence {
    /// Creates the evidence for a request that arrived at this instant.
    pub fn new(arrived_at: Instant) -> Self {
        Self { arrived_at, is_confirmed: false, agreeing: 0, differing: 0 }
    }

    /// Records that all endpoints were known at an instant. The stream has begun before the request arrived, so a
    /// later confirmation covers the version that began it.
    pub fn record_confirmation(&mut self, at: Instant) {
        self.is_confirmed |= at >= self.arrived_at;
    }

    /// Records whether another node knows the same version, and no other.
    pub fn record_node(&mut self, agrees: bool) {
        match agrees {
            true => self.agreeing += 1,
            false => self.differing += 1,
        }
    }

    /// Returns whether the node may go on with the stream.
    pub fn is_sufficient(&self) -> bool {
        self.is_confirmed || (self.agreeing > 0 && self.differing == 0)
    }
}
