//! HTTP calls to one of several platform addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http_types::{Body, Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use yuccapass_http::{ClientConfig, ConnectionChoice, Exchange, HttpClient, HttpError};
use yuccapass_types::{Clock, Deadline};

use crate::error::{Effect, PlatformError, PlatformErrorKind};
use crate::wire;

/// Largest accepted response: several values of 1 MB in base64.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Longest wait for an address to accept a watch, so that an unresponsive one leaves time for the
/// others.
const OPEN_TIMEOUT_MS: u64 = 2_000;

/// Settings of the HTTP connections to the platform.
#[derive(Debug, Clone)]
pub struct PlatformTransportConfig {
    addresses: Vec<SocketAddr>,
    client: ClientConfig,
    connect_timeout_ms: u64,
}

impl PlatformTransportConfig {
    /// Creates settings with the platform's addresses; the first one is tried first.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let client = ClientConfig::default().max_idle_connections(8);
        Self { addresses, client, connect_timeout_ms: 500 }
    }

    /// Sets how long connecting to one address may take; 500 ms by default.
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }
}

pub(crate) struct Transport {
    clients: Vec<Arc<HttpClient>>,
    clock: Arc<dyn Clock>,
    // Index of the address that is tried first; it advances when that address fails.
    preferred: AtomicUsize,
}

impl Transport {
    pub(crate) fn new(config: &PlatformTransportConfig, clock: Arc<dyn Clock>) -> Self {
        let client_config = config.client.clone().connect_timeout_ms(config.connect_timeout_ms);
        let connect = |&address: &SocketAddr| {
            HttpClient::new(address, client_config.clone(), Arc::clone(&clock))
        };
        let clients = config.addresses.iter().map(connect).collect();
        Self { clients, clock, preferred: AtomicUsize::new(0) }
    }

    pub(crate) fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        effect: Effect,
        path: &str,
        body: &impl Serialize,
        deadline: Deadline,
    ) -> Result<T, PlatformError> {
        let body = serde_json::to_vec(body).map_err(encode_error)?;
        self.call(effect, Method::Post, path, &body, deadline).await
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        deadline: Deadline,
    ) -> Result<T, PlatformError> {
        self.call(Effect::Read, Method::Get, path, &[], deadline).await
    }

    /// Tries the addresses in turn. A write is tried again only if no byte of it was sent.
    async fn call<T: DeserializeOwned>(
        &self,
        effect: Effect,
        method: Method,
        path: &str,
        body: &[u8],
        deadline: Deadline,
    ) -> Result<T, PlatformError> {
        let mut last_error = PlatformError::new(
            PlatformErrorKind::Unavailable,
            "the deadline passed before a platform address was tried",
        );
        for tries_left in (1..=self.clients.len()).rev() {
            if deadline.has_passed(self.clock.now()) {
                break;
            }
            let (index, client) = self.preferred_client();
            let limit = self.attempt_deadline(effect, tries_left, deadline);
            let request = make_request(client, method, path, body);
            match exchange(client, effect, request, limit).await {
                Ok(bytes) => return decode(effect, &bytes),
                Err(error) if error.is_outage() => {
                    self.skip_failed(index);
                    let may_retry = error.kind() == PlatformErrorKind::Unavailable;
                    last_error = error;
                    if !may_retry {
                        break;
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    /// Opens a stream at the first address that accepts it.
    pub(crate) async fn open(
        &self,
        path: &str,
        body: &impl Serialize,
        deadline: Deadline,
    ) -> Result<Exchange, PlatformError> {
        let body = serde_json::to_vec(body).map_err(encode_error)?;
        let mut last_error =
            PlatformError::new(PlatformErrorKind::Unavailable, "there is no platform address");
        for tries_left in (1..=self.clients.len()).rev() {
            let (index, client) = self.preferred_client();
            let open_limit = Deadline::after_ms(self.clock.now(), OPEN_TIMEOUT_MS);
            let limit = self.attempt_deadline(Effect::Read, tries_left, deadline);
            let limit = limit.earlier(open_limit);
            let request = make_request(client, Method::Post, path, &body);
            match client.send(request, ConnectionChoice::New, limit).await {
                Ok(exchange) if exchange.response().status().is_success() => return Ok(exchange),
                Ok(exchange) => {
                    let status = exchange.response().status();
                    last_error = status_error(Effect::Read, status, &[]);
                }
                Err(error) => last_error = Effect::Read.http_error(&error),
            }
            if !last_error.is_outage() {
                break;
            }
            self.skip_failed(index);
        }
        Err(last_error)
    }

    fn preferred_client(&self) -> (usize, &Arc<HttpClient>) {
        let index = self.preferred.load(Ordering::Relaxed) % self.clients.len();
        (index, &self.clients[index])
    }

    fn skip_failed(&self, failed_index: usize) {
        let next = (failed_index + 1) % self.clients.len();
        let order = Ordering::Relaxed;
        // If another call has advanced the index already, it is not advanced again.
        let _ = self.preferred.compare_exchange(failed_index, next, order, order);
    }

    /// Returns the deadline of one attempt. A read leaves time for the remaining addresses; a write
    /// is not repeated, so it gets all the time.
    fn attempt_deadline(&self, effect: Effect, tries_left: usize, deadline: Deadline) -> Deadline {
        let now = self.clock.now();
        match effect {
            Effect::Write => deadline,
            Effect::Read => {
                Deadline::after_ms(now, deadline.remaining_ms(now) / tries_left.max(1) as u64)
            }
        }
    }
}

fn make_request(client: &HttpClient, method: Method, path: &str, body: &[u8]) -> Request {
    let mut request = client.request(method, path);
    if method == Method::Post {
        request.insert_header("content-type", "application/json");
        request.set_body(Body::from_bytes(body.to_vec()));
    }
    request
}

async fn exchange(
    client: &Arc<HttpClient>,
    effect: Effect,
    request: Request,
    deadline: Deadline,
) -> Result<Vec<u8>, PlatformError> {
    let fail = |error: HttpError| effect.http_error(&error);
    // If the peer were just closing a reused connection, the outcome of a write would be unknown,
    // so writes open a new one.
    let choice = match effect {
        Effect::Read => ConnectionChoice::Reuse,
        Effect::Write => ConnectionChoice::New,
    };
    let exchange = client.send(request, choice, deadline).await.map_err(fail)?;
    let (response, bytes) = exchange.read_body(MAX_RESPONSE_BYTES, deadline).await.map_err(fail)?;
    match response.status().is_success() {
        true => Ok(bytes),
        false => Err(status_error(effect, response.status(), &bytes)),
    }
}

fn decode<T: DeserializeOwned>(effect: Effect, bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|error| {
        PlatformError::new(effect.unanswered(PlatformErrorKind::Protocol), error.to_string())
    })
}

/// Converts an error response; after a server error the effect of a write is unknown.
fn status_error(effect: Effect, status: StatusCode, body: &[u8]) -> PlatformError {
    let body: wire::ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    let kind = match (status, body.code) {
        (StatusCode::TooManyRequests, _) => PlatformErrorKind::RateLimited,
        (_, wire::CODE_NOT_FOUND) => PlatformErrorKind::LeaseNotFound,
        (_, wire::CODE_OUT_OF_RANGE) => PlatformErrorKind::Compacted,
        _ if status.is_server_error() => effect.unanswered(PlatformErrorKind::Unavailable),
        _ => PlatformErrorKind::InvalidRequest,
    };
    PlatformError::new(kind, format!("status {status}: {}", body.message))
}

fn encode_error(error: serde_json::Error) -> PlatformError {
    PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
}
