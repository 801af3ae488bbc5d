//! Pure policies and protocol state machines.
//!
//! Everything here takes its inputs and the current time as arguments, draws random numbers from a
//! generator that it is given, and returns typed actions. Nothing reads a clock, opens a socket,
//! spawns a task or logs, so that the daemon, a test and the load tool are equal front ends.
//!
//! * [`answer`]: puts the tokens of several attempts together into one whole answer.
//! * [`change`]: the operators' changes to the configuration.
//! * [`config`]: the operators' configuration, its checks, chunks and distribution.

pub mod answer;
pub mod change;
pub mod config;
