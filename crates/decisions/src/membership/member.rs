//! What this node believes about another one.

use yuccapass_types::Instant;

use super::heartbeat::HeartbeatCounter;
use super::row::{Row, RowState, process_id};
use super::table::MemberEvent;

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
    /// The highest counter that was heard, which may be higher than that of the row.
    pub(crate) counter: u64,
    pub(crate) state: MemberState,
    /// When the counter last rose.
    pub(crate) heard_at: Instant,
    /// When the state became dead or left.
    pub(crate) ended_at: Instant,
    /// How often the row was passed on since its content changed.
    pub(crate) passed_on: u64,
    /// The last message that had the counter, for passing on all in turn.
    pub(crate) pulse_sent: u64,
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
            passed_on: 0,
            pulse_sent: 0,
            vm_leaving,
        }
    }

    /// Takes a newer row; returns whether the state has changed.
    pub(crate) fn take_row(&mut self, row: &Row, now: Instant) -> bool {
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
            self.passed_on = 0;
        }
        self.row = row.clone();
        self.state != before
    }

    /// Takes the counter of the known process; returns whether the state has changed.
    pub(crate) fn take_counter(&mut self, counter: u64, now: Instant) -> bool {
        if counter <= self.counter || self.state == MemberState::Left {
            return false;
        }
        let before = self.state;
        self.counter = counter;
        self.heard_at = now;
        self.state = MemberState::Alive;
        self.state != before
    }

    pub(crate) fn changed(&self) -> MemberEvent {
        MemberEvent::Changed { node: self.row.node.clone(), state: self.state }
    }

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

    pub(crate) fn pulse(&self) -> HeartbeatCounter {
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
