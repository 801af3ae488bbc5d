//! The operators' configuration: document, validation, chunks and distribution.
//!
//! A document is stored and sent as content-addressed chunks, which one [`Manifest`] lists. A
//! change is atomic, since only the manifest is replaced by compare-and-swap, and only the chunks
//! that changed are transferred. [`ConfigSync`] collects manifests and chunks from the platform and
//! from other nodes and selects the active document.

mod active;
mod chunk;
mod document;
mod manifest;
mod pending;
mod split;
mod sync;
mod validate;

pub use active::ActiveConfig;
pub use chunk::{ChunkHash, ChunkItems, ListKind, MAX_CHUNK_BYTES};
pub use document::{
    Class, DEFAULT_BLOCK_PAYLOAD, Document, Endpoint, Model, Organisation, Service, Store, Voter,
    Zone, ZoneAdapter, ZoneState, ZoneVersion,
};
pub use manifest::{AppliedCommand, MAX_COMMANDS, MAX_MANIFEST_BYTES, Manifest};
pub use split::{ChunkSpan, split};
pub use sync::{Action, ConfigSync, RejectReason, Source};
pub use validate::{InvalidDocument, validate};
