//! Rollouts of a weight version, with nodes, engines and platform as separate processes.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant as StdInstant};

use async_std::task::block_on;
use common::{
    APPROVED_KEY, Deployment, Plan, assert_whole, chat_request, engine_client, operate,
    post_faults, read_stream, send, start,
};
use serde_json::{Value, json};
use yuccapass_endpoints::{EndpointState, LoadReport, ModelEndpoint};
use yuccapass_platform::{HttpKeyValue, KeyValue, PlatformTransportConfig};
use yuccapass_types::{Deadline, MonotonicClock};

/// How long a rollout may take, with a lease that has to end in between; generous, since the
/// machine may be busy.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(180);

/// `max_swapping_replicas` of the model in the configuration of the fixtures.
const MAX_OUT: usize = 3;

/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 20;

fn start_six_engines(extra_engine_flags: &[&str], node_flags: &[&str]) -> Deployment {
    let mut engine_flags = vec!["--token-time-ms", "5", "--swap-ms", "300"];
    engine_flags.extend(extra_engine_flags);
    start(&Plan {
        engines: 6,
        engine_flags: &engine_flags,
        nodes: 3,
        node_flags,
        has_platform: true,
        ..Plan::default()
    })
}

/// Waits until a condition holds, for as long as a rollout may take.
fn wait_rollout(what: &str, mut condition: impl FnMut() -> bool) {
    let start = StdInstant::now();
    while !condition() {
        assert!(start.elapsed() < ROLLOUT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Reads the report of an engine, if it runs.
fn report(address: SocketAddr) -> Option<LoadReport> {
    block_on(engine_client(address).load_report(Deadline::NEVER)).ok()
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.engines.iter().map(|engine| engine.address).collect()
}

fn out_of_service(engines: &[SocketAddr]) -> Vec<bool> {
    let is_out =
        |engine: &SocketAddr| report(*engine).is_some_and(|r| r.state == EndpointState::Leaving);
    engines.iter().map(is_out).collect()
}

/// Whether all engines serve a version.
fn all_serve(engines: &[SocketAddr], version: &str) -> bool {
    engines.iter().all(|engine| {
        report(*engine).is_some_and(|report| {
            report.version.as_str() == version && report.state == EndpointState::Warm
        })
    })
}

/// What was seen of the engines and the requests while an action ran.
struct Observed {
    most_out: usize,
    answers: usize,
}

/// Sends requests to all nodes that `callers` names, and reads the reports of the engines, while
/// `action` runs. Each answer has to be whole.
fn observe(deployment: &Deployment, callers: &[usize], action: impl FnOnce()) -> Observed {
    let is_over = AtomicBool::new(false);
    let (most_out, answers) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let engines = addresses(deployment);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut earlier = out_of_service(&engines);
            while !is_over.load(Ordering::Relaxed) {
                let now = out_of_service(&engines);
                // The reports are read one after another. Those that were out in both readings
                // were out together between them.
                let both = earlier.iter().zip(&now).filter(|(a, b)| **a && **b).count();
                most_out.fetch_max(both, Ordering::Relaxed);
                earlier = now;
            }
        });
        for node in callers {
            scope.spawn(|| {
                let client = deployment.caller(*node);
                while !is_over.load(Ordering::Relaxed) {
                    let request = chat_request(&client, APPROVED_KEY, ANSWER_TOKENS, true);
                    let mut exchange = send(&client, request);
                    if !exchange.response().status().is_success() {
                        panic!("a request was refused: {}", common::read_json(exchange));
                    }
                    let (texts, is_done) = read_stream(&mut exchange);
                    assert!(is_done, "the end of an answer is missing");
                    assert_whole(&texts, ANSWER_TOKENS as usize);
                    answers.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        // A failed action must not leave the threads running.
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(action));
        is_over.store(true, Ordering::Relaxed);
        if let Err(panic) = result {
            std::panic::resume_unwind(panic);
        }
    });
    Observed { most_out: most_out.into_inner(), answers: answers.into_inner() }
}

fn use_version(deployment: &Deployment, node: usize, version: &str) {
    let command = format!("use version {version} of clip-models");
    let answer = operate(deployment.nodes[node].admin_address, &command, &format!("to-{version}"));
    assert_eq!(answer["result"], "accepted", "{answer}");
}

fn watch(deployment: &Deployment, node: usize) -> Value {
    operate(deployment.nodes[node].admin_address, "watch rollout of clip-models", "unused")
}

/// Returns the number of the node that drives the rollout.
fn driver(deployment: &Deployment) -> Option<usize> {
    let address = deployment.platform.as_ref().unwrap().address;
    let clock = Arc::new(MonotonicClock::new());
    let platform = HttpKeyValue::new(&PlatformTransportConfig::new(vec![address]), clock);
    let key = "yuccapass/rollouts/clip-models/lock/holder".parse().unwrap();
    let entry = block_on(platform.get(&key, Deadline::NEVER)).unwrap().entry?;
    let node = String::from_utf8(entry.value.as_bytes().to_vec()).unwrap();
    node.strip_prefix("node-")?.parse().ok()
}

/// Guards against a rollout that loses requests, cuts answers, or takes out too many replicas.
#[test]
fn requests_are_answered_whole_during_a_rollout() {
    // Arrange
    let deployment = start_six_engines(&[], &[]);
    let engines = addresses(&deployment);

    // Act
    let observed = observe(&deployment, &[0, 0, 1, 1, 2, 2], || {
        use_version(&deployment, 2, "v2");
        wait_rollout("the rollout does not finish", || {
            all_serve(&engines, "v2") && watch(&deployment, 2)["finished"] == true
        });
    });

    // Assert
    assert!((1..=MAX_OUT).contains(&observed.most_out), "{} were out", observed.most_out);
    assert!(observed.answers > 0);
}

/// Guards against a rollout that ends with its driver, also if the engines do not keep orders of a
/// former driver away.
fn driver_killed(engine_flags: &[&str]) {
    // Arrange
    let mut deployment = start_six_engines(engine_flags, &[]);
    let engines = addresses(&deployment);
    use_version(&deployment, 2, "v2");
    wait_rollout("no replica is taken out", || out_of_service(&engines).contains(&true));
    let killed = driver(&deployment).expect("a replica is out while nobody drives");

    // Act
    deployment.nodes[killed].process.signal("KILL");
    deployment.nodes[killed].process.wait();
    let other = (killed + 1) % 3;
    let observed = observe(&deployment, &[other], || {
        wait_rollout("the rollout is not continued", || {
            all_serve(&engines, "v2") && watch(&deployment, other)["finished"] == true
        });
    });

    // Assert
    assert!(observed.most_out <= MAX_OUT, "{} were out", observed.most_out);
    assert!(observed.answers > 0);
}

/// Guards against a rollout that ends with its driver.
#[test]
fn another_node_continues_when_the_driver_is_killed() {
    driver_killed(&[]);
}

/// Guards against a takeover that works only where engines refuse orders of a former driver.
#[test]
fn another_node_continues_at_engines_that_ignore_fencing() {
    driver_killed(&["--ignore-fencing"]);
}

/// Guards against replicas that keep a version which operators have taken back, or stay out.
#[test]
fn rollout_is_turned_back_in_the_middle() {
    // Arrange
    let deployment = start_six_engines(&[], &[]);
    let engines = addresses(&deployment);

    // Act
    let observed = observe(&deployment, &[0, 1, 2], || {
        use_version(&deployment, 2, "v2");
        wait_rollout("no replica is taken out", || out_of_service(&engines).contains(&true));
        use_version(&deployment, 1, "v1");
        wait_rollout("the rollout is not turned back", || {
            all_serve(&engines, "v1") && watch(&deployment, 2)["finished"] == true
        });
    });

    // Assert
    assert!(observed.most_out <= MAX_OUT, "{} were out", observed.most_out);
    assert!(observed.answers > 0);
}

/// Guards against a rollout that goes on to the next replicas with a version that does not come
/// up, or that stops without a word to the operators.
#[test]
fn engine_that_does_not_come_up_stops_the_rollout() {
    // Arrange: the first engine needs an hour to load, so that it is out when it is killed.
    let limits = ["--rollout-load-limit-ms", "10000", "--rollout-drain-limit-ms", "10000"];
    let deployment = start_six_engines(&[], &limits);
    let engines = addresses(&deployment);
    post_faults(engines[0], json!({"set": {"swapping_replicas": 36_000}}));

    // Act
    use_version(&deployment, 2, "v2");
    wait_rollout("the first replica is not taken out", || out_of_service(&engines[..1])[0]);
    deployment.engines[0].process.signal("KILL");
    let stopped = || {
        let table = watch(&deployment, 2);
        let text = table["rows"][0][6].as_str().unwrap_or_default().to_owned();
        text.contains("stopped").then_some((text, table))
    };
    let mut found = None;
    wait_rollout("the rollout does not stop", || {
        found = stopped();
        found.is_some()
    });

    // Assert
    let (text, table) = found.unwrap();
    assert!(text.contains("version v2") && text.contains("clip-0"), "{text}");
    assert_eq!(table["rows"][0][5], "failed", "{table}");
    assert_eq!(table["finished"], true, "{table}");
    let others: Vec<bool> = out_of_service(&engines[1..]);
    assert_eq!(others, [false; 5], "replicas were left out of service");
    let client = deployment.caller(0);
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, ANSWER_TOKENS, true));
    assert_whole(&read_stream(&mut exchange).0, ANSWER_TOKENS as usize);
}

/// Guards against orders to engines from a node that cannot know whether others give some, too.
#[test]
fn nothing_is_driven_without_a_platform() {
    // Arrange: the configuration asks for v1, and the engines serve v0.
    let deployment = start(&Plan {
        engines: 2,
        engine_flags: &["--version", "v0", "--token-time-ms", "1"],
        nodes: 1,
        ..Plan::default()
    });
    let engines = addresses(&deployment);

    // Act
    let client = deployment.caller(0);
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, ANSWER_TOKENS, true));
    let (texts, _) = read_stream(&mut exchange);

    // Assert
    assert_whole(&texts, ANSWER_TOKENS as usize);
    assert!(all_serve(&engines, "v0"));
    assert_eq!(watch(&deployment, 0)["rows"][0][6], "none");
}
