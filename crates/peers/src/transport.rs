//! Sends messages to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use yuccapass_http::with_deadline;
use yuccapass_types::{Clock, Deadline, Sharded, SortedMap};

use crate::connection::Connection;
use crate::error::{PeerError, PeerErrorKind};
use crate::local_node::LocalNode;
use crate::message::{Frame, PeerMessage, Sender};

/// A reply and the process that sent it.
///
/// The sender need not be the node that was expected at the address; a vote counts for the node
/// that actually sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReply {
    /// The process that replied.
    pub sender: Sender,
    /// Its reply.
    pub message: PeerMessage,
}

/// A sender of messages to other nodes.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Sends a message without waiting for a reply; it may be lost without an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the message could not be written in time.
    async fn send(&self, to: SocketAddr, message: PeerMessage) -> Result<(), PeerError>;

    /// Sends a message and waits for its reply until the deadline.
    ///
    /// The message may arrive twice, so its handling must be idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid reply arrived.
    async fn call(
        &self,
        to: SocketAddr,
        message: PeerMessage,
        deadline: Deadline,
    ) -> Result<PeerReply, PeerError>;
}

/// Settings of [`TcpTransport`].
#[derive(Debug, Clone, Copy)]
pub struct TransportConfig {
    idle_timeout_ms: u64,
    send_timeout_ms: u64,
    max_idle_per_address: usize,
    max_age_ms: u64,
}

impl Default for TransportConfig {
    fn default() -> Self {
        Self {
            idle_timeout_ms: 30_000,
            send_timeout_ms: 1_000,
            max_idle_per_address: 4,
            max_age_ms: 60_000,
        }
    }
}

impl TransportConfig {
    /// Sets how long an unused connection is kept; 30 s by default. It has to be shorter than the
    /// listener's idle timeout, so that no message is written to a connection that is being closed.
    pub fn idle_timeout_ms(mut self, ms: u64) -> Self {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets how long writing a one-way message may take; 1 s by default.
    pub fn send_timeout_ms(mut self, ms: u64) -> Self {
        self.send_timeout_ms = ms;
        self
    }

    /// Sets how many idle connections to one address are kept; 4 by default.
    pub fn max_idle_per_address(mut self, count: usize) -> Self {
        self.max_idle_per_address = count;
        self
    }

    /// Sets the age from which a connection is no longer reused; 60 s by default.
    ///
    /// A one-way message on a dead connection is lost without an error; this limit bounds how long
    /// such a connection is used.
    pub fn max_age_ms(mut self, ms: u64) -> Self {
        self.max_age_ms = ms;
        self
    }
}

struct IdleConnection {
    connection: Connection,
    close_at: Deadline,
}

type IdlePool = SortedMap<SocketAddr, Vec<IdleConnection>>;

/// A [`PeerTransport`] over TCP; connections are opened on demand and reused.
pub struct TcpTransport {
    node: Arc<LocalNode>,
    config: TransportConfig,
    idle: Sharded<IdlePool>,
    next_call: AtomicU64,
}

impl TcpTransport {
    /// Creates a transport that sends messages as `node`.
    pub fn new(node: Arc<LocalNode>, config: TransportConfig) -> Self {
        Self { node, config, idle: Sharded::default(), next_call: AtomicU64::new(1) }
    }

    /// Closes connections that have been idle for too long; to be called every few seconds.
    pub fn close_idle(&self) {
        let now = self.node.clock.now();
        self.idle.fold((), |(), pool| {
            pool.retain(|_, idle| {
                idle.retain(|idle| !idle.close_at.has_passed(now));
                !idle.is_empty()
            });
        });
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.idle.fold(0, |sum, pool| sum + pool.values().map(Vec::len).sum::<usize>())
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let now = self.node.clock.now();
        self.idle.with(&to, |pool| {
            let idle = pool.get_mut(&to)?;
            idle.retain(|idle| !idle.close_at.has_passed(now) && !idle.connection.is_stale());
            idle.pop().map(|idle| idle.connection)
        })
    }

