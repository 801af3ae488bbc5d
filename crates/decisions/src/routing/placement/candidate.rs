//! Input of the placement policies: the request and the candidate endpoints.

use yuccapass_types::{Bytes, BytesPerSecond, Tokens, TokensPerSecond};

use crate::endpoint_health::{EndpointCondition, EndpointPhase};
use crate::routing::holder::HolderSlot;
use crate::routing::index::PrefixMatch;

use super::{NoPlacement, Placement};

/// How far an endpoint is from this node; nearer is smaller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneDistance {
    /// In the zone of this node.
    SameZone,
    /// In another zone of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// An endpoint that serves the model of a request.
///
/// The endpoint is identified by its slot, since copying the ids of 850 replicas took a fifth of
/// the time of a placement decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: HolderSlot,
    /// Its distance from this node.
    pub distance: ZoneDistance,
    /// Its phase and the number of concurrent requests that it sustains.
    pub health: EndpointCondition,
    /// Requests in its batch, from its load report.
    pub running_requests: u32,
    /// Requests that wait for a slot in its batch, from its load report.
    pub queued_requests: u32,
    /// Prompt tokens still to be processed, from its load report.
    pub prefill_backlog: Tokens,
    /// Age of the load report.
    pub report_age_ms: u64,
    /// Requests that this node has sent to it since the load report.
    pub requests_sent_since_report: u32,
    /// Prompt tokens that the endpoint has to process for these requests.
    pub tokens_sent_since_report: Tokens,
    /// Size of its batch in requests.
    pub max_running_requests: u32,
    /// Rate at which it processes prompts.
    pub prefill_rate: TokensPerSecond,
    /// Mean time that a request stays in the batch.
    pub mean_run_ms: u64,
    /// Length in blocks of the prompt prefix that it has cached, from the index.
    pub cached_blocks: u32,
    /// Whether another request that is suspected of crashing endpoints runs there.
    pub runs_other_suspect: bool,
}

/// A holder from which blocks can be imported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ImportSource {
    /// Length in blocks of the prompt prefix that it has.
    pub blocks: u32,
    /// Rate at which it sends blocks; zero excludes it.
    pub rate: BytesPerSecond,
    /// Time until it starts to send.
    pub latency_ms: u64,
    /// Bytes that the budgets of the links in between allow this node to transfer now.
    pub allowance: Bytes,
}

/// A request to place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Length of the prompt in tokens.
    pub prompt: Tokens,
    /// Length of the prompt in whole blocks.
    pub prompt_blocks: u32,
    /// Size of a cached block.
    pub block_size: Bytes,
    /// Whether the request is suspected of crashing endpoints.
    pub is_suspect: bool,
    /// Number of nodes that send to the same endpoints, this one included.
    pub sending_nodes: u32,
    /// Holders from which blocks can be imported.
    pub sources: Vec<ImportSource>,
}

impl PlacementRequest {
    /// Returns the prompt tokens to process if the first `blocks` blocks are cached.
    ///
    /// At least one token is always processed, because it produces the first token of the answer.
    pub fn uncached_tokens(&self, blocks: u32) -> Tokens {
        let prompt = self.prompt.get();
        let present = match blocks {
            0 => 0,
            // The rest after the last whole block is shorter than a block and is ignored.
            _ if blocks >= self.prompt_blocks => prompt,
            _ => prompt * u64::from(blocks) / u64::from(self.prompt_blocks),
        };
        Tokens::new(prompt.saturating_sub(present).max(1))
    }
}

impl Candidate {
    /// Returns the running, queued and newly sent requests at the endpoint, as far as this node
    /// knows.
    pub fn outstanding_requests(&self) -> u32 {
        self.running_requests
            .saturating_add(self.queued_requests)
            .saturating_add(self.requests_sent_since_report)
    }

    fn is_eligible(&self, request: &PlacementRequest) -> bool {
        self.health.accepts_requests()
            && self.outstanding_requests() < self.health.sustainable_requests
            && !(request.is_suspect && self.runs_other_suspect)
    }

    /// Returns a placement at this candidate that imports nothing.
    pub(super) fn placement_without_import(
        &self,
        request: &PlacementRequest,
        position: usize,
    ) -> Placement {
        let prefill_tokens = request.uncached_tokens(self.cached_blocks);
        Placement {
            candidate: position,
            expected_first_token_us: super::cost::first_token_us(self, prefill_tokens),
            prefill_tokens,
            import: None,
            needs_permit: self.health.needs_permit(),
        }
    }
}

/// Sets the cached blocks of candidates from the matches of a lookup; both are sorted by slot.
pub fn set_cached_blocks(candidates: &mut [Candidate], matches: &[PrefixMatch]) {
    let mut rest = matches;
    for candidate in candidates {
        while rest.first().is_some_and(|found| found.holder < candidate.endpoint) {
            rest = &rest[1..];
        }
        let found = rest.first().filter(|found| found.holder == candidate.endpoint);
        candidate.cached_blocks = found.map_or(0, |found| found.blocks);
    }
}

/// Returns the positions of the candidates that can take the request: those in this region if there
/// are any, otherwise those in other regions.
pub(super) fn eligible_positions(
    request: &PlacementRequest,
    candidates: &[Candidate],
) -> Result<Vec<usize>, NoPlacement> {
    let mut in_region = Vec::with_capacity(candidates.len());
    let mut elsewhere = Vec::new();
    for (position, candidate) in candidates.iter().enumerate() {
        if candidate.is_eligible(request) {
            match candidate.distance {
                ZoneDistance::OtherRegion => elsewhere.push(position),
                _ => in_region.push(position),
            }
        }
    }
    let chosen = if in_region.is_empty() { elsewhere } else { in_region };
    match chosen.is_empty() {
        true => Err(rejection_reason(request, candidates)),
        false => Ok(chosen),
    }
}

fn rejection_reason(request: &PlacementRequest, candidates: &[Candidate]) -> NoPlacement {
    let mut up =
        candidates.iter().filter(|candidate| candidate.health.accepts_requests()).peekable();
    if up.peek().is_none() {
        return NoPlacement::NoEndpoint;
    }
    let is_full = |c: &Candidate| c.outstanding_requests() >= c.health.sustainable_requests;
    let (mut has_warm, mut has_room) = (false, false);
    for candidate in up {
        has_warm |= candidate.health.phase == EndpointPhase::Warm;
        has_room |= !is_full(candidate);
    }
    match (has_room && request.is_suspect, has_warm) {
        (true, _) => NoPlacement::NoSeparateEndpoint,
        (false, true) => NoPlacement::Full,
        (false, false) => NoPlacement::WarmingUp,
    }
}
