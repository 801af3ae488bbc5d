//! The front that passes callers' requests on to replicated services.
//!
//! Callers and endpoints speak HTTP/1.1 with headers that differ between platforms. What a message
//! means is told by the traits in [`protocol`], which a platform's adapter implements; what is
//! decided about a request comes from `yuccapass_decisions::gateway`.
//!
//! * [`protocol`]: the trait objects at the border to a platform.
//! * [`options`]: what can be set.
//! * [`node`]: a running gateway, from start to graceful stop.
//! * [`clock`]: a clock that also counts while the machine is suspended.
//!
//! On the way of a request: `caller` reads it from its connection, `admission` checks it, `forward`
//! makes attempts at endpoints, `attempt` is one of them, `events` passes a stream on, and `answer`
//! writes to the caller. `endpoints` has the load, failures and connections of the endpoints.
//! `stores` knows what stores of prompt parts keep; `exchange` sends a message of the node's own.
//! `watch` keeps configuration and directory up to date, `registration` keeps this node's entry,
//! `membership` reads those of the others, and `swap_leader` orders endpoints to take new weights.
//! `crashes` finds requests that crash endpoints.

mod admission;
mod answer;
mod attempt;
mod caller;
pub mod clock;
mod crashes;
mod endpoints;
mod events;
mod exchange;
mod forward;
mod membership;
mod metrics;
pub mod node;
pub mod options;
pub mod protocol;
mod readiness;
mod registration;
mod state;
mod stores;
mod swap_leader;
mod watch;

pub use clock::BootClock;
pub use node::{GatewayError, GatewayNode};
pub use options::GatewayOptions;
pub use protocol::{
    CallerRequest, DecodeError, EndpointAnswer, EngineProtocol, EntryChange, EntryDecoder,
    Forwarding, InvalidRequest, OrderOutcome, PartStoreProtocol, Protocol, WeightOrder,
};
