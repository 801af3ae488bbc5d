//! An accept loop for a tide application, with a graceful stop.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server as ConnectionServer};
use async_std::channel::{Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};
use futures::{AsyncWriteExt, FutureExt, pin_mut};
use http_types::headers::CONNECTION;
use http_types::{Request, Response};
use yuccapass_types::Instant;

use crate::counting_stream::CountingStream;
use crate::stop::StopSignal;

/// Pause after a failed accept, whose usual cause is too many open files.
const ACCEPT_RETRY_MS: u64 = 50;

/// Why a connection is rejected before its request reaches the application.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The limit of open connections is reached.
    TooManyConnections,
    /// The head of a request is too large, incomplete or not HTTP.
    InvalidHead,
}

/// Returns the status and JSON body of the response to a rejected connection.
pub type RejectionBody = fn(RejectReason) -> (u16, String);

/// Settings of [`serve`].
#[derive(Debug, Clone)]
pub struct ServerConfig {
    max_connections: usize,
    idle_timeout_ms: u64,
    rejection_body: RejectionBody,
}

impl ServerConfig {
    /// Creates settings with the function for the responses to rejected connections.
    pub fn new(rejection_body: RejectionBody) -> Self {
        Self { max_connections: 10_000, idle_timeout_ms: 75_000, rejection_body }
    }

    /// Sets how many connections may be open; 10,000 by default.
    pub fn max_connections(mut self, count: usize) -> Self {
        self.max_connections = count;
        self
    }

    /// Sets how long a connection may stay open between requests; 75 s by default.
    pub fn idle_timeout_ms(mut self, ms: u64) -> Self {
        self.idle_timeout_ms = ms;
        self
    }
}

/// The number of the next accepted connection.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A handle to the connection of a request, which the application finds in the request's
/// extensions.
#[derive(Debug, Clone)]
pub struct ConnectionHandle {
    connection: Arc<Connection>,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    number: u64,
}

/// A reference to a connection that does not keep it open.
#[derive(Debug, Clone)]
pub struct WeakConnection {
    connection: Weak<Connection>,
}

impl WeakConnection {
    /// Returns the connection if it is still being served.
    pub fn upgrade(&self) -> Option<ConnectionHandle> {
        self.connection.upgrade().map(|connection| ConnectionHandle { connection })
    }
}

impl ConnectionHandle {
    fn new(stream: TcpStream) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        Self { connection: Arc::new(Connection { stream, number }) }
    }

    /// Returns the number of the connection, which is unique in this process and larger than the
    /// numbers of all connections that were accepted before.
    pub fn number(&self) -> u64 {
        self.connection.number
    }

    /// Returns a reference that does not keep the connection open.
    pub fn downgrade(&self) -> WeakConnection {
        WeakConnection { connection: Arc::downgrade(&self.connection) }
    }

    /// Returns the number that the next accepted connection will have.
    pub fn next_number() -> u64 {
        NEXT_NUMBER.load(Ordering::Relaxed)
    }

    /// Closes the connection in both directions, even while a response is being sent.
    pub fn abort(&self) {
        // This fails only if the connection is closed already.
        let _ = self.connection.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Waits until the peer closes the connection.
    pub async fn closed_by_peer(&self) {
        let mut byte = [0];
        match self.connection.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            // The peer has sent the start of its next request, so it is still connected. Peeking
            // again would return at once without end.
            Ok(_) => futures::future::pending().await,
        }
    }
}

/// Accepts connections and serves requests until the stop signal is closed, then finishes the
/// requests that are running.
///
/// Returns when the last connection is done. While the signal is draining, each response asks the
/// client to close its connection.
pub async fn serve<S>(
    listener: TcpListener,
    app: tide::Server<S>,
    config: ServerConfig,
    stop: StopSignal,
) where
    S: Clone + Send + Sync + 'static,
{
    // Each connection holds a sender; `recv` returns once the last one is dropped.
    let (done_sender, done_receiver) = bounded::<()>(1);
    let open_count = Arc::new(AtomicUsize::new(0));
    loop {
        let accepting = listener.accept();
        let closing = stop.closed();
        pin_mut!(accepting, closing);
        let stream = match select(closing, accepting).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, _)), _)) => stream,
            Either::Right((Err(error), _)) => {
                log::warn!("accepting a connection failed: {error}");
                task::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let guard = OpenGuard::new(&open_count, done_sender.clone());
        if guard.open_count > config.max_connections {
            task::spawn(reject(stream, config.rejection_body, RejectReason::TooManyConnections));
            continue;
        }
        let connection = serve_connection(stream, app.clone(), config.clone(), stop.clone(), guard);
        task::spawn(connection);
    }
    drop(listener);
    drop(done_sender);
    // Nothing is ever sent, so this returns with an error when the last connection is done.
    let _ = done_receiver.recv().await;
}

