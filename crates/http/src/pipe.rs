//! A bounded byte pipe from the task that produces a body to the connection that sends it.
//!
//! Several small writes are read as one, so that a connection that is slower than the writer sends
//! fewer and larger chunks.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use futures::future::poll_fn;
use futures::io::{AsyncBufRead, AsyncRead};
use snafu::Snafu;

/// Reports that the reader was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the reader of the pipe was dropped"))]
pub struct ReaderGone;

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    writer_done: bool,
    reader_gone: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

type Shared = Arc<Mutex<State>>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Creates a pipe in which a write waits while `capacity_bytes` or more bytes are unread.
pub fn pipe(capacity_bytes: usize) -> (PipeWriter, PipeReader) {
    let shared = Shared::default();
    let writer = PipeWriter { shared: Arc::clone(&shared), capacity_bytes };
    (writer, PipeReader { shared, chunk: Vec::new(), position: 0 })
}

/// The writing end; dropping it ends the stream.
#[derive(Debug)]
pub struct PipeWriter {
    shared: Shared,
    capacity_bytes: usize,
}

impl PipeWriter {
    /// Waits until the pipe accepts a write, and appends the parts in order.
    ///
    /// # Errors
    ///
    /// Fails if the reader was dropped.
    pub async fn write(&self, parts: &[&[u8]]) -> Result<(), ReaderGone> {
        poll_fn(|cx| self.poll_write(cx, parts)).await
    }

    /// Waits until the reader is dropped.
    pub async fn reader_gone(&self) {
        poll_fn(|cx| {
            let mut state = lock(&self.shared);
            if state.reader_gone {
                return Poll::Ready(());
            }
            state.writer_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[&[u8]]) -> Poll<Result<(), ReaderGone>> {
        let mut state = lock(&self.shared);
        if state.reader_gone {
            return Poll::Ready(Err(ReaderGone));
        }
        if state.bytes.len() >= self.capacity_bytes {
            state.writer_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        parts.iter().for_each(|part| state.bytes.extend_from_slice(part));
        let waker = state.reader_waker.take();
        drop(state);
        waker.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(()))
    }
}

impl Drop for PipeWriter {
    fn drop(&mut self) {
        let mut state = lock(&self.shared);
        state.writer_done = true;
        let waker = state.reader_waker.take();
        drop(state);
        waker.into_iter().for_each(Waker::wake);
    }
}

/// The reading end; dropping it makes writes fail.
#[derive(Debug)]
pub struct PipeReader {
    shared: Shared,
    chunk: Vec<u8>,
    position: usize,
}

impl AsyncBufRead for PipeReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position < this.chunk.len() {
            return Poll::Ready(Ok(&this.chunk[this.position..]));
        }
        let mut state = lock(&this.shared);
        if state.bytes.is_empty() {
            if state.writer_done {
                return Poll::Ready(Ok(&[]));
            }
            state.reader_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        this.chunk.clear();
        this.position = 0;
        std::mem::swap(&mut state.bytes, &mut this.chunk);
        let waker = state.writer_waker.take();
        drop(state);
        waker.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(&this.chunk))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().position += count;
    }
}

impl AsyncRead for PipeReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(available)) => available,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        };
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

impl Drop for PipeReader {
    fn drop(&mut self) {
        let mut state = lock(&self.shared);
        state.reader_gone = true;
        let waker = state.writer_waker.take();
        drop(state);
        waker.into_iter().for_each(Waker::wake);
    }
}
