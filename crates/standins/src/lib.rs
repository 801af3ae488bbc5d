//! Small stand-ins for the outside systems, for tests and trials.
//!
//! * [`engine`]: a model endpoint.
//! * [`platform`]: key-value service and VM list.

pub mod engine;
pub mod platform;
