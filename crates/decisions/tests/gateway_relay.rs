//! Tests of relays: what followers know, how old it is, and how many calls reach the origin.

mod relay_model;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use relay_model::{Guard, Model};
use yuccapass_decisions::gateway::relay::{
    ChangeLog, Crossing, EraStep, HeldTopics, KnownPosition, OriginRead, OutageEnds, RelayItem,
    RelayTopics, RelayedEntry, TopicClass, TopicRequest, ValueDigest, confirmed_at,
};
use yuccapass_types::{Bytes, Instant};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn entry(revision: u64, value: usize) -> (u64, RelayItem) {
    let value = Some(vec![0; value]);
    (revision, RelayItem::Entry(RelayedEntry { key: "op/a".into(), value, revision }))
}

fn read(from: u64, to: u64, items: Vec<(u64, RelayItem)>, sent_at: Instant) -> OriginRead {
    OriginRead { epoch: 1, from, to, items, sent_at, clock_ms: None }
}

fn request(epoch: u64, after: u64) -> TopicRequest {
    TopicRequest { topic: "keys:op/".into(), epoch, after }
}

/// A topic that was read from position 10 to 12 at 1 s.
fn topics() -> RelayTopics {
    let mut topics = RelayTopics::default();
    let items = vec![entry(11, 10), entry(12, 10)];
    topics.record_read(&"keys:op/".into(), read(10, 12, items, at(1_000)), at(1_100));
    topics
}

fn large_budget() -> Bytes {
    Bytes::new(1 << 20)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a log that leaves out a change, or claims to have changes that it has dropped.
    #[test]
    fn log_agrees_with_a_complete_list(
        reads in proptest::collection::vec((0u64..400, 0u64..3), 1..12), position in 0u64..3_000
    ) {
        // Arrange: reads that continue from each other, with gaps between the positions.
        let mut log = ChangeLog::new(0);
        let mut all: Vec<u64> = Vec::new();
        let mut end = 0;
        for (count, gap) in reads {
            let changes: Vec<u64> = (1..=count).map(|number| end + gap + number).collect();
            let to = end + gap + count;
            log.extend(end, changes.iter().map(|&change| (change, change)), to);
            all.extend(&changes);
            end = to;
        }

        // Act
        let since: Option<Vec<u64>> = log.since(position).map(|items| items.copied().collect());

        // Assert: a log that has the changes has all of them; the newest one is always there.
        let expected: Vec<u64> = all.iter().copied().filter(|&change| change > position).collect();
        prop_assert_eq!(log.end(), end);
        prop_assert!(since.as_ref().is_none_or(|since| *since == expected));
        prop_assert!(since.is_some() || expected.len() > 400);
    }

    /// Guards against a follower that takes a relay's knowledge for newer than it is, whatever the
    /// delays of request and reply and the difference between the clocks.
    #[test]
    fn confirmation_is_never_too_late(
        read_at in 0u64..10_000, wait in 0u64..5_000, to_relay in 0u64..5_000, held in 0u64..5_000,
    ) {
        // Arrange: the origin confirmed the state at `read_at`; the request was sent `wait` later,
        // arrived `to_relay` after that, and was held.
        let sent_at = read_at + wait;
        let replied_at = sent_at + to_relay + held;
        let age_ms = replied_at - read_at;

        // Act
        let confirmed = confirmed_at(at(sent_at), held, age_ms);

        // Assert
        prop_assert!(confirmed <= at(read_at));
    }
}

/// Guards against a follower that misses changes: those that its relay has not read, or that are
/// too many or too large for a reply, have to come from the origin.
#[test]
fn follower_reads_from_the_origin_what_its_relay_cannot_send() {
    // Arrange
    let topics = topics();
    let answer = |epoch: u64, after: u64, mut budget: Bytes| {
        let update = topics.answer(&request(epoch, after), &mut budget, at(1_500)).unwrap();
        (update.items.map(|items| items.len()), update.end, update.age_ms)
    };

    // Act
    let complete = answer(1, 10, large_budget());
    let partial = answer(1, 11, large_budget());
    let ahead = answer(1, 20, large_budget());
    let too_old = answer(1, 9, large_budget());
    let too_large = answer(1, 10, Bytes::new(20));
    let other_epoch = answer(2, 12, large_budget());
    let unknown = RelayTopics::default().answer(&request(1, 0), &mut large_budget(), at(0));

    // Assert
    assert_eq!(complete, (Some(2), 12, 500));
    assert_eq!(partial, (Some(1), 12, 500));
    assert_eq!(ahead, (Some(0), 20, 500));
    assert_eq!(too_old.0, None);
    assert_eq!(too_large.0, None);
    assert_eq!(other_epoch.0, None);
    assert_eq!(unknown, None);
}

