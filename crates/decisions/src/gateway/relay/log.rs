//! The recent changes that a relay has read from an origin.

use std::collections::VecDeque;

/// Maximum number of changes in a log. A follower that has missed more reads them from the origin.
const MAX_ITEMS: usize = 512;

/// Recent changes in the order of their positions, without gaps.
///
/// Positions are numbers that the origin gives its changes, such as revisions. The origin may skip
/// numbers, and several changes may share one.
#[derive(Debug, Clone)]
pub struct ChangeLog<T> {
    // The log has all changes after `start`, up to `end`.
    start: u64,
    end: u64,
    items: VecDeque<(u64, T)>,
}

impl<T> ChangeLog<T> {
    /// Creates a log of the changes after a position.
    pub fn new(start: u64) -> Self {
        Self { start, end: start, items: VecDeque::new() }
    }

    /// Returns the position up to which the log has all changes.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Adds all changes after `from` up to `to`. If the log does not end at `from`, it starts anew.
    pub fn extend(&mut self, from: u64, changes: impl IntoIterator<Item = (u64, T)>, to: u64) {
        if from != self.end {
            *self = Self::new(from);
        }
        self.items.extend(changes);
        self.end = to.max(from);
        let surplus = self.items.len().saturating_sub(MAX_ITEMS);
        if let Some((position, _)) = surplus.checked_sub(1).and_then(|last| self.items.get(last)) {
            // Changes with the same position are dropped together.
            self.start = *position;
            let kept = self.items.partition_point(|(position, _)| *position <= self.start);
            self.items.drain(..kept);
        }
    }

    /// Returns the changes after a position, or `None` if some of them are no longer in the log.
    pub fn since(&self, position: u64) -> Option<impl Iterator<Item = &T>> {
        Some(self.positions_since(position)?.map(|(_, item)| item))
    }

    /// Returns the changes after a position with their own positions, or `None` as [`since`](Self::since).
    pub fn positions_since(
        &self,
        position: u64,
    ) -> Option<impl DoubleEndedIterator<Item = &(u64, T)>> {
        let first = self.items.partition_point(|(known, _)| *known <= position);
        (self.start <= position).then(|| self.items.range(first..))
    }
}
