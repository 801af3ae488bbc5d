//! Requests that reach replicated services by host and path.
//!
//! A caller's request selects a [`Route`] of the [`Configuration`] in force. Its service's endpoints
//! come from the [`Directory`], what this node knows of their load and failures is in
//! [`EndpointTracker`]s, and a [`Placement`] chooses among them. [`next_step`] decides what follows an
//! attempt that did not give a whole answer, within the [`RetryShare`] of the node.
//!
//! * [`key_validity`]: how long a node may rely on the keys that it knows.
//! * [`configuration`] and [`route`]: what operators have decided.
//! * [`directory`]: which endpoints there are.
//! * [`fleet`]: how many nodes share the bounds that hold for all of them together.
//! * [`link_share`]: this node's part of a store's link.
//! * [`part_store`]: which prompt parts stores keep, and when they may be fetched and saved.
//! * [`placement`]: where a request runs.
//! * [`replaced_weights`]: since when no endpoint serves old weights any more.
//! * [`retry_share`]: this node's part of the retries that all nodes may make together.
//! * [`next_step`]: what follows an attempt.
//! * [`store_polling`]: how often a store is asked for changes.
//! * [`swap`]: which endpoint takes new weights next.
//! * [`endpoint_tracker`]: load and failures of one endpoint.
//! * [`transfers`]: which prompt parts an endpoint fetches and saves.

pub mod configuration;
pub mod directory;
pub mod endpoint_tracker;
pub mod fleet;
pub mod key_validity;
pub mod link_share;
pub mod next_step;
pub mod part_store;
pub mod placement;
pub mod replaced_weights;
pub mod retry_share;
pub mod route;
pub mod store_polling;
pub mod swap;
pub mod transfers;

pub use configuration::{
    CallerLimits, Configuration, ConfigurationHolder, InvalidConfiguration, KeyVerdict,
    Organisation, PartStore, Service,
};
pub use directory::{Directory, EndpointRecord, EndpointState, TargetWeights};
pub use endpoint_tracker::{EndpointTracker, EndpointTrackerSettings, LoadReport};
pub use fleet::FleetSize;
pub use key_validity::KeyValidity;
pub use link_share::LinkShare;
pub use next_step::{AttemptFailure, AttemptSummary, NextStep, Refusal};
pub use part_store::{PartEvent, PartEvents, StoreContents, TransferTiming};
pub use placement::{
    Candidate, Distance, LeastLoaded, Placement, PlacementRequest, PrefixAffinity,
};
pub use replaced_weights::ReplacedWeights;
pub use retry_share::{RetryLimits, RetryShare};
pub use route::{Priority, PromptPart, Route, RouteKind, WeightedService};
pub use store_polling::StorePollSettings;
pub use swap::{EngineReport, SwapLimits, SwapPlan, SwapStep};
pub use transfers::{PartTransfers, TransferRequest, plan_transfers};