/// Guards against followers that drop endpoints whose registrations lapsed in an outage that only
/// their relay has noticed.
#[test]
fn end_of_an_outage_is_passed_on() {
    // Arrange
    let mut topics = topics();
    topics.record_outage_end(&"keys:op/".into(), at(2_000));

    // Act
    let answer = |now| topics.answer(&request(1, 12), &mut large_budget(), now).unwrap();
    let (soon, late) = (answer(at(2_300)), answer(at(30_000)));

    // Assert
    assert_eq!(soon.outage_ended_at(at(2_200), 100), Some(at(2_000)));
    assert_eq!(late.outage_age_ms, None);
}

/// Guards against followers that take repeated reports of one outage for several: each would keep
/// endpoints that leave for as long as if their registrations had lapsed in the outage.
#[test]
fn reports_of_one_outage_count_once() {
    // Arrange: the reports are too early by the time that the requests took.
    let mut ends = OutageEnds::default();

    // Act
    let reports = [5_000, 4_990, 5_040, 5_300, 9_000, 8_950].map(|ms| ends.record(at(ms)));

    // Assert
    assert_eq!(reports, [true, false, false, false, true, false]);
}

/// Guards against followers that take an outage of their relay for one of the service, although the
/// service answered them at that time, and against ignoring outages from before or after it.
#[test]
fn an_outage_of_a_relay_does_not_count_for_a_follower_that_was_served() {
    // Arrange: the follower read from the origin itself from 2 s to 5 s.
    let mut served = OutageEnds::default();
    served.record_own_answer(at(2_000), true, at(2_050));
    served.record_own_answer(at(3_800), false, at(5_000));

    // Act
    let reports = [500, 2_500, 4_999, 7_000].map(|ms| served.record(at(ms)));

    // Assert
    assert_eq!(reports, [true, false, false, true]);
}

/// Guards against followers that keep what a relay knew before the origin ceased to answer it: they would
/// miss the changes since then.
#[test]
fn a_relay_that_the_origin_does_not_answer_sends_nothing() {
    // Arrange
    let mut topics = topics();
    let answer = |topics: &RelayTopics| {
        topics.answer(&request(1, 12), &mut large_budget(), at(1_500)).is_some()
    };
    let before = (answer(&topics), topics.has_news(&request(1, 12)));

    // Act
    topics.record_lost(&"keys:op/".into());
    let lost = (answer(&topics), topics.has_news(&request(1, 12)));
    topics.record_read(&"keys:op/".into(), read(12, 12, Vec::new(), at(2_000)), at(2_100));
    let after = (answer(&topics), topics.has_news(&request(1, 12)));

    // Assert: followers with held requests hear of it at once.
    assert_eq!((before, lost, after), ((true, false), (false, true), (true, false)));
}

/// Guards against relays that break a rule for their followers while nodes are frozen, killed and
/// cut off from the origin in any order: a change that is taken as confirmed but was not read, a
/// position that goes back, and an undisturbed node that hears of a change too late or cannot
/// confirm its keys.
#[test]
fn followers_keep_the_rules_under_faults() {
    for seed in 0..12 {
        // Arrange
        let model = Model::new(3, 12, seed, Guard::Complete);

        // Act
        let report = model.run(60, 0.4);

        // Assert
        assert_eq!(report.violation, None, "seed {seed}");
    }
}

