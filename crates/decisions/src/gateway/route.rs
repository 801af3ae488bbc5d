//! Routes: which service a request goes to, and how it may be handled.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use yuccapass_types::{ParseIdError, PromptPartId, RegionId, RouteId, ServiceId, Tokens};

/// Priority of a request; the smallest number is the most urgent.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Priority(u8);

impl Priority {
    /// Wraps a number.
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// How the requests of a route may be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another endpoint can resume the stream after any event. Such a request may run
        /// more than once.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run again after an attempt that may have run it.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { is_resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A rule that maps a host and a path prefix to one or several services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route, for logs.
    pub id: RouteId,
    /// The value of the `Host` header without the port, in lowercase.
    pub host: SmolStr,
    /// Prefix of the path; it starts and ends with a slash.
    pub prefix: SmolStr,
    /// How requests may be handled.
    pub kind: RouteKind,
    /// Maximum time until a caller gets its answer.
    pub timeout_ms: u64,
    /// Target for the time to the answer, or to its first event if it is a stream.
    pub target_latency_ms: u64,
    /// Priority among the routes of a service.
    pub priority: Priority,
    /// The services, at least one with a weight above zero.
    pub services: Vec<WeightedService>,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether requests run faster on an endpoint that has cached a prefix of their prompt.
    pub is_sticky: bool,
    /// The regions in which requests may be served; all if empty. Sorted.
    pub allowed_regions: Vec<RegionId>,
}

impl Route {
    /// Chooses the service for a request by weight. `random` is uniform over all values of `u64`.
    pub fn service_for(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|service| u64::from(service.weight)).sum();
        let mut rest = random.checked_rem(total)?;
        self.services
            .iter()
            .find(|service| {
                let weight = u64::from(service.weight);
                let is_hit = rest < weight;
                rest = rest.saturating_sub(weight);
                is_hit
            })
            .map(|service| &service.service)
    }
}

/// A section of a prompt whose KV cache can be reused by other requests with the same section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; equal parts of two prompts have the same id.
    pub id: PromptPartId,
    /// Its length.
    pub tokens: Tokens,
}

impl FromStr for PromptPart {
    type Err = InvalidPromptPart;

    fn from_str(text: &str) -> Result<Self, InvalidPromptPart> {
        let (id, tokens) = text.split_once(':').ok_or(InvalidPromptPart::Form)?;
        let id = id.parse().map_err(|source| InvalidPromptPart::Id { source })?;
        let tokens = tokens.parse().map_err(|_| InvalidPromptPart::Form)?;
        Ok(Self { id, tokens: Tokens::new(tokens) })
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.id, self.tokens.get())
    }
}

/// The error for a text that is not a [`PromptPart`].
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum InvalidPromptPart {
    /// The text is not an id and a number of tokens with a colon between them.
    #[snafu(display("a prompt part is not of the form ID:TOKENS"))]
    Form,
    /// The id is not valid.
    #[snafu(display("a prompt part has an invalid id: {source}"))]
    Id {
        /// What is wrong with it.
        source: ParseIdError,
    },
}
