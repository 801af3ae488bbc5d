//! Tests of the estimates of how fast an endpoint is now.

use yuccapass_decisions::gateway::{
    EndpointSpeed, EndpointTracker, EndpointTrackerSettings, EngineSpec, LoadReport, RequestWork,
    ServicePace,
};
use yuccapass_types::{Instant, Slowdown, Tokens};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn percent(percent: u32) -> Slowdown {
    Slowdown::from_percent(percent).expect("a valid slowdown")
}

fn prompt(uncached: u64) -> RequestWork {
    let tokens = Tokens::new(uncached);
    RequestWork { prompt: tokens, uncached: tokens, output: Tokens::new(30) }
}

fn cached(prompt: u64) -> RequestWork {
    RequestWork { prompt: Tokens::new(prompt), uncached: Tokens::ZERO, output: Tokens::ZERO }
}

/// A pace that was learnt from requests of 20 ms and 0.02 ms for each token, running for 200 ms.
fn learnt_pace() -> ServicePace {
    let mut pace = ServicePace::default();
    for tokens in [0, 1_000, 5_000, 10_000] {
        pace.record_begun(&prompt(tokens), 20 + tokens / 50, Slowdown::USUAL, at(0));
        pace.record_run(200, Slowdown::USUAL, at(0));
        pace.record_report(Slowdown::USUAL, None, at(0));
    }
    pace
}

fn tracker(report: LoadReport, now: Instant) -> EndpointTracker {
    let mut tracker = EndpointTracker::new(EndpointTrackerSettings::default());
    tracker.set_pace(learnt_pace());
    tracker.record_load(report, now);
    tracker
}

fn report(running: u32, waiting: u32, slowdown: u32) -> LoadReport {
    LoadReport { running, waiting, slots: 10, slowdown: Some(percent(slowdown)) }
}

/// Guards against one report of a figure that changes many times a second that is taken as a fact:
/// half a second later, the endpoint's average says more.
#[test]
fn old_report_counts_less_than_the_average() {
    // Arrange
    let mut speed = EndpointSpeed::default();
    for step in 0..20 {
        speed.record_report(percent(if step % 4 == 0 { 250 } else { 100 }), at(step * 100));
    }
    speed.record_report(percent(250), at(2_000));

    // Act
    let pace = pace_after(&[(1.4, 140), (1.0, 100)]);
    let estimate = |ms| speed.estimate(&pace, at(ms)).expect("an estimate");
    let (fresh, old) = (estimate(2_000), estimate(2_600));

    // Assert
    assert_eq!(fresh.expected, percent(250));
    assert!((110..180).contains(&old.expected.percent()), "{old:?}");
    assert!(fresh.error < old.error, "{fresh:?} {old:?}");
}

/// Guards against an endpoint that has turned slow and is judged by what it was before.
#[test]
fn estimate_follows_a_lasting_change_within_two_reports() {
    // Arrange
    let mut speed = EndpointSpeed::default();
    for step in 0..50 {
        speed.record_report(percent(95 + step % 10), at(u64::from(step) * 20));
    }

    // Act
    speed.record_report(percent(500), at(1_100));
    speed.record_report(percent(510), at(1_200));
    let estimate = speed.estimate(&learnt_pace(), at(1_700)).expect("an estimate");

    // Assert
    assert!(estimate.expected.percent() > 350, "{estimate:?}");
}

/// Guards against an endpoint that was slow once and is taken for slow ever after, and against one
/// that is forgotten between two reports, which are seconds apart on a node of a large fleet.
#[test]
fn estimate_returns_to_the_average_of_the_service() {
    // Arrange
    let mut speed = EndpointSpeed::default();
    speed.record_report(percent(500), at(0));

    // Act
    let estimate = |ms| speed.estimate(&learnt_pace(), at(ms)).expect("an estimate").expected;

    // Assert
    assert!(estimate(5_000).percent() > 300, "{}", estimate(5_000));
    assert!(estimate(60_000).percent() < 110, "{}", estimate(60_000));
}

/// Returns a pace that has compared reports of endpoints with their earlier averages.
fn pace_after(reports: &[(f64, u32)]) -> ServicePace {
    let mut pace = ServicePace::default();
    for _ in 0..10 {
        for (earlier, next) in reports {
            pace.record_report(percent(*next), Some(*earlier), at(0));
        }
    }
    pace
}

/// Guards against changes that are the same everywhere and are taken for a difference between
/// endpoints, and against lasting differences that are taken for chance.
#[test]
fn differences_count_as_far_as_later_reports_confirm_them() {
    // Arrange
    let lasting = pace_after(&[(2.0, 200), (1.0, 100)]);
    let changing = pace_after(&[(2.0, 200), (1.0, 100), (2.0, 100), (1.0, 200)]);
    let mut speed = EndpointSpeed::default();
    speed.record_report(percent(200), at(0));

    // Act
    let factor = |pace| speed.lasting_factor(pace, at(0));

    // Assert
    assert!(factor(&lasting) > 1.9, "{}", factor(&lasting));
    assert!(factor(&changing) < 1.6, "{}", factor(&changing));
}

