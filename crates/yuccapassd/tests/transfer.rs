//! Export and import of cache blocks, with separate processes: prompts that are sent again after
//! the engine has evicted their blocks.

mod common;

use common::{
    APPROVED_KEY, Deployment, DeploymentSpec, UNAPPROVED_KEY, assert_complete, chat_request_with,
    client, post_faults, read_json, read_stream, send, start, wait_until,
};
use http_types::Method;
use serde_json::json;

/// Whole blocks in each prompt, and capacity of the engine's cache: each prompt evicts the others.
const PROMPT_BLOCKS: u64 = 16;

const BLOCK_TOKENS: u64 = 64;

const ANSWER_TOKENS: usize = 4;

/// Answer length of evicting prompts. At 5 ms per token, the node, which polls the engine's events
/// every 250 ms, reads them before such an answer ends.
const EVICTING_ANSWER_TOKENS: usize = 100;

/// A prompt takes about a second to compute, so that imports are in time even on a busy machine.
const ENGINE_FLAGS: [&str; 2] = ["--cache-capacity-blocks=16", "--prefill-tokens-per-s=1000"];

fn start_with_stores(stores: usize, nodes: usize) -> Deployment {
    start(&DeploymentSpec {
        engines: 1,
        engine_flags: &ENGINE_FLAGS,
        nodes,
        stores,
        ..DeploymentSpec::default()
    })
}

/// Returns a text of 16 whole blocks and a partial one.
fn prompt(name: &str) -> String {
    name.repeat(PROMPT_BLOCKS as usize * 256 / name.len() + 20)[..PROMPT_BLOCKS as usize * 256 + 50]
        .to_owned()
}

/// Sends a prompt, asserts that its answer is complete and based on the right blocks, and returns
/// its texts.
fn send_prompt(deployment: &Deployment, node: usize, key: &str, prompt: &str) -> Vec<String> {
    send_prompt_for(deployment, node, key, prompt, ANSWER_TOKENS)
}

fn send_prompt_for(
    deployment: &Deployment,
    node: usize,
    key: &str,
    prompt: &str,
    tokens: usize,
) -> Vec<String> {
    let caller = deployment.caller(node);
    let request = chat_request_with(&caller, key, prompt, tokens as u64, true);
    let (texts, is_done) = read_stream(&mut send(&caller, request));
    assert!(is_done);
    assert_complete(&texts, tokens);
    assert!(!texts.concat().contains("wrongblock"), "{texts:?}");
    texts
}

/// Sends a new prompt, which evicts the others.
fn evict(deployment: &Deployment, round: usize) {
    let filler = prompt(&format!("filler {round:03} "));
    send_prompt_for(deployment, 0, APPROVED_KEY, &filler, EVICTING_ANSWER_TOKENS);
}

/// Returns how many prompt tokens the engine has found in its cache.
fn cached_tokens(deployment: &Deployment) -> u64 {
    deployment.engine_count("cached_prompt_tokens")
}

fn stored_blocks(deployment: &Deployment) -> u64 {
    let blocks = deployment.stores.iter().map(|store| {
        let client = client(store.address);
        read_json(send(&client, client.request(Method::Get, "/status")))["blocks"].as_u64().unwrap()
    });
    blocks.sum()
}

fn wait_stored(deployment: &Deployment, blocks: u64) {
    wait_until("the prompt is not exported", || stored_blocks(deployment) >= blocks);
}

/// Returns how many blocks a node has transferred with the given result.
fn transferred(deployment: &Deployment, node: usize, result: &str) -> u64 {
    let client = client(deployment.nodes[node].admin_address);
    let exchange = send(&client, client.request(Method::Get, "/metrics"));
    let (_, bytes) =
        async_std::task::block_on(exchange.read_body(8 << 20, yuccapass_types::Deadline::NEVER))
            .unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let line = text.lines().find(|line| {
        line.starts_with("yuccapass_transferred_blocks")
            && line.contains(&format!("result=\"{result}\""))
    });
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or_default()
}

/// Repeats an eviction followed by a prompt until a condition on its cached tokens holds. The node
/// reads of an eviction with a delay.
fn return_until(
    deployment: &Deployment,
    node: usize,
    returning: &str,
    first: &[String],
    condition: impl Fn(u64) -> bool,
) {
    let mut round = 0;
    wait_until("no repetition met the condition", || {
        round += 1;
        evict(deployment, round);
        let before = cached_tokens(deployment);
        assert_eq!(send_prompt(deployment, node, APPROVED_KEY, returning), first);
        condition(cached_tokens(deployment) - before)
    });
}

/// Guards against recomputing a prompt that the store has, and against answers from wrong blocks.
#[test]
fn evicted_prompt_returns_with_imported_blocks() {
    // Arrange
    let deployment = start_with_stores(2, 1);
    let returning = prompt("manifest ");
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &returning);
    wait_stored(&deployment, PROMPT_BLOCKS);

    // Act and assert: the whole prompt comes from the store.
    return_until(&deployment, 0, &returning, &first, |cached| {
        cached == PROMPT_BLOCKS * BLOCK_TOKENS
    });
    assert!(transferred(&deployment, 0, "imported") >= PROMPT_BLOCKS);
}

