//! A node with endpoints in two regions.

mod common;

use std::net::SocketAddr;

use common::{
    APPROVED_KEY, Process, chat_request, client, engine_count, loopback_address, send,
    start_engine, wait_listening, wait_ready, wait_until,
};
use serde_json::{Value, json};
use yuccapass_types::KeyHash;

/// Returns a configuration with a near and a far zone in different regions, and an endpoint in
/// each.
fn document(near: SocketAddr, far: SocketAddr) -> Value {
    let zone =
        |id: &str, region: &str| json!({"id": id, "region": region, "state": "in", "voters": []});
    let endpoint = |id: &str, zone: &str, address: SocketAddr| {
        json!({
            "id": id, "model": "clip-models", "zone": zone, "address": address,
            "checks_fencing": true, "leaving": false, "cold_requests": 2,
        })
    };
    json!({
        "revision": "1",
        "zones": [zone("burnaby-yard", "lower-mainland"), zone("kamloops-yard", "interior")],
        "classes": [],
        "models": [{
            "id": "clip-models", "version": "v1", "adapter": null, "store": null,
            "max_swapping_replicas": 3,
        }],
        "endpoints": [
            endpoint("clip-far", "kamloops-yard", far),
            endpoint("clip-near", "burnaby-yard", near),
        ],
        "services": [],
        "organisations": [{
            "id": "org-approved", "key_hashes": [KeyHash::of_key(APPROVED_KEY)],
            "models": ["clip-models"], "services": [], "share": 1,
            "limit_tokens_per_s": "1000000 tokens/s",
        }],
    })
}

/// Starts a node in the near zone; returns its process and its address for callers.
fn start_near_node(document: &Value) -> (Process, SocketAddr) {
    let name = format!("yuccapass-test-regions-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, document.to_string()).unwrap();
    let (callers, admin) = (loopback_address(), loopback_address());
    let arguments = [
        "--node-id=node-0".to_owned(),
        "--zone=burnaby-yard".to_owned(),
        format!("--caller-address={callers}"),
        format!("--admin-address={admin}"),
        format!("--peer-address={}", loopback_address()),
        format!("--configuration-file={}", path.display()),
    ];
    let process = Process::spawn("yuccapassd", &arguments);
    wait_listening(admin);
    wait_ready(admin);
    std::fs::remove_file(&path).unwrap();
    (process, callers)
}

/// Guards against a node that rejects requests which another region could serve, because it does
/// not poll the endpoints there.
#[test]
fn other_region_serves_when_the_local_one_has_no_endpoint_left() {
    // Arrange
    let (near, far) = (start_engine(&[]), start_engine(&[]));
    let (_node, callers) = start_near_node(&document(near.address, far.address));
    let caller = client(callers);
    let succeeds = || {
        let exchange = send(&caller, chat_request(&caller, APPROVED_KEY, 3, false));
        exchange.response().status().is_success()
    };
    assert!(succeeds());
    let far_runs_before = engine_count(far.address, "received_requests");

    // Act
    drop(near);
    wait_until("no request is served after the loss of the local region", succeeds);

    // Assert
    assert_eq!(far_runs_before, 0);
    assert!(engine_count(far.address, "received_requests") >= 1);
}
