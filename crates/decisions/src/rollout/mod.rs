//! Rollouts: orders to the replicas of a model, a few at a time, by a driver that can be replaced.
//!
//! A driver holds a lease, writes its progress to the platform before it acts on it, and gives
//! orders that carry the fencing number and end before the lease can have expired. Another driver
//! continues from the written progress after a death at any step.
//!
//! * [`Target`] and [`Plan`]: what is to be rolled out, and within which limits.
//! * [`Progress`]: what is written to the platform.
//! * [`Driver`]: the state machine; takes reports and results and returns [`Action`]s.
//! * [`desired_rollout`]: which rollout the configuration asks for.
//! * [`eligible_version`]: whether a replica takes new requests, and of which version.

mod action;
mod desired;
mod driver;
mod orders;
mod plan;
mod progress;
mod replica;

pub use action::{Action, DriverOutcome, OrderId, OrderResult, ReplicaOrder, WriteOutcome};
pub use desired::{DesiredRollout, desired_rollout, unexpected_version};
pub use driver::{Driver, ReplicaReports};
pub use plan::{Plan, Role, Target};
pub use progress::{
    MAX_PROGRESS_BYTES, Progress, ProgressError, ReplicaProgress, RolloutState, Step, StopReason,
};
pub use replica::{ReplicaReport, ReplicaState, eligible_version};
