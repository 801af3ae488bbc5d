//! Tests of membership.

mod common;

use std::collections::BTreeMap;

use common::{node, zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yuccapass_decisions::membership::{
    CrashCount, Heartbeat, HeartbeatTarget, LoadSummary, MAX_HEARTBEAT_BYTES, MAX_REPLY_BYTES,
    MemberEvent, MemberState, Membership, MembershipConfig, OrganisationUsage, Row, RowState,
    VmHint,
};
use yuccapass_types::{Incarnation, Instant, Revision, TokensPerSecond};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn address(port: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 7_000 + port).parse().unwrap()
}

fn row(index: usize, incarnation: u64, heartbeat: u64) -> Row {
    Row {
        node: node(index),
        incarnation: Incarnation::new(incarnation),
        heartbeat,
        zone: zone(index % 2),
        peer_address: address(index),
        admin_address: address(1_000 + index),
        revision: Revision::new(1),
        state: RowState::Up,
        load: LoadSummary::default(),
    }
}

fn message(own: Row, rows: Vec<Row>) -> Heartbeat {
    Heartbeat { own, counters: vec![], rows, usage: vec![], crashes: vec![] }
}

/// Makes the table of node 0 with node 9 as its seed, with the same times for all zones.
fn membership() -> Membership {
    let config = MembershipConfig::default().other_zone_factor(1);
    Membership::new(row(0, 1, 0), vec![address(9)], config, at(0))
}

/// An address at which no member is known.
fn target() -> HeartbeatTarget {
    HeartbeatTarget { node: None, address: address(500) }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(5)
}

/// Ticks each second up to `end_ms`, without hearing from anybody.
fn silence(membership: &mut Membership, from_ms: u64, end_ms: u64) {
    let mut rng = rng();
    for ms in (from_ms..=end_ms).step_by(1_000) {
        membership.tick(at(ms), &mut rng);
    }
}

fn state(membership: &Membership, index: usize) -> Option<MemberState> {
    membership.member(&node(index)).map(|member| member.state())
}

/// Guards against a dead node that keeps getting work, or a live one that loses it too early.
#[test]
fn silent_member_is_suspect_then_dead_then_forgotten() {
    // Arrange
    let mut membership = membership();
    membership.receive(&message(row(1, 1, 5), vec![]), at(0));
    let mut states = Vec::new();

    // Act
    for (from_ms, ms) in [(1_000, 2_000), (3_000, 3_000), (4_000, 5_000), (6_000, 6_000)] {
        silence(&mut membership, from_ms, ms);
        states.push(state(&membership, 1).unwrap());
    }
    silence(&mut membership, 7_000, 66_000);

    // Assert
    use MemberState::{Alive, Dead, Suspect};
    assert_eq!(states, [Alive, Suspect, Suspect, Dead]);
    assert_eq!(state(&membership, 1), None);
}

/// Guards against members of other zones being taken for dead because little is heard from there.
#[test]
fn member_of_another_zone_may_be_silent_for_longer() {
    // Arrange: node 1 is in another zone, node 2 is in this one.
    let mut membership = Membership::new(row(0, 1, 0), vec![], MembershipConfig::default(), at(0));
    membership.receive(&message(row(1, 1, 5), vec![row(2, 1, 5)]), at(0));
    let mut states = Vec::new();

    // Act
    for (from_ms, ms) in [(1_000, 6_000), (7_000, 9_000), (10_000, 18_000)] {
        silence(&mut membership, from_ms, ms);
        states.push([1, 2].map(|index| state(&membership, index).unwrap()));
    }

    // Assert
    use MemberState::{Alive, Dead, Suspect};
    assert_eq!(states, [[Alive, Dead], [Suspect, Dead], [Dead, Dead]]);
}

/// Guards against an old copy of a dead node's row bringing it back.
#[test]
fn old_row_does_not_revive_and_a_newer_one_does() {
    // Arrange
    let mut membership = membership();
    membership.receive(&message(row(1, 1, 5), vec![]), at(0));
    silence(&mut membership, 1_000, 6_000);

    // Act
    membership.receive(&message(row(2, 1, 1), vec![row(1, 1, 5)]), at(6_500));
    let after_old = state(&membership, 1);
    membership.receive(&message(row(2, 1, 2), vec![row(1, 1, 6)]), at(6_600));

    // Assert
    assert_eq!(after_old, Some(MemberState::Dead));
    assert_eq!(state(&membership, 1), Some(MemberState::Alive));
}

