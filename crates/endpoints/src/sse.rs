//! A reader of server-sent events.

use std::io;

use futures::{AsyncBufRead, AsyncBufReadExt};

/// Largest accepted line, and largest data of an event; a token's JSON text is a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event: its id and data, each empty if absent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The last `id` field.
    pub id: Vec<u8>,
    /// The `data` fields, joined by line feeds.
    pub data: Vec<u8>,
}

/// Reads events from a byte stream.
#[derive(Debug)]
pub struct SseReader<R> {
    source: R,
    // The parts of the current line and event that were read are kept here rather than in a future,
    // so that a read that was cancelled at a deadline can be continued.
    line: Vec<u8>,
    event: SseEvent,
}

impl<R: AsyncBufRead + Unpin> SseReader<R> {
    /// Reads events from `source`.
    pub fn new(source: R) -> Self {
        Self { source, line: Vec::new(), event: SseEvent::default() }
    }

    /// Reads the next event; returns `None` at the end. An incomplete event at the end is dropped.
    ///
    /// If the future is dropped before it is ready, the next call continues where it stopped.
    ///
    /// # Errors
    ///
    /// Fails if the source fails or a line is longer than 1 MiB.
    pub async fn next(&mut self) -> io::Result<Option<SseEvent>> {
        while self.read_line().await? {
            let line = std::mem::take(&mut self.line);
            if !line.is_empty() {
                add_field(&mut self.event, &line)?;
            } else if self.event != SseEvent::default() {
                return Ok(Some(std::mem::take(&mut self.event)));
            }
        }
        Ok(None)
    }

    /// Reads the rest of a line, without its end, into `self.line`; returns false at the end of the
    /// source.
    async fn read_line(&mut self) -> io::Result<bool> {
        loop {
            let available = self.source.fill_buf().await?;
            if available.is_empty() {
                return Ok(false);
            }
            let end = available.iter().position(|&byte| byte == b'\n');
            let content_bytes = end.unwrap_or(available.len());
            check_size(self.line.len() + content_bytes)?;
            self.line.extend_from_slice(&available[..content_bytes]);
            self.source.consume_unpin(content_bytes + usize::from(end.is_some()));
            if end.is_some() {
                if self.line.last() == Some(&b'\r') {
                    self.line.pop();
                }
                return Ok(true);
            }
        }
    }
}

fn add_field(event: &mut SseEvent, line: &[u8]) -> io::Result<()> {
    let colon = line.iter().position(|&byte| byte == b':').unwrap_or(line.len());
    let value = line.get(colon + 1..).unwrap_or_default();
    let value = value.strip_prefix(b" ").unwrap_or(value);
    match &line[..colon] {
        b"id" => event.id = value.to_vec(),
        b"data" => {
            check_size(event.data.len() + value.len())?;
            if !event.data.is_empty() {
                event.data.push(b'\n');
            }
            event.data.extend_from_slice(value);
        }
        // Comments, and fields that are not used here.
        _ => {}
    }
    Ok(())
}

fn check_size(bytes: usize) -> io::Result<()> {
    if bytes > MAX_EVENT_BYTES {
        let text = format!("an event has more than {MAX_EVENT_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    Ok(())
}
