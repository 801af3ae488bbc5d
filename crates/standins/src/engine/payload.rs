//! The payload of exported blocks.

use yuccapass_types::{BlockHash, WeightVersion};

/// Bytes at the start of a payload that hold the block's position.
const POSITION_BYTES: usize = 4;

/// Returns the payload that an engine with this weight version computes for a block.
///
/// The payload starts with the block's position, so that an engine that imports the block can list
/// it. The rest depends only on block and version, so that a payload of another block or version
/// can be recognised.
pub fn block_payload(
    block: BlockHash,
    position_blocks: u32,
    version: &WeightVersion,
    payload_bytes: usize,
) -> Vec<u8> {
    let mut payload = vec![0; payload_bytes.max(POSITION_BYTES)];
    let (position, content) = payload.split_at_mut(POSITION_BYTES);
    position.copy_from_slice(&position_blocks.to_be_bytes());
    let mut hasher = blake3::Hasher::new();
    hasher.update(&block.to_bits().to_be_bytes());
    hasher.update(version.as_str().as_bytes());
    hasher.finalize_xof().fill(content);
    payload
}

/// Returns the block's position that a payload starts with.
pub(crate) fn payload_position(payload: &[u8]) -> Option<u32> {
    let (bytes, _) = payload.split_first_chunk::<POSITION_BYTES>()?;
    Some(u32::from_be_bytes(*bytes))
}
