//! Limits the requests that all nodes together run at a cold endpoint.
//!
//! A node that wins the vote on an endpoint's permit key becomes its [`PermitOwner`] for a term. A
//! node that wants to send a request to the endpoint creates a [`PermitClaim`] and asks the owner
//! for the permit.
//!
//! The owner never counts fewer requests than are running: a request that started long enough ago
//! is in the endpoint's load report, and one that started later has a permit from this owner. This
//! assumes that a request reaches the endpoint within 1 s of its start.

mod claim;
mod owner;

pub use claim::{ClaimState, PermitClaim};
pub use owner::{PermitOwner, PermitReply};

use std::fmt;

use yuccapass_types::{Incarnation, NodeId};

/// Duration of an owner's term; a permit ends with the term in which it was granted or renewed.
pub const PERMIT_TERM_MS: u64 = 5_000;

/// How long after requesting a permit a holder may still start its request.
pub(crate) const START_LIMIT_MS: u64 = 1_000;

/// How long after a grant a request may be missing from the endpoint's load report: the time limit
/// for starting it, and 1 s for the request to reach the endpoint.
pub(crate) const IN_FLIGHT_MS: u64 = START_LIMIT_MS + 1_000;

/// Maximum age of the load report on which an owner grants permits.
///
/// This is shorter than the time in which a new owner grants nothing, so that the owner for an
/// earlier process of the endpoint notices the restart before the new owner grants.
pub(crate) const MAX_REPORT_AGE_MS: u64 = 3_000;

/// Identifies a permit; chosen by its holder, so that the owner recognises a repeated request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId {
    /// The holding node.
    pub node: NodeId,
    /// The holding process.
    pub incarnation: Incarnation,
    /// Sequence number of the permit within the process.
    pub number: u64,
}

impl fmt::Display for PermitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.node, self.incarnation, self.number)
    }
}
