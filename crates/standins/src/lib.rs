//! Small stand-ins for the outside systems, for tests and trials.
//!
//! * [`engine`]: a model endpoint.
//! * [`platform`]: key-value service and VM list.
//! * [`service`]: a plain service.
//! * [`store`]: a store VM.
//! * [`load`]: the load and experiment tool.
//! * [`journal`], [`mod@draw`]: records for checkers, and seeded random choices, which they share.

pub mod draw;
pub mod engine;
pub mod journal;
pub mod load;
pub mod platform;
pub mod service;
pub mod store;

pub use draw::draw;
pub use journal::{Journal, JournalListing, marker_of};
