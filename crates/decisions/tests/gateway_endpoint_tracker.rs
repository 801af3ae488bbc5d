//! Tests of what a node concludes from the answers and the silence of an endpoint.

use yuccapass_decisions::gateway::{EndpointTracker, EndpointTrackerSettings, SilenceStep};
use yuccapass_types::{Deadline, Instant};

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

/// Guards against requests that wait for seconds for an endpoint whose host is gone, and against a
/// check for each of them.
#[test]
fn silent_endpoint_is_checked_once_and_given_up_by_all_requests() {
    // Arrange: two requests, sent at 1,000 and 1,100 ms.
    let mut tracker = tracker();
    let mut step = |sent_at, now| tracker.silence_step(at(sent_at), 500, at(now));

    // Act and assert
    let wait_until = |ms| SilenceStep::Wait(Deadline::after_ms(at(ms), 0));
    assert_eq!(step(1_000, 1_000), wait_until(1_500));
    assert_eq!(step(1_000, 1_500), SilenceStep::Check);
    assert_eq!(step(1_100, 1_600), wait_until(2_000));
    tracker.record_check(false, at(1_800));
    assert_eq!(tracker.silence_step(at(1_000), 500, at(1_800)), SilenceStep::GiveUp);
    assert_eq!(tracker.silence_step(at(1_100), 500, at(1_800)), SilenceStep::GiveUp);
}

/// Guards against an endpoint that is given up although it answers others, was reachable when it was
/// checked, or was not reachable only before the request was sent.
#[test]
fn endpoint_that_shows_a_sign_of_life_is_not_given_up() {
    // Arrange
    let (mut answering, mut reachable, mut returned) = (tracker(), tracker(), tracker());
    answering.record_check(false, at(1_200));
    answering.record_answer_begun(at(1_400));
    reachable.record_check(true, at(1_200));
    returned.record_check(false, at(900));

    for tracker in [&mut answering, &mut reachable, &mut returned] {
        // Act
        let step = tracker.silence_step(at(1_000), 500, at(1_450));

        // Assert
        assert!(matches!(step, SilenceStep::Wait(_)), "{step:?}");
    }
}
