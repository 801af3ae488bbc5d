//! Tests of roll-outs over many nodes, against a fixed split without a verdict.

mod rollout_fleet;

use rollout_fleet::{Day, Effect, Outcome, Request, Version, play, play_fixed_split};

/// Numbers of nodes: those of the smallest and the largest site, and of the target in two years.
const NODE_COUNTS: [usize; 3] = [9, 61, 340];

const REQUESTS_PER_S: f64 = 400.0;
const DURATION_MS: u64 = 12_000;

/// The bound on the requests to a bad version: a tenth of all requests of the order's time, and 50.
fn exposure_bound(outcome: &Outcome) -> f64 {
    0.1 * outcome.requests as f64 + 50.0
}

/// The bound on the time after the 50th bad answer.
const ROLLBACK_MS: u64 = 5_000;

fn day(nodes: usize, version: &Version) -> Day<'_> {
    let seed = 20_261_206 + nodes as u64;
    Day { nodes, requests_per_s: REQUESTS_PER_S, duration_ms: DURATION_MS, seed, version }
}

/// Asserts that a bad version is rolled back within all bounds, with less exposure than the baseline.
fn assert_rolled_back(day: &Day<'_>) {
    let outcome = play(day);
    let baseline = play_fixed_split(day);
    println!("{} nodes: {outcome:?}, fixed split exposes {baseline}", day.nodes);
    assert!(outcome.is_rolled_back(), "{} nodes: {outcome:?}", day.nodes);
    assert!((outcome.exposed as f64) <= exposure_bound(&outcome), "{outcome:?}");
    assert!(outcome.exposed_after_ms <= ROLLBACK_MS, "{outcome:?}");
    assert!(outcome.exposed < baseline / 2, "{outcome:?}, {baseline}");
}

fn assert_completed(day: &Day<'_>) {
    let outcome = play(day);
    println!("{} nodes: {outcome:?}", day.nodes);
    assert!(outcome.is_completed(), "{} nodes: {outcome:?}", day.nodes);
    assert!(outcome.ended_after_ms <= Some(day.duration_ms), "{outcome:?}");
    assert_eq!(outcome.lost, 0, "{outcome:?}");
}

fn fails(probability: f64, draw: f64) -> Effect {
    if draw < probability { Effect::Failure } else { Effect::Sound }
}

/// Guards against a good version that is rolled back or completed late, and against requests that are
/// lost with the old endpoints.
#[test]
fn a_good_version_is_completed_in_time_without_losses() {
    for nodes in NODE_COUNTS {
        assert_completed(&day(nodes, &|_, _| Effect::Sound));
    }
}

/// Guards against false alarms, which the error bound says are rarer than one in a thousand orders.
#[test]
fn a_good_version_is_not_rolled_back_by_chance() {
    for seed in 0..60 {
        assert_completed(&Day { seed, ..day(9, &|_, _| Effect::Sound) });
    }
}

/// Guards against a version that fails from the beginning and goes on to get requests.
#[test]
fn a_version_that_fails_at_once_is_rolled_back() {
    for nodes in NODE_COUNTS {
        assert_rolled_back(&day(nodes, &|_, draw| fails(0.35, draw)));
    }
}

/// Guards against a verdict that looks at failures only.
#[test]
fn a_version_whose_answers_are_slow_is_rolled_back() {
    let version =
        |_: Request, draw: f64| if draw < 0.5 { Effect::Slow(4.0) } else { Effect::Sound };
    for nodes in NODE_COUNTS {
        assert_rolled_back(&day(nodes, &version));
    }
}

/// Guards against sums in which the good answers of the beginning hide the bad ones that follow.
#[test]
fn a_version_that_turns_bad_late_is_rolled_back() {
    for nodes in NODE_COUNTS {
        for bad_from_ms in [4_000, 6_000] {
            let version = move |request: Request, draw: f64| match request.elapsed_ms {
                elapsed_ms if elapsed_ms >= bad_from_ms => fails(0.4, draw),
                _ => Effect::Sound,
            };
            assert_rolled_back(&day(nodes, &version));
        }
    }
}

/// Guards against a fault on one route that is diluted by the answers on the others.
#[test]
fn a_version_that_fails_on_one_route_is_rolled_back() {
    for nodes in NODE_COUNTS {
        for route in 0..3 {
            let version = move |request: Request, draw: f64| match request.route == route {
                true => fails(0.5, draw),
                false => Effect::Sound,
            };
            assert_rolled_back(&day(nodes, &version));
        }
    }
}

/// Guards against a small share that is spread over so many endpoints that none has its usual load.
#[test]
fn a_version_that_fails_under_its_usual_load_is_rolled_back() {
    for nodes in NODE_COUNTS {
        let version = |request: Request, draw: f64| match request.load > 0.5 {
            true => fails(0.5, draw),
            false => Effect::Sound,
        };
        assert_rolled_back(&day(nodes, &version));
    }
}

/// Guards against an order that waits for more answers than a quiet service gives.
#[test]
fn a_good_version_of_a_quiet_service_is_completed_in_time() {
    for nodes in NODE_COUNTS {
        for requests_per_s in [0.5, 3.0] {
            assert_completed(&Day { requests_per_s, ..day(nodes, &|_, _| Effect::Sound) });
        }
    }
}

/// Guards against a bad version of a quiet service that gets more requests than the slack.
#[test]
fn a_bad_version_of_a_quiet_service_stays_within_the_bounds() {
    for nodes in NODE_COUNTS {
        let version = |_: Request, draw: f64| fails(0.8, draw);
        let quiet = Day { requests_per_s: 8.0, ..day(nodes, &version) };
        let outcome = play(&quiet);
        println!("{nodes} nodes: {outcome:?}");
        assert!(outcome.is_rolled_back(), "{nodes} nodes: {outcome:?}");
        assert!((outcome.exposed as f64) <= exposure_bound(&outcome), "{outcome:?}");
    }
}
