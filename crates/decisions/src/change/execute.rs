//! Executes commands against the configuration that the platform holds.

use smol_str::{SmolStr, ToSmolStr};
use snafu::Snafu;
use yuccapass_types::{CommandId, Revision};

use super::apply::apply_unchecked;
use super::object::ObjectRef;
use super::sentence::Change;
use crate::config::{
    ActiveConfig, AppliedCommand, ChunkHash, InvalidDocument, MAX_COMMANDS, Manifest,
};

/// An operator's request for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Identifies the command, so that it takes effect only once if it is sent repeatedly.
    pub id: CommandId,
    /// The change.
    pub change: Change,
    /// The revision that the operator saw; without it, conflicts are not checked.
    pub expected_revision: Option<Revision>,
}

/// The result of a command that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecuteOutcome {
    /// Write the new chunks and then replace the manifest by compare-and-swap.
    Write(Box<NextConfig>),
    /// The command already took effect, at this revision.
    Repeated(Revision),
    /// The configuration already matches the command; nothing is written.
    Unchanged(Revision),
}

/// The configuration that results from a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NextConfig {
    /// The new configuration.
    pub config: ActiveConfig,
    /// The chunks that the previous configuration does not have.
    pub new_chunks: Vec<(ChunkHash, Vec<u8>)>,
}

/// A conflict with an earlier command, for the operator whose command is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The object that both commands change.
    pub object: ObjectRef,
    /// The other command, or `None` if the manifest no longer lists it.
    pub other: Option<AppliedCommand>,
    /// The newest revision.
    pub revision: Revision,
}

/// Why a command did not take effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ExecuteError {
    /// The command or the resulting configuration is not valid.
    #[snafu(display("{error}"))]
    Refused {
        /// The field, its value and the bound that it violates.
        error: InvalidDocument,
    },
    /// Another command changed the same object since the expected revision.
    #[snafu(display("another command changed {} first", conflict.object))]
    Conflict {
        /// The object, the other command and the newest revision.
        conflict: Box<Conflict>,
    },
}

impl From<InvalidDocument> for ExecuteError {
    fn from(error: InvalidDocument) -> Self {
        Self::Refused { error }
    }
}

/// Executes a command against a configuration and returns the resulting one.
///
/// The caller writes the result with compare-and-swap. If another node was faster, it reads the new
/// configuration and executes the command again, which then reports the conflict if there is one.
///
/// # Errors
///
/// Fails if the command is not valid or conflicts with another one.
pub fn execute(current: &ActiveConfig, command: &Command) -> Result<ExecuteOutcome, ExecuteError> {
    let manifest = current.manifest();
    let description = command.change.to_smolstr();
    if let Some(applied) = manifest.command(&command.id) {
        return check_repeated(applied, &description);
    }
    check_conflict(manifest, command)?;
    // `ActiveConfig::build` validates the whole document.
    let mut document = apply_unchecked(current.document(), &command.change)?;
    if document == *current.document() {
        return Ok(ExecuteOutcome::Unchanged(manifest.revision));
    }
    let next_manifest = next_manifest(manifest, command, description);
    document.revision = next_manifest.revision;
    let mut new_chunks = Vec::new();
    let config =
        ActiveConfig::build(Some(current), document, next_manifest, &mut |hash, bytes| {
            if !current.has_chunk(&hash) {
                new_chunks.push((hash, bytes.to_vec()));
            }
        })?;
    Ok(ExecuteOutcome::Write(Box::new(NextConfig { config, new_chunks })))
}

fn check_repeated(
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
    if other.is_none() && lists_all_commands_since(manifest, expected) {
        return Ok(());
    }
    let conflict = Conflict { object, other: other.cloned(), revision: manifest.revision };
    Err(ExecuteError::Conflict { conflict: Box::new(conflict) })
}

/// Returns whether the manifest still lists all commands after a revision.
fn lists_all_commands_since(manifest: &Manifest, revision: Revision) -> bool {
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
    let dropped = (manifest.commands.len() + 1).saturating_sub(MAX_COMMANDS);
    let mut commands = manifest.commands[dropped..].to_vec();
    commands.push(applied);
    let voters_revision = match command.change.changes_voters() {
        true => revision,
        false => manifest.voters_revision,
    };
    Manifest { revision, voters_revision, chunks: Vec::new(), commands }
}
