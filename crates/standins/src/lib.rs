//! Small stand-ins for the outside systems, for tests and trials.
//!
//! * [`engine`]: a model endpoint.
//! * [`platform`]: key-value service and VM list.
//! * [`service`]: a plain service.
//! * [`load`]: the load and experiment tool.
//! * [`journal`], [`mod@draw`]: records for checkers, and seeded random choices, which they share.

pub mod draw;
pub mod engine;
pub mod journal;
pub mod load;
pub mod platform;
pub mod service;

pub use draw::draw;
pub use journal::{Journal, JournalListing, marker_of};
