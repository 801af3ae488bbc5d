//! Tests of connections between nodes, over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::channel::{Receiver, Sender as Channel, unbounded};
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use async_trait::async_trait;
use futures::future::pending;
use futures::{AsyncReadExt, AsyncWriteExt};
use yuccapass_decisions::permits::PermitReply;
use yuccapass_http::{StopController, stop_pair};
use yuccapass_peers::{
    ConfigRequest, ListenerConfig, LocalNode, PeerErrorKind, PeerHandler, PeerMessage,
    PeerTransport, Sender, TcpTransport, TransportConfig, serve,
};
use yuccapass_types::{Clock, Deadline, Incarnation, Instant, MonotonicClock, Revision};

/// Answers every message except [`unanswered`], and reports each message to the test.
struct Handler {
    seen: Channel<(Sender, PeerMessage)>,
    /// If present, each answer waits for a message from the test.
    gate: Option<Receiver<()>>,
}

#[async_trait]
impl PeerHandler for Handler {
    async fn handle(
        &self,
        from: Sender,
        message: PeerMessage,
        _deadline: Deadline,
    ) -> Option<PeerMessage> {
        let is_silent = message == unanswered();
        self.seen.send((from, message)).await.unwrap();
        if is_silent {
            return pending().await;
        }
        if let Some(gate) = &self.gate {
            gate.recv().await.unwrap();
        }
        Some(PeerMessage::PermitReply(PermitReply::Full))
    }
}

struct Server {
    address: SocketAddr,
    node: Arc<LocalNode>,
    seen: Receiver<(Sender, PeerMessage)>,
    stop: StopController,
    running: JoinHandle<()>,
}

fn node(name: &str, incarnation: u64) -> Arc<LocalNode> {
    let sender = Sender { node: name.parse().unwrap(), incarnation: Incarnation::new(incarnation) };
    Arc::new(LocalNode::new(sender, Arc::new(MonotonicClock::new())))
}

async fn server(gate: Option<Receiver<()>>) -> Server {
    let (seen_sender, seen) = unbounded();
    let handler = Handler { seen: seen_sender, gate };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, signal) = stop_pair();
    let node = node("server", 1);
    let config = ListenerConfig::default();
    let running =
        task::spawn(serve(listener, Arc::clone(&node), Arc::new(handler), config, signal));
    Server { address, node, seen, stop, running }
}

fn transport(incarnation: u64) -> TcpTransport {
    TcpTransport::new(node("client", incarnation), TransportConfig::default())
}

/// A message that the handler answers.
fn question() -> PeerMessage {
    request(Revision::new(1))
}

/// A message that the handler never answers.
fn unanswered() -> PeerMessage {
    request(Revision::new(2))
}

fn request(revision: Revision) -> PeerMessage {
    PeerMessage::ConfigRequest(ConfigRequest { revision, chunk: None, offset_bytes: 0 })
}

/// A deadline that passes only if the test fails.
fn generous() -> Deadline {
    Deadline::after_ms(Instant::from_ms(0), 60_000)
}

/// Guards against a new connection for each message, and against counters that miss messages.
#[test]
fn calls_share_a_connection_and_are_counted() {
    task::block_on(async {
        // Arrange
        let server = server(None).await;
        let client_node = node("client", 1);
        let transport = TcpTransport::new(Arc::clone(&client_node), TransportConfig::default());

        // Act
        transport.send(server.address, question()).await.unwrap();
        for _ in 0..3 {
            let reply = transport.call(server.address, question(), generous()).await.unwrap();
            assert_eq!(reply.sender.node.as_str(), "server");
        }

        let idle_connections = transport.idle_connections();
        // A reply is counted once it was written, and the caller may have read it by then.
        server.stop.close();
        server.running.await;

        // Assert
        let (sent, received) = (client_node.counters().traffic(), server.node.counters().traffic());
        assert_eq!(idle_connections, 1);
        assert_eq!((sent.sent_messages, sent.received_messages), (4, 3));
        assert_eq!((received.received_messages, received.received_bytes), (4, sent.sent_bytes));
        assert_eq!(received.sent_bytes, sent.received_bytes);
    });
}

