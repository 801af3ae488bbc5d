//! Chooses the endpoint that runs a request.
//!
//! [`LeastLoaded`] and [`PrefixAffinity`] take all endpoints as equally fast. [`expected_time`] has
//! the strategies for services whose endpoints report how fast they are.

pub mod expected_time;

use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{EndpointId, Tokens};

use super::endpoint_speed::RequestWork;
use super::route::PromptPart;

pub use expected_time::{CandidateSpeed, ExpectedTime, ExpectedTimeAffinity};

/// How far an endpoint is from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// An endpoint that may run a request.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// Its distance from this node.
    pub distance: Distance,
    /// Estimated number of its requests, from all nodes.
    pub load: f64,
    /// Estimated tokens in the prompts of those requests.
    pub load_tokens: f64,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Moving average of its failed answers, from 0 to 1.
    pub failure_rate: f64,
    /// How fast it is expected to be; `None` if the endpoints of its service do not report it.
    pub speed: Option<CandidateSpeed>,
}

/// The properties of a request that its placement depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The parts of its prompt; empty for a request without a prompt.
    pub parts: &'a [PromptPart],
    /// A random number that breaks ties.
    pub random: u64,
}

/// A strategy for choosing an endpoint.
pub trait Placement: Send + Sync {
    /// Returns the position of the chosen candidate, or `None` if `candidates` is empty.
    fn choose(&self, request: &PlacementRequest<'_>, candidates: &[Candidate<'_>])
    -> Option<usize>;

    /// Returns the position of the endpoint that has most likely cached the shared prefix of the
    /// prompt. The default is `None`, for strategies that ignore prompts.
    fn preferred(
        &self,
        _request: &PlacementRequest<'_>,
        _endpoints: &[&EndpointId],
    ) -> Option<usize> {
        None
    }

    /// Returns the position of the candidate to which this node sends requests with the same shared
    /// prefix as long as it is not busy. The default is the one that [`preferred`](Self::preferred)
    /// returns.
    fn home(&self, request: &PlacementRequest<'_>, candidates: &[Candidate<'_>]) -> Option<usize> {
        let endpoints: Vec<&EndpointId> =
            candidates.iter().map(|candidate| candidate.endpoint).collect();
        self.preferred(request, &endpoints)
    }
}

/// Chooses the endpoint with the smallest share of its slots in use, and weighs distance and
/// failures against it.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

/// Cost of each [`Distance`], as a share of an endpoint's slots: it is better to run a request of
/// 15 ms two zones away than behind another request.
const DISTANCE_COST: [f64; 3] = [0.0, 0.25, 0.75];

/// Cost of an endpoint that always fails, as a multiple of its slots.
const FAILURE_COST: f64 = 4.0;

impl Placement for LeastLoaded {
    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let cost = |candidate: &Candidate<'_>| {
            let slots = f64::from(candidate.slots.max(1));
            let distance = DISTANCE_COST[candidate.distance as usize];
            candidate.load / slots + distance + FAILURE_COST * candidate.failure_rate
        };
        min_by_cost(candidates, request.random, cost)
    }
}

/// Chooses the endpoint that has most likely cached the shared prefix of the prompt.
///
/// By rendezvous hashing, all nodes rank the endpoints for a prefix in the same order without
/// communication. A request goes to the first endpoint in this order whose load in tokens is not
/// far above the mean, so a popular prefix spreads over a few endpoints.
#[derive(Debug, Clone, Copy)]
pub struct PrefixAffinity {
    load_factor: f64,
    load_slack: Tokens,
}

impl Default for PrefixAffinity {
    /// Allows twice the mean load plus 80,000 tokens. A tighter bound spreads the same parts over
    /// more endpoints, and more of them are prefilled again.
    fn default() -> Self {
        Self { load_factor: 2.0, load_slack: Tokens::new(80_000) }
    }
}

impl PrefixAffinity {
    /// Sets how far above the mean the load of the chosen endpoint may be: `factor` times the mean
    /// plus `slack`.
    pub fn load_bound(mut self, factor: f64, slack: Tokens) -> Self {
        self.load_factor = factor;
        self.load_slack = slack;
        self
    }

    /// Returns the part by which a prompt is placed: the last shared part.
    fn affinity_part(parts: &[PromptPart]) -> Option<&PromptPart> {
        shared_parts(parts).last()
    }
}

/// Returns the parts of a prompt that other requests may share: all but the last, which is the
/// request's own, or the only one.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    match parts {
        [shared @ .., _] if !shared.is_empty() => shared,
        _ => parts,
    }
}

/// Returns what a request needs at the endpoint that has most likely cached the shared parts of its
/// prompt, and elsewhere. The output is not known here.
pub fn prompt_work(parts: &[PromptPart], is_shared_cached: bool) -> RequestWork {
    let tokens = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens).sum::<Tokens>();
    let prompt = tokens(parts);
    let uncached = match is_shared_cached {
        true => prompt.saturating_sub(tokens(shared_parts(parts))),
        false => prompt,
    };
    RequestWork { prompt, uncached, output: Tokens::ZERO }
}

/// Returns the rank of an endpoint for a prompt prefix; all nodes compute the same value.
fn rank(key: &PromptPart, endpoint: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key.id.as_str(), endpoint.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Load that is added to an endpoint that always fails: about the capacity of an engine's KV cache.
const FAILURE_COST_TOKENS: f64 = 160_000.0;

impl Placement for PrefixAffinity {
    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let load = |candidate: &Candidate<'_>| {
            candidate.load_tokens + FAILURE_COST_TOKENS * candidate.failure_rate
        };
        let Some(key) = Self::affinity_part(request.parts) else {
            return min_by_cost(candidates, request.random, |candidate| candidate.load);
        };
        let mean = candidates.iter().map(load).sum::<f64>() / candidates.len().max(1) as f64;
        let bound = self.load_factor * mean + self.load_slack.get() as f64;
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| load(candidate) <= bound)
            .max_by_key(|(_, candidate)| rank(key, candidate.endpoint))
            .map(|(position, _)| position)
            .or_else(|| min_by_cost(candidates, request.random, load))
    }

    fn preferred(
        &self,
        request: &PlacementRequest<'_>,
        endpoints: &[&EndpointId],
    ) -> Option<usize> {
        let key = Self::affinity_part(request.parts)?;
        (0..endpoints.len()).max_by_key(|&position| rank(key, endpoints[position]))
    }
}

/// Bound on the mean load of endpoints with the target weights, relative to the mean load of
/// endpoints with older weights: a factor, and a slack in requests.
const CURRENT_LOAD_BOUND: (f64, f64) = (2.0, 6.0);

/// Returns whether a request should go only to endpoints with the target weights.
///
/// Answers from older weights are less useful, but the first endpoints that have the target weights
/// cannot handle all requests.
pub fn prefers_current(current: &[Candidate<'_>], outdated: &[Candidate<'_>]) -> bool {
    let mean = |candidates: &[Candidate<'_>]| {
        candidates.iter().map(|candidate| candidate.load).sum::<f64>()
            / candidates.len().max(1) as f64
    };
    let (factor, slack) = CURRENT_LOAD_BOUND;
    !current.is_empty() && mean(current) <= factor * mean(outdated) + slack
}

/// Returns the position of the candidate with the lowest cost. The search starts at a random
/// position, so that candidates of equal cost get equal shares.
fn min_by_cost(
    candidates: &[Candidate<'_>],
    random: u64,
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(random % (count.max(1) as u64)).unwrap_or_default();
    (0..count)
        .map(|offset| (start + offset) % count)
        .min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}
