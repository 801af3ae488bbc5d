//! Requests from a caller through the daemon to an endpoint, as separate processes over TCP.

mod common;

use common::{
    APPROVED_KEY, UNAPPROVED_KEY, assert_complete, chat_request, read_json, read_stream, send,
    start_deployment,
};
use http_types::StatusCode;

/// Guards against a streamed answer with a missing, duplicated or reordered token.
#[test]
fn streamed_answer_arrives_whole() {
    // Arrange
    let deployment = start_deployment(&["--token-time-ms", "1"], &[]);
    let client = deployment.caller(0);

    // Act
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, 50, true));
    let (texts, is_done) = read_stream(&mut exchange);

    // Assert
    assert_complete(&texts, 50);
    assert!(is_done);
}

/// Guards against a non-streamed answer with a missing, duplicated or reordered token.
#[test]
fn answer_in_one_piece_has_all_tokens() {
    // Arrange
    let deployment = start_deployment(&["--token-time-ms", "1"], &[]);
    let client = deployment.caller(0);

    // Act
    let exchange = send(&client, chat_request(&client, APPROVED_KEY, 5, false));
    let answer = read_json(exchange);

    // Assert
    let content = answer["choices"][0]["message"]["content"].as_str().unwrap();
    let texts: Vec<String> = content.split_whitespace().map(str::to_owned).collect();
    assert_complete(&texts, 5);
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
}

/// Guards against an endpoint that continues a run after its caller has disconnected.
#[test]
fn caller_that_leaves_cancels_its_run() {
    // Arrange
    let deployment = start_deployment(&["--token-time-ms", "20"], &[]);
    let client = deployment.caller(0);
    let exchange = send(&client, chat_request(&client, APPROVED_KEY, 100_000, true));

    // Act
    drop(exchange);

    // Assert
    deployment.wait_engine_count("cancelled_runs", 1);
}

/// Guards against unauthorised requests that reach an endpoint.
#[test]
fn bad_key_and_unapproved_organisation_are_refused_before_the_endpoint() {
    // Arrange
    let deployment = start_deployment(&[], &[]);
    let client = deployment.caller(0);
    let cases = [
        ("key-nobody", StatusCode::Unauthorized, "YP-1005"),
        (UNAPPROVED_KEY, StatusCode::Forbidden, "YP-1006"),
    ];
    for (key, status, code) in cases {
        // Act
        let exchange = send(&client, chat_request(&client, key, 5, true));

        // Assert
        assert_eq!(exchange.response().status(), status);
        let error = &read_json(exchange)["error"];
        assert_eq!(
            (error["code"].as_str(), error["run_state"].as_str()),
            (Some(code), Some("not run"))
        );
    }
    assert_eq!(deployment.engine_count("received_requests"), 0);
}

/// Guards against a body over the size limit that is accepted, or rejected without its result code.
#[test]
fn body_over_the_limit_gets_its_code() {
    // Arrange
    let deployment = start_deployment(&[], &["--max-body-bytes", "1024"]);
    let client = deployment.caller(0);
    let mut request = chat_request(&client, APPROVED_KEY, 5, true);
    request.set_body("x".repeat(1025));

    // Act
    let exchange = send(&client, request);

    // Assert
    assert_eq!(exchange.response().status(), StatusCode::PayloadTooLarge);
    assert_eq!(read_json(exchange)["error"]["code"], "YP-1002");
}

/// Guards against a graceful stop that interrupts a running stream.
#[test]
fn graceful_stop_in_mid_stream_loses_nothing() {
    // Arrange
    let mut deployment = start_deployment(&["--token-time-ms", "20"], &["--stop-grace-ms", "50"]);
    let client = deployment.caller(0);
    let mut exchange = send(&client, chat_request(&client, APPROVED_KEY, 50, true));

    // Act
    deployment.nodes[0].process.signal("TERM");
    let (texts, is_done) = read_stream(&mut exchange);
    let exit_code = deployment.nodes[0].process.wait();

    // Assert
    assert_complete(&texts, 50);
    assert!(is_done);
    assert_eq!(exit_code, Some(0));
}
