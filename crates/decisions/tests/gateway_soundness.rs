//! Property tests and unit tests of keys, configurations, node counts, retries and refusals.

mod gateway_fixtures;

use gateway_fixtures::{after, at, id, route};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::next_step::next_step;
use yuccapass_decisions::gateway::{
    AttemptFailure, AttemptSummary, CallerLimits, Configuration, ConfirmedConfiguration,
    EndpointTracker, EndpointTrackerSettings, FleetSize, KeyVerdict, NextStep, OperatorSettings,
    Organisation, RetryLimits, RetryShare, Route, RouteKind, SettingsBounds, SettingsValidity,
};
use yuccapass_types::{Instant, KeyHash, NodeId, RequestRate, Revision, SortedMap};

const REVOKE_BOUND_MS: u64 = 5_000;

const APPLY_BOUND_MS: u64 = 4_000;

const BOUNDS: SettingsBounds =
    SettingsBounds { revoke_ms: Some(REVOKE_BOUND_MS), apply_ms: APPLY_BOUND_MS };

const RESUMABLE: RouteKind = RouteKind::Streaming { is_resumable: true };

fn configuration(revision: u64, keys: &[(&str, &[&str])]) -> Configuration {
    let organisation = |keys: &[&str]| Organisation {
        keys: keys.iter().map(|key| KeyHash::of_key(key)).collect(),
        priority: None,
        is_isolated: false,
        allowed_regions: Vec::new(),
    };
    let organisations = keys.iter().map(|(name, keys)| (id(name), organisation(keys))).collect();
    let routes = vec![route("a.example", "/x/", "one"), route("a.example", "/x/y/", "two")];
    Configuration::new(
        Revision::new(revision),
        routes,
        SortedMap::new(),
        Some(organisations),
        CallerLimits::default(),
    )
    .expect("the fixture is valid")
}

/// Guards against a request that is routed by a shorter prefix or by another host.
#[test]
fn the_longest_prefix_wins() {
    let configuration = configuration(1, &[]);
    let service = |host, path| {
        configuration.route(host, path).map(|route| route.services[0].service.to_string())
    };

    assert_eq!(service("a.example", "/x/z").as_deref(), Some("one"));
    assert_eq!(service("A.Example", "/x/y/z").as_deref(), Some("two"));
    assert_eq!(service("a.example", "/xy/"), None);
    assert_eq!(service("b.example", "/x/"), None);
}

/// Guards against accepting an unknown or missing key.
#[test]
fn only_known_keys_are_accepted() {
    let configuration = configuration(1, &[("org", &["k1", "k2"])]);
    let route = configuration.route("a.example", "/x/").expect("the route exists");
    let verdict = |key: Option<&str>| configuration.verify_key(route, key.map(KeyHash::of_key));

    assert!(matches!(verdict(Some("k2")), KeyVerdict::Known(name, _) if name.as_str() == "org"));
    assert_eq!(verdict(Some("k3")), KeyVerdict::Unknown);
    assert_eq!(verdict(None), KeyVerdict::Unknown);
}

/// Guards against a list of organisations that lets everybody in once it is empty.
#[test]
fn only_a_configuration_without_a_list_of_organisations_needs_no_keys() {
    // Arrange
    let routes = || {
        let public = Route { is_public: true, ..route("a.example", "/public/", "one") };
        vec![route("a.example", "/x/", "one"), public]
    };
    let with = |organisations| {
        let limits = CallerLimits::default();
        Configuration::new(Revision::new(1), routes(), SortedMap::new(), organisations, limits)
            .expect("the fixture is valid")
    };
    let verdicts = |configuration: &Configuration| {
        let verdict = |path, key: Option<&str>| {
            let route = configuration.route("a.example", path).expect("the route exists");
            configuration.verify_key(route, key.map(KeyHash::of_key)) == KeyVerdict::NotRequired
        };
        [verdict("/x/", Some("k")), verdict("/x/", None), verdict("/public/", Some("k"))]
    };

    // Act
    let without_list = verdicts(&with(None));
    let with_empty_list = verdicts(&with(Some(SortedMap::new())));

    // Assert
    assert_eq!(without_list, [true; 3]);
    assert_eq!(with_empty_list, [false, false, true]);
}

