//! Tests of the rollout driver: limits, deaths at each step, old drivers, failures, turning back.

mod rollout_world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rollout_world::{LEASE_MS, World, endpoint, plan, version};
use yuccapass_decisions::rollout::{
    Action, DriverOutcome, OrderResult, Progress, ReplicaOrder, ReplicaReport, ReplicaReports,
    ReplicaState, Role, RolloutState, Step, StopReason, eligible_version,
};
use yuccapass_types::{FencingNumber, Incarnation, Instant};

const NEVER: usize = usize::MAX;

/// Naive version: one replica after the other, in order, until too many have failed.
fn naive_versions(fails_to_load: &[bool], max_failures: usize) -> Vec<&'static str> {
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

/// Runs drivers one after the other, each but the last killed at its `kill_at`th action.
fn run_with_deaths(world: &mut World, kill_at: &[usize], after_effect: bool) -> DriverOutcome {
    let mut fencing = 1;
    for &kill_at in kill_at {
        let mut owner = world.take_over(fencing);
        if let Some(ended) = world.run(&mut owner, kill_at, after_effect) {
            return ended;
        }
        // Another driver gets the lease when it has expired.
        world.pass_ms(LEASE_MS);
        fencing += 1;
    }
    let mut owner = world.take_over(fencing);
    world.run(&mut owner, NEVER, false).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// Guards against limits that are exceeded, and a result other than that of the naive version,
    /// with long requests, restarts and deaths of drivers. The world checks the limits at each tick.
    #[test]
    fn result_is_that_of_the_naive_version(
        replicas in prop::collection::vec(
            (0u64..60_000, prop::option::of(1_000u64..20_000), any::<bool>()), 2..9),
        max_swapping in 1usize..4,
        max_loads in 1usize..3,
        kill_at in prop::collection::vec(0usize..40, 0..4),
        after_effect in any::<bool>(),
    ) {
        // Arrange
        let limits = plan(max_swapping as u32).max_loads(max_loads as u32);
        let mut world = World::new(replicas.len(), limits, max_swapping, max_loads);
        for (replica, (busy_until_ms, restart, checks)) in world.replicas.iter_mut().zip(&replicas) {
            replica.busy_until_ms = *busy_until_ms;
            replica.restarts_at_ms = *restart;
            replica.checks_fencing = *checks;
        }

        // Act
        let ended = run_with_deaths(&mut world, &kill_at, after_effect);

        // Assert
        prop_assert_eq!(ended, DriverOutcome::Finished);
        prop_assert_eq!(world.versions(), naive_versions(&vec![false; replicas.len()], 1));
        prop_assert!(world.replicas.iter().all(|replica| !replica.leaving));
    }

    /// Guards against a progress that ends the process when it is damaged.
    #[test]
    fn decoder_survives_arbitrary_and_damaged_bytes(
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

/// Returns whether a driver drained each replica itself before it ordered it to load.
fn loads_follow_drains(world: &World, driver: FencingNumber) -> bool {
    let own = || world.orders.iter().filter(|(_, fencing, ..)| *fencing == driver);
    own().enumerate().all(|(position, (_, _, endpoint, order))| {
        let drains = |(_, _, other, order): &(_, _, _, ReplicaOrder)| {
            other == endpoint && *order == ReplicaOrder::Drain
        };
        !matches!(order, ReplicaOrder::Load(_)) || own().take(position).any(drains)
    })
}

/// Guards against a rollout that another driver cannot continue after a death at some step.
#[test]
fn another_driver_continues_after_a_death_at_each_step() {
    for after_effect in [false, true] {
        for kill_at in 0.. {
            // Arrange
            let mut world = World::new(3, plan(2), 2, 2);
            let mut first = world.take_over(1);
            let has_ended = world.run(&mut first, kill_at, after_effect).is_some();
            world.pass_ms(LEASE_MS);

            // Act
            let mut second = world.take_over(2);
            let ended = world.run(&mut second, NEVER, false);

            // Assert
            assert_eq!(ended, Some(DriverOutcome::Finished), "killed at action {kill_at}");
            assert_eq!(world.versions(), ["v2"; 3], "killed at action {kill_at}");
            assert!(loads_follow_drains(&world, FencingNumber::new(2)), "at action {kill_at}");
            if has_ended {
                assert!(kill_at > 10, "only {kill_at} actions were tried");
                break;
            }
        }
    }
}

/// Guards against a paused driver that acts on replicas which ignore its number, after another
/// driver has turned the rollout back.
#[test]
fn paused_driver_does_not_act_after_its_own_deadline() {
    for pause_at in 0..12 {
        // Arrange: the old driver stops with actions that it has decided on but not carried out.
        let mut world = World::new(4, plan(2), 2, 2);
        let mut old = world.take_over(1);
        let mut actions = 0;
        while actions < pause_at || old.pending.is_empty() {
            world.prepare(&mut old, true);
            while actions < pause_at && !old.pending.is_empty() {
                world.carry_out_next(&mut old);
                actions += 1;
            }
            if old.pending.is_empty() {
                world.tick();
            }
        }
        let deadline_ms = old.holder.permit(world.now()).unwrap().deadline.instant().as_ms();
        world.pass_ms(LEASE_MS);
        let mut new = world.take_over(2);
        let now = world.now();
        new.driver.roll_back(now);

        // Act
        let new_ended = world.run(&mut new, NEVER, false);
        while !old.pending.is_empty() {
            world.carry_out_next(&mut old);
        }
        let old_ended = world.run(&mut old, NEVER, false);

        // Assert
        assert_eq!(new_ended, Some(DriverOutcome::Finished));
        assert_eq!(world.versions(), ["v1"; 4], "paused at action {pause_at}");
        assert!(matches!(old_ended, Some(DriverOutcome::LeaseLost | DriverOutcome::Superseded)));
        let late = world.orders.iter().filter(|(at_ms, fencing, ..)| {
            *fencing == FencingNumber::new(1) && *at_ms >= deadline_ms
        });
        assert_eq!(late.count(), 0, "paused at action {pause_at}");
    }
}

/// Guards against a rollout that takes one replica after the other out of service although they do
/// not come up, and one that leaves the healthy ones out of service.
#[test]
fn rollout_stops_when_replicas_do_not_come_up() {
    // Arrange
    let mut world = World::new(8, plan(3), 3, 3);
    world.replicas.iter_mut().for_each(|replica| replica.fails_to_load = true);

    // Act
    let ended = run_with_deaths(&mut world, &[5, 9], true);

    // Assert
    let reason = StopReason::TooManyFailures;
    assert_eq!(ended, DriverOutcome::Stopped(reason));
    assert_eq!(world.progress().state(), RolloutState::Stopped(reason));
    assert_eq!(world.versions(), naive_versions(&[true; 8], 1));
    assert!(world.replicas.iter().filter(|replica| replica.leaving).count() <= 3);
}

/// Guards against a single replica that does not come up and holds up the others.
#[test]
fn one_failure_below_the_limit_does_not_stop_the_rollout() {
    // Arrange
    let mut world = World::new(4, plan(2).max_failures(1), 2, 2);
    world.replicas[1].fails_to_load = true;

    // Act
    let mut owner = world.take_over(1);
    for _ in 0..2_000 {
        world.prepare(&mut owner, true);
        while !owner.pending.is_empty() {
            world.carry_out_next(&mut owner);
        }
        world.tick();
    }

    // Assert
    assert_eq!(world.versions(), naive_versions(&[false, true, false, false], 1));
    assert_eq!(world.progress().step_of(&endpoint(1)), Some(Step::Failed));
}

/// Guards against turning back that leaves a replica with the new version or out of service, at
/// each point of the rollout.
#[test]
fn turning_back_restores_the_earlier_version() {
    for turn_at in 0..30 {
        // Arrange
        let mut world = World::new(4, plan(2), 2, 2);
        let mut owner = world.take_over(1);
        world.run(&mut owner, turn_at, true);
        world.pass_ms(LEASE_MS);

        // Act
        let mut second = world.take_over(2);
        let now = world.now();
        second.driver.roll_back(now);
        let ended = world.run(&mut second, NEVER, false);

        // Assert
        assert_eq!(ended, Some(DriverOutcome::Finished), "turned back at action {turn_at}");
        assert_eq!(world.versions(), ["v1"; 4], "turned back at action {turn_at}");
        assert!(world.replicas.iter().all(|replica| !replica.leaving));
    }
}

/// Guards against a driver that turns back while its own order to load is on its way.
#[test]
fn turning_back_under_way_waits_for_the_order_that_is_on_its_way() {
    for turn_at in 1..25 {
        // Arrange
        let mut world = World::new(3, plan(1), 1, 1);
        let mut owner = world.take_over(1);
        world.run(&mut owner, turn_at, true);

        // Act
        let now = world.now();
        owner.driver.roll_back(now);
        let ended = world.run(&mut owner, NEVER, false);

        // Assert
        assert_eq!(ended, Some(DriverOutcome::Finished), "turned back at action {turn_at}");
        assert_eq!(world.versions(), ["v1"; 3], "turned back at action {turn_at}");
    }
}

/// Guards against an order to load that arrives after the one that turns it back.
#[test]
fn turning_back_gives_no_order_while_one_is_on_its_way() {
    // Arrange: an order to load has been sent, and neither its effect nor its result arrives.
    let mut world = World::new(3, plan(1), 1, 1);
    let mut owner = world.take_over(1);
    let is_load =
        |action: &Action| matches!(action, Action::SendOrder { order: ReplicaOrder::Load(_), .. });
    while !owner.pending.iter().any(is_load) {
        while !owner.pending.is_empty() {
            world.carry_out_next(&mut owner);
        }
        world.tick();
        world.prepare(&mut owner, true);
    }
    let Action::SendOrder { deadline, .. } = owner.pending.remove(0) else {
        panic!("one replica at a time has one order")
    };

    // Act
    let now = world.now();
    owner.driver.roll_back(now);
    let mut orders_before_the_deadline = 0;
    while !deadline.has_passed(world.now()) {
        world.prepare(&mut owner, true);
        let is_order = |action: &&Action| matches!(action, Action::SendOrder { .. });
        orders_before_the_deadline += owner.pending.iter().filter(is_order).count();
        while !owner.pending.is_empty() {
            world.carry_out_next(&mut owner);
        }
        world.tick();
    }

    // Assert
    assert_eq!(orders_before_the_deadline, 0);
    assert_eq!(world.run(&mut owner, NEVER, false), Some(DriverOutcome::Finished));
}

/// Guards against a replica that is swapped because a report from before the drain shows it idle.
#[test]
fn only_a_report_from_after_the_drain_shows_that_a_replica_is_drained() {
    // Arrange
    let mut world = World::new(2, plan(1), 1, 1);
    world.pass_ms(1_000);
    let mut owner = world.take_over(1);
    let is_drain = |action: &Action| matches!(action, Action::SendOrder { .. });
    while !owner.pending.iter().any(is_drain) {
        while !owner.pending.is_empty() {
            world.carry_out_next(&mut owner);
        }
        world.tick();
        world.prepare(&mut owner, true);
    }
    let Action::SendOrder { id, endpoint, .. } = owner.pending.remove(0) else {
        panic!("one replica at a time has one order")
    };
    let confirmed_ms = world.now_ms + 100;
    owner.driver.order_answered(&endpoint, id, OrderResult::Done, Instant::from_ms(confirmed_ms));
    let mut step_with_report_of = |reported_ms| {
        let now = Instant::from_ms(confirmed_ms + 100);
        let idle = ReplicaReport {
            reported_at: Instant::from_ms(reported_ms),
            ..report(ReplicaState::Leaving)
        };
        let reports = ReplicaReports::from_iter([(endpoint.clone(), idle)]);
        owner.driver.step(now, owner.holder.permit(now), &reports);
        owner.driver.progress().step_of(&endpoint)
    };

    // Act
    let after_old_report = step_with_report_of(confirmed_ms - 1);
    let after_new_report = step_with_report_of(confirmed_ms + 1);

    // Assert
    assert_eq!(after_old_report, Some(Step::Draining));
    assert_eq!(after_new_report, Some(Step::Swapping));
}

/// Guards against a driver that continues the work of a newer one.
#[test]
fn driver_with_an_older_number_than_the_written_one_does_nothing() {
    // Arrange
    let mut world = World::new(3, plan(2), 2, 2);
    world.run(&mut world.take_over(7), 3, true);

    // Act
    let mut old = world.take_over(6);
    let orders = world.orders.len();
    let ended = world.run(&mut old, NEVER, false);

    // Assert
    assert_eq!(ended, Some(DriverOutcome::Superseded));
    assert_eq!(world.orders.len(), orders);
}

/// Guards against the only replica of a model being taken out of service, and against a rollout that
/// waits without saying for what.
#[test]
fn last_serving_replica_is_kept_and_reported_as_blocked() {
    // Arrange
    let mut world = World::new(2, plan(2), 2, 2);
    world.replicas[1].leaving = true;
    let mut owner = world.take_over(1);

    // Act
    for _ in 0..500 {
        world.prepare(&mut owner, true);
        while !owner.pending.is_empty() {
            world.carry_out_next(&mut owner);
        }
        world.tick();
    }

    // Assert
    assert!(world.orders.is_empty());
    assert_eq!(owner.driver.blocked_replicas(), [&endpoint(0), &endpoint(1)]);
}

/// Guards against new requests at a replica that is being swapped, and against requests of one
/// version at a replica of another.
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
