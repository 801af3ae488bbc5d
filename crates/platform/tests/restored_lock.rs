//! Tests of the lease lock in a service that comes back from older copies.

mod era_store;

use std::sync::{Arc, Mutex};

use async_std::task::block_on;
use era_store::{Client, JumpingClock, Restore, Service};
use yuccapass_decisions::platform_budget::{CallRank, FleetRates, LeaseTerms};
use yuccapass_platform::{KeyValue, LeaseLock, PlatformClient, PlatformClientConfig};
use yuccapass_types::{Clock, Deadline, FencingNumber, RequestsPerSecond};

/// Time to live of the lock's lease, and the part of it on which the holder does not rely.
const LEASE_MS: u64 = 2_000;
const MARGIN_MS: u64 = 500;

/// Time between two steps of each node.
const STEP_MS: u64 = 100;

/// Number of steps after which a holder releases the lock.
const STEPS_AS_HOLDER: u32 = 20;

struct Node {
    client: Arc<Client>,
    lock: LeaseLock,
}

struct Fleet {
    clock: Arc<JumpingClock>,
    service: Arc<Mutex<Service>>,
    nodes: Vec<Node>,
}

fn start_node(service: &Arc<Mutex<Service>>, clock: &Arc<JumpingClock>, number: u64) -> Node {
    let client = Client::new(service, clock);
    let unlimited = RequestsPerSecond::new(1_000_000);
    let config = PlatformClientConfig::new(1, number).rates(FleetRates::new(unlimited, unlimited));
    let platform = PlatformClient::new(client.clone(), clock.clone(), &config);
    let terms = LeaseTerms::new(LEASE_MS).margin_ms(MARGIN_MS);
    let name = format!("node-{number}").parse().unwrap();
    let key_value = platform.key_value(CallRank::Lease);
    let lock = LeaseLock::new(key_value, &"driver".parse().unwrap(), name, terms).unwrap();
    Node { client, lock }
}

fn fleet(nodes: u64, restores: Vec<Restore>, reuses_leases: bool) -> Fleet {
    let clock = Arc::new(JumpingClock::default());
    let service = Service::new(restores, reuses_leases);
    let nodes = (1..=nodes).map(|number| start_node(&service, &clock, number)).collect();
    Fleet { clock, service, nodes }
}

impl Fleet {
    fn step(&self, index: usize) {
        let limit = Deadline::after_ms(self.clock.now(), 50);
        let _ = block_on(self.nodes[index].lock.step(limit));
    }

    /// Returns the holder and its number.
    fn holder(&self) -> Option<(usize, FencingNumber)> {
        let permits = self.nodes.iter().enumerate();
        let holders: Vec<_> = permits
            .filter_map(|(index, node)| Some((index, node.lock.permit()?.fencing)))
            .collect();
        assert!(holders.len() <= 1, "two holders: {holders:?}");
        holders.first().copied()
    }

    /// Steps all nodes for a time, in which holders release the lock now and then. If `cuts_off`, the holder
    /// cannot reach the service from shortly before a restore until long after it. Returns whether there was
    /// a holder in the last steps.
    fn run(&self, steps: u32, cuts_off: Option<u32>) -> bool {
        let mut numbers: Vec<(usize, FencingNumber)> = Vec::new();
        let mut held_steps = 0;
        let mut last_held = 0;
        for step in 0..steps {
            if let Some((index, _)) = self.holder().filter(|_| cuts_off == Some(step)) {
                self.nodes[index].client.set_cut_off(true);
            }
            if cuts_off.is_some_and(|from| step == from + 30) {
                self.nodes.iter().for_each(|node| node.client.set_cut_off(false));
            }
            for index in 0..self.nodes.len() {
                self.step(index);
                let Some(holder) = self.holder() else { continue };
                last_held = step;
                if let Some(&last) = numbers.last().filter(|&&last| last != holder) {
                    assert!(holder.1 > last.1, "{holder:?} after {last:?}");
                }
                if numbers.last() != Some(&holder) {
                    numbers.push(holder);
                    held_steps = 0;
                }
            }
            held_steps += 1;
            if let Some((index, _)) = self.holder().filter(|_| held_steps >= STEPS_AS_HOLDER) {
                let limit = Deadline::after_ms(self.clock.now(), 50);
                let _ = block_on(self.nodes[index].lock.release(limit));
            }
            self.clock.jump_ms(STEP_MS);
        }
        last_held + STEPS_AS_HOLDER > steps
    }
}

/// Guards against a number that two holders use, a lower number after a higher one, two holders at the same
/// time, and a lock that stays taken, if the service goes back before any call of an acquisition or a
/// renewal.
#[test]
fn numbers_and_holders_stay_in_order_whenever_the_service_goes_back() {
    for reuses_leases in [false, true] {
        for before_call in 30..90 {
            for age_calls in [3, 12, 29] {
                // Arrange
                let copied_before_call = before_call - age_calls;
                let first = Restore { copied_before_call, before_call };
                let fleet = fleet(3, vec![first], reuses_leases);

                // Act and assert
                let is_held = fleet.run(90, None);
                let is_restored = fleet.service.lock().unwrap().era() == 2;
                assert!(is_restored && is_held, "{first:?}, leases {reuses_leases}");
            }
        }
    }
}

