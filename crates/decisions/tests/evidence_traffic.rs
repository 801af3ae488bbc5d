//! Tests of the traffic that evidence about crashes causes in a large fleet: calls to the key-value
//! service, bytes on the links of relays, and what is left for the configuration.

mod evidence_traffic_model;

use evidence_traffic_model::{Guard, Model, Report, WAVES_MS};

/// Writes of evidence that all nodes together may start in one second: half of the 300 writes a second
/// that the platform takes by default, which is the share of nodes that call regularly.
const MAX_WRITES_PER_S: usize = 150;

/// The same on average from the first wave of crashes on: a fifth of those 300.
const MAX_MEAN_WRITES_PER_S: f64 = 60.0;

/// Bytes that a relay may send in one second on a link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// Time in which a change of the configuration must be in force, less the time that its readers need.
const MAX_CONFIGURATION_MS: u64 = 2_000;

/// Returns the rules that a run has broken.
fn broken_rules(report: &Report) -> Vec<&'static str> {
    let busiest = report.writes_by_second.iter().copied().max().unwrap_or_default();
    let trouble_s = report.writes_by_second.len() as f64 - WAVES_MS[0] as f64 / 1_000.0;
    let writes: usize = report.writes_by_second.iter().sum();
    let rules = [
        ("writes in a second", busiest > MAX_WRITES_PER_S),
        ("mean of writes", writes as f64 / trouble_s > MAX_MEAN_WRITES_PER_S),
        ("bytes of a relay", report.most_relay_bytes_per_s > LINK_BYTES_PER_S / 2),
        ("age of the configuration", report.longest_configuration_ms > MAX_CONFIGURATION_MS),
        ("blocked parts", report.blocked_parts > 0),
    ];
    rules.into_iter().filter_map(|(rule, is_broken)| is_broken.then_some(rule)).collect()
}

/// Guards against evidence about crashes of busy engines that takes the calls and the links from the
/// configuration, and against sound parts that are blocked as it arrives late.
#[test]
fn evidence_leaves_room_for_the_configuration_while_busy_engines_crash() {
    let report = Model::new(127, 0, Guard::Complete).run();

    let broken = broken_rules(&report);
    assert!(report.merges > 0 && broken.is_empty(), "{broken:?}, {report:?}");
}

/// Guards against a model that would not notice a missing limit.
#[test]
fn the_model_notices_each_missing_limit() {
    let without_pacing = Model::new(127, 0, Guard::WithoutPacing).run();
    let without_classes = Model::new(127, 0, Guard::WithoutClasses).run();

    let pacing = broken_rules(&without_pacing);
    assert!(pacing.contains(&"mean of writes"), "{without_pacing:?}");
    let classes = broken_rules(&without_classes);
    assert!(classes.contains(&"bytes of a relay"), "{without_classes:?}");
}
