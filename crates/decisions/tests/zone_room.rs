//! Tests of the exchange of outstanding requests within a zone: what counts, for how long, and what an
//! endpoint's estimated load becomes.

mod gateway_fixtures;

use gateway_fixtures::{at, id};
use yuccapass_decisions::gateway::zone_room::{
    EndpointKey, EndpointUse, OutstandingSum, OutstandingSummary, Receipt, RoomReply, RoomStamp,
    SummaryScope, ZoneRoom, load_spread, weight,
};
use yuccapass_decisions::gateway::{
    EndpointTracker, EndpointTrackerSettings, LoadReport, ZoneLoad,
};
use yuccapass_types::{EndpointId, Incarnation, Instant, NodeId, Tokens};

fn run(number: u64) -> Incarnation {
    Incarnation::new(number)
}

fn node(name: &str) -> NodeId {
    id(name)
}

fn endpoint(name: &str) -> EndpointId {
    id(name)
}

fn key(name: &str) -> EndpointKey {
    EndpointKey::of(&endpoint(name))
}

fn used(requests: u32) -> EndpointUse {
    EndpointUse { requests, tokens: Tokens::new(u64::from(requests) * 100), sent: 0 }
}

fn sum(uses: &[(&str, u32)]) -> OutstandingSum {
    OutstandingSum::of_node(uses.iter().map(|(name, requests)| (key(name), used(*requests))))
}

/// A relay of the zone, with the incarnation 1.
fn relay() -> ZoneRoom {
    ZoneRoom::new(node("relay-1"), run(1))
}

fn stamp(ms: u64) -> Option<RoomStamp> {
    Some(RoomStamp { incarnation: run(1), at: at(ms) })
}

fn summary(sequence: u64, stamp_ms: u64, uses: &[(&str, u32)]) -> OutstandingSummary {
    OutstandingSummary::new(SummaryScope::Node, sequence, stamp(stamp_ms), sum(uses))
}

fn requests_at(room: &ZoneRoom, name: &str, now: Instant) -> f64 {
    room.others(&endpoint(name), now).requests
}

fn tracker() -> EndpointTracker {
    EndpointTracker::new(EndpointTrackerSettings::default())
}

fn zone_load(requests: u32, as_of: Instant) -> ZoneLoad {
    ZoneLoad {
        requests,
        tokens: Tokens::new(u64::from(requests) * 100),
        spread: 0.0,
        coverage: 1.0,
        as_of,
    }
}

fn report(running: u32) -> LoadReport {
    LoadReport { running, ..LoadReport::default() }
}

/// Guards against a node that hears of its own requests as those of others, and against a relay that leaves
/// out its own.
#[test]
fn a_follower_hears_of_all_other_nodes() {
    // Arrange
    let mut room = relay();
    room.record_summary((&node("n-1"), run(5)), summary(1, 1_000, &[("e", 2)]), at(1_030));
    room.record_summary(
        (&node("n-2"), run(5)),
        summary(1, 1_000, &[("e", 3), ("f", 1)]),
        at(1_030),
    );

    // Act
    let reply = room.reply(&node("n-1"), SummaryScope::Node, &sum(&[("e", 10)]), at(1_100));

    // Assert
    assert_eq!(reply.stamp, RoomStamp { incarnation: run(1), at: at(1_100) });
    assert_eq!(reply.sum.nodes, 2);
    assert_eq!(reply.sum.uses.len(), 2);
    assert_eq!(reply.sum.uses.get(&key("e")), Some(&used(13)));
    assert_eq!(reply.sum.uses.get(&key("f")), Some(&used(1)));
}

/// Guards against requests that are counted twice because relays pass on what they heard from each other.
#[test]
fn relays_exchange_only_their_own_followers() {
    // Arrange
    let mut room = relay();
    let of_relay = OutstandingSummary::new(SummaryScope::Relay, 1, stamp(1_000), sum(&[("e", 7)]));
    room.record_summary((&node("relay-2"), run(5)), of_relay, at(1_000));
    room.record_summary((&node("n-1"), run(5)), summary(1, 1_000, &[("e", 2)]), at(1_000));

    // Act
    let own = OutstandingSum::of_node([]);
    let for_relay = room.reply(&node("relay-2"), SummaryScope::Relay, &own, at(1_000));
    let for_follower = room.reply(&node("n-9"), SummaryScope::Node, &own, at(1_000));

    // Assert
    assert_eq!(for_relay.sum.uses.get(&key("e")), Some(&used(2)));
    assert_eq!(for_follower.sum.uses.get(&key("e")), Some(&used(9)));
    assert_eq!(requests_at(&room, "e", at(1_000)), 9.0);
}

