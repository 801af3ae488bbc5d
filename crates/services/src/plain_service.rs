//! The [`PlainService`] trait, through which services are called, and the types of its calls and
//! replies.

use async_trait::async_trait;
use http_types::{Body, Headers, Method};
use yuccapass_types::{Deadline, EndpointId};

use crate::error::ServiceError;

/// A call that is forwarded to a service.
#[derive(Debug)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// Path and query, with a leading slash.
    pub path_and_query: String,
    /// The caller's headers; hop-by-hop headers are not forwarded.
    pub headers: Headers,
    /// The body, which is streamed.
    pub body: Body,
    /// When the response is no longer wanted; reading the response's body fails from then on, too.
    pub deadline: Deadline,
    /// Whether the call may be run more than once. If not, a new connection is opened, because the
    /// service may be closing a reused one just when the call is sent.
    pub is_repeatable: bool,
}

/// The response of a service.
#[derive(Debug)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Headers,
    /// The body, which is streamed. Reading it fails if the connection breaks, the body is
    /// truncated or the deadline of the call passes; dropping it before its end closes the
    /// connection.
    pub body: Body,
}

/// One replica of a plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Returns the endpoint's id.
    fn id(&self) -> &EndpointId;

    /// Forwards a call and waits for the head of the response. Any status is a success.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached, the connection breaks, the deadline passes or the
    /// response is not valid. The error says whether any byte of the call was sent.
    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError>;
}
