//! Tests of the gateway's waiting room.

use yuccapass_decisions::gateway::waiting_room::{
    Arrival, Assumptions, EndpointRoom, ExpectedRun, MemoryPerRequest, ObservedRunTimes,
    OthersLoad, OutputBounds, OutputEstimate, RefusalReason, RunTimeEstimate, Ticket,
    UrgentReserve, WaitingLimits, WaitingRequest, WaitingRoom,
};
use yuccapass_decisions::gateway::{EngineSpec, KnownLoad, LoadReport, Priority, RequestWork};
use yuccapass_types::{Bytes, Deadline, Instant, ResultCode, Tokens};

const NOW: Instant = Instant::from_ms(10_000);
const ENGINE: EngineSpec = EngineSpec { slots: 16, capacity: Tokens::new(80_000) };

fn after_ms(ms: u64) -> Deadline {
    Deadline::after_ms(NOW, ms)
}

fn work(tokens: u64) -> RequestWork {
    RequestWork { prompt: Tokens::new(tokens), ..RequestWork::default() }
}

fn assumptions(others: f64) -> Assumptions {
    Assumptions { others, memory_per_request: 1_000.0, urgent_reserve: 0.1 }
}

fn request(organisation: &str, priority: u8, tokens: u64) -> WaitingRequest {
    WaitingRequest {
        organisation: Some(organisation.parse().unwrap()),
        route: "r".parse().unwrap(),
        caller_hash: 0,
        priority: Priority::new(priority),
        work: work(tokens),
        body: Bytes::new(100),
        target_start: after_ms(1_000),
        latest_start: after_ms(5_000),
        deadline: after_ms(10_000),
    }
}

fn room() -> WaitingRoom {
    WaitingRoom::new(WaitingLimits::default(), NOW)
}

/// Lets a request arrive while no endpoint has room.
fn wait(room: &mut WaitingRoom, request: WaitingRequest) -> Ticket {
    match room.arrive(request, false, 0.5, NOW) {
        Arrival::Wait { ticket, .. } => ticket,
        other => panic!("the request should wait: {other:?}"),
    }
}

/// Starts all waiting requests and returns their tickets in this order.
fn start_all(room: &mut WaitingRoom) -> Vec<Ticket> {
    let mut started = Vec::new();
    loop {
        room.room_changed();
        let Some(turn) = room.next_turn(NOW) else { return started };
        room.start(turn.ticket, NOW);
        started.push(turn.ticket);
    }
}

#[test]
fn an_output_is_not_expected_to_exceed_what_its_caller_allows() {
    let mut estimate = OutputEstimate::default();
    (0..50).for_each(|_| estimate.record(Tokens::new(200)));
    let bounds = OutputBounds { max: Some(Tokens::new(120)), hint: Some(Tokens::new(80)) };

    let expected = estimate.expected(bounds);

    assert_eq!(expected, Tokens::new(120));
}

#[test]
fn a_hint_that_is_far_too_small_does_not_lower_the_expected_output() {
    let mut estimate = OutputEstimate::default();
    (0..50).for_each(|_| estimate.record(Tokens::new(200)));

    let expected = estimate.expected(OutputBounds { max: None, hint: Some(Tokens::new(1)) });

    assert!(expected >= Tokens::new(200), "{expected}");
}

#[test]
fn long_prompts_count_by_the_time_for_which_they_run() {
    // Nine short requests for each long one, which runs nine times as long: the mean of the requests
    // would be 1,900 tokens, though half of the running ones are long.
    let mut memory = MemoryPerRequest::default();
    for _ in 0..100 {
        (0..9).for_each(|_| memory.record(Tokens::new(1_000), 100));
        memory.record(Tokens::new(10_000), 900);
    }

    let mean = memory.mean_tokens().unwrap();

    assert!((4_500.0..6_500.0).contains(&mean), "{mean}");
}

#[test]
fn an_endpoint_without_memory_has_no_room_although_slots_are_free() {
    let load =
        KnownLoad { own_requests: 6, own_tokens: Tokens::new(72_000), ..KnownLoad::default() };

    let room = EndpointRoom::new(ENGINE, load, &assumptions(0.0));

    assert!(!room.fits(&work(12_000), true));
    assert!(room.fits(&work(7_000), true));
    assert!(room.fits(&work(1_000), false), "a short prompt should not wait for memory");
}