/// Guards against a silent node, whose requests would fill an endpoint for ever.
#[test]
fn a_silent_node_counts_less_and_then_not_at_all() {
    // Arrange
    let mut room = relay();
    room.record_summary((&node("n-1"), run(5)), summary(1, 1_000, &[("e", 8)]), at(1_030));

    // Act
    let requests = [1_100, 1_900, 2_199].map(|ms| requests_at(&room, "e", at(ms)));
    let later = room.others(&endpoint("e"), at(2_200));

    // Assert
    assert_eq!(requests, [8.0, 4.0, 0.0]);
    assert_eq!((later.requests, later.age_ms), (0.0, None));
}

/// Guards against a node that falls silent after its relay did: the counts must age on the way too.
#[test]
fn a_silent_relay_leaves_its_followers_with_their_own_estimate() {
    // Arrange
    let mut room = ZoneRoom::new(node("n-1"), run(9));
    let reply = RoomReply {
        stamp: RoomStamp { incarnation: run(1), at: at(77) },
        sum: OutstandingSum { age_ms: 200, ..sum(&[("e", 6)]) },
    };

    // Act: the request was sent at 5 s and held for 250 ms.
    room.record_followed_reply(1, &reply, (at(5_000), 250), at(5_260));
    let fresh = room.others(&endpoint("e"), at(5_300));
    let old = room.others(&endpoint("e"), at(6_250));

    // Assert
    assert_eq!((fresh.requests, fresh.age_ms), (6.0, Some(250)));
    assert_eq!((old.requests, old.age_ms), (0.0, None));
}

/// Guards against a frozen node or relay whose old counts look new when it goes on: a reply that waited in
/// the buffer of a frozen follower, and a summary that waited in that of a frozen relay.
#[test]
fn counts_from_before_a_freeze_are_old() {
    // Arrange
    let mut follower = ZoneRoom::new(node("n-1"), run(9));
    let reply =
        RoomReply { stamp: RoomStamp { incarnation: run(1), at: at(0) }, sum: sum(&[("e", 6)]) };
    let mut relay = relay();

    // Act
    let of_follower = follower.record_followed_reply(1, &reply, (at(1_000), 250), at(9_000));
    let of_relay =
        relay.record_summary((&node("n-1"), run(5)), summary(1, 1_000, &[("e", 8)]), at(9_000));

    // Assert
    assert_eq!([of_follower, of_relay], [Receipt::Outdated; 2]);
    assert_eq!(requests_at(&follower, "e", at(9_000)), 0.0);
    assert_eq!(requests_at(&relay, "e", at(9_000)), 0.0);
}

/// Guards against a late copy of a summary that takes the place of a later one, from the same process or
/// from one before a restart.
#[test]
fn a_late_copy_changes_nothing() {
    // Arrange
    let mut room = relay();
    room.record_summary((&node("n-1"), run(5)), summary(7, 1_000, &[("e", 1)]), at(1_010));
    room.record_summary((&node("n-2"), run(6)), summary(1, 1_000, &[("f", 1)]), at(1_010));

    // Act
    let same =
        room.record_summary((&node("n-1"), run(5)), summary(6, 1_000, &[("e", 9)]), at(1_020));
    let before =
        room.record_summary((&node("n-2"), run(5)), summary(99, 1_000, &[("f", 9)]), at(1_020));

    // Assert
    assert_eq!([same, before], [Receipt::Outdated; 2]);
    assert_eq!(requests_at(&room, "e", at(1_030)), 1.0);
    assert_eq!(requests_at(&room, "f", at(1_030)), 1.0);
}

/// Guards against the requests of a killed process, which end with it, being counted beside those of the
/// next one, and against a new process whose sequence starts again being ignored.
#[test]
fn a_restarted_node_replaces_what_it_told_before() {
    // Arrange
    let mut room = relay();
    room.record_summary((&node("n-1"), run(5)), summary(70, 1_000, &[("e", 9)]), at(1_010));

    // Act: the first request has no stamp yet.
    let first = OutstandingSummary::new(SummaryScope::Node, 1, None, sum(&[("e", 5)]));
    let first_receipt = room.record_summary((&node("n-1"), run(6)), first, at(1_020));
    let after_first = requests_at(&room, "e", at(1_020));
    let second =
        room.record_summary((&node("n-1"), run(6)), summary(2, 1_025, &[("e", 2)]), at(1_030));

    // Assert
    assert_eq!([first_receipt, second], [Receipt::Unstamped, Receipt::Merged]);
    assert_eq!([after_first, requests_at(&room, "e", at(1_030))], [0.0, 2.0]);
}

