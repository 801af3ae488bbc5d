//! Tests of the budget of bytes and connections that are held for callers.

use proptest::prelude::*;
use yuccapass_decisions::gateway::caller_budget::body_capacity;
use yuccapass_decisions::gateway::{
    BudgetUse, CallerBudget, CallerBudgetLimits, ConnectionId, ConnectionShares, Grant, Shortage,
};
use yuccapass_types::{Bytes, Instant, OrganisationId};

const MIB: u64 = 1 << 20;

/// The largest legal body and the largest buffered answer.
const LARGEST_BYTES: u64 = 4 * MIB;

/// Limits of a small budget: 8 MiB, of which 4 MiB are for incomplete requests.
fn limits() -> CallerBudgetLimits {
    CallerBudgetLimits {
        total: Bytes::new(8 * MIB),
        requests: Bytes::new(6 * MIB),
        incomplete: Bytes::new(4 * MIB),
        answers: Bytes::new(8 * MIB),
        organisation: Bytes::new(3 * MIB),
        connections: 4,
        incomplete_connections: 3,
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn open(budget: &mut CallerBudget, now: Instant) -> ConnectionId {
    budget.open(now).0.expect("the budget has room for the connection")
}

/// Opens a connection with a request of 4 MiB, of which this much has arrived and is held.
fn open_with(budget: &mut CallerBudget, received: u64, now: Instant) -> ConnectionId {
    let id = open(budget, now);
    budget.begin_request(id, now);
    budget.begin_body(id, Bytes::new(LARGEST_BYTES));
    assert_eq!(budget.grow_request(id, Bytes::new(received), now).grant, Grant::Granted);
    budget.record_received(id, Bytes::new(received), now);
    id
}

fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("the name is valid")
}

/// Guards against a budget that refuses a single largest request or answer in calm, on the smallest
/// machine and on one with less memory than the process itself takes.
#[test]
fn the_largest_request_and_answer_fit_on_every_machine() {
    for memory_mb in [1, 64, 80, 110, 112, 260, 4_096] {
        // Arrange
        let memory = Some(Bytes::new(memory_mb << 20));
        let connections = ConnectionShares::new(Some(2_870)).callers;
        let answers = Bytes::new(32 * MIB);
        let mut budget = CallerBudget::new(CallerBudgetLimits::new(memory, connections, answers));

        // Act
        let id = open_with(&mut budget, LARGEST_BYTES, at(0));
        budget.set_organisation(id, organisation("org"));
        let head = budget.grow_request(id, Bytes::new(16 << 10), at(1)).grant;
        budget.complete(id);
        let answer = budget.grow_answer(id, Bytes::new(LARGEST_BYTES), at(2)).grant;

        // Assert
        assert_eq!([head, answer], [Grant::Granted; 2], "{memory_mb} MB");
    }
}

/// Guards against callers that use up the descriptors which endpoints and the platform need.
#[test]
fn connections_of_others_leave_descriptors_for_endpoints() {
    for descriptors in [420, 2_870, 4_100, 65_536] {
        let shares = ConnectionShares::new(Some(descriptors));
        let taken = shares.callers + shares.operators + shares.peers;
        let sockets = descriptors as usize - 200;
        assert!(taken * 8 <= sockets * 7, "{taken} of {sockets} sockets are taken");
    }
}

/// Guards against buffers whose capacity is twice the size of a body, or more than was announced.
#[test]
fn the_capacity_for_a_body_never_exceeds_its_limit() {
    let mut capacity = 0;
    for needed in (1..=LARGEST_BYTES).step_by(8 << 10) {
        if needed > capacity {
            capacity = body_capacity(capacity, needed, LARGEST_BYTES);
        }
        assert!(capacity >= needed && capacity <= LARGEST_BYTES.max(needed), "{capacity}");
    }
    assert_eq!(body_capacity(0, 9_000, 10_000), 10_000);
}

/// Guards against a stalled caller that keeps its bytes while one that makes progress is refused.
#[test]
fn a_stalled_request_gives_way() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    let stalled = open_with(&mut budget, 3 * MIB, at(0));
    let id = open_with(&mut budget, 512 << 10, at(3_000));

    // Act: the tight budget closes the stalled one early, and its bytes are free when it is closed.
    let decision = budget.grow_request(id, Bytes::new(MIB), at(3_001));
    budget.close(stalled);
    let after = budget.grow_request(id, Bytes::new(MIB), at(3_020));

    // Assert
    assert_eq!(decision.grant, Grant::Wait);
    assert_eq!(after.grant, Grant::Granted);
}

