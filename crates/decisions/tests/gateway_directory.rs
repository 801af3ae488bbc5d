//! Which endpoints there are, around outages of the directory's service.

mod gateway_fixtures;

use gateway_fixtures::{at, directory, id, model, record};
use yuccapass_decisions::gateway::{Directory, EndpointRecord, EndpointState};
use yuccapass_types::{EndpointId, RegionId, ServiceId, SortedMap, WeightRevision};

fn eligible(directory: &Directory, regions: &[&[RegionId]]) -> Vec<String> {
    let service: ServiceId = id("models");
    directory.eligible(&service, regions).iter().map(|(id, _)| id.to_string()).collect()
}

/// Guards against requests to an endpoint that drains or has left while the service answers.
#[test]
fn an_endpoint_that_leaves_gets_nothing_at_once() {
    let mut directory = directory(&["w1", "w1", "w1"]);

    directory.remove(&id("e0"), at(1_000));
    let draining = EndpointRecord { state: EndpointState::Draining, ..record("w1") };
    directory.register(id("e1"), draining);

    assert_eq!(eligible(&directory, &[]), ["e2"]);
}

/// Guards against all endpoints vanishing because their registrations lapsed in an outage.
#[test]
fn lapsed_registrations_are_kept_until_they_could_be_renewed() {
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

/// Guards against dropping endpoints while the service is away and nobody can register.
#[test]
fn nothing_is_overdue_in_an_outage() {
    let mut directory = directory(&["w1"]);
    directory.source_lost();
    directory.source_recovered(at(0));
    directory.remove(&id("e0"), at(100));

    directory.source_lost();
    directory.expire(at(60_000));

    assert_eq!(eligible(&directory, &[]), ["e0"]);
}

/// Guards against a removal that is held back long after an outage.
#[test]
fn a_removal_after_the_grace_counts_at_once() {
    let mut directory = directory(&["w1", "w1"]);
    directory.source_lost();
    directory.source_recovered(at(0));

    directory.remove(&id("e0"), at(3_000));

    assert_eq!(eligible(&directory, &[]), ["e1"]);
}

/// Guards against requests to a zone that operators have taken out, also if it is taken out twice.
#[test]
fn an_evacuated_zone_gets_nothing() {
    let mut directory = directory(&["w1", "w2"]);

    directory.set_evacuated(id("w1"), true);
    directory.set_evacuated(id("w1"), true);
    let out = eligible(&directory, &[]);
    directory.set_evacuated(id("w1"), false);

    assert_eq!(out, ["e1"]);
    assert_eq!(eligible(&directory, &[]), ["e0", "e1"]);
}

/// Guards against a request that leaves the regions which its route or its organisation allows.
#[test]
fn both_lists_of_regions_bind() {
    let directory = directory(&["w1", "e1"]);
    let (west, east): (Vec<RegionId>, Vec<RegionId>) = (vec![id("west")], vec![id("east")]);

    assert_eq!(eligible(&directory, &[&west, &[]]), ["e0"]);
    assert_eq!(eligible(&directory, &[&west, &east]), Vec::<String>::new());
}

/// Guards against older named weights that replace newer ones, and a clock of the bound that starts
/// anew with each reading of the same weights.
#[test]
fn named_weights_never_go_back() {
    let mut directory = directory(&["w1"]);
    let endpoint: EndpointId = id("e0");

    directory.set_target_weights(model(), WeightRevision::new(3), at(1_000));
    directory.set_target_weights(model(), WeightRevision::new(2), at(2_000));
    directory.set_target_weights(model(), WeightRevision::new(3), at(9_000));

    let record = directory.endpoint(&endpoint).expect("the endpoint is registered").clone();
    let named = directory.target_weights(&model()).expect("weights were named");
    assert_eq!((named.weights, named.known_since), (WeightRevision::new(3), at(1_000)));
    assert!(!directory.is_past_weights_bound(&record, 8_000, at(8_999)));
    assert!(directory.is_past_weights_bound(&record, 8_000, at(9_000)));
}
