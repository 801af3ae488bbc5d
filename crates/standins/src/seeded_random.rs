//! Reproducible random choices.

/// Returns a pseudorandom number from 0 up to but not including 1 that depends only on the
/// arguments.
///
/// A hash of the arguments instead of the next value of a generator makes faults independent of the
/// order in which threads handle requests.
pub fn seeded_random(seed: u64, name: &str, key: &str) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes());
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    // An f64 holds 53 bits exactly, so the result is not rounded up to 1.
    (u64::from_be_bytes(bytes) >> 11) as f64 / (1u64 << 53) as f64
}
