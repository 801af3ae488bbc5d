//! Tests of the HTTP calls of the stand-in engine that real endpoints do not have.

mod common;

use std::sync::Arc;

use async_std::task::block_on;
use common::{EngineFixture, fast_config, start_engine};
use http_types::{Method, StatusCode};
use serde_json::{Value, json};
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient};

fn call(fixture: &EngineFixture, method: Method, path: &str, body: Value) -> (StatusCode, Value) {
    let address = fixture.server.address;
    let client = HttpClient::new(address, ClientConfig::default(), Arc::clone(&fixture.clock));
    let mut request = client.request(method, path);
    request.set_body(body);
    let limit = fixture.limit();
    let exchange = block_on(client.send(request, ConnectionChoice::New, limit)).unwrap();
    let (response, bytes) = block_on(exchange.read_body(1 << 20, limit)).unwrap();
    (response.status(), serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Guards against faults, journal and counts that other processes cannot reach.
#[test]
fn faults_journal_and_counts_are_reachable_over_http() {
    // Arrange
    let fixture = start_engine(fast_config());
    let crash_on = json!({"set": {"crash_marker": "boom"}});

    // Act
    let (status, _) = call(&fixture, Method::Post, "/faults", crash_on);
    fixture.run(&fixture.request("r1", "[[m-1]]", 3)).unwrap();
    fixture.run(&fixture.request("r2", "boom [[m-2]]", 3)).unwrap_err();

    // Assert
    assert_eq!(status, StatusCode::Ok);
    let (_, journal) = call(&fixture, Method::Get, "/journal", Value::Null);
    let entry = |id: &str, marker: &str| {
        json!({"request_id": id, "attempt": "1", "marker": marker, "resume_offset_tokens": 0,
            "incarnation": "1"})
    };
    let entries = json!([entry("r1", "m-1"), entry("r2", "m-2")]);
    assert_eq!(journal, json!({"removed_entries": 0, "entries": entries}));
    let (_, stats) = call(&fixture, Method::Get, "/stats", Value::Null);
    let counts = ["received_requests", "completed_answers", "crashes"].map(|name| &stats[name]);
    assert_eq!(counts, [&json!(2), &json!(1), &json!(1)]);
}

/// Guards against a misspelt fault that is silently ignored.
#[test]
fn unknown_fault_is_refused() {
    // Arrange
    let fixture = start_engine(fast_config());
    for body in [json!({"set": {"crash_markers": "x"}}), json!({"actions": ["explode"]})] {
        // Act
        let (status, _) = call(&fixture, Method::Post, "/faults", body);

        // Assert
        assert!(status.is_client_error(), "{status}");
    }
}

/// Guards against a crash that leaves idle connections open, so that later requests on them fail,
/// and against one that closes the connection on which it was requested.
#[test]
fn crash_closes_idle_connections_but_not_its_own() {
    // Arrange: a connection that the client keeps for reuse.
    let fixture = start_engine(fast_config());
    fixture.run(&fixture.request("r1", "hello", 3)).unwrap();

    // Act
    let crash = json!({"actions": ["crash"]});
    let (status, _) = call(&fixture, Method::Post, "/faults", crash);

    // Assert
    assert_eq!(status, StatusCode::Ok);
    assert!(fixture.run(&fixture.request("r2", "hello", 3)).is_ok());
}
