//! Faults that are set at the start or by `POST /faults`.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Whether and how the stand-in is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is up.
    #[default]
    None,
    /// Calls get status 503 and have no effect.
    Refuses,
    /// Calls have no effect and get no answer.
    Silent,
}

/// The faults in force; fields that are absent in a message are reset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether it is down.
    pub outage: Outage,
    /// Delay of each answer.
    pub slow_ms: u64,
    /// How many of the next writes take effect without an answer.
    pub lost_answers: u32,
    /// Share of the further writes that take effect without an answer.
    pub lost_answer_percent: u32,
    /// Share of watches that are ended without a message when something changes.
    pub watch_drop_percent: u32,
    /// Forgets all revisions before the present one, once.
    pub compact: bool,
    /// Goes back to this revision, once.
    pub restore_revision: Option<u64>,
}

/// Draws which calls a fault hits.
#[derive(Debug)]
pub(super) struct FaultDice {
    random: StdRng,
}

impl FaultDice {
    pub(super) fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed) }
    }

    pub(super) fn loses_answer(&mut self, faults: &mut Faults) -> bool {
        if faults.lost_answers > 0 {
            faults.lost_answers -= 1;
            return true;
        }
        self.hits(faults.lost_answer_percent)
    }

    pub(super) fn drops_watch(&mut self, faults: &Faults) -> bool {
        self.hits(faults.watch_drop_percent)
    }

    fn hits(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }
}
