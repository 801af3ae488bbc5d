//! State in shards, each under its own lock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Shards in one table: several times the cores of an entry VM, so that threads seldom meet.
const SHARD_COUNT: usize = 64;

/// A table that is split into shards by the hash of a key.
///
/// A caller holds at most one shard lock at a time and never across an await or I/O; the closure
/// interface makes both hard to get wrong.
///
/// # Examples
///
/// ```
/// use yuccapass_types::Sharded;
///
/// let counts: Sharded<Vec<&str>> = Sharded::default();
/// counts.with(&"a", |shard| shard.push("a"));
/// assert_eq!(counts.fold(0, |sum, shard| sum + shard.len()), 1);
/// ```
#[derive(Debug)]
pub struct Sharded<T> {
    shards: Box<[Mutex<T>]>,
}

impl<T: Default> Default for Sharded<T> {
    fn default() -> Self {
        Self::new(T::default)
    }
}

impl<T> Sharded<T> {
    /// Makes a table whose shards come from `make_shard`.
    pub fn new(make_shard: impl Fn() -> T) -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::new(make_shard())).collect() }
    }

    /// Runs `action` on the shard of `key` under its lock.
    pub fn with<K: Hash + ?Sized, R>(&self, key: &K, action: impl FnOnce(&mut T) -> R) -> R {
        action(&mut lock(&self.shards[shard_index(key)]))
    }

    /// Visits all shards one after the other, locking each only for its visit.
    pub fn fold<A>(&self, initial: A, mut visit: impl FnMut(A, &mut T) -> A) -> A {
        self.shards.iter().fold(initial, |sum, shard| visit(sum, &mut lock(shard)))
    }
}

fn shard_index<K: Hash + ?Sized>(key: &K) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish() as usize % SHARD_COUNT
}

/// Locks a shard, also after a panic in another thread: each action leaves the shard consistent.
fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
