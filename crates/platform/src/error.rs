//! Errors of platform calls.

use snafu::Snafu;
use yuccapass_http::{HttpError, HttpErrorKind};

/// What failed in a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum PlatformErrorKind {
    /// The call had no effect: the platform was not reached, or a read was not answered.
    Unavailable,
    /// A write was sent but not answered; it may have taken effect.
    Unknown,
    /// The platform refused the call because of a rate limit; the call had no effect.
    RateLimited,
    /// The platform considers the call invalid; the call had no effect.
    InvalidRequest,
    /// The response to a read could not be decoded.
    Protocol,
    /// The lease does not exist or has expired.
    LeaseNotFound,
    /// The platform no longer keeps the requested revision; read again without a revision.
    Compacted,
    /// The platform was restored from an older state: its revision is older than one seen before, or the
    /// answer belongs to an era before the newest one. The answer is not used.
    Restored,
    /// The node's own call budget did not allow the call before the deadline; nothing was sent.
    OverBudget,
}

/// Reports that a call to the platform failed.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{kind:?}: {detail}"))]
pub struct PlatformError {
    kind: PlatformErrorKind,
    detail: String,
}

impl PlatformError {
    /// Creates an error.
    pub fn new(kind: PlatformErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Returns what failed.
    pub fn kind(&self) -> PlatformErrorKind {
        self.kind
    }

    /// Returns whether the platform could not be reached or did not answer.
    pub fn is_outage(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::Unavailable | PlatformErrorKind::Unknown)
    }
}

/// Whether a call changes the platform's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
    Read,
    Write,
}

impl Effect {
    /// Returns the error kind of a call whose response did not arrive or could not be decoded.
    pub(crate) fn unanswered(self, read_kind: PlatformErrorKind) -> PlatformErrorKind {
        match self {
            Self::Read => read_kind,
            Self::Write => PlatformErrorKind::Unknown,
        }
    }

    pub(crate) fn http_error(self, error: &HttpError) -> PlatformError {
        let had_no_effect = !error.was_sent() || error.kind() == HttpErrorKind::Connect;
        let kind = match had_no_effect {
            true => PlatformErrorKind::Unavailable,
            false => self.unanswered(PlatformErrorKind::Unavailable),
        };
        PlatformError::new(kind, error.to_string())
    }
}
