//! Changes that the relays of a zone pass on to its other nodes.
//!
//! A task that reads a topic from its origin, a watch or the poller of a store, [subscribes] to the
//! topic and publishes what it reads. While this node follows a relay, the task waits for the
//! relay's updates instead. [`server`] answers followers from what was published, and [`client`]
//! asks a relay for all topics at once. See `yuccapass_decisions::gateway::relay`. The same messages
//! carry what the nodes of the zone have outstanding, see [`room`], and the pieces of large values, see
//! [`values`]. A node that starts gets its lists from other nodes of its zone, see [`listing`].
//!
//! [subscribes]: RelayTable::subscribe

pub(crate) mod client;
mod listing;
pub(crate) mod room;
pub(crate) mod server;
pub(crate) mod values;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use smol_str::SmolStr;
use yuccapass_decisions::gateway::relay::{
    Crossing, EraStep, HeldTopics, KnownPosition, ListOffer, OriginRead, RelayItem, RelayTopics,
    RelayedEntry, TopicClass, TopicRequest, TopicUpdate, is_relayed, list_sources, relay_count,
    relays,
};
use yuccapass_peers::{PeerTransport, encode_list};
use yuccapass_types::{Bytes, Instant, NodeId, SortedMap};

pub(crate) use self::listing::{RelayedList, read_list};
use self::values::{Resolution, ValueTable};

/// Time without an update after which a task reads from the origin: a relay that does not reply is
/// given up after 700 ms, and then another one is asked.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of the items in a reply; a frame between nodes carries 68 KB.
const MAX_REPLY: Bytes = Bytes::new(56 << 10);

/// Maximum age of a topic that relays read often enough for its age to show that this node misses changes.
const OFTEN_READ_AGE_MS: u64 = 5_000;

/// Prefix of the names of topics of keys.
const KEYS_TOPICS: &str = "keys:";

/// An update that was received from a relay, with times of this node's clock.
#[derive(Debug, Clone)]
pub(crate) struct RelayedChanges {
    /// The run or the era of the origin. It may be a later one than that of the topic's position.
    pub(crate) epoch: u64,
    pub(crate) end: u64,
    /// The changes; `None` if this node has to list the keys because a later era has begun.
    pub(crate) items: Option<Vec<RelayItem>>,
    /// When the origin confirmed that there are no later changes.
    pub(crate) confirmed_at: Instant,
    /// When the origin answered again after a recent outage.
    pub(crate) outage_ended_at: Option<Instant>,
    /// The time on the origin's clock, at or before the receipt.
    pub(crate) clock_ms: Option<u64>,
}

/// Where the tasks of this node get changes from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Source {
    /// From their origins.
    #[default]
    Origins,
    /// From another node.
    Relay,
    /// From neither, until another node has been found.
    Pending,
}

/// What a task does next for its topic.
#[derive(Debug, Clone)]
pub(crate) enum NextRead {
    /// Read from the origin.
    Origin,
    /// The relay does not have the changes: list the topic at another node, or read from the origin.
    List,
    /// Apply these changes.
    Relayed(RelayedChanges),
}

/// What the task of a topic gets from the task that follows a relay.
enum Delivery {
    /// Changes after the position of this request.
    Changes(TopicRequest, RelayedChanges),
    /// There are changes, and one of their values is on its way.
    Transferring,
    /// The relay is to be followed, and does not send the changes.
    Unsent,
    /// The relay is not to be followed, or this node reads from the origins.
    Ended,
}

/// The topic of a task, and the updates for it.
pub(crate) struct Subscription {
    topic: SmolStr,
    class: TopicClass,
    max_age_ms: u64,
    updates: Receiver<Delivery>,
}

struct Follower {
    position: TopicRequest,
    class: TopicClass,
    max_age_ms: u64,
    updates: Sender<Delivery>,
}

