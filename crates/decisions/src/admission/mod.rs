//! Which requests may run, and in which order.
//!
//! * [`fair_queue`]: requests that wait for an endpoint.
//! * [`limits`]: token rates of organisations, held by all nodes of a zone together.

mod class_queue;
pub mod fair_queue;
pub mod limits;
