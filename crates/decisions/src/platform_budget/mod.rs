//! Calls to the platform: how many, in which order, when again, and what is known afterwards.
//!
//! * [`CallBudget`]: the node's part of the service's rates, given out by rank.
//! * [`Backoff`] and [`OutageGate`]: when to call again after a failure and after an outage.
//! * [`settle_write`]: settles a write whose answer was lost by reading back.
//! * [`LeaseHolder`]: a lease whose holder counts a conservative deadline of its own.
//! * [`NewestRevision`]: notices that the service was restored from an older state.

mod backoff;
mod budget;
mod lease_holder;
mod newest_revision;
mod outage_gate;
pub mod settle_write;

pub use backoff::Backoff;
pub use budget::{CallBudget, CallDecision, CallKind, CallRank, FleetRates, Ticket};
pub use lease_holder::{LeaseHolder, LeasePermit, LeaseStep, LeaseTerms, RequestTime};
pub use newest_revision::{NewestRevision, RevisionAtCall};
pub use outage_gate::{OutageDecision, OutageGate};
