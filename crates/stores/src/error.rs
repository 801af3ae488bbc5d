//! Errors of store calls.

use snafu::Snafu;
use yuccapass_http::{HttpError, HttpErrorKind};

/// What failed in a call to a store VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum StoreErrorKind {
    /// No connection could be opened.
    Unreachable,
    /// The deadline passed.
    Timeout,
    /// The connection broke, as it does when the store VM crashes.
    Connection,
    /// The store VM sent an invalid or unexpected response.
    Protocol,
    /// The store VM does not have the block.
    Missing,
    /// The block does not match its checksum.
    Torn,
    /// The store VM has no space for the block.
    Full,
}

/// Reports that a call to a store VM failed.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{kind:?}: {detail}"))]
pub struct StoreError {
    kind: StoreErrorKind,
    detail: String,
}

impl StoreError {
    /// Creates an error.
    pub fn new(kind: StoreErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Returns what failed.
    pub fn kind(&self) -> StoreErrorKind {
        self.kind
    }
}

impl From<HttpError> for StoreError {
    fn from(error: HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::Connect => StoreErrorKind::Unreachable,
            HttpErrorKind::Timeout => StoreErrorKind::Timeout,
            _ => StoreErrorKind::Connection,
        };
        Self::new(kind, error.to_string())
    }
}
