//! Faults that can be injected at the start or by `POST /faults`.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Whether and how the stand-in is unavailable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is available.
    #[default]
    None,
    /// Calls get status 503 and have no effect.
    Refuses,
    /// Calls have no effect and get no response.
    Silent,
}

/// The active faults; a field that is absent in the message is reset to its default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the stand-in is unavailable.
    pub outage: Outage,
    /// Delay of each call to the key-value service.
    pub slow_ms: u64,
    /// How many of the next writes take effect but get no response.
    pub lost_answers: u32,
    /// Percentage of the writes after those that take effect but get no response.
    pub lost_answer_percent: u32,
    /// Percentage of the watches that end without a message instead of reporting a change.
    pub watch_drop_percent: u32,
    /// Compacts all revisions before the current one, once.
    pub compact: bool,
    /// Restores the state of this revision, once.
    pub restore_revision: Option<u64>,
}

/// Chooses at random which calls and watches a fault affects.
#[derive(Debug)]
pub(super) struct FaultSampler {
    random: StdRng,
}

impl FaultSampler {
    pub(super) fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed) }
    }

    pub(super) fn loses_response(&mut self, faults: &mut Faults) -> bool {
        if faults.lost_answers > 0 {
            faults.lost_answers -= 1;
            return true;
        }
        self.occurs(faults.lost_answer_percent)
    }

    pub(super) fn drops_watch(&mut self, faults: &Faults) -> bool {
        self.occurs(faults.watch_drop_percent)
    }

    fn occurs(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }
}
