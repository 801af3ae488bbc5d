//! Prefix-aware choice of an endpoint for each request.
//!
//! * [`holder`]: compact numbers for the endpoints and store tiers that hold blocks.
//! * [`index`]: which endpoints and stores hold which prompt prefixes.
//! * [`placement`]: the policies that choose between endpoints.
//! * [`link_budget`]: this node's share of the bandwidth between regions.

mod bucket;
mod event_log;
pub mod holder;
pub mod index;
pub mod link_budget;
pub mod placement;
