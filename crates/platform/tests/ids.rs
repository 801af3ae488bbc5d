//! Tests of the numbers that belong to an era of the key-value service.

use yuccapass_platform::{KeyValueRevision, LeaseId, StoreEra};

fn revision(era: u64, number: u64) -> KeyValueRevision {
    KeyValueRevision::new(number).in_era(StoreEra::new(era))
}

/// Guards against a revision of an era before that counts as newer than one of the present era.
#[test]
fn revisions_are_ordered_by_their_era_first() {
    // Arrange
    let (before, after) = (revision(1, 900), revision(2, 4));

    // Act
    let newest = before.max(after);

    // Assert
    assert_eq!(newest, after);
    assert_eq!(before.next(), revision(1, 901));
    assert_ne!(LeaseId::new(7), LeaseId::new(7).in_era(StoreEra::new(1)));
}

/// Guards against an era that is lost when a revision or a lease is written as text.
#[test]
fn numbers_of_eras_survive_their_text_form() {
    // Arrange
    let revisions = [revision(0, 17), revision(3, 17), revision(u64::MAX, 0)];

    // Act
    let texts = revisions.map(|revision| revision.to_string());
    let parsed: [KeyValueRevision; 3] = texts.clone().map(|text| text.parse().unwrap());

    // Assert
    assert_eq!(texts[..2], ["17", "3:17"]);
    assert_eq!(parsed, revisions);
    assert_eq!("3:17".parse(), Ok(LeaseId::new(17).in_era(StoreEra::new(3))));
    for invalid in ["", "3:", ":17", "3:1:7", "x"] {
        assert!(invalid.parse::<KeyValueRevision>().is_err(), "{invalid}");
    }
}
