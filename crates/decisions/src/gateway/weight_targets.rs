//! The target weights of a model, and until when requests may begin on older weights.

use yuccapass_types::WeightRevision;

use super::target_bounds::TargetDeadlines;

/// Maximum number of targets of a model that are kept apart. Endpoints are rarely more than a few
/// versions behind.
const MAX_TARGETS: usize = 16;

/// The weights that operators want the endpoints of a model to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetWeights {
    /// The weights.
    pub weights: WeightRevision,
    /// Until when older weights are used and replaced.
    pub deadlines: TargetDeadlines,
}

/// Which target replaces the outdated weights of an endpoint, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutdatedWeights {
    /// The newest target weights.
    pub target: WeightRevision,
    /// The deadlines of the first target that is newer than the endpoint's weights, whatever was named
    /// since.
    pub deadlines: TargetDeadlines,
}

/// The targets of one model, from the oldest to the newest.
#[derive(Debug, Clone)]
pub(crate) struct WeightTargets {
    // Never empty.
    targets: Vec<TargetWeights>,
}

impl WeightTargets {
    pub(crate) fn new(first: TargetWeights) -> Self {
        Self { targets: vec![first] }
    }

    /// Returns the newest target.
    pub(crate) fn newest(&self) -> TargetWeights {
        self.targets[self.targets.len() - 1]
    }

    /// Adds a target unless it is older than the newest one.
    pub(crate) fn add(&mut self, target: TargetWeights) {
        if target.weights <= self.newest().weights {
            return;
        }
        self.targets.push(target);
        if self.targets.len() > MAX_TARGETS {
            // Endpoints that are this far behind keep the bound of the oldest target.
            let oldest = self.targets.remove(0);
            self.targets[0].deadlines = oldest.deadlines;
        }
    }

    /// Returns what replaces these weights; `None` if they are not outdated.
    pub(crate) fn outdated(&self, weights: WeightRevision) -> Option<OutdatedWeights> {
        let first_newer = self.targets.partition_point(|target| target.weights <= weights);
        let deadlines = self.targets.get(first_newer)?.deadlines;
        Some(OutdatedWeights { target: self.newest().weights, deadlines })
    }
}
