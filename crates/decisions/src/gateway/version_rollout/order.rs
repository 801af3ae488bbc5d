//! The operators' order.

use yuccapass_types::{RolloutOrderId, SoftwareVersion};

/// An order to move the requests of a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The order; a later one of the service is larger.
    pub id: RolloutOrderId,
    /// The version to move to.
    pub target: SoftwareVersion,
    /// The time within which the order is to be completed.
    pub duration_ms: u64,
}
