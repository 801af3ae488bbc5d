//! The encoding of large values in messages.

use std::io::{self, Read, Write};

use snafu::{ResultExt, Snafu};
use yuccapass_types::Bytes;

/// Compression level: most of the effect of higher ones, at a few milliseconds for a value of 1 MB.
const LEVEL: i32 = 3;

/// Logarithm of the window, which has to span a base and a value of 1 MB each.
const WINDOW_LOG: u32 = 21;

/// The error of a [`ValueCodec`].
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum ValueCodecError {
    /// The codec has failed, for example on bytes that it has not encoded.
    #[snafu(display("the codec has failed: {source}"))]
    Codec {
        /// The cause.
        source: io::Error,
    },
    /// The value is too large.
    #[snafu(display("the value has more than {limit}"))]
    TooLarge {
        /// The maximum size.
        limit: Bytes,
    },
}

/// Encodes values as the difference from an earlier one.
pub trait ValueCodec: Send + Sync {
    /// Encodes a value, as the difference from `base` if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the codec does.
    fn encode(&self, base: Option<&[u8]>, value: &[u8]) -> Result<Vec<u8>, ValueCodecError>;

    /// Decodes a value of at most `limit` that was encoded with the same base.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid or the value is larger. With another base, the value may be wrong.
    fn decode(
        &self,
        base: Option<&[u8]>,
        encoded: &[u8],
        limit: Bytes,
    ) -> Result<Vec<u8>, ValueCodecError>;
}

/// A [`ValueCodec`] that uses Zstandard, with the base as the prefix of the value.
#[derive(Debug, Clone, Copy, Default)]
pub struct ZstdCodec;

impl ValueCodec for ZstdCodec {
    fn encode(&self, base: Option<&[u8]>, value: &[u8]) -> Result<Vec<u8>, ValueCodecError> {
        let encode = || {
            let mut encoder =
                zstd::Encoder::with_ref_prefix(Vec::new(), LEVEL, base.unwrap_or_default())?;
            encoder.set_pledged_src_size(Some(value.len() as u64))?;
            encoder.window_log(WINDOW_LOG)?;
            // Without it, the distant parts of a large base are found only in part.
            encoder.long_distance_matching(true)?;
            encoder.write_all(value)?;
            encoder.finish()
        };
        encode().context(CodecSnafu)
    }

    fn decode(
        &self,
        base: Option<&[u8]>,
        encoded: &[u8],
        limit: Bytes,
    ) -> Result<Vec<u8>, ValueCodecError> {
        let mut value = Vec::new();
        let decode = |value: &mut Vec<u8>| {
            let decoder = zstd::Decoder::with_ref_prefix(encoded, base.unwrap_or_default())?;
            decoder.take(limit.get() + 1).read_to_end(value)
        };
        decode(&mut value).context(CodecSnafu)?;
        if value.len() as u64 > limit.get() {
            return Err(ValueCodecError::TooLarge { limit });
        }
        Ok(value)
    }
}
