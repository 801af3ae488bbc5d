//! The bytes and connections that a node holds for callers that it does not control.
//!
//! One [`CallerBudget`] counts what all connections of callers hold: bodies that arrive, complete
//! requests, answers that are being buffered or were not read yet. It says whether a connection may
//! take more, and which one has to be closed for it.
//!
//! * [`limits`]: the sizes of the budget, from the memory and the descriptors of the process.
//! * [`claim`]: what one connection holds, and how it progresses.
//! * [`budget`]: the budget of all connections.

pub mod budget;
pub mod claim;
pub mod limits;

pub use budget::{BudgetUse, CallerBudget, Decision, Grant, Shortage};
pub use claim::ConnectionId;
pub use limits::{CallerBudgetLimits, ConnectionShares, body_capacity};
