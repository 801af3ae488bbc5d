//! Tests of the crash guard.

mod property_config;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use yuccapass_decisions::crash_guard::{
    CrashGuard, CrashGuardSettings, Fingerprint, FingerprintStatus,
};
use yuccapass_types::{Deadline, Incarnation, Instant};

const BLOCK_MS: u64 = 600_000;

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn guard(node: &str) -> CrashGuard {
    CrashGuard::new(node.parse().unwrap(), Incarnation::new(1), CrashGuardSettings::default())
}

fn fingerprint(organisation: &str, prompt: &str) -> Fingerprint {
    Fingerprint::of(&organisation.parse().unwrap(), &"m".parse().unwrap(), prompt.as_bytes())
}

fn numbered(number: u64) -> Fingerprint {
    Fingerprint::from_bits(number)
}

/// Guards against blocking another organisation that sends the same prompt.
#[test]
fn fingerprint_covers_organisation_and_prompt() {
    // Arrange
    let first = fingerprint("a", "prompt");

    // Act
    let others = [fingerprint("b", "prompt"), fingerprint("a", "prompt ")];

    // Assert
    assert_eq!(first, fingerprint("a", "prompt"));
    assert!(!others.contains(&first));
}

/// Guards against a request that crashes endpoint after endpoint, and against a block that never
/// ends.
#[test]
fn second_crash_blocks_until_a_deadline() {
    // Arrange
    let mut guard = guard("n");

    // Act
    guard.record_crash(&[numbered(1)], at(0));
    let once = guard.status(numbered(1), at(1));
    guard.record_crash(&[numbered(1)], at(10));
    let twice = guard.status(numbered(1), at(11));
    guard.record_completion(numbered(1), at(12));

    // Assert
    assert_eq!(once, FingerprintStatus::Suspect);
    assert_eq!(twice, FingerprintStatus::Blocked { until: Deadline::after_ms(at(10), BLOCK_MS) });
    assert_eq!(guard.status(numbered(1), at(13)), twice);
    assert_eq!(guard.status(numbered(1), at(10 + BLOCK_MS)), FingerprintStatus::Clear);
}

/// Guards against blocking a request that many callers send, because copies of it were at several
/// endpoints that failed together, and against not counting copies that were sent one after the other.
#[test]
fn copies_at_several_endpoints_at_the_same_time_count_once() {
    // Arrange
    let mut guard = guard("n");

    // Act
    guard.record_attempt_crash(numbered(1), at(0), at(100));
    guard.record_attempt_crash(numbered(1), at(50), at(101));
    guard.record_attempt_crash(numbered(1), at(99), at(300));
    let together = guard.status(numbered(1), at(301));
    guard.record_attempt_crash(numbered(1), at(100), at(310));

    // Assert
    assert_eq!(together, FingerprintStatus::Suspect);
    assert!(matches!(guard.status(numbered(1), at(311)), FingerprintStatus::Blocked { .. }));
}

/// Guards against suspecting a request that another endpoint has answered while the first one is probed.
#[test]
fn a_request_that_is_answered_during_a_probe_is_not_suspected() {
    // Arrange
    let mut guard = guard("n");
    guard.begin_probe(numbered(1));
    guard.begin_probe(numbered(2));

    // Act
    guard.record_completion(numbered(1), at(10));
    let may_count = [guard.end_probe(numbered(1)), guard.end_probe(numbered(2))];

    // Assert
    assert_eq!(may_count, [false, true]);
    assert!(guard.is_empty());
}

