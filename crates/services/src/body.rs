//! The body of a response, which is read from its connection until a deadline.

use std::io;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::task;
use futures::future::BoxFuture;
use futures::io::{AsyncBufRead, AsyncRead};
use futures::ready;
use http_types::Body;
use yuccapass_http::Exchange;

/// Interval at which a pending body is polled again.
///
/// async-h1 does not register a waker when the end of a chunked body arrives in two pieces, so
/// without this such a body would end only at its deadline.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A timer. Its future is polled only through a mutable reference; the mutex only makes it `Sync`,
/// which [`Body`] requires.
struct Timer(Mutex<BoxFuture<'static, ()>>);

impl Timer {
    fn new(duration: Duration) -> Self {
        Self(Mutex::new(Box::pin(task::sleep(duration))))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let future = self.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        future.as_mut().poll(cx)
    }
}

/// A reader of a body that returns the connection to its pool at the end.
pub(crate) struct ReplyBody {
    exchange: Option<Exchange>,
    body: Body,
    // Bytes of the body that were not read yet, if its length is known.
    remaining_bytes: Option<u64>,
    deadline: Timer,
    interval: Option<Timer>,
}

impl ReplyBody {
    pub(crate) fn new(mut exchange: Exchange, remaining: Duration) -> Self {
        let body = exchange.response_mut().take_body();
        let remaining_bytes = body.len().map(|length| length as u64);
        let deadline = Timer::new(remaining);
        Self { exchange: Some(exchange), body, remaining_bytes, deadline, interval: None }
    }

    fn poll_timers(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        if self.deadline.poll(cx).is_ready() {
            return Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, "the deadline passed"));
        }
        loop {
            let interval = self.interval.get_or_insert_with(|| Timer::new(POLL_INTERVAL));
            if interval.poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.interval = None;
            cx.waker().wake_by_ref();
        }
    }

    fn finish(&mut self) -> io::Result<()> {
        if self.remaining_bytes.is_some_and(|bytes| bytes > 0) {
            let text = "the connection ended before the body";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
        }
        if let Some(exchange) = self.exchange.take() {
            exchange.finish();
        }
        Ok(())
    }
}

impl AsyncBufRead for ReplyBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let available = match Pin::new(&mut this.body).poll_fill_buf(cx) {
            Poll::Ready(Ok(bytes)) => bytes.len(),
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return this.poll_timers(cx).map(Err),
        };
        this.interval = None;
        if available == 0 {
            return Poll::Ready(this.finish().map(|()| &[][..]));
        }
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        let this = self.get_mut();
        if let Some(bytes) = &mut this.remaining_bytes {
            *bytes = bytes.saturating_sub(count as u64);
        }
        Pin::new(&mut this.body).consume(count);
    }
}

impl AsyncRead for ReplyBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
