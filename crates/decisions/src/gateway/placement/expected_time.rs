//! Strategies for services whose endpoints report how fast they are.
//!
//! What a node knows of an endpoint is old, and other nodes know the same. If each node took the
//! endpoint with the lowest estimate, all would go to the one that has just reported well. So a
//! strategy compares a few candidates that are drawn at random, with weights that follow from their
//! speeds.

use super::{
    Candidate, DISTANCE_COST, FAILURE_COST, LeastLoaded, Placement, PlacementRequest,
    PrefixAffinity, rank, shared_parts,
};
use crate::gateway::route::PromptPart;
use yuccapass_types::{EndpointId, Tokens};

/// How fast an endpoint is expected to run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateSpeed {
    /// Expected time of work there, as a multiple of the usual time.
    pub factor: f64,
    /// The part of `factor` that lasts for some seconds.
    pub lasting_factor: f64,
    /// Expected time until the answer begins, in milliseconds, if the shared parts of the prompt are
    /// cached.
    pub wait_ms: f64,
    /// Expected time to prefill a token, in milliseconds.
    pub token_ms: f64,
    /// How long a request runs at the usual speed, in milliseconds.
    pub run_ms: f64,
    /// Whether the endpoint is slow, and this node may not try it yet whether it has recovered.
    pub is_barred: bool,
}

/// Chooses the endpoint whose slots are free soonest, of two that are drawn with probabilities in
/// proportion to their speeds. Without reported speeds it is [`LeastLoaded`].
#[derive(Debug, Clone, Copy, Default)]
pub struct ExpectedTime;

impl Placement for ExpectedTime {
    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let Some(allowed) = allowed(candidates) else {
            return LeastLoaded.choose(request, candidates);
        };
        let mut draws = Draws::new(request.random);
        let first = draws.take(candidates, &allowed, None)?;
        let second = draws.take(candidates, &allowed, Some(first)).unwrap_or(first);
        let cost = |position: usize| slot_cost(&candidates[position]);
        Some(if cost(second) < cost(first) { second } else { first })
    }
}

/// Returns the share of an endpoint's slots that are in use with one more request, as the time that
/// they need, with its distance and its failures.
fn slot_cost(candidate: &Candidate<'_>) -> f64 {
    let share = (candidate.load + 1.0) / f64::from(candidate.slots.max(1));
    let distance = DISTANCE_COST[candidate.distance as usize];
    share * factor(candidate) + distance + FAILURE_COST * candidate.failure_rate
}

/// Chooses the endpoint that has most likely cached the shared parts of a prompt, unless another one
/// is expected to begin sooner although it has to prefill them. Without reported speeds it is
/// [`PrefixAffinity`].
///
/// The endpoint is compared with the next one in the order of the prefix, where its requests go
/// together when the first is busy, and that with one that is drawn at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExpectedTimeAffinity {
    base: PrefixAffinity,
}

impl Placement for ExpectedTimeAffinity {
    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let Some(allowed) = allowed(candidates) else {
            return self.base.choose(request, candidates);
        };
        let mut draws = Draws::new(request.random);
        let drawn = draws.take(candidates, &allowed, None)?;
        let Some(key) = PrefixAffinity::affinity_part(request.parts) else {
            let other = draws.take(candidates, &allowed, Some(drawn)).unwrap_or(drawn);
            let is_sooner = begin_ms(&candidates[other]) < begin_ms(&candidates[drawn]);
            return Some(if is_sooner { other } else { drawn });
        };
        let shared: Tokens = shared_parts(request.parts).iter().map(|part| part.tokens).sum();
        let mut order = ranked(key, candidates, &allowed);
        let (first, second) = (order.next()?, order.next());
        let sooner = |chosen: usize, other: usize| {
            let uncached_ms = PREFILL_COST * prefill_ms(&candidates[other], shared);
            let gain_ms = begin_ms(&candidates[chosen]) - begin_ms(&candidates[other]);
            if other != chosen && gain_ms > uncached_ms { other } else { chosen }
        };
        Some(sooner(sooner(first, second.unwrap_or(first)), drawn))
    }

    fn home(&self, request: &PlacementRequest<'_>, candidates: &[Candidate<'_>]) -> Option<usize> {
        let key = PrefixAffinity::affinity_part(request.parts)?;
        let positions = allowed(candidates).unwrap_or_else(|| (0..candidates.len()).collect());
        ranked(key, candidates, &positions).next()
    }

    fn preferred(
        &self,
        request: &PlacementRequest<'_>,
        endpoints: &[&EndpointId],
    ) -> Option<usize> {
        self.base.preferred(request, endpoints)
    }
}

