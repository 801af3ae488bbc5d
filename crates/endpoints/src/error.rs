//! Errors of endpoint calls.

use snafu::Snafu;
use yuccapass_http::{HttpError, HttpErrorKind};
use yuccapass_types::RunState;

/// What failed in a call to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum EndpointErrorKind {
    /// No connection could be opened.
    Unreachable,
    /// The deadline passed.
    Timeout,
    /// The connection broke, as it does when the endpoint crashes.
    Connection,
    /// The endpoint sent an invalid or unexpected response.
    Protocol,
    /// The endpoint refused the request because it is overloaded; a cold one does so at a low load.
    Overloaded,
    /// The endpoint serves another weight version than the requested one.
    WrongVersion,
    /// The endpoint accepts no new work.
    Leaving,
    /// The endpoint refused an order because of its fencing number.
    Fenced,
    /// The endpoint does not have the block, or the block does not match its checksum.
    Block,
    /// The endpoint rejected the request as invalid.
    InvalidRequest,
}

/// Reports that a call to an endpoint failed, and what is known about the run.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{kind:?}, {run_state}: {detail}"))]
pub struct EndpointError {
    kind: EndpointErrorKind,
    run_state: RunState,
    detail: String,
}

impl EndpointError {
    /// Creates an error.
    pub fn new(kind: EndpointErrorKind, run_state: RunState, detail: impl Into<String>) -> Self {
        Self { kind, run_state, detail: detail.into() }
    }

    /// Returns what failed.
    pub fn kind(&self) -> EndpointErrorKind {
        self.kind
    }

    /// Returns what is known about whether the endpoint ran the request.
    pub fn run_state(&self) -> RunState {
        self.run_state
    }

    /// Returns the error with another run state, for a failure after the first token.
    pub fn with_run_state(mut self, run_state: RunState) -> Self {
        self.run_state = run_state;
        self
    }
}

impl From<HttpError> for EndpointError {
    fn from(error: HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::Connect => EndpointErrorKind::Unreachable,
            HttpErrorKind::Timeout => EndpointErrorKind::Timeout,
            _ => EndpointErrorKind::Connection,
        };
        let run_state = if error.was_sent() { RunState::Unknown } else { RunState::NotRun };
        Self::new(kind, run_state, error.to_string())
    }
}
