//! Failures of endpoints during a request, with separate processes.

mod common;

use common::{
    APPROVED_KEY, Deployment, assert_complete, chat_request, chat_request_with, engine_count,
    post_faults, read_json, read_stream, send, start_deployment, start_deployment_of,
};
use serde_json::json;
use yuccapass_http::Exchange;

/// Starts two engines with 20 ms between tokens, and opens a stream of 100 tokens.
fn open_slow_stream(node_flags: &[&str]) -> (Deployment, Exchange) {
    let deployment = start_deployment_of(2, &["--token-time-ms", "20"], node_flags);
    let client = deployment.caller(0);
    let exchange = send(&client, chat_request(&client, APPROVED_KEY, 100, true));
    (deployment, exchange)
}

/// Returns the engine that got the only request.
fn busy_engine(deployment: &Deployment) -> std::net::SocketAddr {
    let is_busy = |address| engine_count(address, "received_requests") == 1;
    let engine = deployment.engines.iter().find(|engine| is_busy(engine.address));
    engine.expect("one engine has the request").address
}

/// Guards against an answer that is cut off when its endpoint crashes.
#[test]
fn stream_goes_on_elsewhere_when_its_endpoint_crashes() {
    // Arrange
    let (deployment, mut exchange) = open_slow_stream(&[]);

    // Act
    post_faults(busy_engine(&deployment), json!({"actions": ["crash"]}));
    let (texts, is_done) = read_stream(&mut exchange);

    // Assert
    assert_complete(&texts, 100);
    assert!(is_done);
    assert_eq!(deployment.engine_count("received_requests"), 2);
}

/// Guards against a stream that waits forever on a connection whose peer no longer responds.
#[test]
fn stream_goes_on_when_its_connection_goes_silent() {
    // Arrange
    let (deployment, mut exchange) = open_slow_stream(&["--stall-timeout-ms", "500"]);

    // Act
    post_faults(busy_engine(&deployment), json!({"actions": ["silence_connections"]}));
    let (texts, is_done) = read_stream(&mut exchange);

    // Assert
    assert_complete(&texts, 100);
    assert!(is_done);
}

/// Guards against an answer that contains events of other requests or attempts.
#[test]
fn mismatched_and_late_events_do_not_reach_the_caller() {
    // Arrange
    let faults = r#"{"mismatch_probability": 0.5, "late_probability": 1.0, "late_ms": 50}"#;
    let deployment = start_deployment(&["--token-time-ms", "1", "--faults", faults], &[]);
    let client = deployment.caller(0);

    // Act
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, 100, true));
    let (texts, is_done) = read_stream(&mut exchange);

    // Assert
    assert_complete(&texts, 100);
    assert!(is_done);
}

/// Guards against a request that crashes one endpoint after another, also when its caller sends it
/// again, and against blocking other requests with it.
#[test]
fn crashing_request_is_blocked_after_two_crashes() {
    // Arrange
    let faults = r#"{"crash_marker": "bent clip"}"#;
    let deployment = start_deployment_of(4, &["--token-time-ms", "1", "--faults", faults], &[]);
    let client = deployment.caller(0);
    let crashing = || chat_request_with(&client, APPROVED_KEY, "a bent clip", 5, false);

    // Act
    let errors: Vec<_> = (0..3).map(|_| read_json(send(&client, crashing()))).collect();
    let other = read_json(send(&client, chat_request(&client, APPROVED_KEY, 5, false)));

    // Assert
    assert_eq!(deployment.engine_count("crashes"), 2);
    assert_eq!(errors[2]["error"]["code"], "YP-2006");
    assert_eq!(errors[2]["error"]["run_state"], "not run");
    assert_eq!(other["choices"][0]["finish_reason"], "stop");
}

/// Guards against executing a non-repeatable request twice.
#[test]
fn non_repeatable_request_is_not_sent_again_after_a_crash() {
    // Arrange
    let faults = r#"{"crash_marker": "book"}"#;
    let deployment = start_deployment_of(2, &["--faults", faults], &[]);
    let client = deployment.caller(0);
    let mut request = chat_request_with(&client, APPROVED_KEY, "book the furnace", 5, false);
    request.insert_header("x-not-repeatable", "true");

    // Act
    let error = read_json(send(&client, request));

    // Assert
    assert_eq!(deployment.engine_count("received_requests"), 1);
    assert_ne!(error["error"]["run_state"], "not run");
}

/// Guards against a repeatable request that fails although another endpoint could run it.
#[test]
fn request_goes_elsewhere_when_an_endpoint_does_not_answer() {
    // Arrange
    let mut deployment = start_deployment_of(2, &["--token-time-ms", "1"], &[]);
    let client = deployment.caller(0);
    drop(deployment.engines.remove(0));

    // Act
    let answers: Vec<_> = (0..4)
        .map(|_| read_json(send(&client, chat_request(&client, APPROVED_KEY, 5, false))))
        .collect();

    // Assert
    for answer in answers {
        assert_eq!(answer["choices"][0]["finish_reason"], "stop", "{answer}");
    }
}
