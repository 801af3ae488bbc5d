//! Several nodes of a fleet, as separate processes.

mod common;

use std::net::SocketAddr;

use common::{
    APPROVED_KEY, Deployment, DeploymentSpec, chat_request, chat_request_with, metric, post_faults,
    read_json, run_command, send, start, wait_until,
};
use http_types::{Method, Request};
use serde_json::{Value, json};
use yuccapass_http::HttpClient;

/// Short ledger times. Voters abstain for some time after a start, which depends on these.
const SHORT_LEDGER: [&str; 4] = ["--ledger-window-ms", "1000", "--ledger-send-within-ms", "1000"];

fn start_three_nodes(engine_flags: &[&str]) -> Deployment {
    start(&DeploymentSpec {
        engines: 2,
        engine_flags,
        nodes: 3,
        node_flags: &SHORT_LEDGER,
        has_platform: true,
        has_service: true,
        ..DeploymentSpec::default()
    })
}

fn revision_of(admin_address: SocketAddr) -> String {
    let answer = run_command(admin_address, "show configuration", "unused");
    answer["revision"].as_str().unwrap_or_default().to_owned()
}

/// Returns the revision of the platform's store.
fn store_revision(platform: SocketAddr) -> u64 {
    let client = common::client(platform);
    let mut request = client.request(Method::Post, "/v3/kv/range");
    // The key of the manifest in base64.
    request.set_body(json!({"key": "eXVjY2FwYXNzL2NvbmZpZ3VyYXRpb24vbWFuaWZlc3Q="}));
    let answer = read_json(send(&client, request));
    answer["header"]["revision"].as_str().unwrap().parse().unwrap()
}

fn wait_revision(deployment: &Deployment, revision: &str) {
    wait_until(&format!("revision {revision} is not active on all nodes"), || {
        deployment.nodes.iter().all(|node| revision_of(node.admin_address) == revision)
    });
}

/// Creates a call of the plain service that must be executed at most once.
fn booking(client: &HttpClient, key: &str) -> Request {
    let mut request = client.request(Method::Post, "/services/yard-ledger/bookings");
    request.insert_header("authorization", format!("Bearer {APPROVED_KEY}"));
    request.insert_header("idempotency-key", key);
    request.insert_header("x-not-repeatable", "true");
    request.set_body(json!({"slot": 4}).to_string());
    request
}

/// Sends calls with new keys until one succeeds, since voters abstain for some time after a start.
fn wait_for_voters(deployment: &Deployment) {
    let client = deployment.caller(0);
    let mut number = 0;
    wait_until("the voters do not vote", || {
        number += 1;
        let exchange = send(&client, booking(&client, &format!("probe-{number}")));
        exchange.response().status().is_success()
    });
}

/// Counts the executions of calls with an idempotency key at the plain service.
fn effects(deployment: &Deployment, key: &str) -> usize {
    let client = common::client(deployment.service.as_ref().unwrap().address);
    let journal = read_json(send(&client, client.request(Method::Get, "/standin/journal")));
    let entries = journal["entries"].as_array().unwrap();
    entries.iter().filter(|entry| entry["idempotency_key"] == key).count()
}

/// Guards against a change that is active only on the node that accepted it, and against a command
/// that takes effect twice.
#[test]
fn accepted_change_is_active_on_all_nodes_and_takes_effect_once() {
    // Arrange
    let deployment = start_three_nodes(&[]);
    let command = "create organisation hinge-fitters with share 2 and limit 5000 tokens/s";

    // Act
    let accepted = run_command(deployment.nodes[2].admin_address, command, "change-1");
    wait_revision(&deployment, "2");
    let repeated = run_command(deployment.nodes[0].admin_address, command, "change-1");

    // Assert
    assert_eq!(accepted["result"], "accepted", "{accepted}");
    assert_eq!(accepted["revision"], "2");
    assert_eq!(repeated["repeated"], true, "{repeated}");
    assert_eq!(repeated["revision"], "2");
}

