//! Seeded random choices.

/// Draws a number from 0 to 1 that depends only on its arguments.
///
/// A draw by name instead of from a generator makes faults independent of the order in which
/// threads handle requests.
pub fn draw(seed: u64, name: &str, key: &str) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes());
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    // 53 bits are what an f64 holds exactly, so the result is always below 1.
    (u64::from_be_bytes(bytes) >> 11) as f64 / (1u64 << 53) as f64
}