/// The topics that this node reads or follows, and the nodes of its zone.
#[derive(Default)]
pub(crate) struct RelayTable {
    pub(crate) values: ValueTable,
    read: Mutex<RelayTopics>,
    // All that this node knows of the topics of keys, from its origins or from relays.
    held: Mutex<HeldTopics>,
    followers: Mutex<SortedMap<SmolStr, Follower>>,
    // Sorted by id; the nodes that accept connections of other nodes.
    nodes: Mutex<Vec<(NodeId, SocketAddr)>>,
    source: Mutex<Source>,
    // Wakes the tasks that wait at their origins when they are to wait for another node, or for less long.
    at_origins: Mutex<Vec<Sender<()>>>,
    // Wakes the requests of followers that wait for urgent changes.
    held_requests: Mutex<Vec<Sender<()>>>,
    // Wakes the tasks that wait until the nodes of the zone are known.
    before_nodes: Mutex<Vec<Sender<()>>>,
    // Set once, if the node can call other nodes.
    transport: OnceLock<Arc<dyn PeerTransport>>,
}

impl RelayTable {
    /// Subscribes to a topic. Updates older than `max_age_ms` are not used.
    pub(crate) fn subscribe(
        &self,
        topic: SmolStr,
        class: TopicClass,
        max_age_ms: u64,
    ) -> Subscription {
        let (updates, receiver) = bounded(1);
        let position = TopicRequest { topic: topic.clone(), epoch: 0, after: 0 };
        let follower = Follower { position, class, max_age_ms, updates };
        lock(&self.followers).insert(topic.clone(), follower);
        lock(&self.read).set_class(topic.clone(), class);
        Subscription { topic, class, max_age_ms, updates: receiver }
    }

    /// Sets the connections to other nodes.
    pub(crate) fn set_transport(&self, transport: Arc<dyn PeerTransport>) {
        // A second call would be an error of the start, and change nothing.
        let _ = self.transport.set(transport);
    }

    /// Ends a subscription.
    pub(crate) fn unsubscribe(&self, subscription: &Subscription) {
        lock(&self.followers).remove(&subscription.topic);
        lock(&self.read).remove(&subscription.topic);
        lock(&self.held).remove(&subscription.topic);
    }

    /// Holds the complete list of a topic, for nodes that start.
    pub(crate) fn hold_list(
        &self,
        subscription: &Subscription,
        position: KnownPosition,
        entries: &[RelayedEntry],
    ) {
        lock(&self.held).replace(subscription.topic.clone(), position, entries);
    }

    /// Holds all changes of a topic up to a position.
    pub(crate) fn hold_changes(
        &self,
        subscription: &Subscription,
        position: KnownPosition,
        changes: &[RelayedEntry],
    ) {
        lock(&self.held).apply(&subscription.topic, position, changes);
    }

    /// Offers the list of a topic to a node that starts.
    fn offer_list(&self, topic: &SmolStr, now: Instant) -> Option<ListOffer> {
        let hold = |entries| self.values.hold_list(topic, &encode_list(entries));
        lock(&self.held).offer(topic, hold, now)
    }

    /// Returns the nodes of the zone that may have lists for this node, with their addresses.
    fn list_sources(&self, own: &NodeId) -> Vec<(NodeId, SocketAddr)> {
        let sources = list_sources(own, &self.node_ids());
        let addressed = |node: NodeId| self.address(&node).map(|address| (node, address));
        sources.into_iter().filter_map(addressed).collect()
    }

    /// Waits until the nodes of the zone are known.
    async fn nodes_known(&self) {
        let (sender, receiver) = bounded::<()>(1);
        lock(&self.before_nodes).push(sender);
        if lock(&self.nodes).is_empty() {
            // The receiver only ever closes.
            let _ = receiver.recv().await;
        }
    }

    /// Sets the position up to which this node knows a topic.
    pub(crate) fn set_position(&self, subscription: &Subscription, epoch: u64, after: u64) {
        if let Some(follower) = lock(&self.followers).get_mut(&subscription.topic) {
            follower.position.epoch = epoch;
            follower.position.after = after;
        }
    }

    /// Returns the position up to which this node knows a topic, or `None` before it was listed.
    pub(crate) fn position(&self, topic: &SmolStr) -> Option<(u64, u64)> {
        let followers = lock(&self.followers);
        let position = &followers.get(topic)?.position;
        (position.after > 0).then_some((position.epoch, position.after))
    }

