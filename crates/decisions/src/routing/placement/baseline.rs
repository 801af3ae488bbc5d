//! Plain policies to compare with.

use std::sync::atomic::{AtomicUsize, Ordering};

use rand::{Rng, RngExt};

use super::candidate::eligible;
use super::{Candidate, NoPlacement, Placement, PlacementPolicy, PlacementRequest};

/// Chooses any candidate that can take the request.
#[derive(Debug, Default)]
pub struct RandomPolicy;

impl PlacementPolicy for RandomPolicy {
    fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut dyn Rng,
    ) -> Result<Placement, NoPlacement> {
        let eligible = eligible(request, candidates)?;
        let position = eligible[random.random_range(0..eligible.len())];
        Ok(candidates[position].plain_placement(request, position))
    }
}

/// Chooses the candidates that can take the request one after the other.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    next: AtomicUsize,
}

impl PlacementPolicy for RoundRobinPolicy {
    fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        _random: &mut dyn Rng,
    ) -> Result<Placement, NoPlacement> {
        let eligible = eligible(request, candidates)?;
        // The turn counts eligible candidates only: counting all of them sent every turn of a gap to
        // the candidate behind it.
        let position = eligible[self.next.fetch_add(1, Ordering::Relaxed) % eligible.len()];
        Ok(candidates[position].plain_placement(request, position))
    }
}

/// Chooses the candidate with the fewest requests; the first of several.
#[derive(Debug, Default)]
pub struct LeastLoadedPolicy;

impl PlacementPolicy for LeastLoadedPolicy {
    fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        _random: &mut dyn Rng,
    ) -> Result<Placement, NoPlacement> {
        let mut eligible = eligible(request, candidates)?;
        eligible.sort_by_key(|&position| candidates[position].outstanding_requests());
        Ok(candidates[eligible[0]].plain_placement(request, eligible[0]))
    }
}
