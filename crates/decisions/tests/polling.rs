//! Tests of the read schedule and the event read budget.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yuccapass_decisions::polling::{EventReadBudget, OtherRegionReads, PollSettings};
use yuccapass_types::{Bytes, BytesPerSecond, Instant, RequestsPerSecond};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Naive reference: searches for the shortest period within the bounds that keeps to the budget.
fn naive_period_ms(endpoints: u64, reads_per_s: u64, min_ms: u64, max_ms: u64) -> u64 {
    (min_ms..=max_ms)
        .find(|period_ms| endpoints * 1_000 <= reads_per_s * period_ms)
        .unwrap_or(max_ms)
}

/// Guards against endpoints of other regions that are read without need, or are not read while the
/// node's own region has no capacity.
#[test]
fn other_regions_are_read_while_needed_and_for_some_time_after() {
    // Arrange
    let settings = PollSettings::default().other_region_hold_ms(1_000);
    let mut other_regions = OtherRegionReads::default();

    // Act
    other_regions.observe(true, at(0));
    let before = other_regions.are_needed(&settings, at(0));
    other_regions.observe(false, at(100));
    other_regions.observe(true, at(200));
    let soon_after = other_regions.are_needed(&settings, at(1_099));
    let late_after = other_regions.are_needed(&settings, at(1_100));

    // Assert
    assert_eq!((before, soon_after, late_after), (false, true, false));
}

/// Guards against a large listing whose debt stops all reads of events for minutes.
#[test]
fn debt_is_bounded() {
    // Arrange
    let mut budget = EventReadBudget::new(BytesPerSecond::new(1_000), Bytes::new(5_000), at(0));

    // Act
    budget.charge(Bytes::new(1_000_000), at(0));

    // Assert
    assert!(!budget.may_read(at(4_999)));
    assert!(budget.may_read(at(5_000)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(0x9011),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a period above the maximum, below the minimum, or longer than the budget needs.
    #[test]
    fn period_matches_the_naive_reference(
        endpoints in 0u64..2_000,
        reads_per_s in 1u64..500,
        min_ms in 1u64..500,
        spread_ms in 0u64..5_000,
    ) {
        // Arrange
        let settings = PollSettings::default()
            .reads(RequestsPerSecond::new(reads_per_s))
            .min_period_ms(min_ms)
            .max_period_ms(min_ms + spread_ms);

        // Act
        let period_ms = settings.period_ms(endpoints as usize);

        // Assert
        let expected_ms = naive_period_ms(endpoints, reads_per_s, min_ms, min_ms + spread_ms);
        prop_assert_eq!(period_ms, expected_ms);
    }

    /// Guards against a next read later than the period, reads that exceed the budget by more than
    /// jitter and rounding, and a next read that is not in the future.
    #[test]
    fn next_read_is_within_the_period_and_near_it(
        now_ms in 0u64..1_000_000,
        endpoints in 0usize..2_000,
        seed: u64,
    ) {
        // Arrange
        let settings = PollSettings::default();
        let mut random = StdRng::seed_from_u64(seed);

        // Act
        let next = settings.next_read(at(now_ms), endpoints, &mut random);

        // Assert
        let (delay_ms, period_ms) = (next.ms_since(at(now_ms)), settings.period_ms(endpoints));
        let rounded_ms = period_ms.next_multiple_of(250);
        prop_assert!(0 < delay_ms && delay_ms <= rounded_ms && rounded_ms <= 2_000);
        prop_assert!(next.ms_since(at(now_ms / 250 * 250)) * 4 >= rounded_ms * 3);
        prop_assert_eq!(next.as_ms() % 250, 0);
    }

    /// Guards against reads that are first scheduled together and then all happen at once.
    #[test]
    fn first_reads_spread_over_the_period(seed: u64) {
        // Arrange
        let settings = PollSettings::default();
        let mut random = StdRng::seed_from_u64(seed);

        // Act
        let mut reads = [0; 9];
        for _ in 0..425 {
            let first = settings.first_read(at(1_000), 425, &mut random);
            reads[(first.as_ms() - 1_000) as usize / 250] += 1;
        }

        // Assert
        prop_assert_eq!(reads[0], 0);
        prop_assert!(reads.iter().all(|&at_once| at_once < 425 / 2), "{:?}", reads);
    }

    /// Guards against reading more bytes than the rate, the capacity and one more read allow.
    #[test]
    fn bytes_read_are_bounded(
        rate in 1u64..100_000,
        capacity in 0u64..100_000,
        reads in prop::collection::vec((0u64..2_000, 0u64..20_000), 1..200),
    ) {
        // Arrange
        let (rate_bytes, capacity_bytes) = (BytesPerSecond::new(rate), Bytes::new(capacity));
        let mut budget = EventReadBudget::new(rate_bytes, capacity_bytes, at(0));
        let mut now_ms = 0;
        // The budget forgives debt beyond its capacity, so no read here is larger.
        let size = |bytes: u64| bytes.min(capacity);

        // Act
        let mut read_bytes = 0;
        for (pause_ms, bytes) in reads {
            now_ms += pause_ms;
            if budget.may_read(at(now_ms)) {
                budget.charge(Bytes::new(size(bytes)), at(now_ms));
                read_bytes += size(bytes);
            }
        }

        // Assert
        prop_assert!(read_bytes <= capacity + rate * now_ms / 1_000 + capacity);
    }
}
