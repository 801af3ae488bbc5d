//! Clients of the store VMs, with a backoff after failures.

use std::net::SocketAddr;
use std::sync::Arc;

use yuccapass_decisions::config::Store;
use yuccapass_decisions::transfer::backoff::StoreBackoff;
use yuccapass_decisions::transfer::owner::owner_of;
use yuccapass_http::ClientConfig;
use yuccapass_stores::{BlockStore, HttpStore, StoreError, StoreErrorKind};
use yuccapass_types::{BlockHash, Clock, Sharded, SortedMap};

/// The client and backoff state of one store VM.
#[derive(Default)]
struct Entry {
    client: Option<Arc<dyn BlockStore>>,
    backoff: StoreBackoff,
}

/// The store VMs that this node uses, sharded by address.
pub(super) struct StoreVms {
    entries: Sharded<SortedMap<SocketAddr, Entry>>,
    clock: Arc<dyn Clock>,
}

impl StoreVms {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { entries: Sharded::default(), clock }
    }

    pub(super) fn client(&self, store: &Store, address: SocketAddr) -> Arc<dyn BlockStore> {
        self.with_entry(address, |entry| {
            let make = || -> Arc<dyn BlockStore> {
                let (id, clock) = (store.id.clone(), Arc::clone(&self.clock));
                Arc::new(HttpStore::new(id, address, ClientConfig::default(), clock))
            };
            Arc::clone(entry.client.get_or_insert_with(make))
        })
    }

    /// Returns the VM that owns a block.
    ///
    /// It is the same for reading and writing: a block written to another VM because its owner is
    /// full would not be found again.
    pub(super) fn owner(&self, store: &Store, block: BlockHash) -> Option<SocketAddr> {
        owner_of(block, &store.addresses, |address| self.may_read(address))
    }

    pub(super) fn may_read(&self, address: &SocketAddr) -> bool {
        let now = self.clock.now();
        self.with_entry(*address, |entry| entry.backoff.may_read(now))
    }

    pub(super) fn may_write(&self, address: &SocketAddr) -> bool {
        let now = self.clock.now();
        self.with_entry(*address, |entry| entry.backoff.may_write(now))
    }

    /// Updates the backoff with the result of a call.
    pub(super) fn record(&self, address: SocketAddr, result: Result<(), &StoreError>) {
        let now = self.clock.now();
        let kind = result.err().map(StoreError::kind);
        self.with_entry(address, |entry| match kind {
            None | Some(StoreErrorKind::Missing | StoreErrorKind::Torn) => {
                entry.backoff.record_answer(now);
            }
            Some(StoreErrorKind::Full) => entry.backoff.record_full(now),
            Some(_) => entry.backoff.record_failure(now),
        });
    }

    fn with_entry<R>(&self, address: SocketAddr, action: impl FnOnce(&mut Entry) -> R) -> R {
        self.entries
            .with(&address, |shard| action(shard.get_or_insert_with(address, Entry::default)))
    }
}
