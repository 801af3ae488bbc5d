//! Executing commands with ids against the configuration that the platform holds.

use smol_str::{SmolStr, ToSmolStr};
use snafu::Snafu;
use yuccapass_types::{CommandId, Revision};

use super::apply::apply_unchecked;
use super::object::ObjectRef;
use super::sentence::Change;
use crate::config::{
    ActiveConfig, AppliedCommand, ChunkHash, InvalidDocument, MAX_COMMANDS, Manifest,
};

/// A change that an operator orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Identifies the command, so that it takes effect once however often it is sent.
    pub id: CommandId,
    /// The change.
    pub change: Change,
    /// The revision that the operator saw; without it a command does not conflict.
    pub expected_revision: Option<Revision>,
}

/// What an accepted command means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecuteOutcome {
    /// Write the new chunks and then replace the manifest by compare-and-swap.
    Write(Box<NextConfig>),
    /// The command took effect before, at this revision.
    Repeated(Revision),
    /// The configuration is already as the command asks; nothing is written.
    Unchanged(Revision),
}

/// The configuration that follows another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NextConfig {
    /// The new configuration.
    pub config: ActiveConfig,
    /// The chunks that the earlier configuration does not have.
    pub new_chunks: Vec<(ChunkHash, Vec<u8>)>,
}

/// Tells the loser of two commands about the other one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// What both commands change.
    pub object: ObjectRef,
    /// The other command; none if it is too long ago to be remembered.
    pub other: Option<AppliedCommand>,
    /// The newest revision.
    pub revision: Revision,
}

/// Why a command does not take effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ExecuteError {
    /// The command or the configuration that it would make is not valid.
    #[snafu(display("{error}"))]
    Refused {
        /// The field, its value and the bound.
        error: InvalidDocument,
    },
    /// Another command changed the same object since the expected revision.
    #[snafu(display("another command changed {} first", conflict.object))]
    Conflict {
        /// The other command.
        conflict: Box<Conflict>,
    },
}

impl From<InvalidDocument> for ExecuteError {
    fn from(error: InvalidDocument) -> Self {
        Self::Refused { error }
    }
}

/// Works out what a command makes of a configuration.
///
/// The caller writes the result with compare-and-swap; if another node was faster, it reads the new
/// configuration and executes the command again, which then finds the conflict if there is one.
///
/// # Errors
///
/// Fails if the command is not valid or conflicts with another one.
pub fn execute(current: &ActiveConfig, command: &Command) -> Result<ExecuteOutcome, ExecuteError> {
    let manifest = current.manifest();
    let description = command.change.to_smolstr();
    if let Some(applied) = manifest.command(&command.id) {
        return repeated(applied, &description);
    }
    check_conflict(manifest, command)?;
    // The new configuration is checked as a whole below.
    let mut document = apply_unchecked(current.document(), &command.change)?;
    if document == *current.document() {
        return Ok(ExecuteOutcome::Unchanged(manifest.revision));
    }
    let next_manifest = next_manifest(manifest, command, description);
    document.revision = next_manifest.revision;
    let mut new_chunks = Vec::new();
    let config =
        ActiveConfig::after(Some(current), document, next_manifest, &mut |hash, bytes| {
            if !current.has_chunk(&hash) {
                new_chunks.push((hash, bytes.to_vec()));
            }
        })?;
    Ok(ExecuteOutcome::Write(Box::new(NextConfig { config, new_chunks })))
}

fn repeated(
    applied: &AppliedCommand,
    description: &SmolStr,
) -> Result<ExecuteOutcome, ExecuteError> {
    if applied.description == *description {
        return Ok(ExecuteOutcome::Repeated(applied.revision));
    }
    let bound = "this id was used for another command";
    Err(InvalidDocument::new("command_id".into(), &applied.id, bound).into())
}

fn check_conflict(manifest: &Manifest, command: &Command) -> Result<(), ExecuteError> {
    let Some(expected) = command.expected_revision else { return Ok(()) };
    if expected > manifest.revision {
        let bound = smol_str::format_smolstr!("the newest revision is {}", manifest.revision);
        return Err(InvalidDocument::new("expected_revision".into(), expected, bound).into());
    }
    let object = command.change.object();
    let later = |other: &&AppliedCommand| other.revision > expected && other.object == object;
    let other = manifest.commands.iter().rev().find(later);
    if other.is_none() && remembers_since(manifest, expected) {
        return Ok(());
    }
    let conflict = Conflict { object, other: other.cloned(), revision: manifest.revision };
    Err(ExecuteError::Conflict { conflict: Box::new(conflict) })
}

/// Returns whether no command after a revision has been forgotten.
fn remembers_since(manifest: &Manifest, revision: Revision) -> bool {
    match manifest.commands.first() {
        Some(oldest) => oldest.revision <= revision.next(),
        None => revision >= manifest.revision,
    }
}

fn next_manifest(manifest: &Manifest, command: &Command, description: SmolStr) -> Manifest {
    let revision = manifest.revision.next();
    let applied = AppliedCommand {
        id: command.id.clone(),
        revision,
        object: command.change.object(),
        description,
    };
    let forgotten = (manifest.commands.len() + 1).saturating_sub(MAX_COMMANDS);
    let mut commands = manifest.commands[forgotten..].to_vec();
    commands.push(applied);
    let voters_revision = match command.change.changes_voters() {
        true => revision,
        false => manifest.voters_revision,
    };
    Manifest { revision, voters_revision, chunks: Vec::new(), commands }
}