/// Guards against rows of suspect and dead members being spread for ever.
#[test]
fn only_living_and_left_members_are_passed_on() {
    // Arrange
    let mut membership = membership();
    let left = Row { state: RowState::Left, ..row(2, 1, 1) };
    membership.receive(&message(row(1, 1, 5), vec![left.clone()]), at(0));
    silence(&mut membership, 1_000, 3_000);
    membership.receive(&message(row(3, 1, 1), vec![]), at(3_000));

    // Act
    let rows = membership.heartbeat(&target()).rows;

    // Assert
    assert_eq!(rows, [row(3, 1, 1), left]);
}

/// Guards against a restarted node being taken for its old process.
#[test]
fn higher_incarnation_replaces_whatever_its_counter() {
    // Arrange
    let mut membership = membership();
    membership.receive(&message(row(1, 1, 500), vec![]), at(0));
    let restarted = Row { peer_address: address(77), ..row(1, 2, 1) };

    // Act
    membership.receive(&message(restarted.clone(), vec![]), at(100));
    membership.receive(&message(row(2, 1, 1), vec![row(1, 1, 501)]), at(200));

    // Assert
    assert_eq!(membership.member(&node(1)).unwrap().row(), &restarted);
}

/// Guards against two members at one address after a VM was replaced.
#[test]
fn node_replaced_under_its_address_is_dead_at_once() {
    // Arrange
    let mut membership = membership();
    membership.receive(&message(row(1, 1, 5), vec![]), at(0));
    let successor = Row { peer_address: address(1), ..row(2, 1, 1) };

    // Act
    let events = membership.receive(&message(successor, vec![]), at(100));

    // Assert
    assert_eq!(state(&membership, 1), Some(MemberState::Dead));
    assert_eq!(state(&membership, 2), Some(MemberState::Alive));
    assert_eq!(events.len(), 2);
}

/// Guards against a lagging VM list that kills live members or revives dead ones.
#[test]
fn vm_list_is_a_hint() {
    // Arrange
    let mut membership = membership();
    membership.receive(&message(row(1, 1, 5), vec![]), at(0));
    membership.receive(&message(row(2, 1, 5), vec![]), at(5_000));
    let hint = |port, leaving| VmHint { peer_address: address(port), leaving };

    // Act: the list names the dead node 1 and the unknown node 3, and marks node 2 as leaving.
    membership.set_vms(vec![hint(1, false), hint(3, false), hint(2, true)]);
    silence(&mut membership, 1_000, 7_000);
    let absent = state(&membership, 1);
    membership.set_vms(vec![]);

    // Assert
    assert_eq!(absent, Some(MemberState::Dead));
    assert_eq!(state(&membership, 2), Some(MemberState::Alive));
    assert_eq!(state(&membership, 3), None);
}

/// Guards against a partition that outlasts the memory of dead members and never heals.
#[test]
fn seeds_are_tried_again_for_ever() {
    // Arrange
    let mut membership = membership();
    membership.set_vms(vec![VmHint { peer_address: address(1), leaving: false }]);
    membership.receive(&message(row(1, 1, 5), vec![row(9, 1, 5)]), at(0));
    silence(&mut membership, 1_000, 100_000);
    let mut rng = rng();

    // Act
    let mut tried: Vec<_> = (101..141)
        .flat_map(|second| membership.tick(at(second * 1_000), &mut rng).0)
        .map(|target| target.address)
        .collect();
    tried.sort();
    tried.dedup();

    // Assert
    assert_eq!(tried, [address(1), address(9)]);
}

