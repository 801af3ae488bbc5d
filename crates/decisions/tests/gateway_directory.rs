//! Tests of the endpoint directory, mostly around outages of the key-value service.

mod gateway_fixtures;

use gateway_fixtures::{at, deadlines, directory, id, model, record, zones};
use yuccapass_decisions::gateway::{AllowedRegions, Directory, EndpointRecord, EndpointState};
use yuccapass_types::{EndpointId, Instant, RegionId, ServiceId, SortedMap, WeightRevision};

fn eligible(directory: &Directory, regions: &[&[RegionId]]) -> Vec<String> {
    let service: ServiceId = id("models");
    let regions = AllowedRegions::new(regions.iter().copied());
    directory.eligible(&service, &regions).iter().map(|(id, _)| id.to_string()).collect()
}

fn is_past_bound(directory: &Directory, record: &EndpointRecord, now: Instant) -> bool {
    let outdated = directory.outdated(record, Some(&model()));
    outdated.is_some_and(|outdated| outdated.deadlines.bound_end.has_passed(now))
}

/// Guards against requests to an endpoint that is draining, or whose registration was removed while
/// the key-value service answers.
#[test]
fn an_endpoint_that_leaves_gets_nothing_at_once() {
    let mut directory = directory(&["w1", "w1", "w1"]);

    directory.remove(&id("e0"), at(1_000));
    let draining = EndpointRecord { state: EndpointState::Draining, ..record("w1") };
    directory.register(id("e1"), draining);

    assert_eq!(eligible(&directory, &[]), ["e2"]);
}

/// Guards against the loss of all endpoints because their registrations expired during an outage.
#[test]
fn expired_registrations_are_kept_until_they_could_be_renewed() {
    let mut directory = directory(&["w1", "w2"]);

    directory.source_lost();
    directory.source_recovered(at(10_000));
    directory.replace(SortedMap::new(), at(10_000));
    directory.register(id("e1"), record("w2"));
    directory.expire(at(12_000));
    let before = eligible(&directory, &[]);
    directory.expire(at(12_300));

    assert_eq!(before, ["e0", "e1"]);
    assert_eq!(eligible(&directory, &[]), ["e1"]);
}

/// Guards against dropping endpoints during an outage, when they cannot register again.
#[test]
fn nothing_expires_in_an_outage() {
    let mut directory = directory(&["w1"]);
    directory.source_lost();
    directory.source_recovered(at(0));
    directory.remove(&id("e0"), at(100));

    directory.source_lost();
    directory.expire(at(60_000));

    assert_eq!(eligible(&directory, &[]), ["e0"]);
}

/// Guards against a removal that is delayed although the outage is long over.
#[test]
fn a_removal_after_the_grace_counts_at_once() {
    let mut directory = directory(&["w1", "w1"]);
    directory.source_lost();
    directory.source_recovered(at(0));

    directory.remove(&id("e0"), at(3_000));

    assert_eq!(eligible(&directory, &[]), ["e1"]);
}

/// Returns a registration of the process that was started at this time.
fn written(started_unix_ms: u64, sequence: u64, state: EndpointState) -> EndpointRecord {
    let started_unix_ms = Some(started_unix_ms);
    EndpointRecord { started_unix_ms, sequence: Some(sequence), state, ..record("w1") }
}

/// Guards against requests to an endpoint that drains, because the key-value service has come back from a
/// copy in which it was ready.
#[test]
fn an_older_registration_does_not_end_draining() {
    // Arrange
    let mut directory = Directory::new(zones());
    directory.register(id("e0"), written(1, 7, EndpointState::Ready));
    directory.register(id("e0"), written(1, 8, EndpointState::Draining));

    // Act: the copy, and then a newer registration.
    directory
        .replace([(id("e0"), written(1, 7, EndpointState::Ready))].into_iter().collect(), at(0));
    let after_copy = eligible(&directory, &[]);
    directory.register(id("e0"), written(1, 9, EndpointState::Ready));

    // Assert
    assert_eq!(after_copy, Vec::<String>::new());
    assert_eq!(eligible(&directory, &[]), ["e0"]);
}