/// Guards against a model that would not notice a broken rule.
#[test]
fn model_notices_each_missing_guard() {
    for guard in [
        Guard::WithoutAge,
        Guard::WithoutMaxAge,
        Guard::WithoutTimeout,
        Guard::WithoutShortFirstWatch,
    ] {
        // Arrange
        let models = (0..12).map(|seed| Model::new(3, 12, seed, guard));

        // Act
        let violations = models.filter_map(|model| model.run(60, 0.4).violation).count();

        // Assert
        assert!(violations > 0, "{guard:?}");
    }
}

/// When the origin of a model comes back from an older copy: once, and twice within a moment.
const RESTORATIONS_MS: [u64; 3] = [15_000, 35_000, 35_400];

/// Guards against relays and followers that mix two histories of an origin which comes back from an older
/// copy and gives its positions out again: a node that keeps a change which the copy lacks, and one that
/// takes its settings for confirmed although its relay still reads the ended era.
#[test]
fn followers_keep_the_rules_when_the_origin_comes_back_from_a_copy() {
    for seed in 0..12 {
        for faults_per_s in [0.0, 0.4] {
            // Arrange
            let model = Model::new(3, 12, seed, Guard::Complete).restore_at_ms(&RESTORATIONS_MS);

            // Act
            let report = model.run(60, faults_per_s);

            // Assert
            assert_eq!(report.violation, None, "seed {seed}, {faults_per_s} faults/s");
        }
    }
}

/// Guards against a node that was cut off while the origin came back, once or twice, and then continues
/// from its position of an ended era: a relay, a follower, and a node of a zone without followers.
#[test]
fn a_node_that_was_cut_off_through_a_restoration_keeps_the_rules() {
    for (nodes, number) in [(12, 0), (12, 7), (3, 0)] {
        for times in [&RESTORATIONS_MS[..1], &[15_000, 18_000]] {
            // Arrange
            let model = Model::new(2, nodes, 3, Guard::Complete).restore_at_ms(times);

            // Act
            let report = model.cut_off(number, 25_000).run(60, 0.0);

            // Assert
            assert_eq!(report.violation, None, "node {number} of {nodes}");
        }
    }
}

/// Guards against a model that would not notice nodes that mix two histories.
#[test]
fn model_notices_missing_eras() {
    // Arrange
    let models = (0..12).map(|seed| Model::new(3, 12, seed, Guard::WithoutEras));

    // Act
    let run = |model: Model| model.restore_at_ms(&RESTORATIONS_MS).run(60, 0.4).violation;
    let violations = models.filter_map(run).count();

    // Assert
    assert!(violations > 0);
}

/// Guards against a storm of calls when all nodes list again after a restoration.
#[test]
fn a_restoration_costs_a_few_calls_of_each_node() {
    // Arrange: 126 nodes.
    let run =
        |times: &[u64]| Model::new(6, 21, 1, Guard::Complete).restore_at_ms(times).run(30, 0.0);

    // Act
    let (without, with) = (run(&[]), run(&[15_000]));

    // Assert: one list of each node, and few watch calls around it.
    assert_eq!((without.violation, with.violation), (None, None));
    assert_eq!((without.origin_lists, with.origin_lists), (126, 252));
    let (few, many) = (without.origin_calls, with.origin_calls);
    assert!(many <= few + 2 * 126, "{few} calls without, {many} with a restoration");
}

/// Guards against a follower that continues in another era of the key-value service: from the changes of a
/// relay that has not noticed a restoration, or from its own position in the relay's era.
#[test]
fn a_follower_does_not_continue_in_another_era() {
    // Arrange: the relay has all changes of the era from its beginning.
    let mut relay = RelayTopics::default();
    relay.set_class("keys:op/".into(), TopicClass::Urgent);
    let items = vec![entry(1, 10), entry(2, 10)];
    relay.record_read(&"keys:op/".into(), read(0, 2, items, at(1_000)), at(1_100));
    let answer = |epoch| relay.answer(&request(epoch, 2), &mut large_budget(), at(1_200)).unwrap();

    // Act
    let steps = [0, 1, 2].map(|epoch| {
        let update = answer(epoch);
        EraStep::of(epoch, update.epoch, update.items.is_some())
    });

    // Assert: the relay reads era 1.
    assert_eq!(steps, [EraStep::ListAgain, EraStep::Apply, EraStep::Refuse]);
}