/// Guards against a node that cannot use what another node exported.
#[test]
fn node_that_did_not_export_asks_the_store() {
    // Arrange
    let deployment = start_with_stores(2, 2);
    let returning = prompt("dossier ");
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &returning);
    wait_stored(&deployment, PROMPT_BLOCKS);

    // Act and assert
    return_until(&deployment, 1, &returning, &first, |cached| {
        cached == PROMPT_BLOCKS * BLOCK_TOKENS
    });
    assert_eq!(transferred(&deployment, 1, "exported"), 0);
    assert!(transferred(&deployment, 1, "imported") >= PROMPT_BLOCKS);
}

/// Guards against answers that use torn blocks, and against requests that fail because of them.
#[test]
fn torn_blocks_are_recomputed() {
    // Arrange
    let deployment = start_with_stores(1, 1);
    let returning = prompt("torn ");
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &returning);
    wait_stored(&deployment, PROMPT_BLOCKS);
    post_faults(deployment.stores[0].address, json!({"torn_probability": 1.0}));

    // Act and assert
    return_until(&deployment, 0, &returning, &first, |_| {
        transferred(&deployment, 0, "import_failed") > 0
    });
    assert_eq!(transferred(&deployment, 0, "imported"), 0);
}

/// Guards against blocks that are not replaced after they were torn.
#[test]
fn torn_blocks_are_replaced_by_the_next_export() {
    // Arrange
    let deployment = start_with_stores(1, 1);
    let returning = prompt("replaced ");
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &returning);
    wait_stored(&deployment, PROMPT_BLOCKS);
    post_faults(deployment.stores[0].address, json!({"torn_probability": 1.0}));
    return_until(&deployment, 0, &returning, &first, |_| {
        transferred(&deployment, 0, "import_failed") > 0
    });

    // Act
    post_faults(deployment.stores[0].address, json!({"torn_probability": 0.0}));

    // Assert
    return_until(&deployment, 0, &returning, &first, |cached| {
        cached == PROMPT_BLOCKS * BLOCK_TOKENS
    });
}

/// Guards against missing blocks that are not exported again after a store VM has lost its memory.
#[test]
fn gap_of_a_restarted_store_vm_is_filled() {
    // Arrange
    let deployment = start_with_stores(2, 1);
    let returning = prompt("gap ");
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &returning);
    wait_stored(&deployment, PROMPT_BLOCKS);

    // Act
    let store = client(deployment.stores[0].address);
    assert!(send(&store, store.request(Method::Post, "/crash")).response().status().is_success());
    return_until(&deployment, 0, &returning, &first, |_| {
        transferred(&deployment, 0, "import_failed") > 0
    });

    // Assert
    return_until(&deployment, 0, &returning, &first, |cached| {
        cached == PROMPT_BLOCKS * BLOCK_TOKENS
    });
}

/// Guards against an answer that fails because the store VM with its blocks was killed.
#[test]
fn killed_store_vm_interrupts_no_answer() {
    // Arrange
    let mut deployment = start_with_stores(2, 1);
    let returning = prompt("killed ");
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &returning);
    wait_stored(&deployment, PROMPT_BLOCKS);

    // Act
    let killed = deployment.stores.remove(0);
    killed.process.signal("KILL");

    // Assert: the import fails at the killed VM, and the answer is the same.
    return_until(&deployment, 0, &returning, &first, |_| {
        transferred(&deployment, 0, "import_failed") + transferred(&deployment, 0, "export_failed")
            > 0
    });
    return_until(&deployment, 0, &returning, &first, |_| true);
}

/// Guards against serving one organisation from the blocks of another.
#[test]
fn organisations_with_the_same_prompt_share_no_blocks() {
    // Arrange
    let deployment = start_with_stores(1, 1);
    let shared = prompt("shared ");
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &shared);
    wait_stored(&deployment, PROMPT_BLOCKS);

    // Act
    let other = send_prompt(&deployment, 0, UNAPPROVED_KEY, &shared);

    // Assert
    assert_eq!(cached_tokens(&deployment), 0);
    assert_eq!(transferred(&deployment, 0, "imported"), 0);
    assert_ne!(other, first);
    wait_stored(&deployment, 2 * PROMPT_BLOCKS);
}

/// Guards against requests that fail when the store is full.
#[test]
fn full_store_leaves_answers_as_they_are() {
    // Arrange
    let deployment = start_with_stores(1, 1);
    post_faults(deployment.stores[0].address, json!({"full": true}));
    let returning = prompt("full ");

    // Act
    let first = send_prompt(&deployment, 0, APPROVED_KEY, &returning);
    wait_until("no export fails", || transferred(&deployment, 0, "export_failed") > 0);
    return_until(&deployment, 0, &returning, &first, |_| true);

    // Assert
    assert_eq!(stored_blocks(&deployment), 0);
    assert_eq!(transferred(&deployment, 0, "imported"), 0);
}
