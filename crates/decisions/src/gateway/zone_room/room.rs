//! The summaries of other nodes that a node has received.

use yuccapass_types::{EndpointId, Incarnation, Instant, NodeId, SortedMap, Tokens};

use super::summary::{
    EndpointKey, EndpointUse, OtherLoad, OutstandingSum, OutstandingSummary, RoomReply, RoomStamp,
    SummaryScope, bounded, weight,
};
use crate::gateway::relay::confirmed_at;

/// What became of a summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
    /// It counts from now on.
    Merged,
    /// It has no stamp of this process, so its age is unknown.
    Unstamped,
    /// It is a late copy, comes from a process that has ended, or is too old.
    Outdated,
}

/// The last summary of a node.
#[derive(Debug, Clone)]
struct Known {
    incarnation: Incarnation,
    sequence: u64,
    scope: SummaryScope,
    // The counts are not older than this.
    as_of: Instant,
    sum: OutstandingSum,
}

impl Known {
    fn weight(&self, now: Instant) -> f64 {
        weight(now.ms_since(self.as_of))
    }
}

/// What this node knows of the outstanding requests of the other nodes of its zone.
#[derive(Debug, Clone)]
pub struct ZoneRoom {
    own: NodeId,
    incarnation: Incarnation,
    // What followers and other relays have told this node.
    told: SortedMap<NodeId, Known>,
    // What the relay that this node follows has told it.
    followed: Option<Known>,
}

impl ZoneRoom {
    /// Creates the state of a process that has received nothing.
    pub fn new(own: NodeId, incarnation: Incarnation) -> Self {
        Self { own, incarnation, told: SortedMap::new(), followed: None }
    }

    /// Records a summary that another node has attached to its request.
    pub fn record_summary(
        &mut self,
        from: (&NodeId, Incarnation),
        summary: OutstandingSummary,
        now: Instant,
    ) -> Receipt {
        let (node, incarnation) = from;
        let OutstandingSummary { scope, sequence, echo, sum } = summary;
        // The requests of a process end with it.
        self.told
            .retain(|known_node, known| known_node != node || known.incarnation >= incarnation);
        let is_own_stamp =
            |stamp: &RoomStamp| stamp.incarnation == self.incarnation && stamp.at <= now;
        let Some(stamp) = echo.filter(is_own_stamp).filter(|_| *node != self.own) else {
            return Receipt::Unstamped;
        };
        let as_of = confirmed_at(stamp.at, 0, sum.age_ms);
        self.record_told(node, Known { incarnation, sequence, scope, as_of, sum }, now)
    }

    /// Records the reply of another relay to a request sent at `sent_at` with the summary `sequence`. The
    /// relay replied `held_ms` after it got the request.
    pub fn record_relay_reply(
        &mut self,
        relay: &NodeId,
        sequence: u64,
        reply: &RoomReply,
        (sent_at, held_ms): (Instant, u64),
        now: Instant,
    ) -> Receipt {
        let known = known_of(reply, SummaryScope::Relay, sequence, (sent_at, held_ms));
        self.record_told(relay, known, now)
    }

    /// Records the reply of the relay that this node follows, as
    /// [`record_relay_reply`](Self::record_relay_reply) does.
    pub fn record_followed_reply(
        &mut self,
        sequence: u64,
        reply: &RoomReply,
        (sent_at, held_ms): (Instant, u64),
        now: Instant,
    ) -> Receipt {
        let known = known_of(reply, SummaryScope::Relay, sequence, (sent_at, held_ms));
        if known.weight(now) == 0.0 {
            return Receipt::Outdated;
        }
        self.followed = Some(known);
        Receipt::Merged
    }

    fn record_told(&mut self, node: &NodeId, known: Known, now: Instant) -> Receipt {
        // What has no weight any more is not needed to recognise late copies: these are too old as well.
        self.told.retain(|_, known| known.weight(now) > 0.0);
        let is_late = self.told.get(node).is_some_and(|last| {
            (known.incarnation, known.sequence) <= (last.incarnation, last.sequence)
        });
        if is_late || known.weight(now) == 0.0 {
            return Receipt::Outdated;
        }
        self.told.insert(node.clone(), known);
        Receipt::Merged
    }

    /// Returns the reply to a request with a summary. `own` are the counts of this node at present.
    pub fn reply(
        &self,
        asker: &NodeId,
        scope: SummaryScope,
        own: &OutstandingSum,
        now: Instant,
    ) -> RoomReply {
        let stamp = RoomStamp { incarnation: self.incarnation, at: now };
        let sum = match scope {
            SummaryScope::Node => self.merge(Some(own), |node, _| node != asker, now),
            SummaryScope::Relay => self.sum_of_followers(own, now),
        };
        RoomReply { stamp, sum }
    }

