//! What nodes tell each other.

use bytes::Bytes;
use prost::Message;
use yuccapass_decisions::membership::Heartbeat;
use yuccapass_decisions::permits::{PermitId, PermitReply};
use yuccapass_decisions::quorum::{AttemptId, OutcomeState, VoteKey, VoteReply, VoteRequest};
use yuccapass_types::{EndpointId, Incarnation, NodeId, Revision};

use crate::error::DecodeError;
use crate::wire::WireFrame;

/// Largest chunk of a configuration.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Largest frame: an outcome or a chunk of 64 KB, and its envelope.
pub const MAX_FRAME_BYTES: usize = MAX_CHUNK_BYTES + 4 * 1024;

/// Asks for a part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRequest {
    /// The wanted revision.
    pub revision: Revision,
    /// The hash of the wanted chunk, or `None` for the manifest.
    pub chunk: Option<[u8; 32]>,
    /// Position in the manifest from which bytes are wanted; 0 for a chunk.
    pub offset_bytes: u64,
}

/// A part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigChunk {
    /// The revision that the sender has, which may differ from the wanted one.
    pub revision: Revision,
    /// The wanted bytes, or `None` if the sender does not have them.
    pub bytes: Option<Bytes>,
}

/// What a holder wants from a permit owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAction {
    /// A permit for a request that has not started.
    Acquire,
    /// An extension or registration of a request that runs.
    Renew,
    /// Nothing more: the request has ended, or does not start.
    Release,
}

/// A holder's message to a permit owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// The cold endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's process.
    pub incarnation: Incarnation,
    /// The permit.
    pub permit: PermitId,
    /// What is wanted.
    pub action: PermitAction,
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// Membership; as a call it is answered by another heartbeat.
    Heartbeat(Heartbeat),
    /// Answered by [`PeerMessage::ConfigChunk`].
    ConfigRequest(ConfigRequest),
    /// Reply to [`PeerMessage::ConfigRequest`].
    ConfigChunk(ConfigChunk),
    /// Answered by [`PeerMessage::VoteReply`].
    VoteRequest(VoteRequest),
    /// Reply to [`PeerMessage::VoteRequest`].
    VoteReply(VoteReply),
    /// Withdraws a vote; one way.
    VoteRelease {
        /// What was voted on.
        key: VoteKey,
        /// The attempt that withdraws.
        attempt: AttemptId,
    },
    /// Records an outcome; one way.
    Outcome {
        /// What was voted on.
        key: VoteKey,
        /// The attempt that ran the request.
        attempt: AttemptId,
        /// The outcome.
        outcome: OutcomeState,
    },
    /// Answered by [`PeerMessage::PermitReply`], but for a release, which is one way.
    PermitRequest(PermitRequest),
    /// Reply to [`PeerMessage::PermitRequest`].
    PermitReply(PermitReply),
}

/// The process that sent a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Its node slot.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A message with its envelope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The process that sent it.
    pub sender: Sender,
    /// Connects a reply with its request; 0 for a message that gets no reply.
    pub call: u64,
    /// The time in which a reply is wanted.
    pub remaining_ms: u64,
    /// The message.
    pub message: PeerMessage,
}

impl Frame {
    /// Encodes the frame, without the length in front of it.
    pub fn encode(self) -> Bytes {
        WireFrame::from(self).encode_to_vec().into()
    }

    /// Decodes a frame that came from another node.
    ///
    /// # Errors
    ///
    /// Returns which part is malformed or exceeds a bound.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let wire = WireFrame::decode(bytes)
            .map_err(|error| DecodeError::new("frame", error.to_string()))?;
        Self::try_from(wire)
    }
}
