//! Fetches configurations and selects the active one of a node.

use std::sync::Arc;

use snafu::Snafu;
use yuccapass_types::{Deadline, Instant, NodeId, Revision};

use super::active::ActiveConfig;
use super::chunk::{ChunkHash, ChunkItems};
use super::manifest::Manifest;
use super::pending::Pending;
use super::validate::InvalidDocument;

/// Number of rejected manifests that are remembered and not fetched again.
const MAX_REJECTED: usize = 16;

/// The origin of a manifest or a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's key-value service.
    Platform,
    /// Another node.
    Node(NodeId),
}

/// Why a manifest, a chunk or a document was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum RejectReason {
    /// The offered revision is older than the active one.
    #[snafu(display("revision {offered} is older than the active revision {active_revision}"))]
    OldRevision {
        /// The revision that was offered.
        offered: Revision,
        /// The active revision.
        active_revision: Revision,
    },
    /// The offered history does not contain the active revision.
    #[snafu(display(
        "revision {offered} does not contain the active revision {active_revision}: another \
         command created that revision in its history"
    ))]
    DivergedHistory {
        /// The revision that was offered.
        offered: Revision,
        /// The active revision.
        active_revision: Revision,
    },
    /// The bytes of a chunk do not match its hash.
    #[snafu(display("the bytes of chunk {hash} do not match its hash"))]
    ChunkHashMismatch {
        /// The hash of the requested chunk.
        hash: ChunkHash,
    },
    /// The manifest, a chunk or the whole document is not valid.
    #[snafu(display("revision {revision} is not valid: {error}"))]
    Invalid {
        /// The revision.
        revision: Revision,
        /// The field, its value and the bound that it violates.
        error: InvalidDocument,
    },
    /// No source has sent a missing chunk for too long.
    #[snafu(display(
        "revision {revision} is abandoned for now, since no source sends its missing chunks"
    ))]
    Stalled {
        /// The revision.
        revision: Revision,
    },
}

/// What the caller of [`ConfigSync`] has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Request a chunk from a source. A failure or timeout is reported by
    /// [`ConfigSync::chunk_failed`].
    RequestChunk {
        /// The source to ask.
        source: Source,
        /// The chunk.
        hash: ChunkHash,
        /// The timeout of the request.
        deadline: Deadline,
    },
    /// Use this configuration for all new requests.
    Activate(Arc<ActiveConfig>),
    /// The platform holds an older revision than this node, as after a restore from a backup: write
    /// the active configuration back, if the platform still holds `platform_revision`.
    RestorePlatform {
        /// The revision that the platform holds.
        platform_revision: Revision,
    },
    /// Log and count a rejected manifest, chunk or document.
    ReportRejection {
        /// The source of the manifest or chunk.
        source: Source,
        /// Why it was rejected.
        reason: RejectReason,
    },
}

/// Collects manifests and chunks and activates a document once it is complete, valid and newer.
///
/// The active document is never replaced by an older one, whatever source offers it.
#[derive(Debug, Default)]
pub struct ConfigSync {
    active: Option<Arc<ActiveConfig>>,
    pending: Option<Pending>,
    /// Hashes of rejected manifests, oldest first.
    rejected: Vec<ChunkHash>,
}

impl ConfigSync {
    /// Creates the state with the configuration that is active at start, if there is one.
    pub fn new(active: Option<ActiveConfig>) -> Self {
        Self { active: active.map(Arc::new), ..Self::default() }
    }

    /// Returns the active configuration.
    pub fn active(&self) -> Option<&Arc<ActiveConfig>> {
        self.active.as_ref()
    }

    /// Returns the active revision, or zero if there is none.
    pub fn revision(&self) -> Revision {
        self.active.as_ref().map_or_else(Revision::default, |active| active.manifest().revision)
    }

    /// Returns whether to request the manifest of a revision that another node announces.
    pub fn wants_revision(&self, revision: Revision) -> bool {
        let pending = self.pending.as_ref().map(|pending| pending.manifest().revision);
        revision > self.revision() && pending.is_none_or(|pending| revision > pending)
    }

    /// Handles the bytes of a manifest from a source.
    pub fn offer_manifest(&mut self, now: Instant, source: Source, bytes: &[u8]) -> Vec<Action> {
        match Manifest::decode(bytes) {
            Ok(manifest) => self.offer(now, source, manifest),
            Err(error) => {
                let reason = RejectReason::Invalid { revision: Revision::default(), error };
                vec![Action::ReportRejection { source, reason }]
            }
        }
    }

    fn offer(&mut self, now: Instant, source: Source, manifest: Manifest) -> Vec<Action> {
        if let Err(reason) = self.check_follows(&manifest) {
            return Self::reject(source, reason);
        }
        if self.active.is_some() && manifest.revision == self.revision() {
            return Vec::new();
        }
        let hash = manifest.hash();
        if self.rejected.contains(&hash) {
            return Vec::new();
        }
        match &mut self.pending {
            Some(pending) if pending.manifest_hash() == hash => {
                pending.add_source(source);
                return self.advance(now);
            }
            Some(pending)
                if !pending.has_stalled(now)
                    && pending.manifest().revision >= manifest.revision =>
            {
                return self.advance(now);
            }
            _ => {}
        }
        let mut next = Pending::new(now, manifest, hash, source, self.active.as_deref());
        if let Some(replaced) = self.pending.take() {
            next.take_chunks(replaced);
        }
        self.pending = Some(next);
        self.advance(now)
    }

