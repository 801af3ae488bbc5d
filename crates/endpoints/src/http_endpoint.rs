//! An implementation of [`ModelEndpoint`] over HTTP/1.1 with server-sent events.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use http_types::{Body, Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use yuccapass_http::{
    ClientConfig, ConnectionChoice, Exchange, HttpClient, block_headers, with_deadline,
};
use yuccapass_types::{
    BlockHash, ChecksummedBlock, Clock, Deadline, EndpointId, RequestId, RunState, Tokens,
};

use crate::error::{EndpointError, EndpointErrorKind};
use crate::model_endpoint::{
    BlockListing, CacheEventBatch, GenerateRequest, LoadReport, ModelEndpoint, Order, StreamEvent,
    TokenStream, headers,
};
use crate::sse::SseReader;

/// Largest accepted JSON response: a listing of 100,000 blocks has about 3.5 MB.
const MAX_JSON_BYTES: usize = 8 << 20;

/// Largest accepted block payload.
const MAX_BLOCK_BYTES: usize = 64 << 20;

/// Longest wait for the end of a body after its last event, which lets the connection be reused; it
/// is short because the caller waits for it.
const BODY_END_TIMEOUT_MS: u64 = 100;

/// The data of the last event of a stream, as the OpenAI API defines it.
const DONE: &[u8] = b"[DONE]";

/// An engine behind an HTTP address.
pub struct HttpEndpoint {
    id: EndpointId,
    client: Arc<HttpClient>,
    report_connection: ConnectionChoice,
}

impl HttpEndpoint {
    /// Creates a client without opening a connection.
    pub fn new(
        id: EndpointId,
        address: SocketAddr,
        config: ClientConfig,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let client = HttpClient::new(address, config, clock);
        Self { id, client, report_connection: ConnectionChoice::New }
    }

    /// Reads load reports over reused connections. By default each report opens a new one, which
    /// also probes whether the endpoint still accepts connections.
    pub fn reuse_connections_for_reports(mut self) -> Self {
        self.report_connection = ConnectionChoice::Reuse;
        self
    }

    async fn call(
        &self,
        request: Request,
        choice: ConnectionChoice,
        deadline: Deadline,
    ) -> Result<Exchange, EndpointError> {
        let exchange = self.client.send(request, choice, deadline).await?;
        if exchange.response().status().is_success() {
            return Ok(exchange);
        }
        Err(status_error(exchange.response()))
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        choice: ConnectionChoice,
        deadline: Deadline,
    ) -> Result<T, EndpointError> {
        let request = self.client.request(Method::Get, path);
        let exchange = self.call(request, choice, deadline).await?;
        let (_, bytes) = exchange.read_body(MAX_JSON_BYTES, deadline).await?;
        serde_json::from_slice(&bytes).map_err(|error| protocol_error(error.to_string()))
    }

    fn generate_request(&self, generate: &GenerateRequest) -> Request {
        let mut request = self.client.request(Method::Post, generate.api.path());
        let remaining_ms = generate.deadline.remaining_ms(self.client.clock().now());
        request.insert_header(headers::REQUEST_ID, generate.request_id.as_str());
        request.insert_header(headers::ATTEMPT, generate.attempt.to_string());
        request.insert_header(headers::PRIORITY, generate.priority.to_string());
        request.insert_header(headers::DEADLINE_MS, remaining_ms.to_string());
        request.insert_header(headers::CACHE_SALT, generate.salt.to_string());
        request.insert_header(headers::WEIGHT_VERSION, generate.version.as_str());
        if let Some(adapter) = &generate.adapter {
            request.insert_header(headers::ADAPTER, adapter.as_str());
        }
        let resume_offset = generate.resume_offset_tokens.get();
        request.insert_header(headers::RESUME_OFFSET, resume_offset.to_string());
        request.insert_header("content-type", "application/json");
        request.set_body(Body::from_bytes(generate.body.to_vec()));
        request
    }
}

#[async_trait]
impl ModelEndpoint for HttpEndpoint {
    fn id(&self) -> &EndpointId {
        &self.id
    }

