//! What the engine's journal records.

use serde::{Deserialize, Serialize};
use yuccapass_types::Incarnation;

/// A run that the engine began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunRun {
    /// The request.
    pub request_id: String,
    /// Which attempt of the request.
    pub attempt: String,
    /// The last text between `[[` and `]]` in the prompt, or nothing.
    pub marker: String,
    /// Tokens that the attempt skipped.
    pub resume_offset_tokens: u64,
    /// The engine process.
    pub incarnation: Incarnation,
}
