//! Pure policies and protocol state machines.
//!
//! Everything here takes its inputs and the current time as arguments, draws random numbers from a
//! generator that it is given, and returns typed actions. Nothing reads a clock, opens a socket,
//! spawns a task or logs, so that the daemon, a test and the load tool are equal front ends.
//!
//! * [`admission`]: which requests may run, and in which order.
//! * [`answer`]: puts the tokens of several attempts together into one whole answer.
//! * [`config`]: the operators' configuration and its checks.
//! * [`crash_guard`]: requests that crash the endpoints that run them.
//! * [`endpoint_health`]: what an endpoint can bear now.
//! * [`retry`]: whether and how a failed attempt is followed by another.
//! * [`routing`]: the prefix index and the choice of an endpoint.

pub mod admission;
pub mod answer;
pub mod config;
pub mod crash_guard;
pub mod endpoint_health;
pub mod retry;
pub mod routing;
