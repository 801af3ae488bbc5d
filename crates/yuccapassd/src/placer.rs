//! Placement of a request on an endpoint.

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
use crate::endpoint_table::{CandidatePlace, EndpointTable};
use crate::fleet::Members;
use crate::prefix_cache_view::PrefixCacheView;
use crate::transfer::{PlannedImport, Transfer};

/// Bytes of prompt text in a token, on average over the usual tokenizers and English text.
const BYTES_PER_TOKEN: u64 = 4;

/// What placement needs to know of a prompt.
pub(crate) struct PlacedPrompt {
    pub(crate) salt: CacheSalt,
    pub(crate) chain: Vec<BlockHash>,
    pub(crate) tokens: Tokens,
    pub(crate) fingerprint: Fingerprint,
}

impl PlacedPrompt {
    /// Hashes a prompt for a version of a model.
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
            ..ordinary_request(sending_nodes)
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

/// The endpoint for an attempt.
pub(crate) struct Placed<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) prefill: Tokens,
    pub(crate) expected_first_token_ms: u64,
    pub(crate) needs_permit: bool,
    pub(crate) import: Option<PlannedImport>,
}

/// Chooses endpoints from where this node stands.
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
    /// Returns whether an ordinary request for a model could be placed now.
    pub(crate) fn has_room(&self, document: &Document, model: &ModelId) -> bool {
        let region = document.zone(&self.zone).map(|zone| &zone.region);
        let candidates: Vec<Candidate> = document
            .endpoints_of(model)
            .filter_map(|endpoint| {
                let distance = self.distance(document, region, endpoint)?;
                let place = CandidatePlace { distance, version: None, matches: &[] };
                self.endpoints.candidate(endpoint, place, |_| false)
            })
            .collect();
        LeastLoadedPolicy
            .place(&ordinary_request(self.members.zone_nodes()), &candidates, &mut rand::rng())
            .is_ok()
    }

    /// Chooses the endpoint for an attempt, other than those in `excluded`.
    pub(crate) fn place<'a>(
        &self,
        document: &'a Document,
        model: &ServedModel,
        prompt: &PlacedPrompt,
        excluded: &[EndpointId],
    ) -> Result<Placed<'a>, NoPlacement> {
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
            let place = CandidatePlace { distance, version, matches: &matches };
            let Some(candidate) = self.endpoints.candidate(endpoint, place, is_suspect) else {
                continue;
            };
            candidates.push(candidate);
            considered.push(endpoint);
        }
        let configured = document.model(&model.id).map(|model| model.block_payload_bytes);
        let request = PlacementRequest {
            block_size: configured.unwrap_or(DEFAULT_BLOCK_PAYLOAD),
            sources: self.transfer.sources(document, &model.id, &matches),
            ..prompt.request(is_suspect_itself, self.members.zone_nodes())
        };
        let placement = self.policy.place(&request, &candidates, &mut rand::rng())?;
        let endpoint = considered[placement.candidate];
        Ok(Placed {
            endpoint,
            prefill: placement.prefill_tokens,
            expected_first_token_ms: placement.expected_first_token_us / 1_000,
            needs_permit: placement.needs_permit,
            import: planned_import(&request, &candidates[placement.candidate], &placement),
        })
    }

    /// Returns the version of a model that a new request from here uses: during a rollout the one
    /// that most endpoints serve, so that the first ones at a new version do not get all requests.
    pub(crate) fn served_model(&self, document: &Document, model: &Model) -> ServedModel {
        let wanted = model.version_in(&self.zone);
        // Endpoints of a zone with another version are not part of the rollout.
        let in_rollout = |endpoint: &&Endpoint| model.version_in(&endpoint.zone) == wanted;
        let version = self
            .most_served(document.endpoints_of(&model.id).filter(in_rollout), document, wanted)
            .or_else(|| self.most_served(document.endpoints_of(&model.id), document, wanted));
        ServedModel {
            id: model.id.clone(),
            version: version.unwrap_or_else(|| wanted.clone()),
            adapter: model.adapter_in(&self.zone).cloned(),
        }
    }

    /// Returns the version that most of the endpoints serve to new requests; the wanted one of
    /// several with the same number.
    fn most_served<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        document: &Document,
        wanted: &WeightVersion,
    ) -> Option<WeightVersion> {
        let mut counts: SortedMap<WeightVersion, u32> = SortedMap::new();
        for endpoint in endpoints {
            if self.distance(document, None, endpoint).is_none() {
                continue;
            }
            let (version, phase) = self.endpoints.version_and_phase(endpoint);
            if let Some(version) = version.filter(|_| takes_requests(phase)) {
                *counts.get_or_insert_with(version, || 0) += 1;
            }
        }
        let most = counts.iter().max_by_key(|(version, count)| (**count, *version == wanted))?;
        Some(most.0.clone())
    }

    /// Returns how far an endpoint is, or `None` if its zone gets no new work.
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

/// Returns the import of a placement with the time that computing its blocks would take.
fn planned_import(
    request: &PlacementRequest,
    candidate: &Candidate,
    placement: &Placement,
) -> Option<PlannedImport> {
    let plan = placement.import?;
    let spared = request.uncached_tokens(plan.from_block).saturating_sub(placement.prefill_tokens);
    let recompute_ms = spared.get().saturating_mul(1_000) / candidate.prefill_rate.get().max(1);
    Some(PlannedImport { from_block: plan.from_block, blocks: plan.blocks, recompute_ms })
}

/// Returns whether an endpoint of this phase can get new requests, now or when it has room.
fn takes_requests(phase: EndpointPhase) -> bool {
    !matches!(phase, EndpointPhase::Leaving | EndpointPhase::Silent)
}

/// Makes a short request without anything particular.
fn ordinary_request(sending_nodes: u32) -> PlacementRequest {
    PlacementRequest {
        prompt: Tokens::new(1),
        prompt_blocks: 0,
        block_size: DEFAULT_BLOCK_PAYLOAD,
        is_suspect: false,
        sending_nodes,
        sources: Vec::new(),
    }
}
