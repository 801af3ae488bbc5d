//! Exchanges within the zone what its nodes have outstanding at each endpoint.
//!
//! A follower attaches its summary to its request to a relay ([`client`](super::client)), and a relay
//! attaches the sum over the others to the reply ([`server`](super::server)). The relays of the zone call
//! each other ([`exchange`]). See `yuccapass_decisions::gateway::zone_room`.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use yuccapass_decisions::gateway::zone_room::{
    EndpointKey, MIN_NODES, OutstandingSum, OutstandingSummary, PERIOD_MS, Receipt, RoomReply,
    RoomStamp, SummaryScope, load_spread,
};
use yuccapass_decisions::gateway::{Directory, ZoneLoad, ZoneRoom};
use yuccapass_peers::{PeerMessage, PeerTransport, RelayRequest, Sender};
use yuccapass_types::{Deadline, EndpointId, Incarnation, Instant, NodeId, ServiceId, SortedMap};

use crate::state::Shared;

/// Time after which a relay is given up that does not reply to another one. It holds a request for 250 ms;
/// the counts of the other relays must not wait for it for long.
const RELAY_CALL_TIMEOUT_MS: u64 = 450;

/// The counts of this node.
#[derive(Debug, Default)]
struct OwnCounts {
    sum: OutstandingSum,
    counted_at: Instant,
    sequence: u64,
}

/// The exchange of a node.
pub(crate) struct RoomTable {
    // Whether the deployment calls for the exchange.
    is_wanted: AtomicBool,
    // Whether something recent is known of other nodes.
    is_informed: AtomicBool,
    room: Mutex<ZoneRoom>,
    own: Mutex<OwnCounts>,
    // The last stamps of the relays that this node asks.
    stamps: Mutex<SortedMap<NodeId, RoomStamp>>,
}

/// A request to a relay: its summary, and when it was sent.
pub(crate) struct SentSummary {
    pub(crate) scope: SummaryScope,
    pub(crate) sequence: u64,
    pub(crate) sent_at: Instant,
}

impl RoomTable {
    pub(crate) fn new(node: NodeId, incarnation: Incarnation, is_wanted: bool) -> Self {
        Self {
            is_wanted: AtomicBool::new(is_wanted),
            is_informed: AtomicBool::new(false),
            room: Mutex::new(ZoneRoom::new(node, incarnation)),
            own: Mutex::default(),
            stamps: Mutex::default(),
        }
    }

    /// Begins to exchange: an endpoint reports how fast it is, or another node exchanges.
    pub(crate) fn enable(&self) {
        self.is_wanted.store(true, Ordering::Release);
    }

    fn is_wanted(&self) -> bool {
        self.is_wanted.load(Ordering::Acquire)
    }

    /// Counts what this node has outstanding. The requests that it has sent since the last count are
    /// those of a period, so this is called once a period.
    fn count(&self, shared: &Shared) {
        let sum = OutstandingSum::of_node(shared.endpoints.take_uses());
        let mut own = lock(&self.own);
        (own.sum, own.counted_at) = (sum, shared.now());
    }

    fn own_sum(&self, now: Instant) -> OutstandingSum {
        let own = lock(&self.own);
        OutstandingSum { age_ms: now.ms_since(own.counted_at), ..own.sum.clone() }
    }

    /// Returns the summary for a follower's request to its relay; `None` if nothing is exchanged.
    pub(crate) fn follower_summary(
        &self,
        shared: &Shared,
        relay: &NodeId,
    ) -> Option<OutstandingSummary> {
        if !self.is_wanted() || shared.relay.zone_nodes() < MIN_NODES {
            return None;
        }
        self.count(shared);
        let sum = self.own_sum(shared.now());
        Some(self.summary(SummaryScope::Node, relay, sum))
    }

    fn summary(
        &self,
        scope: SummaryScope,
        relay: &NodeId,
        sum: OutstandingSum,
    ) -> OutstandingSummary {
        let echo = lock(&self.stamps).get(relay).copied();
        let mut own = lock(&self.own);
        own.sequence += 1;
        OutstandingSummary::new(scope, own.sequence, echo, sum)
    }

    /// Records the summary of another node.
    pub(crate) fn record_summary(
        &self,
        shared: &Shared,
        from: &Sender,
        summary: OutstandingSummary,
    ) {
        self.enable();
        let (sender, now) = ((&from.node, from.incarnation), shared.now());
        let receipt = lock(&self.room).record_summary(sender, summary, now);
        shared.metrics.record_summary(receipt);
    }

    /// Returns the reply to a node that has sent a summary.
    pub(crate) fn reply(&self, asker: &NodeId, scope: SummaryScope, now: Instant) -> RoomReply {
        let own = self.own_sum(now);
        lock(&self.room).reply(asker, scope, &own, now)
    }