/// Guards against a cache partition that holds what an organisation left there before it was isolated.
#[test]
fn cache_partitions_change_with_the_isolated_organisations() {
    // Arrange
    let with_isolated = |isolated: &[&str]| {
        let organisation = |name: &&str| Organisation {
            keys: Vec::new(),
            priority: None,
            is_isolated: isolated.contains(name),
            allowed_regions: Vec::new(),
        };
        let names = ["a", "b", "c"];
        let organisations = names.iter().map(|name| (id(name), organisation(name))).collect();
        let (services, limits) = (SortedMap::new(), CallerLimits::default());
        Configuration::new(Revision::new(1), Vec::new(), services, Some(organisations), limits)
            .expect("the fixture is valid")
    };
    let partition = |isolated: &[&str], name: Option<&str>| {
        let name = name.map(id);
        with_isolated(isolated).cache_partition(name.as_ref()).map(str::to_owned)
    };

    // Act
    let sets: [&[&str]; 4] = [&[], &["a"], &["b"], &["a", "b"]];
    let mut shared: Vec<_> = sets.iter().map(|set| partition(set, Some("c"))).collect();
    let without_organisation: Vec<_> = sets.iter().map(|set| partition(set, None)).collect();

    // Assert
    assert_eq!(shared, without_organisation);
    assert_eq!(shared[0], None);
    assert_eq!(partition(&["a"], Some("a")).as_deref(), Some("a"));
    assert_eq!(partition(&["b"], Some("a")), shared[2]);
    shared.sort();
    shared.dedup();
    assert_eq!(shared.len(), sets.len());
}

/// Guards against a configuration in which two organisations have the same key.
#[test]
fn a_shared_key_is_invalid() {
    let organisation = Organisation {
        keys: vec![KeyHash::of_key("k")],
        priority: None,
        is_isolated: false,
        allowed_regions: Vec::new(),
    };
    let organisations =
        [(id("a"), organisation.clone()), (id("b"), organisation)].into_iter().collect();

    let configuration = Configuration::new(
        Revision::new(1),
        Vec::new(),
        SortedMap::new(),
        Some(organisations),
        CallerLimits::default(),
    );

    assert!(configuration.is_err());
}

/// Guards against an outdated read that replaces a newer configuration.
#[test]
fn a_configuration_never_goes_back() {
    let mut settings = OperatorSettings::new(BOUNDS);

    let taken: Vec<bool> =
        [4, 7, 5, 7].map(|revision| settings.offer(configuration(revision, &[]))).to_vec();

    assert_eq!(taken, [true, true, false, false]);
    let current = settings.current().map(|current| current.configuration().revision());
    assert_eq!(current, Some(Revision::new(7)));
}

/// Guards against a request that is checked against one configuration by the confirmation of a later one.
#[test]
fn a_configuration_keeps_its_own_confirmation() {
    // Arrange
    let mut settings = OperatorSettings::new(BOUNDS);
    settings.offer(configuration(4, &[("org", &["k1", "k2"])]));
    settings.confirm(at(0));
    let earlier = settings.current().expect("a configuration was read");

    // Act
    settings.offer(configuration(5, &[("org", &["k1"])]));
    let unconfirmed = settings.current().expect("a configuration was read");
    settings.confirm(at(20_000));
    let confirmed = settings.current().expect("a configuration was read");

    // Assert
    let view = |known: &ConfirmedConfiguration| {
        let are_valid = known.validity().are_keys_valid(at(20_000));
        (known.configuration().revision().get(), are_valid)
    };
    assert_eq!([&earlier, &unconfirmed, &confirmed].map(view), [(4, false), (5, false), (5, true)]);
}

/// Guards against a share of the limits that rises after the key-value service came back from a copy, because
/// its list misses the nodes that have not registered again: at a node that knew them, and at one that starts.
#[test]
fn a_list_that_misses_nodes_after_a_restore_raises_no_share() {
    // Arrange
    let own: NodeId = id("n0");
    let all: Vec<NodeId> = (0..10).map(|number| id(&format!("n{number}"))).collect();
    let (mut running, mut started) = (FleetSize::new(own.clone()), FleetSize::new(own.clone()));
    for ms in [0, 1_000] {
        running.replace(all.clone(), at(ms));
    }

    // Act: the others register again late.
    let mut counts = Vec::new();
    for (ms, listed) in [(20_000, 1), (21_000, 1), (22_000, 2), (23_000, 4), (24_000, 10)] {
        for fleet in [&mut running, &mut started] {
            fleet.record_era(2, at(ms));
            fleet.replace(all[..listed].to_vec(), at(ms));
            counts.push(fleet.nodes(at(ms)));
        }
        assert_eq!(running.registered().len(), 10, "at {ms} ms");
    }
    for fleet in [&mut running, &mut started] {
        fleet.replace(all.clone(), at(25_000));
        counts.push(fleet.nodes(at(25_000)));
    }

    // Assert
    assert!(counts.iter().all(|&count| count >= 10), "{counts:?}");
    assert_eq!(counts[counts.len() - 2..], [10, 10]);
}