/// Returns a relay that knew the changes 11 and 12 of era 1, and listed revision 9 of era 2: one entry was
/// different. A change followed.
fn relay_in_second_era(known_end: u64) -> RelayTopics {
    let mut relay = topics();
    relay.set_class("keys:op/".into(), TopicClass::Urgent);
    let list = OriginRead { epoch: 2, ..read(9, 9, Vec::new(), at(2_000)) };
    let items = vec![entry(9, 10).1];
    let crossing = Crossing { epoch: 1, end: known_end, items };
    relay.record_crossing(&"keys:op/".into(), list, crossing, at(2_100));
    let next = OriginRead { epoch: 2, ..read(9, 10, vec![entry(10, 10)], at(2_200)) };
    relay.record_read(&"keys:op/".into(), next, at(2_300));
    relay
}

/// Guards against followers that cannot reach the origin and so never hear what is different after it came
/// back from an older copy, and against followers that are led there from a position which the relay did
/// not know: they would keep what the copy lacks.
#[test]
fn a_relay_leads_its_followers_into_the_next_era() {
    // Arrange
    let (relay, behind) = (relay_in_second_era(12), relay_in_second_era(14));
    let revisions = |relay: &RelayTopics, epoch, after| {
        let update = relay.answer(&request(epoch, after), &mut large_budget(), at(2_400)).unwrap();
        assert_eq!((update.epoch, update.end), (2, 10));
        let items = update.items.into_iter().flatten();
        items
            .map(|item| match item {
                RelayItem::Entry(entry) => entry.revision,
                RelayItem::Reference(_) | RelayItem::Part(_) => 0,
            })
            .collect::<Vec<u64>>()
    };

    // Act
    let led = [(1, 11), (1, 12), (2, 9)].map(|(epoch, after)| revisions(&relay, epoch, after));
    let not_led = [(1, 9), (1, 13), (0, 12)].map(|(epoch, after)| revisions(&relay, epoch, after));

    // Assert: what is missing of era 1, the differences, and what followed; nothing if the relay itself had
    // not published what it knew.
    assert_eq!(led, [vec![12, 9, 10], vec![9, 10], vec![10]]);
    assert!(not_led.iter().all(Vec::is_empty), "{not_led:?}");
    assert!(revisions(&behind, 1, 12).is_empty());
}

/// Guards against calls to the origin that grow with the number of nodes.
#[test]
fn calls_to_the_origin_do_not_grow_with_the_zone() {
    // Arrange
    let run = |nodes| Model::new(6, nodes, 1, Guard::Complete).run(30, 0.0);

    // Act
    let (small, large) = (run(10), run(50));

    // Assert: besides the first list of each node, only relays call the origin.
    assert_eq!((small.violation, large.violation), (None, None));
    let without_lists = |calls: u64, nodes: u64| calls - nodes;
    let (few, many) =
        (without_lists(small.origin_calls, 60), without_lists(large.origin_calls, 300));
    // Zones of 50 nodes have three relays instead of two.
    assert!(many * 20 <= few * 39, "{few} calls with 60 nodes, {many} with 300");
}

/// Topics of which the one that is asked for first is in the background: changes of 20 keys, and then a
/// configuration.
fn topics_with_background() -> (RelayTopics, [TopicRequest; 2]) {
    let mut topics = RelayTopics::default();
    topics.set_class("keys:a/".into(), TopicClass::Background);
    topics.set_class("keys:op/".into(), TopicClass::Urgent);
    let evidence = |revision| {
        let key = smol_str::format_smolstr!("a/{}", revision % 20);
        let entry = RelayedEntry { key, value: Some(vec![0; 3_000]), revision };
        (revision, RelayItem::Entry(entry))
    };
    topics.record_read(
        &"keys:a/".into(),
        read(0, 40, (1..=40).map(evidence).collect(), at(1_000)),
        at(1_100),
    );
    topics.record_read(
        &"keys:op/".into(),
        read(0, 41, vec![entry(41, 40_000)], at(1_000)),
        at(1_100),
    );
    let request = |topic: &str| TopicRequest { topic: topic.into(), epoch: 1, after: 0 };
    (topics, [request("keys:a/"), request("keys:op/")])
}

