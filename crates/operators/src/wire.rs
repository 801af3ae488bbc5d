//! The JSON messages of the HTTP interface.

use http_types::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use yuccapass_types::{CommandId, ResultCode, Revision};

use crate::handler::{Acceptance, CommandOutcome, ConflictDetails, Refusal, Table};

/// The body of `POST /operators/commands`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRequest {
    /// A statement of the command language.
    pub command: SmolStr,
    /// Identifies the command; required for a change, ignored for a query.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub command_id: Option<CommandId>,
    /// The revision that the change was made for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_revision: Option<Revision>,
    /// Whether to check the command without writing anything.
    #[serde(default)]
    pub dry_run: bool,
}

/// The body of the response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum CommandReply {
    /// The answer to a query.
    Answer(Table),
    /// The change was accepted.
    Accepted(Acceptance),
    /// The query or change was refused; it has no effect.
    Refused(Refusal),
    /// Another command changed the same object first.
    Conflict(ConflictDetails),
    /// Whether the command takes effect cannot be known yet.
    Unknown(Refusal),
}

impl From<CommandOutcome> for CommandReply {
    fn from(outcome: CommandOutcome) -> Self {
        match outcome {
            CommandOutcome::Accepted(acceptance) => Self::Accepted(acceptance),
            CommandOutcome::Refused(refusal) => Self::Refused(refusal),
            CommandOutcome::Conflict(conflict) => Self::Conflict(conflict),
            CommandOutcome::Unknown(refusal) => Self::Unknown(refusal),
        }
    }
}

impl CommandReply {
    /// Returns the HTTP status of the reply.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Answer(_) | Self::Accepted(_) => StatusCode::Ok,
            Self::Conflict(_) => StatusCode::Conflict,
            Self::Unknown(_) => StatusCode::ServiceUnavailable,
            Self::Refused(refusal) => status_of(refusal.code),
        }
    }
}

fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::InvalidRequest | ResultCode::InvalidCommand => StatusCode::BadRequest,
        ResultCode::Unauthorised => StatusCode::Unauthorized,
        ResultCode::RequestTimeout => StatusCode::RequestTimeout,
        ResultCode::BodyTooLarge => StatusCode::PayloadTooLarge,
        ResultCode::InvalidConfiguration => StatusCode::UnprocessableEntity,
        ResultCode::NotFound | ResultCode::ModelNotFound => StatusCode::NotFound,
        ResultCode::Internal => StatusCode::InternalServerError,
        _ => StatusCode::ServiceUnavailable,
    }
}
