//! Conversion of frames.

use yuccapass_decisions::gateway::{KnownVersions, VersionStatement};
use yuccapass_types::Incarnation;

use super::votes::{outcome_from_wire, vote_from_wire, vote_to_wire};
use super::{parse_id, required};
use crate::error::DecodeError;
use crate::message::{Frame, PeerMessage, Sender};
use crate::wire::{
    WireBody, WireFrame, WireListAnswer, WireListQuery, WireOutcome, WireServiceQuery,
    WireSoleVersion, WireStreamAnswer, WireStreamQuery, WireStreamsKept,
};

impl From<Frame> for WireFrame {
    fn from(frame: Frame) -> Self {
        Self {
            node: frame.sender.node.to_string(),
            incarnation: frame.sender.incarnation.get(),
            call: frame.call,
            remaining_ms: frame.remaining_ms,
            body: Some(frame.message.into()),
        }
    }
}

impl TryFrom<WireFrame> for Frame {
    type Error = DecodeError;

    fn try_from(wire: WireFrame) -> Result<Self, DecodeError> {
        let incarnation = Incarnation::new(wire.incarnation);
        let sender = Sender { node: parse_id("sender", &wire.node)?, incarnation };
        let message = required("body", wire.body)?.try_into()?;
        Ok(Self { sender, call: wire.call, remaining_ms: wire.remaining_ms, message })
    }
}

impl From<PeerMessage> for WireBody {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            PeerMessage::ConfigRequest(request) => Self::ConfigRequest(request.into()),
            PeerMessage::ConfigChunk(chunk) => Self::ConfigChunk(chunk.into()),
            PeerMessage::VoteRequest(request) => Self::VoteRequest(request.into()),
            PeerMessage::VoteReply(reply) => Self::VoteReply(reply.into()),
            PeerMessage::VoteRelease { key, attempt } => {
                Self::VoteRelease(vote_to_wire(&key, attempt))
            }
            PeerMessage::Outcome { key, attempt, outcome } => Self::Outcome(WireOutcome {
                vote: Some(vote_to_wire(&key, attempt)),
                outcome: Some(outcome.into()),
            }),
            PeerMessage::PermitRequest(request) => Self::PermitRequest(request.into()),
            PeerMessage::PermitReply(reply) => Self::PermitReply(reply.into()),
            PeerMessage::RelayRequest(request) => Self::RelayRequest(request.into()),
            PeerMessage::RelayReply(reply) => Self::RelayReply(reply.into()),
            PeerMessage::KeepStreams(records) => Self::KeepStreams(records.into()),
            PeerMessage::StreamsKept => Self::StreamsKept(WireStreamsKept {}),
            PeerMessage::FindStream(id) => Self::FindStream(WireStreamQuery { id: id.to_string() }),
            PeerMessage::StreamFound(origin) => {
                Self::StreamFound(WireStreamAnswer { origin: origin.map(Into::into) })
            }
            PeerMessage::RequestList(topic) => {
                Self::RequestList(WireListQuery { topic: topic.into() })
            }
            PeerMessage::ListOffered(offer) => {
                Self::ListOffered(WireListAnswer { offer: offer.map(Into::into) })
            }
            PeerMessage::RequestSoleVersion(service) => {
                Self::RequestSoleVersion(WireServiceQuery { service: service.to_string() })
            }
            PeerMessage::SoleVersion(VersionStatement { versions, is_confirmed }) => {
                let is_sole = matches!(versions, KnownVersions::Sole(_));
                let is_unknown = versions == KnownVersions::Unknown;
                let software = match versions {
                    KnownVersions::Sole(software) => software.map(|software| software.to_string()),
                    KnownVersions::Several | KnownVersions::Unknown => None,
                };
                Self::SoleVersion(WireSoleVersion { is_sole, software, is_confirmed, is_unknown })
            }
        }
    }
}

impl TryFrom<WireBody> for PeerMessage {
    type Error = DecodeError;

    fn try_from(wire: WireBody) -> Result<Self, DecodeError> {
        Ok(match wire {
            WireBody::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.try_into()?),
            WireBody::ConfigRequest(request) => Self::ConfigRequest(request.try_into()?),
            WireBody::ConfigChunk(chunk) => Self::ConfigChunk(chunk.try_into()?),
            WireBody::VoteRequest(request) => Self::VoteRequest(request.try_into()?),
            WireBody::VoteReply(reply) => Self::VoteReply(reply.try_into()?),
            WireBody::VoteRelease(vote) => {
                let (key, attempt) = vote_from_wire(Some(vote))?;
                Self::VoteRelease { key, attempt }
            }
            WireBody::Outcome(outcome) => {
                let (key, attempt) = vote_from_wire(outcome.vote)?;
                let outcome = outcome_from_wire(outcome.outcome)?;
                Self::Outcome { key, attempt, outcome }
            }
            WireBody::PermitRequest(request) => Self::PermitRequest(request.try_into()?),
            WireBody::PermitReply(reply) => Self::PermitReply(reply.try_into()?),
            WireBody::RelayRequest(request) => Self::RelayRequest(request.try_into()?),
            WireBody::RelayReply(reply) => Self::RelayReply(reply.try_into()?),
            WireBody::KeepStreams(records) => Self::KeepStreams(records.try_into()?),
            WireBody::StreamsKept(_) => Self::StreamsKept,
            WireBody::FindStream(query) => Self::FindStream(parse_id("id", &query.id)?),
            WireBody::StreamFound(answer) => {
                Self::StreamFound(answer.origin.map(TryInto::try_into).transpose()?)
            }
            WireBody::RequestList(query) => Self::RequestList(query.topic.into()),
            WireBody::ListOffered(answer) => {
                Self::ListOffered(answer.offer.map(TryInto::try_into).transpose()?)
            }
            WireBody::RequestSoleVersion(query) => {
                Self::RequestSoleVersion(parse_id("service", &query.service)?)
            }
            WireBody::SoleVersion(answer) => {
                let software = answer.software.as_deref();
                let software =
                    software.map(|software| parse_id("software", software)).transpose()?;
                let versions = match (answer.is_sole, answer.is_unknown) {
                    (true, _) => KnownVersions::Sole(software),
                    (false, true) => KnownVersions::Unknown,
                    (false, false) => KnownVersions::Several,
                };
                Self::SoleVersion(VersionStatement { versions, is_confirmed: answer.is_confirmed })
            }
        })
    }
}
