//! HTTP/1.1 messages that are passed on byte by byte.
//!
//! async-h1 lowercases header names, panics on header bytes outside ASCII and hides whether bytes
//! follow a complete message, so a program that passes messages on between two peers uses these
//! types instead. Heads and chunk sizes are parsed by httparse.
//!
//! * [`head`]: the head of a request or response.
//! * [`framing`]: where the body of a message ends.
//! * [`connection`]: a connection with the bytes that were read but not used.
//! * [`body`]: reads a body from a connection.

pub mod body;
pub mod connection;
pub mod framing;
pub mod head;

pub use body::BodyReader;
pub use connection::Connection;
pub use framing::{Framing, FramingError};
pub use head::{HeaderList, RequestHead, ResponseHead};

use snafu::Snafu;

/// Says why a message could not be read.
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
