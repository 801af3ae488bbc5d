//! The operators' configuration: document, checks, chunks and distribution.
//!
//! A document is stored and sent as content-addressed chunks under one [`Manifest`]. Replacing the
//! manifest is the only compare-and-swap, so a change is atomic, and only the chunks that changed
//! are moved. [`ConfigSync`] collects manifests and chunks from the platform and from neighbours
//! and decides which document is in force.

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
