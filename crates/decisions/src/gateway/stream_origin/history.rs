//! The versions of a service's software that may have begun streams.

use yuccapass_types::{Deadline, Instant, ServiceId, SoftwareVersion, SortedMap};

use super::{KnownVersions, REMEMBER_MS, StreamOrigin};

type Software = Option<SoftwareVersion>;

/// The versions of one service.
#[derive(Debug, Clone, Default)]
struct ServiceVersions {
    // The versions that may have begun streams: those that serve, and until when the others count.
    versions: SortedMap<Software, Option<Deadline>>,
    // What all nodes can read, also after a restart. Sorted.
    published: Vec<Software>,
}

impl ServiceVersions {
    fn may_have_begun(&self, now: Instant) -> impl Iterator<Item = &Software> {
        let counts =
            move |until: &Option<Deadline>| until.is_none_or(|until| !until.has_passed(now));
        self.versions.iter().filter(move |(_, until)| counts(until)).map(|(software, _)| software)
    }
}

/// The versions of all services that serve, or have left lately.
///
/// A node that starts does not know which versions have left before, so the nodes publish them: a version
/// when it appears, and its end some time after it has left.
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    services: SortedMap<ServiceId, ServiceVersions>,
    // Whether the published versions are known.
    is_read: bool,
}

impl SoftwareHistory {
    /// Records the versions of a service that serve now, which may be repeated.
    pub fn observe(
        &mut self,
        service: &ServiceId,
        serving: impl Iterator<Item = Software>,
        now: Instant,
    ) {
        let known = self.services.get_or_insert_with(service.clone(), Default::default);
        let mut serving: Vec<Software> = serving.collect();
        serving.sort();
        serving.dedup();
        let left_until = Some(Deadline::after_ms(now, REMEMBER_MS));
        for (software, until) in known.versions.entries_mut() {
            if until.is_none() && serving.binary_search(software).is_err() {
                *until = left_until;
            }
        }
        known.versions.retain(|_, until| until.is_none_or(|until| !until.has_passed(now)));
        for software in serving {
            known.versions.insert(software, None);
        }
    }

    /// Records the version that has begun a stream at another node. This node may not have heard of it.
    pub fn record_begun(&mut self, origin: &StreamOrigin, now: Instant) {
        let known = self.services.get_or_insert_with(origin.service.clone(), Default::default);
        let until = Deadline::after_ms(now, REMEMBER_MS);
        // A version that serves counts until it has left.
        match known.versions.get_mut(&origin.software) {
            Some(counts_until) => *counts_until = counts_until.map(|_| until),
            None => {
                known.versions.insert(origin.software.clone(), Some(until));
            }
        }
    }

    /// Replaces all published versions. One that does not serve may have left just before.
    pub fn replace_published(&mut self, published: Vec<(ServiceId, Vec<Software>)>, now: Instant) {
        self.is_read = true;
        self.services.values_mut().for_each(|known| known.published.clear());
        for (service, versions) in published {
            self.set_published(&service, versions, now);
        }
    }

    /// Replaces the published versions of a service.
    pub fn set_published(
        &mut self,
        service: &ServiceId,
        mut versions: Vec<Software>,
        now: Instant,
    ) {
        versions.sort();
        versions.dedup();
        let known = self.services.get_or_insert_with(service.clone(), Default::default);
        let left_until = Some(Deadline::after_ms(now, REMEMBER_MS));
        for software in &versions {
            if known.published.binary_search(software).is_err() {
                known.versions.get_or_insert_with(software.clone(), || left_until);
            }
        }
        known.published = versions;
    }

    /// Returns what is to be published for a service, or `None` if that is published already. A version that
    /// another node has ended is published again only if it serves.
    pub fn to_publish(&self, service: &ServiceId, now: Instant) -> Option<Vec<Software>> {
        let known = self.services.get(service).filter(|_| self.is_read)?;
        let is_serving = |software: &&Software| known.versions.get(*software) == Some(&None);
        let may_have_begun: Vec<&Software> = known.may_have_begun(now).collect();
        let kept = known.published.iter().filter(|software| may_have_begun.contains(software));
        let serving = known.versions.keys().filter(is_serving);
        let mut wanted: Vec<Software> = kept.chain(serving).cloned().collect();
        wanted.sort();
        wanted.dedup();
        (wanted != known.published).then_some(wanted)
    }

    /// Returns the versions that may have begun the streams of a service.
    pub fn known_versions(&self, service: &ServiceId, now: Instant) -> KnownVersions {
        if let Some(sole) = self.sole_version(service, now) {
            return KnownVersions::Sole(sole.clone());
        }
        let known = self.services.get(service);
        match known.is_some_and(|known| known.may_have_begun(now).next().is_some()) {
            true => KnownVersions::Several,
            false => KnownVersions::Unknown,
        }
    }

    /// Returns the version that has begun all streams of a service, or `None` if there may be several.
    pub fn sole_version(&self, service: &ServiceId, now: Instant) -> Option<&Software> {
        let known = self.services.get(service).filter(|_| self.is_read)?;
        let mut versions = known.may_have_begun(now);
        versions.next().filter(|_| versions.next().is_none())
    }
}
