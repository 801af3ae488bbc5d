//! Decides whether a node reads from an origin itself or follows a relay.

use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{Deadline, Instant, NodeId, SortedMap};

/// Minimum number of relays in a zone. With one, its failure would send the whole zone to the origin.
const MIN_RELAYS: usize = 2;

/// Maximum number of nodes for each relay of a larger zone. With 25, the busiest relay of 300 nodes
/// before 3,000 endpoints sent more than a link of 10 Mbit/s carries.
const MAX_NODES_PER_RELAY: usize = 20;

/// Number of nodes in a zone up to which all of them read from the origin. The calls that so few
/// nodes save are not worth a longer way of each change.
const MAX_DIRECT_NODES: usize = 4;

/// Minimum time for which a node does not ask a relay again that has not replied. The same time at most is
/// added to it at random, so that the followers of a failed relay do not all return to it at the same moment.
const SILENT_AVOID_MS: u64 = 2_000;

/// The same for a node that reads from the origin, after a relay replied that it knows nothing recent: it may do
/// so with its next call.
const OUTDATED_AVOID_MS: u64 = 250;

/// Number of nodes after the relays that read from the origin once these have failed.
const MAX_SUBSTITUTES: usize = 2;

/// Age of what a node knows from which more nodes read from the origin; followers of a relay that works know what is
/// younger. The number of nodes doubles with each [`WIDEN_MS`] more, so that all of a zone read before keys that
/// are valid for 5 s expire.
const AGED_MS: u64 = 2_500;
const WIDEN_MS: u64 = 500;

/// Age of what a node knows from which it does not wait for another relay before it reads from the origin: after one
/// more timeout of 700 ms, there is time for a call that is repeated before keys expire.
const OLD_MS: u64 = 3_000;

/// How long a relay follows another node before it calls the origin again.
const LED_MS: u64 = 2_000;

/// How long a relay then calls the origin before it follows another node again.
const PROBE_MS: u64 = 1_000;

/// Why a relay cannot be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// It did not reply in time.
    Silent,
    /// It replied, but knows nothing recent.
    Outdated,
}

/// Where a node gets changes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeSource {
    /// From the origin itself.
    Origin,
    /// From a relay of its zone, or from another node that reads from the origin.
    Relay(NodeId),
    /// From neither yet: enough other nodes of the zone read from the origin.
    Wait,
}

/// Returns whether a zone with this many nodes has followers.
pub fn is_relayed(nodes: usize) -> bool {
    nodes > MAX_DIRECT_NODES
}

/// Returns the number of relays of a zone with this many nodes.
pub fn relay_count(nodes: usize) -> usize {
    match is_relayed(nodes) {
        true => nodes.div_ceil(MAX_NODES_PER_RELAY).max(MIN_RELAYS),
        false => nodes,
    }
}

/// Returns the nodes of a zone that read from origins and pass the changes on. `nodes` are the
/// registered nodes of the zone, sorted.
pub fn relays(nodes: &[NodeId]) -> &[NodeId] {
    &nodes[..relay_count(nodes.len())]
}

/// Number of nodes after the relays that are asked for a list. All relays may have started just now.
const MAX_OTHER_SOURCES: usize = 2;

/// Returns the nodes that one which starts asks for the list of a topic, in this order: the relays, beginning with
/// its own, and a few more. `nodes` are the registered nodes of the zone, sorted.
pub fn list_sources(own: &NodeId, nodes: &[NodeId]) -> Vec<NodeId> {
    if !is_relayed(nodes.len()) {
        return Vec::new();
    }
    let (relays, others) = nodes.split_at(relay_count(nodes.len()));
    let (before, after) = relays.split_at(first_relay(own, relays));
    let others = others.iter().filter(|node| *node != own).take(MAX_OTHER_SOURCES);
    after.iter().chain(before).filter(|node| *node != own).chain(others).cloned().collect()
}

/// Returns the position of the relay that a node asks first: the followers are divided among the relays by a
/// hash of their ids.
fn first_relay(own: &NodeId, relays: &[NodeId]) -> usize {
    let mut hasher = DefaultHasher::new();
    own.as_str().hash(&mut hasher);
    (hasher.finish() % relays.len() as u64) as usize
}

/// For how long a relay is not asked again.
#[derive(Debug, Clone, Copy)]
struct Avoidance {
    failure: RelayFailure,
    until: Deadline,
    // The same while there is no other relay.
    without_source_until: Deadline,
}

