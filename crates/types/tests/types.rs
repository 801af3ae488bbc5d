//! Tests of ids, units, hash chains and collections.

use std::collections::BTreeMap;

use proptest::prelude::*;
use yuccapass_types::{
    BLOCK_PROMPT_BYTES, Bytes, CacheSalt, Deadline, Instant, ModelId, OrganisationId,
    ParseIdErrorKind, ResultCode, Slowdown, SortedMap, WeightVersion, block_hash_chain,
};

fn salt(organisation: &str, model: &str, version: &str) -> CacheSalt {
    let organisation: OrganisationId = organisation.parse().unwrap();
    let model: ModelId = model.parse().unwrap();
    let version: WeightVersion = version.parse().unwrap();
    CacheSalt::derive(&organisation, &model, &version, None)
}

/// Guards against ids that would corrupt log lines, metric labels or salts.
#[test]
fn ids_reject_empty_long_and_control_text() {
    // Arrange
    let cases = [
        (String::new(), ParseIdErrorKind::Empty),
        ("a".repeat(65), ParseIdErrorKind::TooLong(64)),
        ("a\0b".to_owned(), ParseIdErrorKind::Character('\0')),
    ];
    for (text, expected) in cases {
        // Act
        let error = text.parse::<OrganisationId>().unwrap_err();

        // Assert
        assert_eq!(error.kind(), expected);
    }
}

/// Guards against a prompt of one organisation, model or version matching the cached blocks of
/// another.
#[test]
fn chains_of_different_salts_share_no_block() {
    // Arrange
    let prompt = vec![b'x'; 4 * BLOCK_PROMPT_BYTES];
    let base = block_hash_chain(salt("org-a", "m", "v1"), &prompt);
    let others = [salt("org-b", "m", "v1"), salt("org-a", "n", "v1"), salt("org-a", "m", "v2")];
    for other in others {
        // Act
        let chain = block_hash_chain(other, &prompt);

        // Assert
        assert!(chain.iter().all(|hash| !base.contains(hash)));
    }
}

/// Guards against equal salts for fields that differ only in where one ends and the next begins.
#[test]
fn salt_fields_do_not_run_together() {
    // Arrange
    let first = ("ab", "c", "v");
    let second = ("a", "bc", "v");

    // Act
    let salts = (salt(first.0, first.1, first.2), salt(second.0, second.1, second.2));

    // Assert
    assert_ne!(salts.0, salts.1);
}

/// Guards against a deadline that has not passed at its own instant.
#[test]
fn deadline_passes_at_its_instant() {
    // Arrange
    let deadline = Deadline::after_ms(Instant::from_ms(5), 10);

    // Act
    let states = [14, 15].map(|ms| deadline.has_passed(Instant::from_ms(ms)));

    // Assert
    assert_eq!(states, [false, true]);
}

/// Guards against two codes with one number, which callers could not tell apart.
#[test]
fn result_codes_are_unique_and_parse_back() {
    // Arrange
    let codes = ResultCode::ALL;

    // Act
    let parsed: Vec<ResultCode> =
        codes.iter().map(|code| code.to_string().parse().unwrap()).collect();

    // Assert
    assert_eq!(parsed, codes);
    assert!(codes.windows(2).all(|pair| pair[0].number() < pair[1].number()));
}

/// Guards against a unit that does not parse its own display form.
#[test]
fn units_parse_what_they_display() {
    // Arrange
    let size = Bytes::new(4096);

    // Act
    let parsed: Bytes = size.to_string().parse().unwrap();

    // Assert
    assert_eq!(parsed, size);
    assert!("-1 B".parse::<Bytes>().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against contents that differ from those of a `BTreeMap` after the same changes.
    #[test]
    fn sorted_map_matches_btree_map(
        changes in proptest::collection::vec((0_u8..20, proptest::option::of(any::<u16>())), 0..80)
    ) {
        // Arrange
        let mut expected = BTreeMap::new();
        let mut map = SortedMap::new();

        // Act
        for (key, value) in changes {
            match value {
                Some(value) => prop_assert_eq!(map.insert(key, value), expected.insert(key, value)),
                None => prop_assert_eq!(map.remove(&key), expected.remove(&key)),
            }
        }

        // Assert
        prop_assert!(map.iter().eq(expected.iter()));
    }

    /// Guards against a collected map that keeps the first of several values of a key.
    #[test]
    fn sorted_map_collects_like_btree_map(
        entries in proptest::collection::vec((0_u8..10, any::<u16>()), 0..40)
    ) {
        // Arrange
        let expected: BTreeMap<u8, u16> = entries.iter().copied().collect();

        // Act
        let map: SortedMap<u8, u16> = entries.into_iter().collect();

        // Assert
        prop_assert!(map.iter().eq(expected.iter()));
    }
}

/// Guards against a slowdown of zero, which would make an endpoint seem infinitely fast, and against
/// a text that does not survive a round trip.
#[test]
fn slowdown_accepts_only_positive_percent() {
    // Arrange
    let invalid = ["", "0", "-5", "1.5", "fast", "1000001", "99999999999"];

    // Act
    let parsed = |text: &str| text.parse::<Slowdown>().ok();

    // Assert
    assert!(invalid.iter().all(|text| parsed(text).is_none()));
    assert_eq!(parsed("100"), Some(Slowdown::USUAL));
    assert_eq!(parsed(" 250 % "), Slowdown::from_percent(250));
    assert_eq!(parsed(&Slowdown::from_factor(2.5).to_string()), Some(Slowdown::from_factor(2.5)));
    assert_eq!(Slowdown::from_factor(f64::NAN).percent(), 1);
}
