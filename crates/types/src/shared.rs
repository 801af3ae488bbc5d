//! Reference-counted values that several copies of a collection share.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A copy-on-write value that its clones share, so that copying a long list copies references only.
///
/// # Examples
///
/// ```
/// use yuccapass_types::Shared;
///
/// let mut name = Shared::new(String::from("a"));
/// let copy = name.clone();
/// assert!(name.ptr_eq(&copy));
/// name.make_mut().push('b');
/// assert_eq!((name.as_str(), copy.as_str()), ("ab", "a"));
/// ```
#[derive(PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shared<T>(Arc<T>);

impl<T> Shared<T> {
    /// Wraps a value.
    pub fn new(value: T) -> Self {
        Self(Arc::new(value))
    }

    /// Returns whether both refer to the same allocation; if not, their values may still be equal.
    pub fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl<T: Clone> Shared<T> {
    /// Returns a mutable reference; if the value is shared, it is copied first, so that the other
    /// clones keep theirs.
    pub fn make_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self::new(value)
    }
}

impl<T: fmt::Debug> fmt::Debug for Shared<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl<T: Serialize> Serialize for Shared<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Shared<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        T::deserialize(deserializer).map(Self::new)
    }
}
