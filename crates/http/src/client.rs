//! A client with a connection pool for one peer address.
//!
//! Open connections may go silent for good, without a reset, while new ones work. Calls that may be
//! repeated find that out, see [`HttpClient::send_repeatable`], and what one call has found out counts
//! for all connections that are as old.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use futures::future::{Either, select};
use futures::{AsyncReadExt, FutureExt};
use http_types::headers::CONNECTION;
use http_types::{Method, Request, Response, Url};
use snafu::Snafu;
use yuccapass_types::{Clock, Deadline, Instant};

use crate::counting_stream::CountingStream;
use crate::wait::with_deadline;

/// Age up to which a connection is not doubted when an answer is late: it was just opened.
const UNDOUBTED_AGE_MS: u64 = 500;

/// Maximum size of the parts in which a body is read.
const BODY_PART_BYTES: usize = 16 << 10;

/// Settings of an [`HttpClient`].
#[derive(Debug, Clone)]
pub struct ClientConfig {
    max_idle_connections: usize,
    idle_timeout_ms: u64,
    connect_timeout_ms: u64,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self { max_idle_connections: 64, idle_timeout_ms: 30_000, connect_timeout_ms: 1_000 }
    }
}

impl ClientConfig {
    /// Sets how many idle connections are kept; 64 by default.
    pub fn max_idle_connections(mut self, count: usize) -> Self {
        self.max_idle_connections = count;
        self
    }

    /// Sets how long an idle connection is kept; 30 s by default.
    pub fn idle_timeout_ms(mut self, ms: u64) -> Self {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets how long connecting may take; 1 s by default.
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }
}

/// Which connection a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection from the pool, if there is one.
    Reuse,
    /// A new connection, for a request that must not be lost because the peer is just closing the
    /// connection, and for probing whether a peer still accepts connections.
    New,
}

/// What failed in an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum HttpErrorKind {
    /// No connection could be opened.
    Connect,
    /// The deadline passed.
    Timeout,
    /// The connection broke or the peer did not speak HTTP.
    Connection,
    /// Another connection was answered while connections of this age were silent.
    Silent,
}

/// Reports that an exchange failed.
#[derive(Debug, Clone, Snafu)]
#[snafu(display(
    "{kind:?} failure with {address} after {written_bytes} bytes were sent: {detail}"
))]
pub struct HttpError {
    kind: HttpErrorKind,
    address: SocketAddr,
    written_bytes: u64,
    detail: String,
}

impl HttpError {
    /// Returns what failed.
    pub fn kind(&self) -> HttpErrorKind {
        self.kind
    }

    /// Returns whether any byte of the request was written, so that the peer may have acted on it.
    pub fn was_sent(&self) -> bool {
        self.written_bytes > 0
    }
}

/// A request that waits on a connection. Dropping the sender tells it that the connection is silent.
struct WaitingRequest {
    opened_at: Instant,
    silenced: Sender<()>,
}

struct IdleConnection {
    stream: CountingStream,
    expiry: Deadline,
}

/// A client for one peer address.
///
/// An exchange has a connection to itself; idle connections are kept and reused.
pub struct HttpClient {
    address: SocketAddr,
    base_url: Url,
    config: ClientConfig,
    clock: Arc<dyn Clock>,
    idle: Mutex<Vec<IdleConnection>>,
    // Connections that were opened before are silent.
    silent_before: Mutex<Option<Instant>>,
    waiting: Mutex<Vec<WaitingRequest>>,
}

impl HttpClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr, config: ClientConfig, clock: Arc<dyn Clock>) -> Arc<Self> {
        let base_url = Url::parse(&format!("http://{address}/"))
            .expect("a socket address is a valid authority of a URL");
        Arc::new(Self {
            address,
            base_url,
            config,
            clock,
            idle: Mutex::default(),
            silent_before: Mutex::default(),
            waiting: Mutex::default(),
        })
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the clock by which deadlines are measured.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Creates a request to this peer for `path_and_query`, which starts with a slash.
    pub fn request(&self, method: Method, path_and_query: &str) -> Request {
        let mut url = self.base_url.clone();
        let (path, query) = match path_and_query.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (path_and_query, None),
        };
        url.set_path(path);
        url.set_query(query);
        Request::new(method, url)
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened, the connection breaks, or the deadline passes. A
    /// response with any status is a success.
    pub async fn send(
        self: &Arc<Self>,
        request: Request,
        choice: ConnectionChoice,
        deadline: Deadline,
    ) -> Result<Exchange, HttpError> {
        let stream = match self.take_idle(choice) {
            Some(stream) => stream,
            None => self.connect(deadline).await?,
        };
        self.exchange(stream, request, deadline).await
    }

