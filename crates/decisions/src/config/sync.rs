//! Decides which configuration is in force on a node.

use std::sync::Arc;

use snafu::Snafu;
use yuccapass_types::{Deadline, Instant, NodeId, Revision};

use super::active::ActiveConfig;
use super::chunk::{ChunkHash, ChunkItems};
use super::manifest::Manifest;
use super::pending::Pending;
use super::validate::InvalidDocument;

/// Manifests that were refused and are not fetched again.
const MAX_REFUSED: usize = 16;

/// Where a manifest or a chunk comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's key-value service.
    Platform,
    /// Another node.
    Node(NodeId),
}

/// Why a manifest, a chunk or a document is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum RejectReason {
    /// The offered revision is older than the one in force.
    #[snafu(display(
        "revision {offered} is older than revision {active_revision}, which is in force"
    ))]
    OldRevision {
        /// The revision that was offered.
        offered: Revision,
        /// The revision in force.
        active_revision: Revision,
    },
    /// The offered history does not contain the changes that are in force.
    #[snafu(display(
        "revision {offered} does not continue revision {active_revision}, which is in force: another \
         command made that revision there"
    ))]
    DivergedHistory {
        /// The revision that was offered.
        offered: Revision,
        /// The revision in force.
        active_revision: Revision,
    },
    /// The bytes of a chunk do not match its hash.
    #[snafu(display("the chunk {hash} is torn"))]
    ChunkHashMismatch {
        /// The hash that was asked for.
        hash: ChunkHash,
    },
    /// The manifest, a chunk or the whole document is not valid.
    #[snafu(display("revision {revision} is not valid: {error}"))]
    Invalid {
        /// The revision.
        revision: Revision,
        /// The field, its value and the bound.
        error: InvalidDocument,
    },
    /// No source sent a missing chunk for a while.
    #[snafu(display("revision {revision} is given up for now, since its chunks do not arrive"))]
    Stalled {
        /// The revision.
        revision: Revision,
    },
}

/// What the owner of a [`ConfigSync`] has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask a source for a chunk; a failure or the passed deadline is reported back.
    RequestChunk {
        /// Whom to ask.
        source: Source,
        /// The chunk.
        hash: ChunkHash,
        /// When the answer is no longer waited for.
        deadline: Deadline,
    },
    /// Use this configuration for all new work.
    Activate(Arc<ActiveConfig>),
    /// The platform holds an older revision than this node, as after a restore: write the
    /// configuration in force back, if the platform still holds `platform_revision`.
    RestorePlatform {
        /// The revision that the platform holds.
        platform_revision: Revision,
    },
    /// Log and count something that was refused.
    Report {
        /// Where it came from.
        source: Source,
        /// Why it was refused.
        reason: RejectReason,
    },
}

/// Collects manifests and chunks and puts a document in force once it is complete, valid and newer.
///
/// A document in force is never replaced by an older one, whoever offers it.
#[derive(Debug, Default)]
pub struct ConfigSync {
    active: Option<Arc<ActiveConfig>>,
    pending: Option<Pending>,
    /// Hashes of refused manifests, oldest first.
    refused: Vec<ChunkHash>,
}

impl ConfigSync {
    /// Makes a holder with the configuration that is in force at start, if there is one.
    pub fn new(active: Option<ActiveConfig>) -> Self {
        Self { active: active.map(Arc::new), ..Self::default() }
    }

    /// Returns the configuration in force.
    pub fn active(&self) -> Option<&Arc<ActiveConfig>> {
        self.active.as_ref()
    }