    /// Returns the counts of this relay and its followers, for other relays. Sums of other relays are left
    /// out: they exchange theirs themselves.
    pub fn sum_of_followers(&self, own: &OutstandingSum, now: Instant) -> OutstandingSum {
        self.merge(Some(own), |_, known| known.scope == SummaryScope::Node, now)
    }

    /// Returns the counts of all other nodes of the zone that this node knows.
    pub fn sum_of_others(&self, now: Instant) -> OutstandingSum {
        match &self.followed {
            Some(known) if known.weight(now) > 0.0 => Merge::of([known], now).finish(None),
            _ => self.merge(None, |_, _| true, now),
        }
    }

    /// Returns what the other nodes of the zone have outstanding at an endpoint.
    pub fn others(&self, endpoint: &EndpointId, now: Instant) -> OtherLoad {
        let sum = self.sum_of_others(now);
        let used = sum.uses.get(&EndpointKey::of(endpoint)).copied().unwrap_or_default();
        OtherLoad {
            requests: f64::from(used.requests),
            tokens: used.tokens.get() as f64,
            age_ms: (sum.nodes > 0).then_some(sum.age_ms),
        }
    }

    /// Returns what the other nodes of the zone have outstanding at these endpoints together, such as those
    /// of a service.
    pub fn demand<'a>(
        &self,
        endpoints: impl IntoIterator<Item = &'a EndpointId>,
        now: Instant,
    ) -> EndpointUse {
        let sum = self.sum_of_others(now);
        let keys = endpoints.into_iter().map(EndpointKey::of);
        let uses = keys.filter_map(|key| sum.uses.get(&key));
        uses.fold(EndpointUse::default(), |total, used| EndpointUse {
            requests: total.requests.saturating_add(used.requests),
            tokens: total.tokens + used.tokens,
            sent: total.sent.saturating_add(used.sent),
        })
    }

    fn merge(
        &self,
        own: Option<&OutstandingSum>,
        includes: impl Fn(&NodeId, &Known) -> bool,
        now: Instant,
    ) -> OutstandingSum {
        let included = self.told.iter().filter(|(node, known)| includes(node, known));
        Merge::of(included.map(|(_, known)| known), now).finish(own)
    }
}

fn known_of(
    reply: &RoomReply,
    scope: SummaryScope,
    sequence: u64,
    (sent_at, held_ms): (Instant, u64),
) -> Known {
    Known {
        incarnation: reply.stamp.incarnation,
        sequence,
        scope,
        as_of: confirmed_at(sent_at, held_ms, reply.sum.age_ms),
        sum: reply.sum.clone(),
    }
}

/// Adds up counts, each with the weight of its age.
#[derive(Default)]
struct Merge {
    // Requests, tokens and requests sent.
    uses: SortedMap<EndpointKey, [f64; 3]>,
    nodes: f64,
    // Sums of weights, and of weights times ages.
    weight: f64,
    weighted_age_ms: f64,
}

impl Merge {
    fn of<'a>(summaries: impl IntoIterator<Item = &'a Known>, now: Instant) -> Self {
        let mut merge = Self::default();
        for known in summaries {
            merge.add(&known.sum, now.ms_since(known.as_of));
        }
        merge
    }

    fn add(&mut self, sum: &OutstandingSum, age_ms: u64) {
        let weight = weight(age_ms);
        self.nodes += weight * f64::from(sum.nodes);
        // The counts age together, so the mean is taken by requests; a node without any counts as one.
        let share = weight * (sum.requests() + u64::from(sum.nodes)) as f64;
        self.weight += share;
        self.weighted_age_ms += share * age_ms as f64;
        for (&key, used) in sum.uses.iter() {
            let total = self.uses.get_or_insert_with(key, Default::default);
            let counts = [used.requests.into(), used.tokens.get() as f64, used.sent.into()];
            total.iter_mut().zip(counts).for_each(|(total, count)| *total += weight * count);
        }
    }

    fn finish(mut self, own: Option<&OutstandingSum>) -> OutstandingSum {
        if let Some(own) = own {
            self.add(own, 0);
        }
        let rounded = |(key, counts): (EndpointKey, [f64; 3])| {
            let [requests, tokens, sent] = counts.map(f64::round);
            let tokens = Tokens::new(tokens as u64);
            (key, EndpointUse { requests: requests as u32, tokens, sent: sent as u32 })
        };
        let age_ms = self.weighted_age_ms / self.weight.max(f64::MIN_POSITIVE);
        OutstandingSum {
            age_ms: age_ms.round() as u64,
            nodes: self.nodes.round() as u32,
            uses: bounded(self.uses.into_entries().map(rounded).collect()),
        }
    }
}