    /// Publishes what was read from the origin, and sets the position of the topic.
    pub(crate) fn publish(&self, subscription: &Subscription, read: OriginRead, now: Instant) {
        self.set_position(subscription, read.epoch, read.to);
        let has_news = !read.items.is_empty();
        let read = OriginRead { items: self.values.refer(read.items), ..read };
        lock(&self.read).record_read(&subscription.topic, read, now);
        if subscription.class == TopicClass::Urgent && has_news {
            // Dropping the senders wakes the receivers.
            lock(&self.held_requests).clear();
        }
    }

    /// Publishes a list of a later era than the last one, and sets the position of the topic.
    pub(crate) fn publish_crossing(
        &self,
        subscription: &Subscription,
        read: OriginRead,
        crossing: Crossing,
        now: Instant,
    ) {
        self.set_position(subscription, read.epoch, read.to);
        let changes = crossing.items.into_iter().map(|item| (read.to, item)).collect();
        let items = self.values.refer(changes).into_iter().map(|(_, item)| item).collect();
        let crossing = Crossing { items, ..crossing };
        lock(&self.read).record_crossing(&subscription.topic, read, crossing, now);
    }

    /// Publishes that the origin of a topic does not answer this node.
    pub(crate) fn publish_lost(&self, subscription: &Subscription) {
        lock(&self.read).record_lost(&subscription.topic);
        if subscription.class == TopicClass::Background {
            return;
        }
        // Followers must hear of it at once: what this node misses meanwhile, they have to read elsewhere.
        lock(&self.held_requests).clear();
    }

    /// Publishes that the origin of a topic answers again after an outage.
    pub(crate) fn publish_outage_end(&self, subscription: &Subscription, now: Instant) {
        lock(&self.read).record_outage_end(&subscription.topic, now);
    }

    /// Waits for the next update of a topic while this node follows a relay. `epoch` and `after`
    /// are the position of the task; updates for other positions are outdated and dropped.
    pub(crate) async fn next_read(
        &self,
        subscription: &Subscription,
        epoch: u64,
        after: u64,
    ) -> NextRead {
        while !self.reads_origins() {
            let receiving = subscription.updates.recv();
            match async_std::future::timeout(UPDATE_TIMEOUT, receiving).await {
                Ok(Ok(Delivery::Changes(request, changes))) => {
                    if (request.epoch, request.after) == (epoch, after) {
                        return NextRead::Relayed(changes);
                    }
                }
                Ok(Ok(Delivery::Transferring)) => {}
                Ok(Ok(Delivery::Unsent)) => return NextRead::List,
                Ok(Ok(Delivery::Ended)) | Err(_) if self.waits_for_source() => {}
                Ok(Ok(Delivery::Ended) | Err(_)) | Err(_) => break,
            }
        }
        NextRead::Origin
    }

    /// Returns whether the tasks read from their origins.
    pub(crate) fn reads_origins(&self) -> bool {
        *lock(&self.source) == Source::Origins
    }

    /// Returns whether the tasks wait until this node has found a source.
    fn waits_for_source(&self) -> bool {
        *lock(&self.source) == Source::Pending
    }

    /// Waits until the tasks no longer read from their origins, or this node becomes a relay.
    pub(crate) async fn leaves_origins(&self) {
        let (sender, receiver) = bounded::<()>(1);
        {
            let mut at_origins = lock(&self.at_origins);
            at_origins.retain(|waiting| !waiting.is_closed());
            at_origins.push(sender);
        }
        if self.reads_origins() {
            // The receiver only ever closes.
            let _ = receiver.recv().await;
        }
    }

    /// Replaces the nodes of the zone that accept connections of other nodes.
    pub(crate) fn replace_nodes(&self, own: &NodeId, mut nodes: Vec<(NodeId, SocketAddr)>) {
        nodes.sort();
        let was_relay = self.is_relay(own);
        *lock(&self.nodes) = nodes;
        if self.is_relay(own) && !was_relay {
            // Followers need the shorter calls of a relay.
            lock(&self.at_origins).clear();
        }
        // Dropping the senders wakes the receivers.
        lock(&self.before_nodes).clear();
    }

    /// Returns whether this node has followers.
    pub(crate) fn is_relay(&self, own: &NodeId) -> bool {
        let nodes = self.node_ids();
        is_relayed(nodes.len()) && relays(&nodes).contains(own)
    }

