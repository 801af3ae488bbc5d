//! A member's row, its state and when it was last heard from.

use yuccapass_types::Instant;

use super::heartbeat::HeartbeatCounter;
use super::row::{Row, RowState, process_id};
use super::table::MemberEvent;

/// The state of a member, as this node judges it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Its counter has risen recently.
    Alive,
    /// Its counter has not risen for some time.
    Suspect,
    /// Its counter has not risen for a longer time, or another node uses its address.
    Dead,
    /// It has reported that it stopped.
    Left,
}

/// A member as this node knows it.
#[derive(Debug, Clone)]
pub struct Member {
    pub(crate) row: Row,
    /// The highest counter received, which may be higher than that of the row.
    pub(crate) counter: u64,
    pub(crate) state: MemberState,
    /// When the counter last rose.
    pub(crate) heard_at: Instant,
    /// When the state became dead or left.
    pub(crate) ended_at: Instant,
    /// How often the row was forwarded since its content changed.
    pub(crate) times_forwarded: u64,
    /// Number of the last message that contained the counter; the lowest are forwarded first.
    pub(crate) last_message: u64,
    pub(crate) vm_leaving: bool,
}

impl Member {
    pub(crate) fn new(row: Row, vm_leaving: bool, now: Instant) -> Self {
        let (counter, state) = (row.heartbeat, state_of(&row));
        Self {
            row,
            counter,
            state,
            heard_at: now,
            ended_at: now,
            times_forwarded: 0,
            last_message: 0,
            vm_leaving,
        }
    }

    /// Replaces the row by a newer one; returns whether the state has changed.
    pub(crate) fn replace_row(&mut self, row: &Row, now: Instant) -> bool {
        let before = self.state;
        let is_new_process = row.incarnation > self.row.incarnation;
        if is_new_process || row.heartbeat > self.counter {
            self.counter = row.heartbeat;
            self.heard_at = now;
            self.state = state_of(row);
        }
        if row.state == RowState::Left {
            self.state = MemberState::Left;
            self.ended_at = now;
        }
        if self.row.differs_in_content(row) {
            self.times_forwarded = 0;
        }
        self.row = row.clone();
        self.state != before
    }

    /// Merges a counter of the known process; returns whether the state has changed.
    pub(crate) fn merge_counter(&mut self, counter: u64, now: Instant) -> bool {
        if counter <= self.counter || self.state == MemberState::Left {
            return false;
        }
        let before = self.state;
        self.counter = counter;
        self.heard_at = now;
        self.state = MemberState::Alive;
        self.state != before
    }

    pub(crate) fn changed_event(&self) -> MemberEvent {
        MemberEvent::Changed { node: self.row.node.clone(), state: self.state }
    }

    /// Returns the newest row of the member.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Returns the state of the member.
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// Returns when the member's counter last rose.
    pub fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Returns whether the member itself or the VM list reports that it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.vm_leaving || self.row.state != RowState::Up
    }

    pub(crate) fn heartbeat_counter(&self) -> HeartbeatCounter {
        HeartbeatCounter { process: process_id(&self.row), heartbeat: self.counter }
    }

    pub(crate) fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

fn state_of(row: &Row) -> MemberState {
    match row.state {
        RowState::Up | RowState::Leaving => MemberState::Alive,
        RowState::Left => MemberState::Left,
    }
}
