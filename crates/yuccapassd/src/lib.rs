//! The yuccapass daemon: wiring between the peer crates and the decisions.
//!
//! * [`settings`]: flags and environment variables, checked at start.
//! * [`node`]: a running node, from start to graceful stop.
//!
//! The other modules hold the node's state and connect the peers: `configuration` (the document in
//! force), `endpoint_table` (clients and load of the endpoints), `request_path` (from a caller's
//! request to its answer), `admin` (health and status) and `logs`.

mod admin;
mod answer;
mod configuration;
mod endpoint_table;
pub mod logs;
pub mod node;
mod request_path;
pub mod settings;

pub use node::{Node, NodeError};
pub use settings::Settings;
