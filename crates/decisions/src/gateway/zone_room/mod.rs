//! What the nodes of a zone have outstanding at each endpoint, exchanged through its relays.
//!
//! A node knows its own requests, and learns those of all nodes from the load that endpoints report
//! with their answers. Between two reports, the other nodes of its zone send more. So each follower
//! attaches an [`OutstandingSummary`] to the requests that it makes to its relay anyway, and the relay
//! replies with the sum over all other nodes, a [`RoomReply`]. The relays of a zone exchange the sums
//! over themselves and their followers in the same way.
//!
//! * [`OutstandingSum`] is the size of the outstanding requests by endpoint, and its age.
//! * [`load_spread`] keeps nodes with the same counts from all choosing the same endpoint.
//! * [`ZoneRoom`] has the summaries of other nodes, merges them, and forgets them when they are old.
//!
//! Clocks are never compared. A relay stamps its replies with its own clock, and a summary carries the
//! stamp of the last reply that its sender had received: the summary is not older than that. The age of
//! a reply counts from the moment at which it was requested. So a frozen or slow node, relay or link
//! makes a summary look older, never newer. An old summary weighs less and then nothing, and a node
//! falls back to the reports of the endpoints.

mod room;
mod spread;
mod summary;

pub use room::{Receipt, ZoneRoom};
pub use spread::load_spread;
pub use summary::{
    EndpointKey, EndpointUse, MAX_ENDPOINTS, MIN_NODES, OtherLoad, OutstandingSum,
    OutstandingSummary, PERIOD_MS, RoomReply, RoomStamp, SummaryScope, weight,
};