/// Guards against ages from another clock: a stamp of an earlier process of the relay, or from the future.
#[test]
fn a_stamp_of_another_process_says_nothing() {
    // Arrange
    let mut room = relay();
    let with_stamp = |incarnation, ms| {
        let echo = Some(RoomStamp { incarnation: run(incarnation), at: at(ms) });
        OutstandingSummary::new(SummaryScope::Node, 1, echo, sum(&[("e", 5)]))
    };

    // Act
    let of_earlier = room.record_summary((&node("n-1"), run(5)), with_stamp(0, 990), at(1_000));
    let of_future = room.record_summary((&node("n-1"), run(5)), with_stamp(1, 1_001), at(1_000));

    // Assert
    assert_eq!([of_earlier, of_future], [Receipt::Unstamped; 2]);
}

/// Guards against one frozen node that makes the counts of all others look old, and against a sum in which
/// an old count becomes a new one.
#[test]
fn a_sum_carries_the_mean_age_of_its_counts() {
    // Arrange
    let mut room = relay();
    room.record_summary((&node("n-1"), run(5)), summary(1, 1_000, &[("e", 3)]), at(1_010));
    room.record_summary((&node("n-2"), run(5)), summary(1, 1_400, &[("e", 3)]), at(1_410));

    // Act
    let sum = room.sum_of_others(at(1_500));

    // Assert: 500 ms and 100 ms.
    assert_eq!((sum.age_ms, sum.nodes), (300, 2));
    assert_eq!(sum.uses.get(&key("e")), Some(&used(6)));
}

/// Guards against messages that exceed a frame because a node has requests at thousands of endpoints.
#[test]
fn the_size_of_a_sum_is_bounded() {
    // Arrange
    let uses = (0..5_000_u32).map(|number| (EndpointKey::new(number), used(number)));

    // Act
    let sum = OutstandingSum::of_node(uses);

    // Assert: the busiest ones are kept.
    assert_eq!(sum.uses.len(), 1_024);
    assert!(sum.uses.values().all(|used| used.requests >= 5_000 - 1_024));
    assert!(sum.size().get() < 20_000);
}

/// Guards against totals that include the endpoints of other services.
#[test]
fn the_demand_of_a_service_counts_its_endpoints() {
    // Arrange
    let mut room = relay();
    let uses = [("a-1", 2), ("a-2", 3), ("b-1", 50)];
    room.record_summary((&node("n-1"), run(5)), summary(1, 1_000, &uses), at(1_000));

    // Act
    let demand = room.demand(&[endpoint("a-1"), endpoint("a-2"), endpoint("a-3")], at(1_000));

    // Assert
    assert_eq!(demand, used(5));
}

/// Guards against a weight that grows with the age, or that never ends.
#[test]
fn the_weight_falls_with_the_age() {
    let weights = [0, 600, 900, 1_200, u64::MAX].map(weight);

    assert_eq!(weights, [1.0, 1.0, 0.5, 0.0, 0.0]);
}

/// Guards against an estimate that misses what the other nodes have sent since the last report, and
/// against one that counts their earlier requests twice.
#[test]
fn the_zone_says_what_was_sent_after_the_report() {
    // Arrange: the report counts 10 requests, of which the zone knows 6 and this node 1.
    let mut tracker = tracker();
    tracker.record_sent(Tokens::new(100));
    tracker.record_zone_load(zone_load(6, at(1_000)));
    tracker.record_load(report(10), at(1_000));

    // Act
    let at_report = tracker.load(at(1_000));
    tracker.record_zone_load(zone_load(9, at(1_000)));
    let after_more = tracker.load(at(1_000));
    tracker.record_zone_load(zone_load(0, at(1_000)));
    let after_all_ended = tracker.load(at(1_000));

    // Assert: 3 requests of other zones remain.
    assert_eq!([at_report, after_more, after_all_ended], [10.0, 13.0, 4.0]);
}