/// Guards against requests to a process that has left, also if another one has taken its place, because the
/// key-value service has come back from a copy in which it was ready.
#[test]
fn an_older_registration_does_not_bring_a_process_back() {
    // Arrange
    let mut directory = Directory::new(zones());
    for name in ["e0", "e1"] {
        directory.register(id(name), written(1, 7, EndpointState::Ready));
    }
    directory.remove(&id("e0"), at(0));
    // The clock of the machine of the next process may be slow.
    directory.register(id("e1"), written(0, 1, EndpointState::Ready));

    // Act
    for name in ["e0", "e1"] {
        directory.register(id(name), written(1, 7, EndpointState::Ready));
    }

    // Assert
    let endpoint = directory.endpoint(&id("e1")).expect("the second process is registered");
    assert_eq!(endpoint.started_unix_ms, Some(0));
    assert_eq!(eligible(&directory, &[]), ["e1"]);
}

/// Guards against the loss of an endpoint that writes the same registration again, because it was lost and
/// came back only after the time for it.
#[test]
fn a_lost_registration_may_be_written_again() {
    // Arrange
    let mut directory = Directory::new(zones());
    for name in ["e0", "e1"] {
        directory.register(id(name), written(1, 7, EndpointState::Ready));
    }
    directory
        .replace([(id("e1"), written(1, 7, EndpointState::Ready))].into_iter().collect(), at(0));
    directory.source_lost();
    directory.source_recovered(at(0));
    directory.replace(SortedMap::new(), at(0));
    directory.expire(at(5_000));
    let before = eligible(&directory, &[]);

    // Act
    for name in ["e0", "e1"] {
        directory.register(id(name), written(1, 7, EndpointState::Ready));
    }

    // Assert
    assert_eq!(before, Vec::<String>::new());
    assert_eq!(eligible(&directory, &[]), ["e0", "e1"]);
}

/// Guards against requests to an evacuated zone, also if the evacuation is reported twice.
#[test]
fn an_evacuated_zone_gets_nothing() {
    let mut directory = directory(&["w1", "w2"]);

    directory.set_evacuated(id("w1"), true);
    directory.set_evacuated(id("w1"), true);
    let during_evacuation = eligible(&directory, &[]);
    directory.set_evacuated(id("w1"), false);

    assert_eq!(during_evacuation, ["e1"]);
    assert_eq!(eligible(&directory, &[]), ["e0", "e1"]);
}

/// Guards against a request that runs outside the regions that its route or organisation allows.
#[test]
fn both_lists_of_regions_apply() {
    let directory = directory(&["w1", "e1"]);
    let (west, east): (Vec<RegionId>, Vec<RegionId>) = (vec![id("west")], vec![id("east")]);

    assert_eq!(eligible(&directory, &[&west, &[]]), ["e0"]);
    assert_eq!(eligible(&directory, &[&west, &east]), Vec::<String>::new());
}

/// Guards against older target weights that replace newer ones, and against a bound that restarts
/// each time the same target weights are read.
#[test]
fn target_weights_never_go_back() {
    let mut directory = directory(&["w1"]);
    let endpoint: EndpointId = id("e0");

    directory.set_target_weights(model(), WeightRevision::new(3), deadlines(at(1_000), 8_000));
    directory.set_target_weights(model(), WeightRevision::new(2), deadlines(at(2_000), 8_000));
    directory.set_target_weights(model(), WeightRevision::new(3), deadlines(at(9_000), 8_000));

    let record = directory.endpoint(&endpoint).expect("the endpoint is registered").clone();
    let target = directory.target_weights(&model()).expect("the target weights were set");
    assert_eq!(
        (target.weights, target.deadlines),
        (WeightRevision::new(3), deadlines(at(1_000), 8_000))
    );
    assert!(!is_past_bound(&directory, &record, at(8_999)));
    assert!(is_past_bound(&directory, &record, at(9_000)));
}

/// Guards against an endpoint that lives and is never used again, because it writes the registration that it
/// had before it was removed.
#[test]
fn a_process_that_left_long_ago_may_come_back() {
    let mut directory = Directory::new(zones());
    directory.forget_departed(at(0));
    directory.register(id("e0"), written(1, 7, EndpointState::Ready));
    directory.remove(&id("e0"), at(0));

    directory.forget_departed(at(20_000));
    directory.register(id("e0"), written(1, 7, EndpointState::Ready));
    let soon = eligible(&directory, &[]);
    directory.forget_departed(at(90_000));
    directory.register(id("e0"), written(1, 7, EndpointState::Ready));

    assert_eq!(soon, Vec::<String>::new());
    assert_eq!(eligible(&directory, &[]), ["e0"]);
}

