//! Tests of the rollout driver: limits, crashes at each step, old drivers, failures and rollbacks.

mod rollout_simulation;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rollout_simulation::{LEASE_MS, Simulation, endpoint, plan, version};
use yuccapass_decisions::rollout::{
    Action, DriverOutcome, OrderResult, Progress, ReplicaOrder, ReplicaReport, ReplicaReports,
    ReplicaState, Role, RolloutState, Step, StopReason, eligible_version,
};
use yuccapass_types::{FencingNumber, Incarnation, Instant};

const NEVER: usize = usize::MAX;

/// Reference: swaps one replica after the other, in order, until too many have failed.
fn reference_versions(fails_to_load: &[bool], max_failures: usize) -> Vec<&'static str> {
    let mut failures = 0;
    let step = |&fails: &bool| {
        if failures > max_failures {
            return "v1";
        }
        failures += usize::from(fails);
        if fails { "v1" } else { "v2" }
    };
    fails_to_load.iter().map(step).collect()
}

fn report(state: ReplicaState) -> ReplicaReport {
    ReplicaReport {
        incarnation: Incarnation::new(1),
        state,
        version: version("v1"),
        adapters: Vec::new(),
        role: Role::Mixed,
        unfinished_requests: 0,
        reported_at: Instant::from_ms(0),
    }
}

/// Runs drivers one after the other. Each but the last is killed at its `kill_at`th action.
fn run_with_crashes(
    simulation: &mut Simulation,
    kill_at: &[usize],
    after_effect: bool,
) -> DriverOutcome {
    let mut fencing = 1;
    for &kill_at in kill_at {
        let mut process = simulation.start_driver(fencing);
        if let Some(outcome) = simulation.run(&mut process, kill_at, after_effect) {
            return outcome;
        }
        // Another driver gets the lease when it has expired.
        simulation.advance_ms(LEASE_MS);
        fencing += 1;
    }
    let mut process = simulation.start_driver(fencing);
    simulation.run(&mut process, NEVER, false).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// Guards against exceeded limits, and against a result that differs from the reference, with
    /// long requests, restarts and crashes of drivers. The simulation checks the limits at each
    /// tick.
    #[test]
    fn result_is_that_of_the_reference(
        replicas in prop::collection::vec(
            (0u64..60_000, prop::option::of(1_000u64..20_000), any::<bool>()), 2..9),
        max_swapping in 1usize..4,
        max_loads in 1usize..3,
        kill_at in prop::collection::vec(0usize..40, 0..4),
        after_effect in any::<bool>(),
    ) {
        // Arrange
        let limits = plan(max_swapping as u32).max_loads(max_loads as u32);
        let mut simulation = Simulation::new(replicas.len(), limits, max_swapping, max_loads);
        for (replica, (busy_until_ms, restart, checks)) in
            simulation.replicas.iter_mut().zip(&replicas)
        {
            replica.busy_until_ms = *busy_until_ms;
            replica.restarts_at_ms = *restart;
            replica.checks_fencing = *checks;
        }

        // Act
        let outcome = run_with_crashes(&mut simulation, &kill_at, after_effect);

        // Assert
        prop_assert_eq!(outcome, DriverOutcome::Finished);
        prop_assert_eq!(simulation.versions(), reference_versions(&vec![false; replicas.len()], 1));
        prop_assert!(simulation.replicas.iter().all(|replica| !replica.leaving));
    }

    /// Guards against a panic on damaged progress.
    #[test]
    fn decoder_does_not_panic_on_arbitrary_or_damaged_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        position in 0usize..1_000,
        byte in any::<u8>(),
    ) {
        // Arrange
        let mut encoded = Progress::new(plan(2), (0..3).map(endpoint)).encode().unwrap();
        let position = position % encoded.len();

        // Act
        encoded[position] = byte;

        // Assert
        let _ = Progress::decode(&bytes);
        let _ = Progress::decode(&encoded);
    }
}

