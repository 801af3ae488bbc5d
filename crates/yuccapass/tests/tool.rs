//! Tests that run the tool as a process against a node with a fake handler.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Command as Process, Output, Stdio};
use std::sync::{Arc, Mutex};

use async_std::net::TcpListener;
use async_std::task::block_on;
use async_trait::async_trait;
use serde_json::Value;
use yuccapass_decisions::change::{Change, Command, ExecuteError, ExecuteOutcome, execute};
use yuccapass_decisions::config::{ActiveConfig, Document};
use yuccapass_http::{ServerConfig, StopController, serve, stop_pair};
use yuccapass_operators::{
    Acceptance, CommandHandler, CommandOutcome, OperatorLimits, Query, Refusal, Table, build_app,
    show_document,
};
use yuccapass_types::{KeyHash, MonotonicClock, ResultCode};

const KEY: &str = "operator-key";

/// A command handler that keeps a configuration in memory.
struct FakeNode {
    config: Mutex<ActiveConfig>,
    /// The answer to every command, if commands are not to be executed.
    fixed_answer: Option<CommandOutcome>,
    rollout_queries: Mutex<u32>,
}

#[async_trait]
impl CommandHandler for FakeNode {
    async fn query(&self, query: &Query) -> Result<Table, Refusal> {
        let config = self.config.lock().unwrap();
        match query {
            Query::Show { subject, filters } => show_document(&config, *subject, filters)
                .ok_or_else(|| Refusal::new(ResultCode::NotFound)),
            Query::Rollout(_) => {
                let mut queries = self.rollout_queries.lock().unwrap();
                *queries += 1;
                let mut table = Table::new(config.manifest().revision, &["replicas done"]);
                table.rows.push(vec![queries.to_string().into()]);
                table.finished = *queries == 2;
                Ok(table)
            }
        }
    }

    async fn command(&self, command: Command, dry_run: bool) -> CommandOutcome {
        if let Some(answer) = &self.fixed_answer {
            return answer.clone();
        }
        let mut config = self.config.lock().unwrap();
        let (revision, repeated) = match execute(&config, &command) {
            Ok(ExecuteOutcome::Write(next)) => {
                let revision = next.config.manifest().revision;
                if !dry_run {
                    *config = next.config;
                }
                (revision, false)
            }
            Ok(ExecuteOutcome::Repeated(revision)) => (revision, true),
            Ok(ExecuteOutcome::Unchanged(revision)) => (revision, false),
            Err(ExecuteError::Refused { error }) => {
                return CommandOutcome::Refused(Refusal::from(&error));
            }
            Err(ExecuteError::Conflict { conflict }) => {
                return CommandOutcome::Conflict((&*conflict).into());
            }
        };
        CommandOutcome::Accepted(Acceptance {
            revision,
            description: command.change.to_string().into(),
            in_force_nodes: 1,
            known_nodes: 1,
            repeated,
            dry_run,
        })
    }
}

struct Node {
    address: SocketAddr,
    node: Arc<FakeNode>,
    _stop: StopController,
}

fn start_node(fixed_answer: Option<CommandOutcome>) -> Node {
    let config = Mutex::new(ActiveConfig::from_document(Document::default()).unwrap());
    let node = Arc::new(FakeNode { config, fixed_answer, rollout_queries: Mutex::default() });
    let listener = block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let keys = vec![KeyHash::of_key(KEY)];
    let clock = Arc::new(MonotonicClock::new());
    let app = build_app(node.clone(), keys, OperatorLimits::default(), clock);
    let (stop, signal) = stop_pair();
    let config = ServerConfig::new(|_| (503, String::new()));
    async_std::task::spawn(serve(listener, app, config, signal));
    Node { address, node, _stop: stop }
}

