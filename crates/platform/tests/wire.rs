//! Tests of the messages to and from the platform.

use proptest::prelude::*;
use yuccapass_platform::http_key_value::decode_watch_line;
use yuccapass_platform::{
    Key, KeyValueRevision, MAX_VALUE_BYTES, Value, VmListing, WatchOutcome, wire,
};

fn decode_as_everything(bytes: &[u8]) {
    let _ = decode_watch_line(bytes, KeyValueRevision::new(7));
    let _ = serde_json::from_slice::<wire::RangeAnswer>(bytes);
    let _ = serde_json::from_slice::<wire::TxnAnswer>(bytes);
    let _ = serde_json::from_slice::<wire::TxnBody>(bytes);
    let _ = serde_json::from_slice::<wire::KeepAliveAnswer>(bytes);
    let _ = serde_json::from_slice::<VmListing>(bytes);
}

fn seeded(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded(11))]

    /// Guards against a decoder that panics on arbitrary bytes.
    #[test]
    fn decoders_survive_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_as_everything(&bytes);
    }

    /// Guards against a decoder that panics on a message with one wrong byte.
    #[test]
    fn decoders_survive_damaged_messages(position in 0usize..200, byte in any::<u8>()) {
        // Arrange
        let mut line = br#"{"result":{"header":{"revision":"9"},"events":[{"type":"PUT","kv":
            {"key":"YQ==","value":"Yg==","mod_revision":"9","lease":"0"}}]}}"#.to_vec();
        let position = position % line.len();

        // Act
        line[position] = byte;

        // Assert
        decode_as_everything(&line);
    }
}

/// Guards against keys and values that the platform would reject, or that corrupt its messages.
#[test]
fn keys_and_values_outside_the_limits_are_refused() {
    // Arrange
    let largest = vec![0; MAX_VALUE_BYTES];
    let mut too_large = largest.clone();
    too_large.push(0);

    // Act
    let keys = ["", "a b", "\u{e9}", &"k".repeat(257)].map(|text| text.parse::<Key>());

    // Assert
    assert!(Value::new(largest).is_ok());
    assert!(Value::new(too_large).is_err());
    assert!(keys.iter().all(Result::is_err));
}

/// Guards against a watch that waits for revisions that a restored platform has not reached.
#[test]
fn watch_notices_compaction_and_an_older_state() {
    // Arrange
    let compacted = br#"{"result":{"canceled":true,"compact_revision":"40"}}"#;
    let restored = br#"{"result":{"header":{"revision":"12"},"created":true}}"#;
    let from = KeyValueRevision::new(20);

    // Act
    let outcomes = [&compacted[..], &restored[..]].map(|line| decode_watch_line(line, from));

    // Assert
    let [compacted, restored] = outcomes.map(|outcome| outcome.unwrap().unwrap());
    assert_eq!(compacted, WatchOutcome::Compacted);
    assert_eq!(restored, WatchOutcome::Restored { revision: KeyValueRevision::new(12) });
}

/// Guards against a prefix range that misses keys or includes others.
#[test]
fn prefix_end_follows_all_keys_with_the_prefix() {
    // Arrange
    let cases: [(&[u8], &[u8]); 3] = [(b"a/", b"a0"), (b"a\xff", b"b"), (b"\xff", b"\0")];
    for (prefix, expected) in cases {
        // Act
        let end = wire::prefix_end(prefix);

        // Assert
        assert_eq!(end, expected);
    }
}

/// Guards against a VM that cannot be decoded and hides all others.
#[test]
fn a_vm_that_cannot_be_decoded_does_not_hide_the_others() {
    let odd_vms = [
        r#"{"id":"a b","address":"10.0.0.1:1","zone":"w1","state":"live"}"#,
        r#"{"id":"a","address":"nowhere","zone":"w1","state":"live"}"#,
        r#"{"id":"a","address":"10.0.0.1:1","zone":"w1","state":"parked"}"#,
        r#"{"id":"a","address":"10.0.0.1:1","zone":"w1"}"#,
        "null",
    ];
    for odd in odd_vms {
        // Arrange
        let sound = r#"{"id":"b","address":"10.0.0.2:1","zone":"w1","state":"leaving"}"#;
        let list = format!(r#"{{"vms":[{odd},{sound}]}}"#);

        // Act
        let listing: VmListing = serde_json::from_str(&list).unwrap();

        // Assert
        let ids: Vec<String> = listing.vms.iter().map(|vm| vm.id.to_string()).collect();
        assert_eq!(ids, ["b"], "{odd}");
    }
}
