//! Tests of limits that endpoints name: a model of nodes that share them, beside a plain split, and the
//! rules by which a node learns and forgets them.

mod endpoint_limit_model;

use endpoint_limit_model::{NoLimit, PlainSplit, Report, Setup, WINDOW_MS, run};
use yuccapass_decisions::gateway::{EndpointNotice, EndpointNotices, LimitUse, RateShare};
use yuccapass_types::{Instant, RequestRate};

const SIZES: [u32; 3] = [9, 89, 340];

const SEEDS: std::ops::Range<u64> = 0..4;

fn setup(nodes: u32) -> Setup {
    Setup {
        nodes,
        limit_per_s: 3.3,
        demand_per_s: 12.0,
        active_share: 1.0,
        burst_ms: None,
        restarts_ms: Vec::new(),
        length_ms: 60_000,
        exchange_zones: None,
    }
}

/// The requests that the platform allows in a window.
fn allowed(setup: &Setup) -> f64 {
    1.5 * setup.limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

fn shared(setup: &Setup, seed: u64) -> Report {
    run(setup, seed, || Box::new(EndpointNotices::default()))
}

fn check(setup: &Setup) {
    for seed in SEEDS {
        let report = shared(setup, seed);
        eprintln!("{setup:?}, seed {seed}: {report:?}");
        assert!(report.worst_window as f64 <= allowed(setup), "{setup:?}, seed {seed}: {report:?}");
    }
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("the rate is valid")
}

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn named(per_s: f64) -> EndpointNotice {
    EndpointNotice { limit: Some(rate(per_s)), ..EndpointNotice::default() }
}

/// Guards against nodes that together send more than an endpoint's limit, at three sizes, with a demand
/// that rises, restarts, and a limit that is small or large for the number of nodes.
#[test]
fn nodes_together_keep_to_a_limit() {
    for nodes in SIZES {
        check(&setup(nodes));
        check(&Setup { burst_ms: Some(20_000), ..setup(nodes) });
        check(&Setup { restarts_ms: vec![(10_000, 0.3), (20_000, 1.0)], ..setup(nodes) });
        check(&Setup { limit_per_s: 0.4, ..setup(nodes) });
        check(&Setup { limit_per_s: 80.0, demand_per_s: 300.0, ..setup(nodes) });
    }
}

/// Guards against the same where the nodes exchange what they want to send and have sent: each knows the
/// others' requests a moment late.
#[test]
fn nodes_that_exchange_their_demand_together_keep_to_a_limit() {
    for nodes in SIZES {
        for zones in [1, 3] {
            let setup = Setup { exchange_zones: Some(zones), ..setup(nodes) };
            check(&setup);
            check(&Setup { burst_ms: Some(20_000), ..setup.clone() });
            check(&Setup { restarts_ms: vec![(10_000, 0.3), (20_000, 1.0)], ..setup.clone() });
            check(&Setup { limit_per_s: 0.4, ..setup.clone() });
            check(&Setup { limit_per_s: 80.0, demand_per_s: 300.0, ..setup });
        }
    }
}

/// Guards against nodes that exceed a limit together because their demand rises to ten times as much before
/// the exchange says so, once nearly all of them were told of it.
#[test]
fn a_late_rise_of_demand_keeps_to_a_limit_with_the_exchange() {
    for nodes in SIZES {
        for zones in [1, 3] {
            let setup = Setup { exchange_zones: Some(zones), ..setup(nodes) };
            check(&Setup { burst_ms: Some(50_000), ..setup });
        }
    }
}

/// Guards against a limit of which little is used, where each node has more requests than its share.
#[test]
fn a_limit_is_used_where_each_node_has_requests() {
    for nodes in SIZES {
        let setup = Setup { demand_per_s: f64::from(nodes) * 3.0, ..setup(nodes) };
        for seed in SEEDS {
            let report = shared(&setup, seed);
            let plain = run(&setup, seed, || Box::new(PlainSplit::default()));
            eprintln!("{nodes} nodes, seed {seed}: {report:?}, plain split {plain:?}");
            assert!(report.used_share >= 0.9, "{setup:?}, seed {seed}: {report:?}");
        }
    }
}

/// Guards against a limit of which much is unused, or that is exceeded by nodes that were not told of it
/// yet, where each node has few requests.
#[test]
fn a_limit_is_used_and_kept_where_nodes_have_few_requests() {
    for nodes in SIZES {
        let setup = Setup { exchange_zones: Some(3), ..setup(nodes) };
        for seed in SEEDS {
            let report = shared(&setup, seed);
            eprintln!("{nodes} nodes, seed {seed}: {report:?}");
            let is_used = (0.9..=1.5).contains(&report.used_share);
            assert!(is_used, "{setup:?}, seed {seed}: {report:?}");
        }
    }
}

/// Guards against a model in which any rule would do: without one the limit is exceeded, and by a plain
/// split the nodes that were told of it send nothing at the larger sizes.
#[test]
fn other_rules_break_the_model() {
    for nodes in SIZES {
        let setup = setup(nodes);
        let unlimited = run(&setup, 1, || Box::new(NoLimit));
        let plain = run(&setup, 1, || Box::new(PlainSplit::default()));

        assert!(unlimited.worst_window as f64 > allowed(&setup), "{unlimited:?}");
        assert!(nodes == 9 || plain.worst_window == 0, "{plain:?}");
    }
}

/// Guards against a limit that ends because of an answer that was on its way when it was named, and against
/// one that never ends.
#[test]
fn only_a_later_answer_ends_a_limit() {
    // Arrange
    let mut notices = EndpointNotices::default();
    notices.record(&named(1.0), at(0), at(100));

    // Act
    notices.record(&EndpointNotice::default(), at(90), at(200));
    let after_earlier = notices.is_empty();
    notices.record(&EndpointNotice::default(), at(150), at(300));

    // Assert
    assert!(!after_earlier);
    assert!(notices.is_empty());
}

/// What other nodes tell of a limit that was named just now.
fn told(per_s: f64, wanted: u32, sent: u32) -> LimitUse {
    LimitUse { rate: rate(per_s), named_age_ms: 0, wanted, sent, sent_in_turn: 0 }
}

/// Guards against nodes that send freely until they are told themselves, and against a limit that other nodes
/// were told and that never ends.
#[test]
fn a_limit_told_to_another_node_binds_until_it_is_no_longer_named() {
    // Arrange
    let mut notices = EndpointNotices::default();
    notices.record_zone_use(&told(1.0, 40, 40), 8, at(1_000));

    // Act: the zone has sent ten times as much as it may.
    let is_sent = notices.try_send(9, 0.0, at(1_100));
    let is_sent_later = notices.try_send(9, 0.0, at(11_001));

    // Assert
    assert!(!is_sent);
    assert!(is_sent_later && notices.is_empty());
}

/// Guards against a limit that has ended for a node and comes back with an old count of another one.
#[test]
fn an_ended_limit_does_not_come_back() {
    // Arrange
    let mut notices = EndpointNotices::default();
    notices.record(&named(1.0), at(0), at(100));
    notices.record(&EndpointNotice::default(), at(200), at(300));

    // Act
    let earlier = LimitUse { named_age_ms: 150, ..told(1.0, 0, 0) };
    notices.record_zone_use(&earlier, 8, at(350));
    let after_earlier = notices.is_empty();
    notices.record_zone_use(&told(1.0, 0, 0), 8, at(350));

    // Assert
    assert!(after_earlier);
    assert!(!notices.is_empty());
}

/// Guards against a node that goes on with the last counts of an exchange that has stopped: only its turns
/// count then.
#[test]
fn without_recent_counts_a_node_uses_its_turns() {
    // Arrange: the others want nothing, so each request may be sent while that is known.
    let with_counts = |now_ms| {
        let mut notices = EndpointNotices::default();
        notices.record(&named(1.0), at(0), at(0));
        notices.record_zone_use(&told(1.0, 0, 0), 8, at(0));
        notices.try_send(9, 0.5, at(now_ms))
    };

    // Act
    let sent = [1_200, 1_201].map(with_counts);

    // Assert
    assert_eq!(sent, [true, false]);
}

/// Guards against a node that sends nothing for a long time because its turns were planned for more nodes
/// or a smaller limit than there are now.
#[test]
fn turns_follow_the_number_of_nodes_and_the_limit() {
    // Arrange
    let mut share = RateShare::default();
    share.may_send(rate(1.0), 100, 0.5, at(0));

    // Act: half of the wait of 50 s is over when 90 nodes turn out not to exist.
    let is_early = share.may_send(rate(1.0), 10, 0.5, at(25_000));
    let is_due = share.may_send(rate(1.0), 10, 0.5, at(27_501));

    // Assert
    assert_eq!((is_early, is_due), (false, true));
}

/// Guards against requests to an endpoint that takes none, and against a division by zero.
#[test]
fn a_limit_of_zero_allows_nothing() {
    // Arrange
    let mut notices = EndpointNotices::default();
    notices.record(&named(0.0), at(0), at(1));

    // Act
    let is_sent = notices.try_send(9, 0.0, at(1_000_000));

    // Assert
    assert!(!is_sent);
    assert_eq!(notices.retry_after_ms(at(2)), None);
}

/// Guards against a pause that ends because of a later answer with a shorter one, or that never ends.
#[test]
fn the_longest_pause_holds() {
    // Arrange
    let pause = |ms| EndpointNotice { pause_ms: Some(ms), ..EndpointNotice::default() };
    let mut notices = EndpointNotices::default();

    // Act
    notices.record(&pause(3_000), at(0), at(100));
    notices.record(&pause(1_000), at(50), at(200));
    notices.record(&EndpointNotice::default(), at(150), at(300));

    // Assert
    assert_eq!(notices.retry_after_ms(at(1_100)), Some(2_000));
    assert!(!notices.try_send(9, 0.0, at(3_099)));
    assert!(notices.try_send(9, 0.0, at(3_100)));
}

/// Guards against limits that are misread.
#[test]
fn rates_have_decimals() {
    assert_eq!("3.3".parse::<RequestRate>().map(|rate| rate.per_s()), Ok(3.3));
    assert_eq!(" 0.25 requests/s".parse::<RequestRate>().map(|rate| rate.per_s()), Ok(0.25));
    for invalid in ["", "-1", "NaN", "inf", "1e10", "3,3", "3.3/s"] {
        assert!(invalid.parse::<RequestRate>().is_err(), "{invalid}");
    }
}
