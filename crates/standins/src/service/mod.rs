//! A stand-in for a plain service.
//!
//! Each call except those below `/standin` has one effect, an entry in the journal, even if its
//! idempotency key was seen before: the system under test has to recognise repeated keys, and the
//! journal shows where it did not. `/echo` returns the body of the call; every other path returns a
//! summary of the call.
//!
//! * `core`: settings, faults and journal, without HTTP.
//! * `http`: the HTTP interface, with the faults that affect a connection.

mod core;
mod http;

pub use core::{Effect, Service, ServiceFaults};
pub use http::build_app;
