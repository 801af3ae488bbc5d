//! The [`RequestHandler`] trait, which the daemon implements, and the types of its requests and
//! responses.

use std::sync::Arc;

use async_trait::async_trait;
use http_types::{Body, Headers, Method};
use yuccapass_openai::Api;
use yuccapass_types::{
    ClassId, Deadline, IdempotencyKey, KeyHash, ModelId, OrganisationId, RequestId, ServiceId,
};

use crate::failure::Failure;

/// A request to generate an answer.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Identifies the request in logs and errors.
    pub request_id: RequestId,
    /// The organisation that sent it.
    pub organisation: OrganisationId,
    /// The API that it uses.
    pub api: Api,
    /// The model.
    pub model: ModelId,
    /// The bytes that prefix caches are keyed by.
    pub prompt: Arc<[u8]>,
    /// The JSON body, changed so that it asks for a stream.
    pub body: Arc<[u8]>,
    /// Maximum number of tokens that the caller wants.
    pub max_tokens: Option<u32>,
    /// When the answer is no longer wanted.
    pub deadline: Deadline,
    /// The request class.
    pub class: Option<ClassId>,
    /// The caller's idempotency key, by which a repeated request is recognised.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the request may be run more than once.
    pub is_repeatable: bool,
}

/// A call of a plain service.
#[derive(Debug)]
pub struct ServiceRequest {
    /// Identifies the request in logs and errors.
    pub request_id: RequestId,
    /// The organisation that sent it.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The method.
    pub method: Method,
    /// Path and query without the service's prefix, with a leading slash.
    pub path_and_query: String,
    /// End-to-end headers.
    pub headers: Headers,
    /// The body, which is streamed.
    pub body: Body,
    /// When the response is no longer wanted.
    pub deadline: Deadline,
    /// The caller's idempotency key, by which a repeated request is recognised.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the call may be run more than once.
    pub is_repeatable: bool,
}

/// The response of a plain service.
#[derive(Debug)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Headers,
    /// The body, which is streamed.
    pub body: Body,
}

/// The tokens of an answer, as the JSON texts of OpenAI stream chunks.
#[async_trait]
pub trait AnswerStream: Send {
    /// Waits for the next token; returns `None` at the end of a complete answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer cannot be completed; nothing follows a failure.
    async fn next(&mut self) -> Result<Option<Vec<u8>>, Failure>;
}

/// Serves the requests of callers.
#[async_trait]
pub trait RequestHandler: Send + Sync {
    /// Returns the organisation of a bearer key.
    fn authenticate(&self, key: KeyHash) -> Option<OrganisationId>;

    /// Returns the models that an organisation may use.
    fn models(&self, organisation: &OrganisationId) -> Vec<ModelId>;

    /// Counts a request that failed before its answer began.
    fn record_failure(&self, failure: &Failure);

    /// Runs a request and waits for its first token.
    ///
    /// # Errors
    ///
    /// Fails if the request is not admitted or no attempt delivers a token.
    async fn generate(&self, request: GenerationRequest) -> Result<Box<dyn AnswerStream>, Failure>;

    /// Calls a plain service and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the call is not admitted or no attempt gets a response.
    async fn call_service(&self, request: ServiceRequest) -> Result<ServiceResponse, Failure>;
}
