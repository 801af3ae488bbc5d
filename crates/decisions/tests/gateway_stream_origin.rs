//! Tests of the versions that may have begun streams, and of the records of streams.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use yuccapass_decisions::gateway::{
    KnownVersions, SoftwareHistory, StreamOrigin, StreamRecord, StreamRecords, TakeUpEvidence,
    VersionStatement, ZoneNodes, asked_elsewhere, asked_in_zone, keepers,
};
use yuccapass_types::{Instant, NodeId, RequestId, ServiceId, SoftwareVersion, ZoneId};

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

/// Creates the registered nodes of five zones, nine in each.
fn registered() -> Vec<(ZoneId, NodeId)> {
    let node = |number: usize| (format!("zone-{}", number / 9), format!("node-{number}"));
    let parsed = |(zone, node): (String, String)| (zone.parse().unwrap(), node.parse().unwrap());
    (0..45).map(node).map(parsed).collect()
}

/// Returns the nodes that may keep streams, as a node knows them: the others of its zone, and those of other zones.
fn known_to(node: &NodeId, zone: &ZoneId) -> (Vec<NodeId>, Vec<ZoneNodes>) {
    let (of_zone, others): (Vec<_>, Vec<_>) =
        registered().into_iter().partition(|(of, _)| of == zone);
    let others_of_zone = ZoneNodes::of_registered(of_zone).remove(0).nodes;
    let others_of_zone = others_of_zone.into_iter().filter(|other| other != node).collect();
    (others_of_zone, ZoneNodes::of_registered(others))
}

/// Guards against nodes that look for a stream where it is not kept.
#[test]
fn keepers_are_the_same_from_all_nodes() {
    let all = registered();
    for number in 0..1_000 {
        // Arrange
        let id: RequestId = format!("r{number}").parse().unwrap();
        let (begun, taken_up) = (&all[number % 45], &all[(number / 45 + 1 + number) % 45]);
        let (zone_nodes, other_zones) = known_to(&begun.1, &begun.0);
        let (own_nodes, others) = known_to(&taken_up.1, &taken_up.0);

        // Act
        let kept_by = keepers(&id, &zone_nodes, &other_zones);
        let asked = [asked_in_zone(&id, &own_nodes), asked_elsewhere(&id, &others)].concat();

        // Assert: the keepers in other zones are asked by all nodes, and those of the zone by its nodes. The
        // asking node may be one of them.
        let is_asked = |keeper: &NodeId| asked.contains(keeper) || *keeper == taken_up.1;
        let is_remote = |keeper: &&NodeId| !zone_nodes.contains(keeper);
        assert_eq!(kept_by.iter().filter(is_remote).count(), 2);
        assert!(kept_by.iter().filter(is_remote).all(is_asked), "{kept_by:?} and {asked:?}");
        if begun.0 == taken_up.0 {
            assert!(kept_by.iter().all(is_asked), "{kept_by:?} and {asked:?}");
        }
    }
}

/// Guards against records that are lost with one zone, and against questions that grow with the zones.
#[test]
fn a_stream_is_kept_in_three_zones_and_looked_for_in_five() {
    // Arrange
    let zone = |number: usize| ZoneNodes {
        zone: format!("zone-{number}").parse().unwrap(),
        nodes: (0..9).map(|node| format!("node-{number}-{node}").parse().unwrap()).collect(),
    };
    let zones: Vec<ZoneNodes> = (0..20).map(zone).collect();
    let id: RequestId = "r1".parse().unwrap();

    // Act
    let kept_by = keepers(&id, &zones[0].nodes, &zones[1..]);
    let alone = keepers(&id, &zones[0].nodes, &[]);
    let asked = [asked_in_zone(&id, &zones[0].nodes), asked_elsewhere(&id, &zones[1..])].concat();

    // Assert
    assert_eq!((kept_by.len(), alone.len(), asked.len()), (4, 2, 11));
    assert_eq!(kept_by.iter().filter(|node| zones[0].nodes.contains(node)).count(), 2);
}

/// Guards against records that are lost with most of the nodes that keep them, over all zones: of the streams that
/// callers take up, half as many have to go on as new ones begin.
#[test]
fn records_outlast_the_loss_of_most_keepers() {
    // Arrange: six zones with two nodes that may keep streams.
    const LOST: usize = 10;
    let zone = |number: usize| ZoneNodes {
        zone: format!("zone-{number}").parse().unwrap(),
        nodes: (0..2).map(|node| format!("node-{number}-{node}").parse().unwrap()).collect(),
    };
    let zones: Vec<ZoneNodes> = (0..6).map(zone).collect();
    let all: Vec<NodeId> = zones.iter().flat_map(|known| known.nodes.clone()).collect();
    let mut random = StdRng::seed_from_u64(1);
    let (mut known, mut streams) = (0, 0);

    // Act
    for round in 0..100 {
        let mut left = all.clone();
        left.shuffle(&mut random);
        left.truncate(all.len() - LOST);
        for number in 0..30 {
            let id: RequestId = format!("r{round}-{number}").parse().unwrap();
            let (own, others): (Vec<_>, Vec<_>) =
                (0..6).partition(|&position| position == number % 6);
            let others: Vec<ZoneNodes> =
                others.into_iter().map(|position| zones[position].clone()).collect();
            let kept_by = keepers(&id, &zones[own[0]].nodes, &others);
            known += usize::from(kept_by.iter().any(|keeper| left.contains(keeper)));
            streams += 1;
        }
    }

    // Assert
    assert!(2 * known >= streams, "{known} of {streams}");
}

