//! Rollouts of a weight version, with nodes, engines and the platform as separate processes.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant as StdInstant};

use async_std::task::block_on;
use common::{
    APPROVED_KEY, Deployment, DeploymentSpec, assert_complete, chat_request, engine_client,
    post_faults, read_stream, run_command, send, start,
};
use serde_json::{Value, json};
use yuccapass_endpoints::{EndpointState, LoadReport, ModelEndpoint};
use yuccapass_platform::{HttpKeyValue, KeyValue, PlatformTransportConfig};
use yuccapass_types::{Deadline, MonotonicClock};

/// Timeout for a rollout, during which a lease may have to expire; long, since the machine may be
/// busy.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(180);

/// `max_swapping_replicas` of the model in the configuration of the fixtures.
const MAX_OUT_OF_SERVICE: usize = 3;

/// Length of each answer.
const ANSWER_TOKENS: u64 = 20;

fn start_six_engines(extra_engine_flags: &[&str], node_flags: &[&str]) -> Deployment {
    let mut engine_flags = vec!["--token-time-ms", "5", "--swap-ms", "300"];
    engine_flags.extend(extra_engine_flags);
    start(&DeploymentSpec {
        engines: 6,
        engine_flags: &engine_flags,
        nodes: 3,
        node_flags,
        has_platform: true,
        ..DeploymentSpec::default()
    })
}

/// Waits until a condition holds, at most for the timeout of a rollout.
fn wait_rollout(what: &str, mut condition: impl FnMut() -> bool) {
    let start = StdInstant::now();
    while !condition() {
        assert!(start.elapsed() < ROLLOUT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Reads the load report of an engine, if it is running.
fn report(address: SocketAddr) -> Option<LoadReport> {
    block_on(engine_client(address).load_report(Deadline::NEVER)).ok()
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.engines.iter().map(|engine| engine.address).collect()
}

/// Returns for each engine whether it is out of service.
fn out_of_service(engines: &[SocketAddr]) -> Vec<bool> {
    let is_out =
        |engine: &SocketAddr| report(*engine).is_some_and(|r| r.state == EndpointState::Leaving);
    engines.iter().map(is_out).collect()
}

/// Returns whether all engines serve a version.
fn all_serve(engines: &[SocketAddr], version: &str) -> bool {
    engines.iter().all(|engine| {
        report(*engine).is_some_and(|report| {
            report.version.as_str() == version && report.state == EndpointState::Warm
        })
    })
}

/// What [`observe`] has counted during an action.
struct Observed {
    /// Maximum number of engines out of service at the same time.
    max_out_of_service: usize,
    answers: usize,
}

/// Sends requests to the nodes in `callers` and reads the reports of the engines while `action`
/// runs. Panics if an answer is incomplete.
fn observe(deployment: &Deployment, callers: &[usize], action: impl FnOnce()) -> Observed {
    let is_over = AtomicBool::new(false);
    let (max_out_of_service, answers) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let engines = addresses(deployment);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut earlier = out_of_service(&engines);
            while !is_over.load(Ordering::Relaxed) {
                let now = out_of_service(&engines);
                // The reports are read one after another. Engines that were out of service in both
                // readings were out at the same time between them.
                let both = earlier.iter().zip(&now).filter(|(a, b)| **a && **b).count();
                max_out_of_service.fetch_max(both, Ordering::Relaxed);
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
                        panic!("a request was rejected: {}", common::read_json(exchange));
                    }
                    let (texts, is_done) = read_stream(&mut exchange);
                    assert!(is_done, "an answer did not end with [DONE]");
                    assert_complete(&texts, ANSWER_TOKENS as usize);
                    answers.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        // The threads must end even if the action panics.
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(action));
        is_over.store(true, Ordering::Relaxed);
        if let Err(panic) = result {
            std::panic::resume_unwind(panic);
        }
    });
    Observed { max_out_of_service: max_out_of_service.into_inner(), answers: answers.into_inner() }
}

fn use_version(deployment: &Deployment, node: usize, version: &str) {
    let command = format!("use version {version} of clip-models");
    let answer =
        run_command(deployment.nodes[node].admin_address, &command, &format!("to-{version}"));
    assert_eq!(answer["result"], "accepted", "{answer}");
}