/// Guards against a request that keeps coming and crashes two more endpoints each time its block ends.
#[test]
fn a_block_is_renewed_by_one_crash_and_lasts_longer() {
    // Arrange
    let settings = CrashGuardSettings::default().block_ms(60_000).remember_ms(600_000);
    let mut guard = CrashGuard::new("n".parse().unwrap(), Incarnation::new(1), settings);
    guard.record_crash(&[numbered(1)], at(0));
    guard.record_crash(&[numbered(1)], at(0));

    // Act
    let after_block = guard.status(numbered(1), at(60_000));
    guard.record_crash(&[numbered(1)], at(60_000));
    let renewed = guard.status(numbered(1), at(60_001));
    let after_all = guard.status(numbered(1), at(660_000));

    // Assert
    assert_eq!(after_block, FingerprintStatus::Suspect);
    assert_eq!(renewed, FingerprintStatus::Blocked { until: Deadline::after_ms(at(0), 180_000) });
    assert_eq!(after_all, FingerprintStatus::Clear);
}

/// Guards against blocking harmless requests that ran at an endpoint beside a crashing one.
#[test]
fn requests_beside_a_suspect_are_not_counted() {
    // Arrange
    let mut guard = guard("n");
    guard.record_crash(&[numbered(1), numbered(2), numbered(3)], at(0));
    guard.record_completion(numbered(2), at(1));

    // Act: request 1 crashes another endpoint, beside requests that are not suspect.
    let counted = guard.record_crash(&[numbered(1), numbered(2), numbered(4)], at(2));

    // Assert
    assert_eq!(counted, [numbered(1)]);
    assert!(matches!(guard.status(numbered(1), at(3)), FingerprintStatus::Blocked { .. }));
    assert_eq!(guard.status(numbered(2), at(3)), FingerprintStatus::Clear);
    assert_eq!(guard.status(numbered(3), at(3)), FingerprintStatus::Suspect);
    assert_eq!(guard.status(numbered(4), at(3)), FingerprintStatus::Clear);
}

/// Guards against a caller that changes its crashing prompt slightly each time: each variant crashes
/// at most two endpoints, and a request that ran beside it is not blocked.
#[test]
fn variants_of_a_crashing_prompt_do_not_block_requests_beside_them() {
    // Arrange
    let mut guard = guard("n");
    let harmless = fingerprint("b", "innocent");

    // Act
    for variant in 0..5 {
        let crashing = fingerprint("a", &format!("crash {variant}"));
        guard.record_crash(&[crashing, harmless], at(variant * 100));
        guard.record_completion(harmless, at(variant * 100 + 1));
        guard.record_crash(&[crashing, harmless], at(variant * 100 + 2));

        // Assert
        let now = at(variant * 100 + 3);
        assert!(matches!(guard.status(crashing, now), FingerprintStatus::Blocked { .. }));
        assert_eq!(guard.status(harmless, now), FingerprintStatus::Clear);
    }
}

/// Guards against counting a crash again because its report arrives several times or late.
#[test]
fn repeated_and_late_reports_count_once() {
    // Arrange
    let (mut first, mut second) = (guard("a"), guard("b"));
    first.record_crash(&[numbered(1)], at(0));
    let early = first.reports(8, at(1));
    first.record_completion(numbered(1), at(2));
    let late = first.reports(8, at(3));

    // Act
    early.iter().chain(&early).for_each(|report| second.merge(report, at(4)));
    let after_early = second.status(numbered(1), at(5));
    late.iter().chain(&early).for_each(|report| second.merge(report, at(6)));

    // Assert
    assert_eq!(after_early, FingerprintStatus::Suspect);
    assert_eq!(second.status(numbered(1), at(7)), FingerprintStatus::Clear);
}

/// Guards against a table that grows without bound when every crashing prompt is new.
#[test]
fn full_table_drops_the_oldest_crash() {
    // Arrange
    let settings = CrashGuardSettings::default().max_fingerprints(10);
    let mut guard = CrashGuard::new("n".parse().unwrap(), Incarnation::new(1), settings);

    // Act
    (0..25).for_each(|number| drop(guard.record_crash(&[numbered(number)], at(number))));

    // Assert
    assert_eq!(guard.len(), 10);
    assert_eq!(guard.status(numbered(24), at(25)), FingerprintStatus::Suspect);
    assert_eq!(guard.status(numbered(14), at(25)), FingerprintStatus::Clear);
}

