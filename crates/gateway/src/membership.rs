//! Follows what the nodes publish in the platform's key-value service: their registrations, and the lock
//! for weight swaps.
//!
//! Followers get the registrations from their relays, as changes. If each node listed them, what the links between
//! regions carry would grow with the square of the number of nodes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use yuccapass_decisions::gateway::relay::TopicClass;
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_http::sleep_until;
use yuccapass_platform::{Change, ChangeKind, Entry, Key, PlatformClient, Value};
use yuccapass_types::{Deadline, NodeId, SortedMap};

use crate::registration::{NODE_KEYS, NodeEntry, Registration};
use crate::state::Shared;
use crate::swap_leader::SwapLeader;
use crate::watch::{WatchHandler, WatchSettings, watch_prefix};

/// Prefix of the keys of the lock for weight swaps.
pub(crate) const SWAP_LOCK_PREFIX: &str = "yuccapass/weights/";

/// How long one watch call for the lock for weight swaps waits. It may be long: the client notices by
/// other calls if the connection is silent.
const SWAP_LOCK_WATCH_MS: u64 = 20_000;

/// How long one watch call for the registrations waits.
const NODES_WATCH_MS: u64 = 5_000;

/// Pause after a watch call that returned registrations, so that those of several nodes are returned together.
const NODES_PAUSE_MS: u64 = 500;

/// Period of counting the registered nodes. It may be long, because the limits that depend on the number of
/// nodes include a margin.
const NODES_PERIOD_MS: u64 = 2_000;

/// Period until the other nodes are known.
const FIRST_NODES_PERIOD_MS: u64 = 1_000;

/// Starts the registration, the count of the nodes and the watch of the lock for weight swaps.
pub(crate) fn start(
    shared: &Arc<Shared>,
    platform: &Arc<PlatformClient>,
    swap_leader: &Arc<SwapLeader>,
) {
    let swap_lock_settings = WatchSettings {
        prefix: SWAP_LOCK_PREFIX.parse().expect("the prefix is a valid key"),
        watch_ms: SWAP_LOCK_WATCH_MS,
        relay_watch_ms: Some(SWAP_LOCK_WATCH_MS),
        pause_ms: 0,
        purpose: CallPurpose::WeightSwaps,
        class: TopicClass::Urgent,
    };
    let handler = Arc::new(SwapLockHandler { swap_leader: Arc::clone(swap_leader) });
    task::spawn(watch_prefix(
        Arc::clone(shared),
        Arc::clone(platform),
        swap_lock_settings,
        handler,
    ));
    let node_settings = WatchSettings {
        prefix: NODE_KEYS.parse().expect("the prefix is a valid key"),
        watch_ms: NODES_WATCH_MS,
        relay_watch_ms: Some(NODES_WATCH_MS),
        pause_ms: NODES_PAUSE_MS,
        purpose: CallPurpose::Nodes,
        class: TopicClass::Background,
    };
    let registrations = Arc::new(Registrations::default());
    let handler = Arc::clone(&registrations) as Arc<dyn WatchHandler>;
    task::spawn(watch_prefix(Arc::clone(shared), Arc::clone(platform), node_settings, handler));
    task::spawn(count_nodes(Arc::clone(shared), Arc::clone(platform), registrations));
    let registration = Registration::new(
        Arc::clone(shared),
        Arc::clone(platform),
        platform.key_value(CallRank::Lease).with_purpose(CallPurpose::Nodes),
    );
    task::spawn(registration.run());
}

/// The registrations of all nodes, as far as this node has read them.
struct Registrations {
    // `None` until they were listed.
    entries: Mutex<Option<SortedMap<Key, Value>>>,
    // The sender is dropped with the first list.
    before_list: Mutex<Option<Sender<()>>>,
    listed: Receiver<()>,
}

impl Default for Registrations {
    fn default() -> Self {
        let (sender, listed) = bounded(1);
        Self { entries: Mutex::default(), before_list: Mutex::new(Some(sender)), listed }
    }
}

impl Registrations {
    /// Waits for the first list.
    async fn first_list(&self) {
        // The receiver only ever closes.
        let _ = self.listed.recv().await;
    }

    fn entries(&self) -> SortedMap<Key, Value> {
        lock(&self.entries).clone().unwrap_or_default()
    }
}

