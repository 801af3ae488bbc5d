//! Tests of the HTTP interface and its client.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use async_std::net::TcpListener;
use async_std::task::block_on;
use async_trait::async_trait;
use yuccapass_decisions::change::Command;
use yuccapass_http::{ServerConfig, StopController, serve, stop_pair};
use yuccapass_operators::{
    Acceptance, CommandClient, CommandHandler, CommandOutcome, CommandReply, CommandRequest,
    OperatorLimits, Query, Refusal, SendError, Table, build_app,
};
use yuccapass_types::{CommandId, KeyHash, MonotonicClock, ResultCode, Revision};

const KEY: &str = "operator-key";

/// A handler that gives one answer and records the commands.
struct FakeHandler {
    answer: CommandOutcome,
    commands: Mutex<Vec<(Command, bool)>>,
}

#[async_trait]
impl CommandHandler for FakeHandler {
    async fn query(&self, query: &Query) -> Result<Table, Refusal> {
        let mut table = Table::new(Revision::new(7), &["query"]);
        table.rows.push(vec![query.to_string().into()]);
        Ok(table)
    }

    async fn command(&self, command: Command, dry_run: bool) -> CommandOutcome {
        self.commands.lock().unwrap().push((command, dry_run));
        self.answer.clone()
    }
}

fn accepted() -> CommandOutcome {
    CommandOutcome::Accepted(Acceptance {
        revision: Revision::new(8),
        description: "take zone a out".into(),
        in_force_nodes: 3,
        known_nodes: 4,
        repeated: false,
        dry_run: false,
    })
}

/// A node with a fake handler on a loopback address.
struct Node {
    address: SocketAddr,
    handler: Arc<FakeHandler>,
    _stop: StopController,
}

fn start_node(answer: CommandOutcome) -> Node {
    let handler = Arc::new(FakeHandler { answer, commands: Mutex::default() });
    let listener = block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let clock = Arc::new(MonotonicClock::new());
    let keys = vec![KeyHash::of_key(KEY)];
    let app = build_app(handler.clone(), keys, OperatorLimits::default(), clock);
    let (stop, signal) = stop_pair();
    let config = ServerConfig::new(|_| (503, String::new()));
    async_std::task::spawn(serve(listener, app, config, signal));
    Node { address, handler, _stop: stop }
}

/// An address on which nothing listens.
fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// A node that closes each connection after the first bytes of a request.
fn start_broken_node() -> SocketAddr {
    let listener = block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.peek(&mut [0]).await;
        }
    });
    address
}

fn send(nodes: &[SocketAddr], key: &str, command: &str) -> Result<CommandReply, SendError> {
    let client = CommandClient::new(nodes, key, 30_000, Arc::new(MonotonicClock::new()));
    let command_id: CommandId = "c1".parse().unwrap();
    block_on(client.send(&CommandRequest {
        command: command.into(),
        command_id: Some(command_id),
        expected_revision: Some(Revision::new(6)),
        dry_run: true,
    }))
}

/// Guards against a command whose id, expected revision or dry-run flag does not reach the handler.
#[test]
fn command_reaches_the_handler_whole() {
    // Arrange
    let node = start_node(accepted());

    // Act
    let reply = send(&[node.address], KEY, "take zone a out").unwrap();

    // Assert
    assert_eq!(reply, CommandReply::from(accepted()));
    let commands = node.handler.commands.lock().unwrap();
    let (command, dry_run) = &commands[0];
    assert_eq!(command.change.to_string(), "take zone a out");
    assert_eq!((command.id.as_str(), command.expected_revision), ("c1", Some(Revision::new(6))));
    assert!(dry_run);
}

/// Guards against accepting a command without a valid operator's key.
#[test]
fn unknown_key_is_refused() {
    // Arrange
    let node = start_node(accepted());

    // Act
    let reply = send(&[node.address], "wrong", "take zone a out").unwrap();

    // Assert
    assert_eq!(reply, CommandReply::Refused(Refusal::new(ResultCode::Unauthorised)));
    assert!(node.handler.commands.lock().unwrap().is_empty());
}

/// Guards against a query that reaches the handler changed, and against a parse error whose text
/// does not reach the operator.
#[test]
fn queries_and_parse_errors_are_answered() {
    // Arrange
    let node = start_node(accepted());

    // Act
    let answer = send(&[node.address], KEY, "show zones where state is out").unwrap();
    let error = send(&[node.address], KEY, "show zones where").unwrap();

    // Assert
    let CommandReply::Answer(table) = answer else { panic!("{answer:?}") };
    assert_eq!(table.rows, [["show zones where state is out"]]);
    let CommandReply::Refused(refusal) = error else { panic!("{error:?}") };
    assert_eq!(refusal.code, ResultCode::InvalidCommand);
    assert!(refusal.bound.contains("at character 17"), "{}", refusal.bound);
}

/// Guards against a command that fails because one node is unavailable.
#[test]
fn next_node_is_asked_with_the_same_id() {
    // Arrange
    let unavailable = CommandOutcome::Refused(Refusal::new(ResultCode::PlatformUnavailable));
    let (first, second) = (start_node(unavailable), start_node(accepted()));
    let nodes = [unused_address(), start_broken_node(), first.address, second.address];

    // Act
    let reply = send(&nodes, KEY, "take zone a out").unwrap();

    // Assert
    assert!(matches!(reply, CommandReply::Accepted(_)));
    let id_of = |node: &Node| node.handler.commands.lock().unwrap()[0].0.id.clone();
    assert_eq!(id_of(&first), id_of(&second));
}

/// Guards against reporting a refusal although another node may have executed the command.
#[test]
fn lost_reply_makes_the_outcome_unknown() {
    // Arrange
    let refused = CommandOutcome::Refused(Refusal::new(ResultCode::InvalidConfiguration));
    let node = start_node(refused);

    // Act
    let after_loss = send(&[start_broken_node(), node.address], KEY, "take zone a out").unwrap();
    let unreachable = send(&[unused_address()], KEY, "take zone a out");

    // Assert
    assert!(matches!(after_loss, CommandReply::Unknown(refusal)
        if refusal.code == ResultCode::CommandOutcomeUnknown));
    assert!(unreachable.is_err());
}
