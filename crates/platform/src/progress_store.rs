//! The progress of a rollout in the key-value service.

use yuccapass_decisions::rollout::{Progress, WriteOutcome};
use yuccapass_types::Deadline;

use crate::client::KeyValueClient;
use crate::error::{PlatformError, PlatformErrorKind};
use crate::ids::{Key, KeyValueRevision, Value};
use crate::key_value::{Compare, Entry, KeyValue, Transaction, TransactionOutcome, Write};
use crate::lease_lock::LeaseLock;

/// Reads and writes the progress of one rollout; it is used by one task at a time.
pub struct ProgressStore {
    key_value: KeyValueClient,
    key: Key,
    // Revision of the value that was read or written last.
    revision: KeyValueRevision,
}

impl ProgressStore {
    /// Creates a store for the progress under `key`.
    pub fn new(key_value: KeyValueClient, key: Key) -> Self {
        Self { key_value, key, revision: KeyValueRevision::default() }
    }

    /// Reads the progress, if there is any.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer or the value cannot be decoded.
    pub async fn load(&mut self, deadline: Deadline) -> Result<Option<Progress>, PlatformError> {
        let Some(entry) = self.key_value.get(&self.key, deadline).await?.entry else {
            return Ok(None);
        };
        self.revision = entry.mod_revision;
        decode(&entry).map(Some)
    }

    /// Writes the progress if the stored value has not changed since it was read or written last,
    /// and `lock` is still held.
    ///
    /// If the response is lost, the value is read back. Values of different drivers never compare
    /// equal, since each contains its driver's fencing number.
    pub async fn write(
        &mut self,
        progress: &Progress,
        lock: &LeaseLock,
        deadline: Deadline,
    ) -> WriteOutcome {
        let Some(held) = lock.held_condition() else { return WriteOutcome::Conflict };
        let Some(value) = progress.encode().ok().and_then(|bytes| Value::new(bytes).ok()) else {
            return WriteOutcome::Conflict;
        };
        let unchanged = match self.revision.get() {
            0 => Compare::Absent(self.key.clone()),
            _ => Compare::ModRevision(self.key.clone(), self.revision),
        };
        let put = Write::Put { key: self.key.clone(), value: value.clone(), lease: None };
        let transaction = Transaction { compares: vec![held, unchanged], writes: vec![put] };
        match self.key_value.compare_and_swap(&transaction, deadline).await {
            Ok(TransactionOutcome::Committed { revision }) => {
                self.revision = revision;
                WriteOutcome::Written
            }
            Ok(TransactionOutcome::Conflict { .. }) => self.settle(&value, deadline).await,
            Err(error) if error.kind() == PlatformErrorKind::Unknown => {
                self.settle(&value, deadline).await
            }
            Err(_) => WriteOutcome::NotWritten,
        }
    }

    /// Reads the value back to find out whether a write took effect. After a conflict this is
    /// needed too, since the conflict may be with an earlier attempt whose response was lost.
    async fn settle(&mut self, value: &Value, deadline: Deadline) -> WriteOutcome {
        let Ok(answer) = self.key_value.get(&self.key, deadline).await else {
            return WriteOutcome::Conflict;
        };
        let revision = answer.entry.as_ref().map_or_else(Default::default, |e| e.mod_revision);
        match answer.entry {
            Some(entry) if entry.value == *value => {
                self.revision = revision;
                WriteOutcome::Written
            }
            // The write may still arrive. This driver's next write then conflicts, which ends the
            // driver, and the next driver continues from the value that arrived.
            _ if revision == self.revision => WriteOutcome::NotWritten,
            _ => WriteOutcome::Conflict,
        }
    }
}

fn decode(entry: &Entry) -> Result<Progress, PlatformError> {
    Progress::decode(entry.value.as_bytes())
        .map_err(|error| PlatformError::new(PlatformErrorKind::Protocol, error.to_string()))
}
