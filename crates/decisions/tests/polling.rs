//! Tests of the schedule of reads.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yuccapass_decisions::polling::{EventReadBudget, OtherRegionReads, PollSettings};
use yuccapass_types::{Bytes, BytesPerSecond, Instant, RequestsPerSecond};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// The period, written as the rule says it: the shortest one that keeps to the budget, if it is
/// within the bounds.
fn naive_period_ms(endpoints: u64, reads_per_s: u64, least_ms: u64, most_ms: u64) -> u64 {
    (least_ms..=most_ms)
        .find(|period_ms| endpoints * 1_000 <= reads_per_s * period_ms)
        .unwrap_or(most_ms)
}

/// Guards against endpoints of other regions that are read without need, or no longer read while
/// the own region has no room.
#[test]
fn spare_endpoints_are_read_while_needed_and_for_some_time_after() {
    // Arrange
    let settings = PollSettings::default().other_region_hold_ms(1_000);
    let mut spares = OtherRegionReads::default();

    // Act
    spares.observe(true, at(0));
    let before = spares.are_needed(&settings, at(0));
    spares.observe(false, at(100));
    spares.observe(true, at(200));
    let soon_after = spares.are_needed(&settings, at(1_099));
    let late_after = spares.are_needed(&settings, at(1_100));

    // Assert
    assert_eq!((before, soon_after, late_after), (false, true, false));
}

/// Guards against a listing whose debt stops all reads of events for minutes.
#[test]
fn debt_is_bounded() {
    // Arrange
    let mut allowance = EventReadBudget::new(BytesPerSecond::new(1_000), Bytes::new(5_000), at(0));

    // Act
    allowance.charge(Bytes::new(1_000_000), at(0));

    // Assert
    assert!(!allowance.may_read(at(4_999)));
    assert!(allowance.may_read(at(5_000)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(0x9011),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a period above the longest one, below the shortest, or longer than needed.
    #[test]
    fn period_is_as_the_naive_version_says(
        endpoints in 0u64..2_000,
        reads_per_s in 1u64..500,
        least_ms in 1u64..500,
        spread_ms in 0u64..5_000,
    ) {
        // Arrange
        let settings = PollSettings::default()
            .reads(RequestsPerSecond::new(reads_per_s))
            .min_period_ms(least_ms)
            .max_period_ms(least_ms + spread_ms);

        // Act
        let period_ms = settings.period_ms(endpoints as usize);

        // Assert
        let expected_ms = naive_period_ms(endpoints, reads_per_s, least_ms, least_ms + spread_ms);
        prop_assert_eq!(period_ms, expected_ms);
    }

    /// Guards against an endpoint that is not read for longer than the period, against reads that
    /// exceed the budget by more than the jitter and the grid, and against a time that has passed.
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

    /// Guards against readers that start together and then all read at once.
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

    /// Guards against more bytes than the rate, the burst and one read allow.
    #[test]
    fn bytes_read_are_bounded(
        rate in 1u64..100_000,
        most in 0u64..100_000,
        reads in prop::collection::vec((0u64..2_000, 0u64..20_000), 1..200),
    ) {
        // Arrange
        let (rate_bytes, most_bytes) = (BytesPerSecond::new(rate), Bytes::new(most));
        let mut allowance = EventReadBudget::new(rate_bytes, most_bytes, at(0));
        let mut now_ms = 0;
        // A debt beyond the bound is forgotten, so sizes are kept below it.
        let size = |bytes: u64| bytes.min(most);

        // Act
        let mut read_bytes = 0;
        for (pause_ms, bytes) in reads {
            now_ms += pause_ms;
            if allowance.may_read(at(now_ms)) {
                allowance.charge(Bytes::new(size(bytes)), at(now_ms));
                read_bytes += size(bytes);
            }
        }

        // Assert
        prop_assert!(read_bytes <= most + rate * now_ms / 1_000 + most);
    }
}
