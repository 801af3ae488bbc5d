//! The settings of a gateway.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use snafu::Snafu;
use yuccapass_decisions::gateway::version_rollout::RolloutLimits;
use yuccapass_decisions::gateway::{RetryLimits, SwapLimits};
use yuccapass_types::{Bytes, Incarnation, NodeId, RegionId, SortedMap, ZoneId};

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
    /// Maximum time after an accepted configuration for which requests that it keeps in certain
    /// regions may still be sent to others. Requests that the known configuration keeps in regions
    /// are refused while it could not be confirmed within this time.
    pub apply_bound_ms: u64,
    /// The limit on the retries of all nodes together.
    pub retry_limits: RetryLimits,
    /// Time from a stop signal after which the process is killed.
    pub stop_limit_ms: u64,
    /// Limits of weight swaps.
    pub swap_limits: SwapLimits,
    /// Time without a TCP acknowledgement after which a connection to an endpoint counts as broken.
    pub silence_ms: u64,
    /// Limits on the answers of endpoints.
    pub answer_limits: AnswerLimits,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// The features of the platform that the deployment uses.
    pub capabilities: Capabilities,
    /// Limits of roll-outs of software versions, if the deployment has them.
    pub rollout_limits: RolloutLimits,
    /// What the platform allows this process.
    pub process_limits: ProcessLimits,
    /// For which services requests wait at this node until an engine can start them.
    pub request_queue: RequestQueue,
}

/// For which services requests wait at a node until an engine can start them. Services without engines
/// never use a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestQueue {
    /// For services whose endpoints report how fast they are or crash if they run out of memory.
    Auto,
    /// For all services of engines.
    On,
    /// For none.
    #[default]
    Off,
}

/// Reports a text that is none of the values of a [`RequestQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the request queue must be auto, on or off"))]
pub struct ParseRequestQueueError;

impl fmt::Display for RequestQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Auto => "auto",
            Self::On => "on",
            Self::Off => "off",
        })
    }
}

impl FromStr for RequestQueue {
    type Err = ParseRequestQueueError;

    fn from_str(text: &str) -> Result<Self, ParseRequestQueueError> {
        match text {
            "auto" => Ok(Self::Auto),
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(ParseRequestQueueError),
        }
    }
}

/// The features of the platform that a deployment uses. All are off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capabilities {
    /// Whether endpoints crash if the requests that they hold exceed their memory.
    pub limits_endpoint_memory: bool,
    /// Whether operators move services to new versions of their software.
    pub has_rollouts: bool,
}

/// What the platform allows this process. A process that exceeds its memory is killed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory of the process; `None` if unknown.
    pub memory: Option<Bytes>,
    /// Open file descriptors, of which some are reserved for files; `None` if unknown.
    pub descriptors: Option<u32>,
}

/// Limits on the answers of endpoints, which may send bytes without end when they are in trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Maximum size of the head of an answer.
    pub head_bytes: usize,
    /// Maximum size of an answer that is not a stream. It is buffered completely before it is
    /// forwarded, so that an incomplete one never looks like a success.
    pub body_bytes: usize,
    /// Maximum size of all answers together that are being buffered.
    pub buffered_bytes: usize,
}

impl Default for AnswerLimits {
    /// Returns 64 KiB for heads, 4 MiB for an answer and 32 MiB for all answers together.
    fn default() -> Self {
        Self { head_bytes: 64 << 10, body_bytes: 4 << 20, buffered_bytes: 32 << 20 }
    }
}
