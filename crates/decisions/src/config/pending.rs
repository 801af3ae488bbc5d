//! A configuration whose chunks have not all arrived yet.

use yuccapass_types::{Deadline, Instant, SortedMap};

use super::active::ActiveConfig;
use super::chunk::{ChunkHash, ChunkItems};
use super::manifest::Manifest;
use super::sync::Source;
use super::validate::InvalidDocument;

/// Maximum number of concurrent requests for chunks; bounds the bytes in flight to 512 KB.
const MAX_OPEN_REQUESTS: usize = 8;

/// Timeout of a request for a chunk of at most 64 KB.
const CHUNK_TIMEOUT_MS: u64 = 2_000;

/// Delay before a chunk is requested again after a failure or a hash mismatch.
const RETRY_DELAY_MS: u64 = 200;

/// Time without a new chunk after which a configuration is abandoned for another one. Two such
/// periods fit into the 14 s within which a change has to become active.
const STALL_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of sources of one configuration.
const MAX_SOURCES: usize = 8;

/// The state of a chunk that the active configuration does not have.
#[derive(Debug)]
enum ChunkState {
    /// The chunk is requested once the deadline has passed.
    Missing(Deadline),
    /// The chunk was requested from a source, with a timeout.
    Requested(Source, Deadline),
    /// The chunk has arrived.
    Received(ChunkItems),
}

/// A manifest and the chunks that have arrived for it.
#[derive(Debug)]
pub(super) struct Pending {
    manifest: Manifest,
    manifest_hash: ChunkHash,
    sources: Vec<Source>,
    next_source: usize,
    /// The chunks that the active configuration does not have.
    chunk_states: SortedMap<ChunkHash, ChunkState>,
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
            .map(|hash| (*hash, ChunkState::Missing(Deadline::after_ms(now, 0))))
            .collect();
        Self {
            manifest,
            manifest_hash,
            sources: vec![source],
            next_source: 0,
            chunk_states: missing,
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

    /// Takes over the received chunks of a configuration that this one replaces.
    pub(super) fn take_chunks(&mut self, other: Self) {
        for (hash, other_state) in other.chunk_states.into_entries() {
            if let (ChunkState::Received(items), Some(state)) =
                (other_state, self.chunk_states.get_mut(&hash))
            {
                *state = ChunkState::Received(items);
            }
        }
    }

    pub(super) fn has_stalled(&self, now: Instant) -> bool {
        self.stall_deadline.has_passed(now)
    }

    pub(super) fn is_missing(&self, hash: &ChunkHash) -> bool {
        self.chunk_states.get(hash).is_some_and(|state| !matches!(state, ChunkState::Received(_)))
    }

    pub(super) fn is_complete(&self) -> bool {
        self.chunk_states.values().all(|state| matches!(state, ChunkState::Received(_)))
    }

    pub(super) fn accept(&mut self, now: Instant, hash: ChunkHash, items: ChunkItems) {
        if let Some(state) = self.chunk_states.get_mut(&hash) {
            *state = ChunkState::Received(items);
            self.stall_deadline = Deadline::after_ms(now, STALL_TIMEOUT_MS);
        }
    }

    /// Records that a source could not send a chunk or that its bytes do not match the hash.
    pub(super) fn request_failed(&mut self, now: Instant, source: &Source, hash: &ChunkHash) {
        if let Some(state) = self.chunk_states.get_mut(hash)
            && matches!(state, ChunkState::Requested(asked, _) if asked == source)
        {
            *state = ChunkState::Missing(Deadline::after_ms(now, RETRY_DELAY_MS));
        }
    }

    /// Returns the requests to send now, and marks them as sent.
    pub(super) fn due_requests(&mut self, now: Instant) -> Vec<(Source, ChunkHash, Deadline)> {
        let is_outstanding = |state: &&ChunkState| {
            // A request that has timed out no longer counts and is sent again.
            matches!(state, ChunkState::Requested(_, end) if !end.has_passed(now))
        };
        let outstanding = self.chunk_states.values().filter(is_outstanding).count();
        let deadline = Deadline::after_ms(now, CHUNK_TIMEOUT_MS);
        let due = self.chunk_states.entries_mut().filter(|(_, state)| match state {
            ChunkState::Missing(start) => start.has_passed(now),
            ChunkState::Requested(_, end) => end.has_passed(now),
            ChunkState::Received(_) => false,
        });
        let mut requests = Vec::new();
        for (hash, state) in due.take(MAX_OPEN_REQUESTS.saturating_sub(outstanding)) {
            let source = self.sources[self.next_source % self.sources.len()].clone();
            self.next_source = self.next_source.wrapping_add(1);
            *state = ChunkState::Requested(source.clone(), deadline);
            requests.push((source, *hash, deadline));
        }
        requests
    }

    /// Assembles the complete document.
    pub(super) fn assemble(
        self,
        active: Option<&ActiveConfig>,
    ) -> Result<ActiveConfig, InvalidDocument> {
        let mut chunk_states = self.chunk_states;
        ActiveConfig::assemble(self.manifest, |hash| match chunk_states.remove(hash) {
            Some(ChunkState::Received(items)) => Some(items),
            _ => active.and_then(|active| active.chunk_items(hash)),
        })
    }
}
