//! A configuration of which chunks are still missing.

use yuccapass_types::{Deadline, Instant, SortedMap};

use super::active::ActiveConfig;
use super::chunk::{ChunkHash, ChunkItems};
use super::manifest::Manifest;
use super::sync::Source;
use super::validate::InvalidDocument;

/// Requests for chunks that are open at a time: they bound the bytes in flight to 512 KB.
const MAX_OPEN_REQUESTS: usize = 8;

/// How long a source may take to send a chunk of at most 64 KB.
const CHUNK_TIMEOUT_MS: u64 = 2_000;

/// Pause before a chunk that came torn is asked for again.
const RETRY_PAUSE_MS: u64 = 200;

/// How long a configuration may wait for its next chunk before it gives way to another one. Two
/// such waits fit into the 14 s in which a change has to be active.
const STALL_TIMEOUT_MS: u64 = 5_000;

/// Sources that are remembered for one configuration.
const MAX_SOURCES: usize = 8;

/// The state of one chunk.
#[derive(Debug)]
enum Slot {
    /// The chunk is asked for when the deadline has passed.
    Missing(Deadline),
    /// The chunk was asked for.
    Asked(Source, Deadline),
    /// The chunk has arrived.
    Here(ChunkItems),
}

/// A manifest and the chunks that have arrived for it.
#[derive(Debug)]
pub(super) struct Pending {
    manifest: Manifest,
    manifest_hash: ChunkHash,
    sources: Vec<Source>,
    next_source: usize,
    /// The chunks that the configuration in force does not have.
    slots: SortedMap<ChunkHash, Slot>,
    stall_deadline: Deadline,
}

impl Pending {
    pub(super) fn new(
        now: Instant,
        manifest: Manifest,
        manifest_hash: ChunkHash,
        source: Source,
        active: Option<&ActiveConfig>,
    ) -> Self {
        let missing = manifest
            .chunks
            .iter()
            .filter(|hash| !active.is_some_and(|active| active.has_chunk(hash)))
            .map(|hash| (*hash, Slot::Missing(Deadline::after_ms(now, 0))))
            .collect();
        Self {
            manifest,
            manifest_hash,
            sources: vec![source],
            next_source: 0,
            slots: missing,
            stall_deadline: Deadline::after_ms(now, STALL_TIMEOUT_MS),
        }
    }

    pub(super) fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    pub(super) fn manifest_hash(&self) -> ChunkHash {
        self.manifest_hash
    }

    pub(super) fn first_source(&self) -> Source {
        self.sources[0].clone()
    }

    pub(super) fn add_source(&mut self, source: Source) {
        if self.sources.len() < MAX_SOURCES && !self.sources.contains(&source) {
            self.sources.push(source);
        }
    }

    /// Takes over the chunks of a configuration that this one replaces.
    pub(super) fn take_chunks(&mut self, other: Self) {
        for (hash, slot) in other.slots.into_entries() {
            if let (Slot::Here(part), Some(place)) = (slot, self.slots.get_mut(&hash)) {
                *place = Slot::Here(part);
            }
        }
    }

    pub(super) fn has_stalled(&self, now: Instant) -> bool {
        self.stall_deadline.has_passed(now)
    }

    pub(super) fn wants(&self, hash: &ChunkHash) -> bool {
        self.slots.get(hash).is_some_and(|slot| !matches!(slot, Slot::Here(_)))
    }

    pub(super) fn is_complete(&self) -> bool {
        self.slots.values().all(|slot| matches!(slot, Slot::Here(_)))
    }

    pub(super) fn accept(&mut self, now: Instant, hash: ChunkHash, part: ChunkItems) {
        if let Some(slot) = self.slots.get_mut(&hash) {
            *slot = Slot::Here(part);
            self.stall_deadline = Deadline::after_ms(now, STALL_TIMEOUT_MS);
        }
    }

    /// Notes that a source cannot send a chunk or sent it torn.
    pub(super) fn fail(&mut self, now: Instant, source: &Source, hash: &ChunkHash) {
        if let Some(slot) = self.slots.get_mut(hash)
            && matches!(slot, Slot::Asked(asked, _) if asked == source)
        {
            *slot = Slot::Missing(Deadline::after_ms(now, RETRY_PAUSE_MS));
        }
    }

    /// Returns the requests to send now, and marks them as sent.
    pub(super) fn requests(&mut self, now: Instant) -> Vec<(Source, ChunkHash, Deadline)> {
        let is_open = |slot: &&Slot| matches!(slot, Slot::Asked(_, end) if !end.has_passed(now));
        let open_count = self.slots.values().filter(is_open).count();
        let deadline = Deadline::after_ms(now, CHUNK_TIMEOUT_MS);
        let due = self.slots.entries_mut().filter(|(_, slot)| match slot {
            Slot::Missing(start) => start.has_passed(now),
            Slot::Asked(_, end) => end.has_passed(now),
            Slot::Here(_) => false,
        });
        let mut requests = Vec::new();
        for (hash, slot) in due.take(MAX_OPEN_REQUESTS.saturating_sub(open_count)) {
            let source = self.sources[self.next_source % self.sources.len()].clone();
            self.next_source = self.next_source.wrapping_add(1);
            *slot = Slot::Asked(source.clone(), deadline);
            requests.push((source, *hash, deadline));
        }
        requests
    }

    /// Puts the complete document together.
    pub(super) fn assemble(
        self,
        active: Option<&ActiveConfig>,
    ) -> Result<ActiveConfig, InvalidDocument> {
        let mut slots = self.slots;
        ActiveConfig::assemble(self.manifest, |hash| match slots.remove(hash) {
            Some(Slot::Here(part)) => Some(part),
            _ => active.and_then(|active| active.chunk_items(hash)),
        })
    }
}