    fn put_idle(&self, to: SocketAddr, connection: Connection) {
        let unused = Deadline::after_ms(self.node.clock.now(), self.config.idle_timeout_ms);
        let old = Deadline::after_ms(connection.opened_at(), self.config.max_age_ms);
        let close_at = unused.earlier(old);
        self.idle.with(&to, |pool| {
            let idle = pool.get_or_insert_with(to, Vec::new);
            if idle.len() < self.config.max_idle_per_address {
                idle.push(IdleConnection { connection, close_at });
            }
        });
    }

    fn frame(&self, call: u64, message: PeerMessage, deadline: Deadline) -> Frame {
        let remaining_ms = deadline.remaining_ms(self.node.clock.now());
        Frame { sender: self.node.sender.clone(), call, remaining_ms, message }
    }

    async fn connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(connection) = self.take_idle(to) {
            return Ok(connection);
        }
        let now = self.node.clock.now();
        Connection::open(to, now).await.map_err(|error| io_error(PeerErrorKind::Connect, &error))
    }

    async fn exchange(&self, to: SocketAddr, frame: Frame) -> Result<PeerReply, PeerError> {
        let call = frame.call;
        let mut connection = self.connection(to).await?;
        let lost = |error: std::io::Error| io_error(PeerErrorKind::Connection, &error);
        connection.write(frame.encode(), &self.node.counters).await.map_err(lost)?;
        let bytes = connection.read(&self.node.counters).await.map_err(lost)?;
        let Some(bytes) = bytes else {
            return Err(PeerError::new(PeerErrorKind::Connection, "closed before the reply"));
        };
        let reply = Frame::decode(&bytes)?;
        if reply.call != call {
            return Err(PeerError::new(PeerErrorKind::Protocol, "the reply is to another call"));
        }
        if !self.node.incarnations.accept(&reply.sender.node, reply.sender.incarnation) {
            let detail = reply.sender.node.to_string();
            return Err(PeerError::new(PeerErrorKind::OldIncarnation, detail));
        }
        self.put_idle(to, connection);
        Ok(PeerReply { sender: reply.sender, message: reply.message })
    }
}

#[async_trait]
impl PeerTransport for TcpTransport {
    async fn send(&self, to: SocketAddr, message: PeerMessage) -> Result<(), PeerError> {
        let deadline = Deadline::after_ms(self.node.clock.now(), self.config.send_timeout_ms);
        let frame = self.frame(0, message, deadline);
        let sending = async {
            let mut connection = self.connection(to).await?;
            let written = connection.write(frame.encode(), &self.node.counters).await;
            written.map_err(|error| io_error(PeerErrorKind::Connection, &error))?;
            self.put_idle(to, connection);
            Ok(())
        };
        with_timeout_error(&*self.node.clock, deadline, sending).await
    }

    async fn call(
        &self,
        to: SocketAddr,
        message: PeerMessage,
        deadline: Deadline,
    ) -> Result<PeerReply, PeerError> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let frame = self.frame(call, message, deadline);
        // Dropping the exchange at the deadline closes its connection, so that a late reply cannot
        // be taken for the reply to a later call.
        let result =
            with_timeout_error(&*self.node.clock, deadline, self.exchange(to, frame)).await;
        if result.as_ref().is_err_and(|error| error.kind() == PeerErrorKind::Timeout) {
            // The other idle connections to the node may be dead for the same reason.
            self.idle.with(&to, |pool| pool.remove(&to));
        }
        result
    }
}

/// Waits for `exchange` until the deadline, whose passing becomes an error of kind `Timeout`.
async fn with_timeout_error<T>(
    clock: &dyn Clock,
    deadline: Deadline,
    exchange: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    match with_deadline(clock, deadline, exchange).await {
        Ok(result) => result,
        Err(expired) => Err(PeerError::new(PeerErrorKind::Timeout, expired.to_string())),
    }
}

fn io_error(kind: PeerErrorKind, error: &std::io::Error) -> PeerError {
    PeerError::new(kind, error.to_string())
}