/// Guards against a paused node that takes all others for dead, or passes on rows from before.
#[test]
fn pause_of_this_node_makes_members_suspect_only() {
    // Arrange: node 1 is in another zone, node 2 is in this one.
    let mut membership = Membership::new(row(0, 1, 0), vec![], MembershipConfig::default(), at(0));
    membership.receive(&message(row(1, 1, 5), vec![row(2, 1, 5)]), at(0));
    let mut rng = rng();

    // Act
    membership.tick(at(600_000), &mut rng);
    let after_pause = [1, 2].map(|index| state(&membership, index).unwrap());
    let rows = membership.heartbeat(&target()).rows;
    silence(&mut membership, 601_000, 609_000);

    // Assert
    assert_eq!(after_pause, [MemberState::Suspect; 2]);
    assert_eq!(rows, []);
    assert_eq!([1, 2].map(|index| state(&membership, index).unwrap()), [MemberState::Dead; 2]);
}

/// Guards against a node that does not notice that another process has its id.
#[test]
fn newer_process_under_the_same_id_is_reported() {
    // Arrange
    let mut membership = membership();

    // Act
    let events = membership.receive(&message(row(1, 1, 1), vec![row(0, 2, 1)]), at(0));

    // Assert
    assert!(events.contains(&MemberEvent::Superseded));
}

/// Guards against a newer configuration that is not fetched.
#[test]
fn newer_revision_of_a_sender_is_reported() {
    // Arrange
    let mut membership = membership();
    let newer = Row { revision: Revision::new(2), ..row(1, 1, 1) };

    // Act
    let events = membership.receive(&message(newer, vec![]), at(0));

    // Assert
    let revision = Revision::new(2);
    let expected = MemberEvent::NewerRevision { node: node(1), address: address(1), revision };
    assert!(events.contains(&expected));
}

/// Guards against heartbeats that grow with the fleet or with the names in use.
#[test]
fn heartbeat_stays_within_its_size() {
    // Arrange
    let mut membership = membership();
    let long = |index: usize| format!("{index:0>64}");
    let big_row = |index| Row {
        node: long(index).parse().unwrap(),
        zone: long(0).parse().unwrap(),
        heartbeat: u64::MAX,
        incarnation: Incarnation::new(u64::MAX),
        ..row(index, 1, 1)
    };
    for index in 1..200 {
        membership.receive(&message(big_row(index), vec![]), at(index as u64));
    }
    let tokens_per_s = TokensPerSecond::new(u64::MAX);
    let usage =
        |index| OrganisationUsage { organisation: long(index).parse().unwrap(), tokens_per_s };
    membership.set_usage((0..100).map(usage).collect());
    membership.set_crashes(vec![
        CrashCount {
            fingerprint: 1,
            number: u64::MAX,
            count: u32::MAX,
            age_ms: u64::MAX
        };
        100
    ]);

    // Act
    let (heartbeat, reply) = (membership.heartbeat(&target()), membership.reply());

    // Assert
    assert!(heartbeat.encoded_bytes() <= MAX_HEARTBEAT_BYTES);
    assert!(heartbeat.rows.len() >= 2);
    assert!(reply.encoded_bytes() <= MAX_REPLY_BYTES);
    assert!(!reply.rows.is_empty());
}

/// Guards against a counter without its row being dropped, or reviving another process.
#[test]
fn pulse_counts_for_the_process_that_it_names() {
    // Arrange: node 2 passes on the counters of nodes 1 and 3 and of an old process of node 4.
    let mut other = Membership::new(row(2, 1, 0), vec![], MembershipConfig::default(), at(0));
    let rows = vec![row(3, 1, 5), row(4, 1, 9)];
    other.receive(&message(row(1, 1, 5), rows), at(0));
    let mut membership = membership();
    membership.receive(&message(row(1, 1, 4), vec![row(3, 1, 5), row(4, 2, 1)]), at(0));
    silence(&mut membership, 1_000, 3_000);
    let heartbeat = Heartbeat { rows: vec![], ..other.heartbeat(&target()) };

    // Act
    membership.receive(&heartbeat, at(3_000));

    // Assert
    use MemberState::{Alive, Suspect};
    let states = [1, 3, 4].map(|index| state(&membership, index).unwrap());
    assert_eq!(heartbeat.counters.len(), 3);
    assert_eq!(states, [Alive, Suspect, Suspect]);
}

