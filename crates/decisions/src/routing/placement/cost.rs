//! Placement by expected time to first token.

use rand::{Rng, RngExt};
use yuccapass_types::{Bytes, Tokens, TokensPerSecond};

use super::candidate::eligible;
use super::{
    Candidate, ImportPlan, ImportSource, NoPlacement, Placement, PlacementPolicy, PlacementRequest,
    ZoneDistance,
};

/// Weights of [`CostPolicy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CostSettings {
    other_zone_us: u64,
    other_region_us: u64,
    wait_weight_percent: u64,
    max_wait_us: u64,
    tie_us: u64,
    tie_percent: u64,
}

impl Default for CostSettings {
    /// 2 ms for another zone, 24 ms for another region, queue wait counted once and at most
    /// 500 ms, costs within 2 ms or 5 % taken as equal.
    fn default() -> Self {
        Self {
            other_zone_us: 2_000,
            other_region_us: 24_000,
            wait_weight_percent: 100,
            max_wait_us: 500_000,
            tie_us: 2_000,
            tie_percent: 5,
        }
    }
}

impl CostSettings {
    /// Sets what an endpoint of another zone costs; default 2 ms, a round trip between zones.
    pub fn other_zone_us(mut self, other_zone_us: u64) -> Self {
        self.other_zone_us = other_zone_us;
        self
    }

    /// Sets what an endpoint of another region costs; default 24 ms, a round trip between regions.
    pub fn other_region_us(mut self, other_region_us: u64) -> Self {
        self.other_region_us = other_region_us;
        self
    }

    /// Sets the weight of the queue wait against prompt processing; default 100 %.
    pub fn wait_weight_percent(mut self, wait_weight_percent: u64) -> Self {
        self.wait_weight_percent = wait_weight_percent;
        self
    }

    /// Sets the longest expected queue wait at an endpoint; default 500 ms.
    ///
    /// The other nodes are taken to have sent as much as this one since the load reports, evenly over
    /// the endpoints. Work beyond
    /// the bound waits at the node, where it stays fair and can still choose. With the prompt's
    /// processing, 500 ms keep within 1.2 s to first token.
    pub fn max_wait_us(mut self, max_wait_us: u64) -> Self {
        self.max_wait_us = max_wait_us;
        self
    }

    /// Sets the difference below which costs count as equal; default 2 ms or 5 %.
    pub fn tie(mut self, tie_us: u64, tie_percent: u64) -> Self {
        self.tie_us = tie_us;
        self.tie_percent = tie_percent;
        self
    }
}

/// Chooses the candidate with the shortest expected time to first token.
///
/// Of the candidates whose cost is nearly the lowest, two are drawn and the less loaded one is
/// taken, so that nodes with the same lagged reports do not all choose the same endpoint.
#[derive(Debug, Default)]
pub struct CostPolicy {
    settings: CostSettings,
}

impl CostPolicy {
    /// Makes a policy.
    pub fn new(settings: CostSettings) -> Self {
        Self { settings }
    }

    /// Returns the weighted cost without the preparation of the prompt, or `None` if the wait is too
    /// long.
    fn arrival_cost_us(&self, candidate: &Candidate, sent_by_others: Tokens) -> Option<u64> {
        let wait_us = wait_us(candidate);
        let others_us = prefill_us(candidate, sent_by_others);
        if wait_us.saturating_add(others_us) > self.settings.max_wait_us {
            return None;
        }
        let distance_us = match candidate.distance {
            ZoneDistance::SameZone => 0,
            ZoneDistance::SameRegion => self.settings.other_zone_us,
            ZoneDistance::OtherRegion => self.settings.other_region_us,
        };
        let weighted_us = wait_us.saturating_mul(self.settings.wait_weight_percent) / 100;
        Some(distance_us.saturating_add(weighted_us))
    }

    /// Returns the highest cost that still is a near tie with `best_us`.
    fn tie_limit_us(&self, best_us: u64) -> u64 {
        let share_us = best_us.saturating_mul(self.settings.tie_percent) / 100;
        best_us.saturating_add(self.settings.tie_us.max(share_us))
    }
}

impl PlacementPolicy for CostPolicy {
    fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut dyn Rng,
    ) -> Result<Placement, NoPlacement> {
        let eligible = eligible(request, candidates)?;
        let mut costs = Vec::with_capacity(eligible.len());
        let mut best_us = u64::MAX;
        let mut limit_us = u64::MAX;
        let by_others = sent_by_others(request, candidates, &eligible);
        let mut preparations = Preparations::new(request);
        for &position in &eligible {
            let candidate = &candidates[position];
            let arrival_us =
                self.arrival_cost_us(candidate, by_others).filter(|&us| us <= limit_us);
            let Some(arrival_us) = arrival_us else { continue };
            let cost_us = arrival_us.saturating_add(preparations.time_us(candidate));
            if cost_us < best_us {
                best_us = cost_us;
                limit_us = self.tie_limit_us(best_us);
            }
            costs.push((cost_us, position));
        }
        costs.retain(|&(cost_us, _)| cost_us <= limit_us);
        if costs.is_empty() {
            return Err(NoPlacement::Full);
        }
        let position = less_loaded_of_two(&costs, candidates, random);
        Ok(placement(request, &candidates[position], position))
    }
}

