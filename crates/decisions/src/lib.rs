//! Pure policies and protocol state machines.
//!
//! Everything here takes its inputs and the current time as arguments, draws random numbers from a
//! generator that it is given, and returns typed actions. Nothing reads a clock, opens a socket,
//! spawns a task or logs, so that the daemon, a test and the load tool are equal front ends.
//!
//! * [`admission`]: which requests may run, and in which order.
//! * [`answer`]: puts the tokens of several attempts together into one whole answer.
//! * [`change`]: the operators' changes to the configuration.
//! * [`config`]: the operators' configuration, its checks, chunks and distribution.
//! * [`crash_guard`]: requests that crash the endpoints that run them.
//! * [`endpoint_health`]: what an endpoint can bear now.
//! * [`gateway`]: requests that reach replicated services by host and path.
//! * [`ledger`]: at-most-once execution of non-repeatable requests.
//! * [`membership`]: which nodes there are, told by heartbeats.
//! * [`permits`]: admission to cold endpoints.
//! * [`platform_budget`]: calls to the platform: budget, backoff, lost answers and leases.
//! * [`polling`]: how often the load of each endpoint is read.
//! * [`quorum`]: in-memory majority votes.
//! * [`retry`]: whether and how a failed attempt is followed by another.
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
pub mod permits;
pub mod platform_budget;
pub mod polling;
pub mod quorum;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod transfer;
