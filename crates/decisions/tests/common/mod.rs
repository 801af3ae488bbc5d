//! A simulated network with a fixed seed, and fixtures for nodes, zones and voters.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::quorum::{ListedVoter, VoterList};
use yuccapass_types::{NodeId, ZoneId};

/// Delivers events in time order; messages may be lost, delayed, duplicated or reordered.
pub struct Network<E> {
    pub rng: StdRng,
    pub now_ms: u64,
    pub loss: f64,
    pub max_delay_ms: u64,
    queue: BTreeMap<(u64, u64), E>,
    sequence: u64,
}

impl<E: Clone> Network<E> {
    pub fn new(seed: u64, loss: f64, max_delay_ms: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, now_ms: 0, loss, max_delay_ms, queue: BTreeMap::new(), sequence: 0 }
    }

    /// Sends a message, which may be lost, delayed, overtaken or delivered twice.
    pub fn send(&mut self, event: E) {
        for _ in 0..if self.rng.random_bool(0.1) { 2 } else { 1 } {
            if !self.rng.random_bool(self.loss) {
                let delay_ms = self.rng.random_range(0..=self.max_delay_ms);
                self.at(self.now_ms + delay_ms, event.clone());
            }
        }
    }

    /// Schedules an event for exactly one delivery at a time.
    pub fn at(&mut self, ms: u64, event: E) {
        self.sequence += 1;
        self.queue.insert((ms, self.sequence), event);
    }

    /// Advances to the next event and returns it if it is before `end_ms`.
    pub fn next(&mut self, end_ms: u64) -> Option<E> {
        let ((ms, _), event) = self.queue.pop_first()?;
        self.now_ms = self.now_ms.max(ms);
        (ms < end_ms).then_some(event)
    }

    /// Draws an index below `count`.
    pub fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }
}

pub fn node(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

pub fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").parse().unwrap()
}

/// Creates a list of the nodes with these indices, assigned to `zones` zones in turn.
pub fn voters(indices: &[usize], zones: usize) -> VoterList {
    let voter = |&index: &usize| ListedVoter { node: node(index), zone: zone(index % zones) };
    VoterList::new(indices.iter().map(voter).collect())
}
