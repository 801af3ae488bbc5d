//! The supported APIs and their paths.

/// The API that a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completions,
}

impl Api {
    /// Returns the path of the API.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }

    /// Returns the name of the body's field with the prompt.
    pub const fn prompt_field(self) -> &'static str {
        match self {
            Self::Chat => "messages",
            Self::Completions => "prompt",
        }
    }
}
