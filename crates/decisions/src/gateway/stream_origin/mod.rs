//! Which version of a service's software began a stream.
//!
//! What two versions write does not fit together, so a stream may go on only at the version that began it.
//! A caller names the stream that it takes up, possibly at a node that has not begun it.
//!
//! * [`StreamRecords`] has the origins of streams that have begun, at the node that began them and at its
//!   [`keepers`].
//! * [`SoftwareHistory`] has the versions that may have begun the streams that are not recorded.
//! * [`TakeUpEvidence`] has what shows that a node which knows one version is not out of step.
//!
//! If several versions may have begun a stream that nobody knows, it cannot go on.

mod evidence;
mod history;
mod keepers;
mod records;

use yuccapass_types::{RequestId, ServiceId, SoftwareVersion};

pub use evidence::{KnownVersions, TakeUpEvidence, VersionStatement};
pub use history::SoftwareHistory;
pub use keepers::{ZoneNodes, asked_elsewhere, asked_in_each, asked_in_zone, keepers};
pub use records::StreamRecords;

/// How long callers may take up a stream after it has begun, and how long a version that has left may be the
/// origin of one: longer than any caller waits for its answer.
const REMEMBER_MS: u64 = 60_000;

/// Where a stream has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The version of its software; `None` for an endpoint that names none.
    pub software: Option<SoftwareVersion>,
}

/// A stream that has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The caller's id for the attempt that brought the first event.
    pub id: RequestId,
    /// Where the stream has begun.
    pub origin: StreamOrigin,
}
