//! The yuccapass daemon: wiring between the peer crates and the decisions.
//!
//! * [`settings`]: flags and environment variables, checked at start.
//! * [`node`]: a running node, from start to graceful stop.
//!
//! The other modules hold the node's state and connect the peers: `configuration` (the document in
//! force), `endpoint_table`
//! and `prefix_cache_view` (load and caches of the endpoints, kept up to date by `monitor`), `placer`
//! (choice of an endpoint), `transfer` (cache blocks to and from stores), `admission` and `dispatcher` (requests that wait), `fleet`
//! (what this node does together with the others), `commands` (operators' queries and commands), `request_path`, `run` and
//! `attempt` (from a caller's request to its answer), `admin` (health,
//! metrics and status), `metrics` and `logs`.

mod admin;
mod admission;
mod attempt;
mod commands;
mod configuration;
mod crash_guard;
mod dispatcher;
mod endpoint_table;
mod fleet;
pub mod logs;
mod metrics;
mod monitor;
pub mod node;
mod placer;
mod poller;
mod prefix_cache_view;
mod recorded_answer;
mod request_path;
mod run;
mod services;
pub mod settings;
mod transfer;

pub use metrics::MetricsError;
pub use node::{Node, NodeError};
pub use settings::Settings;
