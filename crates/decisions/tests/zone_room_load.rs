//! Load tests of the exchange within a zone, beside the estimate from the endpoints' reports alone.

mod zone_room_model;

use yuccapass_decisions::gateway::zone_room::MIN_NODES;
use zone_room_model::{Pattern, Report, Setup, run};

/// Nodes in each of three zones; in smaller zones nothing is exchanged.
const SIZES: [usize; 3] = [MIN_NODES, 40, 100];

const SEEDS: std::ops::Range<u64> = 0..2;

fn setup(nodes_per_zone: usize, pattern: Pattern) -> Setup {
    Setup {
        zones: 3,
        nodes_per_zone,
        endpoints_per_zone: 10,
        demand: 0.8,
        pattern,
        lost_ms: None,
        silent_relays_ms: None,
        length_ms: 20_000,
        exchanges: true,
    }
}

fn even(_: u64, _: usize) -> f64 {
    1.0
}

/// Demand that moves from zone to zone, each 3 s.
fn wave(now_ms: u64, zone: usize) -> f64 {
    if (now_ms / 3_000) as usize % 3 == zone { 1.8 } else { 0.6 }
}

/// A burst of 3 s in the first zone.
fn burst(now_ms: u64, zone: usize) -> f64 {
    if zone == 0 && (8_000..11_000).contains(&now_ms) { 2.0 } else { 1.0 }
}

/// Plays a setup with the exchange and without it, and checks that callers are served better with it.
fn check(name: &str, setup: &Setup) -> Vec<(Report, Report)> {
    let plain_setup = Setup { exchanges: false, ..setup.clone() };
    let reports: Vec<_> = SEEDS.map(|seed| (run(setup, seed), run(&plain_setup, seed))).collect();
    for (seed, (exchanged, plain)) in reports.iter().enumerate() {
        eprintln!("{name}, {} nodes a zone, seed {seed}:", setup.nodes_per_zone);
        eprintln!("  exchanged {exchanged:?}\n  plain     {plain:?}");
        assert!(exchanged.in_time > plain.in_time, "{name}, seed {seed}: {exchanged:?}, {plain:?}");
    }
    reports
}

/// Guards against nodes that serve callers worse because all of them choose by the same counts.
#[test]
fn an_even_load_is_served_in_time_by_more_nodes() {
    for nodes in SIZES {
        check("even", &setup(nodes, even));
    }
}

/// Guards against a wave of demand in a zone that fills the endpoints which its nodes saw free last.
#[test]
fn a_wave_by_zone_is_spread_over_the_endpoints() {
    for nodes in SIZES {
        for (exchanged, plain) in check("wave", &setup(nodes, wave)) {
            assert!(exchanged.busiest < plain.busiest, "{exchanged:?}, {plain:?}");
        }
    }
}

/// Guards against a burst in one zone that is sent to few endpoints.
#[test]
fn a_burst_in_one_zone_is_spread_over_the_endpoints() {
    for nodes in SIZES {
        check("burst", &setup(nodes, burst));
    }
}

/// Guards against counts of killed nodes that keep endpoints empty, and against nodes that come back
/// together, know nothing, and all choose the same endpoints.
#[test]
fn half_of_the_nodes_are_lost_at_the_peak_and_come_back_together() {
    for nodes in SIZES {
        let setup = Setup { lost_ms: Some((8_000, 12_000)), ..setup(nodes, even) };
        for (exchanged, plain) in check("lost", &setup) {
            let (with, without) = (exchanged.busiest_of_returned, plain.busiest_of_returned);
            assert!(with < without, "{exchanged:?}, {plain:?}");
        }
    }
}

/// Guards against followers that go on with the last counts of a relay that fell silent in a wave.
#[test]
fn a_zone_whose_relays_are_silent_is_served_as_before() {
    let setup = Setup { silent_relays_ms: Some((6_000, 14_000)), ..setup(40, wave) };
    check("silent relays", &setup);
}
