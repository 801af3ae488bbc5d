//! Headers that carry the seal of a block whose payload is the body.

use crate::model_endpoint::SealedBlock;

/// Name of the header with the generation, a decimal number.
pub const GENERATION: &str = "x-block-generation";

/// Name of the header with the checksum, 64 hexadecimal digits.
pub const CHECKSUM: &str = "x-block-checksum";

/// Passes the headers of a block to `insert_header`.
pub fn insert(block: &SealedBlock, mut insert_header: impl FnMut(&'static str, String)) {
    insert_header(GENERATION, block.generation.to_string());
    let checksum = blake3::Hash::from_bytes(block.checksum);
    insert_header(CHECKSUM, checksum.to_hex().to_string());
}

/// Reads the generation and the checksum; returns `None` if either is absent or not valid.
pub fn parse<'a>(header: impl Fn(&str) -> Option<&'a str>) -> Option<(u64, [u8; 32])> {
    let generation = header(GENERATION)?.parse().ok()?;
    let checksum = blake3::Hash::from_hex(header(CHECKSUM)?).ok()?;
    Some((generation, *checksum.as_bytes()))
}
