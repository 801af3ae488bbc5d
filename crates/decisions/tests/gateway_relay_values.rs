//! Tests of large values that relays pass on: references, transfers in pieces, and what is held.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccapass_decisions::gateway::relay::{
    EncodedValues, HeldValues, LARGE_VALUE, MAX_PIECE, OriginRead, RelayItem, RelayTopics,
    RelayedEntry, RelayedReference, TopicRequest, TransferStep, ValueDigest, ValueTransfer,
};
use yuccapass_types::{Bytes, Instant, NodeId};

const KEY: &str = "settings/routes";

fn node(name: &str) -> NodeId {
    name.parse().unwrap()
}

fn entry(revision: u64, value: &[u8]) -> (u64, RelayItem) {
    let value = Some(value.to_vec());
    (revision, RelayItem::Entry(RelayedEntry { key: KEY.into(), value, revision }))
}

fn reference(revision: u64, value: &[u8]) -> RelayedReference {
    RelayedReference { key: KEY.into(), digest: ValueDigest::of(value), revision }
}

/// Returns a large value that differs for each number.
fn value(number: u8) -> Vec<u8> {
    vec![number; LARGE_VALUE.get() as usize]
}

/// An encoding that shows its base and its value: the length of the base, and then both.
fn encode(base: Option<&[u8]>, value: &[u8]) -> Result<Vec<u8>, ()> {
    let base = base.unwrap_or_default();
    Ok([&(base.len() as u64).to_be_bytes()[..], base, value].concat())
}

fn decode(base: Option<&[u8]>, encoded: &[u8]) -> Vec<u8> {
    let base = base.unwrap_or_default();
    let (length, rest) = encoded.split_at(8);
    assert_eq!(length, (base.len() as u64).to_be_bytes());
    let (encoded_base, value) = rest.split_at(base.len());
    assert_eq!(encoded_base, base);
    value.to_vec()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(46),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against values that arrive with missing, repeated or mixed pieces, and against a base that the
    /// relay does not hold.
    #[test]
    fn a_transfer_brings_the_value(
        new in proptest::collection::vec(any::<u8>(), 1..100_000),
        old in proptest::collection::vec(any::<u8>(), 1..1_000),
        relay_holds_base in any::<bool>(), follower_holds_base in any::<bool>(),
    ) {
        // Arrange
        let (mut of_relay, mut of_follower) = (HeldValues::default(), HeldValues::default());
        if relay_holds_base {
            of_relay.hold(&KEY.into(), &old);
        }
        if follower_holds_base {
            of_follower.hold(&KEY.into(), &old);
        }
        of_relay.hold(&KEY.into(), &new);
        let mut encoded = EncodedValues::default();
        let mut transfer = ValueTransfer::new(node("r"), &reference(2, &new), &of_follower);

        // Act
        let mut pieces = 0;
        let (base, bytes) = loop {
            let piece = encoded.piece(&transfer.request(), &of_relay, encode).unwrap();
            prop_assert!(piece.as_ref().is_some_and(|piece| piece.bytes.len() as u64 <= MAX_PIECE.get()));
            pieces += 1;
            match transfer.record(piece) {
                TransferStep::Continue => {}
                TransferStep::Complete(base, bytes) => break (base, bytes),
                TransferStep::Failed => panic!("the relay has the value"),
            }
        };

        // Assert
        prop_assert_eq!(base.is_some(), relay_holds_base && follower_holds_base);
        let base = base.and_then(|base| of_follower.get(&KEY.into(), base));
        prop_assert_eq!(decode(base.as_deref(), &bytes), new);
        prop_assert_eq!(pieces, bytes.len().div_ceil(MAX_PIECE.get() as usize));
    }
}

/// Guards against a follower that waits for a relay which does not have the value, or sends another one.
#[test]
fn a_transfer_fails_without_the_next_piece() {
    // Arrange
    let (new, newer) = (value(1), value(2));
    let mut held = HeldValues::default();
    held.hold(&KEY.into(), &newer);
    let mut encoded = EncodedValues::default();
    let transfer =
        |value: &[u8]| ValueTransfer::new(node("r"), &reference(2, value), &HeldValues::default());
    let (mut absent, mut other, mut moved) = (transfer(&new), transfer(&new), transfer(&newer));

    // Act
    let of_absent = encoded.piece(&absent.request(), &held, encode).unwrap();
    let of_other = encoded.piece(&transfer(&newer).request(), &held, encode).unwrap();
    let mut of_moved = of_other.clone();
    of_moved.as_mut().unwrap().offset_bytes = 1;

    // Assert
    assert_eq!(of_absent, None);
    assert_eq!(absent.record(of_absent), TransferStep::Failed);
    assert_eq!(other.record(of_other), TransferStep::Failed);
    assert_eq!(moved.record(of_moved), TransferStep::Failed);
}

/// Guards against followers that get values which have been replaced, before the newest one.
#[test]
fn a_replaced_value_is_not_sent() {
    // Arrange
    let mut held = HeldValues::default();
    let items = held.refer(vec![entry(1, &value(1)), entry(2, b"small"), entry(3, &value(3))]);
    let mut topics = RelayTopics::default();
    let at = Instant::from_ms(1_000);
    let read = OriginRead { epoch: 1, from: 0, to: 3, items, sent_at: at, clock_ms: None };
    topics.record_read(&"keys:op/".into(), read, at);

    // Act
    let request = |after| TopicRequest { topic: "keys:op/".into(), epoch: 1, after };
    let answer = |after| {
        let update = topics.answer(&request(after), &mut Bytes::new(1 << 10), at);
        update.unwrap().items.unwrap()
    };
    let (all, last) = (answer(0), answer(2));

    // Assert
    let newest = RelayItem::Reference(reference(3, &value(3)));
    assert_eq!(all, [entry(2, b"small").1, newest.clone()]);
    assert_eq!(last, [newest]);
}

/// Guards against references that are resolved to another value, or to none.
#[test]
fn references_are_resolved_to_their_values() {
    // Arrange
    let mut of_relay = HeldValues::default();
    let read = vec![entry(1, &value(1)), entry(2, b"small")];
    let items: Vec<RelayItem> =
        of_relay.refer(read.clone()).into_iter().map(|(_, item)| item).collect();

    // Act
    let unknown = HeldValues::default().resolve(items.clone());
    let resolved = of_relay.resolve(items);

    // Assert
    assert_eq!(unknown, Err(reference(1, &value(1))));
    assert_eq!(resolved, Ok(read.into_iter().map(|(_, item)| item).collect()));
}

/// Guards against memory that grows with the number of versions, and against the loss of the newest value.
#[test]
fn few_replaced_values_are_held() {
    // Arrange
    let size = 1 << 20;
    let mut held = HeldValues::default();
    let key = |number: u8| format!("settings/{}", number % 3).into();

    // Act
    let digests: Vec<ValueDigest> =
        (0..60).map(|number| held.hold(&key(number), &vec![number; size])).collect();

    // Assert: 3 newest values and 4 MiB of replaced ones.
    let is_held = |number: &u8| held.get(&key(*number), digests[*number as usize]).is_some();
    assert!((57..60).all(|number| is_held(&number)));
    let count = (0..60).filter(is_held).count();
    assert!(count <= 7, "{count} values of 1 MiB");
}
