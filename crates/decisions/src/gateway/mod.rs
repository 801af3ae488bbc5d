//! Decisions of the gateway, which forwards requests to replicated services by host and path.
//!
//! A caller's request matches a [`Route`] of the current [`Configuration`]. The endpoints of the
//! route's service come from the [`Directory`], their load and failures as seen by this node are in
//! [`EndpointTracker`]s, and a [`Placement`] chooses among them. [`next_step`] decides what happens
//! after an attempt without a complete answer, within this node's [`RetryShare`].
//!
//! * [`allowed_regions`]: the regions in which a request may be served.
//! * [`caller_budget`]: the bytes and connections that are held for callers.
//! * [`configuration`] and [`route`]: the operators' configuration.
//! * [`demand_share`]: this node's part in a request rate, by the demand of the nodes of its zone.
//! * [`directory`]: the registered endpoints.
//! * [`endpoint_notices`]: what an endpoint says about itself, and which requests that allows.
//! * [`endpoint_speed`]: how fast an endpoint is now, and how long requests take at the usual speed.
//! * [`endpoint_tracker`]: load and failures of one endpoint.
//! * [`fleet`]: how many nodes share the limits that apply to all of them together.
//! * [`link_share`]: this node's share of a store's link.
//! * [`own_links`]: whether this node itself still reaches the endpoints, and [`neighbours`], one of which serves its
//!   requests if it does not.
//! * [`next_step`]: whether an attempt is retried, and what the caller gets otherwise.
//! * [`operator_settings`]: the configuration of a node, with the confirmation that it is the newest.
//! * [`part_store`]: the prompt parts in a store, and when they may be fetched and saved.
//! * [`placement`]: which endpoint runs a request.
//! * [`rate_share`]: this node's share of a request rate that all nodes may send together.
//! * [`relay`]: changes that a few nodes of each zone read and pass on to the others.
//! * [`replaced_weights`]: which weights no endpoint serves any more.
//! * [`retry_share`]: this node's share of the retries that all nodes may make together.
//! * [`settings_validity`]: how long a node may rely on the operators' settings that it has read.
//! * [`store_polling`]: how often a store is polled for changes.
//! * [`stream_origin`]: which version of a service's software began a stream.
//! * [`swap`]: which endpoint takes new weights next.
//! * [`target_bounds`]: when the bound of target weights ends that a node may have read late.
//! * [`transfers`]: which prompt parts an endpoint fetches and saves.
//! * [`version_rollout`]: moves the requests of a service to a new version of its software.
//! * [`waiting_room`]: requests that wait until an engine can start them.
//! * [`weight_targets`]: the target weights of a model, and until when older ones may be used.
//! * [`zone_room`]: what the nodes of a zone have outstanding at each endpoint.

pub mod allowed_regions;
pub mod caller_budget;
pub mod configuration;
pub mod demand_share;
mod departed_processes;
pub mod directory;
pub mod endpoint_notices;
pub mod endpoint_speed;
pub mod endpoint_tracker;
pub mod fleet;
pub mod link_share;
pub mod neighbours;
pub mod next_step;
pub mod operator_settings;
pub mod own_links;
mod paced_turns;
pub mod part_store;
pub mod placement;
pub mod rate_share;
pub mod relay;
pub mod replaced_weights;
pub mod retry_share;
pub mod route;
pub mod settings_validity;
pub mod store_polling;
pub mod stream_origin;
pub mod swap;
mod takeover;
pub mod target_bounds;
pub mod transfers;
pub mod version_rollout;
pub mod waiting_room;
pub mod weight_targets;
pub mod zone_room;

pub use allowed_regions::AllowedRegions;
pub use caller_budget::{
    BudgetUse, CallerBudget, CallerBudgetLimits, ConnectionId, ConnectionShares, Decision, Grant,
    Shortage,
};
pub use configuration::{
    CallerLimits, Configuration, EngineSpec, InvalidConfiguration, KeyVerdict, Organisation,
    PartStore, Service,
};
pub use demand_share::{DemandShare, LimitUse};
pub use directory::{Directory, EndpointRecord, EndpointState};
pub use endpoint_notices::{EndpointNotice, EndpointNotices};
pub use endpoint_speed::{EndpointSpeed, RequestWork, ServicePace, SlowdownEstimate};
pub use endpoint_tracker::{
    EndpointTracker, EndpointTrackerSettings, KnownLoad, LoadReport, SilenceStep, ZoneLoad,
};
pub use fleet::FleetSize;
pub use link_share::LinkShare;
pub use neighbours::{Neighbour, Neighbours};
pub use next_step::{AttemptFailure, AttemptSummary, NextStep, Refusal};
pub use operator_settings::{ConfirmedConfiguration, OperatorSettings};
pub use own_links::{OwnLinks, SampleResult};
pub use part_store::{PartEvent, PartEvents, StoreContents, TransferTiming};
pub use placement::{
    Candidate, CandidateSpeed, Distance, ExpectedTime, ExpectedTimeAffinity, LeastLoaded,
    Placement, PlacementRequest, PrefixAffinity,
};
pub use rate_share::RateShare;
pub use replaced_weights::ReplacedWeights;
pub use retry_share::{RetryLimits, RetryShare};
pub use route::{Priority, PromptPart, Route, RouteKind, WeightedService};
pub use settings_validity::{SettingsBounds, SettingsValidity};
pub use store_polling::StorePollSettings;
pub use stream_origin::{
    KnownVersions, SoftwareHistory, StreamOrigin, StreamRecord, StreamRecords, TakeUpEvidence,
    VersionStatement, ZoneNodes, asked_elsewhere, asked_in_each, asked_in_zone, keepers,
};
pub use swap::{EngineReport, SwapLimits, SwapPlan, SwapStep, candidate_delay_ms};
pub use takeover::{Handover, Takeover};
pub use target_bounds::{TargetBounds, TargetDeadlines};
pub use transfers::{PartTransfers, TransferRequest, plan_transfers};
pub use weight_targets::{OutdatedWeights, TargetWeights};
pub use zone_room::{OutstandingSum, ZoneRoom};