/// What a node says that knows one version, and perhaps has confirmed that it knows all.
fn says(version: &str, is_confirmed: bool) -> VersionStatement {
    VersionStatement { versions: KnownVersions::Sole(software(version)), is_confirmed }
}

/// Returns whether a node that knows v1 may go on with a stream at 1 s: other nodes are in these zones, and some say
/// something.
fn may_go_on(zones: &[&str], said: &[(&str, VersionStatement)], confirmed_ms: Option<u64>) -> bool {
    let zones = zones.iter().map(|zone| zone.parse().unwrap()).collect();
    let mut evidence = TakeUpEvidence::new(at(1_000), zones);
    for (zone, statement) in said {
        evidence.record_statement(&zone.parse().unwrap(), statement, &software("v1"));
    }
    if let Some(ms) = confirmed_ms {
        evidence.record_confirmation(at(ms));
    }
    evidence.is_sufficient()
}

/// Guards against a node that goes on with a stream by what it knew before the stream began, or because one of
/// several nodes agrees.
#[test]
fn a_stream_goes_on_only_by_recent_knowledge() {
    // Arrange
    let (same, other) = (|| ("own", says("v1", false)), || ("own", says("v2", false)));
    let several = VersionStatement { versions: KnownVersions::Several, is_confirmed: false };

    // Act
    let by_confirmation = [None, Some(999), Some(1_000)].map(|ms| may_go_on(&["own"], &[], ms));
    let by_nodes = [
        may_go_on(&["own"], &[same()], None),
        may_go_on(&["own"], &[same(), other()], None),
        may_go_on(&["own"], &[same(), ("own", several)], None),
        may_go_on(&["own"], &[other()], Some(1_100)),
    ];

    // Assert
    assert_eq!(by_confirmation, [false, false, true]);
    assert_eq!(by_nodes, [true, false, false, true]);
}

/// Guards against nodes that are out of step together, as those of a zone that is cut off, and confirm each other.
#[test]
fn nodes_of_one_zone_do_not_confirm_each_other_while_others_are_silent() {
    // Arrange
    let zones = ["own", "second", "third"];
    let same = |zone| (zone, says("v1", false));

    // Act
    let own_only = may_go_on(&zones, &[same("own"), same("own")], None);
    let without_third = may_go_on(&zones, &[same("own"), same("second")], None);
    let all_zones = may_go_on(&zones, &[same("own"), same("second"), same("third")], None);
    let no_others = may_go_on(&[], &[], None);

    // Assert
    assert_eq!([own_only, without_third, all_zones, no_others], [false, false, true, false]);
}

/// Guards against streams that are refused although a node has confirmed what it knows, and against a node that is
/// believed although another one knows more.
#[test]
fn one_node_that_is_in_step_is_enough() {
    // Arrange
    let zones = ["own", "second", "third"];
    let in_step = ("second", says("v1", true));

    // Act
    let confirmed = may_go_on(&zones, std::slice::from_ref(&in_step), None);
    let differing = may_go_on(&zones, &[in_step, ("third", says("v2", false))], None);

    // Assert
    assert_eq!([confirmed, differing], [true, false]);
}

/// Guards against nodes that have just started and count as if they knew another version, or as if they agreed.
#[test]
fn a_node_that_knows_no_version_is_no_evidence() {
    // Arrange
    let zones = ["own", "second"];
    let started = || VersionStatement { versions: KnownVersions::Unknown, is_confirmed: false };
    let same = |zone| (zone, says("v1", false));
    let known = |history: &SoftwareHistory, ms| history.known_versions(&service(), at(ms));
    let mut of_started = SoftwareHistory::default();

    // Act
    let beside_others = may_go_on(&zones, &[("own", started()), same("own"), same("second")], None);
    let alone_in_zone = may_go_on(&zones, &[same("own"), ("second", started())], None);
    let at_start = known(&of_started, 0);
    of_started
        .record_begun(&StreamOrigin { service: service(), software: software("v2") }, at(100));
    let with_record = known(&of_started, 100);

    // Assert: one that keeps a stream does not know that there are no others.
    assert_eq!([beside_others, alone_in_zone], [true, false]);
    assert_eq!((at_start, with_record), (KnownVersions::Unknown, KnownVersions::Several));
}

/// Guards against a keeper that knows one version although it keeps a stream of another one.
#[test]
fn a_kept_stream_shows_that_its_version_has_begun_streams() {
    // Arrange
    let mut history = new_history();
    observe(&mut history, &["v1"], 0);
    let origin = |name| StreamOrigin { service: service(), software: software(name) };

    // Act
    history.record_begun(&origin("v1"), at(500));
    let of_own_version = sole(&history, 500);
    history.record_begun(&origin("v2"), at(1_000));
    observe(&mut history, &["v1"], 2_000);
    let of_another = sole(&history, 2_000);
    observe(&mut history, &["v1"], 1_000 + LATER_MS);
    let later = sole(&history, 1_000 + LATER_MS);

    // Assert
    assert_eq!(of_own_version, Some(software("v1")));
    assert_eq!(of_another, None);
    assert_eq!(later, Some(software("v1")));
}
