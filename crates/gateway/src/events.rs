//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;
use yuccapass_http::message::MessageError;

/// Maximum size of an event, which is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Maximum number of bytes of empty lines and comments between two events. They carry nothing, so an
/// endpoint that sends more is in trouble; a comment to keep a connection open takes a few bytes a second.
const MAX_FILLER_BYTES: usize = 16 << 10;

/// Buffers the bytes of a stream and returns complete events only.
///
/// An endpoint may fail in the middle of an event. Another endpoint then resumes the stream after
/// the last complete event, so an incomplete event must never reach the caller.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<SmolStr>,
    // Bytes of empty lines and comments since the last event.
    filler_bytes: usize,
    // Bytes of all complete events.
    event_bytes: u64,
}

impl EventSplitter {
    /// Adds bytes of the stream; returns the events that are now complete, which may be none.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long, or there are too many empty lines and comments between two.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Result<Bytes, MessageError> {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_events(&bytes)?;
            return Ok(bytes);
        }
        // The end of an event may lie across the end of the earlier bytes.
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            return match self.partial.len() <= MAX_EVENT_BYTES {
                true => Ok(Bytes::new()),
                false => Err(MessageError::BodyTooLarge { limit_bytes: MAX_EVENT_BYTES }),
            };
        };
        let end = searched + end;
        let events = self.partial.split_to(end).freeze();
        self.record_events(&events)?;
        Ok(events)
    }

    /// Ends the stream; returns the empty lines after the last complete event, or `None` if the
    /// stream ends inside an event. It was then broken off, even if its framing is complete.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        let rest = self.partial.split().freeze();
        rest.iter().copied().all(is_line_end).then_some(rest)
    }

    /// Discards the bytes after the last complete event, when another endpoint resumes the stream.
    pub(crate) fn drop_partial(&mut self) {
        self.partial.clear();
        self.filler_bytes = 0;
    }

    /// Returns whether only empty lines and comments have come since the last event.
    pub(crate) fn is_between_events(&self) -> bool {
        self.filler_bytes > 0
    }

    /// Returns how many bytes of an incomplete event are buffered.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the bytes of all complete events so far.
    pub(crate) fn event_bytes(&self) -> u64 {
        self.event_bytes
    }

    /// Returns the id of the last complete event that has one.
    pub(crate) fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Records complete events, and what stands between them.
    fn record_events(&mut self, events: &[u8]) -> Result<(), MessageError> {
        let mut lines = events.rsplit(|&byte| is_line_end(byte));
        match lines.find(|line| !line.is_empty() && !line.starts_with(b":")) {
            // What follows the last field is an end of a line, and filler only in a small part.
            Some(_) => self.filler_bytes = 0,
            None => self.filler_bytes += events.len(),
        }
        if self.filler_bytes > MAX_FILLER_BYTES {
            return Err(MessageError::BodyTooLarge { limit_bytes: MAX_FILLER_BYTES });
        }
        self.event_bytes += events.len() as u64;
        self.record_last_id(events);
        Ok(())
    }

    fn record_last_id(&mut self, events: &[u8]) {
        let id = events
            .rsplit(|&byte| is_line_end(byte))
            .find_map(|line| line.strip_prefix(b"id:"))
            .and_then(|id| std::str::from_utf8(id).ok());
        if let Some(id) = id {
            self.last_id = Some(SmolStr::new(id.trim()));
        }
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the position after the empty line that ends the last complete event.
///
/// A line ends with CR LF, LF or CR. If a read ends between CR and LF, the CR ends the event, so that
/// the event is not held back, and the LF is left for the next one.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let is_empty_line = |pair: &[u8]| matches!(pair, b"\n\n" | b"\n\r" | b"\r\r");
    let end = bytes.windows(2).rposition(is_empty_line)? + 2;
    let has_line_feed = bytes[end - 1] == b'\r' && bytes.get(end) == Some(&b'\n');
    Some(end + usize::from(has_line_feed))
}
