//! Gossip membership: the nodes of the fleet and their states, learned from heartbeats.
//!
//! Each node counts its own heartbeats and forwards the counters that it receives. A member whose
//! counter has not risen for some time is suspect and then dead; a higher counter or a higher
//! incarnation makes it alive again. Nodes do not tell each other that a member is suspect or dead,
//! so a node with a bad connection cannot make others suspect a member that they hear from.
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