/// Cost of prefilling the shared parts again, as a multiple of the time that it takes: the request
/// waits for it, so do those that come after it, and what is evicted has to be prefilled again.
const PREFILL_COST: f64 = 3.0;

/// Returns the two endpoints to which a prefix goes first. By weighted rendezvous hashing, an endpoint
/// gets a share of the prefixes in proportion to its lasting speed, and a change of one speed moves
/// only the prefixes of that endpoint.
fn ranked(
    key: &PromptPart,
    candidates: &[Candidate<'_>],
    positions: &[usize],
) -> impl Iterator<Item = usize> {
    let cost = |position: usize| {
        let candidate = &candidates[position];
        // The hash as a number above 0, at most 1.
        let unit = ((rank(key, candidate.endpoint) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -unit.ln() * candidate.speed.map_or(1.0, |speed| speed.lasting_factor).max(MIN_FACTOR)
    };
    let mut best: [Option<(f64, usize)>; 2] = [None, None];
    for &position in positions {
        let entry = (cost(position), position);
        if best[0].is_none_or(|first| entry.0 < first.0) {
            best = [Some(entry), best[0]];
        } else if best[1].is_none_or(|second| entry.0 < second.0) {
            best[1] = Some(entry);
        }
    }
    best.into_iter().flatten().map(|(_, position)| position)
}

/// Returns the expected time until an answer begins. A failed attempt costs the time of several runs,
/// as for [`LeastLoaded`].
fn begin_ms(candidate: &Candidate<'_>) -> f64 {
    candidate
        .speed
        .map_or(0.0, |speed| speed.wait_ms + FAILURE_COST * candidate.failure_rate * speed.run_ms)
}

fn prefill_ms(candidate: &Candidate<'_>, tokens: Tokens) -> f64 {
    candidate.speed.map_or(0.0, |speed| speed.token_ms * tokens.get() as f64)
}

fn factor(candidate: &Candidate<'_>) -> f64 {
    candidate.speed.map_or(1.0, |speed| speed.factor)
}

/// Returns the positions of the candidates that are not barred, or all if there is no other; `None`
/// if no speed is known.
fn allowed(candidates: &[Candidate<'_>]) -> Option<Vec<usize>> {
    candidates.iter().any(|candidate| candidate.speed.is_some()).then(|| {
        let is_barred =
            |position: &usize| candidates[*position].speed.is_some_and(|speed| speed.is_barred);
        let positions = 0..candidates.len();
        match positions.clone().all(|position| is_barred(&position)) {
            true => positions.collect(),
            false => positions.filter(|position| !is_barred(position)).collect(),
        }
    })
}

/// Draws candidates from one random number.
struct Draws {
    random: u64,
}

impl Draws {
    fn new(random: u64) -> Self {
        Self { random }
    }

    /// Draws one of the candidates at these positions except one, with a probability in proportion to
    /// its slots, its speed and its nearness.
    fn take(
        &mut self,
        candidates: &[Candidate<'_>],
        positions: &[usize],
        except: Option<usize>,
    ) -> Option<usize> {
        let weight = |position: usize| {
            let candidate = &candidates[position];
            let nearness = (-DISTANCE_SPREAD * DISTANCE_COST[candidate.distance as usize]).exp();
            f64::from(candidate.slots.max(1)) * nearness / factor(candidate).max(MIN_FACTOR)
        };
        let others = || positions.iter().copied().filter(|position| Some(*position) != except);
        let total: f64 = others().map(weight).sum();
        let mut left = self.next_unit() * total;
        for position in others() {
            left -= weight(position);
            if left < 0.0 {
                return Some(position);
            }
        }
        others().next_back()
    }

    /// Returns a number from 0 up to 1 (the output function of SplitMix64).
    fn next_unit(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// How much less often a distant endpoint is drawn, as the exponent for each unit of its cost.
const DISTANCE_SPREAD: f64 = 2.0;

/// Lowest factor in the weights, so that a report of zero work does not draw all requests.
const MIN_FACTOR: f64 = 0.1;