/// Guards against a node that takes over the share of a node that has just left, and against
/// counting nodes that left long ago.
#[test]
fn a_node_that_left_counts_for_a_while() {
    let own = id::<NodeId>("n1");
    let mut fleet = FleetSize::new(own.clone());
    let both = || vec![own.clone(), id("n2")];

    fleet.replace(both(), at(0));
    fleet.replace(both(), at(1_000));
    fleet.replace(vec![own.clone()], at(2_000));
    let soon = fleet.nodes(at(11_999));
    fleet.replace(vec![own.clone()], at(5_000));
    let later = fleet.nodes(at(12_000));

    assert_eq!((soon, later), (2, 1));
}

/// Guards against nodes that start at the same moment, for example after a power cut, and each use
/// the full limit until they know each other.
#[test]
fn a_node_that_has_just_started_takes_a_small_share() {
    let own = id::<NodeId>("n1");
    let mut fleet = FleetSize::new(own.clone());

    fleet.replace(vec![], at(0));
    let unregistered = fleet.nodes(at(0));
    fleet.replace(vec![own.clone()], at(1_000));
    let alone = fleet.nodes(at(1_000));
    fleet.replace(vec![own.clone(), id("n2"), id("n3")], at(2_000));
    let known = fleet.nodes(at(2_000));

    assert!(unregistered >= 100 && alone >= 100, "{unregistered}, {alone}");
    assert_eq!(known, 3);
}

#[derive(Debug, Clone)]
enum Reading {
    /// A read is sent and answered after this many milliseconds, or never.
    Read(Option<u64>),
    /// This many milliseconds pass without a read, for example because the machine is suspended.
    Pass(u64),
}

fn reading() -> impl Strategy<Value = Reading> {
    prop_oneof![
        proptest::option::of(0_u64..3_000).prop_map(Reading::Read),
        (0_u64..9_000).prop_map(Reading::Pass),
    ]
}

/// Guards against overloading a cold endpoint: the requests of all nodes together must stay within
/// its capacity in each second, including the first. If unused capacity accumulated, all nodes
/// would send a request at the same moment.
#[test]
fn cold_requests_stay_within_the_capacity_of_an_endpoint() {
    const CAPACITY_PER_S: f64 = 13.0;
    const FRACTION: f64 = 0.7;
    for nodes in [1_u32, 3, 9, 87] {
        let rate = RequestRate::from_per_s(CAPACITY_PER_S * FRACTION).expect("the rate is valid");
        let mut trackers: Vec<EndpointTracker> =
            (0..nodes).map(|_| EndpointTracker::new(EndpointTrackerSettings::default())).collect();
        let mut random = StdRng::seed_from_u64(u64::from(nodes));
        let mut sent = Vec::new();
        for now in (0..20_000).step_by(20) {
            for tracker in &mut trackers {
                if tracker.may_send_cold(rate, nodes, random.random(), at(now)) {
                    tracker.record_sent_cold(at(now));
                    sent.push(now);
                }
            }
        }
        let in_second =
            |from: u64| sent.iter().filter(|&&at| at >= from && at < from + 1_000).count();
        let most = (0..19_000).step_by(100).map(in_second).max().unwrap_or(0) as f64;
        // The platform allows 1.5 times the capacity plus 5 requests.
        let allowed = CAPACITY_PER_S * 1.5 + 5.0;
        assert!(most <= allowed, "{nodes} nodes sent {most} in a second");
    }
}

/// Guards against a cold endpoint that gets nothing because its capacity is small for the number of nodes.
#[test]
fn a_small_capacity_of_a_cold_endpoint_is_used_by_many_nodes() {
    // Arrange
    const NODES: u32 = 340;
    let rate = RequestRate::from_per_s(0.3).expect("the rate is valid");
    let mut trackers: Vec<EndpointTracker> =
        (0..NODES).map(|_| EndpointTracker::new(EndpointTrackerSettings::default())).collect();
    let mut random = StdRng::seed_from_u64(1);

    // Act
    let mut sent = 0;
    for now in (0..60_000).step_by(50) {
        for tracker in &mut trackers {
            if tracker.may_send_cold(rate, NODES, random.random(), at(now)) {
                tracker.record_sent_cold(at(now));
                sent += 1;
            }
        }
    }

    // Assert
    assert!((9..=27).contains(&sent), "{sent} requests in 60 s, capacity 18");
}

