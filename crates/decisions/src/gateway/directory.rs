//! The registered endpoints.

use std::net::SocketAddr;

use yuccapass_types::{
    Deadline, EndpointId, Instant, ModelId, RegionId, ServiceId, SoftwareVersion, SortedMap,
    WeightRevision, ZoneId,
};

use super::allowed_regions::AllowedRegions;
use super::departed_processes::{DepartedProcesses, Departure};
use super::placement::Distance;
use super::target_bounds::TargetDeadlines;
use super::weight_targets::{OutdatedWeights, TargetWeights, WeightTargets};

/// How long endpoints have to register again after an outage of the key-value service before they
/// are dropped.
const REREGISTER_GRACE_MS: u64 = 2_300;

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It finishes its running requests and then stops.
    Draining,
}

/// The registration of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The version of its software, if it names one.
    pub software: Option<SoftwareVersion>,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Until when it is cold and can handle only a low request rate.
    pub cold_until: Option<Deadline>,
    /// Unix time of its start in milliseconds. Distinguishes two processes with the same id.
    pub started_unix_ms: Option<u64>,
    /// The number of times that the process has written its registration, if it says so.
    pub sequence: Option<u64>,
    /// The weights that it serves, by model.
    pub weights: Vec<(ModelId, WeightRevision)>,
}

impl EndpointRecord {
    /// Returns the model that runs a request for `model`, with its weights. If the endpoint does not
    /// list that name, which may be that of an adapter, it is the first model.
    pub fn served(&self, model: Option<&ModelId>) -> Option<&(ModelId, WeightRevision)> {
        self.weights.get(self.served_position(model))
    }

    fn served_position(&self, model: Option<&ModelId>) -> usize {
        self.weights.iter().position(|(name, _)| Some(name) == model).unwrap_or(0)
    }

    /// Returns whether two records describe the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.address == other.address && self.started_unix_ms == other.started_unix_ms
    }

    /// Returns whether the same process wrote this registration before the other one. Without a start time
    /// two processes at one address cannot be told apart, and a later one counts anew.
    fn is_older_than(&self, other: &Self) -> bool {
        self.started_unix_ms.is_some()
            && self.is_same_process(other)
            && self.sequence < other.sequence
    }
}

#[derive(Debug, Clone)]
struct Entry {
    record: EndpointRecord,
    // When the entry is dropped, if its registration disappeared around an outage of the key-value
    // service.
    remove_at: Option<Deadline>,
}

impl Entry {
    fn is_expired(&self, now: Instant) -> bool {
        self.remove_at.is_some_and(|at| at.has_passed(now))
    }
}

/// The registered endpoints, the evacuated zones and the target weights.
#[derive(Debug, Clone)]
pub struct Directory {
    zones: SortedMap<ZoneId, RegionId>,
    entries: SortedMap<EndpointId, Entry>,
    // Whether a complete list of the registrations was read.
    is_listed: bool,
    departed: DepartedProcesses,
    evacuated: Vec<ZoneId>,
    targets: SortedMap<ModelId, WeightTargets>,
    is_outage: bool,
    // Registrations that disappear before this instant may have expired during an outage.
    grace_until: Option<Deadline>,
}

impl Directory {
    /// Creates a directory without endpoints for a deployment with these zones.
    pub fn new(zones: SortedMap<ZoneId, RegionId>) -> Self {
        Self {
            zones,
            entries: SortedMap::new(),
            is_listed: false,
            departed: DepartedProcesses::default(),
            evacuated: Vec::new(),
            targets: SortedMap::new(),
            is_outage: false,
            grace_until: None,
        }
    }

    /// Returns the region of a zone.
    pub fn region(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.zones.get(zone)
    }

    /// Returns how far two zones are from each other.
    pub fn distance(&self, from: &ZoneId, to: &ZoneId) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        match self.region(from) {
            Some(region) if Some(region) == self.region(to) => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }

    /// Adds or replaces the registration of an endpoint, unless the same process has written a newer one
    /// since: the key-value service may come back from an older copy. The weights of a process never go
    /// back: its registration may be older than what an answer has shown, or lack them.
    pub fn register(&mut self, id: EndpointId, mut record: EndpointRecord) {
        if self.endpoint(&id).is_some_and(|known| record.is_older_than(known))
            || self.departed.supersedes(&id, &record)
        {
            return;
        }
        if let Some(known) = self.endpoint(&id).filter(|known| known.is_same_process(&record)) {
            if record.weights.is_empty() {
                record.weights.clone_from(&known.weights);
            }
            for (model, weights) in &mut record.weights {
                let learned = known.weights.iter().find(|(name, _)| name == model);
                *weights = learned.map_or(*weights, |&(_, learned)| learned.max(*weights));
            }
        }
        if let Some(Entry { record: known, .. }) = self.entries.get(&id)
            && !known.is_same_process(&record)
        {
            self.departed.add(&id, known, Departure::Certain);
        }
        self.entries.insert(id, Entry { record, remove_at: None });
    }

    /// Records the weights that an endpoint reported in an answer to a request for `model`, if they
    /// are newer.
    pub fn record_served_weights(
        &mut self,
        id: &EndpointId,
        model: Option<&ModelId>,
        weights: WeightRevision,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let position = entry.record.served_position(model);
        if let Some((_, known)) = entry.record.weights.get_mut(position) {
            *known = weights.max(*known);
        }
    }

