//! A map that is stored as a sorted vector.

/// A map from keys to values, stored as a vector sorted by key and searched by binary search.
///
/// Insertion and removal shift all entries after the key, so a large or busy table is split into
/// shards until each map is small.
///
/// # Examples
///
/// ```
/// use yuccapass_types::SortedMap;
///
/// let mut map = SortedMap::new();
/// map.insert("b", 2);
/// map.insert("a", 1);
/// assert_eq!(map.get(&"a"), Some(&1));
/// assert_eq!(map.keys().copied().collect::<Vec<_>>(), ["a", "b"]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        let position = self.position(key).ok()?;
        Some(&self.entries[position].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let position = self.position(key).ok()?;
        Some(&mut self.entries[position].1)
    }

    /// Returns whether `key` has a value.
    pub fn contains_key(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Sets the value of `key` and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(position) => Some(std::mem::replace(&mut self.entries[position].1, value)),
            Err(position) => {
                self.entries.insert(position, (key, value));
                None
            }
        }
    }

    /// Returns a mutable reference to the value of `key`, inserting one from `make_value` if there
    /// is none.
    pub fn get_or_insert_with(&mut self, key: K, make_value: impl FnOnce() -> V) -> &mut V {
        let position = match self.position(&key) {
            Ok(position) => position,
            Err(position) => {
                self.entries.insert(position, (key, make_value()));
                position
            }
        };
        &mut self.entries[position].1
    }

    /// Removes `key` and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let position = self.position(key).ok()?;
        Some(self.entries.remove(position).1)
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Returns the entries in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Returns the entries in key order, with mutable references to their values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.entries.iter().map(|(key, _)| key)
    }

    /// Returns the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.entries.iter().map(|(_, value)| value)
    }

    /// Returns mutable references to the values in key order.
    pub fn values_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut V> {
        self.entries.iter_mut().map(|(_, value)| value)
    }

    /// Returns the entries in key order, with mutable references to their values, as
    /// [`SortedMap::iter_mut`] does.
    pub fn entries_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Consumes the map and returns its entries in key order.
    pub fn into_entries(self) -> impl DoubleEndedIterator<Item = (K, V)> {
        self.entries.into_iter()
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(entry_key, _)| entry_key.cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    /// Collects entries; if a key occurs several times, its last value is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut sorted: Vec<(K, V)> = entries.into_iter().collect();
        sorted.sort_by(|(a, _), (b, _)| a.cmp(b));
        // dedup_by drops its first argument, the later element, so its value is moved to the
        // earlier one first.
        sorted.dedup_by(|later, kept| {
            let same = later.0 == kept.0;
            if same {
                std::mem::swap(&mut later.1, &mut kept.1);
            }
            same
        });
        Self { entries: sorted }
    }
}