    /// Returns whether others may follow this node while it reads from origins: it is a relay, or its zone has lost
    /// them, or it does not know its zone yet, whose followers may know it from an earlier process. They do not follow
    /// a node whose calls wait for long.
    pub(crate) fn may_have_followers(&self) -> bool {
        let nodes = lock(&self.nodes).len();
        nodes == 0 || is_relayed(nodes)
    }

    /// Returns the nodes of the zone that read from origins.
    pub(crate) fn origin_readers(&self) -> Vec<NodeId> {
        relays(&self.node_ids()).to_vec()
    }

    /// Returns whether this node is known to be one of those of its zone that read from origins, with or
    /// without followers.
    pub(crate) fn reads_from_origins(&self, own: &NodeId) -> bool {
        relays(&self.node_ids()).contains(own)
    }

    /// Returns whether the zone of this node has relays, and this node is none of them.
    pub(crate) fn has_relay_for(&self, own: &NodeId) -> bool {
        let nodes = self.node_ids();
        is_relayed(nodes.len()) && !relays(&nodes).contains(own)
    }

    /// Returns the number of relays in the zone of this node.
    pub(crate) fn relay_count(&self) -> u32 {
        u32::try_from(relay_count(lock(&self.nodes).len())).unwrap_or(u32::MAX)
    }

    /// Returns the number of nodes in the zone of this node.
    fn zone_nodes(&self) -> usize {
        lock(&self.nodes).len()
    }

    /// Returns the relays of the zone that come after this node. Of two relays, the first one calls.
    fn later_relays(&self, own: &NodeId) -> Vec<(NodeId, SocketAddr)> {
        let nodes = lock(&self.nodes);
        let relays = &nodes[..relay_count(nodes.len())];
        relays.iter().filter(|(id, _)| id > own).cloned().collect()
    }

    fn node_ids(&self) -> Vec<NodeId> {
        lock(&self.nodes).iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the address of a node of the zone for other nodes.
    pub(crate) fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        let nodes = lock(&self.nodes);
        let position = nodes.binary_search_by(|(id, _)| id.cmp(node)).ok()?;
        Some(nodes[position].1)
    }

    /// Returns the positions of all topics, with their classes.
    fn requests(&self) -> Vec<(TopicRequest, TopicClass)> {
        let followers = lock(&self.followers);
        followers.values().map(|follower| (follower.position.clone(), follower.class)).collect()
    }

    /// Sets where the tasks get changes from, and wakes those that wait elsewhere. Returns whether that has
    /// changed.
    fn set_source(&self, source: Source) -> bool {
        let before = std::mem::replace(&mut *lock(&self.source), source);
        if before == source {
            return false;
        }
        match source {
            Source::Origins => {
                for follower in lock(&self.followers).values() {
                    // If the channel is full, the task wakes up anyway.
                    let _ = follower.updates.try_send(Delivery::Ended);
                }
            }
            Source::Relay | Source::Pending => {
                // Dropping the senders wakes the receivers.
                lock(&self.at_origins).clear();
                // What this node has read from the origins becomes old, so its followers must leave it.
                lock(&self.read).record_all_lost();
                lock(&self.held_requests).clear();
            }
        }
        true
    }

    /// Returns the urgent topics that relays read often, sorted.
    fn often_read_topics(&self) -> Vec<SmolStr> {
        let is_often_read = |follower: &&Follower| {
            follower.class == TopicClass::Urgent && follower.max_age_ms <= OFTEN_READ_AGE_MS
        };
        let followers = lock(&self.followers);
        let often_read = followers.values().filter(is_often_read);
        often_read.map(|follower| follower.position.topic.clone()).collect()
    }

    /// Returns when all of the urgent topics had been confirmed that relays read often.
    fn confirmed_at(&self) -> Option<Instant> {
        let topics = self.often_read_topics();
        let held = lock(&self.held);
        topics.iter().filter_map(|topic| held.confirmed_at(topic)).min()
    }

    /// Returns whether the origin of an urgent topic does not answer this node.
    fn has_lost_origin(&self) -> bool {
        lock(&self.read).has_lost_urgent()
    }

