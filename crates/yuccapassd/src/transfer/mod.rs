//! Transfer of cache blocks between endpoints and stores.
//!
//! * [`vms`]: clients of the store VMs, with a backoff after failures.
//! * [`export`]: exports blocks of answered prompts to the store, in the background.
//! * [`import`]: imports blocks from the store to the endpoint of a request, before it is sent.

mod export;
mod import;
mod vms;

use std::sync::{Arc, Mutex, PoisonError};

use async_std::channel::{Sender, bounded};
use async_std::task;
use futures::future::join_all;
use yuccapass_decisions::config::{Document, Store, ZoneState};
use yuccapass_decisions::routing::holder::StoreTier;
use yuccapass_decisions::routing::index::PrefixMatch;
use yuccapass_decisions::routing::placement::ImportSource;
use yuccapass_decisions::transfer::export::{ExportSelector, ExportSettings};
use yuccapass_decisions::transfer::source::{import_source, probe_positions, stored_prefix};
use yuccapass_stores::{BlockTier, MAX_CONTAINS_BLOCKS};
use yuccapass_types::{BlockHash, Clock, Deadline, ModelId, ZoneId};

use crate::metrics::Metrics;
use crate::prefix_cache_view::PrefixCacheView;
use export::ExportJob;
pub(crate) use import::PlannedImport;
use vms::StoreVms;

/// Timeout for asking a store which blocks it has. A request waits for it, and its first token is
/// due within 1.2 s.
const QUERY_TIMEOUT_MS: u64 = 100;

/// Maximum number of prompts that wait to be exported.
const MAX_QUEUED_EXPORTS: usize = 256;

/// Number of prompts that are exported concurrently.
const EXPORT_WORKERS: usize = 4;

/// Transfers cache blocks between endpoints and the stores of the region.
pub(crate) struct Transfer {
    zone: ZoneId,
    vms: StoreVms,
    prefix_caches: Arc<PrefixCacheView>,
    settings: ExportSettings,
    selector: Mutex<ExportSelector>,
    exports: Sender<ExportJob>,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
}

impl Transfer {
    /// Starts the export workers, which end when the last reference to the result is dropped.
    pub(crate) fn start(
        zone: ZoneId,
        prefix_caches: Arc<PrefixCacheView>,
        metrics: Arc<Metrics>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let (exports, jobs) = bounded(MAX_QUEUED_EXPORTS);
        let settings = ExportSettings::default();
        let transfer = Arc::new(Self {
            zone,
            vms: StoreVms::new(Arc::clone(&clock)),
            prefix_caches,
            settings,
            selector: Mutex::new(ExportSelector::new(settings, clock.now())),
            exports,
            metrics,
            clock,
        });
        for _ in 0..EXPORT_WORKERS {
            task::spawn(export::run_worker(Arc::downgrade(&transfer), jobs.clone()));
        }
        transfer
    }

    /// Queries the model's store for the blocks of a prompt, unless a holder is known to have all
    /// of them, and records the result in the prefix index.
    pub(crate) async fn query_store(
        &self,
        document: &Document,
        model: &ModelId,
        chain: &[BlockHash],
    ) {
        let Some(store) = self.store_of(document, model) else { return };
        if !self.settings.is_long_enough(chain.len() as u32) {
            return;
        }
        let matches = self.prefix_caches.lookup(chain);
        if matches.iter().any(|found| found.blocks as usize == chain.len()) {
            return;
        }
        let deadline = Deadline::after_ms(self.clock.now(), QUERY_TIMEOUT_MS);
        let positions = probe_positions(chain.len() as u32);
        let blocks: Vec<BlockHash> =
            positions.iter().map(|&position| chain[position as usize - 1]).collect();
        let tiers = self.query_tiers(store, &blocks, deadline).await;
        if let Some((count, tier)) = stored_prefix(&positions, &tiers) {
            self.prefix_caches.record_stored(&store.id, tier, &chain[..count as usize]);
        }
    }

    /// Returns the sources from which blocks of a prompt can be imported.
    pub(crate) fn sources(
        &self,
        document: &Document,
        model: &ModelId,
        matches: &[PrefixMatch],
    ) -> Vec<ImportSource> {
        let Some(store) = self.store_of(document, model) else { return Vec::new() };
        let has_usable_vm = store.addresses.iter().any(|address| self.vms.may_read(address));
        let offer = |tier| {
            let blocks = self.prefix_caches.stored_blocks(&store.id, tier, matches);
            import_source(blocks, tier, true, has_usable_vm)
        };
        [StoreTier::Memory, StoreTier::Disk].into_iter().filter_map(offer).collect()
    }

    /// Returns the tier in which a store has each block; `None` if its VM lacks it or does not
    /// reply.
    async fn query_tiers(
        &self,
        store: &Store,
        blocks: &[BlockHash],
        deadline: Deadline,
    ) -> Vec<Option<StoreTier>> {
        let owners: Vec<_> = blocks.iter().map(|&block| self.vms.owner(store, block)).collect();
        let queries = store.addresses.iter().map(|&address| {
            let positions: Vec<usize> =
                (0..blocks.len()).filter(|&position| owners[position] == Some(address)).collect();
            async move {
                let queried: Vec<BlockHash> = positions
                    .iter()
                    .take(MAX_CONTAINS_BLOCKS)
                    .map(|&position| blocks[position])
                    .collect();
                if queried.is_empty() {
                    return Vec::new();
                }
                let answer = self.vms.client(store, address).contains(&queried, deadline).await;
                self.vms.record(address, answer.as_ref().map(|_| ()));
                positions.into_iter().zip(answer.unwrap_or_default()).collect()
            }
        });
        let mut tiers = vec![None; blocks.len()];
        for (position, tier) in join_all(queries).await.into_iter().flatten() {
            tiers[position] = tier.map(|tier| match tier {
                BlockTier::Memory => StoreTier::Memory,
                BlockTier::Disk => StoreTier::Disk,
            });
        }
        tiers
    }

    /// Returns the store of a model if this node may use it: the store is in the same region, and
    /// its zone is in service.
    fn store_of<'a>(&self, document: &'a Document, model: &ModelId) -> Option<&'a Store> {
        let store = document.store(document.model(model)?.store.as_ref()?)?;
        let (own, zone) = (document.zone(&self.zone)?, document.zone(&store.zone)?);
        (zone.state == ZoneState::In && zone.region == own.region).then_some(store)
    }

    /// Returns how many blocks a store has in the tier with most of them, according to the matches
    /// of a lookup.
    fn stored_blocks(&self, store: &Store, matches: &[PrefixMatch]) -> u32 {
        let blocks = |tier| self.prefix_caches.stored_blocks(&store.id, tier, matches);
        blocks(StoreTier::Memory).max(blocks(StoreTier::Disk))
    }

    fn with_selector<R>(&self, action: impl FnOnce(&mut ExportSelector) -> R) -> R {
        action(&mut self.selector.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
