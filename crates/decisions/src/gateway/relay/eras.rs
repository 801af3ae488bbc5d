//! Decides what a follower does with an update of the key-value service, by its era.

use std::cmp::Ordering;

/// What a follower does with an update of a relay. The era of the key-value service rises when the service
/// comes back from an older copy; positions of different eras belong to different histories, also if the
/// numbers are the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraStep {
    /// Apply the changes: they continue from the follower's position.
    Apply,
    /// Apply the changes: they lead from the follower's position into a later era. What the copy lacks may
    /// return.
    Cross,
    /// List the keys at the origin: the follower's position belongs to an era that has ended, and the
    /// relay does not know what is different in the later one.
    ListAgain,
    /// Read from another relay or from the origin: the relay has not noticed that its era has ended.
    Refuse,
}

impl EraStep {
    /// Returns what a follower with a position of the era `own` does with an update of the era `relayed`,
    /// which may have no items.
    pub fn of(own: u64, relayed: u64, has_items: bool) -> Self {
        match relayed.cmp(&own) {
            Ordering::Equal => Self::Apply,
            Ordering::Greater if has_items => Self::Cross,
            Ordering::Greater => Self::ListAgain,
            Ordering::Less => Self::Refuse,
        }
    }
}
