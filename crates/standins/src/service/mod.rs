//! A stand-in for a plain service.
//!
//! Each call but those below `/standin` has one effect, an entry in the journal, also if its
//! idempotency key was seen before: recognising a repeated key is the system's task, and the journal
//! shows where it failed. `/echo` returns the body of the call; every other path returns a summary.
//!
//! * `core`: settings, faults and journal, without HTTP.
//! * `http`: the calls and the faults that concern a connection.

mod core;
mod http;

pub use core::{Effect, Service, ServiceFaults};
pub use http::build_app;
