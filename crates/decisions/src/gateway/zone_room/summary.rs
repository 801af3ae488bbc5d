//! The summaries that nodes exchange.

use std::cmp::Reverse;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use yuccapass_types::{Bytes, EndpointId, Incarnation, Instant, SortedMap, Tokens};

/// Period of the exchange: a relay holds a request for 250 ms, and the next one follows after 30 ms.
pub const PERIOD_MS: u64 = 280;

/// Number of nodes of a zone from which on they exchange. In the model of `tests/zone_room_load.rs`, the
/// endpoints' reports to each of ten nodes are newer than the counts, and serve callers better.
pub const MIN_NODES: usize = 16;

/// Age up to which a summary has its full weight. A sum that has passed through two relays, which
/// hold a request for 250 ms each, is usually younger.
const FULL_WEIGHT_MS: u64 = 600;

/// Age from which a summary has no weight: a relay that does not reply is given up after 700 ms, and the
/// answer of another one takes 300 ms.
const MAX_AGE_MS: u64 = 1_200;

/// Maximum number of endpoints in a sum. With 16 bytes each they take a quarter of a frame.
pub const MAX_ENDPOINTS: usize = 1_024;

/// Returns the weight of a summary from its age: from 1 for a recent one to 0 for one that says nothing
/// about the present.
pub fn weight(age_ms: u64) -> f64 {
    let remaining_ms = MAX_AGE_MS.saturating_sub(age_ms);
    (remaining_ms as f64 / (MAX_AGE_MS - FULL_WEIGHT_MS) as f64).min(1.0)
}

/// Parameters of the 32-bit FNV-1a hash. The hash of the standard library may change with its version.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// A hash of an endpoint's id, the same on all nodes. Ids would take two thirds of the bytes of a summary.
/// Two endpoints with the same key, which is rare, get the sum of their counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// Returns the key of an endpoint.
    pub fn of(endpoint: &EndpointId) -> Self {
        let hash = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
        Self(endpoint.as_str().bytes().fold(FNV_OFFSET, hash))
    }

    /// Wraps a key that was received.
    pub const fn new(key: u32) -> Self {
        Self(key)
    }

    /// Returns the key as a number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for EndpointKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for EndpointKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

/// The outstanding requests at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointUse {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Tokens in their prompts.
    pub tokens: Tokens,
    /// Requests that were sent in the last period of the exchange. About as many are sent until the
    /// summary is used.
    pub sent: u32,
}

impl EndpointUse {
    /// Returns whether the endpoint is not used.
    pub fn is_empty(self) -> bool {
        self.requests == 0 && self.sent == 0
    }
}

/// Outstanding requests by endpoint, of one or more nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutstandingSum {
    /// Mean age of the counts, by requests.
    pub age_ms: u64,
    /// Number of nodes whose requests are counted.
    pub nodes: u32,
    /// The endpoints that are used.
    pub uses: SortedMap<EndpointKey, EndpointUse>,
}

impl OutstandingSum {
    /// Returns the counts of one node at present. Endpoints that it does not use are left out.
    pub fn of_node(uses: impl IntoIterator<Item = (EndpointKey, EndpointUse)>) -> Self {
        Self { age_ms: 0, nodes: 1, uses: bounded(uses.into_iter().collect()) }
    }

    /// Returns about how many bytes the sum takes in a message.
    pub fn size(&self) -> Bytes {
        // The numbers of an endpoint take less than this, and those of a sum.
        const ENTRY_BYTES: usize = 16;
        const OTHER_BYTES: usize = 64;
        Bytes::new((self.uses.len() * ENTRY_BYTES + OTHER_BYTES) as u64)
    }

    /// Returns all requests together.
    pub fn requests(&self) -> u64 {
        self.uses.values().map(|used| u64::from(used.requests)).sum()
    }
}

/// Keeps the endpoints with the most requests if there are too many.
pub(super) fn bounded(
    mut uses: Vec<(EndpointKey, EndpointUse)>,
) -> SortedMap<EndpointKey, EndpointUse> {
    uses.retain(|(_, used)| !used.is_empty());
    if uses.len() > MAX_ENDPOINTS {
        uses.sort_by_key(|(_, used)| Reverse(used.requests));
        uses.truncate(MAX_ENDPOINTS);
    }
    uses.into_iter().collect()
}

/// Whose requests a summary counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SummaryScope {
    /// Those of the sender, a follower.
    Node,
    /// Those of the sender, a relay, and its followers.
    Relay,
}

/// A moment of a relay's process, which only that process can read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomStamp {
    /// The process.
    pub incarnation: Incarnation,
    /// The moment, on its own clock.
    pub at: Instant,
}

/// What a node attaches to a request to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutstandingSummary {
    /// Whose requests are counted.
    pub scope: SummaryScope,
    /// Grows with each summary of a process.
    pub sequence: u64,
    /// The stamp of the last reply of this relay; `None` before the first one.
    pub echo: Option<RoomStamp>,
    /// The counts; empty without an echo, as the relay could not tell their age.
    pub sum: OutstandingSum,
}

impl OutstandingSummary {
    /// Creates a summary that says no more than is useful to the relay.
    pub fn new(
        scope: SummaryScope,
        sequence: u64,
        echo: Option<RoomStamp>,
        sum: OutstandingSum,
    ) -> Self {
        let sum = if echo.is_some() { sum } else { OutstandingSum::default() };
        Self { scope, sequence, echo, sum }
    }
}

/// What a relay attaches to its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoomReply {
    /// When the reply was made; the next summary carries it back.
    pub stamp: RoomStamp,
    /// The counts of all other nodes that the relay knows, or of a relay and its followers if the
    /// request came from a relay.
    pub sum: OutstandingSum,
}

/// The requests that the other nodes of the zone have outstanding at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OtherLoad {
    /// Their number.
    pub requests: f64,
    /// Tokens in their prompts.
    pub tokens: f64,
    /// Mean age of the counts; `None` if nothing recent is known.
    pub age_ms: Option<u64>,
}
