//! What a driver writes to the platform.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccapass_types::{EndpointId, FencingNumber};

use super::plan::{Plan, Target};

/// Largest progress that is written: the platform stores values of up to 1 MB.
pub const MAX_PROGRESS_BYTES: usize = 1_000_000;

/// Where a rollout stands with a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Not begun.
    Pending,
    /// It is to take no new work and finish what runs.
    Draining,
    /// It is ordered to load the target.
    Swapping,
    /// It is to take new work again.
    Returning,
    /// It serves the target.
    Done,
    /// It did not come up; it counts as out of service.
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

/// Progress with one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaProgress {
    /// The replica.
    pub endpoint: EndpointId,
    /// Where the rollout stands with it.
    pub step: Step,
    /// Whether an order to load may still be carried out, so that it counts against the weight
    /// store's limit.
    pub may_be_loading: bool,
    /// How often it had to be drained again because it restarted.
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
    /// It goes on.
    Running,
    /// It begins with no further replica and brings back those that are out of service.
    Stopping(StopReason),
    /// It has ended; some replicas do not have the target.
    Stopped(StopReason),
    /// All replicas have the target.
    Finished,
}

/// Reports a progress that cannot be read or written.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the progress of a rollout {problem}"))]
pub struct ProgressError {
    problem: String,
}

/// A rollout's state, from which any driver can continue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub(super) plan: Plan,
    pub(super) state: RolloutState,
    pub(super) fencing: FencingNumber,
    // Sorted by endpoint.
    pub(super) replicas: Vec<ReplicaProgress>,
}

impl Progress {
    /// Makes the progress of a rollout that has not begun.
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

    /// Returns the number of the last driver.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the progress with each replica, in order of their ids.
    pub fn replicas(&self) -> &[ReplicaProgress] {
        &self.replicas
    }

    /// Returns where the rollout stands with a replica.
    pub fn step_of(&self, endpoint: &EndpointId) -> Option<Step> {
        let position = self.replicas.binary_search_by(|replica| replica.endpoint.cmp(endpoint));
        Some(self.replicas[position.ok()?].step)
    }

    /// Exchanges target and earlier state and begins with all replicas anew.
    ///
    /// Those out of service stay so, since an order to load may be on its way to them.
    pub fn roll_back(&mut self) {
        std::mem::swap(&mut self.plan.target, &mut self.plan.previous);
        self.begin_anew();
    }

    /// Changes the target and the replicas, and begins with all of them anew.
    ///
    /// Those out of service stay so, since an order to load may be on its way to them.
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
        self.begin_anew();
    }

    fn begin_anew(&mut self) {
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
    /// Fails if the result has more than [`MAX_PROGRESS_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, ProgressError> {
        let bytes = serde_json::to_vec(self)
            .map_err(|error| ProgressError { problem: error.to_string() })?;
        if bytes.len() > MAX_PROGRESS_BYTES {
            return Err(ProgressError { problem: "has more than 1 MB".to_owned() });
        }
        Ok(bytes)
    }

    /// Decodes a progress.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not the JSON text of a progress with sorted replicas.
    pub fn decode(bytes: &[u8]) -> Result<Self, ProgressError> {
        let progress: Self = serde_json::from_slice(bytes)
            .map_err(|error| ProgressError { problem: error.to_string() })?;
        if !progress.replicas.is_sorted_by(|a, b| a.endpoint < b.endpoint) {
            return Err(ProgressError { problem: "has replicas out of order".to_owned() });
        }
        Ok(progress)
    }

    /// Returns the state that replicas are being brought to.
    pub fn target(&self) -> &Target {
        &self.plan.target
    }

    pub(super) fn count(&self, matches: impl Fn(&ReplicaProgress) -> bool) -> u32 {
        self.replicas.iter().filter(|replica| matches(replica)).count() as u32
    }
}
