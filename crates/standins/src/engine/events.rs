//! Cache events, published after a delay and with gaps for lost ones.

use std::collections::VecDeque;

use yuccapass_endpoints::CacheEvent;
use yuccapass_types::Instant;

use super::cache::CacheChange;

/// A bounded log of the events of one incarnation, numbered from 1.
#[derive(Debug)]
pub(crate) struct EventLog {
    lag_ms: u64,
    max_kept: usize,
    last_sequence: u64,
    kept: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(crate) fn new(lag_ms: u64, max_kept: usize) -> Self {
        Self { lag_ms, max_kept, last_sequence: 0, kept: VecDeque::new() }
    }

    /// Adds an event; if `is_lost` returns true for its number, only the number is used up.
    pub(crate) fn add(
        &mut self,
        change: CacheChange,
        now: Instant,
        is_lost: impl FnOnce(u64) -> bool,
    ) {
        self.last_sequence += 1;
        if is_lost(self.last_sequence) {
            return;
        }
        let (kind, listed) = change;
        let event = CacheEvent {
            sequence: self.last_sequence,
            kind,
            position_blocks: listed.position_blocks,
            block: listed.block,
        };
        self.kept.push_back((now, event));
        if self.kept.len() > self.max_kept {
            self.kept.pop_front();
        }
    }

    /// Returns the events after a number that are published by now.
    pub(crate) fn after(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        let is_published = |at: &Instant| now.ms_since(*at) >= self.lag_ms;
        let published = self.kept.iter().take_while(|(at, _)| is_published(at));
        published.map(|(_, event)| *event).filter(|event| event.sequence > sequence).collect()
    }

    /// Returns the number of the last event, published or not.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }
}
