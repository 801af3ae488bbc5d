//! Registers this node in the platform's key-value service and counts the others.

use std::sync::Arc;

use async_std::task;
use yuccapass_decisions::platform_budget::{Asked, CallRank, LeaseHolder, LeaseStep, LeaseTerms};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, Entry, Key, KeyValue, LeaseId, LeaseTtl, PlatformClient, PlatformError,
    PlatformErrorKind, RankedKeyValue, Transaction, Value, Write,
};
use yuccapass_types::{Deadline, FencingNumber, NodeId};

use crate::follow::{Follower, follow};
use crate::state::Shared;
use crate::weights::WeightDuty;

/// The beginning of all keys that nodes write.
pub(crate) const OWN_KEYS: &str = "yuccapass/";

/// The beginning of the keys of nodes.
const NODE_KEYS: &str = "yuccapass/nodes/";

/// Lifetime of a registration. Shorter ones cost more renewals; nothing but shares of bounds, which
/// keep a reserve, depends on it.
const REGISTRATION_TTL_MS: u64 = 6_000;

/// How long one watch of the nodes' keys waits.
const WATCH_MS: u64 = 4_000;

/// How long a call may take.
const CALL_LIMIT_MS: u64 = 1_500;

/// Pause after a failed call.
const PAUSE_MS: u64 = 500;

/// Starts the registration and the follower of the nodes' keys.
pub(crate) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>, duty: &Arc<WeightDuty>) {
    let members = Members {
        shared: Arc::clone(shared),
        platform: Arc::clone(platform),
        duty: Arc::clone(duty),
    };
    let prefix: Key = OWN_KEYS.parse().expect("the prefix is a valid key");
    let (follower_shared, client) = (Arc::clone(shared), Arc::clone(platform));
    task::spawn(follow(follower_shared, client, prefix, WATCH_MS, Arc::new(members)));
    let registration = Registration {
        key_value: platform.ranked(CallRank::Lease),
        shared: Arc::clone(shared),
        holder: LeaseHolder::new(LeaseTerms::new(REGISTRATION_TTL_MS)),
        lease: None,
    };
    task::spawn(registration.keep());
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
            sleep_until(&*self.shared.clock, wake_at).await;
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
        let node = &self.shared.options.node;
        let invalid = |error: &dyn std::fmt::Display| {
            PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
        };
        let key: Key = format!("{NODE_KEYS}{node}").parse().map_err(|error| invalid(&error))?;
        let value = Value::new(node.as_str().into()).map_err(|error| invalid(&error))?;
        let put = Write::Put { key, value, lease: Some(grant.id) };
        let transaction = Transaction { compares: Vec::new(), writes: vec![put] };
        self.key_value.compare_and_swap(&transaction, deadline).await?;
        self.lease = Some(grant.id);
        self.holder.acquired(asked, grant.ttl.as_ms(), FencingNumber::default());
        log::info!(node = node.as_str(); "the node is registered");
        Ok(())
    }
}

/// Follows the keys of the nodes.
struct Members {
    shared: Arc<Shared>,
    platform: Arc<PlatformClient>,
    duty: Arc<WeightDuty>,
}

impl Members {
    fn share_platform(&self) {
        self.platform.set_fleet_nodes(self.shared.nodes());
    }
}

fn node_of(key: &Key) -> Option<NodeId> {
    key.as_str().strip_prefix(NODE_KEYS)?.parse().ok()
}

impl Follower for Members {
    fn replace(&self, entries: &[Entry]) {
        let now = self.shared.now();
        let nodes = entries.iter().filter_map(|entry| node_of(&entry.key)).collect();
        self.shared.fleet().replace(nodes, now);
        self.share_platform();
        let has_holder = entries.iter().any(|entry| self.duty.is_holder_key(&entry.key));
        self.duty.holder_seen(has_holder);
    }

    fn change(&self, change: &Change) {
        let now = self.shared.now();
        let (key, is_present) = match &change.kind {
            ChangeKind::Put(entry) => (&entry.key, true),
            ChangeKind::Deleted(key) => (key, false),
        };
        if self.duty.is_holder_key(key) {
            self.duty.holder_seen(is_present);
        }
        let Some(node) = node_of(key) else { return };
        log::info!(node = node.as_str(), is_present; "the set of nodes has changed");
        match is_present {
            true => self.shared.fleet().joined(node),
            false => self.shared.fleet().left(&node, now),
        }
        self.share_platform();
    }
}
