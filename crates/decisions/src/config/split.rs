//! Splitting a document into chunks.

use serde::Serialize;
use smol_str::format_smolstr;
use yuccapass_types::Shared;

use super::chunk::{ChunkHash, ListKind, MAX_CHUNK_BYTES};
use super::document::{Document, Organisation};
use super::validate::InvalidDocument;

/// One of this many ids begins a chunk.
///
/// An organisation takes about 300 bytes, so a chunk has about 19 KB and the manifest of 23,000
/// organisations about as much: their sum, which a change moves, is then near its minimum.
const MEAN_ITEMS: u64 = 64;

/// Where in a document the items of a chunk are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkSpan {
    /// The hash of the chunk's bytes.
    pub hash: ChunkHash,
    /// The list.
    pub kind: ListKind,
    /// The position of the first item.
    pub start: u32,
    /// The position behind the last item.
    pub end: u32,
}

/// Splits a document into chunks and passes each one to `visit`, in order.
///
/// Where a chunk begins depends on the hash of the id at its start and not on the number of items
/// before it, so adding or removing an item changes one chunk, rarely two.
///
/// # Errors
///
/// Fails if one item alone is larger than a chunk.
pub fn split(
    document: &Document,
    visit: &mut dyn FnMut(ChunkSpan, &[u8]),
) -> Result<(), InvalidDocument> {
    split_after(None, document, &mut |span, bytes| {
        if let Some(bytes) = bytes {
            visit(span, bytes);
        }
    })
}

/// What is called for each chunk; without bytes if the chunk is one of the earlier document.
type Visit<'a> = dyn FnMut(ChunkSpan, Option<&[u8]>) + 'a;

/// Splits a document like [`split`], without encoding organisations again that an earlier document
/// has in the same chunk.
pub(crate) fn split_after(
    earlier: Option<&EarlierSplit<'_>>,
    document: &Document,
    visit: &mut Visit<'_>,
) -> Result<(), InvalidDocument> {
    split_list(ListKind::Zones, &document.zones, |item| item.id.as_str(), visit)?;
    split_list(ListKind::Classes, &document.classes, |item| item.id.as_str(), visit)?;
    split_list(ListKind::Models, &document.models, |item| item.id.as_str(), visit)?;
    split_list(ListKind::Endpoints, &document.endpoints, |item| item.id.as_str(), visit)?;
    split_list(ListKind::Services, &document.services, |item| item.id.as_str(), visit)?;
    split_list(ListKind::Stores, &document.stores, |item| item.id.as_str(), visit)?;
    let reuse = |position: usize| earlier?.span_at(&document.organisations, position);
    split_reusing(ListKind::Organisations, &document.organisations, organisation_id, &reuse, visit)
}

fn organisation_id(organisation: &Shared<Organisation>) -> &str {
    organisation.id.as_str()
}

/// The organisations of an earlier document and their chunks.
pub(crate) struct EarlierSplit<'a> {
    organisations: &'a [Shared<Organisation>],
    /// Sorted by position.
    spans: Vec<ChunkSpan>,
}

impl<'a> EarlierSplit<'a> {
    pub(crate) fn new(document: &'a Document, spans: &[ChunkSpan]) -> Self {
        let mut spans: Vec<ChunkSpan> =
            spans.iter().filter(|span| span.kind == ListKind::Organisations).copied().collect();
        spans.sort_unstable_by_key(|span| span.start);
        Self { organisations: &document.organisations, spans }
    }

    /// Returns the earlier chunk that also begins at `position` of a later list, if splitting that
    /// list gives the same chunk.
    fn span_at(&self, later: &[Shared<Organisation>], position: usize) -> Option<ChunkSpan> {
        let first = &later[position];
        let id_at = |span: &ChunkSpan| &self.organisations[span.start as usize].id;
        let found = self.spans.binary_search_by(|span| id_at(span).cmp(&first.id)).ok()?;
        let span = self.spans[found];
        let earlier_items = &self.organisations[span.start as usize..span.end as usize];
        let end = position + earlier_items.len();
        let later_items = later.get(position..end)?;
        let is_unchanged = earlier_items.iter().zip(later_items).all(|(a, b)| a.ptr_eq(b));
        let ends_here = match (later.get(end), self.organisations.get(span.end as usize)) {
            (None, _) => true,
            (Some(next), _) if begins_chunk(next.id.as_str()) => true,
            // The earlier chunk was full, and so is this one.
            (Some(next), Some(earlier_next)) => next.ptr_eq(earlier_next),
            (Some(_), None) => false,
        };
        let span = ChunkSpan { start: position as u32, end: end as u32, ..span };
        (is_unchanged && ends_here).then_some(span)
    }
}

