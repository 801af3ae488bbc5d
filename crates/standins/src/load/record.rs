//! What happened to each request.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use yuccapass_types::{ClassId, OrganisationId};

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The end of the answer was announced.
    Answered,
    /// An error was returned, before or behind the first tokens.
    Failed {
        /// The numbered code, or the HTTP status if there is none.
        code: SmolStr,
        /// `not run`, `ran` or `unknown`.
        run_state: SmolStr,
        /// The text for a person.
        message: String,
    },
    /// The connection broke or its end was not announced.
    Broken {
        /// What was seen.
        detail: String,
    },
    /// Nothing came until well after the deadline.
    Hanging,
    /// No node accepted a connection.
    Unreachable,
}

/// A request that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Names the request in prompts and journals; a request that is sent again has the same marker.
    pub marker: String,
    /// Whether this is the second time that it is sent.
    pub is_resent: bool,
    /// Who sent it.
    pub organisation: OrganisationId,
    /// Its class.
    pub class: ClassId,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The nodes that were tried; the last one got the request.
    pub nodes: Vec<String>,
    /// The id that the node gave it.
    pub request_id: Option<String>,
    /// When it was due, from the start of the run.
    pub scheduled_us: u64,
    /// When it was sent.
    pub sent_us: u64,
    /// When each token arrived.
    pub token_times_us: Vec<u64>,
    /// When it ended.
    pub end_us: u64,
    /// The answer's text.
    pub text: String,
    /// The deadline, from the time that it was due.
    pub deadline_ms: u64,
    /// How it ended.
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns the time to first token, from when the request was due.
    pub fn first_token_after_us(&self) -> Option<u64> {
        self.token_times_us.first().map(|at_us| at_us.saturating_sub(self.scheduled_us))
    }

    /// Returns the times between two tokens.
    pub fn token_gaps_us(&self) -> impl Iterator<Item = u64> {
        self.token_times_us.windows(2).map(|pair| pair[1].saturating_sub(pair[0]))
    }

    /// Returns the time to the end, from when the request was due.
    pub fn total_us(&self) -> u64 {
        self.end_us.saturating_sub(self.scheduled_us)
    }

    /// Returns whether the answer came to its end in time; late sending counts.
    pub fn is_in_time(&self) -> bool {
        self.outcome == Outcome::Answered && self.total_us() <= self.deadline_ms * 1000
    }
}
