//! The manifest that names the chunks of a document.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use yuccapass_types::{CommandId, Revision};

use super::chunk::ChunkHash;
use super::validate::InvalidDocument;
use crate::change::ObjectRef;

/// Most bytes of a manifest: the largest value that the platform's key-value service takes.
pub const MAX_MANIFEST_BYTES: usize = 1_000_000;

/// Applied commands that a manifest remembers: at 730 changes a day about four hours.
pub const MAX_COMMANDS: usize = 128;

/// Most chunks of a document, which bounds what a node asks for.
const MAX_CHUNKS: usize = 8_192;

/// A command that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedCommand {
    /// The id that the operator's tool gave it.
    pub id: CommandId,
    /// The revision that it made.
    pub revision: Revision,
    /// What it changed.
    pub object: ObjectRef,
    /// The change as a sentence of the command language.
    pub description: SmolStr,
}

/// Names the chunks of a document and the commands that led to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The revision of the document.
    pub revision: Revision,
    /// The revision that last changed a zone's voters.
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
    /// Fails if the bytes hold no manifest or one that breaks a bound.
    pub fn decode(bytes: &[u8]) -> Result<Self, InvalidDocument> {
        check_max("manifest.bytes", bytes.len(), MAX_MANIFEST_BYTES)?;
        let manifest: Self = serde_json::from_slice(bytes).map_err(|error| {
            let bound = "it must be a manifest in JSON";
            InvalidDocument::new("manifest".into(), error, bound)
        })?;
        manifest.check()?;
        Ok(manifest)
    }

    /// Returns the canonical bytes: the same for equal manifests.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest holds only texts, numbers and lists")
    }

    /// Returns the hash of the canonical bytes.
    pub fn hash(&self) -> ChunkHash {
        ChunkHash::of(&self.encode())
    }

    /// Returns the applied command of an id.
    pub fn command(&self, id: &CommandId) -> Option<&AppliedCommand> {
        self.commands.iter().find(|command| command.id == *id)
    }

    /// Returns the command that made a revision, if the manifest still remembers it.
    pub fn command_of_revision(&self, revision: Revision) -> Option<&AppliedCommand> {
        self.commands.iter().find(|command| command.revision == revision)
    }

    /// Checks the bounds and the order of the revisions.
    ///
    /// # Errors
    ///
    /// Returns the first field that breaks a bound.
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