/// Guards against heartbeats that leave the zone too often or never.
#[test]
fn targets_are_two_in_the_zone_and_one_elsewhere_each_two_seconds() {
    // Arrange
    let mut membership = membership();
    let rows = (1..20).map(|index| row(index, 1, 1)).collect();
    membership.receive(&message(row(21, 1, 1), rows), at(0));
    let mut rng = rng();

    // Act
    let counts: Vec<(usize, usize)> = [1_000, 2_000]
        .map(|ms| membership.tick(at(ms), &mut rng).0)
        .iter()
        .map(|targets| {
            let zone_of = |id| membership.member(id).unwrap().row().zone.clone();
            let nodes = targets.iter().filter_map(|target| target.node.as_ref());
            let near = nodes.clone().filter(|id| zone_of(id) == zone(0)).count();
            (near, nodes.count() - near)
        })
        .collect();

    // Assert
    assert_eq!(counts, [(2, 0), (2, 1)]);
}

/// The naive version: everything that was heard, looked through from the start each time.
#[derive(Default)]
struct Naive {
    heard: Vec<(u64, Row)>,
    dead_since: BTreeMap<usize, u64>,
}

impl Naive {
    fn newest(&self, index: usize) -> Option<(u64, &Row)> {
        let mut newest: Option<(u64, &Row)> = None;
        for (ms, row) in self.heard.iter().filter(|(_, row)| row.node == node(index)) {
            let order = |row: &Row| (row.incarnation, row.heartbeat);
            if newest.is_none_or(|(_, best)| order(row) > order(best)) {
                newest = Some((*ms, row));
            }
        }
        newest
    }

    fn state(&self, index: usize, now_ms: u64) -> Option<MemberState> {
        let (heard_ms, row) = self.newest(index)?;
        Some(match now_ms - heard_ms {
            _ if row.state == RowState::Left => MemberState::Left,
            0..3_000 => MemberState::Alive,
            3_000..6_000 => MemberState::Suspect,
            _ => MemberState::Dead,
        })
    }

    /// Notes who ended and forgets who ended long ago; `now_ms` is a tick.
    fn tick(&mut self, now_ms: u64) {
        for index in 1..6 {
            let ended_ms = match self.state(index, now_ms) {
                Some(MemberState::Dead) => *self.dead_since.entry(index).or_insert(now_ms),
                Some(MemberState::Left) => self.newest(index).unwrap().0,
                _ => {
                    self.dead_since.remove(&index);
                    continue;
                }
            };
            if now_ms - ended_ms >= 60_000 {
                self.heard.retain(|(_, row)| row.node != node(index));
                self.dead_since.remove(&index);
            }
        }
    }
}

#[derive(Debug, Clone)]
struct Heard {
    silent_s: u64,
    rows: Vec<(usize, u64, u64, bool)>,
}

fn heard() -> impl Strategy<Value = Heard> {
    let row = (1_usize..6, 1_u64..4, 1_u64..30, proptest::bool::weighted(0.05));
    let silent_s = prop_oneof![4 => 0_u64..4, 1 => 0_u64..80];
    (silent_s, proptest::collection::vec(row, 1..5))
        .prop_map(|(silent_s, rows)| Heard { silent_s, rows })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a state that differs from what all rows ever heard say together.
    #[test]
    fn states_match_the_naive_version(steps in proptest::collection::vec(heard(), 1..60)) {
        // Arrange
        let (mut membership, mut naive) = (membership(), Naive::default());
        let (mut now_ms, mut rng) = (0, rng());

        for step in steps {
            // Act
            for _ in 0..=step.silent_s {
                now_ms += 1_000;
                membership.tick(at(now_ms), &mut rng);
                naive.tick(now_ms);
            }

            // Assert
            for index in 1..6 {
                prop_assert_eq!(state(&membership, index), naive.state(index, now_ms));
            }
            let rows = step.rows.iter().map(|&(index, incarnation, heartbeat, left)| Row {
                state: if left { RowState::Left } else { RowState::Up },
                ..row(index, incarnation, heartbeat)
            });
            let rows: Vec<Row> = rows.collect();
            naive.heard.extend(rows.iter().map(|row| (now_ms, row.clone())));
            let heartbeat = message(rows[0].clone(), rows[1..].to_vec());
            membership.receive(&heartbeat, at(now_ms));
        }
    }
}
