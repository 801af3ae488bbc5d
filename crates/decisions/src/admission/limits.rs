//! Token rates of organisations, held by all nodes of a zone together.

use yuccapass_types::{
    Deadline, Instant, OrganisationId, Sharded, SortedMap, Tokens, TokensPerSecond,
};

/// Length of a window in which demand is counted.
const WINDOW_MS: u64 = 10_000;

/// How long the demand that other nodes report is used.
const ZONE_DEMAND_MS: u64 = 15_000;

/// Shards in a [`Sharded`] table, for the bound of each.
const SHARDS: usize = 64;

/// Returns a node's part of an organisation's limit: half of the limit evenly, half by demand.
///
/// `zone_demand` is the demand at all nodes of the zone, this one included. Without it the limit is
/// divided evenly. The parts of all nodes add up to the limit, apart from rounding down, if all know
/// the same number of nodes and the same demand.
pub fn node_share(
    limit: TokensPerSecond,
    nodes: u32,
    own_demand: TokensPerSecond,
    zone_demand: Option<TokensPerSecond>,
) -> TokensPerSecond {
    let (limit, nodes) = (u128::from(limit.get()), u128::from(nodes.max(1)));
    let even = limit / nodes;
    let share = match zone_demand.map(|demand| u128::from(demand.max(own_demand).get())) {
        None | Some(0) => even,
        Some(zone) => limit * (zone + nodes * u128::from(own_demand.get())) / (2 * nodes * zone),
    };
    TokensPerSecond::new(u64::try_from(share).unwrap_or(u64::MAX))
}

/// Bounds of [`OrganisationLimits`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    max_organisations: usize,
    burst_ms: u64,
}

impl Default for LimitSettings {
    /// 32,768 organisations, bursts of 2 s.
    fn default() -> Self {
        Self { max_organisations: 32_768, burst_ms: 2_000 }
    }
}

impl LimitSettings {
    /// Sets the largest number of organisations; default 32,768, above the target of 23,000. The one
    /// that asked longest ago is forgotten first.
    pub fn max_organisations(mut self, max_organisations: usize) -> Self {
        self.max_organisations = max_organisations;
        self
    }

    /// Sets what an organisation can use at once after a pause, in time at its rate; default 2 s.
    pub fn burst_ms(mut self, burst_ms: u64) -> Self {
        self.burst_ms = burst_ms;
        self
    }
}

/// What an organisation may do at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request may go on.
    Admitted,
    /// The limit is reached; the request has not run.
    Rejected {
        /// When the allowance is positive again.
        retry_after_ms: u64,
    },
}

/// The limit of an organisation and the nodes that hold it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneLimit {
    /// The limit over all nodes of the zone.
    pub limit: TokensPerSecond,
    /// Nodes of the zone.
    pub nodes: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    window: u64,
    current_tokens: u64,
    previous_tokens: u64,
}

impl Demand {
    fn advance(&mut self, now: Instant) {
        let window = now.as_ms() / WINDOW_MS;
        if window > self.window {
            let is_next = window == self.window + 1;
            self.previous_tokens = if is_next { self.current_tokens } else { 0 };
            self.current_tokens = 0;
            self.window = window;
        }
    }

    fn record(&mut self, tokens: u64, now: Instant) {
        self.advance(now);
        self.current_tokens = self.current_tokens.saturating_add(tokens);
    }

    /// Returns the rate over the last window's length, with the earlier window counted in part.
    fn rate(&mut self, now: Instant) -> TokensPerSecond {
        self.advance(now);
        let rest_ms = WINDOW_MS - now.as_ms() % WINDOW_MS;
        let earlier = self.previous_tokens.saturating_mul(rest_ms) / WINDOW_MS;
        TokensPerSecond::new((earlier + self.current_tokens).saturating_mul(1_000) / WINDOW_MS)
    }
}

#[derive(Debug, Clone)]
struct Bucket {
    // In thousandths of a token; below zero after a request that was larger than the allowance.
    level: i64,
    updated: Instant,
    demand: Demand,
    exchanged: Option<Exchanged>,
}

/// Demand at the time when it was exchanged. A node that compared its newest demand with an older
/// one of the others took too large a part while demand rose.
#[derive(Debug, Clone, Copy)]
struct Exchanged {
    own: TokensPerSecond,
    zone: TokensPerSecond,
    until: Deadline,
}

impl Bucket {
    fn new(limit: ZoneLimit, burst_ms: u64, now: Instant) -> Self {
        let share = node_share(limit.limit, limit.nodes, TokensPerSecond::ZERO, None);
        let level = millitokens(share, burst_ms);
        Self { level, updated: now, demand: Demand::default(), exchanged: None }
    }

    fn share(&self, limit: ZoneLimit, now: Instant) -> TokensPerSecond {
        let exchanged = self.exchanged.filter(|exchanged| !exchanged.until.has_passed(now));
        let own = exchanged.map_or(TokensPerSecond::ZERO, |exchanged| exchanged.own);
        node_share(limit.limit, limit.nodes, own, exchanged.map(|exchanged| exchanged.zone))
    }