/// Guards against eviction in the order of arrival: the one that has sent least of what it promised in
/// its time gives way.
#[test]
fn the_slowest_request_gives_way() {
    // Arrange: the first has sent 2 MiB in 1.5 s, the second 0.1 MiB.
    let mut budget = CallerBudget::new(limits());
    let fast = open_with(&mut budget, 2 * MIB, at(0));
    let slow = open_with(&mut budget, 100 << 10, at(0));
    budget.record_received(fast, Bytes::new(2 * MIB + (64 << 10)), at(1_500));
    budget.record_received(slow, Bytes::new(140 << 10), at(1_500));

    // Act
    let decision = budget.grow_request(fast, Bytes::new(2 * MIB), at(1_500));

    // Assert
    assert_eq!((decision.grant, decision.evicted), (Grant::Wait, Some(slow)));
}

/// Guards against similar callers that close each other, so that none completes its request.
#[test]
fn a_request_of_similar_rate_does_not_give_way() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    open_with(&mut budget, 2 * MIB, at(0));
    let id = open_with(&mut budget, 2 * MIB, at(10));

    // Act
    let decision = budget.grow_request(id, Bytes::new(1), at(20));

    // Assert
    assert_eq!(decision.grant, Grant::Refused(Shortage::Memory));
    assert_eq!(decision.evicted, None);
}

/// Guards against complete requests that are dropped for ones that arrive.
#[test]
fn a_complete_request_never_gives_way() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    for _ in 0..2 {
        let id = open_with(&mut budget, 3 * MIB, at(0));
        budget.complete(id);
    }
    let id = open(&mut budget, at(10_000));
    budget.begin_request(id, at(10_000));

    // Act
    let decision = budget.grow_request(id, Bytes::new(MIB), at(10_000));

    // Assert
    assert_eq!(decision.grant, Grant::Refused(Shortage::Memory));
    assert_eq!(decision.evicted, None);
}

/// Guards against an answer that gets no bytes because incomplete requests hold them.
#[test]
fn incomplete_requests_give_way_to_answers() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    let served = open(&mut budget, at(0));
    budget.complete(served);
    let incomplete = open_with(&mut budget, 3 * MIB, at(0));

    // Act
    let decision = budget.grow_answer(served, Bytes::new(6 * MIB), at(1));
    let again = budget.grow_answer(served, Bytes::new(6 * MIB), at(2));
    budget.close(incomplete);
    let after = budget.grow_answer(served, Bytes::new(6 * MIB), at(3));

    // Assert: one is closed at a time.
    assert_eq!((decision.grant, decision.evicted), (Grant::Wait, Some(incomplete)));
    assert_eq!((again.grant, again.evicted), (Grant::Wait, None));
    assert_eq!(after.grant, Grant::Granted);
}

/// Guards against a caller that does not read its answer and costs its neighbours theirs; one that reads
/// slowly keeps its connection.
#[test]
fn an_unread_answer_gives_way_and_one_that_is_read_slowly_does_not() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    let unread = open(&mut budget, at(0));
    let slow = open(&mut budget, at(0));
    let next = open(&mut budget, at(0));
    for id in [unread, slow] {
        budget.complete(id);
        budget.grow_answer(id, Bytes::new(4 * MIB), at(0));
        budget.block_answer(id, at(0));
    }
    budget.unblock_answer(slow);
    budget.block_answer(slow, at(2_000));

    // Act
    let early = budget.grow_answer(next, Bytes::new(MIB), at(1_000));
    let late = budget.grow_answer(next, Bytes::new(MIB), at(2_500));

    // Assert
    assert_eq!((early.grant, early.evicted), (Grant::Wait, None));
    assert_eq!((late.grant, late.evicted), (Grant::Wait, Some(unread)));
}

/// Guards against one organisation that takes the room of all others.
#[test]
fn an_organisation_gets_its_share_only() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    let id = open_with(&mut budget, 3 * MIB, at(0));
    budget.set_organisation(id, organisation("large"));
    let other = open_with(&mut budget, 64 << 10, at(0));
    budget.set_organisation(other, organisation("small"));

    // Act
    let refused = budget.grow_request(id, Bytes::new(1), at(1)).grant;
    let granted = budget.grow_request(other, Bytes::new(1), at(1)).grant;

    // Assert
    assert_eq!(refused, Grant::Refused(Shortage::OrganisationShare));
    assert_eq!(granted, Grant::Granted);
}