/// Guards against concurrent commands for the same expected revision that are all accepted.
#[test]
fn racing_operators_get_one_winner_and_one_conflict() {
    // Arrange
    let deployment = start_three_nodes(&[]);
    let send_command = |node: usize, share: u32| {
        let client = common::client(deployment.nodes[node].admin_address);
        let mut request = client.request(Method::Post, "/operators/commands");
        request.insert_header("authorization", format!("Bearer {}", common::OPERATOR_KEY));
        request.set_body(json!({
            "command": format!("set share of org-approved to {share}"),
            "command_id": format!("race-{node}"),
            "expected_revision": "1",
        }));
        read_json(send(&client, request))
    };

    // Act
    let answers: Vec<Value> = std::thread::scope(|scope| {
        let commands: Vec<_> = [(0, 5), (1, 7)]
            .map(|(node, share)| scope.spawn(move || send_command(node, share)))
            .into();
        commands.into_iter().map(|command| command.join().unwrap()).collect()
    });

    // Assert
    let count = |result: &str| answers.iter().filter(|answer| answer["result"] == result).count();
    assert_eq!((count("accepted"), count("conflict")), (1, 1), "{answers:?}");
    let conflict = answers.iter().find(|answer| answer["result"] == "conflict").unwrap();
    assert!(conflict["other_description"].as_str().unwrap().contains("share"));
}

/// Guards against a node that sends new requests to a zone which operators have taken out of
/// service.
#[test]
fn zone_taken_out_gets_no_new_work() {
    // Arrange
    let deployment = start_three_nodes(&["--token-time-ms", "1"]);
    let taken_out =
        run_command(deployment.nodes[0].admin_address, "take zone burnaby-yard out", "out-1");
    assert_eq!(taken_out["result"], "accepted", "{taken_out}");
    wait_revision(&deployment, "2");
    let before = deployment.engine_count("received_requests");

    // Act
    let errors: Vec<Value> = (0..3)
        .map(|node| {
            let client = deployment.caller(node);
            read_json(send(&client, chat_request(&client, APPROVED_KEY, 2, false)))
        })
        .collect();

    // Assert
    for error in errors {
        assert_eq!(error["error"]["code"], "YP-2004", "{error}");
    }
    assert_eq!(deployment.engine_count("received_requests"), before);
}

/// Guards against requests that fail, or commands that are accepted, during a platform outage.
#[test]
fn platform_outage_refuses_commands_and_leaves_requests_alone() {
    // Arrange
    let mut deployment = start_three_nodes(&["--token-time-ms", "1"]);
    drop(deployment.platform.take());

    // Act
    let refused =
        run_command(deployment.nodes[0].admin_address, "take zone burnaby-yard out", "out-2");
    let client = deployment.caller(0);
    let answer = read_json(send(&client, chat_request(&client, APPROVED_KEY, 2, false)));

    // Assert
    assert_eq!(refused["result"], "refused", "{refused}");
    assert_eq!(answer["choices"][0]["finish_reason"], "stop", "{answer}");
    assert_eq!(revision_of(deployment.nodes[0].admin_address), "1");
}

