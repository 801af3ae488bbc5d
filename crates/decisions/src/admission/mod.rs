//! Admission: which requests may run, and in which order.
//!
//! * [`fair_queue`]: queue of requests that wait for an endpoint, fair between organisations.
//! * [`limits`]: rate limits of organisations, enforced by all nodes of a zone together.

mod class_queue;
pub mod fair_queue;
pub mod limits;
