//! Entries of the engine's journal.

use serde::{Deserialize, Serialize};
use yuccapass_types::Incarnation;

/// A run that the engine started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRun {
    /// The request's id.
    pub request_id: String,
    /// The number of the attempt.
    pub attempt: String,
    /// The last text between `[[` and `]]` in the prompt, or empty.
    pub marker: String,
    /// Tokens that earlier attempts had delivered, which this one skipped.
    pub resume_offset_tokens: u64,
    /// The incarnation of the engine that started the run.
    pub incarnation: Incarnation,
}
