//! Small stand-ins for the outside systems, for tests and trials.
//!
//! * [`engine`]: a model endpoint.

pub mod engine;
