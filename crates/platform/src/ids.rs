//! Checked keys, values, revisions and lease ids.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use snafu::Snafu;

/// Largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest key, in bytes; a key is a path with a few ids of at most 64 bytes each.
const MAX_KEY_BYTES: usize = 256;

/// Reports a key, value or number outside its limits.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{type_name} {problem}"))]
pub struct InvalidId {
    type_name: &'static str,
    problem: &'static str,
}

/// A key: 1 to 256 printable ASCII bytes without a space.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Key(SmolStr);

impl Key {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key followed by a slash and `name`.
    ///
    /// # Errors
    ///
    /// Fails if the result is not a valid key.
    pub fn child(&self, name: &str) -> Result<Self, InvalidId> {
        format!("{}/{name}", self.0).parse()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let fail = |problem| Err(InvalidId { type_name: "key", problem });
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return fail("does not have 1 to 256 bytes");
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return fail("has a byte that is not printable ASCII");
        }
        Ok(Self(SmolStr::new(text)))
    }
}

/// Where the next page of a range begins.
///
/// The text is meant for the client that returned it. It need not be a valid [`Key`]: other writers may use
/// names that this system does not.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct PageCursor(SmolStr);

impl PageCursor {
    /// Creates a cursor with a text that its client can read.
    pub fn new(text: impl Into<SmolStr>) -> Self {
        Self(text.into())
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PageCursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PageCursor {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}

/// A value of at most [`MAX_VALUE_BYTES`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Value(Vec<u8>);

impl Value {
    /// Creates a value and checks its size.
    ///
    /// # Errors
    ///
    /// Fails if there are more than [`MAX_VALUE_BYTES`].
    pub fn new(bytes: Vec<u8>) -> Result<Self, InvalidId> {
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(InvalidId { type_name: "value", problem: "has more than 1 MiB" });
        }
        Ok(Self(bytes))
    }

    /// Returns the bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $label:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay,
            DeserializeFromStr,
        )]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number that follows this one.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                let problem = "is not a whole number";
                text.parse().map(Self).map_err(|_| InvalidId { type_name: $label, problem })
            }
        }
    };
}

number! {
    /// An era of the key-value service: it rises when the service comes back from an older copy, and the
    /// numbers that the service gives out are then given out again. Services that name none are in era 0.
    StoreEra, "store era"
}

/// Separates the era from the number in the text of a number that belongs to an era.
const ERA_SEPARATOR: char = ':';

macro_rules! number_of_era {
    ($(#[$doc:meta])* $name:ident, $label:literal) => {
        $(#[$doc])*
        ///
        /// The same number may stand for something else in another era, so numbers are compared by their
        /// era first. The text form is `era:number`, or only the number in era 0.
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay,
            DeserializeFromStr,
        )]
        pub struct $name {
            era: StoreEra,
            number: u64,
        }

        impl $name {
            /// Wraps a number of era 0, for services that name no era.
            pub const fn new(number: u64) -> Self {
                Self { era: StoreEra::new(0), number }
            }

            /// Returns the same number in another era.
            pub const fn in_era(self, era: StoreEra) -> Self {
                Self { era, number: self.number }
            }

            /// Returns the era to which the number belongs.
            pub const fn era(self) -> StoreEra {
                self.era
            }

            /// Returns the number without its era.
            pub const fn get(self) -> u64 {
                self.number
            }

            /// Returns the number that follows this one in the same era.
            pub const fn next(self) -> Self {
                Self { era: self.era, number: self.number.saturating_add(1) }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self.era.get() {
                    0 => self.number.fmt(f),
                    era => write!(f, "{era}{ERA_SEPARATOR}{}", self.number),
                }
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                let problem = "is neither a whole number nor an era and a whole number";
                let (era, number) = text.split_once(ERA_SEPARATOR).unwrap_or(("0", text));
                let invalid = |_| InvalidId { type_name: $label, problem };
                let era = StoreEra::new(era.parse().map_err(invalid)?);
                Ok(Self { era, number: number.parse().map_err(invalid)? })
            }
        }
    };
}

number_of_era! {
    /// A revision of the key-value service; each committed transaction increments it.
    KeyValueRevision, "key-value revision"
}
number_of_era! {
    /// Identifies a lease.
    LeaseId, "lease id"
}
number! {
    /// Lifetime of a lease in whole seconds, the unit of the protocol.
    LeaseTtl, "lease lifetime"
}

impl LeaseTtl {
    /// Returns the lifetime in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0.saturating_mul(1_000)
    }
}

/// Names a VM in the platform's list.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct VmId(Key);

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for VmId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        text.parse().map(Self)
    }
}
