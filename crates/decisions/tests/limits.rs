//! Tests of the organisations' limits.

mod property_config;

use proptest::prelude::*;
use yuccapass_decisions::admission::limits::{
    LimitDecision, LimitSettings, OrganisationLimits, ZoneLimit, node_share,
};
use yuccapass_types::{Instant, OrganisationId, Tokens, TokensPerSecond};

const LIMIT: TokensPerSecond = TokensPerSecond::new(10_000);
const COST: Tokens = Tokens::new(100);

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn organisation(number: usize) -> OrganisationId {
    format!("o{number}").parse().unwrap()
}

fn limits() -> OrganisationLimits {
    OrganisationLimits::new(LimitSettings::default())
}

fn is_admitted(limits: &OrganisationLimits, number: usize, nodes: u32, now: Instant) -> bool {
    let limit = ZoneLimit { limit: LIMIT, nodes };
    limits.try_admit(&organisation(number), limit, COST, now) == LimitDecision::Admitted
}

/// Guards against an organisation that uses more than its limit by spreading over all nodes, while
/// each node offers far more.
#[test]
fn limit_is_held_over_all_nodes() {
    // Arrange
    let nodes: Vec<OrganisationLimits> = (0..4).map(|_| limits()).collect();
    let mut admitted_tokens = 0;

    // Act: node 0 gets four times the demand of the others; demand is exchanged each second.
    for ms in (0..60_000).step_by(10) {
        for (position, node) in nodes.iter().enumerate() {
            for _ in 0..if position == 0 { 4 } else { 1 } {
                admitted_tokens += u64::from(is_admitted(node, 0, 4, at(ms))) * COST.get();
            }
        }
        if ms % 1_000 == 0 {
            let demands = nodes.iter().map(|node| node.largest_demands(1, at(ms)));
            let demands: Vec<u64> = demands.map(|d| d.first().map_or(0, |d| d.1.get())).collect();
            for (position, node) in nodes.iter().enumerate() {
                let others = demands.iter().sum::<u64>() - demands[position];
                node.set_other_demand(&organisation(0), TokensPerSecond::new(others), at(ms));
            }
        }
    }

    // Assert: a burst of 2 s may be used once, and a request more at each node.
    let most = LIMIT.get() * 62 + 4 * COST.get();
    assert!(admitted_tokens <= most, "{admitted_tokens} of {most}");
    assert!(admitted_tokens >= LIMIT.get() * 57, "{admitted_tokens}");
}

/// Guards against a small organisation that is held back by the demand of a large one.
#[test]
fn organisations_do_not_share_an_allowance() {
    // Arrange
    let limits = limits();
    while is_admitted(&limits, 0, 1, at(0)) {}

    // Act
    let other = is_admitted(&limits, 1, 1, at(0));

    // Assert
    assert!(other);
}

/// Guards against a caller that is told to come back when it would be rejected again.
#[test]
fn retry_after_is_long_enough() {
    // Arrange
    let limits = limits();
    let limit = ZoneLimit { limit: LIMIT, nodes: 1 };
    let ask = |cost, now| limits.try_admit(&organisation(0), limit, Tokens::new(cost), now);
    ask(50_000, at(0));

    // Act
    let rejected = ask(100, at(0));

    // Assert
    let LimitDecision::Rejected { retry_after_ms } = rejected else { panic!("{rejected:?}") };
    assert_eq!(retry_after_ms, 3_001);
    assert!(matches!(ask(100, at(retry_after_ms - 2)), LimitDecision::Rejected { .. }));
    assert_eq!(ask(100, at(retry_after_ms)), LimitDecision::Admitted);
}

/// Guards against charging an answer that was shorter than expected.
#[test]
fn settling_returns_what_was_not_used() {
    // Arrange
    let limits = limits();
    let limit = ZoneLimit { limit: LIMIT, nodes: 1 };
    limits.try_admit(&organisation(0), limit, Tokens::new(50_000), at(0));

    // Act
    limits.adjust(&organisation(0), Tokens::new(50_000), Tokens::new(10_000));

    // Assert
    assert!(is_admitted(&limits, 0, 1, at(0)));
}

/// Guards against a table that grows with every organisation ever seen.
#[test]
fn tracked_organisations_are_bounded() {
    // Arrange
    let limits = OrganisationLimits::new(LimitSettings::default().max_organisations(640));

    // Act
    for number in 0..5_000 {
        is_admitted(&limits, number, 1, at(number as u64));
    }

    // Assert
    assert!(limits.tracked_organisations() <= 640);
}

proptest! {
    #![proptest_config(property_config::fixed(128, 0x11_417))]

    /// Guards against parts that add up to more than the limit, or to noticeably less.
    #[test]
    fn parts_add_up_to_the_limit(
        limit in 1u64..10_000_000,
        demands in prop::collection::vec(0u64..1_000_000, 1..60),
    ) {
        // Arrange
        let zone: u64 = demands.iter().sum();
        let nodes = demands.len() as u32;
        let part = |&own: &u64| {
            let (own, zone) = (TokensPerSecond::new(own), TokensPerSecond::new(zone));
            node_share(TokensPerSecond::new(limit), nodes, own, Some(zone)).get()
        };

        // Act
        let sum: u64 = demands.iter().map(part).sum();

        // Assert
        prop_assert!(sum <= limit && sum + u64::from(nodes) >= limit, "{sum} of {limit}");
    }
}
