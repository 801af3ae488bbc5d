//! The configuration in force on this node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccapass_decisions::config::{Action, ActiveConfig, ConfigSync, Document, Organisation};
use yuccapass_types::{KeyHash, Revision};

/// A configuration with what is derived from it.
#[derive(Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) config: Arc<ActiveConfig>,
    /// Positions of organisations by bearer key, sorted by key.
    keys: Vec<(KeyHash, u32)>,
}

impl ActiveDocument {
    fn new(config: Arc<ActiveConfig>) -> Self {
        let organisations = config.document().organisations.iter().zip(0_u32..);
        let mut keys: Vec<(KeyHash, u32)> = organisations
            .flat_map(|(organisation, position)| {
                organisation.key_hashes.iter().map(move |key| (*key, position))
            })
            .collect();
        keys.sort_unstable();
        Self { config, keys }
    }

    pub(crate) fn document(&self) -> &Document {
        self.config.document()
    }

    pub(crate) fn organisation_of_key(&self, key: KeyHash) -> Option<&Organisation> {
        let found = self.keys.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        Some(&self.document().organisations[self.keys[found].1 as usize])
    }
}

/// Holds the configuration in force, which is replaced as a whole.
#[derive(Debug)]
pub(crate) struct Configuration {
    holder: Mutex<ConfigSync>,
    active: Mutex<Arc<ActiveDocument>>,
}

impl Configuration {
    /// Starts with a configuration; its revision is 0 if none is known yet.
    pub(crate) fn new(config: ActiveConfig) -> Self {
        let is_known = config.manifest().revision > Revision::default();
        let holder = ConfigSync::new(is_known.then(|| config.clone()));
        let active = ActiveDocument::new(Arc::new(config));
        Self { holder: Mutex::new(holder), active: Mutex::new(Arc::new(active)) }
    }

    /// Returns the configuration in force; a request uses one from start to end.
    pub(crate) fn active(&self) -> Arc<ActiveDocument> {
        Arc::clone(&lock(&self.active))
    }

    pub(crate) fn revision(&self) -> Revision {
        self.active().config.manifest().revision
    }

    /// Runs `step` on the holder and puts in force what it asks for; returns its other actions.
    pub(crate) fn advance(&self, step: impl FnOnce(&mut ConfigSync) -> Vec<Action>) -> Vec<Action> {
        let mut holder = lock(&self.holder);
        let mut rest = Vec::new();
        for action in step(&mut holder) {
            match action {
                // Under the holder's lock, so that two threads cannot put revisions in force in the
                // wrong order.
                Action::Activate(config) => self.put_in_force(config),
                other => rest.push(other),
            }
        }
        rest
    }

    pub(crate) fn wants_revision(&self, revision: Revision) -> bool {
        lock(&self.holder).wants_revision(revision)
    }

    pub(crate) fn is_collecting(&self) -> bool {
        lock(&self.holder).is_collecting()
    }

    fn put_in_force(&self, config: Arc<ActiveConfig>) {
        let revision = config.manifest().revision;
        let active = Arc::new(ActiveDocument::new(config));
        *lock(&self.active) = active;
        log::info!(revision = revision.get(); "a configuration is in force");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
