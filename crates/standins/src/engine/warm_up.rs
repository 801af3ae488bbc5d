//! Warming up after a cold start.

use yuccapass_types::Instant;

/// Whether an engine is cold, and how long it has run requests since it became cold.
#[derive(Debug)]
pub(crate) struct WarmUp {
    /// Time of running requests after which the engine is warm.
    required_ms: u64,
    served_ms: u64,
    is_cold: bool,
    busy_since: Option<Instant>,
}

impl WarmUp {
    pub(crate) fn new(required_ms: u64, is_cold: bool) -> Self {
        Self { required_ms, served_ms: 0, is_cold, busy_since: None }
    }

    /// Counts the time up to `now`; `is_busy` says whether any request runs from now on.
    pub(crate) fn update(&mut self, is_busy: bool, now: Instant) {
        if let Some(since) = self.busy_since {
            self.served_ms = self.served_ms.saturating_add(now.ms_since(since));
        }
        self.busy_since = is_busy.then_some(now);
        if self.served_ms >= self.required_ms {
            self.is_cold = false;
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.is_cold
    }
}