/// Guards against connections without a request that keep out callers which would complete theirs.
#[test]
fn a_new_connection_displaces_the_one_without_progress_for_longest() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    let oldest = open(&mut budget, at(0));
    open(&mut budget, at(1));
    open(&mut budget, at(2));

    // Act
    let (id, evicted) = budget.open(at(3));

    // Assert
    assert!(id.is_some());
    assert_eq!(evicted, Some(oldest));
}

/// Guards against requests that are served and lose their connections to new ones.
#[test]
fn a_new_connection_is_refused_if_all_others_are_served() {
    // Arrange
    let mut budget = CallerBudget::new(limits());
    for _ in 0..4 {
        let id = open(&mut budget, at(0));
        budget.complete(id);
    }

    // Act and assert
    assert_eq!(budget.open(at(60_000)), (None, None));
}

#[derive(Debug, Clone)]
enum Step {
    Open,
    Begin(usize),
    Body(usize),
    Organisation(usize, bool),
    GrowRequest(usize, u64),
    Received(usize, u64),
    Complete(usize),
    GrowAnswer(usize, u64),
    ShrinkAnswer(usize, u64),
    Block(usize),
    Unblock(usize),
    Finish(usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..8_usize;
    let bytes = 0..3 * MIB;
    prop_oneof![
        Just(Step::Open),
        id.clone().prop_map(Step::Begin),
        id.clone().prop_map(Step::Body),
        (id.clone(), any::<bool>()).prop_map(|(id, is_first)| Step::Organisation(id, is_first)),
        (id.clone(), bytes.clone()).prop_map(|(id, bytes)| Step::GrowRequest(id, bytes)),
        (id.clone(), bytes.clone()).prop_map(|(id, bytes)| Step::Received(id, bytes)),
        id.clone().prop_map(Step::Complete),
        (id.clone(), bytes.clone()).prop_map(|(id, bytes)| Step::GrowAnswer(id, bytes)),
        (id.clone(), bytes).prop_map(|(id, bytes)| Step::ShrinkAnswer(id, bytes)),
        id.clone().prop_map(Step::Block),
        id.clone().prop_map(Step::Unblock),
        id.clone().prop_map(Step::Finish),
        id.prop_map(Step::Close),
    ]
}

fn apply(budget: &mut CallerBudget, step: Step, now: Instant) {
    let id = |number: usize| ConnectionId::new(number as u64);
    match step {
        Step::Open => {
            budget.open(now);
        }
        Step::Begin(number) => budget.begin_request(id(number), now),
        Step::Body(number) => budget.begin_body(id(number), Bytes::new(LARGEST_BYTES)),
        Step::Organisation(number, is_first) => {
            let name = if is_first { "first" } else { "second" };
            budget.set_organisation(id(number), organisation(name));
        }
        Step::GrowRequest(number, bytes) => {
            budget.grow_request(id(number), Bytes::new(bytes), now);
        }
        Step::Received(number, bytes) => {
            budget.record_received(id(number), Bytes::new(bytes), now);
        }
        Step::Complete(number) => budget.complete(id(number)),
        Step::GrowAnswer(number, bytes) => {
            budget.grow_answer(id(number), Bytes::new(bytes), now);
        }
        Step::ShrinkAnswer(number, bytes) => budget.shrink_answer(id(number), Bytes::new(bytes)),
        Step::Block(number) => budget.block_answer(id(number), now),
        Step::Unblock(number) => budget.unblock_answer(id(number)),
        Step::Finish(number) => budget.finish(id(number), now),
        Step::Close(number) => budget.close(id(number)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against bytes or connections that stay reserved after their connections have closed, and
    /// against limits that are exceeded on the way.
    #[test]
    fn reserved_bytes_return_to_zero(steps in prop::collection::vec(step(), 0..120)) {
        // Arrange
        let limits = limits();
        let mut budget = CallerBudget::new(limits);

        // Act
        for (number, step) in steps.into_iter().enumerate() {
            apply(&mut budget, step, at(number as u64 * 150));
            let in_use = budget.in_use();
            let requests = in_use.incomplete + in_use.complete;
            prop_assert!(in_use.incomplete <= limits.incomplete);
            prop_assert!(requests <= limits.requests);
            prop_assert!(in_use.answers <= limits.answers);
            prop_assert!(requests + in_use.answers <= limits.total);
            prop_assert!(in_use.connections <= limits.connections + 1);
        }
        for number in 0..200 {
            budget.close(ConnectionId::new(number));
        }

        // Assert
        prop_assert_eq!(budget.in_use(), BudgetUse::default());
    }
}
