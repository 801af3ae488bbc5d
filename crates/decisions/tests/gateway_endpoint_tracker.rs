//! Tests of what a node concludes from the answers and the silence of an endpoint.

use yuccapass_decisions::gateway::{EndpointTracker, EndpointTrackerSettings};
use yuccapass_types::Instant;

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn tracker() -> EndpointTracker {
    EndpointTracker::new(EndpointTrackerSettings::default())
}

/// Guards against a sound endpoint that is avoided because a request had less time than it needs:
/// in an incident, such requests took one of three endpoints away twice a second.
#[test]
fn endpoint_that_answers_others_is_not_avoided_for_its_silence() {
    // Arrange
    let mut answering = tracker();
    answering.record_answer_begun(at(1_200));

    // Act
    answering.record_silence(at(1_000), at(1_400));

    // Assert: it is not avoided, but less likely to be chosen.
    assert!(!answering.is_avoided(at(1_401)));
    assert!(answering.failure_rate() > 0.0);
}

/// Guards against an endpoint that hangs and is not avoided: earlier answers, and the beginning of
/// the answer that stalled, are no signs of life.
#[test]
fn endpoint_of_which_nothing_is_heard_is_avoided() {
    // Arrange
    let (mut never_answered, mut stalled) = (tracker(), tracker());
    stalled.record_success(at(900));
    stalled.record_answer_begun(at(1_000));

    // Act
    never_answered.record_silence(at(1_000), at(1_400));
    stalled.record_silence(at(1_000), at(1_400));

    // Assert
    assert!(never_answered.is_avoided(at(1_401)));
    assert!(stalled.is_avoided(at(1_401)));
}
