//! Tests of endpoint health.

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

fn phase_and_limit(health: &EndpointHealth, ms: u64) -> (EndpointPhase, u32) {
    let condition = health.condition(at(ms));
    (condition.phase, condition.sustainable_requests)
}

/// Guards against requests to an endpoint about which nothing is known, and against a node that
/// restarts and warms up every endpoint again.
#[test]
fn first_report_is_trusted() {
    // Arrange
    let health = unknown();

    // Act
    let before = phase_and_limit(&health, 0);
    let after = phase_and_limit(&warm(), 0);

    // Assert
    assert_eq!(before, (EndpointPhase::Unknown, 0));
    assert_eq!(after, (EndpointPhase::Warm, FULL_REQUESTS));
}

/// Guards against full load on an endpoint that fell back to a cold start, for each sign of that.
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

        // Assert: after the success of a new process the endpoint is already warming.
        let (phase, requests) = phase_and_limit(&health, 410);
        assert!(matches!(phase, EndpointPhase::Cold | EndpointPhase::Warming), "{phase:?}");
        assert_eq!(requests, COLD_REQUESTS);
    }
}

/// Guards against an endpoint that counts as cold because of slow but normal responses.
#[test]
fn moderate_latency_changes_nothing() {
    // Arrange
    let mut health = warm();

    // Act
    health.record_attempt(success(400), at(5), at(405));

    // Assert
    assert_eq!(phase_and_limit(&health, 406), (EndpointPhase::Warm, FULL_REQUESTS));
}

/// Guards against an endpoint that stays limited to the load of a cold one because its queue was
/// long: a warm report after the slow answer ends that, unless there was a certain sign of a cold
/// start.
#[test]
fn warm_report_after_a_slow_answer_ends_the_cold_phase() {
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
        phase_and_limit(&health, 500).0
    });

    // Assert
    assert_eq!(phases, [EndpointPhase::Warm, EndpointPhase::Cold, EndpointPhase::Cold]);
}

/// Guards against a lagging report from before the cold start that ends the cold phase.
#[test]
fn report_from_before_the_cold_start_is_ignored() {
    // Arrange
    let mut health = warm();
    health.record_attempt(AttemptResult::Overloaded, at(900), at(1_000));

    // Act
    let lagging = HealthReport { age_ms: 500, ..report(ReportedState::Warm, COLD_REQUESTS) };
    health.record_attempt(success(50), at(1_000), at(1_100));
    health.record_report(&lagging, at(1_400));

    // Assert
    assert_eq!(phase_and_limit(&health, 1_400), (EndpointPhase::Warming, COLD_REQUESTS));
}

/// Guards against a warm-up that proceeds with time or under little load, instead of with the load
/// that was sustained.
#[test]
fn warm_up_follows_the_sustained_load() {
    // Arrange
    let mut health = warm();
    health.record_attempt(AttemptResult::Overloaded, at(0), at(0));
    let mut limits = Vec::new();

    // Act
    for second in 1..=20 {
        let now = at(second * 1_000);
        let (_, limit) = phase_and_limit(&health, second * 1_000 - 1);
        // In the first five seconds hardly any load arrives.
        let load = if second <= 5 { 1 } else { limit };
        health.record_attempt(success(50), at(second * 1_000 - 50), now);
        health.record_report(&report(ReportedState::Warm, load), now);
        limits.push(phase_and_limit(&health, second * 1_000).1);
    }

    // Assert
    assert_eq!(limits[4], COLD_REQUESTS);
    assert!(limits.windows(2).all(|pair| pair[1] <= pair[0] + pair[0].div_ceil(2)), "{limits:?}");
    assert_eq!(phase_and_limit(&health, 20_000), (EndpointPhase::Warm, FULL_REQUESTS));
}

/// Guards against a warm-up beyond the load that an engine, by its report, sustains while cold.
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
    assert_eq!(phase_and_limit(&health, 10_000), (EndpointPhase::Warming, 3));
}

/// Guards against requests to an endpoint that does not answer, and against never using it again.
#[test]
fn silence_ends_with_the_next_report() {
    // Arrange
    let (mut failing, mut quiet) = (warm(), warm());

    // Act
    failing.record_attempt(AttemptResult::ConnectionFailed, at(10), at(11));
    let after_one = phase_and_limit(&failing, 11);
    failing.record_attempt(AttemptResult::ConnectionFailed, at(11), at(12));
    let silent = (phase_and_limit(&failing, 12), phase_and_limit(&quiet, 5_000));
    failing.record_report(&report(ReportedState::Warm, 0), at(13));
    quiet.record_report(&report(ReportedState::Warm, 0), at(5_001));

    // Assert
    assert_eq!(after_one.0, EndpointPhase::Warm);
    assert_eq!(silent, ((EndpointPhase::Silent, 0), (EndpointPhase::Silent, 0)));
    assert_eq!(phase_and_limit(&failing, 13).0, EndpointPhase::Warm);
    assert_eq!(phase_and_limit(&quiet, 5_001).0, EndpointPhase::Warm);
}

/// Guards against new requests to a leaving endpoint when only one of the sources reports it.
#[test]
fn any_source_makes_an_endpoint_leave() {
    // Arrange
    let mut health = warm();

    // Act
    health.set_leaving(LeavingSource::Operators, true);
    let by_operators = phase_and_limit(&health, 1);
    health.set_leaving(LeavingSource::Operators, false);
    health.set_leaving(LeavingSource::VmList, true);
    let by_vm_list = phase_and_limit(&health, 1);
    health.set_leaving(LeavingSource::VmList, false);
    health.record_report(&report(ReportedState::Leaving, 0), at(2));
    let by_report = phase_and_limit(&health, 2);
    health.record_report(&report(ReportedState::Warm, 0), at(3));

    // Assert
    assert_eq!([by_operators, by_vm_list, by_report], [(EndpointPhase::Leaving, 0); 3]);
    assert_eq!(phase_and_limit(&health, 3).0, EndpointPhase::Warm);
}