    async fn generate(
        &self,
        generate: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, EndpointError> {
        let choice = match generate.needs_new_connection {
            true => ConnectionChoice::New,
            false => ConnectionChoice::Reuse,
        };
        let request = self.generate_request(generate);
        let mut exchange = self.call(request, choice, generate.deadline).await?;
        let body = exchange.response_mut().take_body();
        let id_prefix = format!("{}/{}/", generate.request_id, generate.attempt);
        Ok(Box::new(HttpTokenStream {
            exchange: Some(exchange),
            events: SseReader::new(body),
            id_prefix: id_prefix.into_bytes(),
            clock: Arc::clone(self.client.clock()),
        }))
    }

    async fn cancel(
        &self,
        request_id: &RequestId,
        deadline: Deadline,
    ) -> Result<(), EndpointError> {
        let path = format!("/requests/{request_id}");
        let request = self.client.request(Method::Delete, &path);
        let exchange = self.call(request, ConnectionChoice::New, deadline).await?;
        exchange.read_body(MAX_JSON_BYTES, deadline).await?;
        Ok(())
    }

    async fn load_report(&self, deadline: Deadline) -> Result<LoadReport, EndpointError> {
        self.get_json("/load", self.report_connection, deadline).await
    }

    async fn cache_events(
        &self,
        after_sequence: u64,
        deadline: Deadline,
    ) -> Result<CacheEventBatch, EndpointError> {
        let path = format!("/events?after={after_sequence}");
        self.get_json(&path, ConnectionChoice::Reuse, deadline).await
    }

    async fn block_listing(&self, deadline: Deadline) -> Result<BlockListing, EndpointError> {
        self.get_json("/blocks", ConnectionChoice::Reuse, deadline).await
    }

    async fn export_block(
        &self,
        block: BlockHash,
        deadline: Deadline,
    ) -> Result<ChecksummedBlock, EndpointError> {
        let request = self.client.request(Method::Get, &format!("/kv/{block}"));
        let exchange = self.call(request, ConnectionChoice::Reuse, deadline).await?;
        let (response, payload) = exchange.read_body(MAX_BLOCK_BYTES, deadline).await?;
        let Some((generation, checksum)) = block_headers::parse(|name| header(&response, name))
        else {
            return Err(protocol_error("an exported block has no generation or checksum"));
        };
        let exported = ChecksummedBlock { hash: block, generation, checksum, payload };
        check_intact(&exported)?;
        Ok(exported)
    }

    async fn import_block(
        &self,
        block: &ChecksummedBlock,
        deadline: Deadline,
    ) -> Result<(), EndpointError> {
        check_intact(block)?;
        let mut request = self.client.request(Method::Put, &format!("/kv/{}", block.hash));
        block_headers::insert(block, |name, value| {
            request.insert_header(name, value);
        });
        request.set_body(Body::from_bytes(block.payload.clone()));
        let exchange = self.call(request, ConnectionChoice::Reuse, deadline).await?;
        exchange.read_body(MAX_JSON_BYTES, deadline).await?;
        Ok(())
    }

    async fn order(&self, order: &Order, deadline: Deadline) -> Result<(), EndpointError> {
        let mut request = self.client.request(Method::Post, "/orders");
        let body = Body::from_json(order).map_err(|error| protocol_error(error.to_string()))?;
        request.set_body(body);
        let exchange = self.call(request, ConnectionChoice::New, deadline).await?;
        exchange.read_body(MAX_JSON_BYTES, deadline).await?;
        Ok(())
    }
}

struct HttpTokenStream {
    // Taken at the end of the answer, when the connection can be reused.
    exchange: Option<Exchange>,
    events: SseReader<Body>,
    id_prefix: Vec<u8>,
    clock: Arc<dyn Clock>,
}

impl HttpTokenStream {
    async fn finish(&mut self) {
        let Some(exchange) = self.exchange.take() else { return };
        let deadline = Deadline::after_ms(self.clock.now(), BODY_END_TIMEOUT_MS);
        // The connection can be reused only once the end of the chunked body was read.
        let end = with_deadline(&*self.clock, deadline, self.events.next()).await;
        if let Ok(Ok(None)) = end {
            exchange.finish();
        }
    }
}

#[async_trait]
impl TokenStream for HttpTokenStream {
    async fn next(&mut self, deadline: Deadline) -> Result<StreamEvent, EndpointError> {
        let reading = with_deadline(&*self.clock, deadline, self.events.next()).await;
        let event = reading
            .map_err(|_| stream_error(EndpointErrorKind::Timeout, "no event came in time"))?
            .map_err(|error| stream_error(EndpointErrorKind::Connection, error.to_string()))?
            .ok_or_else(|| stream_error(EndpointErrorKind::Connection, "the stream was cut"))?;
        let Some(offset_text) = event.id.strip_prefix(self.id_prefix.as_slice()) else {
            return Ok(StreamEvent::Mismatched);
        };
        let offset_tokens = parse_offset(offset_text)?;
        if event.data != DONE {
            return Ok(StreamEvent::Token { offset_tokens, json: event.data });
        }
        self.finish().await;
        Ok(StreamEvent::Done { length_tokens: offset_tokens })
    }
}

fn parse_offset(text: &[u8]) -> Result<Tokens, EndpointError> {
    let number = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
    number.map(Tokens::new).ok_or_else(|| protocol_error("an event id has no token offset"))
}

fn check_intact(block: &ChecksummedBlock) -> Result<(), EndpointError> {
    if block.is_intact() {
        return Ok(());
    }
    let detail = format!("block {} does not match its checksum", block.hash);
    Err(EndpointError::new(EndpointErrorKind::Block, RunState::NotRun, detail))
}

fn protocol_error(detail: impl Into<String>) -> EndpointError {
    EndpointError::new(EndpointErrorKind::Protocol, RunState::Unknown, detail)
}

fn stream_error(kind: EndpointErrorKind, detail: impl Into<String>) -> EndpointError {
    EndpointError::new(kind, RunState::Ran, detail)
}

/// Converts an error response.
///
/// The run state is `not run` only if the engine says so, because a proxy or a crashing engine may
/// send an error status after the run began.
fn status_error(response: &Response) -> EndpointError {
    let status = response.status();
    let run_state = match header(response, headers::RUN_STATE) {
        Some("not run") => RunState::NotRun,
        _ => RunState::Unknown,
    };
    let kind = match header(response, headers::REFUSAL) {
        Some("wrong_version") => EndpointErrorKind::WrongVersion,
        Some("overloaded") => EndpointErrorKind::Overloaded,
        Some("leaving") => EndpointErrorKind::Leaving,
        Some("fenced") => EndpointErrorKind::Fenced,
        Some("block") => EndpointErrorKind::Block,
        _ if status == StatusCode::BadRequest => EndpointErrorKind::InvalidRequest,
        _ => EndpointErrorKind::Protocol,
    };
    EndpointError::new(kind, run_state, format!("the endpoint answered with status {status}"))
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values.as_str())
}
