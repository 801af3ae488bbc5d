//! Imports cache blocks to an endpoint before a request is sent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::task;
use futures::stream::{self, StreamExt};
use yuccapass_decisions::config::{Document, Store};
use yuccapass_endpoints::ModelEndpoint;
use yuccapass_stores::StoreErrorKind;
use yuccapass_types::{BlockHash, Deadline, ModelId};

use super::Transfer;

/// Number of blocks of one prompt that are imported concurrently.
const CONCURRENT_BLOCKS: usize = 8;

/// Timeout for deleting a torn block. No request waits for it.
const DELETE_TIMEOUT_MS: u64 = 5_000;

/// The import that placement has planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedImport {
    /// Number of blocks at the start of the prompt that the endpoint has already.
    pub(crate) from_block: u32,
    /// Number of blocks to import after them.
    pub(crate) blocks: u32,
    /// Time that the endpoint would take to compute the imported blocks.
    pub(crate) recompute_ms: u64,
}

/// Why a block was not imported.
enum ImportFailure {
    /// The store lacks it, or has it torn.
    Store,
    /// It was not imported in time, or the endpoint rejected it.
    Other,
}

impl Transfer {
    /// Imports blocks to an endpoint, for at most the time that it would take to compute them and
    /// not after `latest`.
    ///
    /// Returns whether all blocks were imported. The endpoint computes the missing ones.
    pub(crate) async fn import(
        &self,
        document: &Document,
        model: &ModelId,
        chain: &[BlockHash],
        plan: PlannedImport,
        endpoint: &dyn ModelEndpoint,
        latest: Deadline,
    ) -> bool {
        let Some(store) = self.store_of(document, model) else { return false };
        let deadline = Deadline::after_ms(self.clock.now(), plan.recompute_ms).earlier(latest);
        let end = (plan.from_block + plan.blocks) as usize;
        // The engine cannot use the blocks after a missing one.
        let first_missing = AtomicUsize::new(end);
        let imports = stream::iter(plan.from_block as usize..end).map(|position| {
            let first_missing = &first_missing;
            async move {
                if position > first_missing.load(Ordering::Relaxed) {
                    return 0;
                }
                match self.import_block(store, chain[position], endpoint, deadline).await {
                    Ok(()) => return 1,
                    Err(ImportFailure::Store) => {
                        // The following blocks are exported again together with this one.
                        self.prefix_caches.forget_stored(&store.id, &chain[position..]);
                    }
                    Err(ImportFailure::Other) => {}
                }
                first_missing.fetch_min(position, Ordering::Relaxed);
                0
            }
        });
        let imported: u64 =
            imports.buffer_unordered(CONCURRENT_BLOCKS).fold(0, async |sum, one| sum + one).await;
        self.metrics.record_transferred_blocks("imported", imported);
        self.metrics.record_transferred_blocks("import_failed", u64::from(plan.blocks) - imported);
        imported == u64::from(plan.blocks)
    }

    /// Deletes a block whose checksum does not match, so that it is exported again.
    fn delete_torn(&self, store: &Store, address: SocketAddr, block: BlockHash) {
        let client = self.vms.client(store, address);
        let deadline = Deadline::after_ms(self.clock.now(), DELETE_TIMEOUT_MS);
        task::spawn(async move {
            if let Err(error) = client.delete(block, deadline).await {
                log::warn!(address:% = address; "cannot delete the torn block {block}: {error}");
            }
        });
    }

    async fn import_block(
        &self,
        store: &Store,
        block: BlockHash,
        endpoint: &dyn ModelEndpoint,
        deadline: Deadline,
    ) -> Result<(), ImportFailure> {
        if deadline.has_passed(self.clock.now()) {
            return Err(ImportFailure::Other);
        }
        let address = self.vms.owner(store, block).ok_or(ImportFailure::Store)?;
        let result = self.vms.client(store, address).get(block, deadline).await;
        self.vms.record(address, result.as_ref().map(|_| ()));
        let checksummed = result.map_err(|error| {
            log::debug!(store = store.id.as_str(), address:% = address; "cannot read block {block}: {error}");
            match error.kind() {
                StoreErrorKind::Timeout => ImportFailure::Other,
                StoreErrorKind::Torn => {
                    self.delete_torn(store, address, block);
                    ImportFailure::Store
                }
                _ => ImportFailure::Store,
            }
        })?;
        endpoint.import_block(&checksummed, deadline).await.map_err(|error| {
            log::debug!(endpoint = endpoint.id().as_str(); "cannot import block {block}: {error}");
            ImportFailure::Other
        })
    }
}
