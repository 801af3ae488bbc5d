//! Tests of the fair queue.

mod property_config;

use std::collections::BTreeMap;

use proptest::prelude::*;
use yuccapass_decisions::admission::fair_queue::{FairQueue, PushOutcome, QueuedRequest};
use yuccapass_types::{Deadline, Instant, ResultCode, Tokens, TokensPerSecond};

const NOW: Instant = Instant::from_ms(0);
const RATE: TokensPerSecond = TokensPerSecond::new(1_000);

fn request(organisation: &str, number: usize, cost: u64) -> QueuedRequest {
    QueuedRequest {
        id: format!("{organisation}-{number}").parse().unwrap(),
        organisation: organisation.parse().unwrap(),
        share: 1,
        priority: 0,
        cost: Tokens::new(cost),
        min_run_ms: 0,
        deadline: Deadline::NEVER,
    }
}

fn push(queue: &mut FairQueue, request: QueuedRequest) -> PushOutcome {
    queue.push(request, RATE, NOW)
}

fn pop_id(queue: &mut FairQueue) -> Option<String> {
    queue.pop(NOW).next.map(|request| request.id.to_string())
}

fn rejection(outcome: &PushOutcome) -> Option<(ResultCode, u64)> {
    match outcome {
        PushOutcome::Rejected { code, retry_after_ms } => Some((*code, *retry_after_ms)),
        PushOutcome::Queued { .. } => None,
    }
}

/// Guards against an organisation that delays all others by sending first.
#[test]
fn burst_of_one_organisation_does_not_delay_another() {
    // Arrange
    let mut queue = FairQueue::new(100);
    (0..50).for_each(|number| drop(push(&mut queue, request("big", number, 100))));
    pop_id(&mut queue);

    // Act
    let outcome = push(&mut queue, request("small", 0, 100));
    let order: Vec<_> = (0..2).filter_map(|_| pop_id(&mut queue)).collect();

    // Assert
    assert!(order.contains(&"small-0".to_owned()), "{order:?}");
    assert!(matches!(outcome, PushOutcome::Queued { expected_wait_ms: ..=100, .. }));
}

/// Guards against time without requests that is saved up and used to push others back.
#[test]
fn idle_time_is_not_made_up_for() {
    // Arrange
    let mut queue = FairQueue::new(100);
    (0..40).for_each(|number| drop(push(&mut queue, request("a", number, 100))));
    (0..20).for_each(|_| drop(pop_id(&mut queue)));

    // Act
    (0..10).for_each(|number| drop(push(&mut queue, request("b", number, 100))));
    let order: Vec<_> = (0..10).filter_map(|_| pop_id(&mut queue)).collect();

    // Assert
    let of_b = order.iter().filter(|id| id.starts_with('b')).count();
    assert!((4..=6).contains(&of_b), "{order:?}");
}

/// Guards against waiting in vain: a passed or unreachable deadline is rejected at once.
#[test]
fn deadlines_are_checked_on_arrival() {
    // Arrange
    let mut queue = FairQueue::new(100);
    push(&mut queue, request("a", 0, 5_000));
    let due = |ms| QueuedRequest {
        deadline: Deadline::after_ms(NOW, ms),
        min_run_ms: 500,
        ..request("a", 1, 100)
    };

    // Act
    let passed = push(&mut queue, due(0));
    let unreachable = push(&mut queue, due(3_000));
    let reachable = push(&mut queue, due(5_500));

    // Assert
    assert_eq!(rejection(&passed), Some((ResultCode::DeadlinePassed, 0)));
    assert_eq!(rejection(&unreachable), Some((ResultCode::DeadlineUnreachable, 2_500)));
    assert_eq!(rejection(&reachable), None);
}

/// Guards against running a request whose caller gave up while it waited.
#[test]
fn expired_requests_are_returned_and_never_run() {
    // Arrange
    let mut queue = FairQueue::new(100);
    let deadline = Deadline::after_ms(NOW, 1_000);
    push(&mut queue, QueuedRequest { deadline, ..request("a", 0, 10) });
    push(&mut queue, request("a", 1, 10));

    // Act
    let outcome = queue.pop(Instant::from_ms(1_000));

    // Assert
    assert_eq!(outcome.expired, [QueuedRequest { deadline, ..request("a", 0, 10) }]);
    assert_eq!(outcome.next, Some(request("a", 1, 10)));
    assert!(queue.is_empty());
}

