//! Whether a node itself still reaches the endpoints.
//!
//! A node that is partitioned from the endpoints sees each of them fail by itself. Before it believes that it has
//! lost its own links, it connects to a sample of them at once.

use yuccapass_types::{Deadline, Instant};

/// Number of endpoints in a sample.
pub const SAMPLE: usize = 5;

/// Minimum time between two samples while the links are sound.
const SAMPLE_PAUSE_MS: u64 = 500;

/// Period of the samples while the links are lost.
const LOST_PERIOD_MS: u64 = 200;

/// How long nothing must have been heard of any endpoint until the failure of an attempt leads to a sample.
const SILENCE_MS: u64 = 250;

/// Number of connections in a row that could not be opened which lead to a sample, also while the open ones live on.
const FAILED_CONNECTIONS: u32 = 3;

/// How long the connections that were open before are taken for sound after something was heard on one of them.
const HEARD_MS: u64 = 400;

/// How many endpoints of a sample were reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampleResult {
    /// Those that accepted a connection.
    pub reached: usize,
    /// Those that did not.
    pub failed: usize,
}

impl SampleResult {
    /// Returns whether so few were reached that the paths are more likely broken than the endpoints gone.
    fn shows_broken_paths(self) -> bool {
        self.failed > 2 * self.reached
    }

    /// Returns whether none was reached, so that the failure of another endpoint does not show that it has ended.
    pub fn reaches_none(self) -> bool {
        self.failed > 0 && self.reached == 0
    }

    /// Returns whether most were reached.
    fn shows_sound_paths(self) -> bool {
        self.reached > self.failed
    }
}

/// What a node believes of its links to the endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnLinks {
    is_lost: bool,
    // Whether the last sample reached any endpoint.
    reaches_some: bool,
    heard_at: Option<Instant>,
    // Connections that could not be opened since one was.
    failed_connections: u32,
    // When the last sample was begun, and whether it is under way.
    sampled_at: Option<Instant>,
    is_sampling: bool,
}

impl OwnLinks {
    /// Records that something was received from an endpoint.
    pub fn record_heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Returns whether connections to most endpoints cannot be opened.
    pub fn are_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns whether the links are lost to most endpoints, but not to all.
    pub fn reach_some(&self) -> bool {
        self.is_lost && self.reaches_some
    }

    /// Returns whether connections that are open live on.
    pub fn is_heard(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now.ms_since(at) <= HEARD_MS)
    }

    /// Records that a connection was opened.
    pub fn record_connected(&mut self) {
        self.failed_connections = 0;
    }

    /// Records that a connection could not be opened; returns whether a sample is due.
    pub fn record_not_connected(&mut self, now: Instant) -> bool {
        self.failed_connections += 1;
        let is_sampled = self.failed_connections >= FAILED_CONNECTIONS && self.may_sample(now);
        is_sampled || self.record_broken(now)
    }

    /// Records that an attempt has ended without an answer; returns whether a sample is due.
    pub fn record_broken(&mut self, now: Instant) -> bool {
        let is_silent = self.heard_at.is_none_or(|at| now.ms_since(at) >= SILENCE_MS);
        is_silent && self.may_sample(now)
    }

    fn may_sample(&self, now: Instant) -> bool {
        let is_recent = self.sampled_at.is_some_and(|at| now.ms_since(at) < SAMPLE_PAUSE_MS);
        !(self.is_lost || self.is_sampling || is_recent)
    }

    /// Returns when the next sample is due while the links are lost.
    pub fn next_sample(&self) -> Option<Deadline> {
        let sampled_at = self.sampled_at.filter(|_| self.is_lost)?;
        Some(Deadline::after_ms(sampled_at, LOST_PERIOD_MS))
    }

    /// Begins a sample; returns `false` if one is under way.
    pub fn begin_sample(&mut self, now: Instant) -> bool {
        if std::mem::replace(&mut self.is_sampling, true) {
            return false;
        }
        self.sampled_at = Some(now);
        true
    }

    /// Records the result of the sample; returns whether the links are lost now and were not before, or the other
    /// way round. Without endpoints it shows nothing, and neither does one that reached about a half.
    pub fn end_sample(&mut self, result: SampleResult) -> bool {
        self.is_sampling = false;
        let was_lost = self.is_lost;
        if result.reached + result.failed > 0 {
            self.reaches_some = result.reached > 0;
            self.failed_connections = 0;
        }
        if result.shows_broken_paths() {
            self.is_lost = true;
        } else if result.shows_sound_paths() {
            self.is_lost = false;
        }
        self.is_lost != was_lost
    }
}