/// Guards against evidence that takes the room of the configuration in a reply.
#[test]
fn the_configuration_gets_room_before_evidence() {
    let (topics, requests) = topics_with_background();

    let updates = topics.answer_all(&requests, Bytes::new(56 << 10), at(1_200));

    let items = |topic: &str| {
        let update = updates.iter().find(|update| update.topic == topic).expect("it was read");
        update.items.clone().expect("there is room")
    };
    assert_eq!(items("keys:op/").len(), 1);
    let evidence: Bytes = items("keys:a/").iter().map(RelayItem::size).sum();
    assert!(evidence <= Bytes::new(8 << 10), "{evidence}");
}

/// Guards against a follower that misses evidence because it gets it in parts, and against values that
/// are sent although newer ones have replaced them.
#[test]
fn background_changes_are_complete_in_several_parts() {
    // Arrange
    let (topics, [mut request, _]) = topics_with_background();
    let (mut keys, mut replies) = (Vec::new(), 0);

    // Act
    loop {
        let updates =
            topics.answer_all(std::slice::from_ref(&request), Bytes::new(56 << 10), at(1_200));
        let items = updates[0].items.clone().expect("the log has them");
        if items.is_empty() {
            break;
        }
        replies += 1;
        request.after = updates[0].end;
        keys.extend(items.into_iter().filter_map(|item| match item {
            RelayItem::Entry(entry) => Some((entry.revision, entry.key)),
            RelayItem::Reference(_) | RelayItem::Part(_) => None,
        }));
    }

    // Assert: the newest value of each key, in their order.
    let expected: Vec<u64> = (21..=40).collect();
    assert_eq!(keys.iter().map(|(revision, _)| *revision).collect::<Vec<_>>(), expected);
    assert!(replies > 5, "{replies} replies");
    assert_eq!(request.after, 40);
}

fn known(end: u64, confirmed_at: Instant) -> KnownPosition {
    KnownPosition { epoch: 1, end, confirmed_at }
}

fn named(key: &str, value: Option<&str>, revision: u64) -> RelayedEntry {
    RelayedEntry { key: key.into(), value: value.map(|value| value.as_bytes().to_vec()), revision }
}

/// Guards against a list for nodes that start that misses a change, claims one that it does not have, or is
/// encoded anew for each of them.
#[test]
fn offered_list_has_all_changes_up_to_its_position() {
    // Arrange
    let topic = smol_str::SmolStr::from("keys:op/");
    let mut topics = HeldTopics::default();
    let mut encoded: Vec<Vec<RelayedEntry>> = Vec::new();
    let mut offer = |topics: &mut HeldTopics, now| {
        let hold = |entries: Vec<RelayedEntry>| {
            encoded.push(entries);
            ValueDigest::of(&encoded.len().to_le_bytes())
        };
        topics.offer(&topic, hold, now).map(|offer| (offer.end, offer.age_ms, offer.digest))
    };
    let number = |number: usize| ValueDigest::of(&number.to_le_bytes());

    // Act
    let unknown = offer(&mut topics, at(900));
    let listed = [named("op/a", Some("1"), 3), named("op/b", Some("1"), 4)];
    topics.replace(topic.clone(), known(10, at(1_000)), &listed);
    let first = offer(&mut topics, at(1_200));
    topics.apply(&topic, known(10, at(2_000)), &[]);
    let unchanged = offer(&mut topics, at(2_100));
    let changes = [named("op/a", Some("2"), 11), named("op/b", None, 12)];
    topics.apply(&topic, known(12, at(2_500)), &changes);
    let soon_after = offer(&mut topics, at(2_600));
    let later = offer(&mut topics, at(3_600));

    // Assert
    assert_eq!(unknown, None);
    assert_eq!(first, Some((10, 200, number(1))));
    assert_eq!(unchanged, Some((10, 100, number(1))));
    assert_eq!(soon_after, Some((10, 600, number(1))));
    assert_eq!(later, Some((12, 1_100, number(2))));
    assert_eq!(encoded, [listed.to_vec(), vec![named("op/a", Some("2"), 11)]]);
}
