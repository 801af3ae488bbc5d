//! Tests of the choice of a source of changes: a relay, another node of the zone, or the origin.

use yuccapass_decisions::gateway::relay::{
    ChangeSource, RelayFailure, RelaySources, list_sources, relay_count, relays,
};
use yuccapass_types::{Instant, NodeId};

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count).map(|number| format!("node-{number:02}").parse().unwrap()).collect()
}

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Returns the relay that is chosen now.
fn chosen_relay(sources: &mut RelaySources, nodes: &[NodeId], now: Instant) -> NodeId {
    match sources.choose(nodes, now) {
        ChangeSource::Relay(relay) => relay,
        other => panic!("no relay: {other:?}"),
    }
}

/// Guards against small zones whose changes take a longer way for nothing, and against large ones
/// in which every node calls the origin.
#[test]
fn only_the_first_nodes_of_a_large_zone_read_from_the_origin() {
    // Arrange
    let (small, large) = (nodes(4), nodes(32));

    // Act
    let sources = |nodes: &[NodeId]| -> Vec<ChangeSource> {
        let choose = |node: &NodeId| RelaySources::new(node.clone()).choose(nodes, at(0));
        nodes.iter().map(choose).collect()
    };
    let (of_small, of_large) = (sources(&small), sources(&large));

    // Assert
    assert!(of_small.iter().all(|source| *source == ChangeSource::Origin));
    let followers = |relay: &NodeId| {
        of_large.iter().filter(|source| **source == ChangeSource::Relay(relay.clone())).count()
    };
    let counts: Vec<usize> = relays(&large).iter().map(followers).collect();
    assert_eq!(counts.iter().sum::<usize>(), 30);
    assert!(counts.iter().all(|&count| count >= 5), "{counts:?}");
}

/// Guards against a relay whose link cannot carry the changes for all its followers.
#[test]
fn larger_zones_have_more_relays() {
    // Arrange and act
    let counts = [4, 5, 40, 41, 57].map(relay_count);

    // Assert: the zones of the target, 340 nodes in 6 zones, have 57 nodes.
    assert_eq!(counts, [4, 2, 2, 3, 3]);
}

/// Guards against followers that keep asking a relay that has failed, or never return to it.
#[test]
fn failed_relay_is_avoided_for_a_while() {
    // Arrange: the node that comes next after the relays reads from the origin without them.
    let nodes = nodes(10);
    let mut sources = RelaySources::new(nodes[2].clone());
    let ChangeSource::Relay(first) = sources.choose(&nodes, at(0)) else { panic!("no relay") };

    // Act
    sources.record_failure(first.clone(), RelayFailure::Silent, 0.5, at(0));
    let second = sources.choose(&nodes, at(100));
    if let ChangeSource::Relay(relay) = &second {
        sources.record_failure(relay.clone(), RelayFailure::Silent, 0.5, at(100));
    }
    let third = sources.choose(&nodes, at(200));
    let later = sources.choose(&nodes, at(10_000));

    // Assert
    assert!(matches!(&second, ChangeSource::Relay(relay) if *relay != first), "{second:?}");
    assert_eq!(third, ChangeSource::Origin);
    assert_eq!(later, ChangeSource::Relay(first));
}

/// Guards against followers that stay without a relay for seconds after all relays have lost the origin for a
/// moment: a change in that time would cross the links between regions once for each of them.
#[test]
fn relay_without_recent_knowledge_is_asked_again_soon() {
    // Arrange: the node that comes next after the relays reads from the origin without them.
    let nodes = nodes(10);
    let mut sources = RelaySources::new(nodes[2].clone());
    let fail = |sources: &mut RelaySources, failure, now| {
        let ChangeSource::Relay(relay) = sources.choose(&nodes, now) else { panic!("no relay") };
        sources.record_failure(relay.clone(), failure, 1.0, now);
        relay
    };

    // Act
    let outdated = fail(&mut sources, RelayFailure::Outdated, at(0));
    let silent = fail(&mut sources, RelayFailure::Silent, at(700));
    let then = sources.choose(&nodes, at(700));
    let soon = sources.choose(&nodes, at(1_200));

    // Assert: the origin is read before a relay is asked again, and at the same time.
    assert_ne!(outdated, silent);
    assert_eq!(then, ChangeSource::Origin);
    assert_eq!(soon, ChangeSource::Relay(outdated));
}

