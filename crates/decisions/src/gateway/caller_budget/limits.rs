//! The sizes of the budget, from the memory and the descriptors of the process.

use yuccapass_types::Bytes;

/// Memory for which the budget is sized if the limit of the process is unknown.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

/// Memory that a process takes without callers, with room for its configuration and directory. A process
/// with a small configuration was measured at 21 MiB.
const BASE_BYTES: u64 = 32 << 20;

/// Memory of a connection besides what is counted: two read buffers of 8 KiB.
const CONNECTION_BYTES: u64 = 16 << 10;

/// Minimum of the budget: a request and an answer of 4 MiB each fit into their parts of it.
const MIN_TOTAL_BYTES: u64 = 16 << 20;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u32 = 200;

/// Connections from callers if the limit on descriptors is unknown.
const DEFAULT_CALLERS: usize = 3_000;

/// Connections from operators if the limit on descriptors is unknown.
const DEFAULT_OPERATORS: usize = 256;

/// Connections from other nodes if the limit on descriptors is unknown.
const DEFAULT_PEERS: usize = 4_096;

/// Minimum and maximum of connections from other nodes. Each may hold a frame of 68 KiB.
const PEERS: std::ops::RangeInclusive<usize> = 16..=256;

/// Minimum of connections from operators: readiness checks and scrapes of metrics.
const MIN_OPERATORS: usize = 16;

/// Maximum of connections from operators. Each may hold an encoding of all metrics.
const MAX_OPERATORS: usize = 64;

/// Smallest capacity of a buffer that collects a body from several reads.
const MIN_BODY_CAPACITY_BYTES: u64 = 16 << 10;

/// The limits of a [`CallerBudget`](super::CallerBudget).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBudgetLimits {
    /// Bytes of all requests and answers together.
    pub total: Bytes,
    /// Bytes of requests, complete or not. What is left of the total is a reserve for answers.
    pub requests: Bytes,
    /// Bytes of requests that are not complete. What is left of `requests` is a reserve for callers that
    /// complete theirs.
    pub incomplete: Bytes,
    /// Bytes of answers.
    pub answers: Bytes,
    /// Bytes of the requests of one organisation.
    pub organisation: Bytes,
    /// Open connections.
    pub connections: usize,
    /// Connections whose request is not complete. The others are a reserve for callers that complete
    /// theirs.
    pub incomplete_connections: usize,
}

impl CallerBudgetLimits {
    /// Sizes the budget of a process with this much memory, this many connections from callers and at
    /// most `answers` bytes of buffered answers.
    ///
    /// The budget is half of what is left besides the process itself and its connections; the other half
    /// is for buffers of sockets, connections to endpoints and the losses of the allocator.
    pub fn new(memory: Option<Bytes>, connections: usize, answers: Bytes) -> Self {
        let memory_bytes = memory.map_or(DEFAULT_MEMORY_BYTES, Bytes::get);
        let taken_bytes = BASE_BYTES.saturating_add(CONNECTION_BYTES * connections as u64);
        let total_bytes = (memory_bytes.saturating_sub(taken_bytes) / 2).max(MIN_TOTAL_BYTES);
        Self {
            total: Bytes::new(total_bytes),
            requests: Bytes::new(total_bytes / 4 * 3),
            incomplete: Bytes::new(total_bytes / 2),
            answers: answers.min(Bytes::new(total_bytes)),
            organisation: Bytes::new(total_bytes / 2),
            connections,
            incomplete_connections: (connections - connections / 4).max(1),
        }
    }
}

/// The connections that each kind of peer may open to this process. The rest of the descriptors is for
/// connections to endpoints, other nodes and the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShares {
    /// Connections from callers.
    pub callers: usize,
    /// Connections from operators.
    pub operators: usize,
    /// Connections from other nodes.
    pub peers: usize,
}

impl ConnectionShares {
    /// Divides the descriptors of a process; `None` if their number is unknown.
    pub fn new(descriptors: Option<u32>) -> Self {
        let Some(descriptors) = descriptors else {
            return Self {
                callers: DEFAULT_CALLERS,
                operators: DEFAULT_OPERATORS,
                peers: DEFAULT_PEERS,
            };
        };
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS) as usize;
        Self {
            callers: (sockets / 8 * 5).max(1),
            operators: (sockets / 32).clamp(MIN_OPERATORS, MAX_OPERATORS),
            peers: (sockets / 8).clamp(*PEERS.start(), *PEERS.end()),
        }
    }
}

/// Returns the capacity for a body buffer that must hold `needed_bytes`, of at most `limit_bytes`.
///
/// It doubles, so that a body is copied a bounded number of times, but never exceeds the announced or
/// the largest size.
pub fn body_capacity(capacity_bytes: u64, needed_bytes: u64, limit_bytes: u64) -> u64 {
    let doubled = capacity_bytes.saturating_mul(2).max(MIN_BODY_CAPACITY_BYTES);
    doubled.min(limit_bytes).max(needed_bytes)
}
