//! Tests of the health of an endpoint.

use yuccapass_decisions::endpoint_health::{
    AttemptResult, EndpointHealth, EndpointPhase, HealthReport, HealthSettings, LeavingSource,
    ReportedState,
};
use yuccapass_types::{Incarnation, Instant};

const FULL_REQUESTS: u32 = 32;
const COLD_REQUESTS: u32 = 2;

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn report(state: ReportedState, load_requests: u32) -> HealthReport {
    HealthReport {
        incarnation: Incarnation::new(1),
        state,
        load_requests,
        sustainable_requests: FULL_REQUESTS,
        age_ms: 0,
    }
}

fn success(latency_ms: u64) -> AttemptResult {
    AttemptResult::Success { incarnation: None, latency_ms, expected_ms: 100 }
}

fn unknown() -> EndpointHealth {
    EndpointHealth::new(HealthSettings::default().cold_requests(COLD_REQUESTS), at(0))
}

fn warm() -> EndpointHealth {
    let mut health = unknown();
    health.record_report(&report(ReportedState::Warm, 0), at(0));
    health
}

fn shown(health: &EndpointHealth, ms: u64) -> (EndpointPhase, u32) {
    let condition = health.condition(at(ms));
    (condition.phase, condition.sustainable_requests)
}

/// Guards against work for an endpoint of which nothing is known, and against warming up every
/// endpoint again for each node that restarts.
#[test]
fn first_report_is_trusted() {
    // Arrange
    let health = unknown();

    // Act
    let before = shown(&health, 0);
    let after = shown(&warm(), 0);

    // Assert
    assert_eq!(before, (EndpointPhase::Unknown, 0));
    assert_eq!(after, (EndpointPhase::Warm, FULL_REQUESTS));
}

/// Guards against full load for an endpoint that fell back to a cold start, by each of its signs.
#[test]
fn every_sign_of_a_cold_start_counts_at_once() {
    // Arrange
    let signs: [fn(&mut EndpointHealth); 5] = [
        |health| {
            let incarnation = Incarnation::new(2);
            let newer = HealthReport { incarnation, ..report(ReportedState::Warm, 0) };
            health.record_report(&newer, at(10));
        },
        |health| {
            let incarnation = Some(Incarnation::new(2));
            let result = AttemptResult::Success { incarnation, latency_ms: 1, expected_ms: 1 };
            health.record_attempt(result, at(5), at(10));
        },
        |health| health.record_attempt(AttemptResult::Overloaded, at(5), at(10)),
        |health| health.record_report(&report(ReportedState::Cold, 0), at(10)),
        |health| health.record_attempt(success(401), at(5), at(406)),
    ];
    for sign in signs {
        let mut health = warm();

        // Act
        sign(&mut health);

        // Assert: a success of a new process already shows that it bears some load.
        let (phase, requests) = shown(&health, 410);
        assert!(matches!(phase, EndpointPhase::Cold | EndpointPhase::Warming), "{phase:?}");
        assert_eq!(requests, COLD_REQUESTS);
    }
}

/// Guards against slow but normal responses that take an endpoint out of use.
#[test]
fn moderate_latency_changes_nothing() {
    // Arrange
    let mut health = warm();

    // Act
    health.record_attempt(success(400), at(5), at(405));

    // Assert
    assert_eq!(shown(&health, 406), (EndpointPhase::Warm, FULL_REQUESTS));
}

/// Guards against an endpoint that is held to the load of a cold one because a queue was long: a
/// report from after the slow answer that says warm ends it, but not a fall that is certain.
#[test]
fn warm_report_after_a_slow_answer_ends_the_doubt() {
    // Arrange
    let mut slow = warm();
    slow.record_attempt(success(401), at(5), at(406));
    let mut refused = warm();
    refused.record_attempt(AttemptResult::Overloaded, at(5), at(406));
    let mut both = warm();
    both.record_attempt(AttemptResult::Overloaded, at(5), at(10));
    both.record_attempt(success(401), at(20), at(430));

    // Act
    let phases = [slow, refused, both].map(|mut health| {
        health.record_report(&report(ReportedState::Warm, 0), at(500));
        shown(&health, 500).0
    });

    // Assert
    assert_eq!(phases, [EndpointPhase::Warm, EndpointPhase::Cold, EndpointPhase::Cold]);
}

