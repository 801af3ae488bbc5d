//! Settings of a gateway.

use std::net::SocketAddr;

use yuccapass_decisions::gateway::{RetryLimits, SwapLimits};
use yuccapass_types::{Incarnation, NodeId, RegionId, SortedMap, ZoneId};

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Name of this node.
    pub node: NodeId,
    /// Tells this process from earlier ones of the node.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The zones of the deployment with their regions.
    pub zones: SortedMap<ZoneId, RegionId>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness and metrics are served.
    pub readiness_address: SocketAddr,
    /// Whether keys count as revoked once they cannot be confirmed.
    pub is_fail_closed: bool,
    /// Longest time for which a revoked key may still work.
    pub revoke_bound_ms: u64,
    /// The bound of the retries that all nodes make together.
    pub retry_limits: RetryLimits,
    /// Time from a stop signal after which the process is killed.
    pub stop_limit_ms: u64,
    /// Limits of weight swaps.
    pub swap_limits: SwapLimits,
    /// Time without an acknowledgement after which a connection to an endpoint counts as broken.
    pub silence_ms: u64,
    /// Most open connections from callers.
    pub max_connections: usize,
}
