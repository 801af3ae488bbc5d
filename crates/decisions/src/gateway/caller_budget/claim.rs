//! What one connection holds, and how it progresses.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use yuccapass_types::{Instant, OrganisationId};

/// A caller that sends less than [`PROGRESS_BYTES`] in this time makes no progress.
pub(super) const STALL_MS: u64 = 2_000;

/// Bytes of a body after which a caller has made progress. A body whose rest is smaller ends in time or
/// counts as stalled.
pub(super) const PROGRESS_BYTES: u64 = 32 << 10;

/// Minimum time over which a rate is measured. Callers that have just begun are not compared by it.
const MIN_RATE_MS: u64 = 500;

/// The size that a request promises until its body is announced.
const HEAD_BYTES: u64 = 16 << 10;

/// Identifies a connection of a caller within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ConnectionId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// What a caller does on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has not sent its request completely.
    Incomplete(Progress),
    /// Its request is being served.
    Complete,
    /// Its last request was answered.
    Idle { since: Instant },
}

/// How much of a request has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    started_at: Instant,
    promised_bytes: u64,
    received_bytes: u64,
    progressed_bytes: u64,
    progressed_at: Instant,
}

impl Progress {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            promised_bytes: HEAD_BYTES,
            received_bytes: 0,
            progressed_bytes: 0,
            progressed_at: now,
        }
    }

    pub(super) fn promise(&mut self, bytes: u64) {
        self.promised_bytes = bytes.max(1);
    }

    pub(super) fn receive(&mut self, received_bytes: u64, now: Instant) {
        self.received_bytes = received_bytes;
        if received_bytes >= self.progressed_bytes + PROGRESS_BYTES {
            self.progressed_bytes = received_bytes;
            self.progressed_at = now;
        }
    }

    /// Does not count the time until now as one without progress, because the node did not read.
    pub(super) fn excuse(&mut self, now: Instant) {
        self.progressed_at = now;
    }

    pub(super) fn progressed_at(&self) -> Instant {
        self.progressed_at
    }

    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        now.ms_since(self.progressed_at) >= STALL_MS
    }

    /// Returns the share of what was promised that has arrived, by the time it took.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let elapsed_ms = now.ms_since(self.started_at).max(MIN_RATE_MS);
        self.received_bytes as f64 / self.promised_bytes as f64 / elapsed_ms as f64
    }
}

/// What one connection holds.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    pub(super) phase: Phase,
    pub(super) request_bytes: u64,
    pub(super) answer_bytes: u64,
    pub(super) organisation: Option<OrganisationId>,
    /// Since when the caller has read nothing of an answer that waits to be written.
    pub(super) blocked_since: Option<Instant>,
    /// Whether it is being closed for the sake of others.
    pub(super) is_leaving: bool,
}

impl Claim {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            phase: Phase::Incomplete(Progress::new(now)),
            request_bytes: 0,
            answer_bytes: 0,
            organisation: None,
            blocked_since: None,
            is_leaving: false,
        }
    }

    /// Returns how far an incomplete request has come, unless the connection is being closed.
    pub(super) fn progress(&self) -> Option<&Progress> {
        match &self.phase {
            Phase::Incomplete(progress) if !self.is_leaving => Some(progress),
            _ => None,
        }
    }

    pub(super) fn is_incomplete(&self) -> bool {
        matches!(self.phase, Phase::Incomplete(_))
    }

    /// Returns whether an answer is held that the caller has not read for a while.
    pub(super) fn has_unread_answer(&self, now: Instant) -> bool {
        let is_late = |since| now.ms_since(since) >= STALL_MS;
        !self.is_leaving && self.answer_bytes > 0 && self.blocked_since.is_some_and(is_late)
    }
}
