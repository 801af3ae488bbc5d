//! Tests of the encoding of large values.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccapass_peers::{ValueCodec, ZstdCodec};
use yuccapass_types::Bytes;

const LIMIT: Bytes = Bytes::new(1 << 20);

/// Returns the text of a configuration with many entries that differ from each other.
fn entries(count: u32) -> String {
    (0..count).map(|number| format!("{{\"name\":\"{:08x}\"}},", number.rotate_left(17))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(46),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against values that are not the same after they were sent, with and without a base.
    #[test]
    fn values_are_decoded_as_they_were(
        value in proptest::collection::vec(any::<u8>(), 0..20_000),
        base in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..20_000)),
    ) {
        let encoded = ZstdCodec.encode(base.as_deref(), &value).unwrap();
        let decoded = ZstdCodec.decode(base.as_deref(), &encoded, LIMIT).unwrap();

        prop_assert_eq!(decoded, value);
    }

    /// Guards against bytes of another node that end the process.
    #[test]
    fn other_bytes_are_errors(bytes in proptest::collection::vec(any::<u8>(), 1..200)) {
        let decoded = ZstdCodec.decode(Some(b"base"), &bytes, LIMIT);

        prop_assert!(decoded.is_err());
    }
}

/// Guards against a change whose message grows with the value, up to the largest one.
#[test]
fn the_message_of_a_change_does_not_grow_with_the_value() {
    for count in [1_000, 40_000] {
        // Arrange
        let base = entries(count);
        let middle = base.len() / 2;
        let value = format!("{}changed{}", &base[..middle], &base[middle..]);
        assert!(value.len() < 1 << 20);

        // Act
        let encoded = ZstdCodec.encode(Some(base.as_bytes()), value.as_bytes()).unwrap();

        // Assert
        assert!(encoded.len() < 1_000, "{} bytes for {count} entries", encoded.len());
    }
}

/// Guards against a small message that is decoded to more memory than a value may take.
#[test]
fn larger_values_than_the_limit_are_errors() {
    let encoded = ZstdCodec.encode(None, &vec![0; 64 << 20]).unwrap();

    assert!(ZstdCodec.decode(None, &encoded, LIMIT).is_err());
}
