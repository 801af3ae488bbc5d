//! Splitting a document into chunks.

use serde::Serialize;
use smol_str::format_smolstr;

use super::chunk::{ChunkHash, MAX_CHUNK_BYTES, PartKind};
use super::document::Document;
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
    pub kind: PartKind,
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
    split_list(PartKind::Zones, &document.zones, |item| item.id.as_str(), visit)?;
    split_list(PartKind::Classes, &document.classes, |item| item.id.as_str(), visit)?;
    split_list(PartKind::Models, &document.models, |item| item.id.as_str(), visit)?;
    split_list(PartKind::Endpoints, &document.endpoints, |item| item.id.as_str(), visit)?;
    split_list(PartKind::Services, &document.services, |item| item.id.as_str(), visit)?;
    split_list(PartKind::Organisations, &document.organisations, |item| item.id.as_str(), visit)
}

fn split_list<T: Serialize>(
    kind: PartKind,
    items: &[T],
    id_of: fn(&T) -> &str,
    visit: &mut dyn FnMut(ChunkSpan, &[u8]),
) -> Result<(), InvalidDocument> {
    let mut writer = ChunkWriter::new(kind, visit);
    let mut encoded = Vec::new();
    for item in items {
        encoded.clear();
        serde_json::to_writer(&mut encoded, item).expect("an item is writable as JSON");
        if encoded.len() + writer.frame_bytes() > MAX_CHUNK_BYTES {
            let field = format_smolstr!("{}.{}.bytes", kind.name(), id_of(item));
            let bound = format_smolstr!("an item must fit into a chunk of {MAX_CHUNK_BYTES}");
            return Err(InvalidDocument::new(field, encoded.len(), bound));
        }
        writer.add(id_of(item), &encoded);
    }
    writer.finish();
    Ok(())
}

fn begins_chunk(id: &str) -> bool {
    let hash = blake3::hash(id.as_bytes());
    let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash has more than 8 bytes");
    u64::from_le_bytes(*head).is_multiple_of(MEAN_ITEMS)
}

/// Writes the same bytes as [`Part::encode`](super::chunk::Part::encode) without copying items.
struct ChunkWriter<'a> {
    kind: PartKind,
    buffer: Vec<u8>,
    start: u32,
    end: u32,
    visit: &'a mut dyn FnMut(ChunkSpan, &[u8]),
}

impl<'a> ChunkWriter<'a> {
    fn new(kind: PartKind, visit: &'a mut dyn FnMut(ChunkSpan, &[u8])) -> Self {
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

    fn finish(&mut self) {
        if self.end == self.start {
            return;
        }
        self.buffer.extend_from_slice(b"]}");
        let hash = ChunkHash::of(&self.buffer);
        let span = ChunkSpan { hash, kind: self.kind, start: self.start, end: self.end };
        (self.visit)(span, &self.buffer);
        self.buffer.clear();
        self.start = self.end;
    }
}