/// Guards against endpoints that are dropped too soon after a restoration, because a relay reports an earlier
/// end of the same outage.
#[test]
fn a_report_of_an_earlier_recovery_shortens_no_grace() {
    let mut directory = directory(&["w1"]);

    directory.source_lost();
    directory.source_recovered(at(10_000));
    directory.source_lost();
    directory.source_recovered(at(7_000));
    directory.remove(&id("e0"), at(10_500));

    assert_eq!(eligible(&directory, &[]), ["e0"]);
}

/// Guards against a registration that is older than an answer of the same process: the endpoint would
/// be asked for weights that it no longer has, and count as outdated.
#[test]
fn an_older_registration_does_not_take_back_learned_weights() {
    let mut directory = directory(&["w1", "w1"]);
    directory.record_served_weights(&id("e0"), Some(&model()), WeightRevision::new(2));
    directory.record_served_weights(&id("e1"), None, WeightRevision::new(2));

    directory.register(id("e0"), record("w1"));
    let restarted = EndpointRecord { started_unix_ms: Some(1), ..record("w1") };
    directory.register(id("e1"), restarted);

    let weights = |name: &str| directory.endpoint(&id(name)).map(|record| record.weights[0].1);
    assert_eq!(weights("e0"), Some(WeightRevision::new(2)));
    assert_eq!(weights("e1"), Some(WeightRevision::new(1)));
}

/// Guards against a registration without weights, which would end the bound on those that the process
/// serves.
#[test]
fn a_registration_without_weights_does_not_take_back_known_ones() {
    let mut directory = directory(&["w1"]);
    directory.set_target_weights(model(), WeightRevision::new(2), deadlines(at(0), 8_000));

    let without_weights = EndpointRecord { weights: Vec::new(), ..record("w1") };
    directory.register(id("e0"), without_weights);

    let known = directory.endpoint(&id("e0")).expect("the endpoint is registered");
    assert!(is_past_bound(&directory, known, at(8_000)));
}

/// Guards against a bound that starts over when newer target weights are named: endpoints with old
/// weights would get requests for as long as versions follow each other.
#[test]
fn a_newer_target_does_not_extend_the_bound_of_an_older_one() {
    // Arrange
    let mut directory = directory(&["w1", "w1"]);
    let swapped =
        EndpointRecord { weights: vec![(model(), WeightRevision::new(2))], ..record("w1") };
    directory.register(id("e1"), swapped);

    // Act
    for (weights, named_at_ms) in [(2, 0), (3, 6_000), (4, 12_000)] {
        let deadlines = deadlines(at(named_at_ms), 8_000);
        directory.set_target_weights(model(), WeightRevision::new(weights), deadlines);
    }

    // Assert: e0 is outdated since 0 s, and e1 since 6 s.
    let is_past = |name: &str, now_ms: u64| {
        let record = directory.endpoint(&id(name)).expect("the endpoint is registered");
        is_past_bound(&directory, record, at(now_ms))
    };
    assert_eq!([7_999, 8_000, 12_001].map(|now_ms| is_past("e0", now_ms)), [false, true, true]);
    assert_eq!([13_999, 14_000].map(|now_ms| is_past("e1", now_ms)), [false, true]);
}

/// Guards against memory that grows with each version, and against a longer bound for an endpoint
/// whose weights are older than all versions that are kept.
#[test]
fn many_targets_never_extend_the_bound_of_the_oldest_one() {
    let mut directory = directory(&["w1"]);

    for number in 0..1_000 {
        let deadlines = deadlines(at(number), 8_000);
        directory.set_target_weights(model(), WeightRevision::new(2 + number), deadlines);
    }

    let record = directory.endpoint(&id("e0")).expect("the endpoint is registered");
    assert!(!is_past_bound(&directory, record, at(7_999)));
    assert!(is_past_bound(&directory, record, at(8_000)));
}
