//! The yuccapass daemon: connects the protocol crates to the decision logic.
//!
//! * [`settings`]: flags and environment variables, validated at start.
//! * [`gateway`]: the gateway subcommand, which forwards requests to replicated services.
//! * [`node`]: a running node, from start to graceful stop.
//!
//! The other modules hold the node's state and connect it to callers, endpoints and other peers:
//!
//! * `request_handler`, `generation` and `attempt`: execute a caller's request and stream its
//!   answer; `recorded_answer` replays one, and `services` calls plain services.
//! * `admission` and `dispatcher`: queue requests; `placer`: chooses an endpoint.
//! * `endpoint_table` and `prefix_cache_view`: load and cache contents of the endpoints, which
//!   `monitor` and `poller` keep up to date; `transfer`: moves cache blocks to and from stores.
//! * `crash_guard`: blocks requests that crash endpoints.
//! * `configuration`: the active configuration; `fleet`: coordination with other nodes; `commands`:
//!   operators' queries and commands.
//! * `admin`, `metrics` and `logs`: health checks, metrics and logging.

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
mod generation;
pub mod logs;
mod metrics;
mod monitor;
pub mod node;
mod placer;
mod poller;
mod prefix_cache_view;
mod recorded_answer;
mod request_handler;
mod services;
pub mod settings;
mod transfer;

pub use metrics::MetricsError;
pub use node::{Node, NodeError};
pub use settings::Settings;