/// Returns whether a driver itself drained each replica before it ordered the replica to load.
fn loads_follow_drains(simulation: &Simulation, driver: FencingNumber) -> bool {
    let own = || simulation.orders.iter().filter(|(_, fencing, ..)| *fencing == driver);
    own().enumerate().all(|(position, (_, _, endpoint, order))| {
        let drains = |(_, _, other, order): &(_, _, _, ReplicaOrder)| {
            other == endpoint && *order == ReplicaOrder::Drain
        };
        !matches!(order, ReplicaOrder::Load(_)) || own().take(position).any(drains)
    })
}

/// Guards against a rollout that another driver cannot continue after a crash at some step.
#[test]
fn another_driver_continues_after_a_crash_at_each_step() {
    for after_effect in [false, true] {
        for kill_at in 0.. {
            // Arrange
            let mut simulation = Simulation::new(3, plan(2), 2, 2);
            let mut first = simulation.start_driver(1);
            let has_ended = simulation.run(&mut first, kill_at, after_effect).is_some();
            simulation.advance_ms(LEASE_MS);

            // Act
            let mut second = simulation.start_driver(2);
            let outcome = simulation.run(&mut second, NEVER, false);

            // Assert
            assert_eq!(outcome, Some(DriverOutcome::Finished), "killed at action {kill_at}");
            assert_eq!(simulation.versions(), ["v2"; 3], "killed at action {kill_at}");
            assert!(loads_follow_drains(&simulation, FencingNumber::new(2)), "at action {kill_at}");
            if has_ended {
                assert!(kill_at > 10, "only {kill_at} actions were tried");
                break;
            }
        }
    }
}

/// Guards against a paused driver that sends orders to replicas which do not check its fencing
/// number, after another driver has rolled back.
#[test]
fn paused_driver_does_not_act_after_its_own_deadline() {
    for pause_at in 0..12 {
        // Arrange: the old driver pauses with actions that it has returned but not carried out.
        let mut simulation = Simulation::new(4, plan(2), 2, 2);
        let mut old = simulation.start_driver(1);
        let mut actions = 0;
        while actions < pause_at || old.pending.is_empty() {
            simulation.prepare(&mut old, true);
            while actions < pause_at && !old.pending.is_empty() {
                simulation.carry_out_next(&mut old);
                actions += 1;
            }
            if old.pending.is_empty() {
                simulation.tick();
            }
        }
        let deadline_ms = old.lease.permit(simulation.now()).unwrap().deadline.instant().as_ms();
        simulation.advance_ms(LEASE_MS);
        let mut new = simulation.start_driver(2);
        let now = simulation.now();
        new.driver.roll_back(now);

        // Act
        let new_outcome = simulation.run(&mut new, NEVER, false);
        while !old.pending.is_empty() {
            simulation.carry_out_next(&mut old);
        }
        let old_outcome = simulation.run(&mut old, NEVER, false);

        // Assert
        assert_eq!(new_outcome, Some(DriverOutcome::Finished));
        assert_eq!(simulation.versions(), ["v1"; 4], "paused at action {pause_at}");
        assert!(matches!(old_outcome, Some(DriverOutcome::LeaseLost | DriverOutcome::Superseded)));
        let late = simulation.orders.iter().filter(|(at_ms, fencing, ..)| {
            *fencing == FencingNumber::new(1) && *at_ms >= deadline_ms
        });
        assert_eq!(late.count(), 0, "paused at action {pause_at}");
    }
}

/// Guards against a rollout that takes one replica after the other out of service although they do
/// not come up, and against one that leaves healthy replicas out of service.
#[test]
fn rollout_stops_when_replicas_do_not_come_up() {
    // Arrange
    let mut simulation = Simulation::new(8, plan(3), 3, 3);
    simulation.replicas.iter_mut().for_each(|replica| replica.fails_to_load = true);

    // Act
    let outcome = run_with_crashes(&mut simulation, &[5, 9], true);

    // Assert
    let reason = StopReason::TooManyFailures;
    assert_eq!(outcome, DriverOutcome::Stopped(reason));
    assert_eq!(simulation.progress().state(), RolloutState::Stopped(reason));
    assert_eq!(simulation.versions(), reference_versions(&[true; 8], 1));
    assert!(simulation.replicas.iter().filter(|replica| replica.leaving).count() <= 3);
}

