//! A stand-in for a store VM.
//!
//! * `tiers`: the blocks in a memory and a disk tier, without clock and HTTP.
//! * `link`: transfers that share a byte rate.
//! * `shared`: settings, faults, crashes, and the state that all calls share.
//! * `http`: the HTTP interface, with the faults that affect a connection.

mod http;
mod link;
mod shared;
mod tiers;

pub use http::build_app;
pub use link::Link;
pub use shared::{Store, StoreConfig, StoreFaults};
pub use tiers::{StoreFull, Tiers};
