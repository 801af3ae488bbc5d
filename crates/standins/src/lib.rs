//! Small stand-ins for the external systems that a node talks to, for tests and experiments.
//!
//! * [`engine`]: a model endpoint.
//! * [`platform`]: the platform's key-value service and VM list.
//! * [`service`]: a plain HTTP service.
//! * [`store`]: a store VM, which keeps blocks of prefix caches.
//! * [`load`]: the load generator, which also runs and checks experiments.
//! * [`journal`], [`mod@seeded_random`]: bounded records of what ran, and reproducible random
//!   choices, which the stand-ins share.

pub mod engine;
pub mod journal;
pub mod load;
pub mod platform;
pub mod seeded_random;
pub mod service;
pub mod store;

pub use journal::{Journal, JournalListing, marker_of};
pub use seeded_random::seeded_random;
