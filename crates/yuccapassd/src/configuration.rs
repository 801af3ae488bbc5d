//! The active configuration of this node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccapass_decisions::config::{Action, ActiveConfig, ConfigSync, Document, Organisation};
use yuccapass_types::{KeyHash, Revision};

/// A configuration, with an index of the organisations' keys.
#[derive(Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) config: Arc<ActiveConfig>,
    /// Positions of the organisations by hash of their bearer keys, sorted by hash.
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

    /// Returns the organisation that a bearer key belongs to.
    pub(crate) fn organisation_of_key(&self, key: KeyHash) -> Option<&Organisation> {
        let found = self.keys.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        Some(&self.document().organisations[self.keys[found].1 as usize])
    }
}

/// Holds the active configuration, which is replaced as a whole.
#[derive(Debug)]
pub(crate) struct Configuration {
    config_sync: Mutex<ConfigSync>,
    active: Mutex<Arc<ActiveDocument>>,
}

impl Configuration {
    /// Starts with an initial configuration; revision 0 means that none is known yet.
    pub(crate) fn new(config: ActiveConfig) -> Self {
        let is_known = config.manifest().revision > Revision::default();
        let config_sync = ConfigSync::new(is_known.then(|| config.clone()));
        let active = ActiveDocument::new(Arc::new(config));
        Self { config_sync: Mutex::new(config_sync), active: Mutex::new(Arc::new(active)) }
    }

    /// Returns the active configuration.
    pub(crate) fn active(&self) -> Arc<ActiveDocument> {
        Arc::clone(&lock(&self.active))
    }

    pub(crate) fn revision(&self) -> Revision {
        self.active().config.manifest().revision
    }

    /// Runs `step` on the `ConfigSync` and activates the configurations that it returns; returns
    /// its other actions.
    pub(crate) fn advance(&self, step: impl FnOnce(&mut ConfigSync) -> Vec<Action>) -> Vec<Action> {
        let mut config_sync = lock(&self.config_sync);
        let mut rest = Vec::new();
        for action in step(&mut config_sync) {
            match action {
                // Under the lock of `config_sync`, so that two threads cannot activate revisions in
                // the wrong order.
                Action::Activate(config) => self.activate(config),
                other => rest.push(other),
            }
        }
        rest
    }

    pub(crate) fn wants_revision(&self, revision: Revision) -> bool {
        lock(&self.config_sync).wants_revision(revision)
    }

    pub(crate) fn is_collecting(&self) -> bool {
        lock(&self.config_sync).is_collecting()
    }

    fn activate(&self, config: Arc<ActiveConfig>) {
        let revision = config.manifest().revision;
        let active = Arc::new(ActiveDocument::new(config));
        *lock(&self.active) = active;
        log::info!(revision = revision.get(); "configuration activated");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
