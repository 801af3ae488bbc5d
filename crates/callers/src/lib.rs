//! The HTTP interface for callers: an OpenAI-compatible API, and plain services under a path
//! prefix.
//!
//! * [`handler`]: the trait that the daemon implements, with its request and response types.
//! * [`failure`]: the errors that callers receive.
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