    /// Checks that the history of a manifest contains the active configuration.
    ///
    /// Commands are executed and written only on a manifest that passes. On a platform that was
    /// restored from an old backup, they would otherwise become part of a history that every node
    /// rejects.
    ///
    /// # Errors
    ///
    /// Returns why the manifest cannot follow the active configuration.
    pub fn check_follows(&self, manifest: &Manifest) -> Result<(), RejectReason> {
        let Some(active) = &self.active else { return Ok(()) };
        let active = active.manifest();
        let (offered, active_revision) = (manifest.revision, active.revision);
        if offered < active_revision {
            return Err(RejectReason::OldRevision { offered, active_revision });
        }
        let is_different = offered == active_revision && manifest != active;
        if is_different || !continues(active, manifest) {
            return Err(RejectReason::DivergedHistory { offered, active_revision });
        }
        Ok(())
    }

    fn reject(source: Source, reason: RejectReason) -> Vec<Action> {
        let restore = match &reason {
            RejectReason::OldRevision { offered, .. } if source == Source::Platform => {
                Some(Action::RestorePlatform { platform_revision: *offered })
            }
            _ => None,
        };
        let mut actions = vec![Action::ReportRejection { source, reason }];
        actions.extend(restore);
        actions
    }

    /// Handles the bytes that a source sent for the chunk `hash`.
    pub fn offer_chunk(
        &mut self,
        now: Instant,
        source: Source,
        hash: ChunkHash,
        bytes: &[u8],
    ) -> Vec<Action> {
        let Some(pending) = &mut self.pending else { return Vec::new() };
        if !pending.is_missing(&hash) {
            return Vec::new();
        }
        if ChunkHash::of(bytes) != hash {
            pending.request_failed(now, &source, &hash);
            let mut actions = vec![Action::ReportRejection {
                source,
                reason: RejectReason::ChunkHashMismatch { hash },
            }];
            actions.extend(self.advance(now));
            return actions;
        }
        match ChunkItems::decode(bytes) {
            Ok(part) => {
                pending.accept(now, hash, part);
                self.advance(now)
            }
            Err(error) => self.reject_pending(source, error),
        }
    }

    /// Records that a source does not have a chunk or did not answer in time.
    pub fn chunk_failed(&mut self, now: Instant, source: &Source, hash: &ChunkHash) -> Vec<Action> {
        if let Some(pending) = &mut self.pending {
            pending.request_failed(now, source, hash);
        }
        self.advance(now)
    }

    /// Repeats requests that timed out and abandons a configuration whose chunks do not arrive.
    ///
    /// Called about every 100 ms while chunks are missing.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        match self.pending.take_if(|pending| pending.has_stalled(now)) {
            None => self.advance(now),
            Some(stalled) => {
                let reason = RejectReason::Stalled { revision: stalled.manifest().revision };
                vec![Action::ReportRejection { source: stalled.first_source(), reason }]
            }
        }
    }

    /// Returns whether chunks are missing, so that [`ConfigSync::poll`] has to be called.
    pub fn is_collecting(&self) -> bool {
        self.pending.is_some()
    }

    fn advance(&mut self, now: Instant) -> Vec<Action> {
        let Some(pending) = &mut self.pending else { return Vec::new() };
        if !pending.is_complete() {
            let requests = pending.due_requests(now).into_iter();
            return requests
                .map(|(source, hash, deadline)| Action::RequestChunk { source, hash, deadline })
                .collect();
        }
        let Some(complete) = self.pending.take() else { return Vec::new() };
        let manifest_hash = complete.manifest_hash();
        let revision = complete.manifest().revision;
        let source = complete.first_source();
        match complete.assemble(self.active.as_deref()) {
            Ok(active) => {
                let active = Arc::new(active);
                self.active = Some(Arc::clone(&active));
                vec![Action::Activate(active)]
            }
            Err(error) => self.reject_invalid(manifest_hash, revision, source, error),
        }
    }

    fn reject_pending(&mut self, source: Source, error: InvalidDocument) -> Vec<Action> {
        let Some(pending) = self.pending.take() else { return Vec::new() };
        self.reject_invalid(pending.manifest_hash(), pending.manifest().revision, source, error)
    }

    fn reject_invalid(
        &mut self,
        manifest_hash: ChunkHash,
        revision: Revision,
        source: Source,
        error: InvalidDocument,
    ) -> Vec<Action> {
        if self.rejected.len() == MAX_REJECTED {
            self.rejected.remove(0);
        }
        self.rejected.push(manifest_hash);
        vec![Action::ReportRejection { source, reason: RejectReason::Invalid { revision, error } }]
    }
}

/// Returns whether the history of a newer manifest contains the active configuration, or does not
/// reach back to it.
///
/// A platform that was restored from a backup and has accepted other commands since offers a larger
/// revision without the changes that are active here.
fn continues(active: &Manifest, newer: &Manifest) -> bool {
    let Some(ours) = active.commands.last() else { return true };
    newer.command_of_revision(ours.revision).is_none_or(|theirs| theirs.id == ours.id)
}
