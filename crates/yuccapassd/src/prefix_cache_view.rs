//! This node's view of the prefix caches of endpoints and stores.

use std::sync::{Arc, Mutex, PoisonError};

use yuccapass_decisions::routing::holder::{Holder, HolderSlot, HolderSlots, StoreTier};
use yuccapass_decisions::routing::index::{
    CacheChange, CacheEvent, IndexAction, IndexSettings, ListedBlock, PrefixIndex, PrefixMatch,
};
use yuccapass_endpoints::{BlockListing, CacheEventBatch, CacheEventKind};
use yuccapass_types::{BlockHash, Clock, EndpointId, StoreId};

/// The prefix index, and the slots that it assigns to endpoints and store tiers.
pub(crate) struct PrefixCacheView {
    index: PrefixIndex,
    slots: Mutex<HolderSlots>,
    clock: Arc<dyn Clock>,
}

impl PrefixCacheView {
    pub(crate) fn new(settings: IndexSettings, clock: Arc<dyn Clock>) -> Self {
        Self { index: PrefixIndex::new(settings), slots: Mutex::default(), clock }
    }

    /// Returns the longest known prefix of a chain at each holder that has one, sorted by slot.
    pub(crate) fn lookup(&self, chain: &[BlockHash]) -> Vec<PrefixMatch> {
        self.index.lookup(chain, self.clock.now())
    }

    /// Returns the slot of an endpoint, and assigns one if it has none; `None` if all are taken.
    pub(crate) fn assign_slot(&self, endpoint: &EndpointId) -> Option<HolderSlot> {
        self.assign(endpoint)
    }

    fn slot(&self, endpoint: &EndpointId) -> Option<HolderSlot> {
        self.with_slots(|slots| slots.slot(&Holder::Endpoint(endpoint.clone())))
    }

    /// Returns the sequence number after which to read the events of an endpoint.
    pub(crate) fn events_after(&self, endpoint: &EndpointId) -> u64 {
        self.slot(endpoint).map_or(0, |slot| self.index.events_after(slot))
    }

    /// Applies cache events; returns whether a listing is needed because events were lost.
    pub(crate) fn apply_events(&self, endpoint: &EndpointId, batch: &CacheEventBatch) -> bool {
        let Some(slot) = self.assign(endpoint) else { return false };
        let events: Vec<CacheEvent> = batch
            .events
            .iter()
            .map(|event| CacheEvent {
                sequence: event.sequence,
                kind: match event.kind {
                    CacheEventKind::Stored => CacheChange::Stored,
                    CacheEventKind::Evicted => CacheChange::Evicted,
                },
                position_blocks: event.position_blocks,
                block: event.block,
            })
            .collect();
        let now = self.clock.now();
        self.index.apply_events(slot, batch.incarnation, &events, now) == IndexAction::NeedsListing
    }

    /// Replaces the known blocks of an endpoint by a listing.
    pub(crate) fn apply_listing(&self, endpoint: &EndpointId, listing: &BlockListing) {
        let Some(slot) = self.assign(endpoint) else { return };
        let blocks: Vec<ListedBlock> = listing
            .blocks
            .iter()
            .map(|listed| ListedBlock {
                position_blocks: listed.position_blocks,
                block: listed.block,
            })
            .collect();
        let now = self.clock.now();
        self.index.apply_listing(slot, listing.incarnation, listing.sequence, &blocks, now);
    }

    /// Records that a tier of a store has all blocks of a chain.
    pub(crate) fn record_stored(&self, store: &StoreId, tier: StoreTier, chain: &[BlockHash]) {
        let holder = Holder::Store(store.clone(), tier);
        if let Some(slot) = self.with_slots(|slots| slots.assign(&holder)) {
            self.index.record_chain(slot, chain, self.clock.now());
        }
    }

    /// Returns how many blocks a tier of a store has, according to the matches of a lookup.
    pub(crate) fn stored_blocks(
        &self,
        store: &StoreId,
        tier: StoreTier,
        matches: &[PrefixMatch],
    ) -> u32 {
        let holder = Holder::Store(store.clone(), tier);
        let slot = self.with_slots(|slots| slots.slot(&holder));
        let found = slot.and_then(|slot| matches.iter().find(|found| found.holder == slot));
        found.map_or(0, |found| found.blocks)
    }

    /// Removes blocks from both tiers of a store.
    pub(crate) fn forget_stored(&self, store: &StoreId, blocks: &[BlockHash]) {
        for tier in [StoreTier::Memory, StoreTier::Disk] {
            let holder = Holder::Store(store.clone(), tier);
            if let Some(slot) = self.with_slots(|slots| slots.slot(&holder)) {
                blocks.iter().for_each(|&block| self.index.remove(slot, block));
            }
        }
    }

    /// Removes an endpoint that is no longer configured.
    pub(crate) fn remove_endpoint(&self, endpoint: &EndpointId) {
        if let Some(slot) = self.slot(endpoint) {
            self.index.remove_holder(slot);
            self.with_slots(|slots| slots.release(slot));
        }
    }

    fn assign(&self, endpoint: &EndpointId) -> Option<HolderSlot> {
        self.with_slots(|slots| slots.assign(&Holder::Endpoint(endpoint.clone())))
    }

    fn with_slots<R>(&self, action: impl FnOnce(&mut HolderSlots) -> R) -> R {
        action(&mut self.slots.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
