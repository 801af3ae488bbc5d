//! Storage of the configuration in the platform: content-addressed chunks, and one manifest.

use smol_str::format_smolstr;
use yuccapass_decisions::config::{ActiveConfig, ChunkHash, Manifest};
use yuccapass_platform::{
    Compare, Entry, Key, KeyValue, PlatformError, PlatformErrorKind, Transaction,
    TransactionOutcome, Value, Write,
};
use yuccapass_types::Deadline;

/// Maximum number of attempts to write a chunk while the outcome is unknown. Each attempt may take
/// the full timeout of a platform call.
const MAX_CHUNK_ATTEMPTS: u32 = 4;

/// Returns the key of the manifest.
pub(crate) fn manifest_key() -> Key {
    "yuccapass/configuration/manifest".parse().expect("the text is a valid key")
}

/// Returns the key of a chunk.
pub(crate) fn chunk_key(hash: &ChunkHash) -> Key {
    let text = format_smolstr!("yuccapass/configuration/chunks/{hash}");
    text.parse().expect("a prefix and hexadecimal digits are a valid key")
}

/// Writes the chunks of a configuration that `is_wanted` selects.
///
/// Chunks are content-addressed, so writing one twice is harmless. They take effect only once the
/// manifest refers to them.
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

/// Writes one chunk; repeats the write if its outcome is unknown.
async fn write_chunk(
    key_value: &dyn KeyValue,
    transaction: &Transaction,
    deadline: Deadline,
) -> Result<(), PlatformError> {
    for _ in 0..MAX_CHUNK_ATTEMPTS {
        match key_value.compare_and_swap(transaction, deadline).await {
            Err(error) if error.kind() == PlatformErrorKind::Unknown => {}
            other => return other.map(|_| ()),
        }
    }
    let detail = "answers to writes of a chunk were lost several times";
    Err(PlatformError::new(PlatformErrorKind::Unavailable, detail))
}

/// Replaces the manifest if the platform still holds the entry that was read, or none.
pub(crate) async fn swap_manifest(
    key_value: &dyn KeyValue,
    current: Option<&Entry>,
    manifest: &Manifest,
    deadline: Deadline,
) -> Result<TransactionOutcome, PlatformError> {
    let key = manifest_key();
    let compare = match current {
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