impl WatchHandler for Registrations {
    fn replace(&self, entries: &[Entry]) {
        let listed = entries.iter().map(|entry| (entry.key.clone(), entry.value.clone()));
        *lock(&self.entries) = Some(listed.collect());
        drop(lock(&self.before_list).take());
    }

    fn change(&self, changes: &[Change]) {
        let mut entries = lock(&self.entries);
        let Some(entries) = &mut *entries else { return };
        for change in changes {
            match &change.kind {
                ChangeKind::Put(entry) => {
                    entries.insert(entry.key.clone(), entry.value.clone());
                }
                ChangeKind::Deleted(key) => {
                    entries.remove(key);
                }
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts the registered nodes until the process ends.
async fn count_nodes(
    shared: Arc<Shared>,
    platform: Arc<PlatformClient>,
    registrations: Arc<Registrations>,
) {
    registrations.first_list().await;
    loop {
        let entries = registrations.entries();
        let now = shared.now();
        shared.fleet().record_era(platform.era().get(), now);
        let may_miss_relays = {
            let fleet = shared.fleet();
            fleet.is_known() && fleet.is_incomplete(now)
        };
        // With a list that misses most nodes, many would be relays and watch by themselves.
        if !may_miss_relays {
            read_entries(&shared, &entries);
        }
        update_nodes(&shared, &platform, entries.keys().filter_map(node_of).collect());
        let is_known = shared.fleet().is_known();
        let period_ms = if is_known { NODES_PERIOD_MS } else { FIRST_NODES_PERIOD_MS };
        sleep_until(&*shared.clock, Deadline::after_ms(now, period_ms)).await;
    }
}

fn update_nodes(shared: &Shared, platform: &PlatformClient, nodes: Vec<NodeId>) {
    let now = shared.now();
    let before = shared.nodes();
    shared.fleet().replace(nodes, now);
    let after = shared.nodes();
    if before != after {
        log::info!(before, after; "the number of nodes has changed");
    }
    // Until the other nodes are known, this node's share of the platform's call rate is not limited
    // by the assumed number of nodes: with a hundredth of the rate, its own registration waited for
    // seconds behind its other calls.
    if shared.fleet().is_known() {
        platform.set_fleet_nodes(after);
    }
    shared.metrics.record_node_count(after);
}

/// Records which nodes of the zone may be relays, which nodes of the other zones may keep streams, and through
/// which nodes requests may be sent.
fn read_entries(shared: &Shared, entries: &SortedMap<Key, Value>) {
    let mut zone_nodes = Vec::new();
    let mut other_nodes = Vec::new();
    let mut neighbours = Vec::new();
    for (key, value) in entries.iter() {
        let Some(node) = node_of(key) else { continue };
        match serde_json::from_slice::<NodeEntry>(value.as_bytes()) {
            Ok(node_entry) => {
                let is_other = node != shared.options.node;
                neighbours.extend(node_entry.neighbour(&node).filter(|_| is_other));
                match node_entry.peer() {
                    Some((zone, address)) if zone == shared.options.zone => {
                        zone_nodes.push((node, address));
                    }
                    Some((zone, address)) => other_nodes.push((zone, node, address)),
                    None => {}
                }
            }
            Err(error) => {
                log::debug!(
                    node = node.as_str(), error:%;
                    "the registration of a node could not be decoded"
                );
            }
        }
    }
    shared.streams.replace_other_nodes(other_nodes);
    shared.relay.replace_nodes(&shared.options.node, zone_nodes);
    shared.detours.replace(neighbours);
}

fn node_of(key: &Key) -> Option<NodeId> {
    key.as_str().strip_prefix(NODE_KEYS)?.parse().ok()
}

/// Tells the [`SwapLeader`] whether any node holds the lock for weight swaps.
struct SwapLockHandler {
    swap_leader: Arc<SwapLeader>,
}

impl WatchHandler for SwapLockHandler {
    fn replace(&self, entries: &[Entry]) {
        let has_holder = entries.iter().any(|entry| self.swap_leader.is_holder_key(&entry.key));
        self.swap_leader.set_has_holder(has_holder);
    }

    fn change(&self, changes: &[Change]) {
        for change in changes {
            let (key, is_present) = match &change.kind {
                ChangeKind::Put(entry) => (&entry.key, true),
                ChangeKind::Deleted(key) => (key, false),
            };
            if self.swap_leader.is_holder_key(key) {
                self.swap_leader.set_has_holder(is_present);
            }
        }
    }
}