    /// Sends a request that the peer may execute more than once, and waits for the head of the response.
    ///
    /// If there is none by `expected_by`, the request is sent again over a new connection, and the first
    /// response counts. If that is the one on the new connection, all connections that were opened earlier
    /// are given up as silent; the requests of this kind that wait on them are sent again.
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does.
    pub async fn send_repeatable(
        self: &Arc<Self>,
        request: impl Fn() -> Request,
        expected_by: Deadline,
        deadline: Deadline,
    ) -> Result<Exchange, HttpError> {
        let mut kept = self.take_idle(ConnectionChoice::Reuse);
        loop {
            let stream = match kept.take() {
                Some(stream) => stream,
                None => self.connect(deadline).await?,
            };
            let result = self.send_unless_silent(stream, &request, expected_by, deadline).await;
            if result.as_ref().is_err_and(|error| error.kind == HttpErrorKind::Silent) {
                continue;
            }
            return result;
        }
    }

    /// Sends a request over a connection, and again over a new one if the response is late.
    async fn send_unless_silent(
        self: &Arc<Self>,
        stream: CountingStream,
        request: &impl Fn() -> Request,
        expected_by: Deadline,
        deadline: Deadline,
    ) -> Result<Exchange, HttpError> {
        let opened_at = stream.opened_at();
        let silenced = self.wait_for_silence(opened_at);
        let first = Box::pin(self.exchange(stream, request(), deadline));
        let doubted_from = Deadline::after_ms(opened_at, UNDOUBTED_AGE_MS);
        let doubting = Box::pin(async {
            let is_silent = async { silenced.recv().await.is_err() };
            let doubted_at =
                Deadline::after_ms(expected_by.instant().max(doubted_from.instant()), 0);
            with_deadline(&*self.clock, doubted_at, is_silent).await.is_ok()
        });
        let first = match select(first, doubting).await {
            Either::Left((result, _)) => return result,
            Either::Right((true, _)) => {
                let detail = "connections of this age are silent";
                return Err(self.error(HttpErrorKind::Silent, 0, detail));
            }
            Either::Right((false, first)) => first,
        };
        let repeated_at = self.clock.now();
        let second = Box::pin(self.send(request(), ConnectionChoice::New, deadline));
        match select(first, second).await {
            Either::Left((Ok(exchange), _)) => Ok(exchange),
            Either::Left((Err(_), second)) => second.await,
            Either::Right((Ok(exchange), _)) => {
                self.record_silence(repeated_at);
                Ok(exchange)
            }
            Either::Right((Err(_), first)) => first.await,
        }
    }

    /// Returns a receiver that is closed when connections of this age prove to be silent.
    fn wait_for_silence(&self, opened_at: Instant) -> Receiver<()> {
        let (silenced, receiver) = bounded(1);
        let mut waiting = lock(&self.waiting);
        waiting.retain(|request| !request.silenced.is_closed());
        waiting.push(WaitingRequest { opened_at, silenced });
        receiver
    }

    /// Gives up all connections that were opened before `before`.
    fn record_silence(&self, before: Instant) {
        let known = &mut *lock(&self.silent_before);
        *known = (*known).max(Some(before));
        self.lock_idle().retain(|idle| idle.stream.opened_at() >= before);
        let mut waiting = lock(&self.waiting);
        let all = waiting.len();
        waiting.retain(|request| request.opened_at >= before);
        let given_up = all - waiting.len();
        log::info!(address:% = self.address, given_up; "open connections are silent, new ones work");
    }

    fn is_silent(&self, stream: &CountingStream) -> bool {
        lock(&self.silent_before).is_some_and(|before| stream.opened_at() < before)
    }

    async fn exchange(
        self: &Arc<Self>,
        stream: CountingStream,
        request: Request,
        deadline: Deadline,
    ) -> Result<Exchange, HttpError> {
        stream.reset_counter();
        stream.begin_head();
        // async-h1 panics if a header of the response has a byte outside ASCII.
        let sending = AssertUnwindSafe(async_h1::connect(stream.clone(), request)).catch_unwind();
        match with_deadline(&*self.clock, deadline, sending).await {
            Ok(Ok(Ok(response))) => {
                stream.end_head();
                Ok(Exchange::new(self, stream, response))
            }
            Ok(Ok(Err(error))) => {
                Err(self.error(HttpErrorKind::Connection, stream.written_bytes(), error))
            }
            Ok(Err(_panic)) => {
                let text = "the response could not be decoded";
                Err(self.error(HttpErrorKind::Connection, stream.written_bytes(), text))
            }
            Err(expired) => {
                Err(self.error(HttpErrorKind::Timeout, stream.written_bytes(), expired))
            }
        }
    }

