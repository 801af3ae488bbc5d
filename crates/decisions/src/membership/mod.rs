//! Which nodes there are, told by heartbeats.
//!
//! Each node counts its own heartbeats and passes on the counters that it hears. A member whose
//! counter has not risen for a time is suspect and then dead; a higher counter, or a higher
//! incarnation, makes it alive again. Nobody tells others that a member is suspect or dead, so a
//! node with a bad connection cannot make others doubt a member that they hear.
//!
//! Membership is a hint for finding addresses: no invariant depends on it.

mod heartbeat;
mod member;
mod row;
mod table;
mod targets;

pub use heartbeat::{
    CrashCount, Heartbeat, HeartbeatCounter, MAX_CRASHES, MAX_HEARTBEAT_BYTES,
    MAX_HEARTBEAT_COUNTERS, MAX_REPLY_BYTES, MAX_ROWS, MAX_USAGE, OrganisationUsage,
};
pub use member::{Member, MemberState};
pub use row::{LoadSummary, Row, RowState};
pub use table::{MemberEvent, Membership, MembershipConfig};
pub use targets::{HeartbeatTarget, VmHint};