/// The node that is followed.
#[derive(Debug, Clone)]
struct Followed {
    node: NodeId,
    // When the origin confirmed what it knows.
    confirmed_at: Instant,
}

/// What a relay does while the origin does not answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LostOrigin {
    /// It asks other nodes, and calls the origin.
    Asking,
    /// It follows another node until this time, which is set with the next choice.
    Led(Option<Deadline>),
    /// It only calls the origin until this time.
    Probing(Deadline),
}

/// The choice of one node between its relays and the origin.
///
/// Once all relays have failed, the next nodes of the zone in the order of their ids read from the origin, and the
/// others ask those: if all of them read, their answers would fill the links that the relays need too. The older what
/// is known becomes, the more nodes read. A node asks only nodes before it, so that no two follow each other. A relay
/// that the origin does not answer asks any, and has nothing for others while it follows one.
#[derive(Debug, Clone)]
pub struct RelaySources {
    own: NodeId,
    avoided: SortedMap<NodeId, Avoidance>,
    followed: Option<Followed>,
    // When the origin confirmed what this node knows; at first, when it looked for a source.
    confirmed_at: Option<Instant>,
    // Whether all nodes that could be asked have failed since this node has followed one.
    has_asked_all: bool,
    is_at_origin: bool,
    // `None` while the origin answers this node.
    lost_origin: Option<LostOrigin>,
}

