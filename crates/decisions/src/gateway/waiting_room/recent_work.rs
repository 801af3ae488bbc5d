//! The work that was started lately.

use yuccapass_types::{Instant, Tokens};

/// A sum of tokens in which each one counts less the longer ago it was added.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecentWork {
    window_ms: f64,
    tokens: f64,
    updated_at: Instant,
}

impl RecentWork {
    /// Creates an empty sum. After `window_ms`, a token counts 1/e.
    pub(super) fn new(window_ms: f64, now: Instant) -> Self {
        Self { window_ms, tokens: 0.0, updated_at: now }
    }

    /// Adds tokens.
    pub(super) fn add(&mut self, tokens: Tokens, now: Instant) {
        self.tokens = self.tokens(now) + tokens.get() as f64;
        self.updated_at = now;
    }

    /// Returns the sum.
    pub(super) fn tokens(&self, now: Instant) -> f64 {
        let age_ms = now.ms_since(self.updated_at) as f64;
        self.tokens * (-age_ms / self.window_ms).exp()
    }

    /// Returns how long it takes to add this many tokens at the recent rate, or `None` if hardly any were
    /// added lately.
    pub(super) fn duration_ms(&self, tokens: u64, now: Instant) -> Option<u64> {
        let tokens_per_ms = self.tokens(now) / self.window_ms;
        (tokens_per_ms > 1e-3).then(|| (tokens as f64 / tokens_per_ms) as u64)
    }
}
