//! Choice of an endpoint for each request.
//!
//! * [`index`]: which endpoints and stores hold which prompt prefixes.
//! * [`placement`]: the policies that choose between endpoints.
//! * [`link_budget`]: this node's part of the link between regions.

mod bucket;
mod event_log;
pub mod holder;
pub mod index;
pub mod link_budget;
pub mod placement;
