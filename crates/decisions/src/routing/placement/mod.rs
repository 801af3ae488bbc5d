//! Policies that choose an endpoint for a request.

mod baseline;
mod candidate;
mod cost;

use rand::Rng;
use yuccapass_types::{Bytes, ResultCode, Tokens};

pub use baseline::{LeastLoadedPolicy, RandomPolicy, RoundRobinPolicy};
pub use candidate::{Candidate, ImportSource, PlacementRequest, ZoneDistance, set_cached_blocks};
pub use cost::{CostPolicy, CostSettings};

/// Blocks to import before the request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ImportPlan {
    /// Position of the source in [`PlacementRequest::sources`].
    pub source: usize,
    /// First block to import, counted from 0; the endpoint has the blocks before it.
    pub from_block: u32,
    /// Number of blocks to import.
    pub blocks: u32,
    /// Bytes to transfer.
    pub bytes: Bytes,
}

/// A chosen endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Position in the list of candidates.
    pub candidate: usize,
    /// Expected time to first token, without the weights used to compare candidates.
    pub expected_first_token_us: u64,
    /// Prompt tokens that the endpoint has to process after the import.
    pub prefill_tokens: Tokens,
    /// Blocks to import before the request is sent, if any.
    pub import: Option<ImportPlan>,
    /// Whether a permit is needed before the request is sent.
    pub needs_permit: bool,
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlacement {
    /// No endpoint takes work.
    NoEndpoint,
    /// Only endpoints that are still warming up could serve the request, and they are full.
    WarmingUp,
    /// All endpoints that could serve the request are full.
    Full,
    /// The request is suspected of crashing endpoints, and each endpoint with room already runs
    /// another suspect request.
    NoSeparateEndpoint,
}

impl NoPlacement {
    /// Returns the result code for a request that is refused because it cannot wait.
    pub fn result_code(self) -> ResultCode {
        match self {
            Self::NoEndpoint => ResultCode::NoEndpoint,
            Self::WarmingUp => ResultCode::EndpointsWarmingUp,
            Self::Full | Self::NoSeparateEndpoint => ResultCode::QueueFull,
        }
    }
}

/// A policy that chooses between endpoints.
pub trait PlacementPolicy: Send + Sync {
    /// Chooses one of the candidates.
    ///
    /// # Errors
    ///
    /// Fails if no candidate can take the request now.
    fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut dyn Rng,
    ) -> Result<Placement, NoPlacement>;
}