/// Guards against an overloaded endpoint that reports nothing, because none of its answers begins, and
/// seems idle meanwhile.
#[test]
fn request_without_an_answer_shows_a_queue() {
    // Arrange
    let mut tracker = tracker(report(1, 0, 100), at(0));

    // Act
    tracker.record_work(&prompt(0), at(0));
    let waiting_ms = tracker.expected_wait_ms(&prompt(0), at(1_020));
    tracker.record_not_pending(at(0));
    let ended_ms = tracker.expected_wait_ms(&prompt(0), at(1_020));

    // Assert
    assert!((1_000.0..1_050.0).contains(&waiting_ms), "{waiting_ms}");
    assert!(ended_ms < 21.0, "{ended_ms}");
}

/// Guards against a request that counts as unanswered for ever because the requests of two threads were
/// recorded in another order than they were sent.
#[test]
fn requests_may_be_recorded_out_of_order() {
    // Arrange
    let mut tracker = tracker(report(1, 0, 100), at(0));
    for sent_ms in [30, 10, 20, 10] {
        tracker.record_work(&prompt(0), at(sent_ms));
    }

    // Act
    for sent_ms in [10, 20, 30] {
        tracker.record_not_pending(at(sent_ms));
    }
    let one_left_ms = tracker.expected_wait_ms(&prompt(0), at(1_030));
    tracker.record_not_pending(at(10));
    let none_left_ms = tracker.expected_wait_ms(&prompt(0), at(1_030));

    // Assert
    assert!(one_left_ms > 1_000.0, "{one_left_ms}");
    assert!(none_left_ms < 21.0, "{none_left_ms}");
}

/// Guards against prompts that are sent to an engine without memory for them, where running requests
/// are preempted.
#[test]
fn expected_wait_counts_the_memory_of_an_engine() {
    // Arrange
    let mut pace = learnt_pace();
    pace.set_engine(Some(EngineSpec { slots: 10, capacity: Tokens::new(20_000) }));
    let mut tracker = tracker(report(0, 0, 100), at(0));
    tracker.set_pace(pace);
    tracker.record_sent(Tokens::new(15_000));

    // Act
    let small_ms = tracker.expected_wait_ms(&cached(4_000), at(0));
    let large_ms = tracker.expected_wait_ms(&cached(10_000), at(0));

    // Assert: a quarter of the memory is released in a quarter of 200 ms.
    assert!((19.0..21.0).contains(&small_ms), "{small_ms}");
    assert!((69.0..71.0).contains(&large_ms), "{large_ms}");
}

/// Guards against endpoints without reports that are taken as equally fast.
#[test]
fn endpoint_without_reports_is_judged_by_its_answers() {
    // Arrange
    let mut slow = EndpointTracker::new(EndpointTrackerSettings::default());
    slow.set_pace(learnt_pace());

    // Act: 5,000 tokens are expected after 120 ms.
    slow.record_begun(&prompt(5_000), at(640), at(1_000));
    let estimate = slow.slowdown(at(1_000)).expect("an estimate");

    // Assert
    assert!((295..=305).contains(&estimate.expected.percent()), "{estimate:?}");
    assert!(!slow.reports_slowdown());
}

/// Guards against a report that is overruled by answers, which also wait in queues.
#[test]
fn reported_slowdown_takes_precedence_over_answers() {
    // Arrange
    let mut tracker = tracker(report(1, 0, 120), at(5_000));

    // Act
    tracker.record_begun(&prompt(100), at(0), at(5_000));

    // Assert
    let estimate = tracker.slowdown(at(5_000)).expect("an estimate");
    assert_eq!(estimate.expected, percent(120));
    assert!(tracker.reports_slowdown());
}

/// Guards against a wait that ignores the queue, the speed, or the prompt.
#[test]
fn expected_wait_grows_with_queue_slowdown_and_prompt() {
    // Arrange
    let (idle, queued) = (report(1, 0, 100), report(10, 10, 100));
    let slow = report(1, 0, 300);
    let wait_ms = |report, tokens| tracker(report, at(0)).expected_wait_ms(&prompt(tokens), at(0));

    // Act
    let idle_ms = wait_ms(idle, 0);

    // Assert: 20 ms for an answer without a prompt, 200 ms for a queue of a whole set of slots.
    assert!((19.0..21.0).contains(&idle_ms), "{idle_ms}");
    assert!((230.0..250.0).contains(&wait_ms(queued, 0)), "{}", wait_ms(queued, 0));
    assert!((58.0..62.0).contains(&wait_ms(slow, 0)), "{}", wait_ms(slow, 0));
    assert!((115.0..125.0).contains(&wait_ms(idle, 5_000)), "{}", wait_ms(idle, 5_000));
}

/// Guards against prompts that this node has just sent and that are not counted until the next
/// report, or are counted for ever.
#[test]
fn sent_prompts_delay_later_requests_until_they_are_prefilled() {
    // Arrange
    let mut tracker = tracker(report(1, 0, 100), at(0));

    // Act
    tracker.record_work(&prompt(10_000), at(0));
    let sent_ms = tracker.expected_wait_ms(&prompt(0), at(0));
    let prefilling_ms = tracker.expected_wait_ms(&prompt(0), at(100));
    tracker.record_begun(&prompt(10_000), at(0), at(220));
    let begun_ms = tracker.expected_wait_ms(&prompt(0), at(220));

    // Assert: 10,000 tokens take 200 ms.
    assert!((215.0..225.0).contains(&sent_ms), "{sent_ms}");
    assert!((115.0..125.0).contains(&prefilling_ms), "{prefilling_ms}");
    assert!(begun_ms < 21.0, "{begun_ms}");
}
