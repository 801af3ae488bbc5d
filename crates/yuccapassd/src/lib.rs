//! The yuccapass daemon: wiring between the peer crates and the decisions.
//!
//! * [`settings`]: flags and environment variables, checked at start.
//! * [`gateway`]: the gateway, which passes requests on to replicated services.
//! * [`node`]: a running node, from start to graceful stop.
//!
//! The other modules hold the node's state and connect the peers:
//!
//! * `request_path`, `run` and `attempt`: from a caller's request to its answer; `recorded_answer`
//!   replays one, and `services` calls plain services.
//! * `admission` and `dispatcher`: requests that wait; `placer`: choice of an endpoint.
//! * `endpoint_table` and `prefix_cache_view`: load and caches of the endpoints, kept up to date by
//!   `monitor` and `poller`; `transfer`: cache blocks to and from stores.
//! * `crash_guard`: requests that crash endpoints.
//! * `configuration`: the document in force; `fleet`: what this node does together with the others;
//!   `commands`: operators' queries and commands.
//! * `admin`, `metrics` and `logs`: health checks and what there is to see.

mod admin;
mod admission;
mod attempt;
mod commands;
mod configuration;
mod crash_guard;
mod dispatcher;
mod endpoint_table;
mod fleet;
pub mod gateway;
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
