//! Tests of the byte budget for the link between regions.

mod property_config;

use proptest::prelude::*;
use yuccapass_decisions::routing::link_budget::LinkBudget;
use yuccapass_types::{BytesPerSecond, Instant};

/// 30 Mbit/s.
const LINK_RATE: BytesPerSecond = BytesPerSecond::new(3_750_000);

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn take_all(budget: &mut LinkBudget, now: Instant) -> u64 {
    let bytes = budget.available(now);
    assert!(budget.try_take(bytes, now));
    bytes.get()
}

/// Guards against a burst that exceeds the rate when all nodes start at once.
#[test]
fn new_budget_is_empty_and_never_exceeds_a_second() {
    // Arrange
    let mut budget = LinkBudget::new(LINK_RATE, 10, at(0));

    // Act
    let at_start = take_all(&mut budget, at(0));
    let after_pause = take_all(&mut budget, at(60_000));

    // Assert
    assert_eq!(at_start, 0);
    assert_eq!(after_pause, 375_000);
}

/// Guards against nodes that use the share of a node which is still sending.
#[test]
fn fewer_nodes_count_only_after_a_delay() {
    // Arrange
    let mut budget = LinkBudget::new(LINK_RATE, 10, at(0));

    // Act
    budget.set_nodes(5, at(1_000));
    budget.set_nodes(5, at(5_000));
    let before = {
        take_all(&mut budget, at(10_900));
        budget.node_rate()
    };
    let after = {
        take_all(&mut budget, at(11_000));
        budget.node_rate()
    };
    budget.set_nodes(20, at(11_001));

    // Assert
    assert_eq!(before, BytesPerSecond::new(375_000));
    assert_eq!(after, BytesPerSecond::new(750_000));
    assert_eq!(budget.node_rate(), BytesPerSecond::new(187_500));
}

proptest! {
    #![proptest_config(property_config::fixed(32, 0x11_4b))]

    /// Guards against the nodes of a zone together exceeding the rate after one of them is lost,
    /// while their views differ.
    #[test]
    fn nodes_of_a_zone_together_stay_within_the_rate(
        nodes in 2u32..8,
        lost_at_ms in 0u64..20_000,
        view_lags_ms in prop::collection::vec(0u64..6_000, 8),
    ) {
        // Arrange
        let mut budgets: Vec<LinkBudget> =
            (0..nodes).map(|_| LinkBudget::new(LINK_RATE, nodes, at(0))).collect();
        let mut sent_bytes = 0;

        // Act
        for ms in (0..60_000).step_by(250) {
            for (position, budget) in budgets.iter_mut().enumerate() {
                if ms >= lost_at_ms + view_lags_ms[position] {
                    budget.set_nodes(nodes - 1, at(ms));
                }
                // The first node is considered dead but goes on sending for 10 s.
                if position > 0 || ms < lost_at_ms + 10_000 {
                    sent_bytes += take_all(budget, at(ms));
                }
            }
        }

        // Assert
        prop_assert!(sent_bytes <= LINK_RATE.get() * 60);
    }
}
