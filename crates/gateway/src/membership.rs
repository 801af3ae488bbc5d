//! Registers this node in the platform's key-value service and counts the others.

use std::sync::Arc;

use async_std::task;
use futures::future::{Either, select};
use serde::{Deserialize, Serialize};
use yuccapass_decisions::platform_budget::{Asked, CallRank, LeaseHolder, LeaseStep, LeaseTerms};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, Entry, Key, KeyValue, LeaseId, LeaseTtl, PlatformClient, PlatformError,
    PlatformErrorKind, RankedKeyValue, Transaction, Value, Write,
};
use yuccapass_types::{Deadline, FencingNumber, Incarnation, NodeId};

use crate::crashes::CrashEntry;
use crate::follow::{FollowTerms, Follower, follow, read_all};
use crate::state::Shared;
use crate::weights::WeightDuty;

/// The beginning of the keys of nodes.
const NODE_KEYS: &str = "yuccapass/nodes/";

/// Lifetime of a registration. Shorter ones cost more renewals; nothing but shares of bounds, which
/// keep a reserve, depends on it.
const REGISTRATION_TTL_MS: u64 = 6_000;

/// The beginning of the keys of the duty to order new weights.
pub(crate) const DUTY_KEYS: &str = "yuccapass/weights/";

/// How long one watch for the holder of the duty waits. It is the other nodes that notice if this
/// one's connection has gone silent.
const DUTY_WATCH_MS: u64 = 20_000;

/// Period of reading the nodes' keys. The number of nodes is a share of bounds that keep a reserve,
/// and a watch would cost a call of each node for each node that starts.
const NODES_PERIOD_MS: u64 = 2_000;

/// Period while this node does not find its own registration in what it reads.
const FIRST_NODES_PERIOD_MS: u64 = 1_000;

/// How long a call may take.
const CALL_LIMIT_MS: u64 = 1_500;

/// Pause after a failed call.
const PAUSE_MS: u64 = 500;

/// Starts the registration, the count of the nodes and the follower of the duty's keys.
pub(crate) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>, duty: &Arc<WeightDuty>) {
    let duty_terms = FollowTerms {
        prefix: DUTY_KEYS.parse().expect("the prefix is a valid key"),
        watch_ms: DUTY_WATCH_MS,
        pause_ms: 0,
    };
    let holders = Arc::new(Holders { duty: Arc::clone(duty) });
    task::spawn(follow(Arc::clone(shared), Arc::clone(platform), duty_terms, holders));
    task::spawn(count_nodes(Arc::clone(shared), Arc::clone(platform)));
    let registration = Registration {
        key_value: platform.ranked(CallRank::Lease),
        shared: Arc::clone(shared),
        holder: LeaseHolder::new(LeaseTerms::new(REGISTRATION_TTL_MS)),
        lease: None,
    };
    task::spawn(registration.keep());
}

/// Counts the registered nodes until the process ends.
async fn count_nodes(shared: Arc<Shared>, platform: Arc<PlatformClient>) {
    let prefix: Key = NODE_KEYS.parse().expect("the prefix is a valid key");
    let reader = platform.ranked(CallRank::Refresh);
    loop {
        // Until the others are known, a stale list could leave out those that have just started.
        let may_be_stale = shared.fleet().is_known();
        let period_ms = if may_be_stale { NODES_PERIOD_MS } else { FIRST_NODES_PERIOD_MS };
        let next = Deadline::after_ms(shared.now(), period_ms);
        match read_all(&shared, &reader, &prefix, may_be_stale).await {
            Ok((entries, _)) => {
                merge_crashes(&shared, &entries);
                let nodes = entries.iter().filter_map(|entry| node_of(&entry.key)).collect();
                note_nodes(&shared, &platform, nodes);
            }
            Err(error) => log::debug!(error:%; "the nodes could not be counted"),
        }
        sleep_until(&*shared.clock, next).await;
    }
}

fn note_nodes(shared: &Shared, platform: &PlatformClient, nodes: Vec<NodeId>) {
    let now = shared.now();
    let before = shared.nodes();
    shared.fleet().replace(nodes, now);
    let after = shared.nodes();
    if before != after {
        log::info!(before, after; "the number of nodes has changed");
    }
    // A node that does not know the others may call as it likes: while it took the part of one of a
    // hundred nodes, its registration waited for seconds behind its other calls.
    if shared.fleet().is_known() {
        platform.set_fleet_nodes(after);
    }
    shared.metrics.nodes(after);
}

/// Takes what other nodes have counted of requests that crash endpoints.
fn merge_crashes(shared: &Shared, entries: &[Entry]) {
    for entry in entries {
        let Some(node) = node_of(&entry.key) else { continue };
        match serde_json::from_slice::<NodeEntry>(entry.value.as_bytes()) {
            Ok(said) => {
                shared.crashes.merge(&node, said.incarnation, &said.crashes, shared.now());
            }
            Err(error) => {
                log::debug!(node = node.as_str(), error:%; "a node's entry cannot be understood");
            }
        }
    }
}

