//! Tests of the call budget, backoff, outages, lost answers and leases.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yuccapass_decisions::platform_budget::settle_write::{
    ReadBackResult, SettleStep, Settled, WriteResult, Writing,
};
use yuccapass_decisions::platform_budget::{
    Backoff, CallBudget, CallDecision, CallKind, CallPurpose, CallRank, FleetRates, LeaseHolder,
    LeaseStep, LeaseTerms, NewestRevision, OutageDecision, OutageGate, RequestTime, Restoration,
};
use yuccapass_types::{Deadline, FencingNumber, Instant};

const WRITES_PER_S: usize = 300;

fn seeded(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases,
        ..ProptestConfig::default()
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn random() -> StdRng {
    StdRng::seed_from_u64(5)
}

/// Makes every node write whenever its budget allows, and returns the times of all writes.
fn greedy_writes(nodes: u32, step_ms: u64, duration_ms: u64) -> Vec<u64> {
    let budget = CallBudget::new(FleetRates::default(), nodes, at(0));
    let mut budgets = vec![budget; nodes as usize];
    let mut writes = Vec::new();
    for now_ms in (0..duration_ms).step_by(step_ms as usize) {
        for budget in &mut budgets {
            loop {
                let ticket = budget.enqueue(CallKind::Write, CallRank::Refresh, Deadline::NEVER);
                if budget.poll(ticket, at(now_ms)) != CallDecision::Proceed {
                    budget.cancel(ticket);
                    break;
                }
                writes.push(now_ms);
            }
        }
    }
    writes
}

/// Naive reference: the largest number of events in any window of `window_ms`.
fn max_in_window(times: &[u64], window_ms: u64) -> usize {
    let in_window = |start: u64| {
        times.iter().filter(|&&time| time >= start && time < start + window_ms).count()
    };
    let mut starts = times.to_vec();
    starts.dedup();
    starts.into_iter().map(in_window).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(seeded(21, 12))]

    /// Guards against a fleet that exceeds the platform's rate although each node keeps to its share.
    #[test]
    fn fleet_stays_inside_the_rate(nodes in prop::sample::select(vec![1u32, 8, 85, 340]),
                                   step_ms in 5u64..400) {
        // Arrange
        let window_ms = (2_000 * u64::from(nodes)).div_ceil(WRITES_PER_S as u64).max(500);

        // Act
        let writes = greedy_writes(nodes, step_ms, 3 * window_ms);

        // Assert
        let max_writes = max_in_window(&writes, window_ms);
        prop_assert!(
            max_writes as u64 * 1_000 <= WRITES_PER_S as u64 * window_ms, "{} writes", max_writes
        );
    }

    /// Guards against a delay above the limit and against an overflow after many failures.
    #[test]
    fn backoff_stays_below_its_limit(base_ms in 0u64..1_000, limit_ms in 0u64..10_000) {
        // Arrange
        let mut backoff = Backoff::new(base_ms, limit_ms);
        let mut random = random();

        // Act
        let delays: Vec<u64> = (0..100).map(|_| backoff.next_delay_ms(&mut random)).collect();

        // Assert
        prop_assert!(delays.iter().all(|&delay| delay <= limit_ms));
    }

    /// Guards against a write that is sent again without a read after a lost answer, and against a
    /// wrong outcome, when any message may be lost.
    #[test]
    fn lost_answers_are_settled_correctly(losses in prop::collection::vec(0u8..4, 1..30)) {
        // Arrange
        let mut random = random();
        let (mut effects, mut unread_unknown, mut now) = (0u32, false, at(0));
        let mut losses = losses.into_iter().cycle();
        let mut next = SettleStep::Write(now, Writing::new(Deadline::after_ms(now, 5_000)));

        // Act
        let settled = loop {
            next = match next {
                SettleStep::Done(settled) => break settled,
                SettleStep::Write(instant, writing) => {
                    prop_assert!(!unread_unknown, "a write without a read after a lost answer");
                    now = now.max(instant);
                    let loss = losses.next().unwrap();
                    // 0: answered, 1: answer lost, 2: write lost after sending, 3: not sent.
                    let conflicts = effects > 0;
                    effects += u32::from(loss < 2 && !conflicts);
                    unread_unknown = loss == 1 || loss == 2;
                    let result = match loss {
                        0 if conflicts => WriteResult::Conflict,
                        0 => WriteResult::Committed,
                        3 => WriteResult::NotDone,
                        _ => WriteResult::Unknown,
                    };
                    now = Deadline::after_ms(now, 10).instant();
                    writing.record_result(result, now, &mut random)
                }
                SettleStep::ReadBack(instant, reading) => {
                    now = Deadline::after_ms(now.max(instant), 10).instant();
                    let result = match (losses.next().unwrap(), effects) {
                        (3, _) => ReadBackResult::Failed,
                        (_, 0) => ReadBackResult::Absent,
                        _ => ReadBackResult::Found,
                    };
                    unread_unknown &= result == ReadBackResult::Failed;
                    reading.record_result(result, now, &mut random)
                }
            };
        };

        // Assert
        prop_assert!(effects <= 1);
        match settled {
            Settled::Committed => prop_assert_eq!(effects, 1),
            Settled::Conflict | Settled::NotDone => prop_assert_eq!(effects, 0),
            Settled::Unknown => {}
        }
    }
}

