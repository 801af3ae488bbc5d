//! Communication between nodes: messages and connections.
//!
//! * [`PeerMessage`] is a message between nodes, built from the types of the decisions crate;
//!   [`Frame`] adds the sender and is the unit that a connection carries.
//! * [`PeerTransport`] sends messages; [`TcpTransport`] is its implementation over TCP.
//! * [`ValueCodec`] encodes large values as the difference from earlier ones; [`ZstdCodec`] is its
//!   implementation.
//! * [`encode_list`] and [`decode_list`] are the encoding of the list of a topic as such a value.
//! * [`serve`] accepts connections and passes each message to a [`PeerHandler`].
//!
//! On the wire a frame is a length of four bytes followed by a protobuf message. Deadlines are sent
//! as the milliseconds that remain.

mod connection;
mod convert;
mod counters;
mod error;
mod incarnations;
mod list_codec;
mod listener;
mod local_node;
mod message;
mod transport;
mod value_codec;
mod wire;

pub use counters::{PeerCounters, PeerTraffic};
pub use error::{DecodeError, PeerError, PeerErrorKind};
pub use list_codec::{decode_list, encode_list};
pub use listener::{ListenerConfig, PeerHandler, serve};
pub use local_node::LocalNode;
pub use message::{
    ConfigChunk, ConfigRequest, Frame, MAX_CHUNK_BYTES, MAX_FRAME_BYTES, MAX_STREAM_RECORDS,
    PeerMessage, PermitAction, PermitRequest, RelayReply, RelayRequest, Sender,
};
pub use transport::{PeerReply, PeerTransport, TcpTransport, TransportConfig};
pub use value_codec::{ValueCodec, ValueCodecError, ZstdCodec};
