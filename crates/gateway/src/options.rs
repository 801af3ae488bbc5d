//! The settings of a gateway.

use std::net::SocketAddr;

use yuccapass_decisions::gateway::{RetryLimits, SwapLimits};
use yuccapass_types::{Incarnation, NodeId, RegionId, SortedMap, ZoneId};

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Name of this node.
    pub node: NodeId,
    /// Distinguishes this process from earlier ones of the same node.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The zones of the deployment with their regions.
    pub zones: SortedMap<ZoneId, RegionId>,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for readiness checks and metrics.
    pub readiness_address: SocketAddr,
    /// The address for other nodes. Without it, this node neither follows relays nor is one.
    pub peer_address: Option<SocketAddr>,
    /// Whether to reject API keys that could not be confirmed within `revoke_bound_ms`.
    pub is_fail_closed: bool,
    /// Maximum time for which a revoked API key may still work.
    pub revoke_bound_ms: u64,
    /// The limit on the retries of all nodes together.
    pub retry_limits: RetryLimits,
    /// Time from a stop signal after which the process is killed.
    pub stop_limit_ms: u64,
    /// Limits of weight swaps.
    pub swap_limits: SwapLimits,
    /// Time without a TCP acknowledgement after which a connection to an endpoint counts as broken.
    pub silence_ms: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
}
