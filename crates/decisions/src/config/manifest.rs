//! The manifest that lists the chunks of a document.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use yuccapass_types::{CommandId, Revision};

use super::chunk::ChunkHash;
use super::validate::InvalidDocument;
use crate::change::ObjectRef;

/// Maximum size of a manifest in bytes: the largest value that the platform's key-value service
/// accepts.
pub const MAX_MANIFEST_BYTES: usize = 1_000_000;

/// Number of applied commands that a manifest keeps: at 730 changes a day about four hours.
pub const MAX_COMMANDS: usize = 128;

/// Maximum number of chunks of a document; bounds how many a node requests.
const MAX_CHUNKS: usize = 8_192;

/// A command that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedCommand {
    /// The id that the operator's tool gave it.
    pub id: CommandId,
    /// The revision that it created.
    pub revision: Revision,
    /// What it changed.
    pub object: ObjectRef,
    /// The change, as a sentence of the operators' command language.
    pub description: SmolStr,
}

/// Lists the chunks of a document and the commands that led to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The revision of the document.
    pub revision: Revision,
    /// The last revision that changed the voters of a zone.
    pub voters_revision: Revision,
    /// The chunks in the order of the document.
    pub chunks: Vec<ChunkHash>,
    /// The last applied commands, oldest first.
    pub commands: Vec<AppliedCommand>,
}

impl Manifest {
    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not encode a manifest or the manifest violates a bound.
    pub fn decode(bytes: &[u8]) -> Result<Self, InvalidDocument> {
        check_max("manifest.bytes", bytes.len(), MAX_MANIFEST_BYTES)?;
        let manifest: Self = serde_json::from_slice(bytes).map_err(|error| {
            let bound = "it must be a manifest in JSON";
            InvalidDocument::new("manifest".into(), error, bound)
        })?;
        manifest.check()?;
        Ok(manifest)
    }

    /// Returns the canonical encoding: the same bytes for equal manifests.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest can be written as JSON")
    }

    /// Returns the hash of the canonical encoding.
    pub fn hash(&self) -> ChunkHash {
        ChunkHash::of(&self.encode())
    }

    /// Returns the applied command with an id, if the manifest still has it.
    pub fn command(&self, id: &CommandId) -> Option<&AppliedCommand> {
        self.commands.iter().find(|command| command.id == *id)
    }

    /// Returns the command that created a revision, if the manifest still has it.
    pub fn command_of_revision(&self, revision: Revision) -> Option<&AppliedCommand> {
        self.commands.iter().find(|command| command.revision == revision)
    }

    /// Checks the bounds of the fields and the order of the revisions.
    ///
    /// # Errors
    ///
    /// Returns the first field that violates a bound.
    pub fn check(&self) -> Result<(), InvalidDocument> {
        check_max("manifest.chunks.length", self.chunks.len(), MAX_CHUNKS)?;
        check_max("manifest.commands.length", self.commands.len(), MAX_COMMANDS)?;
        if self.voters_revision > self.revision {
            let bound = format_smolstr!("the manifest's revision is {}", self.revision);
            let field = "manifest.voters_revision".into();
            return Err(InvalidDocument::new(field, self.voters_revision, bound));
        }
        let mut revisions = self.commands.iter().map(|command| command.revision);
        let is_sorted = revisions.clone().is_sorted_by(|a, b| a < b);
        if !is_sorted || revisions.any(|revision| revision > self.revision) {
            let bound = "each must be larger than the one before and at most the manifest's";
            let field = "manifest.commands.revision".into();
            return Err(InvalidDocument::new(field, self.revision, bound));
        }
        Ok(())
    }
}

fn check_max(field: &str, value: usize, max: usize) -> Result<(), InvalidDocument> {
    if value <= max {
        return Ok(());
    }
    Err(InvalidDocument::new(field.into(), value, format_smolstr!("there may be at most {max}")))
}
