//! The protobuf messages.
//!
//! Fields of a released message keep their tag and type; a new field gets a new tag.

use bytes::Bytes;
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireFrame {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) call: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) remaining_ms: u64,
    #[prost(
        oneof = "WireBody",
        tags = "5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23"
    )]
    pub(crate) body: Option<WireBody>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum WireBody {
    #[prost(message, tag = "5")]
    Heartbeat(WireHeartbeat),
    #[prost(message, tag = "6")]
    ConfigRequest(WireConfigRequest),
    #[prost(message, tag = "7")]
    ConfigChunk(WireConfigChunk),
    #[prost(message, tag = "8")]
    VoteRequest(WireVoteRequest),
    #[prost(message, tag = "9")]
    VoteReply(WireVoteReply),
    #[prost(message, tag = "10")]
    VoteRelease(WireVote),
    #[prost(message, tag = "11")]
    Outcome(WireOutcome),
    #[prost(message, tag = "12")]
    PermitRequest(WirePermitRequest),
    #[prost(message, tag = "13")]
    PermitReply(WirePermitReply),
    #[prost(message, tag = "14")]
    RelayRequest(WireRelayRequest),
    #[prost(message, tag = "15")]
    RelayReply(WireRelayReply),
    #[prost(message, tag = "16")]
    KeepStreams(WireStreamRecords),
    #[prost(message, tag = "17")]
    StreamsKept(WireStreamsKept),
    #[prost(message, tag = "18")]
    FindStream(WireStreamQuery),
    #[prost(message, tag = "19")]
    StreamFound(WireStreamAnswer),
    #[prost(message, tag = "20")]
    RequestList(WireListQuery),
    #[prost(message, tag = "21")]
    ListOffered(WireListAnswer),
    #[prost(message, tag = "22")]
    RequestSoleVersion(WireServiceQuery),
    #[prost(message, tag = "23")]
    SoleVersion(WireSoleVersion),
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireServiceQuery {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireSoleVersion {
    #[prost(bool, tag = "1")]
    pub(crate) is_sole: bool,
    /// Absent if the endpoints name no version.
    #[prost(string, optional, tag = "2")]
    pub(crate) software: Option<String>,
    /// Absent, which is `false`, from nodes that do not confirm what they know.
    #[prost(bool, tag = "3")]
    pub(crate) is_confirmed: bool,
    /// Absent from nodes that do not tell several versions from none.
    #[prost(bool, tag = "4")]
    pub(crate) is_unknown: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireListQuery {
    #[prost(string, tag = "1")]
    pub(crate) topic: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireListAnswer {
    /// Absent if the topic was not listed.
    #[prost(message, optional, tag = "1")]
    pub(crate) offer: Option<WireListOffer>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireListOffer {
    #[prost(uint64, tag = "1")]
    pub(crate) epoch: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) end: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
    /// 16 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub(crate) digest: Vec<u8>,
}

/// The encoded list of a topic.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireList {
    #[prost(message, repeated, tag = "1")]
    pub(crate) entries: Vec<WireRelayedEntry>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireStreamRecords {
    #[prost(message, repeated, tag = "1")]
    pub(crate) records: Vec<WireStreamRecord>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireStreamRecord {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    #[prost(message, optional, tag = "2")]
    pub(crate) origin: Option<WireStreamOrigin>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireStreamOrigin {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Absent if the endpoint names no version.
    #[prost(string, optional, tag = "2")]
    pub(crate) software: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireStreamsKept {}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireStreamQuery {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireStreamAnswer {
    /// Absent if the stream is not known.
    #[prost(message, optional, tag = "1")]
    pub(crate) origin: Option<WireStreamOrigin>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireHeartbeat {
    #[prost(message, optional, tag = "1")]
    pub(crate) own: Option<WireRow>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) rows: Vec<WireRow>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) usage: Vec<WireUsage>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) crashes: Vec<WireCrash>,
    /// The processes of the heartbeat counters; `pulse_heartbeats` has the counters in the same
    /// order.
    #[prost(fixed32, repeated, tag = "5")]
    pub(crate) pulse_processes: Vec<u32>,
    #[prost(uint64, repeated, tag = "6")]
    pub(crate) pulse_heartbeats: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRow {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) heartbeat: u64,
    #[prost(string, tag = "4")]
    pub(crate) zone: String,
    /// IP address of 4 or 16 bytes, followed by the port in two bytes, big-endian.
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) peer_address: Bytes,
    #[prost(bytes = "bytes", tag = "6")]
    pub(crate) admin_address: Bytes,
    #[prost(uint64, tag = "7")]
    pub(crate) revision: u64,
    #[prost(uint32, tag = "8")]
    pub(crate) state: u32,
    #[prost(uint32, tag = "9")]
    pub(crate) running_requests: u32,
    #[prost(uint32, tag = "10")]
    pub(crate) queued_requests: u32,
    #[prost(uint64, tag = "11")]
    pub(crate) tokens_per_s: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireUsage {
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    #[prost(uint64, tag = "2")]
    pub(crate) tokens_per_s: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireCrash {
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) count: u32,
    #[prost(uint64, tag = "3")]
    pub(crate) number: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireConfigRequest {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) chunk: Bytes,
    #[prost(uint64, tag = "3")]
    pub(crate) offset_bytes: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireConfigChunk {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) bytes: Option<Bytes>,
}

/// The key that is voted on and the attempt that votes.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireVote {
    #[prost(uint32, tag = "1")]
    pub(crate) kind: u32,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) key: Bytes,
    #[prost(message, optional, tag = "3")]
    pub(crate) attempt: Option<WireProcessScopedId>,
}

/// The id of an attempt or a permit: the process that created it, and a number within that process.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireProcessScopedId {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireVoteRequest {
    #[prost(message, optional, tag = "1")]
    pub(crate) vote: Option<WireVote>,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) digest: Bytes,
    #[prost(fixed64, tag = "3")]
    pub(crate) list: u64,
    #[prost(string, tag = "4")]
    pub(crate) zone: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireVoteReply {
    #[prost(uint32, tag = "1")]
    pub(crate) kind: u32,
    #[prost(fixed64, tag = "2")]
    pub(crate) list: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) holder: Option<WireProcessScopedId>,
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) digest: Bytes,
    #[prost(message, optional, tag = "5")]
    pub(crate) outcome: Option<WireOutcomeState>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireOutcomeState {
    #[prost(uint32, tag = "1")]
    pub(crate) kind: u32,
    #[prost(uint32, tag = "2")]
    pub(crate) status: u32,
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireOutcome {
    #[prost(message, optional, tag = "1")]
    pub(crate) vote: Option<WireVote>,
    #[prost(message, optional, tag = "2")]
    pub(crate) outcome: Option<WireOutcomeState>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WirePermitRequest {
    #[prost(string, tag = "1")]
    pub(crate) endpoint: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) permit: Option<WireProcessScopedId>,
    #[prost(uint32, tag = "4")]
    pub(crate) action: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WirePermitReply {
    #[prost(uint32, tag = "1")]
    pub(crate) kind: u32,
    #[prost(uint64, tag = "2")]
    pub(crate) remaining_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRelayRequest {
    #[prost(message, repeated, tag = "1")]
    pub(crate) topics: Vec<WireTopicRequest>,
    /// Absent if the sender does not exchange what it has outstanding.
    #[prost(message, optional, tag = "2")]
    pub(crate) outstanding: Option<WireOutstandingSummary>,
    #[prost(bool, tag = "3")]
    pub(crate) accepts_references: bool,
    /// Absent if the sender needs no value.
    #[prost(message, optional, tag = "4")]
    pub(crate) value: Option<WireValueRequest>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireValueRequest {
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    /// 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) digest: Vec<u8>,
    /// Absent if the sender holds no value of the key.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub(crate) base: Option<Vec<u8>>,
    #[prost(uint64, tag = "4")]
    pub(crate) offset_bytes: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireOutstandingSummary {
    #[prost(bool, tag = "1")]
    pub(crate) is_of_relay: bool,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    /// Absent before the first reply of the relay.
    #[prost(message, optional, tag = "3")]
    pub(crate) echo: Option<WireRoomStamp>,
    #[prost(message, optional, tag = "4")]
    pub(crate) sum: Option<WireOutstandingSum>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRoomStamp {
    #[prost(uint64, tag = "1")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) at_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireOutstandingSum {
    #[prost(uint64, tag = "1")]
    pub(crate) age_ms: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) nodes: u32,
    /// The endpoints; the next lists have a number for each of them. A message for each would take half
    /// as many bytes again.
    #[prost(fixed32, repeated, tag = "3")]
    pub(crate) endpoints: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) requests: Vec<u32>,
    #[prost(uint64, repeated, tag = "5")]
    pub(crate) tokens: Vec<u64>,
    #[prost(uint32, repeated, tag = "6")]
    pub(crate) sent: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRoomReply {
    #[prost(message, optional, tag = "1")]
    pub(crate) stamp: Option<WireRoomStamp>,
    #[prost(message, optional, tag = "2")]
    pub(crate) sum: Option<WireOutstandingSum>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireTopicRequest {
    #[prost(string, tag = "1")]
    pub(crate) topic: String,
    #[prost(uint64, tag = "2")]
    pub(crate) epoch: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) after: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRelayReply {
    #[prost(uint64, tag = "1")]
    pub(crate) held_ms: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) updates: Vec<WireTopicUpdate>,
    /// Absent if the request has no summary.
    #[prost(message, optional, tag = "3")]
    pub(crate) outstanding: Option<WireRoomReply>,
    /// Absent if the request asks for no value, or the relay does not have it.
    #[prost(message, optional, tag = "4")]
    pub(crate) piece: Option<WireValuePiece>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireValuePiece {
    /// 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) digest: Vec<u8>,
    /// Absent if the value is encoded by itself.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub(crate) base: Option<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    pub(crate) offset_bytes: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) total_bytes: u64,
    #[prost(bytes = "vec", tag = "5")]
    pub(crate) bytes: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireTopicUpdate {
    #[prost(string, tag = "1")]
    pub(crate) topic: String,
    #[prost(uint64, tag = "2")]
    pub(crate) epoch: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) after: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) end: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) age_ms: u64,
    #[prost(uint64, optional, tag = "6")]
    pub(crate) outage_age_ms: Option<u64>,
    #[prost(uint64, optional, tag = "7")]
    pub(crate) clock_ms: Option<u64>,
    /// Absent if the follower has to read from the origin.
    #[prost(message, optional, tag = "8")]
    pub(crate) items: Option<WireRelayItems>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRelayItems {
    #[prost(message, repeated, tag = "1")]
    pub(crate) items: Vec<WireRelayItem>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRelayItem {
    #[prost(oneof = "WireRelayChange", tags = "1, 2, 3")]
    pub(crate) change: Option<WireRelayChange>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum WireRelayChange {
    #[prost(message, tag = "1")]
    Entry(WireRelayedEntry),
    #[prost(message, tag = "2")]
    Part(WirePartEvent),
    #[prost(message, tag = "3")]
    Reference(WireRelayedReference),
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRelayedReference {
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    /// 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) digest: Vec<u8>,
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRelayedEntry {
    #[prost(string, tag = "1")]
    pub(crate) key: String,
    /// Absent if the entry was deleted.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub(crate) value: Option<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WirePartEvent {
    #[prost(bool, tag = "1")]
    pub(crate) is_added: bool,
    #[prost(string, tag = "2")]
    pub(crate) namespace: String,
    #[prost(string, tag = "3")]
    pub(crate) part: String,
    #[prost(uint64, tag = "4")]
    pub(crate) tokens: u64,
}
