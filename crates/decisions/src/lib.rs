//! Pure policies and protocol state machines.
//!
//! Everything here takes its inputs and the current time as arguments, draws random numbers from a
//! generator that it is given, and returns typed actions. Nothing reads a clock, opens a socket,
//! spawns a task or logs, so that the daemon, a test and the load tool are equal front ends.
//!
//! * [`answer`]: puts the tokens of several attempts together into one whole answer.
//! * [`config`]: the operators' configuration and its checks.
//! * [`platform_budget`]: calls to the platform: budget, backoff, lost answers and leases.
//! * [`rollout`]: orders to the replicas of a model, a few at a time.

pub mod answer;
pub mod config;
pub mod platform_budget;
pub mod rollout;
