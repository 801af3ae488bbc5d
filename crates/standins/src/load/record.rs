//! Records of what happened to each request.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use yuccapass_types::{ClassId, OrganisationId};

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The end of the answer was announced.
    Answered,
    /// An error was returned, either instead of the answer or after some of its tokens.
    Failed {
        /// The result code (`YP-` and a number), or the HTTP status if there is none.
        code: SmolStr,
        /// `not run`, `ran` or `unknown`.
        run_state: SmolStr,
        /// The message for humans.
        message: String,
    },
    /// The connection broke, or the stream ended without an end marker.
    Broken {
        /// What was seen.
        detail: String,
    },
    /// The answer had not ended some seconds after the deadline.
    Hanging,
    /// No node accepted a connection.
    Unreachable,
}

/// A request that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Identifies the request in prompts and journals; a request that is sent again keeps its
    /// marker.
    pub marker: String,
    /// Whether the request is sent for the second time.
    pub is_resent: bool,
    /// The organisation that sent it.
    pub organisation: OrganisationId,
    /// Its request class.
    pub class: ClassId,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Addresses of the nodes that were tried; only the last one may have received the request.
    pub nodes: Vec<String>,
    /// The id that the node gave it.
    pub request_id: Option<String>,
    /// When it was scheduled, from the start of the run, as are all times of the record.
    pub scheduled_us: u64,
    /// When it was sent.
    pub sent_us: u64,
    /// When each token arrived.
    pub token_times_us: Vec<u64>,
    /// When it ended.
    pub end_us: u64,
    /// The answer's text.
    pub text: String,
    /// The deadline, from the scheduled time.
    pub deadline_ms: u64,
    /// How it ended.
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns the time from the scheduled time to the first token.
    pub fn first_token_after_us(&self) -> Option<u64> {
        self.token_times_us.first().map(|at_us| at_us.saturating_sub(self.scheduled_us))
    }

    /// Returns the times between consecutive tokens.
    pub fn token_gaps_us(&self) -> impl Iterator<Item = u64> {
        self.token_times_us.windows(2).map(|pair| pair[1].saturating_sub(pair[0]))
    }

    /// Returns the time from the scheduled time to the end.
    pub fn total_us(&self) -> u64 {
        self.end_us.saturating_sub(self.scheduled_us)
    }

    /// Returns whether the answer was complete before its deadline. The deadline counts from the
    /// scheduled time, so late sending counts against the answer.
    pub fn is_in_time(&self) -> bool {
        self.outcome == Outcome::Answered && self.total_us() <= self.deadline_ms * 1000
    }
}
