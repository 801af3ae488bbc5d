//! What is known of the output of requests and of the memory that they take.

use yuccapass_types::Tokens;

use super::running_mean::RunningMean;

/// Expected output of a request about which nothing is known.
const DEFAULT_OUTPUT: Tokens = Tokens::new(64);

/// What a caller says about the output of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutputBounds {
    /// Its maximum length.
    pub max: Option<Tokens>,
    /// The caller's estimate of its length, which may be far off.
    pub hint: Option<Tokens>,
}

/// Learns the length of the outputs of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutputEstimate {
    lengths: RunningMean,
}

impl OutputEstimate {
    /// Records the length of a complete output.
    pub fn record(&mut self, output: Tokens) {
        self.lengths.record(output.get() as f64);
    }

    /// Returns the expected length of an output: the larger of the caller's hint and what was learnt,
    /// but not more than the caller allows. An engine that runs out of memory costs more than
    /// one with some memory left.
    pub fn expected(&self, bounds: OutputBounds) -> Tokens {
        let learnt = self.lengths.upper().map(|tokens| Tokens::new(tokens.ceil() as u64));
        let expected = learnt.into_iter().chain(bounds.hint).max().unwrap_or(DEFAULT_OUTPUT);
        bounds.max.map_or(expected, |max| max.min(expected))
    }
}

/// Share of the earlier requests that remains with each new one.
const MEMORY_DECAY: f64 = 0.98;

/// Mean memory of the requests that run at a given moment. A request counts by the time for which it ran:
/// requests with long prompts are few, but occupy most of the memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MemoryPerRequest {
    token_ms: f64,
    run_ms: f64,
}

impl MemoryPerRequest {
    /// Records a request that ran for some time.
    pub fn record(&mut self, memory: Tokens, run_ms: u64) {
        let run_ms = run_ms.max(1) as f64;
        self.token_ms = self.token_ms * MEMORY_DECAY + memory.get() as f64 * run_ms;
        self.run_ms = self.run_ms * MEMORY_DECAY + run_ms;
    }

    /// Returns the mean in tokens, or `None` if nothing was recorded.
    pub fn mean_tokens(&self) -> Option<f64> {
        (self.run_ms > 0.0).then(|| self.token_ms / self.run_ms)
    }
}
