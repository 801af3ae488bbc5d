//! A record of the requests that the engine began to run.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use yuccapass_types::Incarnation;

/// What surrounds a marker in a prompt.
const MARKER_START: &str = "[[";
const MARKER_END: &str = "]]";

/// A run that the engine began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The request.
    pub request_id: String,
    /// Which attempt of the request.
    pub attempt: String,
    /// The text between `[[` and `]]` in the prompt, or nothing.
    pub marker: String,
    /// Tokens that the attempt skipped.
    pub resume_offset_tokens: u64,
    /// The engine process.
    pub incarnation: Incarnation,
}

/// The response to `GET /journal`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalListing {
    /// Entries that were removed because the journal was full; a checker that counts runs requires
    /// that it is 0.
    pub removed_entries: u64,
    /// The entries, oldest first.
    pub entries: Vec<JournalEntry>,
}

/// A bounded record of begun runs, which outlives a crash of the engine.
#[derive(Debug)]
pub struct Journal {
    max_entries: usize,
    removed_entries: u64,
    entries: VecDeque<JournalEntry>,
}

impl Journal {
    /// Makes an empty journal.
    pub fn new(max_entries: usize) -> Self {
        Self { max_entries, removed_entries: 0, entries: VecDeque::new() }
    }

    /// Adds an entry and removes the oldest one if there are too many.
    pub fn add(&mut self, entry: JournalEntry) {
        self.entries.push_back(entry);
        if self.entries.len() > self.max_entries {
            self.entries.pop_front();
            self.removed_entries += 1;
        }
    }

    /// Returns all entries that are kept.
    pub fn listing(&self) -> JournalListing {
        let entries = self.entries.iter().cloned().collect();
        JournalListing { removed_entries: self.removed_entries, entries }
    }
}

/// Returns the last marker of a prompt: the text between `[[` and `]]`.
///
/// The last one, because a prompt that returns repeats the earlier ones.
pub fn marker_of(prompt: &[u8]) -> String {
    let text = String::from_utf8_lossy(prompt);
    let Some((_, behind)) = text.rsplit_once(MARKER_START) else { return String::new() };
    behind.split_once(MARKER_END).map(|(marker, _)| marker.to_owned()).unwrap_or_default()
}
