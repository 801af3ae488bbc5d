//! The interface to plain services beside the model endpoints.
//!
//! * [`plain_service`]: the trait object at the border and its messages.
//! * [`http_service`]: the client that forwards calls over HTTP/1.1.
//! * [`headers`]: the headers that concern one connection only and are not forwarded.
//! * [`error`]: what can go wrong, and what is then known about the run.

mod body;
pub mod error;
pub mod headers;
pub mod http_service;
pub mod plain_service;

pub use error::{ServiceError, ServiceErrorKind};
pub use http_service::HttpService;
pub use plain_service::{PlainService, ServiceCall, ServiceReply};
