//! Bounded records of what a stand-in ran, for checkers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// What surrounds a marker in a prompt or body.
const MARKER_START: &str = "[[";
const MARKER_END: &str = "]]";

/// The response to a request for a journal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalListing<T> {
    /// Entries that were removed because the journal was full; a checker that counts runs requires
    /// that it is 0.
    pub removed_entries: u64,
    /// The entries, oldest first.
    pub entries: Vec<T>,
}

/// A bounded record, which outlives a crash of the stand-in.
#[derive(Debug)]
pub struct Journal<T> {
    max_entries: usize,
    removed_entries: u64,
    entries: VecDeque<T>,
}

impl<T: Clone> Journal<T> {
    /// Makes an empty journal.
    pub fn new(max_entries: usize) -> Self {
        Self { max_entries, removed_entries: 0, entries: VecDeque::new() }
    }

    /// Adds an entry and removes the oldest one if there are too many.
    pub fn add(&mut self, entry: T) {
        self.entries.push_back(entry);
        if self.entries.len() > self.max_entries {
            self.entries.pop_front();
            self.removed_entries += 1;
        }
    }

    /// Returns all entries that are kept.
    pub fn listing(&self) -> JournalListing<T> {
        let entries = self.entries.iter().cloned().collect();
        JournalListing { removed_entries: self.removed_entries, entries }
    }
}

/// Returns the last marker of a prompt or body: the text between `[[` and `]]`.
///
/// The last one, because a prompt that returns repeats the earlier ones.
pub fn marker_of(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let Some((_, behind)) = text.rsplit_once(MARKER_START) else { return String::new() };
    behind.split_once(MARKER_END).map(|(marker, _)| marker.to_owned()).unwrap_or_default()
}
