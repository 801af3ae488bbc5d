//! Order and completeness of the cache events of one holder.

use yuccapass_types::{BlockHash, Incarnation};

use super::index::{CacheChange, CacheEvent};

/// Events after a stored block among which the next block of its prompt is looked for.
///
/// An engine that processes several prompts at once mixes their events; without a window each
/// block of such prompts would count as the last one of its prompt and be indexed.
const CONTINUATION_WINDOW: usize = 16;

/// A change of the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    Insert(BlockHash),
    Remove(BlockHash),
}

/// What a batch changes.
#[derive(Debug, Default)]
pub(crate) struct Accepted {
    pub(crate) clears_holder: bool,
    pub(crate) changes: Vec<Change>,
}

/// Progress through the events of one holder.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    incarnation: Option<Incarnation>,
    last_sequence: u64,
    needs_listing: bool,
    // The last block of the newest prompt, which is removed if the next batch continues the prompt.
    tail: Option<(u32, BlockHash)>,
}

impl EventLog {
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    pub(crate) fn needs_listing(&self) -> bool {
        self.needs_listing
    }

    /// Accepts a batch; events that were seen before are dropped.
    pub(crate) fn accept(&mut self, incarnation: Incarnation, events: &[CacheEvent]) -> Accepted {
        let mut accepted = Accepted::default();
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return accepted;
        }
        accepted.clears_holder = self.enter_incarnation(incarnation);
        let fresh = self.take_fresh(events);
        self.join_tail(&fresh, &mut accepted.changes);
        for (position, event) in fresh.iter().enumerate() {
            accepted.changes.extend(change_of(event, &fresh[position + 1..]));
        }
        if let Some(last) = fresh.last() {
            let is_end = last.kind == CacheChange::Stored && !is_milestone(last.position_blocks);
            self.tail = is_end.then_some((last.position_blocks, last.block));
        }
        accepted
    }

    /// Accepts a listing; returns false if it is from an earlier incarnation.
    pub(crate) fn accept_listing(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return false;
        }
        // Events after the listing have to be read again, because it replaces what they changed.
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
        // At first contact the cache may hold blocks whose events are no longer kept.
        let needs_listing = !was_known;
        let incarnation = Some(incarnation);
        *self = Self { incarnation, last_sequence: 0, needs_listing, tail: None };
        was_known
    }

    fn take_fresh(&mut self, events: &[CacheEvent]) -> Vec<CacheEvent> {
        let mut fresh = Vec::with_capacity(events.len());
        for event in events.iter().filter(|event| event.sequence > 0) {
            if event.sequence <= self.last_sequence {
                continue;
            }
            self.needs_listing |= event.sequence != self.last_sequence + 1;
            self.last_sequence = event.sequence;
            fresh.push(*event);
        }
        fresh
    }

    fn join_tail(&self, fresh: &[CacheEvent], changes: &mut Vec<Change>) {
        let (Some((position, block)), Some(first)) = (self.tail, fresh.first()) else { return };
        if first.kind == CacheChange::Stored && first.position_blocks == position + 1 {
            changes.push(Change::Remove(block));
        }
    }
}

/// Returns whether a position is indexed in every prompt.
pub(crate) fn is_milestone(position_blocks: u32) -> bool {
    position_blocks.is_power_of_two()
}

fn change_of(event: &CacheEvent, later: &[CacheEvent]) -> Option<Change> {
    match event.kind {
        CacheChange::Evicted => Some(Change::Remove(event.block)),
        CacheChange::Stored if is_milestone(event.position_blocks) => {
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
