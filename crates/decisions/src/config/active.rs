//! A complete and valid configuration.

use super::chunk::{ChunkHash, ChunkItems};
use super::document::Document;
use super::manifest::Manifest;
use super::split::{ChunkSpan, EarlierSplit, split_after};
use super::validate::{InvalidDocument, validate};

/// A valid document with its manifest.
///
/// The bytes of the chunks are not kept: a neighbour that asks for a chunk gets it encoded again
/// from the document, which saves a second copy of the configuration in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveConfig {
    document: Document,
    manifest: Manifest,
    /// Sorted by hash.
    spans: Vec<ChunkSpan>,
}

impl ActiveConfig {
    /// Makes a configuration from a document that comes without a manifest, such as a file.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not valid.
    pub fn from_document(document: Document) -> Result<Self, InvalidDocument> {
        let manifest = Manifest {
            revision: document.revision,
            voters_revision: document.revision,
            ..Manifest::default()
        };
        Self::after(None, document, manifest, &mut |_, _| {})
    }

    /// Splits a document and sets the chunks of its manifest.
    ///
    /// Passes chunks to `visit`, at least those that the earlier configuration does not have.
    pub(crate) fn after(
        earlier: Option<&Self>,
        document: Document,
        mut manifest: Manifest,
        visit: &mut dyn FnMut(ChunkHash, &[u8]),
    ) -> Result<Self, InvalidDocument> {
        validate(&document)?;
        let mut spans = Vec::new();
        let earlier = earlier.map(|earlier| EarlierSplit::new(&earlier.document, &earlier.spans));
        split_after(earlier.as_ref(), &document, &mut |span, bytes| {
            spans.push(span);
            if let Some(bytes) = bytes {
                visit(span.hash, bytes);
            }
        })?;
        manifest.chunks = spans.iter().map(|span| span.hash).collect();
        manifest.check()?;
        spans.sort_unstable_by_key(|span| span.hash);
        Ok(Self { document, manifest, spans })
    }

    /// Puts a document together from its chunks; `take` returns the part of a chunk.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is missing or the document is not valid.
    pub fn assemble(
        manifest: Manifest,
        mut take: impl FnMut(&ChunkHash) -> Option<ChunkItems>,
    ) -> Result<Self, InvalidDocument> {
        manifest.check()?;
        let mut document = Document { revision: manifest.revision, ..Document::default() };
        let mut spans = Vec::with_capacity(manifest.chunks.len());
        for hash in &manifest.chunks {
            let part = take(hash).ok_or_else(|| {
                InvalidDocument::new("manifest.chunks".into(), hash, "the chunk is missing")
            })?;
            let kind = part.kind();
            let (start, end) = part.append_to(&mut document);
            spans.push(ChunkSpan { hash: *hash, kind, start, end });
        }
        shrink(&mut document);
        validate(&document)?;
        spans.sort_unstable_by_key(|span| span.hash);
        Ok(Self { document, manifest, spans })
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns whether the configuration has a chunk.
    pub fn has_chunk(&self, hash: &ChunkHash) -> bool {
        self.span(hash).is_some()
    }

    /// Returns a copy of the items of a chunk.
    pub fn chunk_items(&self, hash: &ChunkHash) -> Option<ChunkItems> {
        let span = self.span(hash)?;
        Some(ChunkItems::of_range(&self.document, span.kind, span.start, span.end))
    }

    /// Returns the bytes of a chunk, for a neighbour or for the platform.
    pub fn chunk_bytes(&self, hash: &ChunkHash) -> Option<Vec<u8>> {
        self.chunk_items(hash).map(|part| part.encode())
    }

    fn span(&self, hash: &ChunkHash) -> Option<&ChunkSpan> {
        let position = self.spans.binary_search_by_key(hash, |span| span.hash).ok()?;
        Some(&self.spans[position])
    }
}

/// Returns the room that growing the long lists left over.
fn shrink(document: &mut Document) {
    document.endpoints.shrink_to_fit();
    document.organisations.shrink_to_fit();
}