/// Runs the tool; `arguments` are separated by spaces.
fn run(node: SocketAddr, arguments: &str, input: &str) -> Output {
    let mut process = Process::new(env!("CARGO_BIN_EXE_yuccapass"))
        .arg(format!("--node={node}"))
        .args(arguments.split(' ').filter(|word| !word.is_empty()))
        .env("YUCCAPASS_KEY", KEY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    process.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    process.wait_with_output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

const CREATE: &str = "create organisation fitters with share 2 and limit 5000 tokens/s";

/// Guards against outcomes that a script cannot tell apart by the exit code.
#[test]
fn exit_codes_tell_outcomes_apart() {
    // Arrange
    let node = start_node(None);
    let unknown = CommandOutcome::Unknown(Refusal::new(ResultCode::CommandOutcomeUnknown));
    let unsure = start_node(Some(unknown));
    let unused = {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.local_addr().unwrap()
    };
    let cases = [
        (node.address, CREATE, 0),
        (node.address, CREATE, 1),
        (node.address, "set share of fitters", 2),
        (node.address, "--no-such-flag", 2),
        (node.address, "--expect-revision 0 set share of fitters to 3", 3),
        (unsure.address, "set share of fitters to 3", 4),
        (unused, "show zones", 5),
    ];
    for (address, arguments, expected) in cases {
        // Act
        let output = run(address, arguments, "");

        // Assert
        assert_eq!(output.status.code(), Some(expected), "{arguments}: {output:?}");
    }
}

/// Guards against a new key that is sent to the node, or that is not shown.
#[test]
fn new_key_is_shown_once_and_only_its_hash_is_sent() {
    // Arrange
    let node = start_node(None);
    run(node.address, CREATE, "");

    // Act
    let output = run(node.address, "--output json add key to fitters", "");

    // Assert
    let reply: Value = serde_json::from_slice(&output.stdout).unwrap();
    let key = reply["key"].as_str().unwrap();
    let config = node.node.config.lock().unwrap();
    assert_eq!(config.document().organisations[0].key_hashes, [KeyHash::of_key(key)]);
    assert_eq!(stdout(&output).matches(key).count(), 1);
}

/// Guards against sending lines although a later one is invalid, and against sending them in
/// another order.
#[test]
fn lines_of_standard_input_are_sent_in_order_or_not_at_all() {
    // Arrange
    let node = start_node(None);
    let wrong = format!("{CREATE}\nset share of fitters\n");
    let right = format!("# new\n{CREATE}\n\nset share of fitters to 3\nshow organisations\n");

    // Act
    let refused = run(node.address, "", &wrong);
    let done = run(node.address, "--command-id batch", &right);

    // Assert
    assert_eq!(refused.status.code(), Some(2));
    assert!(String::from_utf8(refused.stderr).unwrap().contains("line 2"));
    assert_eq!(done.status.code(), Some(0));
    let table = "\
organisation  share  limit          keys  model  service
fitters       3      5000 tokens/s  0
1 row at revision 2
";
    assert!(stdout(&done).ends_with(table), "{}", stdout(&done));
    let config = node.node.config.lock().unwrap();
    let ids: Vec<&str> =
        config.manifest().commands.iter().map(|command| command.id.as_str()).collect();
    assert_eq!(ids, ["batch-1", "batch-2"]);
}

/// Guards against a change by a repeated command or by a dry run.
#[test]
fn repeated_id_and_dry_run_change_nothing() {
    // Arrange
    let node = start_node(None);
    run(node.address, CREATE, "");
    run(node.address, "--command-id c2 set share of fitters to 3", "");

    // Act
    let repeated = run(node.address, "--output json --command-id c2 set share of fitters to 3", "");
    let dry_run = run(node.address, "--dry-run remove organisation fitters", "");

    // Assert
    let reply: Value = serde_json::from_slice(&repeated.stdout).unwrap();
    assert_eq!((&reply["result"], &reply["repeated"]), (&"accepted".into(), &true.into()));
    assert!(stdout(&dry_run).contains("nothing was written"));
    let config = node.node.config.lock().unwrap();
    assert_eq!(config.manifest().revision.get(), 2);
}

/// Guards against a conflict message that does not show the command that was accepted first.
#[test]
fn conflict_shows_the_other_change() {
    // Arrange
    let node = start_node(None);
    let organisation: yuccapass_types::OrganisationId = "fitters".parse().unwrap();
    let change = Change::RemoveOrganisation(organisation);
    run(node.address, CREATE, "");
    run(node.address, &change.to_string(), "");

    // Act
    let output = run(node.address, "--expect-revision 1 set share of fitters to 3", "");

    // Assert
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("`remove organisation fitters`, revision 2"), "{text}");
}

/// Guards against a watch that ends before the rollout is finished, or does not end.
#[test]
fn rollout_is_watched_until_it_is_finished() {
    // Arrange
    let node = start_node(None);

    // Act
    let output = run(node.address, "watch rollout of clip-models", "");

    // Assert
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(stdout(&output).matches("replicas done").count(), 2);
}

/// Guards against help that needs a connection to a node.
#[test]
fn help_needs_no_node() {
    // Arrange
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));

    // Act
    let output = run(address, "help approve", "");

    // Assert
    assert!(stdout(&output).starts_with("approve ORGANISATION for"));
}
