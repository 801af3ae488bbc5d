//! What a node knows of the topics of keys, completely, for nodes that start.

use std::sync::Arc;

use smol_str::SmolStr;
use yuccapass_types::{Instant, SortedMap};

use super::{RelayedEntry, ValueDigest, confirmed_at};

/// How long a list is offered after a later change. Nodes that start together get the same one, so that it
/// is encoded once.
const REUSE_MS: u64 = 1_000;

/// A list of a topic that a node offers to another one, which then transfers the value with the digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListOffer {
    /// The run of the origin to which the position belongs.
    pub epoch: u64,
    /// The position up to which the list has all changes.
    pub end: u64,
    /// Time since the origin confirmed that there are no later changes.
    pub age_ms: u64,
    /// The digest of the encoded list.
    pub digest: ValueDigest,
}

impl ListOffer {
    /// Returns when the origin confirmed the list, by the clock of the node that sent the request at `sent_at`.
    pub fn confirmed_at(&self, sent_at: Instant) -> Instant {
        confirmed_at(sent_at, 0, self.age_ms)
    }
}

/// A position in a topic, and when the origin confirmed that there were no later changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownPosition {
    /// The run of the origin.
    pub epoch: u64,
    /// The position.
    pub end: u64,
    /// When it was confirmed.
    pub confirmed_at: Instant,
}

impl KnownPosition {
    fn is_at(&self, other: &Self) -> bool {
        (self.epoch, self.end) == (other.epoch, other.end)
    }
}

#[derive(Debug, Clone)]
struct Contents {
    position: KnownPosition,
    // The values with their revisions.
    entries: SortedMap<SmolStr, (Arc<[u8]>, u64)>,
    // The list that was encoded last.
    offered: Option<(KnownPosition, ValueDigest)>,
}

/// The complete contents of topics, at relays and followers alike.
#[derive(Debug, Clone, Default)]
pub struct HeldTopics {
    topics: SortedMap<SmolStr, Contents>,
}

impl HeldTopics {
    /// Replaces the contents of a topic with a complete list.
    pub fn replace(&mut self, name: SmolStr, position: KnownPosition, entries: &[RelayedEntry]) {
        let mut contents = Contents { position, entries: SortedMap::new(), offered: None };
        contents.apply(entries);
        self.topics.insert(name, contents);
    }

    /// Applies all changes up to a position to a topic that was listed.
    pub fn apply(&mut self, name: &SmolStr, position: KnownPosition, changes: &[RelayedEntry]) {
        let Some(contents) = self.topics.get_mut(name) else { return };
        contents.apply(changes);
        let confirmed_at = contents.position.confirmed_at.max(position.confirmed_at);
        contents.position = KnownPosition { confirmed_at, ..position };
    }

    /// Returns when the contents of a topic were confirmed, or `None` if it was not listed.
    pub fn confirmed_at(&self, name: &SmolStr) -> Option<Instant> {
        self.topics.get(name).map(|contents| contents.position.confirmed_at)
    }

    /// Removes a topic.
    pub fn remove(&mut self, name: &SmolStr) {
        self.topics.remove(name);
    }

    /// Offers a list of a topic, or returns `None` if it was not listed. `hold` encodes the entries and holds
    /// them for the transfer.
    pub fn offer(
        &mut self,
        name: &SmolStr,
        hold: impl FnOnce(Vec<RelayedEntry>) -> ValueDigest,
        now: Instant,
    ) -> Option<ListOffer> {
        let contents = self.topics.get_mut(name)?;
        let current = contents.position;
        let offered = contents.offered.filter(|(position, _)| {
            position.is_at(&current) || now.ms_since(position.confirmed_at) <= REUSE_MS
        });
        let (position, digest) = match offered {
            Some((position, digest)) if position.is_at(&current) => (current, digest),
            Some(offered) => offered,
            None => (current, hold(contents.list())),
        };
        contents.offered = Some((position, digest));
        let KnownPosition { epoch, end, confirmed_at } = position;
        Some(ListOffer { epoch, end, age_ms: now.ms_since(confirmed_at), digest })
    }
}

impl Contents {
    fn apply(&mut self, changes: &[RelayedEntry]) {
        for RelayedEntry { key, value, revision } in changes {
            match value {
                Some(value) => {
                    self.entries.insert(key.clone(), (value.as_slice().into(), *revision));
                }
                None => {
                    self.entries.remove(key);
                }
            }
        }
    }

    fn list(&self) -> Vec<RelayedEntry> {
        let entry = |(key, (value, revision)): (&SmolStr, &(Arc<[u8]>, u64))| RelayedEntry {
            key: key.clone(),
            value: Some(value.to_vec()),
            revision: *revision,
        };
        self.entries.iter().map(entry).collect()
    }
}
