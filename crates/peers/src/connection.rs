//! A TCP connection that carries frames.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use bytes::{Bytes, BytesMut};
use futures::{FutureExt, SinkExt, StreamExt};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use yuccapass_types::Instant;

use crate::counters::PeerCounters;
use crate::message::MAX_FRAME_BYTES;

/// Size of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;

/// Initial size of the read buffer: a heartbeat fits, and hundreds of idle connections use little
/// memory.
const READ_BUFFER_BYTES: usize = 2_048;

pub(crate) struct Connection {
    stream: TcpStream,
    framed: Framed<Compat<TcpStream>, LengthDelimitedCodec>,
    opened_at: Instant,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr, now: Instant) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?, now))
    }

    pub(crate) fn new(stream: TcpStream, now: Instant) -> Self {
        // Without TCP_NODELAY a small frame may wait 40 ms for the acknowledgement of the previous
        // one.
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        let framed = Framed::with_capacity(stream.clone().compat(), codec, READ_BUFFER_BYTES);
        Self { stream, framed, opened_at: now }
    }

    pub(crate) fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns whether the peer has closed the connection or sent something unexpected.
    pub(crate) fn is_stale(&self) -> bool {
        self.stream.peek(&mut [0]).now_or_never().is_some()
    }

    pub(crate) async fn write(&mut self, bytes: Bytes, counters: &PeerCounters) -> io::Result<()> {
        let count = bytes.len() + LENGTH_BYTES;
        self.framed.send(bytes).await?;
        counters.count_sent(count);
        Ok(())
    }

    /// Reads a frame; returns `None` at the end of the connection.
    pub(crate) async fn read(&mut self, counters: &PeerCounters) -> io::Result<Option<BytesMut>> {
        let frame = self.framed.next().await.transpose()?;
        if let Some(bytes) = &frame {
            counters.count_received(bytes.len() + LENGTH_BYTES);
        }
        Ok(frame)
    }
}
