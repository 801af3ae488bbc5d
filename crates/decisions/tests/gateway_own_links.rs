//! Tests of a node's belief about its own links, and of the choice of another node.

use yuccapass_decisions::gateway::{Distance, Neighbour, Neighbours, OwnLinks, SampleResult};
use yuccapass_types::{Instant, NodeId, ZoneId};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn sample(reached: usize, failed: usize) -> SampleResult {
    SampleResult { reached, failed }
}

/// Links from which something was heard at 1 s.
fn heard_links() -> OwnLinks {
    let mut links = OwnLinks::default();
    links.record_heard(at(1_000));
    links
}

/// Links that are lost since a sample at 2 s.
fn lost_links() -> OwnLinks {
    let mut links = heard_links();
    links.begin_sample(at(2_000));
    links.end_sample(sample(0, 5));
    links
}

fn neighbour(node: &str, zone: &str) -> Neighbour {
    Neighbour {
        node: node.parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

fn neighbours() -> Neighbours {
    let mut neighbours = Neighbours::default();
    neighbours.replace(vec![
        neighbour("node-4", "far"),
        neighbour("node-2", "own"),
        neighbour("node-3", "near"),
        neighbour("node-1", "own"),
    ]);
    neighbours
}

fn distance(zone: &ZoneId) -> Option<Distance> {
    match zone.as_str() {
        "own" => Some(Distance::SameZone),
        "near" => Some(Distance::SameRegion),
        _ => Some(Distance::OtherRegion),
    }
}

/// Guards against a node that takes one silent endpoint for the loss of its own links, or connects to many
/// endpoints whenever one fails.
#[test]
fn a_failure_beside_answers_leads_to_no_sample() {
    // Arrange
    let mut links = heard_links();

    // Act
    let beside_answers = links.record_broken(at(1_100));
    let one_connection = links.record_not_connected(at(1_100));
    let in_silence = links.record_broken(at(1_300));

    // Assert
    assert!(!beside_answers && !one_connection);
    assert!(in_silence);
}

/// Guards against a node that does not notice that new connections are refused, since the open ones live on.
#[test]
fn connections_that_fail_in_a_row_lead_to_a_sample() {
    // Arrange
    let (mut broken, mut sound) = (heard_links(), heard_links());

    // Act
    let due: Vec<bool> = (0..3).map(|_| broken.record_not_connected(at(1_010))).collect();
    let with_successes: Vec<bool> = (0..5)
        .map(|_| {
            sound.record_connected();
            sound.record_not_connected(at(1_010))
        })
        .collect();

    // Assert
    assert_eq!(due, [false, false, true]);
    assert!(with_successes.iter().all(|is_due| !is_due), "{with_successes:?}");
}

/// Guards against a node that gives its links up while it reaches most endpoints, changes its mind with each sample
/// while it reaches a few, or does not notice that they are back.
#[test]
fn links_are_lost_if_most_endpoints_are_out_of_reach() {
    // Arrange
    let mut links = heard_links();
    let samples =
        [sample(2, 3), sample(0, 0), sample(1, 4), sample(2, 3), sample(0, 5), sample(3, 2)];

    // Act
    let states = samples.map(|result| {
        links.begin_sample(at(2_000));
        links.end_sample(result);
        (links.are_lost(), links.reach_some())
    });

    // Assert: without endpoints a sample shows nothing.
    let (sound, mostly, all) = ((false, false), (true, true), (true, false));
    assert_eq!(states, [sound, sound, mostly, mostly, all, sound]);
}

/// Guards against two samples at once, and against a loss after which no sample follows.
#[test]
fn samples_are_repeated_while_the_links_are_lost() {
    // Arrange
    let mut links = lost_links();

    // Act
    let next = links.next_sample();
    let first = links.begin_sample(at(2_200));
    let second = links.begin_sample(at(2_210));

    // Assert
    assert!(next.is_some_and(|next| next.has_passed(at(2_500))));
    assert!(first && !second);
    assert_eq!(heard_links().next_sample(), None);
}

/// Guards against evidence about crashes from paths that are broken, and against crashes that are not counted because a
/// request has crashed most endpoints.
#[test]
fn a_sample_that_reaches_no_endpoint_shows_broken_paths() {
    // Arrange
    let results = [sample(0, 5), sample(1, 4), sample(5, 0), sample(0, 0)];

    // Act
    let are_broken = results.map(SampleResult::reaches_none);

    // Assert
    assert_eq!(are_broken, [true, false, false, false]);
}

/// Guards against requests that leave their zone, or the regions in which they may be served.
#[test]
fn the_nearest_allowed_node_is_chosen() {
    // Arrange
    let mut neighbours = neighbours();
    let tried: Vec<NodeId> = vec!["node-1".parse().unwrap(), "node-2".parse().unwrap()];
    let far_only = |zone: &ZoneId| distance(zone).filter(|_| zone.as_str() == "far");
    let mut choose = |distance: &dyn Fn(&ZoneId) -> Option<Distance>, tried: &[NodeId], random| {
        neighbours.choose(distance, tried, random, at(0)).map(|known| known.node.to_string())
    };

    // Act
    let of_zone = [0.0, 0.99, 1.0].map(|random| choose(&distance, &[], random));
    let of_region = choose(&distance, &tried, 0.5);
    let far = choose(&far_only, &[], 0.5);
    let none = choose(&|_| None, &[], 0.5);

    // Assert
    let [first, last, one] = of_zone.map(Option::unwrap);
    assert_eq!((first.as_str(), last.as_str(), one.as_str()), ("node-1", "node-2", "node-2"));
    assert_eq!(of_region.as_deref(), Some("node-3"));
    assert_eq!(far.as_deref(), Some("node-4"));
    assert_eq!(none, None);
}

/// Guards against requests that all try a node first that does not serve them.
#[test]
fn a_node_that_refused_is_avoided_for_a_while() {
    // Arrange
    let mut neighbours = neighbours();

    // Act
    neighbours.avoid("node-1".parse().unwrap(), at(0));
    let mut choose = |now| neighbours.choose(distance, &[], 0.0, now).unwrap().node.to_string();
    let (soon, later) = (choose(at(500)), choose(at(1_500)));

    // Assert
    assert_eq!((soon.as_str(), later.as_str()), ("node-2", "node-1"));
}
