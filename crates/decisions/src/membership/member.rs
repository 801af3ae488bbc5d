//! What this node believes about another one.

use yuccapass_types::Instant;

use super::row::{Row, RowState};

/// What this node believes about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Its counter has risen lately.
    Alive,
    /// Its counter has not risen for a while.
    Suspect,
    /// Its counter has not risen for long, or another process uses its address.
    Dead,
    /// It has said that it stopped.
    Left,
}

/// A member as this node knows it.
#[derive(Debug, Clone)]
pub struct Member {
    pub(crate) row: Row,
    pub(crate) state: MemberState,
    /// When the counter last rose.
    pub(crate) heard_at: Instant,
    /// When the state became dead or left.
    pub(crate) ended_at: Instant,
    /// Position in the order of changes, for choosing the rows of a heartbeat.
    pub(crate) change: u64,
    pub(crate) vm_leaving: bool,
}

impl Member {
    /// Returns the newest row of the member.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Returns what this node believes about the member.
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// Returns when the member's counter last rose.
    pub fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Returns whether the member or the VM list says that the member is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.vm_leaving || self.row.state != RowState::Up
    }

    pub(crate) fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
