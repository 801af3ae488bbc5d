//! Load tests of the strategies for endpoints that report how fast they are, against the strategies
//! that take all endpoints as equally fast. Each names its load.

mod endpoint_speed_model;

use endpoint_speed_model::{Load, Outcome, Prompts, play};
use yuccapass_decisions::gateway::{
    Candidate, EngineSpec, ExpectedTime, ExpectedTimeAffinity, LeastLoaded, Placement,
    PlacementRequest, PrefixAffinity,
};
use yuccapass_types::Tokens;

/// Difference between two shares of requests in time that chance explains.
const TOLERANCE: f64 = 0.005;

/// A service without prompts: 6 endpoints of 6 slots in 6 zones behind 127 nodes, at 60% of what the
/// endpoints can run at the usual speed.
fn plain_service() -> Load {
    Load {
        nodes: 127,
        endpoints: 6,
        zones: 6,
        slots: 6,
        per_s: 720.0,
        swing: 0.0,
        run_ms: 30.0,
        prompts: None,
        slowdown: |_, _| 1.0,
        aim_ms: 150,
        length_ms: 20_000,
    }
}

/// A model service: 60 engines of 64 slots behind 127 nodes.
fn model_service() -> Load {
    Load {
        nodes: 127,
        endpoints: 60,
        zones: 6,
        slots: 64,
        per_s: 900.0,
        swing: 0.0,
        run_ms: 400.0,
        prompts: Some(Prompts {
            shared: 1_500,
            shared_tokens: 3_000,
            own_tokens: 1_000,
            hot_share: 0.0,
            token_ms: 0.018,
            engine: EngineSpec { slots: 64, capacity: Tokens::new(300_000) },
        }),
        slowdown: |_, _| 1.0,
        aim_ms: 300,
        length_ms: 20_000,
    }
}

/// Returns a number from 0 to 1 that depends on an endpoint and a period.
fn draw(endpoint: usize, period: u64) -> f64 {
    let mixed = (endpoint as u64 * 0x9e37_79b9 + period * 0x85eb_ca6b).wrapping_mul(0xc2b2_ae35);
    ((mixed ^ (mixed >> 15)) % 1_000) as f64 / 1_000.0
}

fn plain(load: &Load) -> (Outcome, Outcome) {
    (play(load, &LeastLoaded, false), play(load, &ExpectedTime, true))
}

fn models(load: &Load) -> (Outcome, Outcome) {
    let base = play(load, &PrefixAffinity::default(), false);
    (base, play(load, &ExpectedTimeAffinity::default(), true))
}

fn show(name: &str, outcomes: &(Outcome, Outcome)) {
    for (strategy, outcome) in [("baseline", &outcomes.0), ("expected time", &outcomes.1)] {
        println!(
            "{name}, {strategy}: in time {:.3}, p95 wait {} ms, busiest {:.2}",
            outcome.in_time, outcome.p95_wait_ms, outcome.busiest
        );
    }
}

/// Work takes three times as long at each third endpoint.
fn slow_third(endpoint: usize, _now_ms: u64) -> f64 {
    if endpoint.is_multiple_of(3) { 3.0 } else { 1.0 }
}

/// Work takes 2.5 times as long at 15% of the endpoints, which change each 100 ms.
fn changes_each_100_ms(endpoint: usize, now_ms: u64) -> f64 {
    if draw(endpoint, now_ms / 100) < 0.15 { 2.5 } else { 1.0 }
}

const SLOW_FROM_MS: u64 = 6_000;
const SLOW_TO_MS: u64 = 14_000;

/// Work takes five times as long at endpoint 1 for eight seconds.
fn one_turns_slow(endpoint: usize, now_ms: u64) -> f64 {
    if endpoint == 1 && (SLOW_FROM_MS..SLOW_TO_MS).contains(&now_ms) { 5.0 } else { 1.0 }
}

/// Load: slow third of the endpoints of a plain service. Guards against slow endpoints that get as many
/// requests as fast ones.
#[test]
fn slow_third_of_plain_endpoints_gets_a_smaller_share() {
    // Arrange
    let load = Load { slowdown: slow_third, ..plain_service() };

    // Act
    let outcomes = plain(&load);
    show("slow third, plain", &outcomes);

    // Assert
    let (base, new) = &outcomes;
    assert!(new.in_time > base.in_time && new.p95_wait_ms < base.p95_wait_ms);
    let share = |endpoint| new.sent_to(endpoint, 0, load.length_ms);
    assert!(share(0) + share(3) < share(1) + share(2), "{} {}", share(0), share(1));
}

/// Load: slow third of the engines of a model service.
#[test]
fn slow_third_of_engines_gets_a_smaller_share() {
    // Arrange
    let load = Load { slowdown: slow_third, ..model_service() };

    // Act
    let outcomes = models(&load);
    show("slow third, models", &outcomes);

    // Assert
    let (base, new) = &outcomes;
    assert!(new.in_time > base.in_time && new.p95_wait_ms < base.p95_wait_ms);
}

/// Load: speeds that change each 100 ms. Guards against requests that follow reports which are no
/// longer true: they leave caches and crowd on endpoints that have just reported well.
#[test]
fn speeds_that_change_each_100_ms_do_not_cost_callers() {
    // Arrange
    let plain_load = Load { slowdown: changes_each_100_ms, ..plain_service() };
    let model_load = Load { slowdown: changes_each_100_ms, ..model_service() };

    // Act
    let (plain, models) = (plain(&plain_load), models(&model_load));
    show("speeds change each 100 ms, plain", &plain);
    show("speeds change each 100 ms, models", &models);

    // Assert
    for (base, new) in [plain, models] {
        assert!(new.in_time >= base.in_time - TOLERANCE);
        assert!(new.busiest <= base.busiest + 0.1);
    }
}

