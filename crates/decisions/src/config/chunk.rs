//! Chunks: the parts that a document is stored and sent in.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::{SmolStr, format_smolstr};
use yuccapass_types::Shared;

use super::document::{Class, Document, Endpoint, Model, Organisation, Service, Store, Zone};
use super::validate::InvalidDocument;

/// Most bytes of a chunk.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// The BLAKE3 hash of a chunk's bytes, by which the chunk is stored and asked for.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ChunkHash([u8; 32]);

impl ChunkHash {
    /// Hashes the bytes of a chunk.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Wraps the bytes of a hash that a message carries.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the hash.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkHash({self})")
    }
}

impl FromStr for ChunkHash {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, blake3::HexError> {
        blake3::Hash::from_hex(text).map(|hash| Self(*hash.as_bytes()))
    }
}

macro_rules! parts {
    ($($variant:ident, $field:ident, $item:ty;)+) => {
        /// The list of a document that a chunk holds a range of.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum ListKind {
            $(#[doc = concat!("The list `", stringify!($field), "`.")] $variant,)+
        }

        impl ListKind {
            /// Returns the name of the list.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => stringify!($field),)+ }
            }
        }

        /// A range of one list of a document.
        #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ChunkItems {
            $(#[doc = concat!("A range of `", stringify!($field), "`.")] $variant(Vec<$item>),)+
        }

        impl ChunkItems {
            /// Returns the list that the part belongs to.
            pub fn kind(&self) -> ListKind {
                match self { $(Self::$variant(_) => ListKind::$variant,)+ }
            }

            /// Copies a range of a list; an empty part if the range is out of the list.
            pub(crate) fn of_range(document: &Document, kind: ListKind, start: u32, end: u32) -> Self {
                let range = start as usize..end as usize;
                match kind {
                    $(ListKind::$variant => {
                        Self::$variant(document.$field.get(range).unwrap_or_default().to_vec())
                    })+
                }
            }

            /// Appends the items to their list and returns the range that they have there.
            pub(crate) fn append_to(self, document: &mut Document) -> (u32, u32) {
                match self {
                    $(Self::$variant(items) => {
                        let start = document.$field.len() as u32;
                        document.$field.extend(items);
                        (start, document.$field.len() as u32)
                    })+
                }
            }
        }
    };
}

parts! {
    Zones, zones, Zone;
    Classes, classes, Class;
    Models, models, Model;
    Endpoints, endpoints, Endpoint;
    Services, services, Service;
    Stores, stores, Store;
    Organisations, organisations, Shared<Organisation>;
}

impl ChunkItems {
    /// Decodes the bytes of a chunk.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are too many or hold no part.
    pub fn decode(bytes: &[u8]) -> Result<Self, InvalidDocument> {
        if bytes.len() > MAX_CHUNK_BYTES {
            let bound = format_smolstr!("a chunk may have at most {MAX_CHUNK_BYTES}");
            return Err(InvalidDocument::new("chunk.bytes".into(), bytes.len(), bound));
        }
        serde_json::from_slice(bytes).map_err(|error| {
            let bound: SmolStr = "it must hold a range of one list".into();
            InvalidDocument::new("chunk".into(), error, bound)
        })
    }

    /// Returns the canonical bytes: the same for equal parts.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a part holds only texts, numbers and lists")
    }
}