    async fn connect(&self, deadline: Deadline) -> Result<CountingStream, HttpError> {
        let limit = Deadline::after_ms(self.clock.now(), self.config.connect_timeout_ms);
        let connecting = TcpStream::connect(self.address);
        let stream = with_deadline(&*self.clock, limit.earlier(deadline), connecting)
            .await
            .map_err(|expired| self.error(HttpErrorKind::Connect, 0, expired))?
            .map_err(|error| self.error(HttpErrorKind::Connect, 0, error))?;
        // Without TCP_NODELAY, small writes wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        Ok(CountingStream::new(stream, self.clock.now()))
    }

    fn take_idle(&self, choice: ConnectionChoice) -> Option<CountingStream> {
        if choice == ConnectionChoice::New {
            return None;
        }
        let now = self.clock.now();
        loop {
            let connection = self.lock_idle().pop()?;
            let is_usable = !connection.expiry.has_passed(now)
                && !self.is_silent(&connection.stream)
                && is_reusable(connection.stream.tcp());
            if is_usable {
                return Some(connection.stream);
            }
        }
    }

    fn put_idle(&self, stream: CountingStream) {
        let expiry = Deadline::after_ms(self.clock.now(), self.config.idle_timeout_ms);
        let mut idle = self.lock_idle();
        if idle.len() < self.config.max_idle_connections {
            idle.push(IdleConnection { stream, expiry });
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        lock(&self.idle)
    }

    fn error(
        &self,
        kind: HttpErrorKind,
        written_bytes: u64,
        detail: impl std::fmt::Display,
    ) -> HttpError {
        HttpError { kind, address: self.address, written_bytes, detail: detail.to_string() }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the peer has neither closed the connection nor sent anything unexpected.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.peek(&mut byte).now_or_never().is_none()
}

/// A response, and the connection from which its body is read.
///
/// Dropping it closes the connection, unless [`Exchange::finish`] was called.
pub struct Exchange {
    client: Arc<HttpClient>,
    stream: CountingStream,
    response: Response,
}

impl Exchange {
    fn new(client: &Arc<HttpClient>, stream: CountingStream, response: Response) -> Self {
        Self { client: Arc::clone(client), stream, response }
    }

    /// Returns the response.
    pub fn response(&self) -> &Response {
        &self.response
    }

    /// Returns a mutable reference to the response, through which its body can be read.
    pub fn response_mut(&mut self) -> &mut Response {
        &mut self.response
    }

    /// Returns the connection to the pool; the body must have been read to its end.
    pub fn finish(self) {
        let closes = self
            .response
            .header(CONNECTION)
            .is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"));
        if !closes {
            self.client.put_idle(self.stream.clone());
        }
    }

    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends before the body, the deadline passes, or the body has
    /// more than `max_bytes`.
    pub async fn read_body(
        self,
        max_bytes: usize,
        deadline: Deadline,
    ) -> Result<(Response, Vec<u8>), HttpError> {
        self.read_body_while_arriving(max_bytes, u64::MAX, deadline).await
    }

    /// Reads the whole body and returns the connection to the pool, as long as some of it arrives at least
    /// every `max_pause_ms`.
    ///
    /// # Errors
    ///
    /// Fails as [`read_body`](Self::read_body) does, and if nothing arrives for longer.
    pub async fn read_body_while_arriving(
        mut self,
        max_bytes: usize,
        max_pause_ms: u64,
        deadline: Deadline,
    ) -> Result<(Response, Vec<u8>), HttpError> {
        let client = Arc::clone(&self.client);
        let written_bytes = self.stream.written_bytes();
        let fail = |kind, detail: String| client.error(kind, written_bytes, detail);
        let mut bytes = Vec::new();
        let mut body = self.response.take_body();
        let announced_bytes = body.len();
        let mut limited = (&mut body).take(max_bytes as u64 + 1);
        loop {
            let pause_end = Deadline::after_ms(client.clock.now(), max_pause_ms);
            let limit = pause_end.earlier(deadline);
            let received_bytes = bytes.len();
            bytes.resize(received_bytes + BODY_PART_BYTES, 0);
            let reading = limited.read(&mut bytes[received_bytes..]);
            let read = with_deadline(&*client.clock, limit, reading).await;
            let part_bytes = read
                .map_err(|expired| {
                    let detail = format!("{expired} after {received_bytes} bytes of the body");
                    fail(HttpErrorKind::Timeout, detail)
                })?
                .map_err(|error| fail(HttpErrorKind::Connection, error.to_string()))?;
            bytes.truncate(received_bytes + part_bytes);
            if part_bytes == 0 {
                break;
            }
        }
        if bytes.len() > max_bytes {
            let detail = format!("the response body has more than {max_bytes} bytes");
            return Err(fail(HttpErrorKind::Connection, detail));
        }
        if announced_bytes.is_some_and(|length| bytes.len() < length) {
            let detail = format!("the connection ended after {} bytes of the body", bytes.len());
            return Err(fail(HttpErrorKind::Connection, detail));
        }
        let response = self.response.clone();
        self.finish();
        Ok((response, bytes))
    }
}
