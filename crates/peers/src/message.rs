//! The messages between nodes.

use bytes::Bytes;
use prost::Message;
use smol_str::SmolStr;
use yuccapass_decisions::gateway::relay::{
    ListOffer, TopicRequest, TopicUpdate, ValuePiece, ValueRequest,
};
use yuccapass_decisions::gateway::zone_room::{OutstandingSummary, RoomReply};
use yuccapass_decisions::gateway::{StreamOrigin, StreamRecord, VersionStatement};
use yuccapass_decisions::membership::Heartbeat;
use yuccapass_decisions::permits::{PermitId, PermitReply};
use yuccapass_decisions::quorum::{AttemptId, OutcomeState, VoteKey, VoteReply, VoteRequest};
use yuccapass_types::{EndpointId, Incarnation, NodeId, RequestId, Revision, ServiceId};

use crate::error::DecodeError;
use crate::wire::WireFrame;

/// Largest chunk of a configuration, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Largest frame, in bytes: an outcome or a chunk of 64 KB, and the other fields.
pub const MAX_FRAME_BYTES: usize = MAX_CHUNK_BYTES + 4 * 1024;

/// Maximum number of streams in a message; with the longest ids, a frame has room for them.
pub const MAX_STREAM_RECORDS: usize = 256;

/// A request for a part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRequest {
    /// The requested revision.
    pub revision: Revision,
    /// The hash of the requested chunk, or `None` for the manifest.
    pub chunk: Option<[u8; 32]>,
    /// Position in the manifest from which bytes are requested; 0 for a chunk.
    pub offset_bytes: u64,
}

/// A part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigChunk {
    /// The revision that the sender has, which may differ from the requested one.
    pub revision: Revision,
    /// The requested bytes, or `None` if the sender does not have them.
    pub bytes: Option<Bytes>,
}

/// What the holder of a permit requests from the owner of the endpoint's permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAction {
    /// Grant a permit for a request that has not started.
    Acquire,
    /// Extend the permit of a running request, or register the request with a new owner.
    Renew,
    /// Release the permit: the request has ended, or will not start.
    Release,
}

/// A request from the holder of a permit to the owner of the endpoint's permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// The cold endpoint, which accepts only requests with a permit.
    pub endpoint: EndpointId,
    /// The endpoint's process.
    pub incarnation: Incarnation,
    /// The permit.
    pub permit: PermitId,
    /// What is requested.
    pub action: PermitAction,
}

/// A request of a follower for the changes that a relay has read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayRequest {
    /// What the follower knows of each topic.
    pub topics: Vec<TopicRequest>,
    /// What the follower has outstanding, if the nodes exchange it. Earlier versions ignore it.
    pub outstanding: Option<OutstandingSummary>,
    /// Whether the reply may have references to large values. Followers of earlier versions read these from
    /// the origin.
    pub accepts_references: bool,
    /// A piece of a value that the follower needs.
    pub value: Option<ValueRequest>,
}

/// The reply of a relay.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayReply {
    /// Time from the receipt of the request to the reply, in milliseconds.
    pub held_ms: u64,
    /// The topics that the relay has read.
    pub updates: Vec<TopicUpdate>,
    /// What the other nodes have outstanding, if the request has a summary. Earlier versions send none.
    pub outstanding: Option<RoomReply>,
    /// The piece, if the request asks for one and the relay has the value.
    pub piece: Option<ValuePiece>,
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// Membership information; the reply, if one is requested, is another heartbeat.
    Heartbeat(Heartbeat),
    /// Answered by [`PeerMessage::ConfigChunk`].
    ConfigRequest(ConfigRequest),
    /// Reply to [`PeerMessage::ConfigRequest`].
    ConfigChunk(ConfigChunk),
    /// Answered by [`PeerMessage::VoteReply`].
    VoteRequest(VoteRequest),
    /// Reply to [`PeerMessage::VoteRequest`].
    VoteReply(VoteReply),
    /// Withdraws a vote; it has no reply.
    VoteRelease {
        /// The key that was voted on.
        key: VoteKey,
        /// The attempt that withdraws its vote.
        attempt: AttemptId,
    },
    /// Records the outcome of a request; it has no reply.
    Outcome {
        /// The key that was voted on.
        key: VoteKey,
        /// The attempt that ran the request.
        attempt: AttemptId,
        /// The outcome.
        outcome: OutcomeState,
    },
    /// Answered by [`PeerMessage::PermitReply`], except for a release, which has no reply.
    PermitRequest(PermitRequest),
    /// Reply to [`PeerMessage::PermitRequest`].
    PermitReply(PermitReply),
    /// Answered by [`PeerMessage::RelayReply`], at once if there are urgent changes.
    RelayRequest(RelayRequest),
    /// Reply to [`PeerMessage::RelayRequest`].
    RelayReply(RelayReply),
    /// Streams that the sender has begun, for a keeper. Answered by [`PeerMessage::StreamsKept`].
    KeepStreams(Vec<StreamRecord>),
    /// Reply to [`PeerMessage::KeepStreams`].
    StreamsKept,
    /// Asks a keeper for a stream. Answered by [`PeerMessage::StreamFound`].
    FindStream(RequestId),
    /// Reply to [`PeerMessage::FindStream`]; `None` if the stream is not known.
    StreamFound(Option<StreamOrigin>),
    /// Asks for the complete list of a topic. Answered by [`PeerMessage::ListOffered`].
    RequestList(SmolStr),
    /// Reply to [`PeerMessage::RequestList`]; `None` if the topic was not listed. The list itself is
    /// transferred as a value.
    ListOffered(Option<ListOffer>),
    /// Asks which version of a service's software has begun all streams that are not known. Answered by
    /// [`PeerMessage::SoleVersion`].
    RequestSoleVersion(ServiceId),
    /// Reply to [`PeerMessage::RequestSoleVersion`].
    SoleVersion(VersionStatement),
}

/// The process that sent a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Its node slot.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A message with its sender and the data for its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The process that sent it.
    pub sender: Sender,
    /// Number by which a reply is matched to its request; 0 for a message that needs no reply.
    pub call: u64,
    /// Time until the sender stops waiting for a reply.
    pub remaining_ms: u64,
    /// The message.
    pub message: PeerMessage,
}

impl Frame {
    /// Encodes the frame, without its length prefix.
    pub fn encode(self) -> Bytes {
        WireFrame::from(self).encode_to_vec().into()
    }

    /// Decodes a frame that came from another node.
    ///
    /// # Errors
    ///
    /// Fails with the field that is malformed or exceeds a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let wire = WireFrame::decode(bytes)
            .map_err(|error| DecodeError::new("frame", error.to_string()))?;
        Self::try_from(wire)
    }
}
