//! Salted hash chains over prompt prefixes.
//!
//! A prompt is cut into blocks of [`BLOCK_PROMPT_BYTES`] bytes. The hash of a block covers the hash
//! of the block before it, so equal hashes mean equal prefixes. The first block covers a
//! [`CacheSalt`], so the blocks of different organisations, models, weight versions or adapters
//! never have the same hash.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

use crate::ids::{AdapterId, ModelId, OrganisationId, WeightVersion};

/// Bytes of prompt text in one block; a partial last block is not cached.
pub const BLOCK_PROMPT_BYTES: usize = 256;

/// Separates fields in a salt; ids cannot contain it, so field boundaries are unambiguous.
const FIELD_SEPARATOR: [u8; 1] = [0];

/// Reports a block hash or salt that is not 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a block hash or salt is not 32 hexadecimal digits"))]
pub struct ParseBlockHashError;

/// The hash of a prompt prefix that ends at a block boundary.
///
/// 128 bits: at the target load of 230,000 prompts the chance of any collision is below 1e-25.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct BlockHash(u128);

impl BlockHash {
    /// Wraps the bits of a hash.
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits of the hash.
    pub const fn to_bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for BlockHash {
    type Err = ParseBlockHashError;

    fn from_str(text: &str) -> Result<Self, ParseBlockHashError> {
        parse_bits(text).map(Self)
    }
}

/// Separates the cached blocks of different organisations, models, weight versions and adapters.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct CacheSalt(u128);

impl CacheSalt {
    /// Derives the salt of an organisation's blocks for one model, weight version and adapter.
    pub fn derive(
        organisation: &OrganisationId,
        model: &ModelId,
        version: &WeightVersion,
        adapter: Option<&AdapterId>,
    ) -> Self {
        let mut hasher = blake3::Hasher::new();
        let adapter_text = adapter.map_or("", AdapterId::as_str);
        for field in [organisation.as_str(), model.as_str(), version.as_str(), adapter_text] {
            hasher.update(field.as_bytes());
            hasher.update(&FIELD_SEPARATOR);
        }
        Self(first_128_bits(&hasher))
    }
}

impl fmt::Display for CacheSalt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for CacheSalt {
    type Err = ParseBlockHashError;

    fn from_str(text: &str) -> Result<Self, ParseBlockHashError> {
        parse_bits(text).map(Self)
    }
}

/// Returns the hash of each whole block of `prompt`, first block first.
///
/// # Examples
///
/// ```
/// use yuccapass_types::{BLOCK_PROMPT_BYTES, CacheSalt, block_hash_chain};
///
/// let salt: CacheSalt = "000102030405060708090a0b0c0d0e0f".parse().unwrap();
/// let prompt = vec![b'x'; 2 * BLOCK_PROMPT_BYTES + 1];
/// assert_eq!(block_hash_chain(salt, &prompt).len(), 2);
/// ```
pub fn block_hash_chain(salt: CacheSalt, prompt: &[u8]) -> Vec<BlockHash> {
    let mut previous = salt.0;
    let mut chain = Vec::with_capacity(prompt.len() / BLOCK_PROMPT_BYTES);
    for block in prompt.chunks_exact(BLOCK_PROMPT_BYTES) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&previous.to_be_bytes());
        hasher.update(block);
        previous = first_128_bits(&hasher);
        chain.push(BlockHash(previous));
    }
    chain
}

fn first_128_bits(hasher: &blake3::Hasher) -> u128 {
    let mut bytes = [0; 16];
    hasher.finalize_xof().fill(&mut bytes);
    u128::from_be_bytes(bytes)
}

fn parse_bits(text: &str) -> Result<u128, ParseBlockHashError> {
    // from_str_radix alone would also accept a sign.
    if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(ParseBlockHashError);
    }
    u128::from_str_radix(text, 16).map_err(|_| ParseBlockHashError)
}