    /// Records the reply of a relay, which it held for `held_ms`.
    pub(crate) fn record_reply(
        &self,
        shared: &Shared,
        relay: &NodeId,
        (sent, held_ms): (SentSummary, u64),
        reply: &RoomReply,
    ) {
        lock(&self.stamps).insert(relay.clone(), reply.stamp);
        let (now, times) = (shared.now(), (sent.sent_at, held_ms));
        let receipt = match sent.scope {
            SummaryScope::Node => {
                lock(&self.room).record_followed_reply(sent.sequence, reply, times, now)
            }
            SummaryScope::Relay => {
                lock(&self.room).record_relay_reply(relay, sent.sequence, reply, times, now)
            }
        };
        shared.metrics.record_summary(receipt);
        if receipt == Receipt::Merged && sent.scope == SummaryScope::Node {
            self.apply(shared);
        }
    }

    /// Passes what is known of the other nodes on to the trackers of the endpoints.
    fn apply(&self, shared: &Shared) {
        let now = shared.now();
        let sum = lock(&self.room).sum_of_others(now);
        let is_informed = sum.nodes > 0;
        if self.is_informed.swap(is_informed, Ordering::AcqRel) != is_informed {
            log::info!(
                is_informed, nodes = sum.nodes, age_ms = sum.age_ms;
                "what is known of the requests of the zone's other nodes has changed"
            );
        }
        shared.metrics.record_zone_load(&sum);
        if !is_informed {
            // The trackers' counts have grown old by themselves.
            return;
        }
        let directory = shared.directory();
        let spreads = spreads(shared, &directory, &sum, now);
        let others = shared.relay.zone_nodes().saturating_sub(1).max(1);
        let zone_load = |id: &EndpointId| {
            let used = sum.uses.get(&EndpointKey::of(id)).copied().unwrap_or_default();
            let service = directory.endpoint(id).map(|record| &record.service);
            let spread = service.and_then(|service| spreads.get(service)).copied();
            ZoneLoad {
                requests: used.requests,
                tokens: used.tokens,
                spread: rand::random::<f64>() * spread.unwrap_or_default(),
                coverage: f64::from(sum.nodes) / others as f64,
                as_of: Instant::from_ms(now.as_ms().saturating_sub(sum.age_ms)),
            }
        };
        shared.endpoints.record_zone_loads(zone_load);
    }
}

/// Returns how far the loads of the endpoints of each service may differ before one is preferred.
fn spreads(
    shared: &Shared,
    directory: &Directory,
    sum: &OutstandingSum,
    now: Instant,
) -> SortedMap<ServiceId, f64> {
    let mut services: SortedMap<ServiceId, (Vec<f64>, f64)> = SortedMap::new();
    for (id, record) in directory.endpoints() {
        let Some(used) = sum.uses.get(&EndpointKey::of(id)).filter(|used| used.sent > 0) else {
            continue;
        };
        let load = shared.endpoints.with_tracker(id, record, |tracker| tracker.load(now));
        let (loads, arrivals) =
            services.get_or_insert_with(record.service.clone(), Default::default);
        loads.push(load);
        *arrivals += f64::from(used.sent);
    }
    let spread = |(service, (loads, arrivals))| (service, load_spread(loads, arrivals));
    services.into_entries().map(spread).collect()
}

/// Exchanges with the other relays of the zone whenever this node is one, until the process ends.
pub(crate) async fn exchange(shared: Arc<Shared>, transport: Arc<dyn PeerTransport>) {
    loop {
        let table = &shared.zone_room;
        let is_exchanging = table.is_wanted()
            && shared.relay.zone_nodes() >= MIN_NODES
            && shared.relay.is_relay(&shared.options.node);
        if is_exchanging {
            table.count(&shared);
            let relays = shared.relay.later_relays(&shared.options.node);
            let calls = relays
                .iter()
                .map(|relay| ask_relay(&shared, &*transport, relay))
                .collect::<Vec<_>>();
            let pause = task::sleep(Duration::from_millis(PERIOD_MS));
            futures::join!(futures::future::join_all(calls), pause);
            table.apply(&shared);
        } else {
            task::sleep(Duration::from_millis(PERIOD_MS)).await;
        }
    }
}

/// Exchanges the sums over the followers with another relay.
async fn ask_relay(
    shared: &Shared,
    transport: &dyn PeerTransport,
    (relay, address): &(NodeId, SocketAddr),
) {
    let sent_at = shared.now();
    let own = shared.zone_room.own_sum(sent_at);
    let sum = lock(&shared.zone_room.room).sum_of_followers(&own, sent_at);
    let summary = shared.zone_room.summary(SummaryScope::Relay, relay, sum);
    let sent = SentSummary { scope: summary.scope, sequence: summary.sequence, sent_at };
    let request = RelayRequest {
        topics: Vec::new(),
        outstanding: Some(summary),
        accepts_references: false,
        value: None,
    };
    let deadline = Deadline::after_ms(sent_at, RELAY_CALL_TIMEOUT_MS);
    let message = PeerMessage::RelayRequest(request);
    match transport.call(*address, message, deadline).await.map(|reply| reply.message) {
        Ok(PeerMessage::RelayReply(reply)) => {
            if let Some(room) = &reply.outstanding {
                shared.zone_room.record_reply(shared, relay, (sent, reply.held_ms), room);
            }
        }
        Ok(_) => {}
        Err(error) => {
            log::debug!(relay = relay.as_str(), error:%; "another relay did not reply");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
