//! Sends one request over the callers' interface and reads its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use http_types::{Method, Request, Response};
use serde_json::Value;
use yuccapass_endpoints::{SseEvent, SseReader};
use yuccapass_http::{ClientConfig, ConnectionChoice, Exchange, HttpClient, with_deadline};
use yuccapass_types::{ClassId, Clock, Deadline};

use super::record::Outcome;

/// How long after its deadline a request is given up, so that a node has time to report that the
/// deadline has passed.
const DEADLINE_GRACE_MS: u64 = 5_000;

/// Largest error body that is read.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// A request as a caller sends it.
#[derive(Debug, Clone)]
pub struct Call {
    /// The JSON body.
    pub body: Value,
    /// The bearer key.
    pub key: String,
    /// The request class.
    pub class: ClassId,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Time until the deadline.
    pub deadline_ms: u64,
    /// Index of the node that is tried first.
    pub first_node: usize,
}

/// What the caller received. Times are from the start of the run.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Addresses of the nodes that were tried.
    pub nodes: Vec<String>,
    /// The id that the node gave the request.
    pub request_id: Option<String>,
    /// When each token arrived.
    pub token_times_us: Vec<u64>,
    /// The concatenated texts of all tokens.
    pub text: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// Sends requests.
#[async_trait]
pub trait Caller: Send + Sync {
    /// Sends a request and waits for the end of its answer.
    async fn call(&self, call: &Call) -> CallResult;
}

/// Sends requests to nodes over HTTP; if a node does not accept a connection, it tries the next
/// one.
pub struct HttpCaller {
    nodes: Vec<Arc<HttpClient>>,
    clock: Arc<dyn Clock>,
    start: Instant,
}

impl HttpCaller {
    /// Creates a caller that sends to these nodes.
    pub fn new(nodes: &[SocketAddr], clock: Arc<dyn Clock>, start: Instant) -> Self {
        let client = |address: &SocketAddr| {
            HttpClient::new(*address, ClientConfig::default(), Arc::clone(&clock))
        };
        Self { nodes: nodes.iter().map(client).collect(), start, clock }
    }

    fn request(client: &HttpClient, call: &Call) -> Request {
        let mut request = client.request(Method::Post, "/v1/chat/completions");
        request.insert_header("authorization", format!("Bearer {}", call.key));
        request.insert_header("x-request-class", call.class.as_str());
        request.insert_header("x-request-deadline-ms", call.deadline_ms.to_string());
        if let Some(key) = &call.idempotency_key {
            request.insert_header("idempotency-key", key.as_str());
        }
        if !call.is_repeatable {
            request.insert_header("x-not-repeatable", "true");
        }
        request.set_body(call.body.clone());
        request
    }

    async fn read_answer(&self, mut exchange: Exchange, result: &mut CallResult) -> Outcome {
        let mut events = SseReader::new(exchange.response_mut().take_body());
        loop {
            match events.next().await {
                Ok(Some(event)) if event.data == b"[DONE]" => return Outcome::Answered,
                Ok(Some(event)) => {
                    if let Some(failure) = self.record_event(&event, result) {
                        return failure;
                    }
                }
                Ok(None) => {
                    return broken_outcome("the stream ended without [DONE] and without an error");
                }
                Err(error) => return broken_outcome(error),
            }
        }
    }

    /// Records the tokens of an event; returns the outcome if the event is an error.
    fn record_event(&self, event: &SseEvent, result: &mut CallResult) -> Option<Outcome> {
        let chunk: Value = match serde_json::from_slice(&event.data) {
            Ok(chunk) => chunk,
            Err(error) => return Some(broken_outcome(error)),
        };
        if chunk.get("error").is_some() {
            return Some(failed_outcome(&chunk, "stream"));
        }
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            result.text.push_str(text);
            result.token_times_us.push(self.start.elapsed().as_micros() as u64);
        }
        None
    }

    async fn read_response(
        &self,
        exchange: Exchange,
        result: &mut CallResult,
        deadline: Deadline,
    ) -> Outcome {
        result.request_id = header(exchange.response(), "x-request-id");
        let status = exchange.response().status();
        if status.is_success() {
            let reading = self.read_answer(exchange, result);
            let outcome = with_deadline(&*self.clock, deadline, reading).await;
            return outcome.unwrap_or(Outcome::Hanging);
        }
        match exchange.read_body(MAX_ERROR_BYTES, deadline).await {
            Ok((_, bytes)) => {
                let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
                failed_outcome(&body, &status.to_string())
            }
            Err(error) => broken_outcome(error),
        }
    }
}

#[async_trait]
impl Caller for HttpCaller {
    async fn call(&self, call: &Call) -> CallResult {
        let mut result = CallResult {
            nodes: Vec::new(),
            request_id: None,
            token_times_us: Vec::new(),
            text: String::new(),
            outcome: Outcome::Unreachable,
        };
        let deadline = Deadline::after_ms(self.clock.now(), call.deadline_ms + DEADLINE_GRACE_MS);
        for offset in 0..self.nodes.len() {
            let client = &self.nodes[(call.first_node + offset) % self.nodes.len()];
            result.nodes.push(client.address().to_string());
            let request = Self::request(client, call);
            // A new connection for each request: a pooled one that the node is just closing would
            // look like a broken connection.
            match client.send(request, ConnectionChoice::New, deadline).await {
                Ok(exchange) => {
                    result.outcome = self.read_response(exchange, &mut result, deadline).await;
                    return result;
                }
                Err(error) if error.was_sent() => {
                    let is_late = deadline.has_passed(self.clock.now());
                    result.outcome = if is_late { Outcome::Hanging } else { broken_outcome(error) };
                    return result;
                }
                Err(_) => {}
            }
        }
        result
    }
}

fn broken_outcome(detail: impl std::fmt::Display) -> Outcome {
    Outcome::Broken { detail: detail.to_string() }
}

fn failed_outcome(body: &Value, status: &str) -> Outcome {
    let field = |name: &str| body["error"][name].as_str();
    Outcome::Failed {
        code: field("code").unwrap_or(status).into(),
        run_state: field("run_state").unwrap_or("unknown").into(),
        message: field("message").unwrap_or_default().to_owned(),
    }
}

fn header(response: &Response, name: &str) -> Option<String> {
    response.header(name).map(|values| values.as_str().to_owned())
}
