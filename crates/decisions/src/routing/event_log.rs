//! Ordering, deduplication and gap detection for the cache events of one holder.

use yuccapass_types::{BlockHash, Incarnation};

use super::index::{CacheChange, CacheEvent};

/// Number of events after a stored block that are searched for the next block of its prompt.
///
/// An engine that processes several prompts at once interleaves their events. If only the next
/// event were checked, each block of such prompts would be taken for the last one of its prompt and
/// be indexed.
const CONTINUATION_WINDOW: usize = 16;

/// A change of the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    Insert(BlockHash),
    Remove(BlockHash),
}

/// The changes of the index that follow from a batch of events.
#[derive(Debug, Default)]
pub(crate) struct BatchChanges {
    /// Whether all entries of the holder are removed first.
    pub(crate) clears_holder: bool,
    pub(crate) changes: Vec<Change>,
}

/// Position in the event sequence of one holder.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    incarnation: Option<Incarnation>,
    last_sequence: u64,
    needs_listing: bool,
    // Position and hash of the block that the last batch ended with, if it was indexed as the end
    // of a prompt. It is removed if the next batch continues the prompt.
    tail: Option<(u32, BlockHash)>,
}

impl EventLog {
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    pub(crate) fn needs_listing(&self) -> bool {
        self.needs_listing
    }

    /// Returns the changes that a batch makes; events that were seen before are ignored.
    pub(crate) fn accept(
        &mut self,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> BatchChanges {
        let mut batch = BatchChanges::default();
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return batch;
        }
        batch.clears_holder = self.enter_incarnation(incarnation);
        let new_events = self.take_new_events(events);
        self.remove_continued_tail(&new_events, &mut batch.changes);
        for (position, event) in new_events.iter().enumerate() {
            batch.changes.extend(change_of(event, &new_events[position + 1..]));
        }
        if let Some(last) = new_events.last() {
            let is_end =
                last.kind == CacheChange::Stored && !is_always_indexed(last.position_blocks);
            self.tail = is_end.then_some((last.position_blocks, last.block));
        }
        batch
    }

    /// Accepts a listing; returns false if it is from an earlier incarnation.
    pub(crate) fn accept_listing(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return false;
        }
        // Events after the listing have to be read again: the listing replaces their changes.
        *self = Self {
            incarnation: Some(incarnation),
            last_sequence: sequence,
            needs_listing: false,
            tail: None,
        };
        true
    }

    /// Starts the numbering of a new incarnation; returns whether an earlier one was known.
    fn enter_incarnation(&mut self, incarnation: Incarnation) -> bool {
        if self.incarnation == Some(incarnation) {
            return false;
        }
        let was_known = self.incarnation.is_some();
        // On first contact the cache may hold blocks whose events the engine no longer keeps.
        let needs_listing = !was_known;
        let incarnation = Some(incarnation);
        *self = Self { incarnation, last_sequence: 0, needs_listing, tail: None };
        was_known
    }

    /// Returns the events that were not seen before and notes whether any are missing.
    fn take_new_events(&mut self, events: &[CacheEvent]) -> Vec<CacheEvent> {
        let mut new_events = Vec::with_capacity(events.len());
        for event in events.iter().filter(|event| event.sequence > 0) {
            if event.sequence <= self.last_sequence {
                continue;
            }
            self.needs_listing |= event.sequence != self.last_sequence + 1;
            self.last_sequence = event.sequence;
            new_events.push(*event);
        }
        new_events
    }

    /// Removes the last block of the earlier batch if this batch continues its prompt.
    fn remove_continued_tail(&self, events: &[CacheEvent], changes: &mut Vec<Change>) {
        let (Some((position, block)), Some(first)) = (self.tail, events.first()) else { return };
        if first.kind == CacheChange::Stored && first.position_blocks == position + 1 {
            changes.push(Change::Remove(block));
        }
    }
}

/// Returns whether the block at this position is indexed in every prompt: the powers of two are.
pub(crate) fn is_always_indexed(position_blocks: u32) -> bool {
    position_blocks.is_power_of_two()
}

fn change_of(event: &CacheEvent, later: &[CacheEvent]) -> Option<Change> {
    match event.kind {
        CacheChange::Evicted => Some(Change::Remove(event.block)),
        CacheChange::Stored if is_always_indexed(event.position_blocks) => {
            Some(Change::Insert(event.block))
        }
        CacheChange::Stored => (!is_continued(event, later)).then_some(Change::Insert(event.block)),
    }
}

fn is_continued(event: &CacheEvent, later: &[CacheEvent]) -> bool {
    later.iter().take(CONTINUATION_WINDOW).any(|next| {
        next.kind == CacheChange::Stored && next.position_blocks == event.position_blocks + 1
    })
}
