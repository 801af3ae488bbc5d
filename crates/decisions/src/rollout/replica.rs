//! What a driver and a router know of a replica.

use yuccapass_types::{AdapterId, Incarnation, Instant, WeightVersion};

use super::plan::Role;
use super::progress::Step;

/// What a replica says of its readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Starting: bears only a little load.
    Cold,
    /// Bears full load.
    Warm,
    /// Takes no new work.
    Leaving,
}

/// A load report of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaReport {
    /// The engine process.
    pub incarnation: Incarnation,
    /// Its readiness.
    pub state: ReplicaState,
    /// The weight version for new requests.
    pub version: WeightVersion,
    /// The loaded adapters.
    pub adapters: Vec<AdapterId>,
    /// Its role.
    pub role: Role,
    /// Requests that run or wait.
    pub unfinished_requests: u32,
    /// When the replica was in this state: when the report was read, less its age.
    pub reported_at: Instant,
}

/// Returns the weight version whose new requests a replica takes, or `None` if it takes none.
///
/// `step` is where a rollout stands with the replica, if there is a rollout. A cold replica is
/// eligible here; how much it gets is decided by its permits.
pub fn eligible_version(report: &ReplicaReport, step: Option<Step>) -> Option<&WeightVersion> {
    let is_open = match step {
        None | Some(Step::Pending | Step::Done) => true,
        Some(Step::Draining | Step::Swapping | Step::Returning | Step::Failed) => false,
    };
    (is_open && report.state != ReplicaState::Leaving).then_some(&report.version)
}
