//! HTTP/1.1 messages that are forwarded byte by byte.
//!
//! async-h1 converts header names to lower case, panics on header bytes outside ASCII and hides
//! whether bytes follow a complete message, so a proxy uses these types instead. Heads and chunk
//! sizes are parsed by httparse.
//!
//! * [`head`]: the head of a request or response.
//! * [`framing`]: how the end of a message's body is determined.
//! * [`connection`]: a TCP connection with a read buffer.
//! * [`body`]: reads a body from a connection.

pub mod body;
pub mod connection;
pub mod framing;
pub mod head;

pub use body::BodyReader;
pub use connection::{Connection, limit_receive_buffers};
pub use framing::{Framing, FramingError};
pub use head::{HeaderList, RequestHead, ResponseHead};

use snafu::Snafu;

/// Why a message could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum MessageError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
    /// The peer closed the connection inside a message.
    #[snafu(display("the connection ended inside a message"))]
    Truncated,
    /// The head is larger than the limit.
    #[snafu(display("the head has more than {limit_bytes} bytes"))]
    HeadTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The body is larger than the limit.
    #[snafu(display("the body has more than {limit_bytes} bytes"))]
    BodyTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// There is no room for more bytes of the message.
    #[snafu(display("there is no room for more bytes of the message"))]
    NoRoom,
    /// The bytes are not HTTP/1.1.
    #[snafu(display("the message is not valid HTTP/1.1: {detail}"))]
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

impl MessageError {
    pub(crate) fn malformed(detail: impl ToString) -> Self {
        Self::Malformed { detail: detail.to_string() }
    }
}
