//! Records of streams in the platform's key-value service, which outlast the nodes that keep them.
//!
//! A keeper writes what it was given as one key every half second, while several versions may have begun
//! streams, and reads the keys of its zone when it starts. A stream that began just before all nodes were
//! killed is not among them and stays unknown.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_std::task;
use serde::{Deserialize, Serialize};
use yuccapass_decisions::gateway::{StreamOrigin, StreamRecord};
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Entry, Key, KeyValue, KeyValueClient, LeaseId, LeaseTtl, PlatformClient, PlatformError,
    PlatformErrorKind, Transaction, Value, Write,
};
use yuccapass_types::{Deadline, RequestId, ServiceId, SoftwareVersion, SortedMap};

use crate::state::Shared;
use crate::streams::resumable_services;
use crate::watch::read_all;

/// Prefix of the keys.
const STREAM_KEYS: &str = "yuccapass/streams/";

/// Period of the writes.
const PERIOD_MS: u64 = 500;

/// Time to live of a key, and the age from which a lease gets no more keys. Callers take streams up within
/// seconds.
const TTL_MS: u64 = 60_000;
const LEASE_AGE_MS: u64 = 30_000;

/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// The value of a key: streams by their origins.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SavedStreams {
    streams: Vec<SavedOrigin>,
}

#[derive(Debug, Serialize, Deserialize)]
struct SavedOrigin {
    service: ServiceId,
    software: Option<SoftwareVersion>,
    ids: Vec<RequestId>,
}

impl SavedStreams {
    fn new(records: Vec<StreamRecord>) -> Self {
        let mut by_origin: SortedMap<(ServiceId, Option<SoftwareVersion>), Vec<RequestId>> =
            SortedMap::new();
        for StreamRecord { id, origin } in records {
            let origin = (origin.service, origin.software);
            by_origin.get_or_insert_with(origin, Vec::new).push(id);
        }
        let saved = |((service, software), ids)| SavedOrigin { service, software, ids };
        Self { streams: by_origin.into_entries().map(saved).collect() }
    }

    fn into_records(self) -> impl Iterator<Item = StreamRecord> {
        self.streams.into_iter().flat_map(|SavedOrigin { service, software, ids }| {
            let origin = StreamOrigin { service, software };
            ids.into_iter().map(move |id| StreamRecord { id, origin: origin.clone() })
        })
    }
}

/// Starts to save and to read records.
pub(crate) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>) {
    let key_value = platform.key_value(CallRank::Report).with_purpose(CallPurpose::Other);
    let saver = Saver {
        shared: Arc::clone(shared),
        platform: Arc::clone(platform),
        key_value,
        lease: None,
        has_read: false,
    };
    task::spawn(saver.run());
}

/// Saves the records that this node keeps, and reads those of its zone when it becomes a keeper.
struct Saver {
    shared: Arc<Shared>,
    platform: Arc<PlatformClient>,
    key_value: KeyValueClient,
    // With the instant at which it is replaced.
    lease: Option<(LeaseId, Deadline)>,
    // Whether the records of the zone were read.
    has_read: bool,
}

impl Saver {
    async fn run(mut self) {
        loop {
            let next = Deadline::after_ms(self.shared.now(), PERIOD_MS);
            if let Err(error) = self.step().await {
                log::info!(error:%; "the records of streams could not be read or saved");
            }
            sleep_until(&*self.shared.clock, next).await;
        }
    }

    async fn step(&mut self) -> Result<(), PlatformError> {
        let is_keeper = self.shared.relay.reads_from_origins(&self.shared.options.node);
        if !is_keeper {
            self.has_read = false;
        } else if !self.has_read && self.has_several_versions() {
            self.read().await?;
            self.has_read = true;
        }
        let records = self.shared.streams.take_unsaved();
        match records.is_empty() {
            true => Ok(()),
            false => self.save(records).await,
        }
    }

    fn has_several_versions(&self) -> bool {
        let is_mixed = |service| self.shared.streams.sole_version(&self.shared, service).is_none();
        resumable_services(&self.shared).iter().any(is_mixed)
    }

    async fn read(&self) -> Result<(), PlatformError> {
        let prefix = self.key("")?;
        let entries = read_all(&self.shared, &self.key_value, &prefix, false).await?;
        let records: Vec<StreamRecord> = entries.iter().flat_map(decoded).collect();
        log::info!(keys = entries.len(), streams = records.len(); "the records of streams were read");
        for record in records {
            self.shared.streams.record_kept(&self.shared, record);
        }
        Ok(())
    }

    async fn save(&mut self, records: Vec<StreamRecord>) -> Result<(), PlatformError> {
        let lease = self.lease().await?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let node = &self.shared.options.node;
        let key = self.key(&format!("{node}-{}", since_epoch.as_millis()))?;
        let json = serde_json::to_vec(&SavedStreams::new(records)).map_err(invalid)?;
        let value = Value::new(json).map_err(invalid)?;
        let put = Write::Put { key, value, lease: Some(lease) };
        let transaction = Transaction { compares: Vec::new(), writes: vec![put] };
        let deadline = Deadline::after_ms(self.shared.now(), CALL_TIMEOUT_MS);
        let result = self.key_value.compare_and_swap(&transaction, deadline).await;
        if result.as_ref().is_err_and(|error| error.kind() == PlatformErrorKind::LeaseNotFound) {
            self.lease = None;
        }
        result.map(drop)
    }

    /// Returns a lease that lasts for at least half of its time. It is not renewed.
    async fn lease(&mut self) -> Result<LeaseId, PlatformError> {
        let now = self.shared.now();
        if let Some((lease, until)) = self.lease
            && !until.has_passed(now)
            && lease.era() >= self.platform.era()
        {
            return Ok(lease);
        }
        let ttl = LeaseTtl::new(TTL_MS / 1_000);
        let deadline = Deadline::after_ms(now, CALL_TIMEOUT_MS);
        let grant = self.key_value.lease_grant(ttl, deadline).await?;
        self.lease = Some((grant.id, Deadline::after_ms(now, LEASE_AGE_MS)));
        Ok(grant.id)
    }

    /// Returns a key of the zone of this node.
    fn key(&self, name: &str) -> Result<Key, PlatformError> {
        format!("{STREAM_KEYS}{}/{name}", self.shared.options.zone).parse().map_err(invalid)
    }
}

fn decoded(entry: &Entry) -> Vec<StreamRecord> {
    match serde_json::from_slice::<SavedStreams>(entry.value.as_bytes()) {
        Ok(saved) => saved.into_records().collect(),
        Err(error) => {
            log::warn!(key = entry.key.as_str(), error:%; "records of streams could not be decoded");
            Vec::new()
        }
    }
}

fn invalid(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
}
