//! Admission to cold endpoints, summed over all nodes.
//!
//! A node that wins the vote on an endpoint's permit key becomes its [`PermitOwner`] for a term. A
//! node that wants to send a request to the endpoint makes a [`PermitClaim`] and asks the owner.
//!
//! The owner never counts fewer requests than are running: a request that started long enough ago
//! is in the endpoint's load report, and one that started later has a permit of this owner. This
//! assumes that a request reaches the endpoint within 1 s of its start.

mod claim;
mod owner;

pub use claim::{ClaimState, PermitClaim};
pub use owner::{PermitOwner, PermitReply};

use std::fmt;

use yuccapass_types::{Incarnation, NodeId};

/// Duration of an owner's term and of a permit.
pub const PERMIT_TERM_MS: u64 = 5_000;

/// How long after its request for a permit a holder may still start.
pub(crate) const START_WITHIN_MS: u64 = 1_000;

/// How long after a grant a request may be missing from the endpoint's load report: the time in
/// which the holder may start, and 1 s for the request to reach the endpoint.
pub(crate) const IN_FLIGHT_MS: u64 = START_WITHIN_MS + 1_000;

/// Oldest load report on which an owner grants.
///
/// Shorter than the time in which a new owner grants nothing, so that the owner for an earlier
/// process of the endpoint notices the restart before the new owner grants.
pub(crate) const MAX_REPORT_AGE_MS: u64 = 3_000;

/// Identifies a permit; chosen by its holder, so that a repeated request is recognised.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId {
    /// The holding node.
    pub node: NodeId,
    /// The holding process.
    pub incarnation: Incarnation,
    /// Counts the permits that the process has asked for.
    pub number: u64,
}

impl fmt::Display for PermitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.node, self.incarnation, self.number)
    }
}