/// Guards against a zone whose exchange has stopped and that goes on with its last counts.
#[test]
fn an_old_count_leaves_the_report_alone() {
    // Arrange
    let (mut with_zone, mut plain) = (tracker(), tracker());
    with_zone.record_zone_load(zone_load(50, at(0)));
    for tracker in [&mut with_zone, &mut plain] {
        tracker.record_sent(Tokens::new(100));
        tracker.record_load(report(10), at(1_000));
    }

    // Act
    let loads = [&with_zone, &plain].map(|tracker| tracker.load(at(1_200)));
    let tokens = [&with_zone, &plain].map(|tracker| tracker.load_tokens(at(1_200)));

    // Assert
    assert_eq!(loads[0], loads[1]);
    assert_eq!(tokens[0], tokens[1]);
}

/// Guards against counts of a few nodes that stand for the whole zone, such as those of a relay that has
/// just started, or where most nodes have an earlier version.
#[test]
fn counts_weigh_by_the_share_of_nodes_that_they_cover() {
    // Arrange
    let mut tracker = tracker();
    tracker.record_load(report(8), at(1_000));

    // Act
    tracker.record_zone_load(ZoneLoad { coverage: 0.0, ..zone_load(0, at(1_000)) });
    let of_none = tracker.load(at(1_000));
    tracker.record_zone_load(ZoneLoad { coverage: 0.5, ..zone_load(4, at(1_000)) });
    let of_half = tracker.load(at(1_000));

    // Assert: half of 8, and half of the 4 that are known and the 8 that were reported before.
    assert_eq!([of_none, of_half], [8.0, 10.0]);
}

/// Guards against nodes with the same counts that all choose the endpoint with the lowest one: what the zone
/// sends until the next counts fills the lowest ones up to a common level.
#[test]
fn the_spread_reaches_as_far_as_the_arrivals_fill() {
    // Arrange: 4 arrivals fill the loads 1 and 3 up to 4, and 33 fill all up to 15.
    let loads = vec![8.0, 1.0, 3.0];

    // Act
    let spreads = [0.0, 4.0, 33.0].map(|arrivals| load_spread(loads.clone(), arrivals));

    // Assert: the mean of the random part is the height of the level over the lowest load.
    assert_eq!(spreads, [0.0, 6.0, 28.0]);
    assert_eq!(load_spread(Vec::new(), 5.0), 0.0);
}

/// Guards against a random part of the load that is added although the endpoint has just reported it.
#[test]
fn the_spread_grows_since_the_endpoint_was_last_seen() {
    // Arrange
    let spread = ZoneLoad { spread: 2.0, ..zone_load(6, at(1_000)) };
    let mut tracker = tracker();
    tracker.record_zone_load(spread);

    // Act
    let before = tracker.load(at(1_140));
    tracker.record_load(report(10), at(1_140));
    let at_report = tracker.load(at(1_140));

    // Assert
    assert_eq!([before, at_report], [7.0, 10.0]);
}

/// Guards against requests that are counted as those of another zone because the zone's counts are older
/// than the report, and against ended ones that are counted on.
#[test]
fn a_report_newer_than_the_counts_says_the_load() {
    // Arrange
    let (mut risen, mut fallen) = (tracker(), tracker());
    for (tracker, reported) in [(&mut risen, 10), (&mut fallen, 2)] {
        tracker.record_zone_load(zone_load(6, at(1_000)));
        tracker.record_load(report(reported), at(1_100));
    }

    // Act: the next counts were taken 100 ms after the report.
    let at_report = [&risen, &fallen].map(|tracker| tracker.load(at(1_100)));
    risen.record_zone_load(zone_load(14, at(1_200)));
    fallen.record_zone_load(zone_load(0, at(1_200)));
    let later = [&risen, &fallen].map(|tracker| tracker.load(at(1_100)));

    // Assert: at the report, the zone had 10 and 3 requests by interpolation.
    assert_eq!(at_report, [10.0, 2.0]);
    assert_eq!(later, [14.0, 0.0]);
}

/// Guards against keys that differ between nodes or versions, which would then count for other endpoints.
#[test]
fn the_key_of_an_endpoint_is_the_same_on_all_nodes() {
    // Arrange: two of the published test vectors of the hash.
    let vectors = [("a", "e40c292c"), ("foobar", "bf9cf968")];

    for (name, text) in vectors {
        // Act
        let key = EndpointKey::of(&endpoint(name));

        // Assert
        assert_eq!(key.to_string(), text);
        assert_eq!(text.parse(), Ok(key));
    }
}
