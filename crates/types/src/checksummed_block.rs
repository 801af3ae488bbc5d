//! KV cache blocks with a checksum that shows whether they are complete.

use crate::block::BlockHash;

/// A complete KV cache block for export and import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChecksummedBlock {
    /// Hash of the prompt prefix up to the end of the block.
    pub hash: BlockHash,
    /// Number of the write that filled the block; it changes when the block is written again.
    pub generation: u64,
    /// BLAKE3 hash of block hash, generation and payload, computed when the write was complete.
    pub checksum: [u8; 32],
    /// The payload.
    pub payload: Vec<u8>,
}

impl ChecksummedBlock {
    /// Creates a block from a payload whose write is complete, and computes its checksum.
    pub fn new(hash: BlockHash, generation: u64, payload: Vec<u8>) -> Self {
        let checksum = Self::compute_checksum(hash, generation, &payload);
        Self { hash, generation, checksum, payload }
    }

    /// Returns whether hash, generation and payload match the checksum.
    pub fn is_intact(&self) -> bool {
        Self::compute_checksum(self.hash, self.generation, &self.payload) == self.checksum
    }

    /// Returns the checksum as 64 hexadecimal digits.
    pub fn checksum_text(&self) -> String {
        blake3::Hash::from_bytes(self.checksum).to_hex().to_string()
    }

    /// Parses a checksum from 64 hexadecimal digits.
    pub fn parse_checksum(text: &str) -> Option<[u8; 32]> {
        blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
    }

    fn compute_checksum(hash: BlockHash, generation: u64, payload: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&hash.to_bits().to_be_bytes());
        hasher.update(&generation.to_be_bytes());
        hasher.update(payload);
        *hasher.finalize().as_bytes()
    }
}