/// Guards against reusing a connection on which a reply did not arrive before its deadline.
#[test]
fn passed_deadline_closes_the_connection_and_a_new_one_works() {
    task::block_on(async {
        // Arrange
        let server = server(None).await;
        let transport = transport(1);
        let clock = MonotonicClock::new();

        // Act
        let short = Deadline::after_ms(clock.now(), 50);
        let first = transport.call(server.address, unanswered(), short).await;
        let idle_connections = transport.idle_connections();
        let second = transport.call(server.address, question(), generous()).await;

        // Assert
        assert_eq!(first.unwrap_err().kind(), PeerErrorKind::Timeout);
        assert_eq!(idle_connections, 0);
        assert!(second.is_ok());
    });
}

/// Guards against handling messages of a process that has been replaced by a newer one.
#[test]
fn frames_of_an_older_incarnation_are_dropped() {
    task::block_on(async {
        // Arrange
        let server = server(None).await;
        let (clock, old, new) = (MonotonicClock::new(), transport(1), transport(2));
        old.call(server.address, question(), generous()).await.unwrap();
        new.call(server.address, question(), generous()).await.unwrap();

        // Act
        let short = Deadline::after_ms(clock.now(), 300);
        let late = old.call(server.address, question(), short).await;
        new.call(server.address, question(), generous()).await.unwrap();

        // Assert
        let mut senders = Vec::new();
        while let Ok((sender, _)) = server.seen.try_recv() {
            senders.push(sender.incarnation.get());
        }
        assert!(late.is_err());
        assert_eq!(senders, [1, 2, 2]);
    });
}

/// Guards against a stop that aborts a message that is being handled, or that waits for idle
/// connections.
#[test]
fn stop_finishes_what_is_being_handled() {
    task::block_on(async {
        // Arrange
        let (open_gate, gate) = unbounded();
        let server = server(Some(gate)).await;
        let (busy, idle) = (Arc::new(transport(1)), transport(1));
        open_gate.send(()).await.unwrap();
        idle.call(server.address, question(), generous()).await.unwrap();
        let address = server.address;
        let caller = Arc::clone(&busy);
        let call = task::spawn(async move { caller.call(address, question(), generous()).await });
        server.seen.recv().await.unwrap();
        server.seen.recv().await.unwrap();

        // Act
        server.stop.close();
        open_gate.send(()).await.unwrap();
        let reply = call.await;
        server.running.await;

        // Assert
        assert!(reply.is_ok());
        let after = idle.call(server.address, question(), generous()).await;
        assert!(after.is_err());
    });
}

/// Guards against a peer that makes this node buffer a frame above the size limit.
#[test]
fn oversized_frame_closes_the_connection() {
    task::block_on(async {
        // Arrange
        let server = server(None).await;
        let mut stream = async_std::net::TcpStream::connect(server.address).await.unwrap();

        // Act
        stream.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
        let end = async_std::future::timeout(Duration::from_secs(60), stream.read(&mut [0])).await;

        // Assert
        assert!(matches!(end, Ok(Ok(0) | Err(_))));
        assert_eq!(server.node.counters().traffic().received_messages, 0);
    });
}

/// A clock that the test sets.
#[derive(Default)]
struct SetClock(AtomicU64);

impl Clock for SetClock {
    fn now(&self) -> Instant {
        Instant::from_ms(self.0.load(Ordering::SeqCst))
    }
}

/// Guards against unused connections that are never closed.
#[test]
fn idle_connections_are_closed() {
    task::block_on(async {
        // Arrange
        let server = server(None).await;
        let clock = Arc::new(SetClock::default());
        let sender = Sender { node: "client".parse().unwrap(), incarnation: Incarnation::new(1) };
        let node = Arc::new(LocalNode::new(sender, Arc::clone(&clock) as Arc<dyn Clock>));
        let transport = TcpTransport::new(node, TransportConfig::default());
        transport.call(server.address, question(), Deadline::NEVER).await.unwrap();
        let mut counts = Vec::new();

        // Act
        for ms in [29_999, 30_000] {
            clock.0.store(ms, Ordering::SeqCst);
            transport.close_idle();
            counts.push(transport.idle_connections());
        }

        // Assert
        assert_eq!(counts, [1, 0]);
    });
}
