//! Transfers of large values from relays to their followers, in pieces.

use std::collections::VecDeque;
use std::sync::Arc;

use smol_str::SmolStr;
use yuccapass_types::{Bytes, NodeId};

use super::held_values::{HeldValues, RelayedReference, ValueDigest};

/// Maximum size of a piece. The replies of a relay to 20 followers, each with a piece, take 0.26 s of a
/// link of 10 Mbit/s, well below the time after which a follower gives up its relay.
pub const MAX_PIECE: Bytes = Bytes::new(16 << 10);

/// Maximum size of an encoded value: that of a value in the key-value service, and some more if it cannot
/// be compressed.
const MAX_ENCODED: Bytes = Bytes::new((1 << 20) + (64 << 10));

/// Number of encoded values that a relay keeps: the differences from a few earlier values.
const MAX_KEPT: usize = 8;

/// A request of a follower for a piece of a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueRequest {
    /// The key.
    pub key: SmolStr,
    /// The digest of the value.
    pub digest: ValueDigest,
    /// A value that the follower holds, from which the difference may be sent.
    pub base: Option<ValueDigest>,
    /// The position in the encoded value from which bytes are requested.
    pub offset_bytes: u64,
}

/// A piece of an encoded value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValuePiece {
    /// The digest of the value.
    pub digest: ValueDigest,
    /// The value from which this is the difference; `None` if it is encoded by itself.
    pub base: Option<ValueDigest>,
    /// Its position in the encoded value.
    pub offset_bytes: u64,
    /// Length of the whole encoded value.
    pub total_bytes: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

#[derive(Debug, Clone)]
struct Encoded {
    key: SmolStr,
    digest: ValueDigest,
    base: Option<ValueDigest>,
    bytes: Arc<[u8]>,
}

/// The encoded values that a relay sends.
#[derive(Debug, Clone, Default)]
pub struct EncodedValues {
    // From the oldest to the newest.
    kept: VecDeque<Encoded>,
}

impl EncodedValues {
    /// Returns the requested piece, or `None` if the value is not held any more. `encode` encodes a value as
    /// the difference from a base or by itself; it is called once for each pair.
    pub fn piece<E>(
        &mut self,
        request: &ValueRequest,
        held: &HeldValues,
        encode: impl FnOnce(Option<&[u8]>, &[u8]) -> Result<Vec<u8>, E>,
    ) -> Result<Option<ValuePiece>, E> {
        let Some(value) = held.get(&request.key, request.digest) else { return Ok(None) };
        let base = request.base.and_then(|base| Some((base, held.get(&request.key, base)?)));
        let base_digest = base.as_ref().map(|(digest, _)| *digest);
        let is_known = |encoded: &&Encoded| {
            (&encoded.key, encoded.digest, encoded.base)
                == (&request.key, request.digest, base_digest)
        };
        let bytes = match self.kept.iter().find(is_known) {
            Some(encoded) => Arc::clone(&encoded.bytes),
            None => {
                let bytes: Arc<[u8]> =
                    encode(base.as_ref().map(|(_, value)| &value[..]), &value)?.into();
                self.keep(request, base_digest, &bytes);
                bytes
            }
        };
        let begin = (request.offset_bytes as usize).min(bytes.len());
        let end = (begin + MAX_PIECE.get() as usize).min(bytes.len());
        Ok(Some(ValuePiece {
            digest: request.digest,
            base: base_digest,
            offset_bytes: begin as u64,
            total_bytes: bytes.len() as u64,
            bytes: bytes[begin..end].to_vec(),
        }))
    }

    fn keep(&mut self, request: &ValueRequest, base: Option<ValueDigest>, bytes: &Arc<[u8]>) {
        self.kept.push_back(Encoded {
            key: request.key.clone(),
            digest: request.digest,
            base,
            bytes: Arc::clone(bytes),
        });
        if self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
        }
    }
}

/// What follows a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferStep {
    /// More pieces are needed.
    Continue,
    /// All of the encoded value is here, as the difference from this base or by itself.
    Complete(Option<ValueDigest>, Vec<u8>),
    /// The relay does not send the value.
    Failed,
}

/// The transfer of one value from a relay to this node.
#[derive(Debug, Clone)]
pub struct ValueTransfer {
    relay: NodeId,
    key: SmolStr,
    digest: ValueDigest,
    base: Option<ValueDigest>,
    received: Vec<u8>,
}

impl ValueTransfer {
    /// Begins a transfer from a relay to a node that holds these values.
    pub fn new(relay: NodeId, reference: &RelayedReference, held: &HeldValues) -> Self {
        let base = held.newest(&reference.key);
        let (key, digest) = (reference.key.clone(), reference.digest);
        Self { relay, key, digest, base, received: Vec::new() }
    }

    /// Returns whether this is the transfer of a value from a relay.
    pub fn is_of(&self, relay: &NodeId, reference: &RelayedReference) -> bool {
        (&self.relay, &self.key, self.digest) == (relay, &reference.key, reference.digest)
    }

    /// Returns the relay that sends the value.
    pub fn relay(&self) -> &NodeId {
        &self.relay
    }

    /// Returns the key of the value.
    pub fn key(&self) -> &SmolStr {
        &self.key
    }

    /// Returns the digest of the value.
    pub fn digest(&self) -> ValueDigest {
        self.digest
    }

    /// Returns the request for the next piece.
    pub fn request(&self) -> ValueRequest {
        ValueRequest {
            key: self.key.clone(),
            digest: self.digest,
            base: self.base,
            offset_bytes: self.received.len() as u64,
        }
    }

    /// Records the answer to the request for the next piece; `None` if the relay has none.
    pub fn record(&mut self, piece: Option<ValuePiece>) -> TransferStep {
        let Some(piece) = piece.filter(|piece| piece.digest == self.digest) else {
            return TransferStep::Failed;
        };
        if piece.total_bytes > MAX_ENCODED.get()
            || piece.offset_bytes != self.received.len() as u64
            || piece.bytes.is_empty()
        {
            return TransferStep::Failed;
        }
        self.received.extend(piece.bytes);
        if (self.received.len() as u64) < piece.total_bytes {
            return TransferStep::Continue;
        }
        TransferStep::Complete(piece.base, std::mem::take(&mut self.received))
    }
}
