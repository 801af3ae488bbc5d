//! Large values that this node knows, and their transfers between a relay and its followers.

use std::sync::{Mutex, MutexGuard, PoisonError};

use smol_str::SmolStr;
use yuccapass_decisions::gateway::relay::{
    EncodedValues, HeldValues, LARGE_VALUE, RelayItem, RelayedReference, TransferStep, ValueDigest,
    ValuePiece, ValueRequest, ValueTransfer,
};
use yuccapass_peers::{ValueCodec, ZstdCodec};
use yuccapass_platform::{Entry, MAX_VALUE_BYTES};
use yuccapass_types::{Bytes, NodeId};

use super::list_key;

/// Maximum size of the list of a topic: several times that of 3,000 endpoints.
const MAX_LIST: Bytes = Bytes::new(8 << 20);

/// What became of changes with references.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Resolution {
    /// All values are known.
    Ready(Vec<RelayItem>),
    /// A value is on its way.
    Transferring,
    /// The relay does not send a value.
    Unavailable,
}

#[derive(Debug, Default)]
enum TransferState {
    #[default]
    Idle,
    Running(ValueTransfer),
    Failed(NodeId, ValueDigest),
}

/// The large values of a node. Each lock is held by itself.
pub(crate) struct ValueTable {
    held: Mutex<HeldValues>,
    encoded: Mutex<EncodedValues>,
    transfer: Mutex<TransferState>,
    codec: Box<dyn ValueCodec>,
}

impl Default for ValueTable {
    fn default() -> Self {
        Self {
            held: Mutex::default(),
            encoded: Mutex::default(),
            transfer: Mutex::default(),
            codec: Box::new(ZstdCodec),
        }
    }
}

impl ValueTable {
    /// Holds the large values of a list.
    pub(crate) fn hold(&self, entries: &[Entry]) {
        let is_large = |entry: &&Entry| entry.value.as_bytes().len() as u64 >= LARGE_VALUE.get();
        for entry in entries.iter().filter(is_large) {
            lock(&self.held).hold(&entry.key.as_str().into(), entry.value.as_bytes());
        }
    }

    /// Holds the encoded list of a topic.
    pub(super) fn hold_list(&self, topic: &SmolStr, list: &[u8]) -> ValueDigest {
        lock(&self.held).hold(&list_key(topic), list)
    }

    /// Begins to transfer the list of a topic.
    pub(super) fn list_transfer(
        &self,
        node: &NodeId,
        topic: &SmolStr,
        digest: ValueDigest,
    ) -> ValueTransfer {
        let reference = RelayedReference { key: list_key(topic), digest, revision: 0 };
        ValueTransfer::new(node.clone(), &reference, &HeldValues::default())
    }

    /// Decodes the list of a topic; returns `None` if it is not the one with this digest.
    pub(super) fn decode_list(&self, encoded: &[u8], digest: ValueDigest) -> Option<Vec<u8>> {
        let list = self.codec.decode(None, encoded, MAX_LIST).ok()?;
        (ValueDigest::of(&list) == digest).then_some(list)
    }

    /// Holds the large values among changes, and replaces them with references.
    pub(super) fn refer(&self, items: Vec<(u64, RelayItem)>) -> Vec<(u64, RelayItem)> {
        lock(&self.held).refer(items)
    }

    /// Returns the piece of a value that a follower requests.
    pub(super) fn piece(&self, request: &ValueRequest) -> Option<ValuePiece> {
        let held = lock(&self.held).clone();
        let encode = |base: Option<&[u8]>, value: &[u8]| self.codec.encode(base, value);
        match lock(&self.encoded).piece(request, &held, encode) {
            Ok(piece) => piece,
            Err(error) => {
                log::warn!(key = request.key.as_str(), error:%; "a value could not be encoded");
                None
            }
        }
    }

    /// Returns the request to a relay for the next piece of the value that it sends.
    pub(super) fn next_request(&self, relay: &NodeId) -> Option<ValueRequest> {
        match &*lock(&self.transfer) {
            TransferState::Running(transfer) if transfer.relay() == relay => {
                Some(transfer.request())
            }
            _ => None,
        }
    }

    /// Records the answer to the last request to a relay.
    pub(super) fn record_piece(&self, piece: Option<ValuePiece>) {
        let mut state = lock(&self.transfer);
        let TransferState::Running(transfer) = &mut *state else { return };
        let step = transfer.record(piece);
        let (relay, key, digest) =
            (transfer.relay().clone(), transfer.key().clone(), transfer.digest());
        let (base, encoded) = match step {
            TransferStep::Continue => return,
            TransferStep::Failed => {
                log::info!(
                    relay = relay.as_str(), key = key.as_str(), digest:%;
                    "a relay does not send a value"
                );
                *state = TransferState::Failed(relay, digest);
                return;
            }
            TransferStep::Complete(base, encoded) => (base, encoded),
        };
        *state = TransferState::Idle;
        drop(state);
        let held = lock(&self.held).clone();
        let base_value = base.and_then(|base| held.get(&key, base));
        let limit = Bytes::new(MAX_VALUE_BYTES as u64);
        let decoded = self.codec.decode(base_value.as_deref(), &encoded, limit);
        match decoded {
            Ok(value) if ValueDigest::of(&value) == digest => {
                lock(&self.held).hold(&key, &value);
                log::info!(
                    relay = relay.as_str(), key = key.as_str(), bytes = value.len(),
                    encoded_bytes = encoded.len(), is_difference = base.is_some();
                    "a value was transferred"
                );
            }
            result => {
                let error = result.err().map(|error| error.to_string());
                log::warn!(
                    relay = relay.as_str(), key = key.as_str(), digest:%,
                    error = error.unwrap_or_else(|| "another digest".to_owned());
                    "a value could not be decoded"
                );
                *lock(&self.transfer) = TransferState::Failed(relay, digest);
            }
        }
    }

    /// Replaces the references among changes of a relay with the values, and begins to transfer one that is
    /// not known.
    pub(super) fn resolve(&self, relay: &NodeId, items: Vec<RelayItem>) -> Resolution {
        let held = lock(&self.held).clone();
        match held.resolve(items) {
            Ok(items) => Resolution::Ready(items),
            Err(reference) => self.begin_transfer(relay, &reference, &held),
        }
    }

    fn begin_transfer(
        &self,
        relay: &NodeId,
        reference: &RelayedReference,
        held: &HeldValues,
    ) -> Resolution {
        let mut state = lock(&self.transfer);
        match &*state {
            TransferState::Failed(failed, digest)
                if (failed, *digest) == (relay, reference.digest) =>
            {
                return Resolution::Unavailable;
            }
            // A newer value of a key replaces the one that is on its way; another key waits.
            TransferState::Running(transfer)
                if transfer.is_of(relay, reference)
                    || (transfer.relay() == relay && *transfer.key() != reference.key) => {}
            _ => {
                *state = TransferState::Running(ValueTransfer::new(relay.clone(), reference, held))
            }
        }
        Resolution::Transferring
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
