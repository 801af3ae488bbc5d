//! Plans which prompt parts an endpoint fetches and saves.

use std::net::SocketAddr;

use yuccapass_types::{CacheNamespace, Instant, ServiceId, SortedMap, Tokens, ZoneId};

use super::allowed_regions::AllowedRegions;
use super::directory::Directory;
use super::part_store::StoreContents;
use super::placement::Distance;
use super::route::PromptPart;

/// Factor by which a transfer between zones of a region takes longer than one inside a zone.
const CROSS_ZONE_SLOWDOWN: u64 = 2;

/// Size of the smallest part that is worth a transfer: its prefill takes a few milliseconds, about
/// as long as starting the transfer.
const MIN_TRANSFER: Tokens = Tokens::new(128);

/// The transfers of an endpoint for a request, with one entry for each part of the prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartTransfers {
    /// The address that each part is fetched from, if any.
    pub fetch: Vec<Option<SocketAddr>>,
    /// The address that each part is saved to, if any.
    pub save: Vec<Option<SocketAddr>>,
    /// When fetches must have ended, in milliseconds on the clock that stores and endpoints share.
    pub fetch_deadline_ms: Option<u64>,
}

impl PartTransfers {
    /// Returns whether any part is fetched.
    pub fn has_fetch(&self) -> bool {
        self.fetch.iter().any(Option::is_some)
    }

    /// Returns whether any part is saved.
    pub fn has_save(&self) -> bool {
        self.save.iter().any(Option::is_some)
    }
}

/// A prompt for which transfers are planned.
#[derive(Debug, Clone, Copy)]
pub struct TransferRequest<'a> {
    /// The zone of the endpoint that is to run it.
    pub zone: &'a ZoneId,
    /// The regions in which it may be stored.
    pub allowed_regions: &'a AllowedRegions,
    /// The cache namespace of its parts.
    pub namespace: &'a CacheNamespace,
    /// Its parts in order.
    pub parts: &'a [PromptPart],
    /// Another endpoint that has most likely cached the parts.
    pub cache_peer: Option<SocketAddr>,
    /// Whether the endpoint's weights are older than the target weights. Nothing is saved for them.
    pub is_outdated: bool,
    /// Number of nodes that share the links of the stores.
    pub nodes: u32,
}

/// Decides what an endpoint fetches and saves for a prompt, and records the saves.
///
/// The last part belongs to the request alone and is not transferred. Each other part is fetched
/// from the store in the region that has it and can send it soonest. A part that no store has is
/// fetched from the endpoint that has most likely cached it, and saved to the store that has room
/// and can send it soonest. Stores in other regions are not used: transfers between regions take
/// ten times as long and delay all other transfers on the links.
pub fn plan_transfers(
    stores: &mut SortedMap<ServiceId, StoreContents>,
    directory: &Directory,
    request: &TransferRequest<'_>,
    now: Instant,
) -> PartTransfers {
    let shared = request.parts.len().saturating_sub(1);
    let mut transfers = PartTransfers::default();
    for (position, part) in request.parts.iter().enumerate() {
        let (mut fetch, mut save) = (None, None);
        if position < shared && part.tokens >= MIN_TRANSFER {
            match begin_fetch(stores, directory, request, part, now) {
                Some((source, until_ms)) => {
                    fetch = Some(source);
                    let earliest = transfers.fetch_deadline_ms.into_iter().chain(until_ms).min();
                    transfers.fetch_deadline_ms = earliest;
                }
                None => {
                    // The cache peer may evict the part at any time, so it is saved as well.
                    fetch = request.cache_peer;
                    if !request.is_outdated {
                        save = begin_save(stores, directory, request, part, now);
                    }
                }
            }
        }
        transfers.fetch.push(fetch);
        transfers.save.push(save);
    }
    transfers
}

impl TransferRequest<'_> {
    /// Returns for how long the transfer of a part to the endpoint occupies a store's link, or
    /// `None` if the store must not be used for this prompt.
    fn link_time_us(
        &self,
        directory: &Directory,
        contents: &StoreContents,
        part: &PromptPart,
    ) -> Option<u64> {
        let store = contents.store();
        let region = directory.region(&store.zone)?;
        let is_allowed = self.allowed_regions.contains(Some(region));
        let slowdown = match directory.distance(self.zone, &store.zone) {
            Distance::SameZone => 1,
            Distance::SameRegion => CROSS_ZONE_SLOWDOWN,
            Distance::OtherRegion => return None,
        };
        let rate = store.link_rate.get().max(1);
        is_allowed.then(|| part.tokens.get().saturating_mul(1_000_000 * slowdown) / rate)
    }
}

/// Chooses the store that a part is fetched from. Returns its address, and when the fetch must have
/// ended in milliseconds on the shared clock.
fn begin_fetch(
    stores: &mut SortedMap<ServiceId, StoreContents>,
    directory: &Directory,
    request: &TransferRequest<'_>,
    part: &PromptPart,
    now: Instant,
) -> Option<(SocketAddr, Option<u64>)> {
    let mut holders: Vec<(u64, &mut StoreContents)> = stores
        .values_mut()
        .filter(|contents| contents.is_fetchable(request.namespace, &part.id, now))
        .filter_map(|contents| Some((request.link_time_us(directory, contents, part)?, contents)))
        .collect();
    holders.sort_by_key(|&(time_us, _)| time_us);
    let holder = holders.into_iter().find_map(|(time_us, contents)| {
        contents.try_take_link(time_us, request.nodes, now).then_some(contents)
    })?;
    Some((holder.store().address, holder.fetch_deadline_ms(now)))
}

fn begin_save(
    stores: &mut SortedMap<ServiceId, StoreContents>,
    directory: &Directory,
    request: &TransferRequest<'_>,
    part: &PromptPart,
    now: Instant,
) -> Option<SocketAddr> {
    let namespace = request.namespace;
    let usable = |contents: &StoreContents| request.link_time_us(directory, contents, part);
    let is_stored = |contents: &StoreContents| {
        usable(contents).is_some() && contents.contains(namespace, &part.id)
    };
    if stores.values().any(is_stored) {
        return None;
    }
    let (_, chosen) = stores
        .values_mut()
        .filter(|contents| contents.should_save(namespace, part, request.nodes, now))
        .filter_map(|contents| Some((usable(contents)?, contents)))
        .min_by_key(|&(time_us, _)| time_us)?;
    chosen.record_save(namespace, part, now);
    Some(chosen.store().address)
}
