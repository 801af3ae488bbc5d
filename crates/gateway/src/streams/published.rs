//! The versions that may have begun streams, in the platform's key-value service.
//!
//! A node that starts, perhaps together with all others, does not know the versions that have left just
//! before. Each service with streams has a key with its versions, which any relay writes when one appears, and
//! some time after one has left.

use std::sync::Arc;

use async_std::task;
use serde::{Deserialize, Serialize};
use yuccapass_decisions::gateway::relay::TopicClass;
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, Entry, Key, KeyValue, KeyValueClient, PlatformClient, PlatformError,
    PlatformErrorKind, Transaction, Value, Write,
};
use yuccapass_types::{Deadline, ServiceId, SoftwareVersion, SortedMap};

use crate::state::Shared;
use crate::streams::resumable_services;
use crate::watch::{WatchHandler, WatchSettings, watch_prefix};

/// Prefix of the keys.
const SOFTWARE_KEYS: &str = "yuccapass/software/";

/// How long one watch call waits. What it brings matters only to nodes that start later.
const WATCH_MS: u64 = 20_000;

/// Period of looking at the versions that serve. It makes no call.
const PERIOD_MS: u64 = 250;

/// Maximum pause before a write, so that one node writes and the others see it. It is shorter than the time
/// in which the first endpoints of a version serve alone.
const MAX_PAUSE_MS: u64 = 500;

/// Timeout of a write.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// The value of the key of a service.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SoftwareEntry {
    versions: Vec<Option<SoftwareVersion>>,
}

/// Starts the watch and the publication of the versions.
pub(crate) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>) {
    let settings = WatchSettings {
        prefix: SOFTWARE_KEYS.parse().expect("the prefix is a valid key"),
        watch_ms: WATCH_MS,
        relay_watch_ms: Some(WATCH_MS),
        pause_ms: 0,
        purpose: CallPurpose::Other,
        class: TopicClass::Background,
    };
    let handler = Arc::new(SoftwareHandler { shared: Arc::clone(shared) });
    task::spawn(watch_prefix(Arc::clone(shared), Arc::clone(platform), settings, handler));
    let key_value = platform.key_value(CallRank::Report).with_purpose(CallPurpose::Other);
    task::spawn(publish(Arc::clone(shared), key_value));
}

/// Records what is published.
struct SoftwareHandler {
    shared: Arc<Shared>,
}

impl WatchHandler for SoftwareHandler {
    fn replace(&self, entries: &[Entry]) {
        let published = entries.iter().filter_map(decoded).collect();
        self.shared.streams.history().replace_published(published, self.shared.now());
    }

    fn change(&self, changes: &[Change]) {
        for change in changes {
            let published = match &change.kind {
                ChangeKind::Put(entry) => decoded(entry),
                ChangeKind::Deleted(key) => service_of(key).map(|service| (service, Vec::new())),
            };
            if let Some((service, versions)) = published {
                let now = self.shared.now();
                self.shared.streams.history().set_published(&service, versions, now);
            }
        }
    }
}

fn service_of(key: &Key) -> Option<ServiceId> {
    key.as_str().strip_prefix(SOFTWARE_KEYS)?.parse().ok()
}

fn decoded(entry: &Entry) -> Option<(ServiceId, Vec<Option<SoftwareVersion>>)> {
    let service = service_of(&entry.key)?;
    match serde_json::from_slice::<SoftwareEntry>(entry.value.as_bytes()) {
        Ok(known) => Some((service, known.versions)),
        Err(error) => {
            log::warn!(service = service.as_str(), error:%; "published versions could not be decoded");
            None
        }
    }
}

/// Keeps the history up to date, and publishes its changes if this node is a relay, until the process ends.
async fn publish(shared: Arc<Shared>, key_value: KeyValueClient) {
    let streams = &shared.streams;
    // The services that had one version when they were looked at last.
    let mut with_one: SortedMap<ServiceId, ()> = SortedMap::new();
    loop {
        let next = Deadline::after_ms(shared.now(), PERIOD_MS);
        for service in resumable_services(&shared) {
            if streams.sole_version(&shared, &service).is_some() {
                with_one.insert(service.clone(), ());
            } else if with_one.remove(&service).is_some() {
                log::info!(service = service.as_str(); "several versions may have begun streams");
                streams.hand_over(&shared, &service).await;
            }
            if is_writer(&shared) {
                write(&shared, &key_value, &service).await;
            }
        }
        sleep_until(&*shared.clock, next).await;
    }
}

/// Returns whether this node publishes versions, which a few nodes of each zone do.
fn is_writer(shared: &Shared) -> bool {
    let options = &shared.options;
    options.peer_address.is_none() || shared.relay.reads_from_origins(&options.node)
}

/// Publishes the versions of a service if that is due.
async fn write(shared: &Shared, key_value: &KeyValueClient, service: &ServiceId) {
    if streams_to_publish(shared, service).is_none() {
        return;
    }
    let pause = Deadline::after_ms(shared.now(), rand::random_range(0..=MAX_PAUSE_MS));
    sleep_until(&*shared.clock, pause).await;
    let Some(versions) = streams_to_publish(shared, service) else { return };
    let names: Vec<String> = versions.iter().map(name).collect();
    match put(shared, key_value, service, versions).await {
        Ok(()) => log::info!(
            service = service.as_str(), versions = names.join(" ");
            "the versions of a service were published"
        ),
        Err(error) => log::info!(
            service = service.as_str(), error:%;
            "the versions of a service could not be published"
        ),
    }
}

fn streams_to_publish(
    shared: &Shared,
    service: &ServiceId,
) -> Option<Vec<Option<SoftwareVersion>>> {
    shared.streams.history().to_publish(service, shared.now())
}

/// Returns a name of a version for the log.
fn name(software: &Option<SoftwareVersion>) -> String {
    software.as_ref().map_or_else(|| "unnamed".to_owned(), SoftwareVersion::to_string)
}

/// Writes the versions of a service. Two nodes may write different lists; the next look at them publishes what
/// is missing.
async fn put(
    shared: &Shared,
    key_value: &KeyValueClient,
    service: &ServiceId,
    versions: Vec<Option<SoftwareVersion>>,
) -> Result<(), PlatformError> {
    let invalid = |error: &dyn std::fmt::Display| {
        PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
    };
    let key: Key = format!("{SOFTWARE_KEYS}{service}").parse().map_err(|error| invalid(&error))?;
    let json = serde_json::to_vec(&SoftwareEntry { versions }).map_err(|error| invalid(&error))?;
    let value = Value::new(json).map_err(|error| invalid(&error))?;
    let transaction =
        Transaction { compares: Vec::new(), writes: vec![Write::Put { key, value, lease: None }] };
    let deadline = Deadline::after_ms(shared.now(), CALL_TIMEOUT_MS);
    key_value.compare_and_swap(&transaction, deadline).await.map(drop)
}