/// Returns the table of the rollout as a node shows it.
fn watch(deployment: &Deployment, node: usize) -> Value {
    run_command(deployment.nodes[node].admin_address, "watch rollout of clip-models", "unused")
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

/// Guards against a rollout that loses requests, interrupts answers, or takes too many replicas out
/// of service.
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
    assert!(
        (1..=MAX_OUT_OF_SERVICE).contains(&observed.max_out_of_service),
        "{} were out of service",
        observed.max_out_of_service
    );
    assert!(observed.answers > 0);
}

/// Kills the driver in the middle of a rollout, and checks that another node continues it.
fn driver_killed(engine_flags: &[&str]) {
    // Arrange
    let mut deployment = start_six_engines(engine_flags, &[]);
    let engines = addresses(&deployment);
    use_version(&deployment, 2, "v2");
    wait_rollout("no replica is taken out of service", || out_of_service(&engines).contains(&true));
    let killed =
        driver(&deployment).expect("a replica is out of service, but no node holds the lock");

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
    assert!(
        observed.max_out_of_service <= MAX_OUT_OF_SERVICE,
        "{} were out of service",
        observed.max_out_of_service
    );
    assert!(observed.answers > 0);
}

/// Guards against a rollout that stops when its driver fails.
#[test]
fn another_node_continues_when_the_driver_is_killed() {
    driver_killed(&[]);
}

/// Guards against a takeover that relies on engines to reject the orders of the former driver.
#[test]
fn another_node_continues_at_engines_that_ignore_fencing() {
    driver_killed(&["--ignore-fencing"]);
}

/// Guards against replicas that keep the new version, or stay out of service, when operators roll
/// back a rollout midway.
#[test]
fn rollout_is_rolled_back_midway() {
    // Arrange
    let deployment = start_six_engines(&[], &[]);
    let engines = addresses(&deployment);

    // Act
    let observed = observe(&deployment, &[0, 1, 2], || {
        use_version(&deployment, 2, "v2");
        wait_rollout("no replica is taken out of service", || {
            out_of_service(&engines).contains(&true)
        });
        use_version(&deployment, 1, "v1");
        wait_rollout("the rollout is not rolled back", || {
            all_serve(&engines, "v1") && watch(&deployment, 2)["finished"] == true
        });
    });

    // Assert
    assert!(
        observed.max_out_of_service <= MAX_OUT_OF_SERVICE,
        "{} were out of service",
        observed.max_out_of_service
    );
    assert!(observed.answers > 0);
}

/// Guards against a rollout that continues to further replicas after one failed, or that stops
/// without reporting why.
#[test]
fn engine_that_does_not_come_up_stops_the_rollout() {
    // Arrange: the first engine needs an hour to load, so that it is out of service when killed.
    let limits = ["--rollout-load-limit-ms", "10000", "--rollout-drain-limit-ms", "10000"];
    let deployment = start_six_engines(&[], &limits);
    let engines = addresses(&deployment);
    post_faults(engines[0], json!({"set": {"swapping_replicas": 36_000}}));

    // Act
    use_version(&deployment, 2, "v2");
    wait_rollout("the first replica is not taken out of service", || {
        out_of_service(&engines[..1])[0]
    });
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
    assert_complete(&read_stream(&mut exchange).0, ANSWER_TOKENS as usize);
}

/// Guards against a node that sends orders without a platform, whose lock excludes other drivers.
#[test]
fn no_rollout_is_driven_without_a_platform() {
    // Arrange: v1 is configured, and the engines serve v0.
    let deployment = start(&DeploymentSpec {
        engines: 2,
        engine_flags: &["--version", "v0", "--token-time-ms", "1"],
        nodes: 1,
        ..DeploymentSpec::default()
    });
    let engines = addresses(&deployment);

    // Act
    let client = deployment.caller(0);
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, ANSWER_TOKENS, true));
    let (texts, _) = read_stream(&mut exchange);

    // Assert
    assert_complete(&texts, ANSWER_TOKENS as usize);
    assert!(all_serve(&engines, "v0"));
    assert_eq!(watch(&deployment, 0)["rows"][0][6], "none");
}
