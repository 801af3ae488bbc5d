//! Reads what the nodes publish in the platform's key-value service: their registrations, and the lock
//! for weight swaps.

use std::sync::Arc;

use async_std::task;
use yuccapass_decisions::gateway::relay::TopicClass;
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_http::sleep_until;
use yuccapass_platform::{Change, ChangeKind, Entry, Key, PlatformClient};
use yuccapass_types::{Deadline, NodeId};

use crate::registration::{NODE_KEYS, NodeEntry, Registration};
use crate::state::Shared;
use crate::swap_leader::SwapLeader;
use crate::watch::{WatchHandler, WatchSettings, read_all, watch_prefix};

/// Prefix of the keys of the lock for weight swaps.
pub(crate) const SWAP_LOCK_PREFIX: &str = "yuccapass/weights/";

/// How long one watch call for the lock for weight swaps waits. It may be long: the client notices by
/// other calls if the connection is silent.
const SWAP_LOCK_WATCH_MS: u64 = 20_000;

/// Period of reading the registrations of the nodes. It may be long, because the limits that depend
/// on the number of nodes include a margin. A watch would cost a call of each node for each node
/// that starts.
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
    task::spawn(count_nodes(Arc::clone(shared), Arc::clone(platform)));
    let registration = Registration::new(
        Arc::clone(shared),
        Arc::clone(platform),
        platform.key_value(CallRank::Lease).with_purpose(CallPurpose::Nodes),
    );
    task::spawn(registration.run());
}

/// Counts the registered nodes until the process ends.
async fn count_nodes(shared: Arc<Shared>, platform: Arc<PlatformClient>) {
    let prefix: Key = NODE_KEYS.parse().expect("the prefix is a valid key");
    let reader = platform.key_value(CallRank::Refresh).with_purpose(CallPurpose::Nodes);
    loop {
        // Until the other nodes are known, a stale list could miss those that have just started.
        let may_be_stale = shared.fleet().is_known();
        let period_ms = if may_be_stale { NODES_PERIOD_MS } else { FIRST_NODES_PERIOD_MS };
        let next = Deadline::after_ms(shared.now(), period_ms);
        match read_all(&shared, &reader, &prefix, may_be_stale).await {
            Ok(entries) => {
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
                let nodes = entries.iter().filter_map(|entry| node_of(&entry.key)).collect();
                update_nodes(&shared, &platform, nodes);
            }
            Err(error) => log::debug!(error:%; "the registered nodes could not be read"),
        }
        sleep_until(&*shared.clock, next).await;
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
fn read_entries(shared: &Shared, entries: &[Entry]) {
    let mut zone_nodes = Vec::new();
    let mut other_nodes = Vec::new();
    let mut neighbours = Vec::new();
    for entry in entries {
        let Some(node) = node_of(&entry.key) else { continue };
        match serde_json::from_slice::<NodeEntry>(entry.value.as_bytes()) {
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
    shared.relay.replace_nodes(zone_nodes);
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
