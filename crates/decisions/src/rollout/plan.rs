//! The target state and the limits of a rollout.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccapass_types::{AdapterId, ModelId, WeightVersion};

use super::replica::ReplicaReport;

/// Which phases of a request a replica runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The state that a rollout brings each replica to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The replica serves new requests with this weight version.
    Version(WeightVersion),
    /// The replica has loaded this adapter.
    Adapter(AdapterId),
    /// The replica has this role.
    Role(Role),
}

impl Target {
    /// Returns whether a replica is in this state according to its report.
    pub fn is_met_by(&self, report: &ReplicaReport) -> bool {
        match self {
            Self::Version(version) => report.version == *version,
            Self::Adapter(adapter) => report.adapters.contains(adapter),
            Self::Role(role) => report.role == *role,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(f, "version {version}"),
            Self::Adapter(adapter) => write!(f, "adapter {adapter}"),
            Self::Role(role) => write!(f, "role {role:?}"),
        }
    }
}

/// A rollout and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub(super) model: ModelId,
    pub(super) target: Target,
    pub(super) previous: Target,
    pub(super) max_swapping: u32,
    pub(super) max_loads: u32,
    pub(super) max_failures: u32,
    pub(super) min_serving: u32,
    pub(super) drain_limit_ms: u64,
    pub(super) load_limit_ms: u64,
}

impl Plan {
    /// Creates a plan to bring a model from `previous` to `target`, with at most `max_swapping`
    /// replicas out of service at a time.
    pub fn new(model: ModelId, previous: Target, target: Target, max_swapping: u32) -> Self {
        Self {
            model,
            target,
            previous,
            max_swapping: max_swapping.max(1),
            max_loads: max_swapping.max(1),
            max_failures: 1,
            min_serving: 1,
            drain_limit_ms: 15 * 60 * 1_000,
            load_limit_ms: 120_000,
        }
    }

    /// Sets how many replicas may read from the weight store at a time; by default as many as may
    /// be out of service.
    pub fn max_loads(mut self, count: u32) -> Self {
        self.max_loads = count.max(1);
        self
    }

    /// Sets how many replicas may fail before the rollout stops; 1 by default.
    pub fn max_failures(mut self, count: u32) -> Self {
        self.max_failures = count;
        self
    }

    /// Sets how many warm replicas have to serve requests at any time; 1 by default.
    pub fn min_serving(mut self, count: u32) -> Self {
        self.min_serving = count.max(1);
        self
    }

    /// Sets how long a replica may take to finish its running requests; 15 min by default.
    pub fn drain_limit_ms(mut self, ms: u64) -> Self {
        self.drain_limit_ms = ms;
        self
    }

    /// Sets how long a replica may take to load, and then to serve again; 2 min each by default.
    pub fn load_limit_ms(mut self, ms: u64) -> Self {
        self.load_limit_ms = ms;
        self
    }

    /// Returns the model.
    pub fn model(&self) -> &ModelId {
        &self.model
    }

    /// Returns the target state of each replica.
    pub fn target(&self) -> &Target {
        &self.target
    }
}
