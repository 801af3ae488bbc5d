//! Calls to the platform's key-value service: rates, order, retries and uncertain results.
//!
//! * [`CallBudget`]: the node's share of the platform's rates, given to waiting calls by rank.
//! * [`Backoff`] and [`OutageGate`]: when to call again after a failure and after an outage.
//! * [`settle_write`]: determines the outcome of a write whose answer was lost by reading back.
//! * [`LeaseHolder`]: a lease with a conservative deadline that its holder counts itself.
//! * [`NewestRevision`]: detects that the platform was restored from an older state.

mod backoff;
mod budget;
mod lease_holder;
mod newest_revision;
mod outage_gate;
mod purpose;
pub mod settle_write;

pub use backoff::Backoff;
pub use budget::{CallBudget, CallDecision, CallKind, CallRank, FleetRates, Ticket};
pub use lease_holder::{LeaseHolder, LeasePermit, LeaseStep, LeaseTerms, RequestTime};
pub use newest_revision::{NewestRevision, Restoration, RevisionAtCall};
pub use outage_gate::{Outage, OutageDecision, OutageGate};
pub use purpose::{CallPurpose, ParseCallPurposeError};
