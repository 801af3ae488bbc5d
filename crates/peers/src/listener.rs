//! Accepts connections and handles messages from other nodes.

use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Sender as DoneSender, bounded};
use async_std::net::TcpListener;
use async_std::task;
use async_trait::async_trait;
use futures::future::{Either, select};
use futures::pin_mut;
use yuccapass_http::StopSignal;
use yuccapass_types::Deadline;

use crate::connection::Connection;
use crate::local_node::LocalNode;
use crate::message::{Frame, PeerMessage, Sender};

/// Pause after a failed accept, which is usually caused by too many open files.
const ACCEPT_RETRY_MS: u64 = 50;

/// A handler of messages from other nodes.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles a message; the result is sent back if the sender waits for a reply until `deadline`.
    async fn handle(
        &self,
        from: Sender,
        message: PeerMessage,
        deadline: Deadline,
    ) -> Option<PeerMessage>;
}

/// Settings of [`serve`].
#[derive(Debug, Clone, Copy)]
pub struct ListenerConfig {
    idle_timeout_ms: u64,
    max_connections: usize,
}

impl Default for ListenerConfig {
    fn default() -> Self {
        Self { idle_timeout_ms: 60_000, max_connections: 4_096 }
    }
}

impl ListenerConfig {
    /// Sets how long a connection may stay open without a frame; 60 s by default.
    pub fn idle_timeout_ms(mut self, ms: u64) -> Self {
        self.idle_timeout_ms = ms;
        self
    }

    /// Sets how many connections may be open; 4,096 by default.
    pub fn max_connections(mut self, count: usize) -> Self {
        self.max_connections = count;
        self
    }
}

/// State that all connections of a listener share.
struct ListenerState {
    node: Arc<LocalNode>,
    handler: Arc<dyn PeerHandler>,
    config: ListenerConfig,
    stop: StopSignal,
}

/// Accepts connections and handles their messages until the stop signal is closed; returns once the
/// messages that are being handled then are done.
pub async fn serve(
    listener: TcpListener,
    node: Arc<LocalNode>,
    handler: Arc<dyn PeerHandler>,
    config: ListenerConfig,
    stop: StopSignal,
) {
    let state = Arc::new(ListenerState { node, handler, config, stop });
    // Each connection holds a sender; `recv` returns once the last one is dropped.
    let (done_sender, done_receiver) = bounded::<()>(1);
    loop {
        let accepting = listener.accept();
        let closing = state.stop.closed();
        pin_mut!(accepting, closing);
        match select(closing, accepting).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, _)), _)) => {
                // One of the senders belongs to this function.
                if done_sender.sender_count() <= config.max_connections {
                    let connection = Connection::new(stream, state.node.clock.now());
                    task::spawn(serve_connection(
                        Arc::clone(&state),
                        connection,
                        done_sender.clone(),
                    ));
                }
            }
            Either::Right((Err(error), _)) => {
                log::warn!("accepting a connection from another node failed: {error}");
                task::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
    drop(listener);
    drop(done_sender);
    // Nothing is ever sent, so this returns with an error when the last connection is done.
    let _ = done_receiver.recv().await;
}

async fn serve_connection(
    state: Arc<ListenerState>,
    mut connection: Connection,
    _done: DoneSender<()>,
) {
    while let Some(frame) = state.next_frame(&mut connection).await {
        if let Some(reply) = state.handle(frame).await
            && !state.write(&mut connection, reply).await
        {
            return;
        }
    }
}

impl ListenerState {
    /// Waits for a valid frame; returns `None` if the connection is to be closed.
    async fn next_frame(&self, connection: &mut Connection) -> Option<Frame> {
        let reading = connection.read(&self.node.counters);
        let closing = self.stop.closed();
        pin_mut!(reading, closing);
        let idle_timeout = Duration::from_millis(self.config.idle_timeout_ms);
        let arrived = async_std::future::timeout(idle_timeout, select(closing, reading)).await;
        let Ok(Either::Right((Ok(Some(bytes)), _))) = arrived else { return None };
        match Frame::decode(&bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!("closing a connection after a malformed frame: {error}");
                None
            }
        }
    }

    /// Handles a frame; returns the reply if the sender waits for one.
    async fn handle(&self, frame: Frame) -> Option<Frame> {
        let Frame { sender, call, remaining_ms, message } = frame;
        if !self.node.incarnations.accept(&sender.node, sender.incarnation) {
            log::info!("dropping a frame of an older process of node {}", sender.node);
            return None;
        }
        let deadline = Deadline::after_ms(self.node.clock.now(), remaining_ms);
        let message = self.handler.handle(sender, message, deadline).await?;
        (call != 0).then(|| Frame {
            sender: self.node.sender.clone(),
            call,
            remaining_ms: 0,
            message,
        })
    }

    async fn write(&self, connection: &mut Connection, reply: Frame) -> bool {
        let writing = connection.write(reply.encode(), &self.node.counters);
        let timeout = Duration::from_millis(self.config.idle_timeout_ms);
        matches!(async_std::future::timeout(timeout, writing).await, Ok(Ok(())))
    }
}
