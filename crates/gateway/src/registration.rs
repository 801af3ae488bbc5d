//! Registers this node in the platform's key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccapass_decisions::gateway::Neighbour;
use yuccapass_decisions::platform_budget::{LeaseHolder, LeaseStep, LeaseTerms, RequestTime};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Key, KeyValue, KeyValueClient, LeaseId, LeaseTtl, PlatformClient, PlatformError,
    PlatformErrorKind, Transaction, Value, Write,
};
use yuccapass_types::{Deadline, FencingNumber, Incarnation, NodeId, ZoneId};

use crate::state::Shared;

/// Prefix of the keys of nodes.
pub(crate) const NODE_KEYS: &str = "yuccapass/nodes/";

/// Time to live of a registration. A shorter one would cost more renewals, and only the nodes'
/// shares of limits depend on it, which include a margin.
const REGISTRATION_TTL_MS: u64 = 6_000;

/// Timeout of a call to the key-value service.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Period of the check for a new era of the key-value service, in which the registration is lost. The other
/// calls of the node hear of it; this one makes none.
const ERA_CHECK_MS: u64 = 250;

/// Pause after a failed call.
const RETRY_PAUSE_MS: u64 = 500;

/// The value of a node's registration.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct NodeEntry {
    incarnation: Incarnation,
    // Absent in entries of versions that had no relays.
    zone: Option<ZoneId>,
    peer_address: Option<SocketAddr>,
    // Absent in entries of versions that send no requests through other nodes.
    caller_address: Option<SocketAddr>,
}

impl NodeEntry {
    /// Returns the node for others that send requests through it.
    pub(crate) fn neighbour(&self, node: &NodeId) -> Option<Neighbour> {
        let (zone, address) = (self.zone.clone()?, self.caller_address?);
        Some(Neighbour { node: node.clone(), zone, address })
    }

    /// Returns the node's zone and its address for other nodes, if it accepts their connections.
    pub(crate) fn peer(self) -> Option<(ZoneId, SocketAddr)> {
        Some((self.zone?, self.peer_address?))
    }
}

/// The registration of this node.
pub(crate) struct Registration {
    platform: Arc<PlatformClient>,
    key_value: KeyValueClient,
    shared: Arc<Shared>,
    holder: LeaseHolder,
    lease: Option<LeaseId>,
}

impl Registration {
    pub(crate) fn new(
        shared: Arc<Shared>,
        platform: Arc<PlatformClient>,
        key_value: KeyValueClient,
    ) -> Self {
        let holder = LeaseHolder::new(LeaseTerms::new(REGISTRATION_TTL_MS));
        Self { platform, key_value, shared, holder, lease: None }
    }

    /// Registers the node and renews the registration until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let now = self.shared.now();
            self.check_era();
            let wake_at = match self.holder.next_step(now) {
                LeaseStep::WaitUntil(instant) => {
                    Deadline::after_ms(instant, 0).earlier(Deadline::after_ms(now, ERA_CHECK_MS))
                }
                step => match self.call(step).await {
                    Ok(()) => continue,
                    Err(error) => {
                        log::debug!(error:%; "the registration of this node could not be renewed");
                        Deadline::after_ms(self.shared.now(), RETRY_PAUSE_MS)
                    }
                },
            };
            sleep_until(&*self.shared.clock, wake_at).await;
        }
    }

    /// Gives the registration up if it belongs to an earlier era, so that the node registers at once.
    fn check_era(&mut self) {
        let era = self.platform.era();
        if self.lease.take_if(|lease| lease.era() < era).is_some() {
            self.holder.lost();
        }
    }

    async fn call(&mut self, step: LeaseStep) -> Result<(), PlatformError> {
        let sent_at = self.shared.now();
        let deadline = Deadline::after_ms(sent_at, CALL_TIMEOUT_MS);
        let request_time = RequestTime::at(sent_at);
        match (step, self.lease) {
            (LeaseStep::Renew, Some(lease)) => {
                match self.key_value.lease_keep_alive(lease, deadline).await {
                    Ok(grant) => {
                        self.holder.renewed(request_time, grant.ttl.as_ms(), self.shared.now());
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
            _ => self.register(request_time, deadline).await,
        }
    }

    async fn register(
        &mut self,
        request_time: RequestTime,
        deadline: Deadline,
    ) -> Result<(), PlatformError> {
        let ttl = LeaseTtl::new(REGISTRATION_TTL_MS.div_ceil(1_000));
        let grant = self.key_value.lease_grant(ttl, deadline).await?;
        self.write(grant.id, deadline).await?;
        self.lease = Some(grant.id);
        self.holder.acquired(request_time, grant.ttl.as_ms(), FencingNumber::default());
        log::info!(node = self.shared.options.node.as_str(); "this node is registered");
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
            zone: Some(self.shared.options.zone.clone()),
            peer_address: self.shared.options.peer_address,
            caller_address: Some(self.shared.options.caller_address),
        };
        let json = serde_json::to_vec(&entry).map_err(|error| invalid(&error))?;
        let value = Value::new(json).map_err(|error| invalid(&error))?;
        let put = Write::Put { key, value, lease: Some(lease) };
        let transaction = Transaction { compares: Vec::new(), writes: vec![put] };
        self.key_value.compare_and_swap(&transaction, deadline).await.map(drop)
    }
}
