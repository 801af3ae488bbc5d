//! Exports cache blocks to stores in the background.

use std::sync::{Arc, Weak};

use async_std::channel::Receiver;
use futures::stream::{self, StreamExt};
use yuccapass_decisions::config::{DEFAULT_BLOCK_PAYLOAD, Document, Endpoint, Store};
use yuccapass_decisions::routing::holder::StoreTier;
use yuccapass_decisions::transfer::export::AnsweredPrompt;
use yuccapass_endpoints::ModelEndpoint;
use yuccapass_types::{BlockHash, Bytes, Deadline};

use super::Transfer;

/// Timeout of a query and of the export of one block. No request waits for them.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Number of blocks of one prompt that are exported concurrently.
const CONCURRENT_BLOCKS: usize = 4;

/// A prompt to export.
pub(super) struct ExportJob {
    store: Store,
    block_size: Bytes,
    endpoint: Arc<dyn ModelEndpoint>,
    chain: Vec<BlockHash>,
}

/// Exports queued prompts until the queue is closed.
pub(super) async fn run_worker(transfer: Weak<Transfer>, jobs: Receiver<ExportJob>) {
    while let Ok(job) = jobs.recv().await {
        let Some(transfer) = transfer.upgrade() else { return };
        transfer.export(job).await;
    }
}

impl Transfer {
    /// Queues the export of a prompt whose answer was delivered completely.
    ///
    /// `has_gap` means that an import failed. The store then lacks blocks that the index may not
    /// show as missing, since it has entries for few positions. If the queue is full, the prompt is
    /// not exported until it is answered again.
    pub(crate) fn queue_export(
        &self,
        document: &Document,
        endpoint: &Endpoint,
        client: Arc<dyn ModelEndpoint>,
        chain: &[BlockHash],
        has_gap: bool,
    ) {
        let Some(store) = self.store_of(document, &endpoint.model) else { return };
        let is_long_enough = self.settings.is_long_enough(chain.len() as u32);
        let is_stored = self.known_blocks(store, chain) as usize == chain.len();
        if !is_long_enough || (is_stored && !has_gap) {
            return;
        }
        let model = document.model(&endpoint.model);
        let job = ExportJob {
            store: store.clone(),
            block_size: model.map_or(DEFAULT_BLOCK_PAYLOAD, |model| model.block_payload_bytes),
            endpoint: client,
            chain: chain.to_vec(),
        };
        if self.exports.try_send(job).is_err() {
            self.metrics.record_transferred_blocks("export_dropped", chain.len() as u64);
        }
    }

    /// Exports the blocks of a prompt, and records the prefix that the store then has.
    async fn export(&self, job: ExportJob) {
        // Another node may have exported some blocks already, and a query is cheaper than a
        // transfer. The query covers all blocks, since a VM that lost its memory leaves gaps.
        let deadline = Deadline::after_ms(self.clock.now(), CALL_TIMEOUT_MS);
        let tiers = self.query_tiers(&job.store, &job.chain, deadline).await;
        let stored_blocks = tiers.iter().take_while(|tier| tier.is_some()).count();
        let prompt = AnsweredPrompt {
            prompt_blocks: job.chain.len() as u32,
            stored_blocks: stored_blocks as u32,
            block_size: job.block_size,
        };
        let range = self.with_selector(|selector| selector.choose(&prompt, self.clock.now()));
        let positions = range.start as usize..range.end as usize;
        let exports = stream::iter(job.chain[positions.clone()].iter().copied())
            .map(|block| self.export_block(&job, block))
            .buffered(CONCURRENT_BLOCKS)
            .take_while(|is_stored| std::future::ready(*is_stored));
        let stored = positions.start + exports.count().await;
        let missing = (positions.end - stored) as u64;
        self.metrics.record_transferred_blocks("exported", (stored - positions.start) as u64);
        self.metrics.record_transferred_blocks("export_failed", missing);
        if stored > 0 {
            let chain = &job.chain[..stored];
            self.prefix_caches.record_stored(&job.store.id, StoreTier::Memory, chain);
        }
    }

    /// Returns how many blocks of a chain the prefix index shows in a store.
    fn known_blocks(&self, store: &Store, chain: &[BlockHash]) -> u32 {
        self.stored_blocks(store, &self.prefix_caches.lookup(chain))
    }

    /// Exports a block; returns whether the store has accepted it.
    async fn export_block(&self, job: &ExportJob, block: BlockHash) -> bool {
        let owner = self.vms.owner(&job.store, block);
        let Some(address) = owner.filter(|address| self.vms.may_write(address)) else {
            return false;
        };
        let deadline = Deadline::after_ms(self.clock.now(), CALL_TIMEOUT_MS);
        let checksummed = match job.endpoint.export_block(block, deadline).await {
            Ok(checksummed) => checksummed,
            Err(error) => {
                log::debug!(endpoint = job.endpoint.id().as_str(); "cannot export block {block}: {error}");
                return false;
            }
        };
        let result = self.vms.client(&job.store, address).put(&checksummed, deadline).await;
        self.vms.record(address, result.as_ref().map(|_| ()));
        if let Err(error) = &result {
            log::warn!(store = job.store.id.as_str(), address:% = address; "cannot store block {block}: {error}");
        }
        result.is_ok()
    }
}
