//! Patterns of load on nodes that share engines, compared with nodes that send all requests at once.
//!
//! The bounds are what callers need: the most urgent requests are served on time as often as without a
//! waiting room, no class or organisation starves, and most refusals come at once.

mod waiting_room_model;

use waiting_room_model::{Arrivals, Class, Outcome, Policy, Scenario, Service, play};

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const NODES: usize = 12;
const ENGINES: usize = 12;
const LONG: usize = 0;
const SHORT: usize = 1;
const BASELINES: [Policy; 2] = [Policy::FirstCome, Policy::LeastLoaded];

fn classes() -> Vec<Class> {
    let long =
        Class { priority: 2, prompt: 12_000, output: 48, target_ms: 2_000, deadline_ms: 8_000 };
    let short = Class { priority: 0, prompt: 830, output: 36, target_ms: 500, deadline_ms: 6_000 };
    vec![long, short]
}

fn arrivals(
    class: usize,
    organisation: &'static str,
    per_s: f64,
    during_ms: std::ops::Range<u64>,
) -> Arrivals {
    Arrivals { class, organisation, per_s, during_ms, nodes: 0..NODES }
}

/// Two thirds of what the engines can do, from two organisations.
fn usual_load() -> Scenario {
    Scenario {
        classes: classes(),
        arrivals: vec![
            arrivals(LONG, "a", 20.0, 0..8_000),
            arrivals(LONG, "b", 20.0, 0..8_000),
            arrivals(SHORT, "a", 40.0, 0..8_000),
            arrivals(SHORT, "b", 40.0, 0..8_000),
        ],
        nodes: NODES,
        engine_speeds: vec![1.0; ENGINES],
        lost_at_ms: None,
        repeats_at_once: false,
    }
}

/// Plays the scenario with the waiting room and the baselines; checks what holds for each pattern.
fn compare(scenario: &Scenario) -> (Outcome, [Outcome; 2]) {
    let play_all = |policy| SEEDS.map(|seed| play(scenario, policy, seed)).into_iter().sum();
    let with_room: Outcome = play_all(Policy::WaitingRoom);
    let baselines: [Outcome; 2] = BASELINES.map(play_all);
    eprintln!("waiting room: {with_room:?}");
    eprintln!("baselines: {baselines:?}");
    for baseline in &baselines {
        assert_not_below(with_room.classes[SHORT], baseline.classes[SHORT], Service::on_time_share);
    }
    for class in &with_room.classes {
        assert!(class.served_share() >= 0.25, "a class starves: {class:?}");
        let refused = class.refused_at_once + class.refused_late;
        assert!(class.refused_late * 2 <= refused.max(20), "most refusals come late: {class:?}");
    }
    (with_room, baselines)
}

/// Checks that callers are not served worse than before. Two standard errors of a share are allowed for.
fn assert_not_below(service: Service, before: Service, share: impl Fn(&Service) -> f64) {
    let error = 2.0 * (0.25 / f64::from(before.owed.max(1))).sqrt();
    assert!(share(&service) >= share(&before) - error, "{service:?}, before {before:?}");
}

#[test]
fn long_prompts_that_fill_memory_do_not_set_each_other_back() {
    let mut scenario = usual_load();
    scenario.arrivals.push(arrivals(LONG, "a", 50.0, 2_000..6_000));

    let (with_room, baselines) = compare(&scenario);

    for baseline in baselines {
        let (now, before) = (with_room.preemptions, baseline.preemptions);
        assert!(now <= before, "{now} requests were set back, before {before}");
        assert_not_below(with_room.classes[LONG], baseline.classes[LONG], Service::on_time_share);
        let (long, before) = (with_room.classes[LONG], baseline.classes[LONG]);
        assert!(long.failed <= before.failed, "{long:?}, before {before:?}");
    }
}

#[test]
fn a_burst_in_one_zone_uses_the_room_that_other_zones_leave() {
    let mut scenario = usual_load();
    let burst = arrivals(LONG, "a", 30.0, 2_000..5_000);
    scenario.arrivals.push(Arrivals { nodes: 0..3, ..burst });

    let (with_room, baselines) = compare(&scenario);

    for baseline in baselines {
        assert_not_below(with_room.classes[LONG], baseline.classes[LONG], Service::served_share);
    }
}

#[test]
fn one_organisation_far_above_its_share_does_not_displace_the_others() {
    let mut scenario = usual_load();
    scenario.arrivals.push(arrivals(LONG, "large", 80.0, 1_000..7_000));

    let (with_room, baselines) = compare(&scenario);

    for baseline in baselines {
        for name in ["a", "b"] {
            let (service, before) = (with_room.organisation(name), baseline.organisation(name));
            assert_not_below(service, before, Service::on_time_share);
            assert_not_below(service, before, Service::served_share);
        }
    }
    let large = with_room.organisation("large");
    assert!(large.served_share() >= 0.25, "the large organisation starves: {large:?}");
}

#[test]
fn clients_that_repeat_at_once_gain_nothing_over_others() {
    let mut scenario = Scenario { repeats_at_once: true, ..usual_load() };
    scenario.arrivals.push(arrivals(LONG, "a", 60.0, 2_000..6_000));

    let (with_room, baselines) = compare(&scenario);

    for baseline in baselines {
        let (long, before) = (with_room.classes[LONG], baseline.classes[LONG]);
        assert!(long.failed <= before.failed, "{long:?}, before {before:?}");
    }
}

#[test]
fn requests_of_nodes_that_are_left_are_served_when_half_of_the_nodes_are_lost_at_peak() {
    let mut scenario = Scenario { lost_at_ms: Some(4_000), ..usual_load() };
    scenario.arrivals.push(arrivals(LONG, "a", 40.0, 2_000..6_000));

    let (with_room, baselines) = compare(&scenario);

    for baseline in baselines {
        assert_not_below(with_room.classes[LONG], baseline.classes[LONG], Service::served_share);
    }
}

#[test]
fn a_slow_third_of_the_endpoints_does_not_fill_up() {
    let mut scenario = usual_load();
    scenario.engine_speeds[..ENGINES / 3].fill(0.33);

    let (with_room, baselines) = compare(&scenario);

    for baseline in baselines {
        assert_not_below(with_room.classes[LONG], baseline.classes[LONG], Service::on_time_share);
    }
}
