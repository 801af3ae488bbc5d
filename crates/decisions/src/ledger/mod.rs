//! At-most-once execution of non-repeatable requests with an idempotency key.
//!
//! The node that accepts such a request makes a [`LedgerAttempt`], sends its requests for votes and
//! feeds the answers in until [`LedgerAttempt::decide`] returns something other than
//! [`LedgerDecision::Wait`]. Only after [`LedgerAttempt::start_sending`] has returned true may the
//! first byte go to an endpoint. The outcome is then recorded with all panel members.

mod attempt;
mod key_age;

pub use attempt::{LedgerAttempt, LedgerConfig, LedgerDecision, LedgerRejection};
pub use key_age::{KeyAge, check_key_age};
