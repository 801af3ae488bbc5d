//! A TCP stream that counts the bytes written to it, and limits what async-h1 reads.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};
use yuccapass_types::Instant;

/// Maximum number of bytes that are read before the head of a message is complete. async-h1 accepts heads
/// of 8 KB, but looks at the size only at the end of a line, and reads 8 KB ahead.
const MAX_HEAD_BYTES: u64 = 32 << 10;

/// Number of reads in a row that find bytes, after which other tasks have their turn. A peer that always has
/// more to be read would otherwise keep the thread, and no deadline would be noticed.
const READS_PER_TURN: u64 = 32;

/// A TCP stream whose clones share its counters.
#[derive(Debug, Clone)]
pub(crate) struct CountingStream {
    stream: TcpStream,
    opened_at: Instant,
    written_bytes: Arc<AtomicU64>,
    // Bytes of the head that may still be read; `u64::MAX` if no head is being read.
    head_bytes_left: Arc<AtomicU64>,
    // Reads in a row that found bytes.
    ready_reads: Arc<AtomicU64>,
}

impl CountingStream {
    pub(crate) fn new(stream: TcpStream, opened_at: Instant) -> Self {
        Self {
            stream,
            opened_at,
            written_bytes: Arc::default(),
            head_bytes_left: Arc::new(AtomicU64::new(u64::MAX)),
            ready_reads: Arc::default(),
        }
    }

    pub(crate) fn opened_at(&self) -> Instant {
        self.opened_at
    }

    pub(crate) fn tcp(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Acquire)
    }

    /// Resets the counter, for the next request on the connection.
    pub(crate) fn reset_counter(&self) {
        self.written_bytes.store(0, Ordering::Release);
    }

    /// Limits what is read until [`end_head`](Self::end_head) is called.
    pub(crate) fn begin_head(&self) {
        self.head_bytes_left.store(MAX_HEAD_BYTES, Ordering::Release);
    }

    /// Records that the head of the message is complete.
    pub(crate) fn end_head(&self) {
        self.head_bytes_left.store(u64::MAX, Ordering::Release);
    }

    /// Counts bytes that were read.
    fn count_read(&self, count: usize) -> io::Result<usize> {
        let left = self.head_bytes_left.load(Ordering::Acquire);
        if left == u64::MAX {
            return Ok(count);
        }
        let Some(left) = left.checked_sub(count as u64) else {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the head is too long"));
        };
        self.head_bytes_left.store(left, Ordering::Release);
        Ok(count)
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.ready_reads.load(Ordering::Relaxed) >= READS_PER_TURN {
            self.ready_reads.store(0, Ordering::Relaxed);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Ready(Ok(count)) => {
                self.ready_reads.fetch_add(1, Ordering::Relaxed);
                Poll::Ready(self.count_read(count))
            }
            other => {
                self.ready_reads.store(0, Ordering::Relaxed);
                other
            }
        }
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buffer);
        if let Poll::Ready(Ok(count)) = result {
            self.written_bytes.fetch_add(count as u64, Ordering::AcqRel);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
