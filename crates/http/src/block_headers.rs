//! Headers that carry the generation and the checksum of a block whose payload is the body.

use yuccapass_types::ChecksummedBlock;

/// Name of the header with the generation, a decimal number.
pub const GENERATION: &str = "x-block-generation";

/// Name of the header with the checksum, 64 hexadecimal digits.
pub const CHECKSUM: &str = "x-block-checksum";

/// Calls `insert_header` with the name and value of each header of a block.
pub fn insert(block: &ChecksummedBlock, mut insert_header: impl FnMut(&'static str, String)) {
    insert_header(GENERATION, block.generation.to_string());
    insert_header(CHECKSUM, block.checksum_text());
}

/// Reads the generation and the checksum; returns `None` if either is absent or not valid.
pub fn parse<'a>(header: impl Fn(&str) -> Option<&'a str>) -> Option<(u64, [u8; 32])> {
    let generation = header(GENERATION)?.parse().ok()?;
    Some((generation, ChecksummedBlock::parse_checksum(header(CHECKSUM)?)?))
}