/// Counts an open connection until it is dropped.
struct OpenGuard {
    counter: Arc<AtomicUsize>,
    open_count: usize,
    _done: Sender<()>,
}

impl OpenGuard {
    fn new(counter: &Arc<AtomicUsize>, done: Sender<()>) -> Self {
        let open_count = counter.fetch_add(1, Ordering::AcqRel) + 1;
        Self { counter: Arc::clone(counter), open_count, _done: done }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_connection<S>(
    stream: TcpStream,
    app: tide::Server<S>,
    config: ServerConfig,
    stop: StopSignal,
    _guard: OpenGuard,
) where
    S: Clone + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let handle = ConnectionHandle::new(stream.clone());
    let has_reached_app = AtomicBool::new(false);
    let limited = CountingStream::new(stream.clone(), Instant::default());
    let respond = |request| {
        has_reached_app.store(true, Ordering::Relaxed);
        limited.end_head();
        respond(&app, &handle, &stop, request)
    };
    let mut server = ConnectionServer::new(limited.clone(), respond);
    while wait_for_request(&stream, &config, &stop).await {
        has_reached_app.store(false, Ordering::Relaxed);
        limited.begin_head();
        // async-h1 panics if a header of the request has a byte outside ASCII.
        match AssertUnwindSafe(server.accept_one()).catch_unwind().await {
            Ok(Ok(ConnectionStatus::KeepAlive)) => continue,
            Ok(Ok(ConnectionStatus::Close)) => break,
            Ok(Err(error)) => log::debug!("a connection ended: {error}"),
            Err(_panic) => log::warn!("closing a connection after a panic in its request"),
        }
        // A rejection says that nothing ran. Once the application has the request, that may be
        // wrong, and the rejection would be written into the middle of the response.
        if !has_reached_app.load(Ordering::Relaxed) {
            reject(stream, config.rejection_body, RejectReason::InvalidHead).await;
        }
        break;
    }
}

/// Waits for the first byte of a request; returns false if the connection is to be closed.
///
/// A connection counts as idle only if no byte of a request has arrived, so a stop never aborts a
/// request that is being received.
async fn wait_for_request(stream: &TcpStream, config: &ServerConfig, stop: &StopSignal) -> bool {
    let mut byte = [0];
    let arriving = stream.peek(&mut byte);
    let closing = stop.closed();
    pin_mut!(arriving, closing);
    let idle_timeout = Duration::from_millis(config.idle_timeout_ms);
    match async_std::future::timeout(idle_timeout, select(arriving, closing)).await {
        Ok(Either::Left((Ok(count), _))) => count > 0,
        _ => false,
    }
}

async fn respond<S>(
    app: &tide::Server<S>,
    handle: &ConnectionHandle,
    stop: &StopSignal,
    mut request: Request,
) -> http_types::Result<Response>
where
    S: Clone + Send + Sync + 'static,
{
    request.ext_mut().insert(handle.clone());
    let mut response: Response = app.respond(request).await?;
    if stop.is_draining() {
        response.insert_header(CONNECTION, "close");
    }
    Ok(response)
}

fn reject(
    mut stream: TcpStream,
    rejection_body: RejectionBody,
    reason: RejectReason,
) -> impl Future<Output = ()> + Send {
    let (status, body) = rejection_body(reason);
    let message = format!(
        "HTTP/1.1 {status} Rejected\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        body.len()
    );
    async move {
        // The peer may have closed the connection already; then nobody needs the response.
        let _ = stream.write_all(message.as_bytes()).await;
        let _ = stream.close().await;
    }
}
