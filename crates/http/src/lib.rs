//! HTTP/1.1 client and server code that the other crates share, based on async-h1.
//!
//! * [`block_headers`]: the headers that carry the checksum of a KV cache block.
//! * [`client`]: a client with a connection pool for one peer address. An error says whether any
//!   byte of the request was written, since that decides whether the request may be sent again.
//! * [`message`]: messages that are forwarded byte by byte.
//! * [`mod@pipe`]: a byte pipe from the task that produces a body to the connection that sends it.
//! * [`server`]: an accept loop for a tide application. Tide's own listener has no graceful stop.
//! * [`stop`]: the signal for the two phases of a server's stop.
//! * [`wait`]: waiting with deadlines.

pub mod block_headers;
pub mod client;
mod counting_stream;
pub mod message;
pub mod pipe;
pub mod server;
pub mod stop;
pub mod wait;

pub use client::{ClientConfig, ConnectionChoice, Exchange, HttpClient, HttpError, HttpErrorKind};
pub use pipe::{PipeReader, PipeWriter, ReaderGone, pipe};
pub use server::{ConnectionHandle, RejectReason, ServerConfig, WeakConnection, serve};
pub use stop::{StopController, StopSignal, stop_pair};
pub use wait::{Expired, sleep_until, with_deadline};
