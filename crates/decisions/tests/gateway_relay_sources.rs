//! Tests of the choice of a source of changes: a relay, another node of the zone, or the origin.

use yuccapass_decisions::gateway::relay::{ChangeSource, RelayFailure, RelaySources};
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