#[test]
fn urgent_requests_find_memory_that_less_urgent_ones_leave() {
    let load =
        KnownLoad { own_requests: 6, own_tokens: Tokens::new(72_000), ..KnownLoad::default() };

    let room = EndpointRoom::new(ENGINE, load, &assumptions(0.0));

    assert!(!room.fits(&work(6_000), false));
    assert!(room.fits(&work(6_000), true));
}

#[test]
fn less_urgent_requests_leave_more_memory_while_urgent_ones_are_late() {
    // Long prompts that are being read delay an urgent request, although it fits into the memory.
    let mut reserve = UrgentReserve::default();
    let before = reserve.share();
    (0..5).for_each(|_| reserve.record_first_event(700, 500, true));
    let late = reserve.share();
    (0..200).for_each(|_| reserve.record_first_event(100, 500, true));

    assert!(late > before);
    assert_eq!(reserve.share(), before);
}

#[test]
fn urgent_requests_that_are_late_at_slow_endpoints_reserve_no_memory() {
    let mut reserve = UrgentReserve::default();
    let before = reserve.share();

    (0..5).for_each(|_| reserve.record_first_event(700, 500, false));

    assert_eq!(reserve.share(), before);
}

#[test]
fn an_endpoint_that_was_not_heard_of_counts_with_the_mean_load_of_the_others() {
    // Without that, each node takes the endpoints that it does not use for empty, and all nodes fill them.
    let mut others = OthersLoad::default();
    let report = LoadReport { running: 16, waiting: 16, slots: 16, slowdown: None };
    (0..100).for_each(|_| others.record(report, 0, NOW));

    let room = EndpointRoom::new(ENGINE, KnownLoad::default(), &assumptions(others.mean(NOW)));

    assert!(!room.fits(&work(1_000), true));
}

#[test]
fn a_node_that_heard_of_no_endpoint_for_long_sends_again() {
    // It hears of the load only from answers, so it must not wait for them without end.
    let mut others = OthersLoad::default();
    let report = LoadReport { running: 16, waiting: 16, slots: 16, slowdown: None };
    (0..100).for_each(|_| others.record(report, 0, NOW));
    let later = after_ms(3_000).instant();

    let room = EndpointRoom::new(ENGINE, KnownLoad::default(), &assumptions(others.mean(later)));

    assert!(room.fits(&work(1_000), true));
}

#[test]
fn a_request_larger_than_the_memory_does_not_wait_for_ever() {
    let room = EndpointRoom::new(ENGINE, KnownLoad::default(), &assumptions(0.0));

    assert!(room.fits(&work(200_000), false));
}

#[test]
fn a_request_starts_at_once_if_an_endpoint_has_room() {
    let arrival = room().arrive(request("a", 2, 12_000), true, 0.5, NOW);

    assert_eq!(arrival, Arrival::Start);
}

#[test]
fn urgent_requests_start_before_less_urgent_ones() {
    let mut room = room();
    let low = wait(&mut room, request("a", 2, 1_000));
    let urgent = wait(&mut room, request("b", 0, 1_000));

    assert_eq!(start_all(&mut room), [urgent, low]);
}

#[test]
fn the_request_with_the_least_time_left_starts_first() {
    let mut room = room();
    let later = wait(&mut room, request("a", 1, 1_000));
    let sooner =
        wait(&mut room, WaitingRequest { target_start: after_ms(100), ..request("a", 1, 1_000) });

    assert_eq!(start_all(&mut room), [sooner, later]);
}

#[test]
fn a_request_that_can_still_meet_its_target_starts_before_one_that_is_late_anyway() {
    let mut room = room();
    let late =
        wait(&mut room, WaitingRequest { target_start: after_ms(0), ..request("a", 1, 1_000) });
    let in_time = wait(&mut room, request("a", 1, 1_000));

    assert_eq!(start_all(&mut room), [in_time, late]);
}

#[test]
fn an_organisation_with_many_requests_does_not_delay_the_others() {
    let mut room = room();
    let many: Vec<Ticket> = (0..5).map(|_| wait(&mut room, request("many", 1, 1_000))).collect();
    let few = wait(&mut room, request("few", 1, 1_000));

    let started = start_all(&mut room);

    assert_eq!(started[..2], [many[0], few]);
}

