//! KV cache blocks with a seal that shows whether they are complete.

use crate::block::BlockHash;

/// A complete KV cache block for export and import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChecksummedBlock {
    /// The prefix that the block ends.
    pub hash: BlockHash,
    /// Number of the write that filled the block; a block that is written again has a new one.
    pub generation: u64,
    /// BLAKE3 hash of block hash, generation and payload, made when the write was complete.
    pub checksum: [u8; 32],
    /// The payload.
    pub payload: Vec<u8>,
}

impl ChecksummedBlock {
    /// Seals a payload whose write is complete.
    pub fn new(hash: BlockHash, generation: u64, payload: Vec<u8>) -> Self {
        let checksum = Self::checksum_of(hash, generation, &payload);
        Self { hash, generation, checksum, payload }
    }

    /// Returns whether the payload is the one that was sealed.
    pub fn is_intact(&self) -> bool {
        Self::checksum_of(self.hash, self.generation, &self.payload) == self.checksum
    }

    /// Returns the checksum as 64 hexadecimal digits.
    pub fn checksum_text(&self) -> String {
        blake3::Hash::from_bytes(self.checksum).to_hex().to_string()
    }

    /// Parses a checksum from 64 hexadecimal digits.
    pub fn parse_checksum(text: &str) -> Option<[u8; 32]> {
        blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
    }

    fn checksum_of(hash: BlockHash, generation: u64, payload: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&hash.to_bits().to_be_bytes());
        hasher.update(&generation.to_be_bytes());
        hasher.update(payload);
        *hasher.finalize().as_bytes()
    }
}
