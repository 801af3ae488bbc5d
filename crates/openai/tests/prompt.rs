//! Tests of prompt bytes.

use serde_json::json;
use yuccapass_openai::{Api, prompt_bytes};

/// Guards against a conversation whose next turn does not begin with the bytes of the previous
/// turn, so that it would miss the prefix cache.
#[test]
fn next_turn_extends_the_bytes_of_the_turn_before() {
    // Arrange
    let first = json!({"messages": [{"role": "user", "content": "clips?"}]});
    let second = json!({"messages": [
        {"role": "user", "content": "clips?"},
        {"role": "assistant", "content": [{"type": "text", "text": "Nine."}]},
        {"role": "user", "content": "and couplers?"},
    ]});

    // Act
    let first = prompt_bytes(Api::Chat, &first).unwrap();
    let second = prompt_bytes(Api::Chat, &second).unwrap();

    // Assert
    assert!(second.starts_with(&first));
    assert!(second.len() > first.len());
}

/// Guards against a malformed body that is treated as an empty prompt.
#[test]
fn malformed_prompts_have_no_bytes() {
    // Arrange
    let bodies = [json!({}), json!({"messages": "x"}), json!({"messages": [{"role": 1}]})];
    for body in bodies {
        // Act
        let bytes = prompt_bytes(Api::Chat, &body);

        // Assert
        assert_eq!(bytes, None);
    }
}
