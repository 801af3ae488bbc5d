//! Client for plain services, the HTTP services that are not model engines.
//!
//! * [`plain_service`]: the trait of a service, with its call and reply types.
//! * [`http_service`]: its implementation, which forwards calls over HTTP/1.1.
//! * [`headers`]: the hop-by-hop headers, which are not forwarded.
//! * [`error`]: what can fail, and what is then known about the run.

mod body;
pub mod error;
pub mod headers;
pub mod http_service;
pub mod plain_service;

pub use error::{ServiceError, ServiceErrorKind};
pub use http_service::HttpService;
pub use plain_service::{PlainService, ServiceCall, ServiceReply};
