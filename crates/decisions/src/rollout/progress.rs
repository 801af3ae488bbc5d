//! The state of a rollout that a driver writes to the platform.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccapass_types::{EndpointId, FencingNumber};

use super::plan::{Plan, Target};

/// Maximum size of an encoded progress in bytes: the platform stores values of up to 1 MB.
pub const MAX_PROGRESS_BYTES: usize = 1_000_000;

/// The step of a rollout that a replica is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The rollout has not begun with the replica.
    Pending,
    /// The replica is ordered to take no new requests and finishes the running ones.
    Draining,
    /// The replica is ordered to load the target.
    Swapping,
    /// The replica is ordered to take new requests again.
    Returning,
    /// The replica serves with the target.
    Done,
    /// The replica failed to drain, load or come up; it counts as out of service.
    Failed,
}

impl Step {
    /// Returns whether the replica is, or may be, out of service because of the rollout.
    pub fn is_out_of_service(self) -> bool {
        !matches!(self, Self::Pending | Self::Done)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pending => "pending",
            Self::Draining => "draining",
            Self::Swapping => "swapping",
            Self::Returning => "returning",
            Self::Done => "done",
            Self::Failed => "failed",
        })
    }
}

/// The progress of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaProgress {
    /// The replica.
    pub endpoint: EndpointId,
    /// The step that it is in.
    pub step: Step,
    /// Whether an order to load may still be carried out, so that the replica counts against the
    /// limit of the weight store.
    pub may_be_loading: bool,
    /// How often it restarted and had to be drained again.
    pub restarts: u32,
}

/// Why a rollout stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Too many replicas failed to drain, load or come up.
    TooManyFailures,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooManyFailures => f.write_str("replicas failed to drain, load or come up"),
        }
    }
}

/// Whether a rollout goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The rollout goes on.
    Running,
    /// No further replica is started; those out of service are brought back.
    Stopping(StopReason),
    /// The rollout has ended, and some replicas do not have the target.
    Stopped(StopReason),
    /// All replicas have the target.
    Finished,
}

/// Reports that a progress cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("invalid rollout progress: {problem}"))]
pub struct ProgressError {
    problem: String,
}

/// The state of a rollout, from which any driver can continue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub(super) plan: Plan,
    pub(super) state: RolloutState,
    pub(super) fencing: FencingNumber,
    // Sorted by endpoint.
    pub(super) replicas: Vec<ReplicaProgress>,
}

impl Progress {
    /// Creates the progress of a rollout that has not begun.
    pub fn new(plan: Plan, endpoints: impl IntoIterator<Item = EndpointId>) -> Self {
        let pending = |endpoint| ReplicaProgress {
            endpoint,
            step: Step::Pending,
            may_be_loading: false,
            restarts: 0,
        };
        let mut replicas: Vec<ReplicaProgress> = endpoints.into_iter().map(pending).collect();
        replicas.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        replicas.dedup_by(|a, b| a.endpoint == b.endpoint);
        let fencing = FencingNumber::default();
        Self { plan, state: RolloutState::Running, fencing, replicas }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns whether the rollout goes on.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns the fencing number of the last driver.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the progress of each replica, in the order of their ids.
    pub fn replicas(&self) -> &[ReplicaProgress] {
        &self.replicas
    }

    /// Returns the step of a replica, if it takes part in the rollout.
    pub fn step_of(&self, endpoint: &EndpointId) -> Option<Step> {
        let position = self.replicas.binary_search_by(|replica| replica.endpoint.cmp(endpoint));
        Some(self.replicas[position.ok()?].step)
    }

    /// Swaps the target and the previous state and restarts the rollout with all replicas.
    ///
    /// Replicas that are out of service stay so, since an order to load may still reach them.
    pub fn roll_back(&mut self) {
        std::mem::swap(&mut self.plan.target, &mut self.plan.previous);
        self.restart();
    }

    /// Changes the target and the replicas, and restarts the rollout with all of them.
    ///
    /// Replicas that are out of service stay so, since an order to load may still reach them.
    pub fn retarget(&mut self, target: Target, endpoints: impl IntoIterator<Item = EndpointId>) {
        if target != self.plan.target {
            self.plan.previous = std::mem::replace(&mut self.plan.target, target);
        }
        let mut next = Self::new(self.plan.clone(), endpoints).replicas;
        for replica in &mut next {
            let same = |known: &&ReplicaProgress| known.endpoint == replica.endpoint;
            if let Some(known) = self.replicas.iter().find(same) {
                *replica = known.clone();
            }
        }
        self.replicas = next;
        self.restart();
    }

    fn restart(&mut self) {
        self.state = RolloutState::Running;
        for replica in &mut self.replicas {
            replica.restarts = 0;
            replica.step = match replica.step {
                Step::Pending | Step::Done => Step::Pending,
                _ => Step::Draining,
            };
        }
    }

    /// Encodes the progress as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the result is larger than [`MAX_PROGRESS_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, ProgressError> {
        let bytes = serde_json::to_vec(self)
            .map_err(|error| ProgressError { problem: error.to_string() })?;
        if bytes.len() > MAX_PROGRESS_BYTES {
            return Err(ProgressError { problem: "more than 1,000,000 bytes".to_owned() });
        }
        Ok(bytes)
    }

    /// Decodes a progress from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not the JSON text of a progress with sorted replicas.
    pub fn decode(bytes: &[u8]) -> Result<Self, ProgressError> {
        let progress: Self = serde_json::from_slice(bytes)
            .map_err(|error| ProgressError { problem: error.to_string() })?;
        if !progress.replicas.is_sorted_by(|a, b| a.endpoint < b.endpoint) {
            return Err(ProgressError {
                problem: "the replicas are not sorted by endpoint".to_owned(),
            });
        }
        Ok(progress)
    }

    /// Returns the target state of the replicas.
    pub fn target(&self) -> &Target {
        &self.plan.target
    }

    pub(super) fn count(&self, matches: impl Fn(&ReplicaProgress) -> bool) -> u32 {
        self.replicas.iter().filter(|replica| matches(replica)).count() as u32
    }
}
