//! Decides what a follower does with an update of the key-value service, by its era.

/// What a follower does with an update of a relay. The era of the key-value service rises when the service
/// comes back from an older copy; positions of different eras belong to different histories, also if the
/// numbers are the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraStep {
    /// Apply the changes: they continue from the follower's position.
    Apply,
    /// List the keys at the origin: the follower's position belongs to an era that has ended. The relay
    /// passes on changes only, and what is missing from the copy is none of them.
    ListAgain,
    /// Read from another relay or from the origin: the relay has not noticed that its era has ended.
    Refuse,
}

impl EraStep {
    /// Returns what a follower with a position of the era `own` does with an update of the era `relayed`.
    pub fn of(own: u64, relayed: u64) -> Self {
        match relayed.cmp(&own) {
            std::cmp::Ordering::Equal => Self::Apply,
            std::cmp::Ordering::Greater => Self::ListAgain,
            std::cmp::Ordering::Less => Self::Refuse,
        }
    }
}
