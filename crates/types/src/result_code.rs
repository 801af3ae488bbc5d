//! The numbered codes that callers and operators see.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

/// What is known about whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub enum RunState {
    /// It is certain that no endpoint began to run the request.
    NotRun,
    /// An endpoint ran the request, in part or in whole.
    Ran,
    /// It cannot be known whether an endpoint ran the request.
    Unknown,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// Reports a text that names no run state or result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the text names no known run state or result code"))]
pub struct ParseResultError;

impl FromStr for RunState {
    type Err = ParseResultError;

    fn from_str(text: &str) -> Result<Self, ParseResultError> {
        match text {
            "not run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseResultError),
        }
    }
}

macro_rules! result_codes {
    ($($variant:ident = $number:literal, $kind:literal, $text:literal;)+) => {
        /// A numbered code for every result other than success.
        ///
        /// 1xxx: the request is invalid; 2xxx: the request was not admitted; 3xxx: an endpoint
        /// failed; 4xxx: idempotency; 5xxx: operators and the platform; 9xxx: an internal error.
        /// `docs/result-codes.md` has the table.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay,
            DeserializeFromStr,
        )]
        #[non_exhaustive]
        pub enum ResultCode {
            $(#[doc = $text] $variant,)+
        }

        impl ResultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the number that is shown as `YP-nnnn`.
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)+ }
            }

            /// Returns the short name, which scripts can match on.
            pub const fn kind(self) -> &'static str {
                match self { $(Self::$variant => $kind,)+ }
            }

            /// Returns the message that is shown to people.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }
        }
    };
}

result_codes! {
    InvalidRequest = 1001, "invalid_request", "The request could not be understood.";
    BodyTooLarge = 1002, "body_too_large", "The request body is larger than this service accepts.";
    HeadTooLarge = 1003, "head_too_large", "The request headers are larger than this service accepts.";
    PromptTooLong = 1004, "prompt_too_long", "The prompt is longer than this service accepts.";
    Unauthorised = 1005, "unauthorised", "The key is missing or not known.";
    NotApproved = 1006, "not_approved", "Your organisation is not approved for this yet; its owner can approve it.";
    ModelNotFound = 1007, "model_not_found", "There is no model of this name.";
    NotFound = 1008, "not_found", "There is nothing at this address.";
    MethodNotAllowed = 1009, "method_not_allowed", "This address does not accept this method.";
    DeadlinePassed = 1010, "deadline_passed", "The time you allowed had passed before the request could start.";
    InvalidHeader = 1011, "invalid_header", "A request header has a value that could not be understood.";
    TooManyConnections = 1012, "too_many_connections", "Too many connections are open; please try again shortly.";
    ServiceNotFound = 1013, "service_not_found", "There is no service of this name.";
    RequestTimeout = 1014, "request_timeout", "The request did not arrive completely in time.";
    QueueFull = 2001, "queue_full", "Too much work is waiting; please try again shortly.";
    DeadlineUnreachable = 2002, "deadline_unreachable", "The request could not be answered in the time you allowed.";
    LimitReached = 2003, "limit_reached", "Your organisation has used its present allowance; please try again shortly.";
    NoEndpoint = 2004, "no_endpoint", "Nothing that can serve this request is available just now.";
    EndpointsWarmingUp = 2005, "endpoints_warming_up", "What serves this request is just starting; please try again shortly.";
    RequestBlocked = 2006, "request_blocked", "This request stopped what ran it several times, so it is held back for now.";
    Stopping = 2007, "stopping", "This server is stopping; please send the request again.";
    RetriesExhausted = 2008, "retries_exhausted", "Several attempts failed and no further one is possible just now.";
    StreamOriginUnknown = 2009, "stream_origin_unknown", "It cannot be known what began this stream, so it cannot be continued.";
    EndpointFailed = 3001, "endpoint_failed", "What ran the request failed.";
    EndpointTimeout = 3002, "endpoint_timeout", "What ran the request did not answer in time.";
    StreamCut = 3003, "stream_cut", "The answer stopped before its end and could not be continued.";
    EndpointRejected = 3004, "endpoint_rejected", "What was to run the request did not accept it.";
    OutcomeUnknown = 4001, "outcome_unknown", "This request was sent before, and whether it ran cannot be known.";
    StillRunning = 4002, "still_running", "This request was sent before and is still running.";
    NoMajority = 4003, "no_majority", "It cannot be checked just now whether this request was sent before.";
    KeyExpired = 4004, "key_expired", "The idempotency key is too old to check whether the request was sent before.";
    KeyReused = 4005, "key_reused", "The idempotency key was used for a different request.";
    PlatformUnavailable = 5001, "platform_unavailable", "The platform's key-value service does not answer.";
    Conflict = 5002, "conflict", "Another change was accepted first.";
    InvalidConfiguration = 5003, "invalid_configuration", "The configuration would not be valid.";
    InvalidCommand = 5004, "invalid_command", "The command could not be understood.";
    CommandOutcomeUnknown = 5005, "command_outcome_unknown", "Whether the command took effect cannot be known yet; send it again with the same id.";
    RolloutFailed = 5006, "rollout_failed", "The rollout stopped because replicas did not come up.";
    Internal = 9001, "internal", "Something went wrong here; please quote the request id.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "YP-{:04}", self.number())
    }
}

impl FromStr for ResultCode {
    type Err = ParseResultError;

    fn from_str(text: &str) -> Result<Self, ParseResultError> {
        let number = text.strip_prefix("YP-").and_then(|digits| digits.parse::<u16>().ok());
        let found = Self::ALL.iter().find(|code| Some(code.number()) == number);
        found.copied().ok_or(ParseResultError)
    }
}
