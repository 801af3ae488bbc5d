//! What this node does together with the others.
//!
//! * [`members`]: who the others are, told by heartbeats, which [`heartbeats`] sends.
//! * [`configuration_sync`]: brings newer configurations from the platform and from other nodes;
//!   [`platform_configuration`] says how the platform keeps one, and [`platform_watch`] reads it on the few nodes of a zone that watch the platform.
//! * [`votes`]: majority votes; [`ledger`] and [`permits`] build on them.
//! * [`rollouts`]: brings the model endpoints to the versions of the configuration in force.
//! * [`peer_handler`]: answers the messages of other nodes.

pub(crate) mod configuration_sync;
pub(crate) mod heartbeats;
pub(crate) mod ledger;
pub(crate) mod members;
pub(crate) mod peer_handler;
pub(crate) mod permits;
pub(crate) mod platform_configuration;
pub(crate) mod platform_watch;
pub(crate) mod rollouts;
pub(crate) mod votes;

pub(crate) use configuration_sync::ConfigurationSync;
pub(crate) use members::{Identity, Members};
pub(crate) use peer_handler::FleetHandler;
pub(crate) use votes::Votes;
