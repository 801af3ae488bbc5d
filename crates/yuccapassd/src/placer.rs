//! Chooses the endpoint for a request.

use std::sync::Arc;

use yuccapass_decisions::config::{DEFAULT_BLOCK_PAYLOAD, Document, Endpoint, Model, ZoneState};
use yuccapass_decisions::crash_guard::Fingerprint;
use yuccapass_decisions::endpoint_health::EndpointPhase;
use yuccapass_decisions::routing::placement::{
    Candidate, LeastLoadedPolicy, NoPlacement, Placement, PlacementPolicy, PlacementRequest,
    ZoneDistance,
};
use yuccapass_types::{
    AdapterId, BlockHash, CacheSalt, EndpointId, ModelId, OrganisationId, RegionId, SortedMap,
    Tokens, WeightVersion, ZoneId, block_hash_chain,
};

use crate::crash_guard::SharedCrashGuard;
use crate::endpoint_table::{CandidateContext, EndpointTable};
use crate::fleet::Members;
use crate::prefix_cache_view::PrefixCacheView;
use crate::transfer::{PlannedImport, Transfer};

/// Average bytes of prompt text per token, for English text and common tokenizers.
const BYTES_PER_TOKEN: u64 = 4;

/// The properties of a prompt that placement uses.
pub(crate) struct PromptSummary {
    pub(crate) salt: CacheSalt,
    pub(crate) chain: Vec<BlockHash>,
    pub(crate) tokens: Tokens,
    pub(crate) fingerprint: Fingerprint,
}

impl PromptSummary {
    /// Hashes a prompt for one version of a model.
    pub(crate) fn new(organisation: &OrganisationId, model: &ServedModel, prompt: &[u8]) -> Self {
        let adapter = model.adapter.as_ref();
        let salt = CacheSalt::derive(organisation, &model.id, &model.version, adapter);
        let tokens = Tokens::new((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN));
        let fingerprint = Fingerprint::of(organisation, &model.id, prompt);
        Self { salt, chain: block_hash_chain(salt, prompt), tokens, fingerprint }
    }

    fn request(&self, is_suspect: bool, sending_nodes: u32) -> PlacementRequest {
        PlacementRequest {
            prompt: self.tokens,
            prompt_blocks: self.chain.len() as u32,
            is_suspect,
            ..minimal_request(sending_nodes)
        }
    }
}

/// A model with the version that a request uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServedModel {
    pub(crate) id: ModelId,
    pub(crate) version: WeightVersion,
    pub(crate) adapter: Option<AdapterId>,
}

/// The endpoint chosen for an attempt.
pub(crate) struct PlacedAttempt<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) prefill: Tokens,
    pub(crate) expected_first_token_ms: u64,
    pub(crate) needs_permit: bool,
    pub(crate) import: Option<PlannedImport>,
}

/// Chooses endpoints from the point of view of this node's zone.
pub(crate) struct Placer {
    pub(crate) zone: ZoneId,
    pub(crate) policy: Box<dyn PlacementPolicy>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) prefix_caches: Arc<PrefixCacheView>,
    pub(crate) transfer: Arc<Transfer>,
    pub(crate) crash_guard: Arc<SharedCrashGuard>,
    pub(crate) members: Arc<Members>,
}

impl Placer {
    /// Returns whether a minimal request for a model could be placed now.
    pub(crate) fn has_capacity(&self, document: &Document, model: &ModelId) -> bool {
        let region = document.zone(&self.zone).map(|zone| &zone.region);
        let candidates: Vec<Candidate> = document
            .endpoints_of(model)
            .filter_map(|endpoint| {
                let distance = self.distance(document, region, endpoint)?;
                let context = CandidateContext { distance, version: None, matches: &[] };
                self.endpoints.candidate(endpoint, context, |_| false)
            })
            .collect();
        LeastLoadedPolicy
            .place(&minimal_request(self.members.zone_node_count()), &candidates, &mut rand::rng())
            .is_ok()
    }

