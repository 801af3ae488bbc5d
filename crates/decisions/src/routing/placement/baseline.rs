//! Simple policies as baselines for [`CostPolicy`](super::CostPolicy).

use std::sync::atomic::{AtomicUsize, Ordering};

use rand::{Rng, RngExt};

use super::candidate::eligible_positions;
use super::{Candidate, NoPlacement, Placement, PlacementPolicy, PlacementRequest};

/// Chooses a random candidate that can take the request.
#[derive(Debug, Default)]
pub struct RandomPolicy;

impl PlacementPolicy for RandomPolicy {
    fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut dyn Rng,
    ) -> Result<Placement, NoPlacement> {
        let eligible = eligible_positions(request, candidates)?;
        let position = eligible[random.random_range(0..eligible.len())];
        Ok(candidates[position].placement_without_import(request, position))
    }
}

/// Chooses the candidates that can take the request in turn.
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
        let eligible = eligible_positions(request, candidates)?;
        // The counter runs over the eligible candidates only. Counting all of them would give the
        // turns of the ineligible ones to the next eligible one.
        let position = eligible[self.next.fetch_add(1, Ordering::Relaxed) % eligible.len()];
        Ok(candidates[position].placement_without_import(request, position))
    }
}

/// Chooses the candidate with the fewest outstanding requests, the first one among equals.
#[derive(Debug, Default)]
pub struct LeastLoadedPolicy;

impl PlacementPolicy for LeastLoadedPolicy {
    fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        _random: &mut dyn Rng,
    ) -> Result<Placement, NoPlacement> {
        let mut eligible = eligible_positions(request, candidates)?;
        eligible.sort_by_key(|&position| candidates[position].outstanding_requests());
        Ok(candidates[eligible[0]].placement_without_import(request, eligible[0]))
    }
}
