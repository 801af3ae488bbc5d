//! What the keys of a prefix had as values when they were read last.

use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_platform::{Change, ChangeKind, Entry, Key, KeyValueRevision, Value};
use yuccapass_types::SortedMap;

/// The known keys, with hashes of their values: a list in another era is compared with them.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    hashes: SortedMap<Key, u64>,
}

impl Mirror {
    /// Applies changes, in their order.
    pub(super) fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            match &change.kind {
                ChangeKind::Put(entry) => {
                    self.hashes.insert(entry.key.clone(), hash_of(&entry.value));
                }
                ChangeKind::Deleted(key) => {
                    self.hashes.remove(key);
                }
            }
        }
    }

    /// Replaces what is known with a complete list that was read at `revision`, and returns the changes
    /// that lead from one to the other.
    pub(super) fn replace(&mut self, entries: &[Entry], revision: KeyValueRevision) -> Vec<Change> {
        let before = std::mem::replace(&mut self.hashes, SortedMap::new());
        let mut changes = Vec::new();
        for entry in entries {
            let hash = hash_of(&entry.value);
            if before.get(&entry.key) != Some(&hash) {
                let kind = ChangeKind::Put(entry.clone());
                changes.push(Change { revision: entry.mod_revision, kind });
            }
            self.hashes.insert(entry.key.clone(), hash);
        }
        let is_gone = |key: &&Key| !self.hashes.contains_key(*key);
        let gone = before.keys().filter(is_gone);
        changes.extend(gone.map(|key| Change { revision, kind: ChangeKind::Deleted(key.clone()) }));
        changes
    }
}

fn hash_of(value: &Value) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.as_bytes().hash(&mut hasher);
    hasher.finish()
}
