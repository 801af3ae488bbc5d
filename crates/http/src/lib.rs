//! HTTP/1.1 plumbing that the peer crates share, over async-h1.
//!
//! * [`block_headers`]: the headers that carry the seal of a KV cache block.
//! * [`client`]: one pool of connections for each peer address. An error says whether any byte of
//!   the request was written, since that decides whether the request may be sent again.
//! * [`message`]: messages that are passed on byte by byte.
//! * [`mod@pipe`]: a byte pipe from the task that makes a body to the connection that sends it.
//! * [`server`]: an accept loop for a tide application. Tide's own listener has no graceful stop.
//! * [`stop`]: the two-phase stop signal that a server obeys.
//! * [`wait`]: waiting with deadlines.

pub mod block_headers;
pub mod client;
pub mod message;
pub mod pipe;
pub mod server;
pub mod stop;
mod tracked_stream;
pub mod wait;

pub use client::{ClientConfig, ConnectionChoice, Exchange, HttpClient, HttpError, HttpErrorKind};
pub use pipe::{PipeReader, PipeWriter, ReaderGone, pipe};
pub use server::{ConnectionHandle, RejectReason, ServerConfig, WeakConnection, serve};
pub use stop::{StopController, StopSignal, stop_pair};
pub use wait::{Expired, sleep_until, with_deadline};