/// Guards against executing a request twice when its caller sends the same key to all nodes at
/// once.
#[test]
fn same_key_at_all_nodes_has_one_effect_and_one_outcome() {
    // Arrange
    let deployment = start_three_nodes(&[]);
    wait_for_voters(&deployment);

    // Act
    let outcomes: Vec<(u16, Vec<u8>)> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..3)
            .map(|node| {
                let client = deployment.caller(node);
                scope.spawn(move || {
                    let exchange = send(&client, booking(&client, "booking-1"));
                    let reading = exchange.read_body(1 << 20, yuccapass_types::Deadline::NEVER);
                    let (response, body) = async_std::task::block_on(reading).unwrap();
                    (response.status().into(), body)
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });

    // Assert
    assert_eq!(effects(&deployment, "booking-1"), 1);
    for outcome in &outcomes {
        assert_eq!(outcome, &outcomes[0]);
        assert_eq!(outcome.0, 200);
    }
}

/// Guards against executing a request again after the node that executed it was killed.
#[test]
fn key_of_a_dead_node_is_not_run_again() {
    // Arrange
    let deployment = start_three_nodes(&[]);
    wait_for_voters(&deployment);
    let client = deployment.caller(0);
    let first = send(&client, booking(&client, "booking-2"));
    assert!(first.response().status().is_success());
    wait_until("the outcome is not recorded", || {
        let client = deployment.caller(1);
        send(&client, booking(&client, "booking-2")).response().status().is_success()
    });

    // Act
    deployment.nodes[0].process.signal("KILL");
    let client = deployment.caller(2);
    let again = send(&client, booking(&client, "booking-2"));

    // Assert
    assert_eq!(effects(&deployment, "booking-2"), 1);
    assert!(again.response().status().is_success());
}

/// Guards against executing a request with an idempotency key while no majority of the voters can
/// be reached.
#[test]
fn node_without_a_majority_rejects_keyed_requests_with_unknown_run_state() {
    // Arrange
    let deployment = start_three_nodes(&[]);
    wait_for_voters(&deployment);
    deployment.nodes[1].process.signal("KILL");
    deployment.nodes[2].process.signal("KILL");

    // Act
    let client = deployment.caller(0);
    let error = read_json(send(&client, booking(&client, "booking-3")));

    // Assert
    assert_eq!(error["error"]["code"], "YP-4003", "{error}");
    assert_eq!(error["error"]["run_state"], "unknown");
    assert_eq!(effects(&deployment, "booking-3"), 0);
}

/// Guards against overloading a cold endpoint: the load of each node is within the endpoint's
/// limit, but the sum is not.
#[test]
fn cold_endpoint_survives_a_burst_from_all_nodes() {
    // Arrange
    let flags = ["--cold", "--cold-requests", "2", "--warm-up-ms", "1500", "--token-time-ms", "5"];
    let deployment = start(&DeploymentSpec {
        engines: 1,
        engine_flags: &flags,
        nodes: 3,
        node_flags: &SHORT_LEDGER,
        ..DeploymentSpec::default()
    });

    // Act
    let answers: Vec<Value> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..24)
            .map(|number| {
                let client = deployment.caller(number % 3);
                scope.spawn(move || {
                    let prompt = format!("question {number}");
                    read_json(send(
                        &client,
                        chat_request_with(&client, APPROVED_KEY, &prompt, 20, false),
                    ))
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });

    // Assert
    assert_eq!(deployment.engine_count("crashes"), 0);
    for answer in answers {
        assert_eq!(answer["choices"][0]["finish_reason"], "stop", "{answer}");
    }
}

/// Guards against a crashing request that its caller sends to one node after another.
#[test]
fn crash_counts_of_one_node_block_a_request_at_another() {
    // Arrange
    let faults = r#"{"crash_marker": "bent clip"}"#;
    let deployment = start(&DeploymentSpec {
        engines: 3,
        engine_flags: &["--faults", faults],
        nodes: 3,
        node_flags: &SHORT_LEDGER,
        ..DeploymentSpec::default()
    });
    let crashing = |node: usize| {
        let client = deployment.caller(node);
        read_json(send(&client, chat_request_with(&client, APPROVED_KEY, "a bent clip", 5, false)))
    };

    // Act
    let first = crashing(0);
    wait_until("the other node does not receive the crash counts", || {
        metric(deployment.nodes[1].admin_address, "yuccapass_blocked_requests") == 1.0
    });
    let second = crashing(1);

    // Assert
    assert!(first["error"].is_object(), "{first}");
    assert_eq!(second["error"]["code"], "YP-2006", "{second}");
    assert_eq!(deployment.engine_count("crashes"), 2);
}

/// Guards against nodes that revert to an older configuration when the platform is restored from an
/// older state.
#[test]
fn restored_platform_does_not_bring_an_older_configuration_back() {
    // Arrange
    let deployment = start_three_nodes(&[]);
    let platform = deployment.platform.as_ref().unwrap().address;
    let first =
        run_command(deployment.nodes[0].admin_address, "set share of org-approved to 3", "r-1");
    assert_eq!(first["result"], "accepted", "{first}");
    wait_revision(&deployment, "2");
    let store_revision = store_revision(platform);
    let second =
        run_command(deployment.nodes[0].admin_address, "set share of org-approved to 4", "r-2");
    assert_eq!(second["result"], "accepted", "{second}");
    wait_revision(&deployment, "3");

    // Act
    post_faults(platform, json!({"restore_revision": store_revision}));
    wait_until("the newer configuration is not written back", || {
        let third =
            run_command(deployment.nodes[1].admin_address, "set share of org-approved to 5", "r-3");
        third["result"] == "accepted"
    });

    // Assert
    wait_revision(&deployment, "4");
}

/// Guards against a command that takes effect twice, or not at all, when the platform's reply is
/// lost after a write took effect.
#[test]
fn commands_take_effect_once_when_answers_are_lost() {
    // Arrange
    let deployment = start_three_nodes(&[]);
    let platform = deployment.platform.as_ref().unwrap().address;
    let send_command = |number: u32, node: usize| {
        let command = format!("set share of org-approved to {}", number + 10);
        run_command(deployment.nodes[node].admin_address, &command, &format!("lost-{number}"))
    };
    assert_eq!(send_command(0, 0)["result"], "accepted");
    post_faults(platform, json!({"lost_answer_percent": 50}));

    // Act
    let revisions: Vec<String> = (1..=4)
        .map(|number| {
            let mut revision = String::new();
            let mut node = 0;
            wait_until("a command is not accepted", || {
                node = (node + 1) % 3;
                let answer = send_command(number, node);
                revision = answer["revision"].as_str().unwrap_or_default().to_owned();
                answer["result"] == "accepted"
            });
            revision
        })
        .collect();

    // Assert
    assert_eq!(revisions, ["3", "4", "5", "6"]);
}

/// Guards against new requests to an endpoint whose VM is about to stop.
#[test]
fn endpoint_that_leaves_by_the_vm_list_gets_no_new_work() {
    // Arrange
    let deployment = start_three_nodes(&["--token-time-ms", "1"]);
    let platform = common::client(deployment.platform.as_ref().unwrap().address);
    let leaving = deployment.engines[0].address;
    let mut request = platform.request(Method::Post, "/vms");
    request.set_body(json!({"vms": [
        {"id": "clip-vm-0", "address": leaving, "zone": "burnaby-yard", "state": "leaving"},
    ]}));
    assert!(send(&platform, request).response().status().is_success());
    let phase = |node: usize| {
        let answer = run_command(
            deployment.nodes[node].admin_address,
            "watch rollout of clip-models",
            "unused",
        );
        answer["rows"][0].to_string()
    };
    wait_until("a node has not read that the endpoint is leaving", || {
        (0..3).all(|node| phase(node).contains("leaving"))
    });
    let before = common::engine_count(leaving, "received_requests");

    // Act
    let answers: Vec<Value> = (0..6)
        .map(|number| {
            let client = deployment.caller(number % 3);
            read_json(send(&client, chat_request(&client, APPROVED_KEY, 2, false)))
        })
        .collect();

    // Assert
    for answer in answers {
        assert_eq!(answer["choices"][0]["finish_reason"], "stop", "{answer}");
    }
    assert_eq!(common::engine_count(leaving, "received_requests"), before);
}

/// Guards against a voter that joined a panel and abstains for as long as the list names the voters
/// that it replaced: the panel then has no majority as soon as one other member fails.
#[test]
fn voter_that_joined_votes_once_the_replaced_voters_use_the_new_list() {
    // Arrange
    let deployment = start(&DeploymentSpec {
        engines: 1,
        nodes: 4,
        node_flags: &SHORT_LEDGER,
        has_platform: true,
        has_service: true,
        ..DeploymentSpec::default()
    });
    wait_for_voters(&deployment);
    let admin_address = deployment.nodes[0].admin_address;
    let peer_address = deployment.nodes[3].peer_address;
    let remove = "remove voter node-3 from zone burnaby-yard";
    let add = format!("add voter node-3 at {peer_address} to zone burnaby-yard");
    assert_eq!(run_command(admin_address, remove, "remove-1")["result"], "accepted");
    wait_revision(&deployment, "2");
    assert_eq!(run_command(admin_address, &add, "add-1")["result"], "accepted");
    wait_revision(&deployment, "3");

    // Act
    deployment.nodes[0].process.signal("KILL");

    // Assert: all panels have a majority without the killed node.
    let client = deployment.caller(1);
    let mut round = 0;
    wait_until("some panels have no majority", || {
        round += 1;
        (0..16).all(|number| {
            let exchange = send(&client, booking(&client, &format!("round-{round}-{number}")));
            exchange.response().status().is_success()
        })
    });
}