    /// Passes an update of a relay to the task of its topic; returns whether the relay may be followed: the
    /// update is recent enough, and not of an era of the key-value service before that of this node.
    fn deliver(
        &self,
        relay: &NodeId,
        request: TopicRequest,
        update: TopicUpdate,
        times: (Instant, u64),
        now: Instant,
    ) -> bool {
        let (sent_at, held_ms) = times;
        let confirmed_at = update.confirmed_at(sent_at, held_ms);
        let outage_ended_at = update.outage_ended_at(sent_at, held_ms);
        let (items, is_transferring) =
            match update.items.map(|items| self.values.resolve(relay, items)) {
                Some(Resolution::Ready(items)) => (Some(items), false),
                Some(Resolution::Transferring) => (None, true),
                Some(Resolution::Unavailable) | None => (None, false),
            };
        let mut followers = lock(&self.followers);
        let Some(follower) = followers.get_mut(&request.topic) else { return true };
        let has_items = items.is_some() || is_transferring;
        let era_step = match is_keys_topic(&request.topic) {
            true => EraStep::of(request.epoch, update.epoch, has_items),
            false => EraStep::Apply,
        };
        let is_recent = now.ms_since(confirmed_at) <= follower.max_age_ms;
        let is_usable = is_recent && era_step != EraStep::Refuse;
        let is_for_task = items.is_some() || era_step == EraStep::ListAgain;
        let delivery = match (is_usable, is_transferring) {
            (true, true) => Delivery::Transferring,
            (true, false) if is_for_task => {
                let changes = RelayedChanges {
                    epoch: update.epoch,
                    end: update.end,
                    items,
                    confirmed_at,
                    outage_ended_at,
                    clock_ms: update.clock_ms,
                };
                Delivery::Changes(request, changes)
            }
            (true, false) => Delivery::Unsent,
            // The relay is given up for it, and another source is found for all topics.
            (false, _) if follower.class == TopicClass::Urgent => return false,
            (false, _) => Delivery::Ended,
        };
        // If the task has not taken the previous update yet, the next reply repeats this one.
        let _ = follower.updates.try_send(delivery);
        is_usable
    }

    /// Answers a follower, with `other_bytes` of the reply taken by something else.
    fn answer(
        &self,
        requests: &[TopicRequest],
        accepts_references: bool,
        other_bytes: Bytes,
        now: Instant,
    ) -> Vec<TopicUpdate> {
        let limit = MAX_REPLY.saturating_sub(other_bytes);
        let mut updates = lock(&self.read).answer_all(requests, limit, now);
        if !accepts_references {
            let is_reference = |item: &RelayItem| matches!(item, RelayItem::Reference(_));
            for update in &mut updates {
                update.items.take_if(|items| items.iter().any(is_reference));
            }
        }
        updates
    }

    /// Returns a receiver that is closed when an urgent topic gets news, or `None` if one of the
    /// requests would get some now.
    fn wait_for_news(&self, requests: &[TopicRequest]) -> Option<Receiver<()>> {
        let (sender, receiver) = bounded(1);
        {
            let mut held_requests = lock(&self.held_requests);
            held_requests.retain(|held| !held.is_closed());
            held_requests.push(sender);
        }
        let read = lock(&self.read);
        let is_urgent = |request: &TopicRequest| read.class(&request.topic) == TopicClass::Urgent;
        let has_news = |request: &&TopicRequest| is_urgent(request) && read.has_news(request);
        requests.iter().find(has_news).is_none().then_some(receiver)
    }
}

/// Returns the topic of the keys with a prefix.
pub(crate) fn keys_topic(prefix: &str) -> SmolStr {
    smol_str::format_smolstr!("{KEYS_TOPICS}{prefix}")
}

fn is_keys_topic(topic: &SmolStr) -> bool {
    topic.starts_with(KEYS_TOPICS)
}

/// Returns the key under which the list of a topic is held and transferred.
fn list_key(topic: &SmolStr) -> SmolStr {
    smol_str::format_smolstr!("list:{topic}")
}

/// Returns the topic under which the bytes of a large value are counted.
fn value_topic(key: &str) -> SmolStr {
    smol_str::format_smolstr!("value:{key}")
}

/// Returns the topic of a store.
pub(crate) fn store_topic(store: &str) -> SmolStr {
    smol_str::format_smolstr!("store:{store}")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
