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
    /// From a relay of its zone.
    Relay(NodeId),
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
    until: Deadline,
    // The same while this node reads from the origin.
    at_origin_until: Deadline,
}

/// The choice of one node between its relays and the origin.
///
/// A node goes to the origin only once all relays have failed. There it soon asks those again that have replied.
#[derive(Debug, Clone)]
pub struct RelaySources {
    own: NodeId,
    avoided: SortedMap<NodeId, Avoidance>,
    is_at_origin: bool,
}

impl RelaySources {
    /// Creates the state of a node that has not asked any relay.
    pub fn new(own: NodeId) -> Self {
        Self { own, avoided: SortedMap::new(), is_at_origin: false }
    }

    /// Chooses where to get changes from. `nodes` are the registered nodes of the zone, sorted.
    pub fn choose(&mut self, nodes: &[NodeId], now: Instant) -> ChangeSource {
        self.avoided.retain(|_, avoidance| !avoidance.until.has_passed(now));
        let relays = relays(nodes);
        if relays.is_empty() || relays.contains(&self.own) {
            return ChangeSource::Origin;
        }
        let (before, after) = relays.split_at(first_relay(&self.own, relays));
        let is_usable = |relay: &&NodeId| {
            self.avoided.get(relay).is_none_or(|avoidance| {
                self.is_at_origin && avoidance.at_origin_until.has_passed(now)
            })
        };
        match after.iter().chain(before).find(is_usable) {
            Some(relay) => ChangeSource::Relay(relay.clone()),
            None => {
                self.is_at_origin = true;
                ChangeSource::Origin
            }
        }
    }

    /// Records that a relay is followed.
    pub fn record_success(&mut self, relay: &NodeId) {
        self.avoided.remove(relay);
        self.is_at_origin = false;
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
        let at_origin_until = match failure {
            RelayFailure::Silent => until,
            RelayFailure::Outdated => after_ms(OUTDATED_AVOID_MS),
        };
        self.avoided.insert(relay, Avoidance { until, at_origin_until });
    }
}
