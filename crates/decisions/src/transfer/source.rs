//! Stores as import sources for placement, and how much of a prompt they have.

use yuccapass_types::{Bytes, BytesPerSecond};

use crate::routing::holder::StoreTier;
use crate::routing::placement::ImportSource;

/// Returns the expected rate and latency in milliseconds of a tier.
///
/// A wrong value can only cost time: an import is aborted once recomputation would have finished.
const fn expected_transfer(tier: StoreTier) -> (BytesPerSecond, u64) {
    match tier {
        StoreTier::Memory => (BytesPerSecond::new(100_000_000), 2),
        StoreTier::Disk => (BytesPerSecond::new(50_000_000), 10),
    }
}

/// Returns a store as an import source for placement, or `None` if blocks should not be imported.
///
/// A store in another region is not used, because the link between the regions has little
/// bandwidth, is billed and is shared with requests. Neither is a store without a usable VM.
pub fn import_source(
    blocks: u32,
    tier: StoreTier,
    is_same_region: bool,
    has_usable_vm: bool,
) -> Option<ImportSource> {
    if blocks == 0 || !is_same_region || !has_usable_vm {
        return None;
    }
    let (rate, latency_ms) = expected_transfer(tier);
    Some(ImportSource { blocks, rate, latency_ms, allowance: Bytes::new(u64::MAX) })
}

/// Returns the positions, from 1, of the blocks of a prompt whose presence a store is asked for:
/// the powers of two and the last one.
pub fn probe_positions(prompt_blocks: u32) -> Vec<u32> {
    let powers = (0..u32::BITS).map(|exponent| 1 << exponent);
    let mut positions: Vec<u32> = powers.take_while(|&power| power <= prompt_blocks).collect();
    if prompt_blocks > 0 && positions.last() != Some(&prompt_blocks) {
        positions.push(prompt_blocks);
    }
    positions
}

/// Returns the length of the prefix that a store has according to its answers for
/// [`probe_positions`], and the slowest tier that holds a part of it.
pub fn stored_prefix(positions: &[u32], answers: &[Option<StoreTier>]) -> Option<(u32, StoreTier)> {
    let present = positions
        .iter()
        .zip(answers)
        .map_while(|(&position, tier)| tier.map(|tier| (position, tier)));
    present.reduce(|(_, slowest), (position, tier)| (position, slowest.max(tier)))
}
