//! At-most-once execution of non-repeatable requests with an idempotency key.
//!
//! The node that accepts such a request creates a [`LedgerAttempt`], sends its requests for votes
//! and records the replies until [`LedgerAttempt::decide`] returns something other than
//! [`LedgerDecision::Wait`]. The first byte may be sent to an endpoint only after
//! [`LedgerAttempt::start_sending`] has returned true. The outcome is then recorded with all panel
//! members.

mod attempt;
mod key_age;

pub use attempt::{LedgerAttempt, LedgerConfig, LedgerDecision, LedgerRejection};
pub use key_age::{KeyAge, check_key_age};
