//! Checked newtypes for names and numbers that identify something.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use snafu::Snafu;

/// Longest accepted text id, in bytes.
///
/// Ids are sent in heartbeats and used as metric labels, so they have to be short.
const MAX_ID_BYTES: usize = 64;

/// Longest accepted cache namespace, in bytes: an organisation id with a number before it.
const MAX_CACHE_NAMESPACE_BYTES: usize = 96;

/// Longest accepted idempotency key, in bytes; clients commonly send a UUID or a UUID with a
/// prefix.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Reports why a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{type_name} {text:?} {kind}"))]
pub struct ParseIdError {
    type_name: &'static str,
    text: SmolStr,
    kind: ParseIdErrorKind,
}

impl ParseIdError {
    /// Returns what is wrong with the text.
    pub fn kind(&self) -> ParseIdErrorKind {
        self.kind
    }

    fn new(type_name: &'static str, text: &str, kind: ParseIdErrorKind) -> Self {
        // Only the beginning is kept, so that an error never carries a long untrusted text.
        let shown: SmolStr = text.chars().take(MAX_ID_BYTES).collect();
        Self { type_name, text: shown, kind }
    }
}

/// What is wrong with the text of an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ParseIdErrorKind {
    /// The text is empty.
    Empty,
    /// The text is longer than the limit, in bytes.
    TooLong(usize),
    /// The text has a character that this kind of id does not allow.
    Character(char),
    /// The text is not a number, or not one of the expected form.
    Number,
}

impl fmt::Display for ParseIdErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("is empty"),
            Self::TooLong(limit) => write!(f, "is longer than {limit} bytes"),
            Self::Character(c) => write!(f, "contains the character {c:?}, which is not allowed"),
            Self::Number => f.write_str("is not a valid number"),
        }
    }
}

fn check_text(
    type_name: &'static str,
    text: &str,
    max_bytes: usize,
    allowed: fn(char) -> bool,
) -> Result<SmolStr, ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::new(type_name, text, ParseIdErrorKind::Empty));
    }
    if text.len() > max_bytes {
        return Err(ParseIdError::new(type_name, text, ParseIdErrorKind::TooLong(max_bytes)));
    }
    if let Some(c) = text.chars().find(|&c| !allowed(c)) {
        return Err(ParseIdError::new(type_name, text, ParseIdErrorKind::Character(c)));
    }
    Ok(SmolStr::new(text))
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

fn is_printable_ascii(c: char) -> bool {
    c.is_ascii_graphic()
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $max_bytes:expr, $allowed:expr) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check_text(stringify!($name), text, $max_bytes, $allowed).map(Self)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
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

            /// Returns the id that follows this one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse().map(Self).map_err(|_| {
                    ParseIdError::new(stringify!($name), text, ParseIdErrorKind::Number)
                })
            }
        }
    };
}

text_id! {
    /// Names an organisation, the unit of isolation, approval and fairness.
    OrganisationId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names an availability zone.
    ZoneId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a region, a group of zones with a fast network between them.
    RegionId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a node slot: one `yuccapassd` process at a time runs under it.
    NodeId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names an endpoint: one replica of a model engine or of a plain service.
    EndpointId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a model as callers name it in a request.
    ModelId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a plain service: one that is not a model engine.
    ServiceId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a version of a service's software, in a form that its operators choose.
    SoftwareVersion, MAX_ID_BYTES, is_printable_ascii
}
text_id! {
    /// Names a version of a model's weights.
    WeightVersion, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names an adapter that is applied to a model's weights.
    AdapterId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a route, through which requests reach a service.
    RouteId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a part of a prompt; equal parts of two prompts have the same id.
    PromptPartId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a namespace for cached prompt parts; a part is found only in the namespace that it was
    /// cached in.
    CacheNamespace, MAX_CACHE_NAMESPACE_BYTES, is_name_char
}
text_id! {
    /// Names a store: a group of VMs that keeps exported KV cache blocks.
    StoreId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Names a request class, which has a priority.
    ClassId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Identifies one request of a caller; shown in logs and errors.
    RequestId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// Identifies one operator command, so that a command sent twice takes effect once.
    CommandId, MAX_ID_BYTES, is_name_char
}
text_id! {
    /// A caller's idempotency key, by which a repeated request is recognised.
    IdempotencyKey, MAX_IDEMPOTENCY_KEY_BYTES, is_printable_ascii
}

number_id! {
    /// Distinguishes processes that run one after the other under the same name; larger is newer.
    Incarnation
}
number_id! {
    /// Orders configurations; larger is newer.
    Revision
}
number_id! {
    /// Orders the weights that were set for a model one after the other; larger is newer.
    WeightRevision
}
number_id! {
    /// Orders the roll-outs that operators request for a service; larger is newer.
    RolloutOrderId
}
number_id! {
    /// A fencing token: it grows with each holder of a lease, so that a receiver that checks it can
    /// reject an earlier holder.
    ///
    /// The high bits contain the era of the key-value service in which the holder acquired the lease, so
    /// that the numbers of a later era are higher than all that may be lost with the state of an earlier one.
    FencingNumber
}

impl FencingNumber {
    /// Bits of the count of holders within an era. Up to era 2^29 a number fits into 53 bits, which receivers
    /// that read numbers as floating-point values keep.
    const COUNTER_BITS: u32 = 24;

    /// Returns the number of the holder in this era that follows the one with the number `last`; `None` if
    /// the era has no number left.
    pub fn following(last: Option<Self>, era: u64) -> Option<Self> {
        let before_era = era.checked_mul(1 << Self::COUNTER_BITS)?;
        let last_number = match last {
            None => before_era,
            // The first number of an era is for the very first holder, see `is_first`.
            Some(last) => last.0.max(before_era.checked_add(1)?),
        };
        let number = last_number.checked_add(1)?;
        let is_in_era = era == 0 || number >> Self::COUNTER_BITS == era;
        is_in_era.then_some(Self(number))
    }

    /// Returns whether there was no holder before, as far as the service can tell: it has no earlier number,
    /// and has not come back from an older copy. The era of a service that starts is 0 or 1.
    pub const fn is_first(self) -> bool {
        matches!(self.0, 0 | 1) || self.0 == (1 << Self::COUNTER_BITS) + 1
    }
}

/// The BLAKE3 hash of a caller's bearer key; the key itself is never stored.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as the caller sent it.
    pub fn of_key(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl FromStr for KeyHash {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let hash = blake3::Hash::from_hex(text)
            .map_err(|_| ParseIdError::new("KeyHash", text, ParseIdErrorKind::Number))?;
        Ok(Self(*hash.as_bytes()))
    }
}