/// Load: one endpoint that turns five times slower, with nodes that hear of it often. Guards against an
/// endpoint that keeps its share, that is never tried again, or that all nodes return to at once.
#[test]
fn endpoint_that_turns_slow_is_left_within_a_second_and_comes_back_by_a_trickle() {
    // Arrange
    let load = Load { nodes: 8, slowdown: one_turns_slow, ..plain_service() };

    // Act
    let outcomes = plain(&load);
    show("one turns slow, plain, 8 nodes", &outcomes);
    let sent = |from_ms, to_ms| {
        outcomes.1.sent_to(1, from_ms, to_ms) as f64 * 1_000.0 / (to_ms - from_ms) as f64
    };
    let usual_per_s = sent(2_000, SLOW_FROM_MS);
    let slow_per_s = sent(SLOW_FROM_MS + 1_000, SLOW_TO_MS);
    println!(
        "usual {usual_per_s:.0}/s, slow {slow_per_s:.0}/s, back {:.0}/s",
        sent(SLOW_TO_MS, SLOW_TO_MS + 1_000)
    );

    // Assert: a quarter of what it can run, which is 6 slots for 150 ms, is 10 requests a second.
    assert!((1.0..=10.0).contains(&slow_per_s), "{slow_per_s}");
    for from_ms in (SLOW_TO_MS..SLOW_TO_MS + 2_000).step_by(250) {
        assert!(sent(from_ms, from_ms + 250) < 1.5 * usual_per_s, "at {from_ms}");
    }
    assert!(sent(SLOW_TO_MS + 3_000, load.length_ms) > usual_per_s / 2.0);
}

/// Load: one engine that turns five times slower, with 127 nodes that seldom hear of it.
#[test]
fn engine_that_turns_slow_is_left_by_nodes_with_stale_reports() {
    // Arrange
    let load = Load { slowdown: one_turns_slow, ..model_service() };

    // Act
    let outcomes = models(&load);
    show("one turns slow, models", &outcomes);

    // Assert
    assert!(outcomes.1.in_time >= outcomes.0.in_time);
    let sent = |outcome: &Outcome| outcome.sent_to(1, SLOW_FROM_MS + 1_000, SLOW_TO_MS);
    assert!(sent(&outcomes.1) < sent(&outcomes.0), "{} {}", sent(&outcomes.1), sent(&outcomes.0));
}

/// Load: hot part. Guards against a prefix that is in more than a quarter of the prompts and keeps to
/// one engine, whose queue no report shows.
#[test]
fn hot_part_spreads_to_other_engines() {
    // Arrange
    let usual = model_service();
    let prompts = usual.prompts.map(|prompts| Prompts { hot_share: 0.28, ..prompts });
    let load = Load { prompts, ..usual };

    // Act
    let outcomes = models(&load);
    show("hot part", &outcomes);

    // Assert
    let (base, new) = &outcomes;
    assert!(new.in_time > base.in_time && new.p95_wait_ms < base.p95_wait_ms);
    assert!(new.busiest < base.busiest);
}

/// Load: wave by zone. Guards against a strategy for uneven speeds that treats even ones worse.
#[test]
fn wave_by_zone_is_served_as_by_the_baselines() {
    // Arrange
    let plain_load = Load { swing: 0.55, ..plain_service() };
    let model_load = Load { swing: 0.55, ..model_service() };

    // Act
    let (plain, models) = (plain(&plain_load), models(&model_load));
    show("wave by zone, plain", &plain);
    show("wave by zone, models", &models);

    // Assert
    for (base, new) in [plain, models] {
        assert!(new.in_time >= base.in_time - TOLERANCE);
        assert!(new.busiest <= base.busiest + 0.1);
    }
}

/// Chooses the endpoint with the lowest expected time, as each node alone would.
struct LowestEstimate;

impl Placement for LowestEstimate {
    fn choose(&self, _: &PlacementRequest<'_>, candidates: &[Candidate<'_>]) -> Option<usize> {
        let cost = |position: &usize| {
            let candidate = &candidates[*position];
            let factor = candidate.speed.map_or(1.0, |speed| speed.factor);
            (candidate.load + 1.0) * factor
        };
        (0..candidates.len()).min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }
}

/// Load: 127 nodes with stale reports, speeds that change each 100 ms. Guards against nodes that all
/// send to the endpoint that has just reported well.
#[test]
fn nodes_with_stale_reports_do_not_crowd_on_one_endpoint() {
    // Arrange
    let load = Load {
        endpoints: 12,
        zones: 1,
        per_s: 1_440.0,
        slowdown: changes_each_100_ms,
        ..plain_service()
    };

    // Act
    let lowest = play(&load, &LowestEstimate, true);
    let outcomes = plain(&load);
    show("stale reports", &outcomes);
    let peak = |outcome: &Outcome| {
        let windows = (2_000..load.length_ms).step_by(200);
        let share = |from_ms| {
            let counts = (0..load.endpoints).map(|e| outcome.sent_to(e, from_ms, from_ms + 200));
            counts.max().unwrap_or_default() as f64 * load.endpoints as f64 / (load.per_s * 0.2)
        };
        windows.map(share).fold(0.0, f64::max)
    };
    println!(
        "peak share in 200 ms: lowest estimate {:.2}, least loaded {:.2}, expected time {:.2}",
        peak(&lowest),
        peak(&outcomes.0),
        peak(&outcomes.1)
    );

    // Assert: with 24 requests in a window on average, chance alone gives a peak of about 1.7.
    assert!(peak(&outcomes.1) <= 2.0);
    assert!(outcomes.1.in_time >= outcomes.0.in_time);
}