    fn refill(&mut self, share: TokensPerSecond, burst_ms: u64, now: Instant) {
        let earned = millitokens(share, now.ms_since(self.updated));
        self.level = self.level.saturating_add(earned).min(millitokens(share, burst_ms));
        self.updated = self.updated.max(now);
    }

    fn admit(&mut self, cost: Tokens, share: TokensPerSecond) -> LimitDecision {
        if self.level <= 0 {
            let missing = self.level.unsigned_abs();
            let retry_after_ms = (missing / share.get().max(1)).saturating_add(1);
            return LimitDecision::Rejected { retry_after_ms };
        }
        self.charge(cost.get());
        LimitDecision::Admitted
    }

    fn charge(&mut self, tokens: u64) {
        let cost = i64::try_from(tokens.saturating_mul(1_000)).unwrap_or(i64::MAX);
        self.level = self.level.saturating_sub(cost);
    }
}

fn millitokens(rate: TokensPerSecond, ms: u64) -> i64 {
    i64::try_from(rate.get().saturating_mul(ms)).unwrap_or(i64::MAX)
}

/// Limits of organisations at this node.
///
/// A request is admitted while the organisation's allowance is positive and may then take it below
/// zero, so that a request larger than a burst can run at all; the rate still holds on average.
#[derive(Debug)]
pub struct OrganisationLimits {
    settings: LimitSettings,
    shards: Sharded<SortedMap<OrganisationId, Bucket>>,
}

impl OrganisationLimits {
    /// Makes limits without any organisation.
    pub fn new(settings: LimitSettings) -> Self {
        Self { settings, shards: Sharded::default() }
    }

    /// Asks for the expected tokens of a request.
    pub fn try_admit(
        &self,
        organisation: &OrganisationId,
        limit: ZoneLimit,
        cost: Tokens,
        now: Instant,
    ) -> LimitDecision {
        let burst_ms = self.settings.burst_ms;
        self.with_bucket(organisation, limit, now, |bucket| {
            let share = bucket.share(limit, now);
            bucket.refill(share, burst_ms, now);
            // Rejected requests are demand too, or a node that rejects would get a smaller part.
            bucket.demand.record(cost.get(), now);
            bucket.admit(cost, share)
        })
    }

    /// Corrects the expected tokens of a request by those that it used.
    pub fn adjust(&self, organisation: &OrganisationId, expected: Tokens, used: Tokens) {
        self.shards.with(organisation, |shard| {
            let Some(bucket) = shard.get_mut(organisation) else { return };
            bucket.charge(used.saturating_sub(expected).get());
            let unused = expected.saturating_sub(used).get().saturating_mul(1_000);
            bucket.level = bucket.level.saturating_add_unsigned(unused);
        });
    }

    /// Takes from heartbeats the demand of an organisation at all other nodes of the zone.
    ///
    /// It is to be given only if every one of them is known to have reported the organisation or to
    /// have no demand of it.
    pub fn set_other_demand(
        &self,
        organisation: &OrganisationId,
        demand: TokensPerSecond,
        now: Instant,
    ) {
        self.shards.with(organisation, |shard| {
            if let Some(bucket) = shard.get_mut(organisation) {
                let own = bucket.demand.rate(now);
                let until = Deadline::after_ms(now, ZONE_DEMAND_MS);
                bucket.exchanged = Some(Exchanged { own, zone: own + demand, until });
            }
        });
    }

    /// Returns the organisations with the largest demand at this node, for heartbeats.
    pub fn largest_demands(
        &self,
        max_organisations: usize,
        now: Instant,
    ) -> Vec<(OrganisationId, TokensPerSecond)> {
        let mut demands = self.shards.fold(Vec::new(), |mut demands, shard| {
            let rates = shard.iter().map(|(organisation, bucket)| {
                let mut demand = bucket.demand;
                (organisation, demand.rate(now))
            });
            let active = rates.filter(|(_, rate)| *rate > TokensPerSecond::ZERO);
            demands.extend(active.map(|(organisation, rate)| (organisation.clone(), rate)));
            demands
        });
        demands.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        demands.truncate(max_organisations);
        demands
    }

    /// Returns the number of organisations that are tracked.
    pub fn tracked_organisations(&self) -> usize {
        self.shards.fold(0, |sum, shard| sum + shard.len())
    }

    fn with_bucket<R>(
        &self,
        organisation: &OrganisationId,
        limit: ZoneLimit,
        now: Instant,
        action: impl FnOnce(&mut Bucket) -> R,
    ) -> R {
        let max_organisations = (self.settings.max_organisations / SHARDS).max(1);
        let burst_ms = self.settings.burst_ms;
        self.shards.with(organisation, |shard| {
            if shard.len() >= max_organisations && !shard.contains_key(organisation) {
                forget_one(shard);
            }
            let make_bucket = || Bucket::new(limit, burst_ms, now);
            action(shard.get_or_insert_with(organisation.clone(), make_bucket))
        })
    }
}

fn forget_one(shard: &mut SortedMap<OrganisationId, Bucket>) {
    let oldest = shard.iter().min_by_key(|(_, bucket)| bucket.updated);
    if let Some(organisation) = oldest.map(|(organisation, _)| organisation.clone()) {
        shard.remove(&organisation);
    }
}
