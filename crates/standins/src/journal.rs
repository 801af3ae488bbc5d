//! Bounded records of what a stand-in ran, which tests and the load tool check.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Delimiters of a marker in a prompt or body.
const MARKER_START: &str = "[[";
const MARKER_END: &str = "]]";

/// The response to a request for a journal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalListing<T> {
    /// Number of entries that were removed because the journal was full; a check that counts runs
    /// requires 0.
    pub removed_entries: u64,
    /// The entries, oldest first.
    pub entries: Vec<T>,
}

/// A bounded list of entries, which a simulated crash of the stand-in does not clear.
#[derive(Debug)]
pub struct Journal<T> {
    max_entries: usize,
    removed_entries: u64,
    entries: VecDeque<T>,
}

impl<T: Clone> Journal<T> {
    /// Creates an empty journal.
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

    /// Returns the kept entries and the number of removed ones.
    pub fn listing(&self) -> JournalListing<T> {
        let entries = self.entries.iter().cloned().collect();
        JournalListing { removed_entries: self.removed_entries, entries }
    }
}

/// Returns the last marker of a prompt or body, the text between `[[` and `]]`, or an empty text.
///
/// The last one is that of the request itself, since the prompt of a later turn of a conversation
/// repeats the earlier ones.
pub fn marker_of(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let Some((_, after_start)) = text.rsplit_once(MARKER_START) else { return String::new() };
    after_start.split_once(MARKER_END).map(|(marker, _)| marker.to_owned()).unwrap_or_default()
}
