//! A TCP connection with a read buffer.

use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use bytes::BytesMut;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use socket2::{SockRef, TcpKeepalive};

use super::MessageError;
use super::head::{RequestHead, ResponseHead};

/// Size of one read: fits the head of a request with the hashes of its prompt parts, or a few
/// events.
const READ_BYTES: usize = 8 << 10;

/// Size up to which the buffer of a connection grows in usual use: a head that came in two reads.
const USUAL_BUFFER_BYTES: usize = 2 * READ_BYTES;

/// Period of the keep-alive probes; the kernel accepts only whole seconds. Where a user timeout is set, it ends the
/// probes, whatever their count, when one of them is due.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Limits the bytes that the kernel holds for each connection that a listener accepts later.
///
/// # Errors
///
/// Fails if the socket option cannot be set.
pub fn limit_receive_buffers(listener: &TcpListener, bytes: usize) -> std::io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(bytes)
}

/// A TCP connection with a buffer of the bytes that were read but not consumed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    /// Wraps a stream from which nothing was read yet.
    pub fn new(stream: TcpStream) -> Self {
        // Without TCP_NODELAY, small writes wait for the peer's delayed acknowledgement. Setting it
        // fails only on a closed socket, which the next read reports.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: BytesMut::new() }
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not accept the connection.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Makes the kernel close the connection when the peer does not acknowledge sent bytes, or the
    /// keep-alive probes of an idle connection, for `timeout_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the socket options cannot be set.
    pub fn set_dead_peer_timeout(&self, timeout_ms: u64) -> std::io::Result<()> {
        let socket = SockRef::from(&self.stream);
        let timeout = Duration::from_millis(timeout_ms);
        let keepalive = TcpKeepalive::new()
            .with_time(PROBE_PERIOD)
            .with_interval(PROBE_PERIOD)
            .with_retries(u32::try_from(timeout_ms.div_ceil(1_000)).unwrap_or(u32::MAX).max(1));
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(timeout))
    }

    /// Returns the buffer of the bytes that were read but not consumed.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns whether the buffer has bytes that were not consumed.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads more bytes into the buffer; returns true if the peer has closed the connection
    /// instead.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn fill(&mut self) -> std::io::Result<bool> {
        let mut space = ReadSpace::new(&mut self.buffer);
        let count = self.stream.read(space.bytes()).await?;
        space.keep(count);
        Ok(count == 0)
    }

    /// Reads the head of a request; returns `None` if the peer closes the connection before it.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or the head is too large or not valid.
    pub async fn read_request_head(
        &mut self,
        limit_bytes: usize,
    ) -> Result<Option<RequestHead>, MessageError> {
        self.read_request_head_within(limit_bytes, |_| true).await
    }

    /// Reads the head of a request as [`Connection::read_request_head`] does. `may_grow` is asked before
    /// the buffer grows by some bytes beyond its usual size.
    ///
    /// # Errors
    ///
    /// Fails as [`Connection::read_request_head`] does, or if the buffer may not grow.
    pub async fn read_request_head_within(
        &mut self,
        limit_bytes: usize,
        mut may_grow: impl FnMut(usize) -> bool,
    ) -> Result<Option<RequestHead>, MessageError> {
        loop {
            self.skip_empty_lines();
            if let Some(head) = RequestHead::take(&mut self.buffer)? {
                return Ok(Some(head));
            }
            if self.buffer.len() > limit_bytes {
                return Err(MessageError::HeadTooLarge { limit_bytes });
            }
            if !self.may_fill(&mut may_grow) {
                return Err(MessageError::NoRoom);
            }
            match self.fill().await.map_err(|source| MessageError::Io { source })? {
                true if self.buffer.is_empty() => return Ok(None),
                true => return Err(MessageError::Truncated),
                false => {}
            }
        }
    }

    /// Reads the head of a response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends, or the head is too large or not valid.
    pub async fn read_response_head(
        &mut self,
        limit_bytes: usize,
    ) -> Result<ResponseHead, MessageError> {
        loop {
            if let Some(head) = ResponseHead::take(&mut self.buffer)? {
                return Ok(head);
            }
            if self.buffer.len() > limit_bytes {
                return Err(MessageError::HeadTooLarge { limit_bytes });
            }
            if self.fill().await.map_err(|source| MessageError::Io { source })? {
                return Err(MessageError::Truncated);
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write_all(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns a second handle to the stream, for writing while this one reads.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns whether the peer has neither closed the connection nor sent anything unexpected.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        self.buffer.is_empty() && self.stream.peek(&mut byte).now_or_never().is_none()
    }

    /// Waits until the peer closes the connection; bytes that arrive meanwhile are buffered, up to
    /// about `limit_bytes`.
    pub async fn closed_by_peer(&mut self, limit_bytes: usize) {
        self.closed_by_peer_within(limit_bytes, |_| true).await;
    }

    /// Waits as [`Connection::closed_by_peer`] does. `may_grow` is asked before the buffer grows by some
    /// bytes beyond its usual size; if it may not, no more bytes are read.
    pub async fn closed_by_peer_within(
        &mut self,
        limit_bytes: usize,
        mut may_grow: impl FnMut(usize) -> bool,
    ) {
        while self.buffer.len() < limit_bytes && self.may_fill(&mut may_grow) {
            if self.fill().await.unwrap_or(true) {
                return;
            }
        }
        // A peer that sends that much is still connected; reading on would only buffer its bytes.
        futures::future::pending().await
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        // This fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Resets the connection, provided that no other handle to the stream is left. An answer that
    /// ends with its connection does then not look complete.
    pub fn reset(self) {
        // This fails only if the connection is closed already.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Closes the connection for writing and reads what the peer still sends, so that the kernel
    /// does not reset the connection before the peer has read the last bytes.
    pub async fn close_after_reading(&mut self, limit_bytes: usize) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut read_bytes = 0;
        while read_bytes < limit_bytes {
            self.buffer.clear();
            if self.fill().await.unwrap_or(true) {
                return;
            }
            read_bytes += self.buffer.len();
        }
    }

    /// Returns by how much the buffer exceeds its usual size.
    pub fn excess_bytes(&self) -> usize {
        self.buffer.capacity().saturating_sub(USUAL_BUFFER_BYTES)
    }

    /// Releases a buffer that has grown beyond its usual size, if it is empty.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > READ_BYTES {
            self.buffer = BytesMut::new();
        }
    }

    /// Asks whether the buffer may grow as much as the next read makes it grow.
    fn may_fill(&self, may_grow: &mut impl FnMut(usize) -> bool) -> bool {
        let capacity = self.buffer.capacity();
        let needed = self.buffer.len() + READ_BYTES;
        if needed <= capacity.max(USUAL_BUFFER_BYTES) {
            return true;
        }
        // The buffer at least doubles when it grows.
        may_grow(needed.max(2 * capacity) - capacity)
    }

    /// Skips empty lines before a request, which a server should ignore (RFC 9112, section 2.2).
    fn skip_empty_lines(&mut self) {
        while self.buffer.starts_with(b"\r\n") {
            let _ = self.buffer.split_to(2);
        }
    }
}

/// Space for a read at the end of a buffer.
///
/// Dropping it truncates the buffer to the bytes that were read, also when the read is cancelled.
struct ReadSpace<'a> {
    buffer: &'a mut BytesMut,
    used: usize,
}

impl<'a> ReadSpace<'a> {
    fn new(buffer: &'a mut BytesMut) -> Self {
        let used = buffer.len();
        buffer.resize(used + READ_BYTES, 0);
        Self { buffer, used }
    }

    fn bytes(&mut self) -> &mut [u8] {
        &mut self.buffer[self.used..]
    }

    fn keep(&mut self, count: usize) {
        self.used += count;
    }
}

impl Drop for ReadSpace<'_> {
    fn drop(&mut self) {
        self.buffer.truncate(self.used);
    }
}
