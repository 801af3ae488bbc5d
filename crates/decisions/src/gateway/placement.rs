//! Where a request runs.

use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{EndpointId, Tokens};

use super::route::PromptPart;

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
    /// How far away it is.
    pub distance: Distance,
    /// Requests that are there, from all nodes as far as known.
    pub load: f64,
    /// Tokens of the prompts of those requests.
    pub load_tokens: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Moving share of its answers that were failures, from 0 to 1.
    pub failure_rate: f64,
}

/// What a placement considers of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The parts of its prompt; none for a request to a plain service.
    pub parts: &'a [PromptPart],
    /// A number drawn at random for this choice.
    pub random: u64,
}

/// A way to choose an endpoint.
pub trait Placement: Send + Sync {
    /// Returns the position of the chosen candidate; `None` only if there is none.
    fn choose(&self, request: &PlacementRequest<'_>, candidates: &[Candidate<'_>])
    -> Option<usize>;

    /// Returns the position of the endpoint that most likely has cached the shared beginning of the
    /// prompt, if there is such a one.
    fn preferred(
        &self,
        _request: &PlacementRequest<'_>,
        _endpoints: &[&EndpointId],
    ) -> Option<usize> {
        None
    }
}

/// Chooses the endpoint with the smallest part of its slots taken, the nearer one of two that are
/// alike.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

/// Load that a step further away is worth, as a part of the slots: a request of 15 ms is better
/// served two zones away than behind another one.
const DISTANCE_COST: [f64; 3] = [0.0, 0.25, 0.75];

/// Load that an endpoint which always fails is worth, as a part of the slots.
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

/// Chooses the endpoint that has most likely cached the shared beginning of the prompt.
///
/// All nodes rank the endpoints for a beginning in the same order, without telling each other
/// (rendezvous hashing), and take the first one whose memory is not much more in use than that of
/// the others. A beginning that is asked for a lot thus spreads over a few endpoints.
#[derive(Debug, Clone, Copy)]
pub struct PrefixAffinity {
    load_factor: f64,
    load_slack: Tokens,
}

impl Default for PrefixAffinity {
    /// Twice the mean load and 80,000 tokens more. A tighter bound spreads the same parts over more
    /// endpoints, and more of them are read again.
    fn default() -> Self {
        Self { load_factor: 2.0, load_slack: Tokens::new(80_000) }
    }
}

impl PrefixAffinity {
    /// Sets how far above the mean the load of the chosen endpoint may be.
    pub fn load_bound(mut self, factor: f64, slack: Tokens) -> Self {
        self.load_factor = factor;
        self.load_slack = slack;
        self
    }

    /// Returns the part by which a prompt is placed: the last one before that of the request itself.
    fn affinity_part(parts: &[PromptPart]) -> Option<&PromptPart> {
        parts.len().checked_sub(2).map_or_else(|| parts.last(), |position| parts.get(position))
    }
}

/// Ranks an endpoint for a beginning of prompts; all nodes compute the same rank.
fn rank(key: &PromptPart, endpoint: &EndpointId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key.id.as_str(), endpoint.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Tokens that an endpoint which always fails counts as fuller than it is: about an engine's memory.
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

/// How far above the mean load of endpoints with replaced weights that of endpoints with the named
/// ones may be, as a factor and in requests.
const CURRENT_LOAD_BOUND: (f64, f64) = (2.0, 6.0);

/// Returns whether a request should go to one of the endpoints with the named weights, rather than
/// to any. An answer on replaced weights is worth less, but the first endpoints that have new
/// weights cannot take all requests.
pub fn prefers_current(current: &[Candidate<'_>], outdated: &[Candidate<'_>]) -> bool {
    let mean = |candidates: &[Candidate<'_>]| {
        candidates.iter().map(|candidate| candidate.load).sum::<f64>()
            / candidates.len().max(1) as f64
    };
    let (factor, slack) = CURRENT_LOAD_BOUND;
    !current.is_empty() && mean(current) <= factor * mean(outdated) + slack
}

/// Returns the position of the least cost; the search starts at a random place, so that equal ones
/// get equal shares.
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
