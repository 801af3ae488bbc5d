//! Pure policies and protocol state machines.
//!
//! Functions take their inputs, the current time and a random number generator as arguments, and
//! return typed actions. Nothing reads a clock, opens a socket, spawns a task or logs, so the daemon,
//! tests and tools can all use the same code.
//!
//! * [`admission`]: which requests may run, and in which order.
//! * [`answer`]: joins the tokens of several attempts into one complete answer.
//! * [`change`]: the operators' changes to the configuration.
//! * [`config`]: the operators' configuration, its checks, chunks and distribution.
//! * [`crash_guard`]: blocks requests that crash the endpoints that run them.
//! * [`endpoint_health`]: the phase of an endpoint and the load that it sustains.
//! * [`gateway`]: forwards requests to replicated services by host and path.
//! * [`ledger`]: at-most-once execution of non-repeatable requests.
//! * [`membership`]: the nodes of the fleet and their states, learned from heartbeats.
//! * [`part_guard`]: blocks parts of prompts that crash the endpoints that run them.
//! * [`permits`]: limits the requests that all nodes together run at a cold endpoint.
//! * [`platform_budget`]: calls to the platform: budget, backoff, lost answers and leases.
//! * [`polling`]: how often the load of each endpoint is read.
//! * [`quorum`]: majority votes among small panels of nodes.
//! * [`retry`]: whether and how to retry a failed attempt.
//! * [`rollout`]: orders to the replicas of a model, a few at a time.
//! * [`routing`]: the prefix index and the choice of an endpoint.
//! * [`transfer`]: export of cache blocks to the stores and import from them.

pub mod admission;
pub mod answer;
pub mod change;
pub mod config;
pub mod crash_guard;
pub mod endpoint_health;
pub mod gateway;
pub mod ledger;
pub mod membership;
pub mod part_guard;
pub mod permits;
pub mod platform_budget;
pub mod polling;
pub mod quorum;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod transfer;