/// Guards against refreshes that delay operators' commands and lease renewals.
#[test]
fn calls_go_in_the_order_of_their_ranks() {
    // Arrange
    let mut budget = CallBudget::new(FleetRates::default(), 340, at(0));
    let ranks = [CallRank::Refresh, CallRank::Lease, CallRank::Command, CallRank::Refresh];
    let tickets = ranks.map(|rank| budget.enqueue(CallKind::Write, rank, Deadline::NEVER));

    // Act
    let mut order = Vec::new();
    for now_ms in 0..20_000 {
        for (rank, &ticket) in ranks.iter().zip(&tickets) {
            if budget.poll(ticket, at(now_ms)) == CallDecision::Proceed {
                order.push(*rank);
            }
        }
    }

    // Assert
    let expected = [CallRank::Command, CallRank::Lease, CallRank::Refresh, CallRank::Refresh];
    assert_eq!(order, expected);
}

/// Guards against watches that use up the read share of a node, so that it can no longer read.
#[test]
fn waiting_watches_count_and_leave_room_for_reads() {
    // Arrange
    let mut budget = CallBudget::new(FleetRates::default(), 340, at(0));

    // Act
    let accepted = (0..5).filter(|_| budget.start_watch(at(0))).count();
    let mut reads = 0;
    for now_ms in 0..60_000 {
        let ticket = budget.enqueue(CallKind::Read, CallRank::Refresh, Deadline::NEVER);
        match budget.poll(ticket, at(now_ms)) {
            CallDecision::Proceed => reads += 1,
            _ => budget.cancel(ticket),
        }
    }

    // Assert
    assert!((1..5).contains(&accepted));
    // The share is 2,000 / 2 / 340 reads a second, of which each watch takes one.
    let share_per_minute = 2_000 * 60 / 2 / 340;
    assert!(reads > 0 && reads <= share_per_minute - 60 * accepted as u64 + 2, "{reads} reads");
}

/// Guards against all nodes calling in the same second when an outage ends.
#[test]
fn nodes_return_from_an_outage_spread_over_time() {
    // Arrange
    const NODES: u32 = 340;
    const OUTAGE_MS: u64 = 60_000;
    let mut random = random();
    let mut gates = vec![OutageGate::new(NODES); NODES as usize];
    gates.iter_mut().for_each(|gate| gate.record_failure(at(0), &mut random));
    let (mut probes, mut returns) = (Vec::new(), Vec::new());
    let mut has_returned = vec![false; NODES as usize];

    // Act
    for now_ms in (0..OUTAGE_MS + 30_000).step_by(10) {
        for (gate, has_returned) in gates.iter_mut().zip(&mut has_returned) {
            let was_down = gate.is_down();
            if *has_returned
                || gate.admit(CallRank::Refresh, at(now_ms), &mut random) != OutageDecision::Proceed
            {
                continue;
            }
            match now_ms < OUTAGE_MS {
                true => gate.record_failure(at(now_ms), &mut random),
                false => gate.record_success(at(now_ms), &mut random),
            }
            if was_down {
                probes.push(now_ms);
            } else {
                *has_returned = true;
                returns.push(now_ms);
            }
        }
    }

    // Assert
    assert!(has_returned.iter().all(|&has_returned| has_returned));
    // A node that returns makes about four calls, and half the read rate is 1,000 a second.
    assert!(max_in_window(&returns, 1_000) <= 1_000 / 4);
    // A probe may be a write, so the write rate is the bound. All nodes failed at the same time, so
    // their first probes are close together and are left out.
    probes.retain(|&probe| probe > 10_000);
    assert!(max_in_window(&probes, 1_000) <= WRITES_PER_S);
}

