//! Tests of splitting documents into chunks and of putting them together.

mod config_fixtures;

use config_fixtures::{command, config, document, execute_new, id, set_share};
use proptest::prelude::*;
use yuccapass_decisions::change::{Change, ExecuteOutcome, execute};
use yuccapass_decisions::config::{
    ActiveConfig, ChunkHash, ChunkItems, MAX_CHUNK_BYTES, MAX_MANIFEST_BYTES, Manifest,
};
use yuccapass_types::{KeyHash, TokensPerSecond};

fn rebuild(config: &ActiveConfig) -> ActiveConfig {
    let manifest = Manifest::decode(&config.manifest().encode()).unwrap();
    ActiveConfig::assemble(manifest, |hash| {
        Some(ChunkItems::decode(&config.chunk_bytes(hash).unwrap()).unwrap())
    })
    .unwrap()
}

/// Guards against chunks or a manifest that the platform would not take at the target size, or
/// that do not give the document back.
#[test]
fn target_size_is_split_within_bounds_and_rebuilt() {
    // Arrange
    let config = config(23_000);

    // Act
    let rebuilt = rebuild(&config);

    // Assert
    assert_eq!(rebuilt, config);
    assert!(config.manifest().encode().len() <= MAX_MANIFEST_BYTES);
    for hash in &config.manifest().chunks {
        let bytes = config.chunk_bytes(hash).unwrap();
        assert!(bytes.len() <= MAX_CHUNK_BYTES);
        assert_eq!(ChunkHash::of(&bytes), *hash);
    }
}

/// Guards against a change of one organisation that moves most of the configuration.
#[test]
fn change_of_one_organisation_makes_few_chunks() {
    // Arrange
    let current = config(5_000);
    let create = Change::CreateOrganisation {
        organisation: id("organisation-000100a"),
        share: 1,
        limit: TokensPerSecond::new(1),
    };
    let changes =
        [set_share(2_500, 7), create, Change::RemoveOrganisation(id("organisation-000000"))];
    for change in changes {
        // Act
        let next = execute_new(&current, &command("c1", change));

        // Assert: adding an item can split a full chunk in two, and no more than that.
        assert!((1..=2).contains(&next.new_chunks.len()));
    }
}

/// Guards against accepting an organisation that no chunk can hold.
#[test]
fn oversized_chunk_is_refused_with_its_bound() {
    // Arrange
    let bytes = vec![b' '; MAX_CHUNK_BYTES + 1];

    // Act
    let error = ChunkItems::decode(&bytes).unwrap_err();

    // Assert
    assert_eq!((error.field(), error.value()), ("chunk.bytes", "65537"));
    assert!(error.bound().contains("65536"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), cases: 64, ..ProptestConfig::default() })]

    /// Guards against a split that loses or reorders items, or depends on the order of changes.
    #[test]
    fn any_selection_of_organisations_is_rebuilt(
        kept in proptest::collection::vec(any::<bool>(), 400),
        keys in proptest::collection::vec(0_usize..60, 0..20),
    ) {
        // Arrange
        let mut document = document(kept.len());
        for (position, count) in keys.iter().enumerate() {
            let organisation = document.organisations[position * 3].make_mut();
            let more = (0..*count).map(|key| KeyHash::of_key(&format!("{position}-{key}")));
            organisation.key_hashes.extend(more);
            organisation.key_hashes.sort_unstable();
        }
        let mut keep = kept.iter();
        document.organisations.retain(|_| *keep.next().unwrap());
        let config = ActiveConfig::from_document(document).unwrap();

        // Act
        let rebuilt = rebuild(&config);

        // Assert
        prop_assert_eq!(rebuilt, config);
    }

    /// Guards against a panic on bytes that a broken neighbour sends.
    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Act
        let results = (ChunkItems::decode(&bytes).is_ok(), Manifest::decode(&bytes).is_ok());

        // Assert
        prop_assert_eq!(results, (false, false));
    }
}

proptest! {
    // A case encodes several hundred kilobytes many times, hence fewer cases.
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(14), cases: 24, ..ProptestConfig::default() })]

    /// Guards against chunks that are taken over from an earlier revision although a split of the
    /// document has others.
    #[test]
    fn series_of_changes_has_the_chunks_of_its_document(
        changes in proptest::collection::vec((0_u8..4, 0_usize..100), 1..12),
    ) {
        // Arrange: long organisations, so that chunks also end because they are full.
        let mut document = document(100);
        for (position, organisation) in document.organisations.iter_mut().enumerate() {
            let keys = (0..position % 64).map(|key| KeyHash::of_key(&format!("{position}-{key}")));
            let organisation = organisation.make_mut();
            organisation.key_hashes = keys.collect();
            organisation.key_hashes.sort_unstable();
        }
        let mut current = ActiveConfig::from_document(document).unwrap();

        for (number, (form, at)) in changes.into_iter().enumerate() {
            // Act
            let name = format!("organisation-{at:06}");
            let change = match form {
                0 => Change::RemoveOrganisation(id(&name)),
                1 => Change::AddKey(id(&name), KeyHash::of_key(&format!("new-{number}"))),
                2 => set_share(at, number as u32 + 2),
                _ => Change::CreateOrganisation {
                    organisation: id(&format!("{name}a{number}")),
                    share: 1,
                    limit: TokensPerSecond::new(1),
                },
            };
            if let Ok(ExecuteOutcome::Write(next)) = execute(&current, &command(&format!("c{number}"), change)) {
                current = next.config;
            }

            // Assert
            let whole = ActiveConfig::from_document(current.document().clone()).unwrap();
            prop_assert_eq!(&whole.manifest().chunks, &current.manifest().chunks);
        }
    }
}