/// Returns how many nodes of a zone without relays read from the origin at each of these ages of what they know. Nodes
/// that read have nothing recent, and `dead` ones do not reply.
fn readers_without_relays(count: usize, dead: &[usize], times_ms: [u64; 4]) -> [usize; 4] {
    let nodes = nodes(count);
    let mut readers = [0; 4];
    for own in (2..count).filter(|own| !dead.contains(own)) {
        let mut sources = RelaySources::new(nodes[own].clone());
        let mut reads = false;
        for step in 0..times_ms[3] / 10 {
            let now = at(step * 10);
            let chosen = sources.choose(&nodes, now);
            reads |= chosen == ChangeSource::Origin;
            if let ChangeSource::Relay(relay) = &chosen {
                let asked = nodes.iter().position(|node| node == relay).expect("it is a node");
                assert!(asked < own, "{own} asks {asked}");
                let is_silent = asked < 2 || dead.contains(&asked);
                let failure = if is_silent { RelayFailure::Silent } else { RelayFailure::Outdated };
                sources.record_failure(relay.clone(), failure, 0.5, now);
            }
            for (count, _) in readers.iter_mut().zip(times_ms).filter(|(_, ms)| now == at(ms - 10))
            {
                *count += usize::from(reads);
            }
        }
    }
    readers
}

/// Guards against a zone that has lost its relays and all of whose nodes read from the origin at once, so that their
/// answers fill the links; and against nodes that wait without limit for others that read nothing.
#[test]
fn few_nodes_of_a_zone_read_from_the_origin_without_relays() {
    // Arrange and act
    let alive = readers_without_relays(21, &[], [2_400, 2_900, 3_400, 5_000]);
    let with_dead = readers_without_relays(21, &[2, 3, 5, 7, 8, 13], [2_400, 2_900, 3_400, 5_000]);

    // Assert
    assert_eq!(alive, [2, 4, 8, 19]);
    assert_eq!(with_dead, [2, 4, 8, 13]);
}

/// Guards against nodes that wait for a substitute which does not reply.
#[test]
fn a_node_without_anyone_before_it_reads_from_the_origin_at_once() {
    // Arrange
    let nodes = nodes(10);
    let mut sources = RelaySources::new(nodes[5].clone());

    // Act
    let mut asked = 0;
    let then = loop {
        match sources.choose(&nodes, at(100)) {
            ChangeSource::Relay(relay) => {
                sources.record_failure(relay, RelayFailure::Silent, 0.5, at(100));
                asked += 1;
            }
            source => break source,
        }
    };

    // Assert: two relays, and nodes before this one until fewer than two of them may reply.
    assert_eq!(asked, 4);
    assert_eq!(then, ChangeSource::Origin);
}

/// Guards against a relay that the origin does not answer and that asks nobody, although other nodes of its zone have
/// the changes; and against one that never calls the origin again.
#[test]
fn a_relay_without_the_origin_follows_another_node_for_a_while() {
    // Arrange
    let nodes = nodes(10);
    let mut sources = RelaySources::new(nodes[0].clone());
    sources.record_origin(true);

    // Act
    let ChangeSource::Relay(other) = sources.choose(&nodes, at(0)) else { panic!("no relay") };
    sources.record_failure(other.clone(), RelayFailure::Outdated, 0.5, at(0));
    let ChangeSource::Relay(substitute) = sources.choose(&nodes, at(0)) else { panic!("nobody") };
    sources.record_success(&substitute, at(0));
    let led = sources.choose(&nodes, at(100));
    let later = [2_200, 3_100, 3_300].map(|ms| sources.choose(&nodes, at(ms)));
    sources.record_origin(false);
    let answered = sources.choose(&nodes, at(3_400));

    // Assert
    assert_eq!((&other, &substitute), (&nodes[1], &nodes[2]));
    assert_eq!(led, ChangeSource::Relay(substitute));
    assert_eq!(later[..2], [ChangeSource::Origin, ChangeSource::Origin]);
    assert!(matches!(later[2], ChangeSource::Relay(_)), "{later:?}");
    assert_eq!(answered, ChangeSource::Origin);
}