/// Guards against nodes whose probes time out together and are then all repeated together.
#[test]
fn timed_out_probes_are_not_repeated_together() {
    // Arrange
    let mut random = random();
    let mut gates = vec![OutageGate::new(340); 340];
    gates.iter_mut().for_each(|gate| gate.record_failure(at(0), &mut random));

    // Act: no result is recorded for any probe.
    let mut probes = Vec::new();
    for now_ms in (1_000..30_000).step_by(10) {
        for gate in &mut gates {
            if gate.admit(CallRank::Refresh, at(now_ms), &mut random) == OutageDecision::Proceed {
                probes.push(now_ms);
            }
        }
    }

    // Assert
    probes.retain(|&probe| probe > 2_000);
    assert!(max_in_window(&probes, 1_000) <= WRITES_PER_S);
}

/// Guards against a refresh that waits seconds because one call failed.
#[test]
fn short_failure_delays_refreshes_only_shortly() {
    // Arrange
    let mut random = random();
    let mut gate = OutageGate::new(340);
    gate.record_failure(at(1_000), &mut random);

    // Act
    gate.record_success(at(1_050), &mut random);

    // Assert
    assert_eq!(gate.admit(CallRank::Refresh, at(1_100), &mut random), OutageDecision::Proceed);
}

/// Guards against logs that cannot tell a node that keeps away from the platform from one whose calls fail.
#[test]
fn an_outage_has_its_beginning_and_its_failures() {
    // Arrange
    let mut random = random();
    let mut gate = OutageGate::new(127);

    // Act
    let before = gate.outage();
    gate.record_failure(at(1_000), &mut random);
    gate.record_failure(at(1_500), &mut random);
    let outage = gate.outage();
    gate.record_success(at(2_000), &mut random);

    // Assert
    assert_eq!(before, None);
    assert!(outage.is_some_and(|outage| (outage.since, outage.failures) == (at(1_000), 2)));
    assert_eq!(gate.outage(), None);
}

/// Guards against labels of metrics that two purposes share, or that cannot be read back.
#[test]
fn names_of_purposes_can_be_parsed() {
    for purpose in CallPurpose::ALL {
        assert_eq!(purpose.to_string().parse(), Ok(purpose));
    }
    assert!("".parse::<CallPurpose>().is_err());
}

/// Guards against reports that take the probes of keys and configuration: while the platform is down they
/// wait, also when a probe is due.
#[test]
fn reports_are_not_probes() {
    // Arrange
    let mut random = random();
    let mut gate = OutageGate::new(127);
    gate.record_failure(at(1_000), &mut random);

    // Act
    let report = gate.admit(CallRank::Report, at(9_000), &mut random);
    let watch = gate.admit(CallRank::Watch, at(9_000), &mut random);

    // Assert
    assert!(matches!(report, OutageDecision::WaitUntil(until) if until > at(9_000)), "{report:?}");
    assert_eq!(watch, OutageDecision::Proceed);
}

/// Guards against a holder that acts after a pause in which its lease expired.
#[test]
fn holder_loses_the_lease_in_a_long_pause() {
    // Arrange
    let mut holder = LeaseHolder::new(LeaseTerms::new(10_000));
    holder.acquired(RequestTime::at(at(1_000)), 10_000, FencingNumber::new(4));
    assert_eq!(holder.permit(at(1_500)).unwrap().fencing, FencingNumber::new(4));

    // Act
    let after_pause = at(60_000);
    holder.renewed(RequestTime::at(at(1_600)), 10_000, after_pause);

    // Assert
    assert_eq!(holder.permit(after_pause), None);
    assert_eq!(holder.next_step(after_pause), LeaseStep::Acquire);
}

