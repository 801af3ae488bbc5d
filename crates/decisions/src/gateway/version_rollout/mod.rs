//! Moves the requests of a service to a new version of its software.
//!
//! An operator orders a roll-out to endpoints of a new version that run beside the old ones. One
//! node at a time, the holder, takes the order through its stages and compares the answers of the
//! two versions; all nodes follow the stage that it writes.
//!
//! * [`limits`]: how many requests a bad version may get, and for how long.
//! * [`order`]: the operators' order.
//! * [`progress`]: the stage of an order, which the holder writes.
//! * [`shares`]: to which versions a node may send a request.
//! * [`exposure`]: how many requests a node may send to a version that is not yet judged.
//! * [`evidence`]: what a node has counted about the answers of each version.
//! * [`judge`]: whether the new version is worse than the old one.
//! * [`driver`]: which stage follows.
//! * [`holder`]: the writes of the holder, and what it does when their outcome is unknown.

pub mod driver;
pub mod evidence;
pub mod exposure;
pub mod holder;
pub mod judge;
pub mod limits;
pub mod order;
pub mod progress;
pub mod shares;

pub use driver::{FleetView, next_progress};
pub use evidence::{
    AnswerKind, AnswerTime, FleetEvidence, NodeEvidence, ReportTimer, RouteCounts, RouteEvidence,
    VersionRole,
};
pub use exposure::ExposureCap;
pub use holder::{HolderAction, RolloutHolder};
pub use judge::{Verdict, VersionJudge};
pub use limits::RolloutLimits;
pub use order::RolloutOrder;
pub use progress::{RollbackReason, RolloutProgress, Stage};
pub use shares::{CountedAttempt, VersionFilter, VersionShares};
