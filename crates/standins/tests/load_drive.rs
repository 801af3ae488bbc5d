//! The driver of a load run with a fake caller, and the HTTP caller with a real connection.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Instant;

use async_std::task::block_on;
use async_trait::async_trait;
use serde_json::json;
use yuccapass_openai::{Api, prompt_bytes};
use yuccapass_standins::engine::answer_text;
use yuccapass_standins::load::caller::{Call, CallResult, Caller, HttpCaller};
use yuccapass_standins::load::check::ViolationKind;
use yuccapass_standins::load::drive::{Driver, RunConfig, RunOutput};
use yuccapass_standins::load::expectation::expected_digest;
use yuccapass_standins::load::record::Outcome;
use yuccapass_standins::load::schedule::PlannedTurn;
use yuccapass_standins::load::workload::{Preset, Workload};
use yuccapass_types::{MonotonicClock, Tokens};

const NODES: usize = 3;

/// Answers at once, as if the organisation in `organisation` had sent the request.
struct FakeCaller {
    organisation: &'static str,
    outcome: Outcome,
    calls: Mutex<Vec<Call>>,
}

impl FakeCaller {
    fn new(organisation: &'static str, outcome: Outcome) -> Arc<Self> {
        Arc::new(Self { organisation, outcome, calls: Mutex::default() })
    }
}

#[async_trait]
impl Caller for FakeCaller {
    async fn call(&self, call: &Call) -> CallResult {
        self.calls.lock().unwrap().push(call.clone());
        let organisation = self.organisation.parse().unwrap();
        let model = call.body["model"].as_str().unwrap().parse().unwrap();
        let prompt = prompt_bytes(Api::Chat, &call.body).unwrap();
        let digest = expected_digest(&organisation, &model, &"v1".parse().unwrap(), &prompt);
        let length = call.body["max_tokens"].as_u64().unwrap();
        CallResult {
            nodes: Vec::new(),
            request_id: None,
            token_times_us: vec![1],
            text: (0..length).map(|offset| answer_text(&digest, offset)).collect(),
            outcome: self.outcome.clone(),
        }
    }
}

fn turn(number: u64, turn: u32) -> PlannedTurn {
    PlannedTurn {
        number,
        at_us: 0,
        conversation: 0,
        turn,
        organisation: 0,
        class: 0,
        is_ledger: true,
        is_repeatable: false,
        resend_after_us: None,
        question_bytes: 100,
        answer_tokens: Tokens::new(3),
    }
}

fn run(caller: Arc<FakeCaller>, turns: Vec<PlannedTurn>, expects_broken: bool) -> RunOutput {
    let config = RunConfig {
        workload: Workload::preset(Preset::Society),
        seed: 1,
        run_id: "s1".to_owned(),
        versions: vec!["v1".parse().unwrap()],
        node_count: NODES,
        expects_broken_connections: expects_broken,
    };
    block_on(Driver::new(config, caller, Instant::now()).run(turns))
}

/// Guards against a resent request that differs from the first one or goes to the same node.
#[test]
fn a_request_is_sent_again_with_its_key_to_another_node() {
    // Arrange
    let caller = FakeCaller::new("society-0", Outcome::Answered);
    let turns = vec![PlannedTurn { resend_after_us: Some(1), ..turn(0, 0) }];

    // Act
    let output = run(caller.clone(), turns, false);

    // Assert
    assert_eq!(output.violations, []);
    assert_eq!(output.records.iter().filter(|record| record.is_resent).count(), 1);
    let calls = caller.calls.lock().unwrap();
    let [first, second] = calls.as_slice() else { panic!("{} calls", calls.len()) };
    assert_eq!((&first.body, &first.idempotency_key), (&second.body, &second.idempotency_key));
    assert!(first.idempotency_key.is_some() && !first.is_repeatable);
    assert_ne!(first.first_node, second.first_node);
}

/// Guards against a driver that accepts the answer of another organisation.
#[test]
fn the_driver_finds_an_answer_of_another_organisation() {
    // Act
    let output = run(FakeCaller::new("society-1", Outcome::Answered), vec![turn(0, 0)], false);

    // Assert
    assert_eq!(output.violations[0].kind, ViolationKind::ForeignAnswer);
    assert!(output.violations[0].detail.contains("society-1"));
}

/// Guards against a driver that misses a broken connection, or reports one as a violation although
/// the fault script signals processes.
#[test]
fn a_broken_connection_is_a_violation_unless_processes_are_signalled() {
    // Arrange
    let caller = || FakeCaller::new("society-0", Outcome::Broken { detail: "cut".to_owned() });

    // Act
    let (unexpected, expected) =
        (run(caller(), vec![turn(0, 0)], false), run(caller(), vec![turn(0, 0)], true));

    // Assert
    assert_eq!(unexpected.violations[0].kind, ViolationKind::UnannouncedEnd);
    assert_eq!(expected.violations, []);
}

/// Guards against a caller that gives up at a node that is down, or loses tokens of an answer.
#[test]
fn a_node_that_is_down_is_followed_by_the_next() {
    // Arrange
    let fixture = common::start_engine(common::fast_config());
    let engine = fixture.server.address;
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let clock = Arc::new(MonotonicClock::new());
    let caller = HttpCaller::new(&[unused, engine], clock, Instant::now());
    let call = Call {
        body: json!({
            "model": "clip-models", "max_tokens": 4, "stream": true,
            "messages": [{"role": "user", "content": "Are these clips sound?"}],
        }),
        key: "key".to_owned(),
        class: "driver".parse().unwrap(),
        idempotency_key: None,
        is_repeatable: true,
        deadline_ms: 60_000,
        first_node: 0,
    };

    // Act
    let result = block_on(caller.call(&call));

    // Assert
    assert_eq!(result.outcome, Outcome::Answered);
    assert_eq!(result.nodes, [unused.to_string(), engine.to_string()]);
    assert_eq!(result.text.split_whitespace().count(), 4);
    assert_eq!(result.token_times_us.len(), 4);
}
