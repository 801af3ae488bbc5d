//! The interface that callers use: an OpenAI-compatible HTTP API, and plain services under a prefix.
//!
//! * [`handler`]: the trait object that the daemon implements, and its messages.
//! * [`failure`]: what a caller is told when a request does not succeed.
//! * [`app`]: the tide application.
//!
//! The other modules parse requests ([`request`]) and encode answers (`answer_body`).

mod answer_body;
pub mod app;
pub mod failure;
pub mod handler;
pub mod request;

pub use app::{CallerLimits, build_app, rejection_body};
pub use failure::Failure;
pub use handler::{
    AnswerStream, GenerationRequest, RequestHandler, ServiceRequest, ServiceResponse,
};