/// What a node says of itself to the others.
#[derive(Debug, Serialize, Deserialize)]
struct NodeEntry {
    incarnation: Incarnation,
    crashes: Vec<CrashEntry>,
}

/// The registration of this node.
struct Registration {
    key_value: RankedKeyValue,
    shared: Arc<Shared>,
    holder: LeaseHolder,
    lease: Option<LeaseId>,
}

impl Registration {
    /// Registers the node and renews the registration until the process ends.
    async fn keep(mut self) {
        loop {
            let now = self.shared.now();
            let wake_at = match self.holder.next_step(now) {
                LeaseStep::WaitUntil(instant) => Deadline::after_ms(instant, 0),
                step => match self.call(step).await {
                    Ok(()) => continue,
                    Err(error) => {
                        log::debug!(error:%; "the node's registration could not be renewed");
                        Deadline::after_ms(self.shared.now(), PAUSE_MS)
                    }
                },
            };
            let sleeping = Box::pin(sleep_until(&*self.shared.clock, wake_at));
            let changing = Box::pin(self.shared.crashes.changed());
            if matches!(select(sleeping, changing).await, Either::Right(_)) {
                self.tell_crashes().await;
            }
        }
    }

    /// Writes the registration anew with what this node has counted, and lets some time pass, so that
    /// a crash that breaks many requests costs few writes.
    async fn tell_crashes(&self) {
        let pause = Deadline::after_ms(self.shared.now(), PAUSE_MS);
        sleep_until(&*self.shared.clock, pause).await;
        let Some(lease) = self.lease else { return };
        let deadline = Deadline::after_ms(self.shared.now(), CALL_LIMIT_MS);
        if let Err(error) = self.write(lease, deadline).await {
            log::debug!(error:%; "the node's registration could not be written anew");
            self.shared.crashes.wake();
        }
    }

    async fn call(&mut self, step: LeaseStep) -> Result<(), PlatformError> {
        let asked_at = self.shared.now();
        let deadline = Deadline::after_ms(asked_at, CALL_LIMIT_MS);
        let asked = Asked::at(asked_at);
        match (step, self.lease) {
            (LeaseStep::Renew, Some(lease)) => {
                match self.key_value.lease_keep_alive(lease, deadline).await {
                    Ok(grant) => {
                        self.holder.renewed(asked, grant.ttl.as_ms(), self.shared.now());
                        Ok(())
                    }
                    Err(error) => {
                        if error.kind() == PlatformErrorKind::LeaseNotFound {
                            self.holder.lost();
                        }
                        Err(error)
                    }
                }
            }
            _ => self.register(asked, deadline).await,
        }
    }

    async fn register(&mut self, asked: Asked, deadline: Deadline) -> Result<(), PlatformError> {
        let ttl = LeaseTtl::new(REGISTRATION_TTL_MS.div_ceil(1_000));
        let grant = self.key_value.lease_grant(ttl, deadline).await?;
        self.write(grant.id, deadline).await?;
        self.lease = Some(grant.id);
        self.holder.acquired(asked, grant.ttl.as_ms(), FencingNumber::default());
        log::info!(node = self.shared.options.node.as_str(); "the node is registered");
        Ok(())
    }

    async fn write(&self, lease: LeaseId, deadline: Deadline) -> Result<(), PlatformError> {
        let node = &self.shared.options.node;
        let invalid = |error: &dyn std::fmt::Display| {
            PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
        };
        let key: Key = format!("{NODE_KEYS}{node}").parse().map_err(|error| invalid(&error))?;
        let entry = NodeEntry {
            incarnation: self.shared.options.incarnation,
            crashes: self.shared.crashes.reports(self.shared.now()),
        };
        let json = serde_json::to_vec(&entry).map_err(|error| invalid(&error))?;
        let value = Value::new(json).map_err(|error| invalid(&error))?;
        let put = Write::Put { key, value, lease: Some(lease) };
        let transaction = Transaction { compares: Vec::new(), writes: vec![put] };
        self.key_value.compare_and_swap(&transaction, deadline).await.map(drop)
    }
}

fn node_of(key: &Key) -> Option<NodeId> {
    key.as_str().strip_prefix(NODE_KEYS)?.parse().ok()
}

/// Follows the keys of the duty to order new weights.
struct Holders {
    duty: Arc<WeightDuty>,
}

impl Follower for Holders {
    fn replace(&self, entries: &[Entry]) {
        let has_holder = entries.iter().any(|entry| self.duty.is_holder_key(&entry.key));
        self.duty.holder_seen(has_holder);
    }

    fn change(&self, change: &Change) {
        let (key, is_present) = match &change.kind {
            ChangeKind::Put(entry) => (&entry.key, true),
            ChangeKind::Deleted(key) => (key, false),
        };
        if self.duty.is_holder_key(key) {
            self.duty.holder_seen(is_present);
        }
    }
}
