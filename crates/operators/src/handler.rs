//! The [`CommandHandler`] trait, which the daemon implements, and the types of its answers.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};
use yuccapass_decisions::change::{Command, Conflict};
use yuccapass_decisions::config::InvalidDocument;
use yuccapass_types::{CommandId, ResultCode, Revision};

use crate::statement::{Filter, Query};

/// A handler of operators' queries and commands.
#[async_trait]
pub trait CommandHandler: Send + Sync {
    /// Answers a query.
    ///
    /// # Errors
    ///
    /// Fails if the answer is not available.
    async fn query(&self, query: &Query) -> Result<Table, Refusal>;

    /// Executes a command; a dry run does everything except writing.
    async fn command(&self, command: Command, dry_run: bool) -> CommandOutcome;
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The platform has confirmed the change.
    Accepted(Acceptance),
    /// The command certainly has no effect.
    Refused(Refusal),
    /// Another command changed the same object first; this one has no effect.
    Conflict(ConflictDetails),
    /// Whether the command takes effect cannot be known yet.
    Unknown(Refusal),
}

/// The result of an accepted command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// The revision that the command created, or the current one if nothing had to change.
    pub revision: Revision,
    /// The change as a statement of the command language.
    pub description: SmolStr,
    /// Number of nodes on which that revision or a newer one is active, as far as this node knows.
    pub in_force_nodes: u32,
    /// Number of nodes that this node knows to be alive.
    pub known_nodes: u32,
    /// Whether the command had taken effect before this request.
    pub repeated: bool,
    /// Whether this was a dry run, which writes nothing.
    pub dry_run: bool,
}

/// Why a query or command is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The numbered code.
    pub code: ResultCode,
    /// The invalid field or part; empty if the code says enough.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub field: SmolStr,
    /// The value of the field.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub value: SmolStr,
    /// The limit that the value exceeds, or other details.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub bound: SmolStr,
}

impl Refusal {
    /// Creates a refusal with a code and no details.
    pub fn new(code: ResultCode) -> Self {
        let empty = SmolStr::default();
        Self { code, field: empty.clone(), value: empty.clone(), bound: empty }
    }

    /// Adds details.
    pub fn detail(mut self, detail: impl std::fmt::Display) -> Self {
        self.bound = detail.to_smolstr();
        self
    }
}

impl From<&InvalidDocument> for Refusal {
    fn from(error: &InvalidDocument) -> Self {
        Self {
            code: ResultCode::InvalidConfiguration,
            field: error.field().into(),
            value: error.value().into(),
            bound: error.bound().into(),
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.code, self.code.text())?;
        match (self.field.is_empty(), self.bound.is_empty()) {
            (false, _) => write!(f, " {} is {}, but {}.", self.field, self.value, self.bound),
            (true, false) => write!(f, " {}", self.bound),
            (true, true) => Ok(()),
        }
    }
}

/// Describes the command that was accepted before a conflicting one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictDetails {
    /// The object that both commands change.
    pub object: SmolStr,
    /// The newest revision.
    pub revision: Revision,
    /// The id of the other command; none if it is too old to be in the record of commands.
    pub other_command: Option<CommandId>,
    /// The revision that the other command created.
    pub other_revision: Option<Revision>,
    /// The other command as a statement of the command language.
    pub other_description: Option<SmolStr>,
}

impl From<&Conflict> for ConflictDetails {
    fn from(conflict: &Conflict) -> Self {
        let other = conflict.other.as_ref();
        Self {
            object: conflict.object.to_smolstr(),
            revision: conflict.revision,
            other_command: other.map(|other| other.id.clone()),
            other_revision: other.map(|other| other.revision),
            other_description: other.map(|other| other.description.clone()),
        }
    }
}

/// The answer to a query.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The revision of the configuration that the answer describes.
    pub revision: Revision,
    /// Names of the columns.
    pub columns: Vec<SmolStr>,
    /// The cells of each row; several values in a cell are separated by `, `.
    pub rows: Vec<Vec<SmolStr>>,
    /// Whether the answer is final; false while a rollout is running.
    pub finished: bool,
}

impl Table {
    /// Creates an empty table.
    pub fn new(revision: Revision, columns: &[&str]) -> Self {
        let columns = columns.iter().map(SmolStr::new).collect();
        Self { revision, columns, rows: Vec::new(), finished: true }
    }

    /// Keeps the rows that meet all conditions.
    pub fn apply_filters(&mut self, filters: &[Filter]) {
        for filter in filters {
            let column = self.columns.iter().position(|name| name == filter.field.word());
            self.rows.retain(|row| {
                let cell = column.and_then(|column| row.get(column));
                cell.is_some_and(|cell| cell.split(", ").any(|value| value == filter.value))
            });
        }
    }
}