/// Checks that a node whose last answered read was sent before a change does not act by the earlier
/// settings once the bound has passed after the change.
fn check_validity(
    readings: &[Reading],
    bound_ms: u64,
    is_valid: fn(&SettingsValidity, Instant) -> bool,
) -> Result<(), TestCaseError> {
    let mut validity = SettingsValidity::new(BOUNDS);
    let (mut now, mut newest_read) = (0_u64, None::<u64>);
    for reading in readings {
        match *reading {
            Reading::Read(Some(answer_ms)) => {
                let sent = now;
                now += answer_ms;
                validity.confirm(at(sent));
                newest_read = newest_read.max(Some(sent));
            }
            Reading::Read(None) => {}
            Reading::Pass(ms) => now += ms,
        }
        // In the worst case, the settings were changed just after the newest read was sent.
        let may_be_valid = newest_read.is_some_and(|read| now < read + bound_ms);
        prop_assert!(!is_valid(&validity, at(now)) || may_be_valid);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    /// Guards against accepting a key after the revocation bound, whichever reads are lost and
    /// however long the machine is suspended.
    #[test]
    fn revoked_keys_end_in_time(readings in proptest::collection::vec(reading(), 1..40)) {
        check_validity(&readings, REVOKE_BOUND_MS, SettingsValidity::are_keys_valid)?;
    }

    /// Guards against sending a request to a region that a configuration has excluded for longer than
    /// the bound on earlier configurations.
    #[test]
    fn replaced_regions_end_in_time(readings in proptest::collection::vec(reading(), 1..40)) {
        check_validity(&readings, APPLY_BOUND_MS, SettingsValidity::are_regions_valid)?;
    }

    /// Guards against more retries than the limit allows in any window: compares the share of one
    /// of `nodes` nodes with a count over each window.
    #[test]
    fn retries_stay_in_every_window(
        steps in proptest::collection::vec((0_u64..400, any::<bool>()), 1..400),
        nodes in 1_u32..12,
    ) {
        let limits = RetryLimits { ratio: 0.2, slack: 56.0, window_ms: 10_000 };
        let mut share = RetryShare::new(limits);
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (pass_ms, is_retry) in steps {
            now += pass_ms;
            if !is_retry {
                share.record_request(at(now));
                requests.push(now);
            } else if share.try_take(nodes, at(now)) {
                retries.push(now);
            }
            let in_window = |times: &[u64]| {
                times.iter().filter(|&&time| time + limits.window_ms > now).count() as f64
            };
            let bound = limits.ratio * in_window(&requests) + limits.slack / f64::from(nodes);
            prop_assert!(in_window(&retries) <= bound);
        }
    }

    /// Guards against running a request twice that may run only once, against reporting a request
    /// as not run that may have run, and against more attempts than the route allows.
    #[test]
    fn a_next_step_is_sound(
        failure in prop_oneof![
            Just(AttemptFailure::NotSent), Just(AttemptFailure::NotRun),
            Just(AttemptFailure::Broken), Just(AttemptFailure::Silent), Just(AttemptFailure::Outdated),
            Just(AttemptFailure::Failed),
        ],
        kind in prop_oneof![
            Just(RouteKind::Idempotent), Just(RouteKind::NonIdempotent),
            Just(RouteKind::Streaming { is_resumable: false }),
            Just(RouteKind::Streaming { is_resumable: true }),
        ],
        earlier_may_have_run in any::<bool>(),
        run_attempts in 0_u32..4,
        max_attempts in 1_u32..4,
        has_begun_answer in any::<bool>(),
        has_other_endpoint in any::<bool>(),
        has_retry in any::<bool>(),
        remaining_ms in 0_u64..2_000,
    ) {
        let may_have_run = earlier_may_have_run || !failure.is_not_run() || run_attempts > 0;
        let summary = AttemptSummary {
            failure, kind, may_have_run, sent_attempts: run_attempts, run_attempts, max_attempts,
            has_begun_answer, has_other_endpoint, deadline: after(at(0), remaining_ms),
        };

        let step = next_step(&summary, || has_retry, at(0));

        match step {
            NextStep::Retry => {
                prop_assert!(!may_have_run || kind.may_run_again());
                prop_assert!(run_attempts < max_attempts);
                prop_assert!(has_other_endpoint && remaining_ms > 0);
                prop_assert!(run_attempts == 0 || has_retry);
                prop_assert!(!has_begun_answer || kind == RESUMABLE);
            }
            NextStep::Refuse(refusal) => {
                prop_assert!(!has_begun_answer);
                let promises_not_run = matches!(refusal.status, 408 | 421 | 429 | 503);
                prop_assert_eq!(promises_not_run, !may_have_run);
                prop_assert_eq!(refusal.retry_after_ms.is_some(), !may_have_run);
            }
            NextStep::PassOn => prop_assert!(failure == AttemptFailure::Failed && !has_begun_answer),
            NextStep::BreakOff => prop_assert!(has_begun_answer),
        }
    }
}
