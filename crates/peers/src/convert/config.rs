//! Conversion of configuration messages.

use bytes::Bytes;
use yuccapass_types::Revision;

use super::{check_count, parse_hash};
use crate::error::DecodeError;
use crate::message::{ConfigChunk, ConfigRequest, MAX_CHUNK_BYTES};
use crate::wire::{WireConfigChunk, WireConfigRequest};

impl From<ConfigRequest> for WireConfigRequest {
    fn from(request: ConfigRequest) -> Self {
        Self {
            revision: request.revision.get(),
            chunk: request.chunk.map(|hash| Bytes::copy_from_slice(&hash)).unwrap_or_default(),
            offset_bytes: request.offset_bytes,
        }
    }
}

impl TryFrom<WireConfigRequest> for ConfigRequest {
    type Error = DecodeError;

    fn try_from(wire: WireConfigRequest) -> Result<Self, DecodeError> {
        let chunk = match wire.chunk.is_empty() {
            true => None,
            false => Some(parse_hash("chunk", &wire.chunk)?),
        };
        let revision = Revision::new(wire.revision);
        Ok(Self { revision, chunk, offset_bytes: wire.offset_bytes })
    }
}

impl From<ConfigChunk> for WireConfigChunk {
    fn from(chunk: ConfigChunk) -> Self {
        Self { revision: chunk.revision.get(), bytes: chunk.bytes }
    }
}

impl TryFrom<WireConfigChunk> for ConfigChunk {
    type Error = DecodeError;

    fn try_from(wire: WireConfigChunk) -> Result<Self, DecodeError> {
        check_count("bytes", wire.bytes.as_ref().map_or(0, Bytes::len), MAX_CHUNK_BYTES)?;
        Ok(Self { revision: Revision::new(wire.revision), bytes: wire.bytes })
    }
}
