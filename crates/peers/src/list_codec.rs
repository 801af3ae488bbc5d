//! The encoding of the list of a topic, which is transferred as one value.

use prost::Message;
use yuccapass_decisions::gateway::relay::RelayedEntry;

use crate::error::DecodeError;
use crate::wire::WireList;

/// Encodes the entries of a topic.
pub fn encode_list(entries: Vec<RelayedEntry>) -> Vec<u8> {
    WireList { entries: entries.into_iter().map(Into::into).collect() }.encode_to_vec()
}

/// Decodes the entries of a topic.
///
/// # Errors
///
/// Fails if the bytes are not an encoded list.
pub fn decode_list(bytes: &[u8]) -> Result<Vec<RelayedEntry>, DecodeError> {
    let list =
        WireList::decode(bytes).map_err(|error| DecodeError::new("list", error.to_string()))?;
    Ok(list.entries.into_iter().map(Into::into).collect())
}