/// Guards against a deadline that is counted from the answer or exceeds the granted lifetime.
#[test]
fn deadline_counts_from_before_the_call_and_is_shorter_than_the_lease() {
    // Arrange
    let mut holder = LeaseHolder::new(LeaseTerms::new(10_000));

    // Act
    holder.acquired(RequestTime::at(at(1_000)), 6_000, FencingNumber::new(1));

    // Assert
    let deadline = holder.permit(at(1_000)).unwrap().deadline;
    assert!(deadline.instant() < at(1_000 + 6_000));
    assert!(matches!(holder.next_step(at(1_000)), LeaseStep::WaitUntil(_)));
    assert_eq!(holder.next_step(at(4_000)), LeaseStep::Renew);
}

/// Guards against a restoration that goes undetected, and against answers that overtake each other
/// and are mistaken for one.
#[test]
fn only_a_revision_that_goes_back_is_a_restoration() {
    // Arrange
    let mut newest = NewestRevision::default();
    let (early, late) = (newest.at_call(), newest.at_call());
    assert!(!newest.record_answer(late, 0, 10));
    assert!(!newest.record_answer(early, 0, 9));
    let after = [newest.at_call(), newest.at_call()];

    // Act
    let detected = after.map(|at_call| newest.record_answer(at_call, 0, 4));

    // Assert
    assert_eq!(detected, [true, true]);
    assert_eq!(newest.restorations(), 1);
    let at_call = newest.at_call();
    assert!(!newest.record_answer(at_call, 0, 4));
}

/// Guards against a holder that loses its lease because the platform grants a longer one than was
/// requested, and renews it only after it has ceased to rely on it.
#[test]
fn lease_is_renewed_before_the_permit_ends() {
    // Arrange
    let mut holder = LeaseHolder::new(LeaseTerms::new(2_000).margin_ms(500));

    // Act
    holder.acquired(RequestTime::at(Instant::from_ms(0)), 10_000, FencingNumber::new(1));

    // Assert
    let permit = holder.permit(Instant::from_ms(100)).unwrap();
    let LeaseStep::WaitUntil(renewal) = holder.next_step(Instant::from_ms(100)) else {
        panic!("the lease is not held")
    };
    assert!(renewal < permit.deadline.instant(), "{renewal:?}");
}

/// Guards against a restoration that goes undetected because the revision has caught up already, and
/// against one that is counted again by each answer of the new era.
#[test]
fn each_rise_of_the_era_is_one_restoration() {
    // Arrange
    let mut newest = NewestRevision::default();
    let at_first = newest.at_call();
    assert!(!newest.record_answer(at_first, 3, 100));
    let at_calls = [newest.at_call(), newest.at_call()];

    // Act: the era is named by an answer without a revision first, and the revision has caught up.
    newest.record_era(4);
    let detected = [
        newest.record_answer(at_calls[0], 4, 120),
        newest.record_answer(at_calls[1], 4, 90),
        newest.record_answer(at_calls[1], 3, 101),
    ];

    // Assert: only the answer of the older era is not used.
    assert_eq!(detected, [false, false, true]);
    assert_eq!((newest.era(), newest.restorations()), (4, 1));
}

/// Guards against the first answer of a node that starts after a restoration, which is none to it, and
/// against a log that tells of one restoration several times or without its extent.
#[test]
fn the_extent_of_a_restoration_is_told_once() {
    // Arrange
    let mut newest = NewestRevision::default();
    let at_call = newest.at_call();
    assert!(!newest.record_answer(at_call, 3, 100));
    assert_eq!(newest.take_restoration(), None);

    // Act: the store goes back twice before a revision is seen.
    newest.record_era(4);
    newest.record_era(5);
    let before_revision = newest.take_restoration();
    let at_call = newest.at_call();
    newest.record_answer(at_call, 5, 70);
    let first = newest.take_restoration();
    newest.record_answer(at_call, 5, 71);

    // Assert
    let expected = Restoration { old_era: 3, new_era: 5, revisions_back: 30 };
    assert_eq!((before_revision, first), (None, Some(expected)));
    assert_eq!((newest.take_restoration(), newest.restorations()), (None, 2));
}
