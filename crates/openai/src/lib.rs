//! The parts of the OpenAI HTTP API that callers, nodes and engines share.
//!
//! * [`api`]: the supported APIs and their paths.
//! * [`prompt`]: the prompt bytes that a node and an engine both hash.

pub mod api;
pub mod prompt;

pub use api::Api;
pub use prompt::prompt_bytes;
