//! Large values that a node knows, and references to them.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use yuccapass_types::{Bytes, SortedMap};

use super::{RelayItem, RelayedEntry};

/// Size from which a relay sends a reference in place of a value.
pub const LARGE_VALUE: Bytes = Bytes::new(4 << 10);

/// Number of values of a key that are held. Followers that are a few changes behind get the difference from
/// what they have.
const MAX_VALUES_OF_KEY: usize = 4;

/// Maximum size of the replaced values that are held. The newest value of each key is held in any case.
const MAX_REPLACED: Bytes = Bytes::new(4 << 20);

/// Identifies the bytes of a value: the first half of their BLAKE3 hash.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ValueDigest([u8; 16]);

impl ValueDigest {
    /// Returns the digest of a value.
    pub fn of(value: &[u8]) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&blake3::hash(value).as_bytes()[..16]);
        Self(bytes)
    }

    /// Returns the digest that has these bytes, such as one from a message.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for ValueDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for ValueDigest {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(u128::from_str_radix(text, 16)?.to_be_bytes()))
    }
}

/// A change of a key to a large value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedReference {
    /// The key.
    pub key: SmolStr,
    /// The digest of the value.
    pub digest: ValueDigest,
    /// The revision of the change.
    pub revision: u64,
}

#[derive(Debug, Clone)]
struct HeldValue {
    digest: ValueDigest,
    value: Arc<[u8]>,
}

/// The newest large value of each key, and some that it has replaced.
#[derive(Debug, Clone, Default)]
pub struct HeldValues {
    // The values of a key from the oldest to the newest.
    keys: SortedMap<SmolStr, VecDeque<HeldValue>>,
}

impl HeldValues {
    /// Holds a value as the newest of its key, and returns its digest.
    pub fn hold(&mut self, key: &SmolStr, value: &[u8]) -> ValueDigest {
        let digest = ValueDigest::of(value);
        let values = self.keys.get_or_insert_with(key.clone(), VecDeque::new);
        let known = values.iter().position(|held| held.digest == digest);
        let held = match known.and_then(|position| values.remove(position)) {
            Some(held) => held,
            None => HeldValue { digest, value: value.into() },
        };
        values.push_back(held);
        if values.len() > MAX_VALUES_OF_KEY {
            values.pop_front();
        }
        self.limit_replaced();
        digest
    }

    /// Returns a value.
    pub fn get(&self, key: &SmolStr, digest: ValueDigest) -> Option<Arc<[u8]>> {
        let values = self.keys.get(key)?;
        values.iter().find(|held| held.digest == digest).map(|held| Arc::clone(&held.value))
    }

    /// Returns the digest of the newest value of a key.
    pub fn newest(&self, key: &SmolStr) -> Option<ValueDigest> {
        self.keys.get(key)?.back().map(|held| held.digest)
    }

    /// Holds the large values among changes that a relay has read, and replaces them with references.
    pub fn refer(&mut self, items: Vec<(u64, RelayItem)>) -> Vec<(u64, RelayItem)> {
        let refer = |(position, item)| match item {
            RelayItem::Entry(RelayedEntry { key, value: Some(value), revision })
                if value.len() as u64 >= LARGE_VALUE.get() =>
            {
                let digest = self.hold(&key, &value);
                (position, RelayItem::Reference(RelayedReference { key, digest, revision }))
            }
            item => (position, item),
        };
        items.into_iter().map(refer).collect()
    }

    /// Replaces the references among changes with the values. Fails with the first one whose value is not
    /// held.
    pub fn resolve(&self, items: Vec<RelayItem>) -> Result<Vec<RelayItem>, RelayedReference> {
        let resolve = |item| match item {
            RelayItem::Reference(reference) => match self.get(&reference.key, reference.digest) {
                Some(value) => Ok(RelayItem::Entry(RelayedEntry {
                    key: reference.key,
                    value: Some(value.to_vec()),
                    revision: reference.revision,
                })),
                None => Err(reference),
            },
            item => Ok(item),
        };
        items.into_iter().map(resolve).collect()
    }

    /// Drops the oldest replaced values, of the keys in their order, until the rest is small enough.
    fn limit_replaced(&mut self) {
        let size = |held: &HeldValue| Bytes::new(held.value.len() as u64);
        let replaced =
            |values: &VecDeque<HeldValue>| values.iter().rev().skip(1).map(size).sum::<Bytes>();
        let mut total: Bytes = self.keys.values().map(replaced).sum();
        for values in self.keys.values_mut() {
            while total > MAX_REPLACED && values.len() > 1 {
                let dropped = values.pop_front().as_ref().map(size).unwrap_or_default();
                total = total.saturating_sub(dropped);
            }
        }
    }
}

/// Leaves out references to values that a later change in the same list replaces.
pub(super) fn without_replaced(items: Vec<RelayItem>) -> Vec<RelayItem> {
    let key_of = |item: &RelayItem| match item {
        RelayItem::Entry(entry) => Some(entry.key.clone()),
        RelayItem::Reference(reference) => Some(reference.key.clone()),
        RelayItem::Part(_) => None,
    };
    let mut later: SortedMap<SmolStr, ()> = SortedMap::new();
    let mut kept: Vec<RelayItem> = Vec::with_capacity(items.len());
    for item in items.into_iter().rev() {
        let is_replaced = key_of(&item).is_some_and(|key| later.insert(key, ()).is_some());
        if !(is_replaced && matches!(item, RelayItem::Reference(_))) {
            kept.push(item);
        }
    }
    kept.reverse();
    kept
}
