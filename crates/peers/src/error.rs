//! Errors of messages and connections.

use smol_str::SmolStr;
use snafu::Snafu;

/// Reports that bytes from another node are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field} is not valid: {detail}"))]
pub struct DecodeError {
    field: &'static str,
    detail: SmolStr,
}

impl DecodeError {
    pub(crate) fn new(field: &'static str, detail: impl Into<SmolStr>) -> Self {
        Self { field, detail: detail.into() }
    }

    /// Returns the name of the field that is not valid.
    pub fn field(&self) -> &'static str {
        self.field
    }
}

/// What failed in an exchange between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum PeerErrorKind {
    /// No connection could be opened.
    Connect,
    /// The connection broke.
    Connection,
    /// The deadline passed.
    Timeout,
    /// The other node sent an invalid or unexpected message.
    Protocol,
    /// The reply came from an older process of a node of which a newer one is known.
    OldIncarnation,
}

/// Reports that a message could not be exchanged.
///
/// The message may have reached the other node, unless the kind is [`PeerErrorKind::Connect`].
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{kind:?}: {detail}"))]
pub struct PeerError {
    kind: PeerErrorKind,
    detail: SmolStr,
}

impl PeerError {
    /// Creates an error.
    pub fn new(kind: PeerErrorKind, detail: impl Into<SmolStr>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Returns what failed.
    pub fn kind(&self) -> PeerErrorKind {
        self.kind
    }
}

impl From<DecodeError> for PeerError {
    fn from(error: DecodeError) -> Self {
        Self::new(PeerErrorKind::Protocol, error.to_string())
    }
}