fn split_list<T: Serialize>(
    kind: ListKind,
    items: &[T],
    id_of: fn(&T) -> &str,
    visit: &mut Visit<'_>,
) -> Result<(), InvalidDocument> {
    split_reusing(kind, items, id_of, &|_| None, visit)
}

/// Splits a list; `reuse` returns the chunk that begins at a position, if it is known.
fn split_reusing<T: Serialize>(
    kind: ListKind,
    items: &[T],
    id_of: fn(&T) -> &str,
    reuse: &dyn Fn(usize) -> Option<ChunkSpan>,
    visit: &mut Visit<'_>,
) -> Result<(), InvalidDocument> {
    let mut writer = ChunkWriter::new(kind, visit);
    let mut encoded = Vec::new();
    let mut position = 0;
    while let Some(item) = items.get(position) {
        if writer.begins_at(id_of(item))
            && let Some(span) = reuse(position)
        {
            writer.reuse(span);
            position = span.end as usize;
            continue;
        }
        encoded.clear();
        serde_json::to_writer(&mut encoded, item).expect("an item is writable as JSON");
        if encoded.len() + writer.frame_bytes() > MAX_CHUNK_BYTES {
            let field = format_smolstr!("{}.{}.bytes", kind.name(), id_of(item));
            let bound = format_smolstr!("an item must fit into a chunk of {MAX_CHUNK_BYTES}");
            return Err(InvalidDocument::new(field, encoded.len(), bound));
        }
        writer.add(id_of(item), &encoded);
        position += 1;
    }
    writer.finish();
    Ok(())
}

fn begins_chunk(id: &str) -> bool {
    let hash = blake3::hash(id.as_bytes());
    let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash has more than 8 bytes");
    u64::from_le_bytes(*head).is_multiple_of(MEAN_ITEMS)
}

/// Writes the same bytes as [`ChunkItems::encode`](super::chunk::ChunkItems::encode) without copying items.
struct ChunkWriter<'a> {
    kind: ListKind,
    buffer: Vec<u8>,
    start: u32,
    end: u32,
    visit: &'a mut Visit<'a>,
}

impl<'a> ChunkWriter<'a> {
    fn new(kind: ListKind, visit: &'a mut Visit<'a>) -> Self {
        Self { kind, buffer: Vec::new(), start: 0, end: 0, visit }
    }

    /// Bytes of a chunk around a single item.
    fn frame_bytes(&self) -> usize {
        self.kind.name().len() + r#"{"":[]}"#.len()
    }

    fn add(&mut self, id: &str, encoded: &[u8]) {
        let next_bytes = self.buffer.len() + encoded.len() + ",]}".len();
        if self.end > self.start && (begins_chunk(id) || next_bytes > MAX_CHUNK_BYTES) {
            self.finish();
        }
        if self.end == self.start {
            self.buffer.extend_from_slice(format!("{{\"{}\":[", self.kind.name()).as_bytes());
        } else {
            self.buffer.push(b',');
        }
        self.buffer.extend_from_slice(encoded);
        self.end += 1;
    }

    /// Returns whether a chunk begins with the item of this id, whatever its size.
    fn begins_at(&self, id: &str) -> bool {
        self.end == self.start || begins_chunk(id)
    }

    /// Ends the chunk that is being written and adds a known one.
    fn reuse(&mut self, span: ChunkSpan) {
        self.finish();
        (self.visit)(span, None);
        (self.start, self.end) = (span.end, span.end);
    }

    fn finish(&mut self) {
        if self.end == self.start {
            return;
        }
        self.buffer.extend_from_slice(b"]}");
        let hash = ChunkHash::of(&self.buffer);
        let span = ChunkSpan { hash, kind: self.kind, start: self.start, end: self.end };
        (self.visit)(span, Some(&self.buffer));
        self.buffer.clear();
        self.start = self.end;
    }
}