    /// Removes an endpoint whose registration has disappeared.
    ///
    /// Around an outage of the key-value service, the registration of a running endpoint may have
    /// expired, so the endpoint is kept until it has had time to register again.
    pub fn remove(&mut self, id: &EndpointId, now: Instant) {
        self.remove_as(id, Departure::Certain, now);
    }

    fn remove_as(&mut self, id: &EndpointId, departure: Departure, now: Instant) {
        match self.grace_until.filter(|until| !until.has_passed(now)) {
            None => {
                if let Some(entry) = self.entries.remove(id) {
                    self.departed.add(id, &entry.record, departure);
                }
            }
            Some(until) => {
                if let Some(entry) = self.entries.get_mut(id) {
                    entry.remove_at.get_or_insert(until);
                }
            }
        }
    }

    /// Forgets the processes that left long ago. Called before registrations are applied.
    pub fn forget_departed(&mut self, now: Instant) {
        self.departed.forget_ended(now);
    }

    /// Replaces the endpoints with a complete list of the registrations.
    pub fn replace(&mut self, records: SortedMap<EndpointId, EndpointRecord>, now: Instant) {
        let missing: Vec<EndpointId> =
            self.entries.keys().filter(|id| !records.contains_key(id)).cloned().collect();
        for id in &missing {
            self.remove_as(id, Departure::Uncertain, now);
        }
        for (id, record) in records.into_entries() {
            self.register(id, record);
        }
        self.is_listed = true;
    }

    /// Returns whether the registrations were read since the process started. Before, an endpoint that is
    /// not in the directory may still serve.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Records that the key-value service does not answer.
    pub fn source_lost(&mut self) {
        self.is_outage = true;
    }

    /// Records that the key-value service has answered again from `since` on.
    pub fn source_recovered(&mut self, since: Instant) {
        if self.is_outage {
            self.is_outage = false;
            // A report of an earlier recovery must not shorten the time that a later one gave.
            let until = Deadline::after_ms(since, REREGISTER_GRACE_MS);
            self.grace_until = self.grace_until.max(Some(until));
        }
    }

    /// Returns whether some endpoints did not register again in time. During an outage nothing can
    /// register, so nothing expires.
    pub fn has_expired(&self, now: Instant) -> bool {
        !self.is_outage && self.entries.values().any(|entry| entry.is_expired(now))
    }

    /// Drops endpoints that did not register again in time.
    pub fn expire(&mut self, now: Instant) {
        if self.is_outage {
            return;
        }
        for (id, entry) in self.entries.iter().filter(|(_, entry)| entry.is_expired(now)) {
            self.departed.add(id, &entry.record, Departure::Uncertain);
        }
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    /// Sets whether a zone is evacuated: its endpoints get no new requests.
    pub fn set_evacuated(&mut self, zone: ZoneId, is_evacuated: bool) {
        match (self.evacuated.binary_search(&zone), is_evacuated) {
            (Err(position), true) => self.evacuated.insert(position, zone),
            (Ok(position), false) => {
                self.evacuated.remove(position);
            }
            _ => {}
        }
    }

    /// Replaces the list of evacuated zones.
    pub fn replace_evacuated(&mut self, mut zones: Vec<ZoneId>) {
        zones.sort();
        zones.dedup();
        self.evacuated = zones;
    }

    /// Sets the target weights of a model, unless they are older than the current ones.
    pub fn set_target_weights(
        &mut self,
        model: ModelId,
        weights: WeightRevision,
        deadlines: TargetDeadlines,
    ) {
        let target = TargetWeights { weights, deadlines };
        match self.targets.get_mut(&model) {
            Some(targets) => targets.add(target),
            None => {
                self.targets.insert(model, WeightTargets::new(target));
            }
        }
    }

    /// Returns the newest target weights of a model.
    pub fn target_weights(&self, model: &ModelId) -> Option<TargetWeights> {
        self.targets.get(model).map(WeightTargets::newest)
    }

    /// Returns what replaces the weights with which an endpoint runs requests for `model`; `None` if
    /// they are not outdated.
    pub fn outdated(
        &self,
        record: &EndpointRecord,
        model: Option<&ModelId>,
    ) -> Option<OutdatedWeights> {
        let (model, weights) = record.served(model)?;
        self.targets.get(model)?.outdated(*weights)
    }

    /// Returns the models of an endpoint whose target weights are newer than the ones it serves.
    pub fn outdated_models<'a>(
        &'a self,
        record: &'a EndpointRecord,
    ) -> impl Iterator<Item = (&'a ModelId, OutdatedWeights)> {
        record.weights.iter().filter_map(|(model, weights)| {
            let outdated = self.targets.get(model)?.outdated(*weights)?;
            Some((model, outdated))
        })
    }

    /// Returns the registrations of all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &EndpointRecord)> {
        self.entries.iter().map(|(id, entry)| (id, &entry.record))
    }

    /// Returns the registration of an endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// Returns the endpoints in `regions` that may get new requests of a service.
    pub fn eligible(
        &self,
        service: &ServiceId,
        regions: &AllowedRegions,
    ) -> Vec<(&EndpointId, &EndpointRecord)> {
        let is_eligible = |(_, record): &(&EndpointId, &EndpointRecord)| {
            record.service == *service
                && record.state == EndpointState::Ready
                && self.evacuated.binary_search(&record.zone).is_err()
                && regions.contains(self.region(&record.zone))
        };
        self.endpoints().filter(is_eligible).collect()
    }
}
