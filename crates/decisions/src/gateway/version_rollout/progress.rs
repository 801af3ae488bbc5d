//! The stage of an order, which the holder writes.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccapass_types::{FencingNumber, RolloutOrderId, SoftwareVersion, TrafficShare};

use super::order::RolloutOrder;

/// Maximum number of versions that are remembered as barred or replaced; the oldest are dropped.
const MAX_REMEMBERED_VERSIONS: usize = 16;

/// A stage of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No endpoint of the target is ready yet.
    Waiting,
    /// The target gets a small share, and its answers are judged.
    Observing,
    /// The target gets a larger share; the number counts the raises from 0.
    Raising(u8),
    /// The target gets all requests, and those at the old versions end.
    Full,
    /// The old versions get nothing any more.
    Completed,
    /// The target gets nothing any more.
    RolledBack(RollbackReason),
}

impl Stage {
    /// Returns whether the order has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack(_))
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Waiting => f.write_str("waiting"),
            Self::Observing => f.write_str("observing"),
            Self::Raising(raise) => write!(f, "raising {raise}"),
            Self::Full => f.write_str("full"),
            Self::Completed => f.write_str("completed"),
            Self::RolledBack(reason) => write!(f, "rolled back: {reason}"),
        }
    }
}

/// Why an order was rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollbackReason {
    /// The target fails more often than the old version.
    Failures,
    /// The answers of the target are slower than those of the old version.
    Slowness,
    /// A node has stopped sending to the target because of its own answers.
    NodeAlarm,
    /// Operators have deleted the order.
    Withdrawn,
    /// No endpoint of the target became ready within the order's time.
    NoEndpoints,
}

impl fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "failures",
            Self::Slowness => "slow answers",
            Self::NodeAlarm => "alarm of a node",
            Self::Withdrawn => "order deleted",
            Self::NoEndpoints => "no endpoint became ready",
        })
    }
}

/// The progress of the last order of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The order.
    pub order: RolloutOrderId,
    /// The version that it moves to.
    pub target: SoftwareVersion,
    /// The time within which it is to be completed.
    pub duration_ms: u64,
    /// The stage.
    pub stage: Stage,
    /// Counts the writes of the order, from 0.
    pub step: u32,
    /// The share of requests that may go to the target.
    pub share: TrafficShare,
    /// Time from the order to this write.
    pub elapsed_ms: u64,
    /// Time from the order to the beginning of the stage.
    pub stage_from_ms: u64,
    /// The fencing number of the holder that wrote this.
    pub fencing: FencingNumber,
    /// Versions that get nothing because they were rolled back.
    pub barred: Vec<SoftwareVersion>,
    /// Versions that get nothing while the target of the last completed order is there.
    pub replaced: Vec<SoftwareVersion>,
}

impl RolloutProgress {
    /// Creates the progress of an order that no holder has taken before, which follows `previous`.
    pub fn first(order: &RolloutOrder, previous: Option<&Self>) -> Self {
        let (mut barred, mut replaced) = match previous {
            None => (Vec::new(), Vec::new()),
            Some(previous) => {
                let mut barred = previous.barred.clone();
                if previous.stage != Stage::Completed {
                    barred.push(previous.target.clone());
                }
                (barred, previous.replaced.clone())
            }
        };
        for versions in [&mut barred, &mut replaced] {
            versions.retain(|version| *version != order.target);
            limit(versions);
        }
        Self {
            order: order.id,
            target: order.target.clone(),
            duration_ms: order.duration_ms,
            stage: Stage::Waiting,
            step: 0,
            share: TrafficShare::NONE,
            elapsed_ms: 0,
            stage_from_ms: 0,
            fencing: FencingNumber::default(),
            barred,
            replaced,
        }
    }

    /// Returns the next step, which begins `stage`.
    pub fn enter(&self, stage: Stage, share: TrafficShare, elapsed_ms: u64) -> Self {
        let stage_from_ms = if stage == self.stage { self.stage_from_ms } else { elapsed_ms };
        Self { stage, share, step: self.step + 1, elapsed_ms, stage_from_ms, ..self.clone() }
    }

    /// Returns the completion of the order, which replaces these versions.
    pub fn complete(&self, replaced: &[SoftwareVersion], elapsed_ms: u64) -> Self {
        let mut next = self.enter(Stage::Completed, TrafficShare::ALL, elapsed_ms);
        for version in replaced.iter().filter(|version| **version != self.target) {
            if !next.replaced.contains(version) {
                next.replaced.push(version.clone());
            }
        }
        limit(&mut next.replaced);
        next
    }

    /// Returns the roll-back of the order.
    pub fn roll_back(&self, reason: RollbackReason, elapsed_ms: u64) -> Self {
        self.enter(Stage::RolledBack(reason), TrafficShare::NONE, elapsed_ms)
    }

    /// Returns whether this was written after `other`.
    ///
    /// A later holder decides from what is stored. If the key-value service has come back from an older
    /// copy, that may be an earlier order or step, and an order that was lost and given again may have a
    /// smaller id or the same one. The fencing number of a later holder is larger all the same.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let position = |progress: &Self| (progress.fencing, progress.order, progress.step);
        position(self) > position(other)
    }
}

/// Keeps the newest versions, each of them once.
fn limit(versions: &mut Vec<SoftwareVersion>) {
    let mut kept: Vec<SoftwareVersion> = Vec::new();
    for version in versions.drain(..).rev() {
        if !kept.contains(&version) && kept.len() < MAX_REMEMBERED_VERSIONS {
            kept.push(version);
        }
    }
    kept.reverse();
    *versions = kept;
}
