//! Tests of the parsing of callers' requests.

use proptest::prelude::*;
use serde_json::json;
use yuccapass_callers::request::parse_body;
use yuccapass_types::{ResultCode, RunState};

/// Guards against asking an engine for an answer without a stream, which could not be continued at
/// another endpoint.
#[test]
fn body_always_asks_the_engine_for_a_stream() {
    // Arrange
    let body = json!({"model": "m", "stream": false, "messages": []}).to_string();

    // Act
    let parsed = parse_body(body.as_bytes()).unwrap();

    // Assert
    assert!(!parsed.wants_stream);
    assert_eq!(parsed.value["stream"], true);
}

/// Guards against errors that do not name the invalid field.
#[test]
fn invalid_fields_are_named() {
    // Arrange
    let cases = [
        (json!({}), "model"),
        (json!({"model": 1}), "model"),
        (json!({"model": "m", "stream": "yes"}), "stream"),
        (json!({"model": "m", "max_tokens": 0}), "max_tokens"),
        (json!({"model": "m", "max_tokens": 1.5}), "max_tokens"),
        (json!({"model": "m", "n": 2}), "n"),
    ];
    for (body, field) in cases {
        // Act
        let failure = parse_body(body.to_string().as_bytes()).unwrap_err();

        // Assert
        assert_eq!(
            (failure.code, failure.run_state),
            (ResultCode::InvalidRequest, RunState::NotRun)
        );
        assert!(failure.detail.starts_with(&format!("{field}:")), "{}", failure.detail);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    /// Guards against a panic on untrusted bytes.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        // Arrange: the bytes are the input as they are.
        // Act
        let result = parse_body(&bytes);

        // Assert
        prop_assert!(result.is_err());
    }
}