/// Guards against a lagging report, made before the fall, that ends the cold phase.
#[test]
fn report_from_before_the_fall_is_ignored() {
    // Arrange
    let mut health = warm();
    health.record_attempt(AttemptResult::Overloaded, at(900), at(1_000));

    // Act
    let lagging = HealthReport { age_ms: 500, ..report(ReportedState::Warm, COLD_REQUESTS) };
    health.record_attempt(success(50), at(1_000), at(1_100));
    health.record_report(&lagging, at(1_400));

    // Assert
    assert_eq!(shown(&health, 1_400), (EndpointPhase::Warming, COLD_REQUESTS));
}

/// Guards against a warm-up that goes by time or by small load instead of by what was borne.
#[test]
fn warm_up_follows_what_was_borne() {
    // Arrange
    let mut health = warm();
    health.record_attempt(AttemptResult::Overloaded, at(0), at(0));
    let mut levels = Vec::new();

    // Act
    for second in 1..=20 {
        let now = at(second * 1_000);
        let (_, level) = shown(&health, second * 1_000 - 1);
        // In the first five seconds hardly any load arrives.
        let load = if second <= 5 { 1 } else { level };
        health.record_attempt(success(50), at(second * 1_000 - 50), now);
        health.record_report(&report(ReportedState::Warm, load), now);
        levels.push(shown(&health, second * 1_000).1);
    }

    // Assert
    assert_eq!(levels[4], COLD_REQUESTS);
    assert!(levels.windows(2).all(|pair| pair[1] <= pair[0] + pair[0].div_ceil(2)), "{levels:?}");
    assert_eq!(shown(&health, 20_000), (EndpointPhase::Warm, FULL_REQUESTS));
}

/// Guards against ramping beyond what an engine that is still cold says it bears.
#[test]
fn cold_report_caps_the_warm_up() {
    // Arrange
    let mut health = warm();
    health.record_attempt(AttemptResult::Overloaded, at(0), at(0));
    let cold = HealthReport { sustainable_requests: 3, ..report(ReportedState::Cold, 9) };

    // Act
    for second in 1..=10 {
        health.record_attempt(success(50), at(second * 1_000 - 50), at(second * 1_000));
        health.record_report(&cold, at(second * 1_000));
    }

    // Assert
    assert_eq!(shown(&health, 10_000), (EndpointPhase::Warming, 3));
}

/// Guards against sending to an endpoint that does not answer, and against never using it again.
#[test]
fn silence_ends_with_the_next_report() {
    // Arrange
    let (mut failing, mut quiet) = (warm(), warm());

    // Act
    failing.record_attempt(AttemptResult::ConnectionFailed, at(10), at(11));
    let after_one = shown(&failing, 11);
    failing.record_attempt(AttemptResult::ConnectionFailed, at(11), at(12));
    let silent = (shown(&failing, 12), shown(&quiet, 5_000));
    failing.record_report(&report(ReportedState::Warm, 0), at(13));
    quiet.record_report(&report(ReportedState::Warm, 0), at(5_001));

    // Assert
    assert_eq!(after_one.0, EndpointPhase::Warm);
    assert_eq!(silent, ((EndpointPhase::Silent, 0), (EndpointPhase::Silent, 0)));
    assert_eq!(shown(&failing, 13).0, EndpointPhase::Warm);
    assert_eq!(shown(&quiet, 5_001).0, EndpointPhase::Warm);
}

/// Guards against new work for a leaving endpoint while only one of the sources says so.
#[test]
fn any_source_makes_it_leave() {
    // Arrange
    let mut health = warm();

    // Act
    health.set_leaving(LeavingSource::Operators, true);
    let by_operators = shown(&health, 1);
    health.set_leaving(LeavingSource::Operators, false);
    health.set_leaving(LeavingSource::VmList, true);
    let by_vm_list = shown(&health, 1);
    health.set_leaving(LeavingSource::VmList, false);
    health.record_report(&report(ReportedState::Leaving, 0), at(2));
    let by_report = shown(&health, 2);
    health.record_report(&report(ReportedState::Warm, 0), at(3));

    // Assert
    assert_eq!([by_operators, by_vm_list, by_report], [(EndpointPhase::Leaving, 0); 3]);
    assert_eq!(shown(&health, 3).0, EndpointPhase::Warm);
}