/// Guards against a node that leaves the relay it has just begun to follow, because what it knows stays old until the
/// relay's changes are transferred: it would go back and forth, and end its calls to the origin each time.
#[test]
fn a_node_keeps_to_the_relay_that_it_follows_while_what_it_knows_is_old() {
    // Arrange: both relays have failed, and the first one is asked again when what is known is old.
    let nodes = nodes(12);
    let mut sources = RelaySources::new(nodes[5].clone());
    sources.record_confirmed(at(0));
    let first = chosen_relay(&mut sources, &nodes, at(500));
    sources.record_failure(first.clone(), RelayFailure::Silent, 0.0, at(500));
    let second = chosen_relay(&mut sources, &nodes, at(1_200));
    sources.record_failure(second, RelayFailure::Silent, 1.0, at(1_200));

    // Act
    let before = [3_100, 3_150].map(|ms| sources.choose(&nodes, at(ms)));
    sources.record_success(&first, at(3_000));
    let following = [3_200, 3_500, 4_500].map(|ms| sources.choose(&nodes, at(ms)));
    sources.record_failure(first.clone(), RelayFailure::Silent, 0.0, at(5_000));
    let then = sources.choose(&nodes, at(5_000));

    // Assert: once it fails, the origin is read before another node is asked.
    let first = ChangeSource::Relay(first);
    assert_eq!(before, [ChangeSource::Origin, first.clone()]);
    assert_eq!(following, [first.clone(), first.clone(), first]);
    assert_eq!(then, ChangeSource::Origin);
}

/// Guards against a node that waits for changes from a relay which the origin has not answered for long, until its keys
/// expire.
#[test]
fn a_node_leaves_a_relay_whose_own_knowledge_is_old() {
    // Arrange: one relay has failed, and the other one is followed.
    let nodes = nodes(12);
    let mut sources = RelaySources::new(nodes[5].clone());
    sources.record_confirmed(at(0));
    let first = chosen_relay(&mut sources, &nodes, at(500));
    sources.record_failure(first, RelayFailure::Silent, 1.0, at(500));
    let second = chosen_relay(&mut sources, &nodes, at(1_200));

    // Act
    sources.record_success(&second, at(100));
    let chosen = [1_300, 3_050, 3_100].map(|ms| sources.choose(&nodes, at(ms)));

    // Assert: the origin is read, and the relay is still asked.
    let second = ChangeSource::Relay(second);
    assert_eq!(chosen, [second.clone(), second, ChangeSource::Origin]);
}

/// Guards against nodes that start and ask themselves, or nobody but relays that have started as well.
#[test]
fn lists_come_from_the_relays_and_then_from_others() {
    // Arrange
    let nodes = nodes(10);

    // Act
    let of_follower = list_sources(&nodes[3], &nodes);
    let of_relay = list_sources(&nodes[0], &nodes);
    let of_small_zone = list_sources(&nodes[0], &nodes[..4]);

    // Assert
    let mut relays = of_follower[..2].to_vec();
    relays.sort();
    assert_eq!(relays, nodes[..2]);
    assert_eq!(of_follower[2..], [nodes[2].clone(), nodes[4].clone()]);
    assert_eq!(of_relay, [nodes[1].clone(), nodes[2].clone(), nodes[3].clone()]);
    assert_eq!(of_small_zone, []);
}