impl RelaySources {
    /// Creates the state of a node that has not asked any relay.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            avoided: SortedMap::new(),
            followed: None,
            confirmed_at: None,
            has_asked_all: false,
            is_at_origin: false,
            lost_origin: None,
        }
    }

    /// Records whether the origin answers this node, which matters if it is a relay.
    pub fn record_origin(&mut self, is_lost: bool) {
        self.lost_origin = is_lost.then_some(self.lost_origin.unwrap_or(LostOrigin::Asking));
    }

    /// Records when the origin confirmed what this node knows.
    pub fn record_confirmed(&mut self, confirmed_at: Instant) {
        self.confirmed_at = Some(confirmed_at);
    }

    /// Chooses where to get changes from. `nodes` are the registered nodes of the zone, sorted.
    pub fn choose(&mut self, nodes: &[NodeId], now: Instant) -> ChangeSource {
        self.avoided.retain(|_, avoidance| !avoidance.until.has_passed(now));
        let (relays, others) = nodes.split_at(relay_count(nodes.len()));
        if !is_relayed(nodes.len()) {
            ChangeSource::Origin
        } else if relays.contains(&self.own) {
            self.choose_as_relay(relays, others, now)
        } else {
            let before = &others[..others.partition_point(|node| *node < self.own)];
            self.choose_as_follower(relays, before, now)
        }
    }

    /// Chooses the source of a follower; `before` are the nodes between the relays and this one.
    fn choose_as_follower(
        &mut self,
        relays: &[NodeId],
        before: &[NodeId],
        now: Instant,
    ) -> ChangeSource {
        let relay = self.next_of(self.own_first(relays), now);
        if let (None, Some(followed)) = (&relay, &self.followed)
            && before.contains(&followed.node)
        {
            return ChangeSource::Relay(followed.node.clone());
        }
        let age_ms = now.ms_since(*self.confirmed_at.get_or_insert(now));
        let live: Vec<&NodeId> = before.iter().filter(|node| !self.is_silent(node)).collect();
        let readers = reader_count(age_ms);
        // What this node holds stays old until the changes of the relay have been transferred.
        let source_age_ms = match &self.followed {
            Some(followed) => age_ms.min(now.ms_since(followed.confirmed_at)),
            None => age_ms,
        };
        let is_due = relay.is_none() || (source_age_ms >= OLD_MS && !self.avoided.is_empty());
        if is_due && live.len() < readers && !self.is_at_origin {
            // Others wait for this node, so it does not ask its like first.
            (self.has_asked_all, self.is_at_origin) = (true, true);
            return ChangeSource::Origin;
        }
        let first_live = live.iter().copied().take(MAX_SUBSTITUTES);
        if let Some(source) = relay.or_else(|| self.next_of(first_live, now)) {
            return source;
        }
        // The relays are asked again before further nodes: those may well follow one.
        self.has_asked_all = true;
        let sources = self.own_first(relays).chain(live.into_iter().take(readers));
        self.next_of(sources, now).unwrap_or(match self.is_at_origin {
            true => ChangeSource::Origin,
            false => ChangeSource::Wait,
        })
    }

    /// Chooses the source of a relay: the origin, unless that does not answer it.
    fn choose_as_relay(
        &mut self,
        relays: &[NodeId],
        others: &[NodeId],
        now: Instant,
    ) -> ChangeSource {
        match self.lost_origin {
            None => {
                self.clear();
                return ChangeSource::Origin;
            }
            Some(LostOrigin::Led(None)) => {
                let until = Deadline::after_ms(now, LED_MS);
                self.lost_origin = Some(LostOrigin::Led(Some(until)));
            }
            Some(LostOrigin::Led(Some(until))) if until.has_passed(now) => {
                let until = Deadline::after_ms(now, PROBE_MS);
                self.lost_origin = Some(LostOrigin::Probing(until));
                return ChangeSource::Origin;
            }
            Some(LostOrigin::Probing(until)) if !until.has_passed(now) => {
                return ChangeSource::Origin;
            }
            Some(LostOrigin::Probing(_)) => self.lost_origin = Some(LostOrigin::Asking),
            Some(LostOrigin::Asking | LostOrigin::Led(_)) => {}
        }
        let live = others.iter().filter(|node| !self.is_silent(node)).take(MAX_SUBSTITUTES);
        self.next_of(self.own_first(relays).chain(live), now).unwrap_or_else(|| {
            (self.has_asked_all, self.is_at_origin) = (true, true);
            ChangeSource::Origin
        })
    }

    /// Returns the first of these nodes that may be asked now.
    fn next_of<'a>(
        &self,
        mut nodes: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> Option<ChangeSource> {
        let may_be_asked = |node: &&NodeId| {
            let avoidance = self.avoided.get(node);
            **node != self.own
                && avoidance.is_none_or(|avoidance| {
                    self.has_asked_all && avoidance.without_source_until.has_passed(now)
                })
        };
        nodes.find(may_be_asked).cloned().map(ChangeSource::Relay)
    }

    /// Returns the relays, beginning with that of this node.
    fn own_first<'a>(&self, relays: &'a [NodeId]) -> impl Iterator<Item = &'a NodeId> + use<'a> {
        let (before, after) = relays.split_at(first_relay(&self.own, relays));
        after.iter().chain(before)
    }

    fn is_silent(&self, node: &NodeId) -> bool {
        self.avoided.get(node).is_some_and(|avoidance| avoidance.failure == RelayFailure::Silent)
    }

    /// Records that a relay is followed. The origin confirmed what that knows at `confirmed_at`.
    pub fn record_success(&mut self, relay: &NodeId, confirmed_at: Instant) {
        self.avoided.remove(relay);
        self.clear();
        self.followed = Some(Followed { node: relay.clone(), confirmed_at });
        if let Some(lost @ LostOrigin::Asking) = &mut self.lost_origin {
            *lost = LostOrigin::Led(None);
        }
    }

    fn clear(&mut self) {
        self.followed = None;
        (self.has_asked_all, self.is_at_origin) = (false, false);
    }

    /// Records that a relay cannot be followed. `random` is from 0 to 1.
    pub fn record_failure(
        &mut self,
        relay: NodeId,
        failure: RelayFailure,
        random: f64,
        now: Instant,
    ) {
        let after_ms =
            |base_ms: u64| Deadline::after_ms(now, base_ms + (random * base_ms as f64) as u64);
        let until = after_ms(SILENT_AVOID_MS);
        let without_source_until = match failure {
            RelayFailure::Silent => until,
            RelayFailure::Outdated => after_ms(OUTDATED_AVOID_MS),
        };
        self.followed.take_if(|followed| followed.node == relay);
        self.avoided.insert(relay, Avoidance { failure, until, without_source_until });
    }
}

/// Returns how many nodes after the relays read from the origin if these have failed, and what is known has this age.
fn reader_count(age_ms: u64) -> usize {
    let aged_ms = (age_ms + WIDEN_MS).saturating_sub(AGED_MS);
    let doublings = u32::try_from(aged_ms / WIDEN_MS).unwrap_or(u32::MAX);
    MAX_SUBSTITUTES.saturating_mul(2_usize.saturating_pow(doublings))
}