/// Guards against the same if the service goes back twice, to one copy or to another one.
#[test]
fn numbers_and_holders_stay_in_order_if_the_service_goes_back_twice() {
    for pause_calls in [0, 1, 2, 3, 4, 6, 20] {
        for before_call in 30..90 {
            // Arrange
            let copied_before_call = before_call - 12;
            let restore = |before_call| Restore { copied_before_call, before_call };
            let restores = vec![restore(before_call), restore(before_call + pause_calls)];
            let fleet = fleet(3, restores, true);

            // Act and assert
            let is_held = fleet.run(110, None);
            let is_restored = fleet.service.lock().unwrap().era() == 3;
            assert!(is_restored && is_held, "before call {before_call} and {pause_calls} later");
        }
    }
}

/// Guards against the same if the holder cannot reach the service from before the restore on.
#[test]
fn numbers_and_holders_stay_in_order_while_the_holder_is_cut_off() {
    for cut_off_step in [25, 32] {
        for before_call in (60..100).step_by(4) {
            // Arrange
            let restore = Restore { copied_before_call: before_call - 12, before_call };
            let fleet = fleet(3, vec![restore], true);

            // Act and assert
            fleet.run(110, Some(cut_off_step));
        }
    }
}

/// Guards against a process that starts just after a restore, and acquires the lock while the earlier holder
/// still relies on its lease.
#[test]
fn a_started_process_waits_for_a_lease_before_it_acquires() {
    // Arrange: the holder has renewed its lease just before the restore, and is cut off from it.
    let restore = Restore { copied_before_call: 0, before_call: 1_000 };
    let mut fleet = fleet(1, vec![restore], false);
    while fleet.holder().is_none() {
        fleet.step(0);
        fleet.clock.jump_ms(STEP_MS);
    }
    fleet.clock.jump_ms(700);
    fleet.step(0);
    fleet.nodes[0].client.set_cut_off(true);
    let other = Client::new(&fleet.service, &fleet.clock);
    let limit = Deadline::after_ms(fleet.clock.now(), 50);
    while fleet.service.lock().unwrap().era() == 1 {
        block_on(other.get(&"any".parse().unwrap(), limit)).unwrap();
    }

    // Act
    fleet.nodes.push(start_node(&fleet.service, &fleet.clock, 2));
    let mut acquired_after_ms = None;
    for step in 0..40 {
        fleet.step(1);
        let is_held = fleet.holder().is_some_and(|(index, _)| index == 1);
        acquired_after_ms = acquired_after_ms.or(is_held.then_some(step * STEP_MS));
        fleet.clock.jump_ms(STEP_MS);
    }

    // Assert
    let acquired_after_ms = acquired_after_ms.expect("the second node acquires the lock");
    assert!((LEASE_MS..LEASE_MS + 300).contains(&acquired_after_ms), "{acquired_after_ms}");
}

/// Guards against a condition of an earlier holder that holds for a key that was written at the same
/// revision of the new era.
#[test]
fn the_condition_of_a_holder_ends_with_the_era() {
    // Arrange
    let restore = Restore { copied_before_call: 0, before_call: 1_000 };
    let fleet = fleet(1, vec![restore], false);
    while fleet.holder().is_none() {
        fleet.step(0);
        fleet.clock.jump_ms(STEP_MS);
    }
    let before = fleet.nodes[0].lock.held_condition();

    // Act: an answer to another call of the node names the new era.
    let limit = Deadline::after_ms(fleet.clock.now(), 50);
    while fleet.service.lock().unwrap().era() == 1 {
        block_on(fleet.nodes[0].client.get(&"any".parse().unwrap(), limit)).unwrap();
    }

    // Assert
    assert!(before.is_some());
    assert_eq!(fleet.nodes[0].lock.held_condition(), None);
}

/// Guards against numbers of a later era that are not above all of an earlier one, and against one that is
/// taken for that of the very first holder although there may have been others.
#[test]
fn numbers_of_a_later_era_are_above_all_earlier_ones() {
    // Arrange
    let first = FencingNumber::following(None, 1).unwrap();
    let second = FencingNumber::following(Some(first), 1).unwrap();

    // Act
    let of_copy = FencingNumber::following(None, 2).unwrap();
    let after_second = FencingNumber::following(Some(second), 2).unwrap();
    let without_eras = FencingNumber::following(Some(FencingNumber::new(7)), 0).unwrap();
    let after_upgrade = FencingNumber::following(Some(without_eras), 1).unwrap();
    let last = FencingNumber::new((2 << 24) - 1);

    // Assert
    assert!(first < second && second < of_copy && second < after_second);
    assert_eq!(without_eras, FencingNumber::new(8));
    let is_first =
        [first, second, of_copy, after_second, after_upgrade].map(FencingNumber::is_first);
    assert_eq!(is_first, [true, false, false, false, false]);
    assert_eq!(FencingNumber::following(Some(last), 1), None);
}
