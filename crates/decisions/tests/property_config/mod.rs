//! The configuration of property tests.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Runs `cases` cases from a fixed seed and writes no files.
pub fn fixed(cases: u32, seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}
