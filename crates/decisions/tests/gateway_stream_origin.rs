//! Tests of the versions that may have begun streams, and of the records of streams.

use yuccapass_decisions::gateway::{
    SoftwareHistory, StreamOrigin, StreamRecord, StreamRecords, TakeUpEvidence, keepers,
};
use yuccapass_types::{Instant, NodeId, RequestId, ServiceId, SoftwareVersion};

/// Longer than versions that have left and streams are remembered.
const LATER_MS: u64 = 61_000;

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn service() -> ServiceId {
    "ledger".parse().unwrap()
}

fn software(name: &str) -> Option<SoftwareVersion> {
    Some(name.parse().unwrap())
}

fn versions(names: &[&str]) -> Vec<Option<SoftwareVersion>> {
    names.iter().map(|name| software(name)).collect()
}

fn observe(history: &mut SoftwareHistory, names: &[&str], ms: u64) {
    history.observe(&service(), versions(names).into_iter(), at(ms));
}

/// A history of a node that has read an empty list.
fn new_history() -> SoftwareHistory {
    let mut history = SoftwareHistory::default();
    history.replace_published(Vec::new(), at(0));
    history
}

fn sole(history: &SoftwareHistory, ms: u64) -> Option<Option<SoftwareVersion>> {
    history.sole_version(&service(), at(ms)).cloned()
}

/// Guards against a version that has just left and is not counted, or is counted for ever.
#[test]
fn a_version_that_has_left_counts_for_a_while() {
    // Arrange
    let mut history = new_history();
    observe(&mut history, &["v1"], 0);
    let before = sole(&history, 0);

    // Act
    observe(&mut history, &["v1", "v2"], 1_000);
    let with_two = sole(&history, 1_000);
    observe(&mut history, &["v2"], 2_000);
    let just_left = sole(&history, 3_000);
    observe(&mut history, &["v2"], 2_000 + LATER_MS);
    let later = sole(&history, 2_000 + LATER_MS);

    // Assert
    assert_eq!(before, Some(software("v1")));
    assert_eq!((with_two, just_left), (None, None));
    assert_eq!(later, Some(software("v2")));
}

/// Guards against a node that trusts what it sees before it knows what has left.
#[test]
fn nothing_is_known_before_the_published_versions() {
    // Arrange
    let mut history = SoftwareHistory::default();
    observe(&mut history, &["v2"], 0);
    let unread = sole(&history, 0);

    // Act
    history.replace_published(vec![(service(), versions(&["v1", "v2"]))], at(100));
    let read = sole(&history, 100);
    let later = sole(&history, 100 + LATER_MS);

    // Assert
    assert_eq!((unread, read), (None, None));
    assert_eq!(later, Some(software("v2")));
}

/// Guards against versions that are not published when they appear, and against nodes that publish in turn what
/// the other one has ended.
#[test]
fn each_node_publishes_only_what_serves() {
    // Arrange: both nodes have seen v1 leave, the second one later.
    let (mut first, mut second) = (new_history(), new_history());
    for history in [&mut first, &mut second] {
        observe(history, &["v1", "v2"], 0);
        history.set_published(&service(), versions(&["v1", "v2"]), at(0));
    }
    observe(&mut first, &["v2"], 1_000);
    observe(&mut second, &["v2"], 5_000);

    // Act
    let appeared = {
        let mut history = new_history();
        observe(&mut history, &["v1"], 0);
        history.to_publish(&service(), at(0))
    };
    let early = first.to_publish(&service(), at(5_000));
    let ended = first.to_publish(&service(), at(1_000 + LATER_MS));
    second.set_published(&service(), versions(&["v2"]), at(1_000 + LATER_MS));
    let again = second.to_publish(&service(), at(1_000 + LATER_MS));

    // Assert
    assert_eq!(appeared, Some(versions(&["v1"])));
    assert_eq!(early, None);
    assert_eq!(ended, Some(versions(&["v2"])));
    assert_eq!(again, None);
}

/// Guards against records that are lost too early, or kept for ever.
#[test]
fn records_last_for_a_while() {
    // Arrange
    let record = |number: u32| StreamRecord {
        id: format!("r{number}").parse().unwrap(),
        origin: StreamOrigin { service: service(), software: software("v1") },
    };
    let mut records = StreamRecords::default();

    // Act
    for number in 0..10_000 {
        records.record(record(number), at(0));
    }
    let is_known = |records: &StreamRecords, number: u32, ms: u64| {
        records.origin(&record(number).id, at(ms)) == Some(&record(number).origin)
    };
    let (first, last) = (is_known(&records, 0, 50_000), is_known(&records, 9_999, 0));
    let old = is_known(&records, 0, LATER_MS);
    records.record(record(9_999), at(LATER_MS));

    // Assert: without room a stream stays unknown, and later there is room again.
    assert_eq!((first, last, old), (true, false, false));
    assert!(is_known(&records, 9_999, LATER_MS));
    assert_eq!(records.all(at(LATER_MS)).count(), 1);
}

/// Guards against nodes that look for a stream where it is not kept.
#[test]
fn keepers_are_the_same_from_all_nodes() {
    let all: Vec<NodeId> = (0..9).map(|number| format!("node-{number}").parse().unwrap()).collect();
    for number in 0..200 {
        // Arrange
        let id: RequestId = format!("r{number}").parse().unwrap();
        let others = |own: usize| -> Vec<NodeId> {
            all.iter().filter(|node| **node != all[own]).cloned().collect()
        };
        let (begun, taken_up) = (number % 9, (number / 9 + 1 + number) % 9);

        // Act
        let kept_by = keepers(&id, &others(begun), 2);
        let asked = keepers(&id, &others(taken_up), 3);

        // Assert: all keepers are asked, but for the asking node itself.
        assert_eq!(kept_by.len(), 2);
        let is_asked = |keeper: &NodeId| asked.contains(keeper) || *keeper == all[taken_up];
        assert!(kept_by.iter().all(is_asked), "{kept_by:?} and {asked:?}");
    }
}

/// Guards against a node that goes on with a stream by what it knew before the stream began, or because one of
/// several nodes agrees.
#[test]
fn a_stream_goes_on_only_by_recent_knowledge() {
    // Arrange
    let evidence = || TakeUpEvidence::new(at(1_000));
    let with = |nodes: &[bool], confirmed_ms: Option<u64>| {
        let mut evidence = evidence();
        nodes.iter().for_each(|agrees| evidence.record_node(*agrees));
        if let Some(ms) = confirmed_ms {
            evidence.record_confirmation(at(ms));
        }
        evidence.is_sufficient()
    };

    // Act
    let by_confirmation = [with(&[], None), with(&[], Some(999)), with(&[], Some(1_000))];
    let by_nodes = [with(&[true], None), with(&[true, false], None), with(&[false], Some(1_100))];

    // Assert
    assert_eq!(by_confirmation, [false, false, true]);
    assert_eq!(by_nodes, [true, false, true]);
}
