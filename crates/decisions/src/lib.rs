//! Pure policies and protocol state machines.
//!
//! Everything here takes its inputs and the current time as arguments, draws random numbers from a
//! generator that it is given, and returns typed actions. Nothing reads a clock, opens a socket,
//! spawns a task or logs, so that the daemon, a test and the load tool are equal front ends.
//!
//! * [`answer`]: puts the tokens of several attempts together into one whole answer.
//! * [`config`]: the operators' configuration and its checks.
//! * [`ledger`]: at-most-once execution of non-repeatable requests.
//! * [`membership`]: which nodes there are, told by heartbeats.
//! * [`permits`]: admission to cold endpoints.
//! * [`quorum`]: in-memory majority votes.

pub mod answer;
pub mod config;
pub mod ledger;
pub mod membership;
pub mod permits;
pub mod quorum;
