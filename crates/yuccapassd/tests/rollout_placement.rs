//! Placement while replicas serve different versions. The tests send the orders instead of a
//! driver.

mod common;

use std::net::SocketAddr;

use async_std::task::block_on;
use common::{
    APPROVED_KEY, Deployment, DeploymentSpec, assert_complete, chat_request, chat_request_with,
    engine_client, engine_count, post_faults, read_json, read_stream, run_command, send, start,
    start_deployment_of, wait_until,
};
use serde_json::{Value, json};
use yuccapass_endpoints::{ModelEndpoint, Order, OrderKind};
use yuccapass_types::{Deadline, FencingNumber};

/// Orders an engine to load a version, and waits until the order is carried out.
fn load_version(engine: SocketAddr, version: &str) {
    let kind = OrderKind::LoadVersion { version: version.parse().unwrap() };
    let order = Order { fencing: FencingNumber::new(1), kind };
    block_on(engine_client(engine).order(&order, Deadline::NEVER)).unwrap();
}

/// Waits until the node has read the version of an endpoint.
fn wait_known_version(deployment: &Deployment, endpoint: usize, version: &str) {
    wait_until("the node does not read the version", || {
        let admin_address = deployment.nodes[0].admin_address;
        let table = run_command(admin_address, "watch rollout of clip-models", "unused");
        table["rows"][endpoint][3] == version
    });
}

fn answer(deployment: &Deployment, prompt: &str, tokens: u64) -> Value {
    let client = deployment.caller(0);
    read_json(send(&client, chat_request_with(&client, APPROVED_KEY, prompt, tokens, false)))
}

/// Guards against retrying a request with the version that was just rejected, against cancelling
/// the retry together with the rejected attempt, and against rejections that use up the node's
/// retry budget.
#[test]
fn request_refused_for_its_version_is_sent_with_the_present_one() {
    // Arrange
    let deployment = start_deployment_of(1, &["--token-time-ms", "1", "--swap-ms", "1"], &[]);
    let engine = deployment.engines[0].address;

    for version in ["v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9"] {
        // Act
        load_version(engine, version);
        let answer = answer(&deployment, "Are these clips sound?", 2);

        // Assert
        assert_eq!(answer["choices"][0]["finish_reason"], "stop", "{version}: {answer}");
    }
}

/// Guards against a request that fails because the version was replaced while it waited.
#[test]
fn waiting_request_takes_the_version_that_is_served_when_its_turn_comes() {
    // Arrange: the cold engine sustains two requests, so that the others wait.
    let cold = ["--cold", "--cold-requests", "2", "--warm-up-ms", "600000"];
    let deployment = start(&DeploymentSpec {
        engines: 1,
        engine_flags: &[&cold[..], &["--token-time-ms", "5", "--swap-ms", "1"]].concat(),
        nodes: 1,
        node_flags: &["--ledger-window-ms", "1000", "--ledger-send-within-ms", "1000"],
        ..DeploymentSpec::default()
    });
    let engine = deployment.engines[0].address;

    // Act
    let answers: Vec<Value> = std::thread::scope(|scope| {
        let deployment = &deployment;
        let calls: Vec<_> = (0..8)
            .map(|number| scope.spawn(move || answer(deployment, &format!("clip {number}"), 60)))
            .collect();
        wait_until("the first requests do not run", || {
            engine_count(engine, "received_requests") >= 3
        });
        load_version(engine, "v2");
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });

    // Assert
    for answer in answers {
        assert_eq!(answer["choices"][0]["finish_reason"], "stop", "{answer}");
    }
}

/// Guards against sending all requests to the first replica that serves a new version.
#[test]
fn first_replica_at_the_wanted_version_does_not_get_all_requests() {
    // Arrange: v1 is configured, and the engines serve v0.
    let flags = ["--version", "v0", "--token-time-ms", "1", "--swap-ms", "1"];
    let deployment = start_deployment_of(4, &flags, &[]);
    let first = deployment.engines[0].address;
    load_version(first, "v1");
    wait_known_version(&deployment, 0, "v1");
    let before = engine_count(first, "received_requests");

    // Act
    for number in 0..12 {
        let answer = answer(&deployment, &format!("clip {number}"), 2);
        assert_eq!(answer["choices"][0]["finish_reason"], "stop", "{answer}");
    }

    // Assert
    assert_eq!(engine_count(first, "received_requests"), before);
}

/// Guards against loading a version in a way that interrupts running answers.
#[test]
fn run_in_progress_keeps_its_version() {
    // Arrange
    let deployment = start_deployment_of(1, &["--token-time-ms", "10", "--swap-ms", "1"], &[]);
    let client = deployment.caller(0);
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, 100, true));

    // Act
    load_version(deployment.engines[0].address, "v2");
    let (texts, is_done) = read_stream(&mut exchange);

    // Assert
    assert!(is_done);
    assert_complete(&texts, 100);
    assert_eq!(deployment.engine_count("received_requests"), 1);
}

/// Guards against an answer that one version begins and another continues.
#[test]
fn answer_is_not_continued_by_another_version() {
    // Arrange
    let deployment = start_deployment_of(2, &["--token-time-ms", "20", "--swap-ms", "1"], &[]);
    let client = deployment.caller(0);
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, 300, true));
    let received =
        |engine: usize| engine_count(deployment.engines[engine].address, "received_requests");
    let (busy, other) = if received(0) == 1 { (0, 1) } else { (1, 0) };
    load_version(deployment.engines[other].address, "v2");
    wait_known_version(&deployment, other, "v2");

    // Act
    post_faults(deployment.engines[busy].address, json!({"actions": ["crash"]}));
    let (texts, is_done) = read_stream(&mut exchange);

    // Assert
    assert!(!is_done || texts.len() < 300, "the answer was continued");
    assert_eq!(received(other), 0);
}
