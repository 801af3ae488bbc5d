//! Rollouts: bring the replicas of a model to a target state, a few at a time.
//!
//! A driver holds a lease and writes its progress to the platform before it acts on it. Its orders
//! carry a fencing number and time out before the lease can have expired. If a driver dies at any
//! step, another one continues from the written progress.
//!
//! * [`Target`] and [`Plan`]: the target state and the limits of a rollout.
//! * [`Progress`]: the state that is written to the platform.
//! * [`Driver`]: the state machine, which takes reports and results and returns [`Action`]s.
//! * [`desired_rollout`]: the rollout that the configuration requires.
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
