//! Instants and deadlines on a process-local monotonic clock.
//!
//! Clocks differ between processes, so neither type is ever sent: a message carries the time that
//! remains, and the receiver turns it back into a [`Deadline`] on arrival.

use std::fmt;
use std::time::Duration;

/// Milliseconds since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Wraps milliseconds since the start of the process.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns milliseconds since the start of the process.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds from `earlier` to this instant, or zero if `earlier` is later.
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The instant from which something is no longer valid or wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(Instant);

impl Deadline {
    /// A deadline that never passes.
    pub const NEVER: Self = Self(Instant(u64::MAX));

    /// Returns the deadline `ms` milliseconds after `now`.
    pub const fn after_ms(now: Instant, ms: u64) -> Self {
        Self(Instant(now.0.saturating_add(ms)))
    }

    /// Returns the instant of the deadline.
    pub const fn instant(self) -> Instant {
        self.0
    }

    /// Returns whether `now` is at or after the deadline.
    pub const fn has_passed(self, now: Instant) -> bool {
        now.0 >= self.0.0
    }

    /// Returns the milliseconds that remain, which is zero once the deadline has passed.
    pub const fn remaining_ms(self, now: Instant) -> u64 {
        self.0.0.saturating_sub(now.0)
    }

    /// Returns the time that remains.
    pub const fn remaining(self, now: Instant) -> Duration {
        Duration::from_millis(self.remaining_ms(now))
    }

    /// Returns the earlier of two deadlines.
    pub fn earlier(self, other: Self) -> Self {
        self.min(other)
    }
}

impl fmt::Display for Deadline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms after process start", self.0.0)
    }
}

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current instant; it never decreases.
    fn now(&self) -> Instant;
}

/// The operating system's monotonic clock, counted from the creation of this value.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    origin: std::time::Instant,
}

impl MonotonicClock {
    /// Creates a clock that reads zero now.
    pub fn new() -> Self {
        Self { origin: std::time::Instant::now() }
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Instant {
        Instant(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