/// Returns the tokens that the other nodes sent to an endpoint since the load reports.
///
/// Each is taken to have sent as much as this one, evenly over the endpoints: this node's own choices
/// say little about where the others sent theirs.
fn sent_by_others(
    request: &PlacementRequest,
    candidates: &[Candidate],
    eligible: &[usize],
) -> Tokens {
    let own = eligible.iter().map(|&position| candidates[position].tokens_sent_since_report);
    let other_nodes = u64::from(request.sending_nodes.saturating_sub(1));
    let sent = own.sum::<Tokens>().get().saturating_mul(other_nodes);
    Tokens::new(sent / eligible.len().max(1) as u64)
}

/// Preparation times of one request.
///
/// Most candidates of a fleet have the same blocks and the same rate, so the last result is kept.
struct Preparations<'a> {
    request: &'a PlacementRequest,
    last: Option<(u32, TokensPerSecond, u64)>,
}

impl<'a> Preparations<'a> {
    fn new(request: &'a PlacementRequest) -> Self {
        Self { request, last: None }
    }

    fn time_us(&mut self, candidate: &Candidate) -> u64 {
        let (blocks, rate) = (candidate.cached_blocks, candidate.prefill_rate);
        if let Some((last_blocks, last_rate, time_us)) = self.last
            && (last_blocks, last_rate) == (blocks, rate)
        {
            return time_us;
        }
        let (_, time_us) = best_preparation(self.request, candidate);
        self.last = Some((blocks, rate, time_us));
        time_us
    }
}

fn less_loaded_of_two(
    costs: &[(u64, usize)],
    candidates: &[Candidate],
    random: &mut dyn Rng,
) -> usize {
    let mut draw = || costs[random.random_range(0..costs.len())];
    let (first, second) = (draw(), draw());
    let rank = |(cost, position): (u64, usize)| (candidates[position].outstanding_requests(), cost);
    if rank(first) <= rank(second) { first.1 } else { second.1 }
}

fn placement(request: &PlacementRequest, candidate: &Candidate, position: usize) -> Placement {
    let (import, prepare_us) = best_preparation(request, candidate);
    let present = import.map_or(candidate.cached_blocks, |plan| plan.from_block + plan.blocks);
    Placement {
        candidate: position,
        expected_first_token_us: wait_us(candidate).saturating_add(prepare_us),
        prefill_tokens: request.uncached_tokens(present),
        import,
        needs_permit: candidate.health.needs_permit(),
    }
}

/// Returns the expected time to first token if nothing is imported.
pub(super) fn first_token_us(candidate: &Candidate, prefill: Tokens) -> u64 {
    wait_us(candidate).saturating_add(prefill_us(candidate, prefill))
}

/// Returns how long the request waits for a place in the batch and for the prompts before it.
fn wait_us(candidate: &Candidate) -> u64 {
    slot_wait_us(candidate).max(backlog_us(candidate))
}

fn slot_wait_us(candidate: &Candidate) -> u64 {
    let places = candidate.max_running_requests.max(1);
    let Some(ahead) = candidate.outstanding_requests().checked_sub(places) else { return 0 };
    // A place becomes free every mean run time divided by the places.
    let run_us = candidate.mean_run_ms.saturating_mul(1000);
    run_us.saturating_mul(u64::from(ahead) + 1) / u64::from(places)
}

fn backlog_us(candidate: &Candidate) -> u64 {
    // The endpoint has worked on its backlog since the report. Counting in tokens leaves one
    // division, and none for an idle endpoint, which matters with hundreds of candidates.
    let processed = candidate.prefill_rate.get().saturating_mul(candidate.report_age_ms) / 1000;
    let remaining = candidate.prefill_backlog.saturating_sub(Tokens::new(processed));
    prefill_us(candidate, remaining + candidate.tokens_sent_since_report)
}

fn prefill_us(candidate: &Candidate, tokens: Tokens) -> u64 {
    if tokens == Tokens::ZERO {
        return 0;
    }
    tokens.get().saturating_mul(1_000_000) / candidate.prefill_rate.get().max(1)
}

/// Returns the quickest way to get the prompt processed, and its time.
fn best_preparation(
    request: &PlacementRequest,
    candidate: &Candidate,
) -> (Option<ImportPlan>, u64) {
    let cached = candidate.cached_blocks;
    let plain_us = prefill_us(candidate, request.uncached_tokens(cached));
    let mut best = (None, plain_us);
    for (position, source) in request.sources.iter().enumerate() {
        let Some((plan, import_us)) = import_plan(request, source, position, cached) else {
            continue;
        };
        let rest = request.uncached_tokens(plan.from_block + plan.blocks);
        let total_us = import_us.saturating_add(prefill_us(candidate, rest));
        if total_us < best.1 {
            best = (Some(plan), total_us);
        }
    }
    best
}

/// Returns the import of as many blocks as the allowance covers, and its time.
fn import_plan(
    request: &PlacementRequest,
    source: &ImportSource,
    position: usize,
    cached: u32,
) -> Option<(ImportPlan, u64)> {
    let missing = source.blocks.min(request.prompt_blocks).checked_sub(cached)?;
    let block_bytes = request.block_size.get().max(1);
    let allowed = source.allowance.get() / block_bytes;
    let blocks = missing.min(u32::try_from(allowed).unwrap_or(u32::MAX));
    if blocks == 0 || source.rate.get() == 0 {
        return None;
    }
    let bytes = Bytes::new(block_bytes.saturating_mul(u64::from(blocks)));
    let transfer_us = bytes.get().saturating_mul(1_000_000) / source.rate.get();
    let time_us = source.latency_ms.saturating_mul(1000).saturating_add(transfer_us);
    Some((ImportPlan { source: position, from_block: cached, blocks, bytes }, time_us))
}
