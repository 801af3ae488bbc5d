//! Errors of service calls.

use snafu::Snafu;
use yuccapass_http::{HttpError, HttpErrorKind};
use yuccapass_types::RunState;

/// What failed in a call to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ServiceErrorKind {
    /// No connection could be opened.
    Unreachable,
    /// The deadline passed.
    Timeout,
    /// The connection broke, as it does when the service crashes.
    Connection,
    /// The service sent an invalid or unsupported response.
    Protocol,
    /// The call cannot be forwarded.
    InvalidCall,
}

/// Reports that a call to a service failed before the head of its response arrived.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{kind:?}, {}: {detail}", self.run_state()))]
pub struct ServiceError {
    kind: ServiceErrorKind,
    was_sent: bool,
    detail: String,
}

impl ServiceError {
    /// Creates an error.
    pub fn new(kind: ServiceErrorKind, was_sent: bool, detail: impl Into<String>) -> Self {
        Self { kind, was_sent, detail: detail.into() }
    }

    /// Returns what failed.
    pub fn kind(&self) -> ServiceErrorKind {
        self.kind
    }

    /// Returns whether any byte of the call was written, so that the service may have acted on it.
    pub fn was_sent(&self) -> bool {
        self.was_sent
    }

    /// Returns what is known about whether the service ran the call.
    pub fn run_state(&self) -> RunState {
        if self.was_sent { RunState::Unknown } else { RunState::NotRun }
    }
}

impl From<HttpError> for ServiceError {
    fn from(error: HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::Connect => ServiceErrorKind::Unreachable,
            HttpErrorKind::Timeout => ServiceErrorKind::Timeout,
            _ => ServiceErrorKind::Connection,
        };
        Self::new(kind, error.was_sent(), error.to_string())
    }
}