/// Guards against a single replica that does not come up and blocks the others.
#[test]
fn one_failure_below_the_limit_does_not_stop_the_rollout() {
    // Arrange
    let mut simulation = Simulation::new(4, plan(2).max_failures(1), 2, 2);
    simulation.replicas[1].fails_to_load = true;

    // Act
    let mut process = simulation.start_driver(1);
    for _ in 0..2_000 {
        simulation.prepare(&mut process, true);
        while !process.pending.is_empty() {
            simulation.carry_out_next(&mut process);
        }
        simulation.tick();
    }

    // Assert
    assert_eq!(simulation.versions(), reference_versions(&[false, true, false, false], 1));
    assert_eq!(simulation.progress().step_of(&endpoint(1)), Some(Step::Failed));
}

/// Guards against a rollback, at any point of the rollout, that leaves a replica with the new
/// version or out of service.
#[test]
fn rollback_restores_the_previous_version() {
    for roll_back_at in 0..30 {
        // Arrange
        let mut simulation = Simulation::new(4, plan(2), 2, 2);
        let mut process = simulation.start_driver(1);
        simulation.run(&mut process, roll_back_at, true);
        simulation.advance_ms(LEASE_MS);

        // Act
        let mut second = simulation.start_driver(2);
        let now = simulation.now();
        second.driver.roll_back(now);
        let outcome = simulation.run(&mut second, NEVER, false);

        // Assert
        assert_eq!(outcome, Some(DriverOutcome::Finished), "rolled back at action {roll_back_at}");
        assert_eq!(simulation.versions(), ["v1"; 4], "rolled back at action {roll_back_at}");
        assert!(simulation.replicas.iter().all(|replica| !replica.leaving));
    }
}

/// Guards against a replica that keeps the new version because its driver rolls back while an order
/// to load is outstanding.
#[test]
fn rollback_by_the_same_driver_waits_for_the_outstanding_order() {
    for roll_back_at in 1..25 {
        // Arrange
        let mut simulation = Simulation::new(3, plan(1), 1, 1);
        let mut process = simulation.start_driver(1);
        simulation.run(&mut process, roll_back_at, true);

        // Act
        let now = simulation.now();
        process.driver.roll_back(now);
        let outcome = simulation.run(&mut process, NEVER, false);

        // Assert
        assert_eq!(outcome, Some(DriverOutcome::Finished), "rolled back at action {roll_back_at}");
        assert_eq!(simulation.versions(), ["v1"; 3], "rolled back at action {roll_back_at}");
    }
}

/// Guards against an order to load that arrives after the order that rolls it back.
#[test]
fn rollback_sends_no_order_while_one_is_outstanding() {
    // Arrange: an order to load has been sent, and neither its effect nor its result arrives.
    let mut simulation = Simulation::new(3, plan(1), 1, 1);
    let mut process = simulation.start_driver(1);
    let is_load =
        |action: &Action| matches!(action, Action::SendOrder { order: ReplicaOrder::Load(_), .. });
    while !process.pending.iter().any(is_load) {
        while !process.pending.is_empty() {
            simulation.carry_out_next(&mut process);
        }
        simulation.tick();
        simulation.prepare(&mut process, true);
    }
    let Action::SendOrder { deadline, .. } = process.pending.remove(0) else {
        panic!("one replica at a time has one order")
    };

    // Act
    let now = simulation.now();
    process.driver.roll_back(now);
    let mut orders_before_the_deadline = 0;
    while !deadline.has_passed(simulation.now()) {
        simulation.prepare(&mut process, true);
        let is_order = |action: &&Action| matches!(action, Action::SendOrder { .. });
        orders_before_the_deadline += process.pending.iter().filter(is_order).count();
        while !process.pending.is_empty() {
            simulation.carry_out_next(&mut process);
        }
        simulation.tick();
    }

    // Assert
    assert_eq!(orders_before_the_deadline, 0);
    assert_eq!(simulation.run(&mut process, NEVER, false), Some(DriverOutcome::Finished));
}

