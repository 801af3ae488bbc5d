//! Writes answers to a caller.

use async_std::net::TcpStream;
use bytes::{BufMut, Bytes, BytesMut};
use futures::{AsyncWriteExt, FutureExt};
use yuccapass_decisions::gateway::Refusal;
use yuccapass_http::message::ResponseHead;
use yuccapass_http::with_deadline;
use yuccapass_types::Deadline;

use crate::caller_memory::CallerClaim;
use crate::protocol::{CallerRequest, Protocol};

/// Maximum time in which a caller reads nothing of an answer that waits for it.
const UNREAD_TIMEOUT_MS: u64 = 15_000;

/// Bodies of at least this size are written by themselves, so that they are not copied.
const MIN_SEPARATE_BODY_BYTES: usize = 16 << 10;

/// How much of an answer was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Nothing,
    Streaming,
    Complete,
}

/// Writes an answer to a caller's connection.
pub(crate) struct AnswerWriter {
    stream: TcpStream,
    claim: CallerClaim,
    // A caller that speaks HTTP/1.0 does not know chunks; its streams end with the connection.
    is_http_11: bool,
    keeps_connection: bool,
    progress: Progress,
}

impl AnswerWriter {
    pub(crate) fn new(
        stream: TcpStream,
        claim: CallerClaim,
        is_http_11: bool,
        keeps_connection: bool,
    ) -> Self {
        Self { stream, claim, is_http_11, keeps_connection, progress: Progress::Nothing }
    }

    /// Announces in the answer that the connection will be closed after it.
    pub(crate) fn close_after(&mut self) {
        self.keeps_connection = false;
    }

    /// Returns whether the connection can be reused: the answer is complete and did not announce
    /// that the connection will be closed.
    pub(crate) fn keeps_connection(&self) -> bool {
        self.keeps_connection && self.progress == Progress::Complete
    }

    /// Returns whether the connection must be reset, because the answer is incomplete and would look
    /// complete if the connection were closed.
    pub(crate) fn must_reset(&self) -> bool {
        !self.is_http_11 && self.progress == Progress::Streaming
    }

    /// Returns whether any part of the answer was written.
    pub(crate) fn has_begun(&self) -> bool {
        self.progress != Progress::Nothing
    }

    /// Writes a complete answer of an endpoint.
    pub(crate) async fn write_answer(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> std::io::Result<()> {
        let is_separate = body.len() >= MIN_SEPARATE_BODY_BYTES;
        let mut out = BytesMut::with_capacity(512 + if is_separate { 0 } else { body.len() });
        self.put_head(&mut out, head);
        // These statuses have no body and no length (RFC 9110, section 8.6).
        if !matches!(head.status, 204 | 304) {
            out.put_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
        }
        out.put_slice(b"\r\n");
        if is_separate {
            self.progress = Progress::Streaming;
            self.write(&out).await?;
            return self.finish(body).await;
        }
        out.put_slice(body);
        self.finish(&out).await
    }

    /// Writes an error answer of this node.
    pub(crate) async fn refuse(
        &mut self,
        protocol: &dyn Protocol,
        request: &CallerRequest,
        refusal: Refusal,
    ) -> std::io::Result<()> {
        let body = serde_json::json!({
            "error": {
                "code": refusal.code.to_string(),
                "type": refusal.code.kind(),
                "message": refusal.code.text(),
            }
        })
        .to_string();
        let mut out = format!(
            "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n",
            refusal.status,
            refusal.code.kind(),
            body.len()
        )
        .into_bytes();
        protocol.write_refusal_headers(request, &mut out);
        if let Some(ms) = refusal.retry_after_ms {
            out.put_slice(format!("retry-after: {}.{:03}\r\n", ms / 1_000, ms % 1_000).as_bytes());
        }
        if !self.keeps_connection {
            out.put_slice(b"connection: close\r\n");
        }
        out.put_slice(b"\r\n");
        out.put_slice(body.as_bytes());
        self.finish(&out).await
    }

    /// Writes the head of a stream and its first events.
    pub(crate) async fn begin_stream(
        &mut self,
        head: &ResponseHead,
        events: &[u8],
    ) -> std::io::Result<()> {
        let mut out = BytesMut::with_capacity(512 + events.len());
        self.put_head(&mut out, head);
        if self.is_http_11 {
            out.put_slice(b"transfer-encoding: chunked\r\n");
        }
        out.put_slice(b"\r\n");
        self.put_events(&mut out, events);
        self.progress = Progress::Streaming;
        self.write(&out).await
    }

    /// Writes events of a stream, and the end of the stream if `is_last`.
    pub(crate) async fn events(&mut self, events: &Bytes, is_last: bool) -> std::io::Result<()> {
        let mut out = BytesMut::with_capacity(16 + events.len());
        self.put_events(&mut out, events);
        if !is_last {
            return self.write(&out).await;
        }
        if self.is_http_11 {
            out.put_slice(b"0\r\n\r\n");
        }
        self.finish(&out).await
    }

    async fn finish(&mut self, out: &[u8]) -> std::io::Result<()> {
        // Set before the write, so that no other answer is written after a failed one.
        self.progress = Progress::Streaming;
        self.write(out).await?;
        self.progress = Progress::Complete;
        Ok(())
    }

    /// Writes all bytes. A caller that reads nothing for too long loses its connection.
    async fn write(&mut self, mut rest: &[u8]) -> std::io::Result<()> {
        while !rest.is_empty() {
            let written = match self.stream.write(rest).now_or_never() {
                Some(written) => written?,
                None => self.write_when_read(rest).await?,
            };
            if written == 0 {
                return Err(std::io::ErrorKind::WriteZero.into());
            }
            rest = &rest[written..];
        }
        Ok(())
    }

    async fn write_when_read(&mut self, rest: &[u8]) -> std::io::Result<usize> {
        self.claim.block_answer();
        let limit = Deadline::after_ms(self.claim.now(), UNREAD_TIMEOUT_MS);
        let written = with_deadline(self.claim.clock(), limit, self.stream.write(rest)).await;
        self.claim.unblock_answer();
        written.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    fn put_events(&self, out: &mut BytesMut, events: &[u8]) {
        match self.is_http_11 {
            true => put_chunk(out, events),
            false => out.put_slice(events),
        }
    }

    fn put_head(&self, out: &mut BytesMut, head: &ResponseHead) {
        out.put_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
        for (name, value) in head.headers.end_to_end() {
            out.put_slice(name.as_bytes());
            out.put_slice(b": ");
            out.put_slice(value);
            out.put_slice(b"\r\n");
        }
        if !self.keeps_connection {
            out.put_slice(b"connection: close\r\n");
        }
    }
}

/// Appends a chunk. An empty one is left out, because it would end the body.
fn put_chunk(out: &mut BytesMut, bytes: &[u8]) {
    if !bytes.is_empty() {
        out.put_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        out.put_slice(bytes);
        out.put_slice(b"\r\n");
    }
}