    /// Returns the revision in force; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.active.as_ref().map_or_else(Revision::default, |active| active.manifest().revision)
    }

    /// Returns whether the manifest of a revision that a neighbour announces is worth asking for.
    pub fn wants_revision(&self, revision: Revision) -> bool {
        let pending = self.pending.as_ref().map(|pending| pending.manifest().revision);
        revision > self.revision() && pending.is_none_or(|pending| revision > pending)
    }

    /// Takes the bytes of a manifest from a source.
    pub fn offer_manifest(&mut self, now: Instant, source: Source, bytes: &[u8]) -> Vec<Action> {
        match Manifest::decode(bytes) {
            Ok(manifest) => self.offer(now, source, manifest),
            Err(error) => {
                let reason = RejectReason::Invalid { revision: Revision::default(), error };
                vec![Action::Report { source, reason }]
            }
        }
    }

    fn offer(&mut self, now: Instant, source: Source, manifest: Manifest) -> Vec<Action> {
        if let Err(reason) = self.check_follows(&manifest) {
            return Self::refuse(source, reason);
        }
        if self.active.is_some() && manifest.revision == self.revision() {
            return Vec::new();
        }
        let hash = manifest.hash();
        if self.refused.contains(&hash) {
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

    /// Checks that a manifest contains the configuration in force.
    ///
    /// A command is executed and written only on a manifest that passes: on a platform that was
    /// restored from an old copy, it would become part of a history that no node takes.
    ///
    /// # Errors
    ///
    /// Returns why the manifest cannot follow the configuration in force.
    pub fn check_follows(&self, manifest: &Manifest) -> Result<(), RejectReason> {
        let Some(active) = &self.active else { return Ok(()) };
        let active = active.manifest();
        let (offered, active_revision) = (manifest.revision, active.revision);
        if offered < active_revision {
            return Err(RejectReason::OldRevision { offered, active_revision });
        }
        let is_other = offered == active_revision && manifest != active;
        if is_other || !continues(active, manifest) {
            return Err(RejectReason::DivergedHistory { offered, active_revision });
        }
        Ok(())
    }

    fn refuse(source: Source, reason: RejectReason) -> Vec<Action> {
        let restore = match &reason {
            RejectReason::OldRevision { offered, .. } if source == Source::Platform => {
                Some(Action::RestorePlatform { platform_revision: *offered })
            }
            _ => None,
        };
        let mut actions = vec![Action::Report { source, reason }];
        actions.extend(restore);
        actions
    }

    /// Takes the bytes of a chunk that a source sent for `hash`.
    pub fn offer_chunk(
        &mut self,
        now: Instant,
        source: Source,
        hash: ChunkHash,
        bytes: &[u8],
    ) -> Vec<Action> {
        let Some(pending) = &mut self.pending else { return Vec::new() };
        if !pending.wants(&hash) {
            return Vec::new();
        }
        if ChunkHash::of(bytes) != hash {
            pending.fail(now, &source, &hash);
            let mut actions =
                vec![Action::Report { source, reason: RejectReason::ChunkHashMismatch { hash } }];
            actions.extend(self.advance(now));
            return actions;
        }
        match ChunkItems::decode(bytes) {
            Ok(part) => {
                pending.accept(now, hash, part);
                self.advance(now)
            }
            Err(error) => self.refuse_pending(source, error),
        }
    }

    /// Notes that a source has no such chunk or does not answer.
    pub fn chunk_failed(&mut self, now: Instant, source: &Source, hash: &ChunkHash) -> Vec<Action> {
        if let Some(pending) = &mut self.pending {
            pending.fail(now, source, hash);
        }
        self.advance(now)
    }

    /// Asks again for what did not arrive in time; called about every 100 ms while chunks are
    /// missing.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        match self.pending.take_if(|pending| pending.has_stalled(now)) {
            None => self.advance(now),
            Some(stalled) => {
                let reason = RejectReason::Stalled { revision: stalled.manifest().revision };
                vec![Action::Report { source: stalled.first_source(), reason }]
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
            let requests = pending.requests(now).into_iter();
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
            Err(error) => self.refuse_invalid(manifest_hash, revision, source, error),
        }
    }

    fn refuse_pending(&mut self, source: Source, error: InvalidDocument) -> Vec<Action> {
        let Some(pending) = self.pending.take() else { return Vec::new() };
        self.refuse_invalid(pending.manifest_hash(), pending.manifest().revision, source, error)
    }

    fn refuse_invalid(
        &mut self,
        manifest_hash: ChunkHash,
        revision: Revision,
        source: Source,
        error: InvalidDocument,
    ) -> Vec<Action> {
        if self.refused.len() == MAX_REFUSED {
            self.refused.remove(0);
        }
        self.refused.push(manifest_hash);
        vec![Action::Report { source, reason: RejectReason::Invalid { revision, error } }]
    }
}

/// Returns whether a newer manifest's history contains the configuration in force, as far as it
/// reaches back.
///
/// A platform that was restored from a copy and then accepted other commands offers a larger
/// revision without the changes that are in force here.
fn continues(active: &Manifest, newer: &Manifest) -> bool {
    let Some(ours) = active.commands.last() else { return true };
    newer.command_of_revision(ours.revision).is_none_or(|theirs| theirs.id == ours.id)
}