#[test]
fn requests_that_started_at_once_count_for_their_organisation() {
    let mut room = room();
    (0..5).for_each(|_| {
        room.arrive(request("many", 1, 1_000), true, 0.5, NOW);
    });
    let many = wait(&mut room, request("many", 1, 1_000));
    let few = wait(&mut room, request("few", 1, 1_000));

    assert_eq!(start_all(&mut room), [few, many]);
}

#[test]
fn a_request_without_room_lets_smaller_ones_pass() {
    let mut room = room();
    wait(&mut room, request("a", 0, 70_000));

    let arrival = room.arrive(request("b", 2, 100), true, 0.5, NOW);

    assert_eq!(arrival, Arrival::Start);
}

#[test]
fn a_large_request_is_not_passed_over_for_ever() {
    let mut room = room();
    let large = wait(&mut room, request("a", 1, 70_000));
    let passed = (0..1_000)
        .take_while(|_| room.arrive(request("b", 1, 100), true, 0.5, NOW) == Arrival::Start)
        .count();

    room.room_changed();
    let turn = room.next_turn(NOW).expect("a request waits");

    assert!(passed < 50, "{passed}");
    assert_eq!(turn.ticket, large);
    assert!(turn.may_use_reserve);
}

#[test]
fn an_overdue_request_does_not_hold_back_more_urgent_ones() {
    let mut room = room();
    wait(&mut room, request("a", 2, 70_000));
    for _ in 0..100 {
        room.arrive(request("b", 2, 100), true, 0.5, NOW);
    }
    room.room_changed();
    while let Some(turn) = room.next_turn(NOW) {
        room.no_room(turn.ticket);
    }

    let arrival = room.arrive(request("b", 0, 100), true, 0.5, NOW);

    assert_eq!(arrival, Arrival::Start);
}

#[test]
fn one_request_at_a_time_has_a_turn() {
    // Two holders would see the same room at an endpoint and both take it.
    let mut room = room();
    wait(&mut room, request("a", 1, 1_000));
    wait(&mut room, request("b", 1, 1_000));
    room.room_changed();
    let first = room.next_turn(NOW).expect("a request waits");

    assert_eq!(room.next_turn(NOW), None);

    room.no_room(first.ticket);
    assert!(room.next_turn(NOW).is_some_and(|second| second.ticket != first.ticket));
}

#[test]
fn requests_behind_many_without_room_get_a_turn() {
    // A round has fewer turns than there are large requests before the small one.
    let mut room = room();
    (0..20).for_each(|_| {
        wait(&mut room, request("a", 1, 70_000));
    });
    let small = wait(&mut room, request("b", 2, 100));

    let mut rounds = 0..20;
    let had_turn = rounds.any(|_| {
        room.room_changed();
        let turns = std::iter::from_fn(|| {
            let turn = room.next_turn(NOW)?;
            room.no_room(turn.ticket);
            Some(turn.ticket)
        });
        turns.collect::<Vec<_>>().contains(&small)
    });

    assert!(had_turn);
}

