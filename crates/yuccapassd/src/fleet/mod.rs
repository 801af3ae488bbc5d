//! Coordination with the other nodes of the fleet.
//!
//! * [`members`]: the known nodes and their states; [`heartbeats`] exchanges them between nodes.
//! * [`configuration_fetcher`]: fetches newer configurations from the platform and from other
//!   nodes; [`platform_configuration`] stores them in the platform, and [`platform_watch`] watches
//!   for new ones on a few nodes of each zone.
//! * [`votes`]: majority votes, which [`ledger`] and [`permits`] use.
//! * [`rollouts`]: rolls out the versions of the active configuration to the model endpoints.
//! * [`peer_handler`]: handles messages from other nodes.

pub(crate) mod configuration_fetcher;
pub(crate) mod heartbeats;
pub(crate) mod ledger;
pub(crate) mod members;
pub(crate) mod peer_handler;
pub(crate) mod permits;
pub(crate) mod platform_configuration;
pub(crate) mod platform_watch;
pub(crate) mod rollouts;
pub(crate) mod votes;

pub(crate) use configuration_fetcher::ConfigurationFetcher;
pub(crate) use members::{Identity, Members};
pub(crate) use peer_handler::FleetHandler;
pub(crate) use votes::Votes;