/// Guards against a request that crashes endpoints and of which the other nodes hear nothing, because
/// many other requests were at endpoints that crashed later.
#[test]
fn reports_keep_requests_at_several_crashes_before_newer_ones() {
    // Arrange
    let (mut first, mut second, mut third) = (guard("a"), guard("b"), guard("c"));
    first.record_crash(&[numbered(1)], at(0));
    first.reports(8, at(1)).iter().for_each(|report| second.merge(report, at(1)));
    second.record_crash(&[numbered(1)], at(2));

    // Act
    (2..30).for_each(|number| drop(second.record_crash(&[numbered(number)], at(number + 1))));
    second.reports(8, at(40)).iter().for_each(|report| third.merge(report, at(40)));

    // Assert
    assert_eq!(third.status(numbered(1), at(41)), FingerprintStatus::Suspect);
}

#[derive(Debug, Clone)]
enum Step {
    Crash(BTreeSet<u64>),
    Complete(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        prop::collection::btree_set(0u64..6, 1..4).prop_map(Step::Crash),
        (0u64..6).prop_map(Step::Complete),
        (0u64..BLOCK_MS).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..30)
}

/// Naive reference: the counted crashes of each fingerprint and the time of the last one.
#[derive(Default)]
struct Naive(BTreeMap<u64, (u32, u64)>);

impl Naive {
    fn crashes(&self, number: u64, now_ms: u64) -> u32 {
        let known = self.0.get(&number).filter(|(_, last_ms)| now_ms < last_ms + BLOCK_MS);
        known.map_or(0, |&(crashes, _)| crashes)
    }

    fn apply(&mut self, step: &Step, now_ms: u64) {
        match step {
            Step::Crash(running) => {
                let is_suspect = |number: &&u64| self.crashes(**number, now_ms) > 0;
                let suspects: BTreeSet<u64> = running.iter().filter(is_suspect).copied().collect();
                let counted = if suspects.is_empty() { running.clone() } else { suspects };
                for number in counted {
                    let crashes = self.crashes(number, now_ms) + 1;
                    self.0.insert(number, (crashes, now_ms));
                }
            }
            Step::Complete(number) if self.crashes(*number, now_ms) == 1 => {
                self.0.remove(number);
            }
            Step::Complete(_) | Step::Wait(_) => {}
        }
    }
}

proptest! {
    #![proptest_config(property_config::fixed(128, 0xc4_a5))]

    /// Guards against a status that differs from the naive reference, on the node itself and on
    /// another one that gets its reports twice.
    #[test]
    fn status_agrees_with_counting(steps in steps()) {
        // Arrange
        let (mut own, mut other, mut naive) = (guard("a"), guard("b"), Naive::default());
        let mut now_ms = 0;
        for step in &steps {
            // Act
            match step {
                Step::Crash(running) => {
                    let running: Vec<Fingerprint> = running.iter().map(|&n| numbered(n)).collect();
                    own.record_crash(&running, at(now_ms));
                }
                Step::Complete(number) => own.record_completion(numbered(*number), at(now_ms)),
                Step::Wait(ms) => now_ms += ms,
            }
            naive.apply(step, now_ms);
            let reports = own.reports(100, at(now_ms));
            reports.iter().chain(&reports).for_each(|report| other.merge(report, at(now_ms)));

            // Assert
            for number in 0..6 {
                let crashes = naive.crashes(number, now_ms);
                for guard in [&own, &other] {
                    let is_as_expected = match guard.status(numbered(number), at(now_ms)) {
                        FingerprintStatus::Clear => crashes == 0,
                        FingerprintStatus::Suspect => crashes == 1,
                        FingerprintStatus::Blocked { .. } => crashes >= 2,
                    };
                    prop_assert!(is_as_expected, "{number}: {crashes} crashes");
                }
            }
        }
    }
}
