//! Watches the platform's configuration on a few nodes of each zone, and polls its list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use yuccapass_decisions::config::Source;
use yuccapass_decisions::membership::VmHint;
use yuccapass_decisions::platform_budget::CallRank;
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, KeyRange, KeyValue, KeyValueClient, KeyValueRevision, PlatformClient,
    PlatformError, VmList, VmState, WatchOutcome, WatchRequest,
};
use yuccapass_types::{Deadline, Revision};

use crate::fleet::ConfigurationFetcher;
use crate::fleet::platform_configuration::manifest_key;
use crate::request_handler::Core;

/// Number of nodes in a zone that watch the configuration: one, and one as a standby.
const WATCHERS_PER_ZONE: usize = 2;

/// Timeout of one watch call; the next one follows at once.
const WATCH_TIMEOUT_MS: u64 = 30_000;

/// Timeout for reading the manifest.
const READ_TIMEOUT_MS: u64 = 5_000;

/// Pause between checks whether this node has to watch, and after a failure.
const CHECK_PERIOD_MS: u64 = 1_000;

/// Minimum period of reading the list of VMs, so that a leaving VM gets no new work after a few
/// seconds.
const MIN_VM_LIST_PERIOD_MS: u64 = 2_000;

/// The period of reading the list grows by this for each node of the fleet. With 340 nodes, all of
/// them together read it about 34 times a second.
const VM_LIST_PERIOD_PER_NODE_MS: u64 = 30;

/// Watches the platform's configuration while this node is one of the watchers of its zone or has
/// no configuration yet; never returns.
pub(crate) async fn watch_configuration(
    fetcher: Arc<ConfigurationFetcher>,
    client: Arc<PlatformClient>,
) {
    loop {
        let has_no_configuration = fetcher.configuration.revision() == Revision::default();
        let is_watcher = fetcher.members.is_among_first(WATCHERS_PER_ZONE);
        if is_watcher || has_no_configuration {
            client.set_fleet_nodes(fetcher.members.fleet_node_count());
            if let Err(error) = watch_until_idle(&fetcher, &client).await {
                log::debug!("cannot watch the platform's configuration: {error}");
            }
        }
        let pause = Deadline::after_ms(fetcher.clock.now(), CHECK_PERIOD_MS);
        sleep_until(&*fetcher.clock, pause).await;
    }
}

/// Reads the manifest and watches it until a watch ends without changes or fails.
async fn watch_until_idle(
    fetcher: &ConfigurationFetcher,
    client: &Arc<PlatformClient>,
) -> Result<(), PlatformError> {
    let reader = client.key_value(CallRank::Refresh);
    let watcher = client.key_value(CallRank::Watch);
    let mut revision = read_manifest(fetcher, &reader).await?;
    loop {
        let request =
            WatchRequest { range: KeyRange::Exact(manifest_key()), from: revision.next() };
        let deadline = Deadline::after_ms(fetcher.clock.now(), WATCH_TIMEOUT_MS);
        match watcher.watch(&request, deadline).await? {
            WatchOutcome::Changes(changes) => {
                revision = changes.last().map_or(revision, |change| change.revision);
                offer_newest(fetcher, &changes).await;
            }
            WatchOutcome::PartialChanges { changes, revision: newest } => {
                revision = revision.max(newest);
                offer_newest(fetcher, &changes).await;
            }
            WatchOutcome::NoChanges { .. } => return Ok(()),
            WatchOutcome::Compacted | WatchOutcome::Restored { .. } => {
                revision = read_manifest(fetcher, &reader).await?;
            }
        }
    }
}

/// Reads the manifest and offers it to `fetcher`; returns the key-value store's revision.
async fn read_manifest(
    fetcher: &ConfigurationFetcher,
    reader: &KeyValueClient,
) -> Result<KeyValueRevision, PlatformError> {
    let deadline = Deadline::after_ms(fetcher.clock.now(), READ_TIMEOUT_MS);
    let answer = reader.get(&manifest_key(), deadline).await?;
    if let Some(entry) = answer.entry {
        fetcher.offer_manifest(Source::Platform, entry.value.as_bytes()).await;
    }
    Ok(answer.revision)
}

/// Offers the newest manifest among `changes` to `fetcher`.
async fn offer_newest(fetcher: &ConfigurationFetcher, changes: &[Change]) {
    let newest = changes.iter().rev().find_map(|change| match &change.kind {
        ChangeKind::Put(entry) => Some(entry),
        ChangeKind::Deleted(_) => None,
    });
    if let Some(entry) = newest {
        fetcher.offer_manifest(Source::Platform, entry.value.as_bytes()).await;
    }
}

/// Polls the platform's list of VMs, to discover nodes that are not configured as seeds and
/// endpoints whose VM is about to stop; never returns.
pub(crate) async fn poll_vms(core: Arc<Core>, vms: Arc<dyn VmList>) {
    loop {
        let fleet_ms = u64::from(core.members.fleet_node_count()) * VM_LIST_PERIOD_PER_NODE_MS;
        let next = Deadline::after_ms(core.clock.now(), MIN_VM_LIST_PERIOD_MS.max(fleet_ms));
        match vms.list(next).await {
            Ok(listing) => {
                let hints = listing.vms.iter().map(|vm| VmHint {
                    peer_address: vm.address,
                    leaving: vm.state == VmState::Leaving,
                });
                core.members.set_vms(hints.collect());
                let leaving = listing.vms.iter().filter(|vm| vm.state == VmState::Leaving);
                let leaving: Vec<SocketAddr> = leaving.map(|vm| vm.address).collect();
                core.endpoints.set_leaving_vms(core.configuration.active().document(), &leaving);
            }
            Err(error) => log::debug!("cannot read the list of VMs: {error}"),
        }
        sleep_until(&*core.clock, next).await;
    }
}
