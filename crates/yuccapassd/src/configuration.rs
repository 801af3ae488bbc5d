//! The configuration in force on this node.

use std::sync::{Arc, Mutex, PoisonError};

use yuccapass_decisions::config::{Document, Organisation};
use yuccapass_types::{KeyHash, Revision};

/// A document with what is derived from it.
#[derive(Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) document: Document,
    /// Positions of organisations by bearer key, sorted by key.
    keys: Vec<(KeyHash, u32)>,
}

impl ActiveDocument {
    fn new(document: Document) -> Self {
        let organisations = document.organisations.iter().zip(0_u32..);
        let mut keys: Vec<(KeyHash, u32)> = organisations
            .flat_map(|(organisation, position)| {
                organisation.key_hashes.iter().map(move |key| (*key, position))
            })
            .collect();
        keys.sort_unstable();
        Self { document, keys }
    }

    pub(crate) fn organisation_of_key(&self, key: KeyHash) -> Option<&Organisation> {
        let found = self.keys.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        Some(&self.document.organisations[self.keys[found].1 as usize])
    }
}

/// Holds the document in force, which is replaced as a whole.
#[derive(Debug)]
pub(crate) struct Configuration {
    active: Mutex<Arc<ActiveDocument>>,
}

impl Configuration {
    pub(crate) fn new(document: Document) -> Self {
        Self { active: Mutex::new(Arc::new(ActiveDocument::new(document))) }
    }

    /// Returns the document in force; a request uses one document from start to end.
    pub(crate) fn active(&self) -> Arc<ActiveDocument> {
        Arc::clone(&self.active.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn revision(&self) -> Revision {
        self.active().document.revision
    }
}