/// Guards against a cancelled request that runs, or that its organisation pays for.
#[test]
fn cancelled_request_leaves_no_trace() {
    // Arrange
    let mut queue = FairQueue::new(100);
    push(&mut queue, request("a", 0, 90_000));
    push(&mut queue, request("b", 0, 10));
    push(&mut queue, request("a", 1, 10));

    // Act
    let cancelled = queue.cancel(&"a-0".parse().unwrap());
    let again = queue.cancel(&"a-0".parse().unwrap());
    let order = (pop_id(&mut queue), pop_id(&mut queue), pop_id(&mut queue));

    // Assert
    assert_eq!((cancelled, again), (Some(request("a", 0, 90_000)), None));
    assert_eq!(order, (Some("a-1".to_owned()), Some("b-0".to_owned()), None));
}

/// Guards against an organisation that fills the queue and so keeps all others out.
#[test]
fn full_queue_displaces_the_largest_backlog() {
    // Arrange
    let mut queue = FairQueue::new(4);
    (0..4).for_each(|number| drop(push(&mut queue, request("big", number, 100))));

    // Act
    let more = push(&mut queue, request("big", 4, 100));
    let other = push(&mut queue, request("small", 0, 100));

    // Assert: half of 400 tokens at 1,000 tokens/s is less than the least of 1 s.
    assert_eq!(rejection(&more), Some((ResultCode::QueueFull, 1_000)));
    let displaced = Some(Box::new(request("big", 3, 100)));
    assert_eq!(other, PushOutcome::Queued { expected_wait_ms: 0, displaced });
    assert_eq!(queue.len(), 4);
}

/// Guards against drivers' questions that wait behind batch work.
#[test]
fn higher_class_runs_first() {
    // Arrange
    let mut queue = FairQueue::new(10);
    push(&mut queue, request("a", 0, 1_000));
    let urgent = QueuedRequest { priority: 5, ..request("b", 0, 2_000) };

    // Act
    let outcome = push(&mut queue, urgent);
    let low = push(&mut queue, request("c", 0, 10));

    // Assert
    assert!(matches!(outcome, PushOutcome::Queued { expected_wait_ms: 0, .. }));
    assert!(matches!(low, PushOutcome::Queued { expected_wait_ms: 2_000.., .. }));
    assert_eq!(pop_id(&mut queue).as_deref(), Some("b-0"));
}

proptest! {
    #![proptest_config(property_config::fixed(64, 0xfa_14))]

    /// Guards against an order that differs from a plain weighted round, in which the organisation
    /// with the fewest tokens served for its share is next.
    #[test]
    fn order_agrees_with_a_plain_weighted_round(
        organisations in prop::collection::vec(
            (1u32..5, prop::collection::vec(1u64..500, 1..12)), 1..5),
    ) {
        // Arrange
        let mut queue = FairQueue::new(1_000);
        let mut waiting: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
        for (number, (share, costs)) in organisations.iter().enumerate() {
            for (position, &cost) in costs.iter().enumerate() {
                let queued = request(&format!("o{number}"), position, cost);
                push(&mut queue, QueuedRequest { share: *share, ..queued });
            }
            waiting.insert(number, costs.clone());
        }
        let mut served = vec![0u64; organisations.len()];

        // Act
        while let Some(next) = queue.pop(NOW).next {
            // Assert
            let number: usize = next.organisation.as_str()[1..].parse().unwrap();
            let weight = |n: usize| served[n] as f64 / f64::from(organisations[n].0);
            let least = waiting.keys().map(|&n| weight(n)).fold(f64::INFINITY, f64::min);
            prop_assert!(weight(number) <= least + 1e-3, "o{number}: {} {least}", weight(number));
            let costs = waiting.get_mut(&number).unwrap();
            prop_assert_eq!(next.cost.get(), costs.remove(0));
            served[number] += next.cost.get();
            if costs.is_empty() {
                waiting.remove(&number);
            }
        }
        prop_assert!(waiting.is_empty());
    }
}
