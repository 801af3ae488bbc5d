//! Watches the platform's configuration on a few nodes of each zone.

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

use crate::fleet::ConfigurationSync;
use crate::fleet::platform_configuration::manifest_key;
use crate::request_path::Core;

/// Nodes of a zone that watch: one, and one for when it fails.
const WATCHERS_PER_ZONE: usize = 2;

/// How long one watch waits; the next one follows at once.
const WATCH_MS: u64 = 30_000;

/// How long reading the manifest may take.
const READ_TIMEOUT_MS: u64 = 5_000;

/// Pause before a node looks again whether it is to watch, or after a failure.
const PAUSE_MS: u64 = 1_000;

/// Shortest period of reading the list of VMs: a leaving VM gets no new work after a few seconds.
const VM_LIST_PERIOD_MS: u64 = 2_000;

/// Period of reading the list for each node of the fleet, so that 340 nodes read it 34 times a
/// second together.
const VM_LIST_PERIOD_PER_NODE_MS: u64 = 30;

/// Follows the platform's configuration whenever this node is one of those that watch, or has no
/// configuration yet; ends only with the process.
pub(crate) async fn follow_configuration(
    sync: Arc<ConfigurationSync>,
    client: Arc<PlatformClient>,
) {
    loop {
        let knows_none = sync.configuration.revision() == Revision::default();
        let is_watcher = sync.members.is_among_first(WATCHERS_PER_ZONE);
        if is_watcher || knows_none {
            client.set_fleet_nodes(sync.members.fleet_nodes());
            if let Err(error) = follow_once(&sync, &client).await {
                log::debug!("the platform cannot be followed: {error}");
            }
        }
        let pause = Deadline::after_ms(sync.clock.now(), PAUSE_MS);
        sleep_until(&*sync.clock, pause).await;
    }
}

/// Reads the manifest and watches it until a watch is quiet or fails.
async fn follow_once(
    sync: &ConfigurationSync,
    client: &Arc<PlatformClient>,
) -> Result<(), PlatformError> {
    let reader = client.key_value(CallRank::Refresh);
    let watcher = client.key_value(CallRank::Watch);
    let mut revision = read(sync, &reader).await?;
    loop {
        let request =
            WatchRequest { range: KeyRange::Exact(manifest_key()), from: revision.next() };
        let deadline = Deadline::after_ms(sync.clock.now(), WATCH_MS);
        match watcher.watch(&request, deadline).await? {
            WatchOutcome::Changes(changes) => {
                revision = changes.last().map_or(revision, |change| change.revision);
                offer_newest(sync, &changes).await;
            }
            WatchOutcome::NoChanges { .. } => return Ok(()),
            WatchOutcome::Compacted | WatchOutcome::Restored { .. } => {
                revision = read(sync, &reader).await?;
            }
        }
    }
}

async fn read(
    sync: &ConfigurationSync,
    reader: &KeyValueClient,
) -> Result<KeyValueRevision, PlatformError> {
    let deadline = Deadline::after_ms(sync.clock.now(), READ_TIMEOUT_MS);
    let answer = reader.get(&manifest_key(), deadline).await?;
    if let Some(entry) = answer.entry {
        sync.offer_manifest(Source::Platform, entry.value.as_bytes()).await;
    }
    Ok(answer.revision)
}

async fn offer_newest(sync: &ConfigurationSync, changes: &[Change]) {
    let newest = changes.iter().rev().find_map(|change| match &change.kind {
        ChangeKind::Put(entry) => Some(entry),
        ChangeKind::Deleted(_) => None,
    });
    if let Some(entry) = newest {
        sync.offer_manifest(Source::Platform, entry.value.as_bytes()).await;
    }
}

/// Reads the list of VMs from time to time, which finds nodes that no setting names and endpoints
/// that are about to leave.
pub(crate) async fn follow_vms(core: Arc<Core>, vms: Arc<dyn VmList>) {
    loop {
        let fleet_ms = u64::from(core.members.fleet_nodes()) * VM_LIST_PERIOD_PER_NODE_MS;
        let next = Deadline::after_ms(core.clock.now(), VM_LIST_PERIOD_MS.max(fleet_ms));
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
            Err(error) => log::debug!("the list of VMs cannot be read: {error}"),
        }
        sleep_until(&*core.clock, next).await;
    }
}
