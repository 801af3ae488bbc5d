//! What drivers and request placement know about a replica.

use yuccapass_types::{AdapterId, Incarnation, Instant, WeightVersion};

use super::plan::Role;
use super::progress::Step;

/// The readiness that a replica reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica is starting and can take only little load.
    Cold,
    /// The replica can take full load.
    Warm,
    /// The replica takes no new requests.
    Leaving,
}

/// A load report of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaReport {
    /// The incarnation of the engine process.
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

/// Returns the weight version with which a replica takes new requests, or `None` if it takes none.
///
/// `step` is the replica's step in a rollout, if there is one. A cold replica is eligible here; its
/// permits limit how many requests it gets.
pub fn eligible_version(report: &ReplicaReport, step: Option<Step>) -> Option<&WeightVersion> {
    let is_open = match step {
        None | Some(Step::Pending | Step::Done) => true,
        Some(Step::Draining | Step::Swapping | Step::Returning | Step::Failed) => false,
    };
    (is_open && report.state != ReplicaState::Leaving).then_some(&report.version)
}
