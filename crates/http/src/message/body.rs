//! Reads the body of a message from a connection.

use async_std::task;
use bytes::{Bytes, BytesMut};

use super::MessageError;
use super::connection::Connection;
use super::framing::Framing;

/// Longest accepted line with a chunk size or a trailer.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Bytes of chunk sizes, chunk extensions and trailers that are accepted besides those in proportion
/// to the body.
const MIN_OVERHEAD_BYTES: u64 = 64 << 10;

/// Such bytes that are accepted for each byte of the body. A chunk with one byte needs five.
const OVERHEAD_FACTOR: u64 = 16;

/// Number of parts of a body after which other tasks have their turn. If a peer always has more to be
/// read, the reader never waits: without a turn it would keep its thread, and the caller would not notice
/// that its deadline has passed.
const PARTS_PER_TURN: u32 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// This many bytes of the body follow.
    Length(u64),
    /// A line with a chunk size follows.
    ChunkSize,
    /// This many bytes of a chunk follow, and then a line ending.
    ChunkData(u64),
    /// Trailer lines follow.
    Trailers,
    /// The rest of the body follows until the peer closes the connection.
    UntilClose,
    /// The body has ended.
    Ended,
}

/// A reader of one body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    // Bytes of the body, and of chunk sizes, chunk extensions and trailers.
    body_bytes: u64,
    overhead_bytes: u64,
    // Parts since other tasks had their turn.
    parts: u32,
}

impl BodyReader {
    /// Creates a reader of a body that ends as `framing` says.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Ended,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, body_bytes: 0, overhead_bytes: 0, parts: 0 }
    }

    /// Returns whether the whole body was read.
    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends inside the body, or a chunk is not valid.
    pub async fn next(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Bytes>, MessageError> {
        self.parts += 1;
        if self.parts >= PARTS_PER_TURN {
            self.parts = 0;
            task::yield_now().await;
        }
        loop {
            if let Some(bytes) = self.take(connection.buffer())? {
                self.body_bytes += bytes.len() as u64;
                return Ok(Some(bytes));
            }
            if self.state == State::Ended {
                return Ok(None);
            }
            if connection.fill().await.map_err(|source| MessageError::Io { source })? {
                if self.state != State::UntilClose {
                    return Err(MessageError::Truncated);
                }
                self.state = State::Ended;
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails as [`BodyReader::next`] does, or if the body has more than `limit_bytes`.
    pub async fn read_all(
        mut self,
        connection: &mut Connection,
        limit_bytes: usize,
    ) -> Result<Bytes, MessageError> {
        let Some(first) = self.next(connection).await? else { return Ok(Bytes::new()) };
        let mut whole = BytesMut::new();
        let mut part = Some(first);
        while let Some(bytes) = part {
            if whole.len() + bytes.len() > limit_bytes {
                return Err(MessageError::BodyTooLarge { limit_bytes });
            }
            if whole.is_empty() && self.state == State::Ended {
                return Ok(bytes);
            }
            whole.extend_from_slice(&bytes);
            part = self.next(connection).await?;
        }
        Ok(whole.freeze())
    }

    /// Takes the next bytes of the body from the front of the buffer; returns `None` if more input
    /// is needed or the body has ended.
    fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, MessageError> {
        loop {
            match self.state {
                State::Ended => return Ok(None),
                State::UntilClose => return Ok(take_up_to(buffer, u64::MAX)),
                State::Length(rest) => {
                    let bytes = take_up_to(buffer, rest);
                    let rest = rest - bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
                    self.state = if rest == 0 { State::Ended } else { State::Length(rest) };
                    return Ok(bytes);
                }
                State::ChunkData(0) => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(MessageError::malformed(
                            "a chunk does not end with a line end",
                        ));
                    }
                    self.state = State::ChunkSize;
                }
                State::ChunkData(rest) => {
                    let Some(bytes) = take_up_to(buffer, rest) else { return Ok(None) };
                    self.state = State::ChunkData(rest - bytes.len() as u64);
                    return Ok(Some(bytes));
                }
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((line_bytes, size))) => {
                        let _ = buffer.split_to(line_bytes);
                        self.count_overhead(line_bytes)?;
                        self.state =
                            if size == 0 { State::Trailers } else { State::ChunkData(size) };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE_BYTES => {
                        return Ok(None);
                    }
                    _ => return Err(MessageError::malformed("a chunk size is not valid")),
                },
                State::Trailers => {
                    let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") else {
                        return match buffer.len() <= MAX_LINE_BYTES {
                            true => Ok(None),
                            false => Err(MessageError::malformed("a trailer is too long")),
                        };
                    };
                    let _ = buffer.split_to(end + 2);
                    self.count_overhead(end + 2)?;
                    if end == 0 {
                        self.state = State::Ended;
                    }
                }
            }
        }
    }

    /// Counts bytes that are not part of the body. A peer could send them without end, and if they
    /// always were there to be read, the reader would not even notice its deadline.
    fn count_overhead(&mut self, bytes: usize) -> Result<(), MessageError> {
        self.overhead_bytes += bytes as u64;
        let limit_bytes = MIN_OVERHEAD_BYTES + OVERHEAD_FACTOR * self.body_bytes;
        match self.overhead_bytes <= limit_bytes {
            true => Ok(()),
            false => Err(MessageError::malformed("chunk sizes and trailers are too long")),
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, limit: u64) -> Option<Bytes> {
    let count = (buffer.len() as u64).min(limit) as usize;
    (count > 0).then(|| buffer.split_to(count).freeze())
}
