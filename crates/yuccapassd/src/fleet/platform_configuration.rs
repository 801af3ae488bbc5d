//! The configuration as the platform keeps it: chunks named by their content, and one manifest.

use smol_str::format_smolstr;
use yuccapass_decisions::config::{ActiveConfig, ChunkHash, Manifest};
use yuccapass_platform::{
    Compare, Entry, Key, KeyValue, PlatformError, PlatformErrorKind, Transaction,
    TransactionOutcome, Value, Write,
};
use yuccapass_types::Deadline;

/// Tries of writing a chunk whose answer is lost; each may take the timeout of an attempt.
const MAX_CHUNK_WRITES: u32 = 4;

/// Returns the key of the manifest.
pub(crate) fn manifest_key() -> Key {
    "yuccapass/configuration/manifest".parse().expect("the text is a valid key")
}

/// Returns the key of a chunk.
pub(crate) fn chunk_key(hash: &ChunkHash) -> Key {
    let text = format_smolstr!("yuccapass/configuration/chunks/{hash}");
    text.parse().expect("a prefix and hexadecimal digits are a valid key")
}

/// Writes the chunks of a configuration that `is_wanted` names.
///
/// They are named by their content, so writing one twice changes nothing, and none counts before
/// the manifest names it.
pub(crate) async fn write_chunks(
    key_value: &dyn KeyValue,
    config: &ActiveConfig,
    is_wanted: impl Fn(&ChunkHash) -> bool + Send + Sync,
    deadline: Deadline,
) -> Result<(), PlatformError> {
    for hash in config.manifest().chunks.iter().filter(|hash| is_wanted(hash)) {
        let Some(bytes) = config.chunk_bytes(hash) else { continue };
        let write = Write::Put { key: chunk_key(hash), value: value(bytes)?, lease: None };
        let transaction = Transaction { compares: Vec::new(), writes: vec![write] };
        write_chunk(key_value, &transaction, deadline).await?;
    }
    Ok(())
}

/// Writes one chunk, again if the answer was lost.
async fn write_chunk(
    key_value: &dyn KeyValue,
    transaction: &Transaction,
    deadline: Deadline,
) -> Result<(), PlatformError> {
    for _ in 0..MAX_CHUNK_WRITES {
        match key_value.compare_and_swap(transaction, deadline).await {
            Err(error) if error.kind() == PlatformErrorKind::Unknown => {}
            other => return other.map(|_| ()),
        }
    }
    let detail = "answers to writes of a chunk were lost several times";
    Err(PlatformError::new(PlatformErrorKind::Unavailable, detail))
}

/// Replaces the manifest if it is still the entry that was read.
pub(crate) async fn swap_manifest(
    key_value: &dyn KeyValue,
    held: Option<&Entry>,
    manifest: &Manifest,
    deadline: Deadline,
) -> Result<TransactionOutcome, PlatformError> {
    let key = manifest_key();
    let compare = match held {
        Some(entry) => Compare::ModRevision(key.clone(), entry.mod_revision),
        None => Compare::Absent(key.clone()),
    };
    let write = Write::Put { key, value: value(manifest.encode())?, lease: None };
    let transaction = Transaction { compares: vec![compare], writes: vec![write] };
    key_value.compare_and_swap(&transaction, deadline).await
}

fn value(bytes: Vec<u8>) -> Result<Value, PlatformError> {
    Value::new(bytes)
        .map_err(|error| PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string()))
}
