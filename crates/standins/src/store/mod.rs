//! A stand-in for a store VM.
//!
//! * `tiers`: the blocks in a memory and a disk tier, without time and HTTP.
//! * `link`: transfers that share a byte rate.
//! * `shared`: settings, faults and crashes.
//! * `http`: the calls and the faults that concern a connection.

mod http;
mod link;
mod shared;
mod tiers;

pub use http::build_app;
pub use link::Link;
pub use shared::{Store, StoreConfig, StoreFaults};
pub use tiers::{StoreFull, Tiers};