    /// Chooses the endpoint for an attempt, except those in `excluded`.
    pub(crate) fn place<'a>(
        &self,
        document: &'a Document,
        model: &ServedModel,
        prompt: &PromptSummary,
        excluded: &[EndpointId],
    ) -> Result<PlacedAttempt<'a>, NoPlacement> {
        let region = document.zone(&self.zone).map(|zone| &zone.region);
        let is_suspect_itself = self.crash_guard.is_suspect(prompt.fingerprint);
        let matches = self.prefix_caches.lookup(&prompt.chain);
        let is_suspect =
            |other: Fingerprint| other != prompt.fingerprint && self.crash_guard.is_suspect(other);
        let mut considered = Vec::new();
        let mut candidates = Vec::new();
        for endpoint in document.endpoints_of(&model.id) {
            let Some(distance) = self.distance(document, region, endpoint) else { continue };
            if excluded.contains(&endpoint.id) {
                continue;
            }
            let version = Some(&model.version);
            let context = CandidateContext { distance, version, matches: &matches };
            let Some(candidate) = self.endpoints.candidate(endpoint, context, is_suspect) else {
                continue;
            };
            candidates.push(candidate);
            considered.push(endpoint);
        }
        let block_payload = document.model(&model.id).map(|model| model.block_payload_bytes);
        let request = PlacementRequest {
            block_size: block_payload.unwrap_or(DEFAULT_BLOCK_PAYLOAD),
            sources: self.transfer.sources(document, &model.id, &matches),
            ..prompt.request(is_suspect_itself, self.members.zone_node_count())
        };
        let placement = self.policy.place(&request, &candidates, &mut rand::rng())?;
        let endpoint = considered[placement.candidate];
        Ok(PlacedAttempt {
            endpoint,
            prefill: placement.prefill_tokens,
            expected_first_token_ms: placement.expected_first_token_us / 1_000,
            needs_permit: placement.needs_permit,
            import: planned_import(&request, &candidates[placement.candidate], &placement),
        })
    }

    /// Returns a model with the version that new requests at this node use. During a rollout this
    /// is the one that most endpoints serve, so that the first replicas at a new version do not get
    /// all requests.
    pub(crate) fn served_model(&self, document: &Document, model: &Model) -> ServedModel {
        let configured = model.version_in(&self.zone);
        // Endpoints of zones that are configured for another version are not part of the rollout.
        let in_rollout = |endpoint: &&Endpoint| model.version_in(&endpoint.zone) == configured;
        let version = self
            .most_served(document.endpoints_of(&model.id).filter(in_rollout), document, configured)
            .or_else(|| self.most_served(document.endpoints_of(&model.id), document, configured));
        ServedModel {
            id: model.id.clone(),
            version: version.unwrap_or_else(|| configured.clone()),
            adapter: model.adapter_in(&self.zone).cloned(),
        }
    }

    /// Returns the version that most of the endpoints serve; in a tie, the configured one if it is
    /// among them.
    fn most_served<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        document: &Document,
        configured: &WeightVersion,
    ) -> Option<WeightVersion> {
        let mut counts: SortedMap<WeightVersion, u32> = SortedMap::new();
        for endpoint in endpoints {
            if self.distance(document, None, endpoint).is_none() {
                continue;
            }
            let (version, phase) = self.endpoints.version_and_phase(endpoint);
            if let Some(version) = version.filter(|_| accepts_requests(phase)) {
                *counts.get_or_insert_with(version, || 0) += 1;
            }
        }
        let most_common =
            counts.iter().max_by_key(|(version, count)| (**count, *version == configured))?;
        Some(most_common.0.clone())
    }

    /// Returns the distance to an endpoint, or `None` if its zone accepts no new work.
    fn distance(
        &self,
        document: &Document,
        region: Option<&RegionId>,
        endpoint: &Endpoint,
    ) -> Option<ZoneDistance> {
        let zone = document.zone(&endpoint.zone)?;
        if zone.state == ZoneState::Out {
            return None;
        }
        Some(match () {
            () if zone.id == self.zone => ZoneDistance::SameZone,
            () if Some(&zone.region) == region => ZoneDistance::SameRegion,
            () => ZoneDistance::OtherRegion,
        })
    }
}

/// Returns the planned import of a placement, with the time that computing its blocks would take.
fn planned_import(
    request: &PlacementRequest,
    candidate: &Candidate,
    placement: &Placement,
) -> Option<PlannedImport> {
    let plan = placement.import?;
    let saved = request.uncached_tokens(plan.from_block).saturating_sub(placement.prefill_tokens);
    let recompute_ms = saved.get().saturating_mul(1_000) / candidate.prefill_rate.get().max(1);
    Some(PlannedImport { from_block: plan.from_block, blocks: plan.blocks, recompute_ms })
}

/// Returns whether an endpoint in this phase accepts new requests, now or once it has capacity.
fn accepts_requests(phase: EndpointPhase) -> bool {
    !matches!(phase, EndpointPhase::Leaving | EndpointPhase::Silent)
}

/// Creates the smallest request, with no prompt blocks and no import sources.
fn minimal_request(sending_nodes: u32) -> PlacementRequest {
    PlacementRequest {
        prompt: Tokens::new(1),
        prompt_blocks: 0,
        block_size: DEFAULT_BLOCK_PAYLOAD,
        is_suspect: false,
        sending_nodes,
        sources: Vec::new(),
    }
}
