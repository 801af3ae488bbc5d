//! State in shards, each under its own lock.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of shards in a table: several times the cores of an entry VM, so that threads rarely
/// contend for a lock.
const SHARD_COUNT: usize = 64;

/// A table that is split into shards by the hash of a key.
///
/// Code must hold at most one shard lock at a time, and none across an `await` or I/O. Shards are
/// reached only through closures, which makes both rules hard to break by accident.
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
    /// Creates a table and fills each shard with a value from `make_shard`.
    pub fn new(make_shard: impl Fn() -> T) -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::new(make_shard())).collect() }
    }

    /// Runs `action` on the shard of `key` under its lock.
    pub fn with<K: Hash + ?Sized, R>(&self, key: &K, action: impl FnOnce(&mut T) -> R) -> R {
        action(&mut lock(&self.shards[shard_index(key)]))
    }

    /// Folds over all shards in turn, locking each one only while `visit` runs on it.
    pub fn fold<A>(&self, initial: A, mut visit: impl FnMut(A, &mut T) -> A) -> A {
        self.shards.iter().fold(initial, |sum, shard| visit(sum, &mut lock(shard)))
    }
}

fn shard_index<K: Hash + ?Sized>(key: &K) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish() as usize % SHARD_COUNT
}

/// Locks a shard. A lock that was poisoned by a panic is used as it is, because each action leaves
/// the shard consistent.
fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