#[test]
fn the_turn_of_a_caller_that_has_gone_passes_on() {
    // A turn that is never returned would keep all others waiting until they expire.
    let mut room = room();
    let gone = wait(&mut room, request("a", 1, 1_000));
    let other = wait(&mut room, request("b", 1, 1_000));
    room.room_changed();
    assert_eq!(room.next_turn(NOW).map(|turn| turn.ticket), Some(gone));

    room.leave(gone);

    assert_eq!(room.next_turn(NOW).map(|turn| turn.ticket), Some(other));
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_on_arrival() {
    let mut room = room();
    // This node starts about 500 tokens a second.
    room.arrive(request("a", 0, 1_000), true, 0.5, NOW);
    (0..4).for_each(|_| {
        wait(&mut room, request("a", 0, 1_000));
    });

    let arrival = room.arrive(request("b", 1, 10_000), false, 0.5, NOW);

    let Arrival::Refuse(refusal) = arrival else { panic!("{arrival:?}") };
    assert_eq!(refusal.reason, RefusalReason::ExpectedLate);
    assert_eq!(refusal.code(), ResultCode::DeadlineUnreachable);
}

#[test]
fn a_request_is_not_refused_while_an_endpoint_has_room() {
    let mut room = room();
    let expired = WaitingRequest { latest_start: after_ms(0), ..request("a", 1, 1_000) };

    assert_eq!(room.arrive(expired, true, 0.5, NOW), Arrival::Start);
}

#[test]
fn callers_are_told_no_longer_time_than_they_would_wait() {
    // Callers ignore a time of more than a third of what they have left, and repeat at once.
    let mut room = room();
    room.arrive(request("a", 1, 1), true, 0.5, NOW);
    let ticket = wait(&mut room, request("a", 1, 1));
    let later = after_ms(4_000).instant();

    let refusal = room.expire(ticket, 1.0, later).expect("it waits");

    assert_eq!(refusal.reason, RefusalReason::Expired);
    assert!(refusal.retry_after_ms <= 2_000, "{}", refusal.retry_after_ms);
}

#[test]
fn refused_callers_are_told_different_times() {
    let mut room = room();
    let tickets = [wait(&mut room, request("a", 1, 1)), wait(&mut room, request("a", 1, 1))];

    let times = [(tickets[0], 0.0), (tickets[1], 1.0)]
        .map(|(ticket, random)| room.expire(ticket, random, NOW).unwrap().retry_after_ms);

    assert!(times[0] < times[1], "{times:?}");
}

#[test]
fn a_caller_that_comes_back_is_not_put_at_the_end_again() {
    let mut room = room();
    let refused = WaitingRequest { caller_hash: 7, ..request("a", 1, 1_000) };
    let first = wait(&mut room, refused.clone());
    room.expire(first, 0.5, NOW);
    let other =
        wait(&mut room, WaitingRequest { target_start: after_ms(10), ..request("a", 1, 1_000) });
    let returned = wait(&mut room, refused);

    assert_eq!(start_all(&mut room), [returned, other]);
}

#[test]
fn a_full_room_keeps_those_that_rank_first() {
    let limits = WaitingLimits { max_requests: 2, ..WaitingLimits::default() };
    let mut room = WaitingRoom::new(limits, NOW);
    wait(&mut room, request("a", 1, 1_000));
    let last = wait(&mut room, request("b", 2, 1_000));

    let urgent = room.arrive(request("c", 0, 1_000), false, 0.5, NOW);
    let least = room.arrive(request("d", 3, 1_000), false, 0.5, NOW);

    let Arrival::Wait { displaced, .. } = urgent else { panic!("{urgent:?}") };
    assert_eq!(displaced.iter().map(|victim| victim.ticket).collect::<Vec<_>>(), [last]);
    assert!(
        matches!(&least, Arrival::Refuse(refusal) if refusal.reason == RefusalReason::Full),
        "{least:?}"
    );
    assert_eq!(room.len(), 2);
}

#[test]
fn bodies_of_waiting_requests_are_bounded() {
    let limits = WaitingLimits { max_bytes: Bytes::new(150), ..WaitingLimits::default() };
    let mut room = WaitingRoom::new(limits, NOW);
    wait(&mut room, request("a", 1, 1_000));

    let arrival = room.arrive(request("b", 1, 1_000), false, 0.5, NOW);

    assert!(matches!(arrival, Arrival::Refuse(_)), "{arrival:?}");
}

#[test]
fn expected_run_times_follow_what_was_observed() {
    let mut times = ObservedRunTimes::default();
    let route = "r".parse().unwrap();
    (0..50).for_each(|_| {
        times.record_first_event(&route, 100);
        times.record_answer(&route, 400);
    });

    let run = times.expected(&route, &work(1_000));

    assert_eq!((run.first_event_ms, run.answer_ms), (100, 400));
}

#[test]
fn a_refusal_comes_early_enough_to_be_served_elsewhere() {
    let run = ExpectedRun { first_event_ms: 200, answer_ms: 800 };

    let latest = run.latest_start(NOW, 500, false, after_ms(3_000));

    // At that time, 1,200 ms are left; after a third of them, the run fits into the other 800 ms.
    assert_eq!(latest, after_ms(1_800));
}

#[test]
fn a_caller_that_comes_back_late_is_not_refused_while_it_can_be_answered() {
    // It cannot come back once more, so an early refusal would only lose the rest of its time.
    let run = ExpectedRun { first_event_ms: 200, answer_ms: 800 };

    let latest = run.latest_start(NOW, 500, false, after_ms(1_000));

    assert_eq!(latest, after_ms(200));
}

#[test]
fn a_stream_does_not_wait_until_its_caller_abandons_it() {
    let run = ExpectedRun { first_event_ms: 200, answer_ms: 800 };

    let latest = run.latest_start(NOW, 500, true, after_ms(12_000));

    assert_eq!(latest, after_ms(1_700));
}
