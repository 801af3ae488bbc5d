//! Requests that wait until an engine of their service can start them.
//!
//! An [`EndpointRoom`] says whether an engine can start a request that needs a given [`RequestWork`](super::RequestWork). If
//! none can, the request waits in the [`WaitingRoom`] of its service, which decides who starts next, who
//! is refused, and when. A [`RunTimeEstimate`] tells how long a request takes once it has started.
//!
//! `docs/design/waiting-room.md` says what was weighed.

mod endpoint_room;
mod order;
mod recent_work;
mod room;
mod run_time;
mod running_mean;
mod urgent_reserve;
mod work;

pub use endpoint_room::{Assumptions, EndpointRoom, OthersLoad};
pub use room::{
    Arrival, Displaced, RefusalReason, RoomRefusal, Ticket, Turn, WaitingLimits, WaitingRequest,
    WaitingRoom,
};
pub use run_time::{ExpectedRun, ObservedRunTimes, RunTimeEstimate};
pub use running_mean::RunningMean;
pub use urgent_reserve::UrgentReserve;
pub use work::{MemoryPerRequest, OutputBounds, OutputEstimate};
