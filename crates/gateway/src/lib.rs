//! A reverse proxy that forwards callers' requests to replicated services.
//!
//! Callers and endpoints speak HTTP/1.1 with headers that differ between platforms. The traits in
//! [`protocol`], which a platform's adapter implements, encode and decode messages. The decisions
//! about a request are made in `yuccapass_decisions::gateway`.
//!
//! * [`protocol`]: the traits that a platform's adapter implements.
//! * [`options`]: the settings of a gateway.
//! * [`node`]: a running gateway, from start to graceful stop.
//! * [`clock`]: a clock that also advances while the machine is suspended.
//!
//! A request is read from its connection in `caller`, within the budget of `caller_memory`, and checked in
//! `admission`. It may have to wait in `waiting` until an engine can start it. `choice` chooses endpoints,
//! `forward` retries, `attempt` makes one attempt at an endpoint, and `request_message` encodes the request
//! for it. `events` splits streams into events, and `answer` writes to the caller.
//!
//! State and background tasks: `endpoints` has the load, failures and connections of the endpoints, and
//! `notices` what they say about themselves; `stores` polls the stores of prompt parts; `exchange` sends
//! this node's own requests to endpoints and stores; `watch` keeps the configuration and the directory
//! up to date; `registration` maintains this node's entry in the key-value service, and `membership`
//! reads those of the other nodes; `relay` passes changes on within a zone; `swap_leader` orders
//! endpoints to take new weights; `rollouts` moves services to new versions of their software; `streams` knows which version began a stream;
//! `crashes`
//! finds requests that crash endpoints, `part_crashes` finds parts of prompts that do, and
//! `crash_evidence` shares what is known about both.

mod admission;
mod answer;
mod attempt;
mod caller;
mod caller_memory;
mod choice;
pub mod clock;
mod crash_evidence;
mod crashes;
mod detour;
mod endpoints;
mod events;
mod exchange;
mod forward;
mod membership;
mod metrics;
pub mod node;
mod notices;
pub mod options;
mod own_links;
mod part_crashes;
pub mod protocol;
mod published_evidence;
mod readiness;
mod received;
mod registration;
mod relay;
mod request_message;
mod rollouts;
mod state;
mod stores;
mod streams;
mod swap_leader;
mod waiting;
mod watch;

pub use clock::BootClock;
pub use node::{GatewayError, GatewayNode};
pub use options::{AnswerLimits, Capabilities, GatewayOptions, ProcessLimits, RequestQueue};
pub use protocol::{
    CallerRequest, DecodeError, Detour, EndpointAnswer, EngineProtocol, EntryChange, EntryDecoder,
    Forwarding, InvalidRequest, OrderOutcome, PartStoreProtocol, Protocol, RolloutRequest,
    RolloutState, RolloutStatus, StatusEncoder, WeightOrder,
};
