//! What a store offers to placement, and what it says that it has.

use yuccapass_types::{Bytes, BytesPerSecond};

use crate::routing::holder::StoreTier;
use crate::routing::placement::ImportSource;

/// Expected rate and latency of a tier. A wrong value costs time at most: the import ends when
/// recomputation would have been done.
const fn expected(tier: StoreTier) -> (BytesPerSecond, u64) {
    match tier {
        StoreTier::Memory => (BytesPerSecond::new(100_000_000), 2),
        StoreTier::Disk => (BytesPerSecond::new(50_000_000), 10),
    }
}

/// Returns what a store is offered to placement with.
///
/// A store of another region is not offered: the link between the regions is narrow, billed and
/// shared with requests. Neither is one without a usable VM.
pub fn import_source(
    blocks: u32,
    tier: StoreTier,
    is_same_region: bool,
    has_usable_vm: bool,
) -> Option<ImportSource> {
    if blocks == 0 || !is_same_region || !has_usable_vm {
        return None;
    }
    let (rate, latency_ms) = expected(tier);
    Some(ImportSource { blocks, rate, latency_ms, allowance: Bytes::new(u64::MAX) })
}

/// Returns the positions, from 1, of the blocks of a prompt that a store is asked for: the powers
/// of two and the last one.
pub fn probe_positions(prompt_blocks: u32) -> Vec<u32> {
    let powers = (0..u32::BITS).map(|exponent| 1 << exponent);
    let mut positions: Vec<u32> = powers.take_while(|&power| power <= prompt_blocks).collect();
    if prompt_blocks > 0 && positions.last() != Some(&prompt_blocks) {
        positions.push(prompt_blocks);
    }
    positions
}

/// Returns the prefix that a store seems to have from its answers for [`probe_positions`], and the
/// slowest tier that it lies in.
pub fn stored_prefix(positions: &[u32], answers: &[Option<StoreTier>]) -> Option<(u32, StoreTier)> {
    let present = positions
        .iter()
        .zip(answers)
        .map_while(|(&position, tier)| tier.map(|tier| (position, tier)));
    present.reduce(|(_, slowest), (position, tier)| (position, slowest.max(tier)))
}