/// Guards against swapping a replica because a report from before it was drained shows it idle.
#[test]
fn only_a_report_from_after_the_drain_shows_that_a_replica_is_drained() {
    // Arrange
    let mut simulation = Simulation::new(2, plan(1), 1, 1);
    simulation.advance_ms(1_000);
    let mut process = simulation.start_driver(1);
    let is_drain = |action: &Action| matches!(action, Action::SendOrder { .. });
    while !process.pending.iter().any(is_drain) {
        while !process.pending.is_empty() {
            simulation.carry_out_next(&mut process);
        }
        simulation.tick();
        simulation.prepare(&mut process, true);
    }
    let Action::SendOrder { id, endpoint, .. } = process.pending.remove(0) else {
        panic!("one replica at a time has one order")
    };
    let confirmed_ms = simulation.now_ms + 100;
    process.driver.order_answered(&endpoint, id, OrderResult::Done, Instant::from_ms(confirmed_ms));
    let mut step_with_report_of = |reported_ms| {
        let now = Instant::from_ms(confirmed_ms + 100);
        let idle = ReplicaReport {
            reported_at: Instant::from_ms(reported_ms),
            ..report(ReplicaState::Leaving)
        };
        let reports = ReplicaReports::from_iter([(endpoint.clone(), idle)]);
        process.driver.next_actions(now, process.lease.permit(now), &reports);
        process.driver.progress().step_of(&endpoint)
    };

    // Act
    let after_old_report = step_with_report_of(confirmed_ms - 1);
    let after_new_report = step_with_report_of(confirmed_ms + 1);

    // Assert
    assert_eq!(after_old_report, Some(Step::Draining));
    assert_eq!(after_new_report, Some(Step::Swapping));
}

/// Guards against a driver that continues a rollout which a newer driver has taken over.
#[test]
fn driver_with_an_older_fencing_number_than_the_written_one_does_nothing() {
    // Arrange
    let mut simulation = Simulation::new(3, plan(2), 2, 2);
    simulation.run(&mut simulation.start_driver(7), 3, true);

    // Act
    let mut old = simulation.start_driver(6);
    let orders = simulation.orders.len();
    let outcome = simulation.run(&mut old, NEVER, false);

    // Assert
    assert_eq!(outcome, Some(DriverOutcome::Superseded));
    assert_eq!(simulation.orders.len(), orders);
}

/// Guards against taking the last serving replica of a model out of service, and against a rollout
/// that waits without reporting which replicas it waits for.
#[test]
fn last_serving_replica_is_kept_and_reported_as_blocked() {
    // Arrange
    let mut simulation = Simulation::new(2, plan(2), 2, 2);
    simulation.replicas[1].leaving = true;
    let mut process = simulation.start_driver(1);

    // Act
    for _ in 0..500 {
        simulation.prepare(&mut process, true);
        while !process.pending.is_empty() {
            simulation.carry_out_next(&mut process);
        }
        simulation.tick();
    }

    // Assert
    assert!(simulation.orders.is_empty());
    assert_eq!(process.driver.blocked_replicas(), [&endpoint(0), &endpoint(1)]);
}

/// Guards against sending new requests to a replica that is being swapped, or requests of one
/// version to a replica with another one.
#[test]
fn replicas_out_of_service_are_not_eligible() {
    // Arrange
    let steps = [None, Some(Step::Pending), Some(Step::Done), Some(Step::Draining)];
    let (warm, leaving) = (report(ReplicaState::Warm), report(ReplicaState::Leaving));

    // Act
    let open = steps.map(|step| eligible_version(&warm, step) == Some(&version("v1")));
    let closed = steps.map(|step| eligible_version(&leaving, step).is_some());

    // Assert
    assert_eq!(open, [true, true, true, false]);
    assert_eq!(closed, [false; 4]);
}
