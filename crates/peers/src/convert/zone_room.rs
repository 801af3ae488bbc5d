//! Conversion of what the nodes of a zone tell each other about their outstanding requests.

use yuccapass_decisions::gateway::zone_room::{
    EndpointKey, EndpointUse, MAX_ENDPOINTS, OutstandingSum, OutstandingSummary, RoomReply,
    RoomStamp, SummaryScope,
};
use yuccapass_types::{Incarnation, Instant, Tokens};

use super::{check_count, required};
use crate::error::DecodeError;
use crate::wire::{WireOutstandingSum, WireOutstandingSummary, WireRoomReply, WireRoomStamp};

impl From<OutstandingSummary> for WireOutstandingSummary {
    fn from(summary: OutstandingSummary) -> Self {
        Self {
            is_of_relay: summary.scope == SummaryScope::Relay,
            sequence: summary.sequence,
            echo: summary.echo.map(WireRoomStamp::from),
            sum: Some(summary.sum.into()),
        }
    }
}

impl TryFrom<WireOutstandingSummary> for OutstandingSummary {
    type Error = DecodeError;

    fn try_from(wire: WireOutstandingSummary) -> Result<Self, DecodeError> {
        Ok(Self {
            scope: if wire.is_of_relay { SummaryScope::Relay } else { SummaryScope::Node },
            sequence: wire.sequence,
            echo: wire.echo.map(RoomStamp::from),
            sum: required("sum", wire.sum)?.try_into()?,
        })
    }
}

impl From<RoomReply> for WireRoomReply {
    fn from(reply: RoomReply) -> Self {
        Self { stamp: Some(reply.stamp.into()), sum: Some(reply.sum.into()) }
    }
}

impl TryFrom<WireRoomReply> for RoomReply {
    type Error = DecodeError;

    fn try_from(wire: WireRoomReply) -> Result<Self, DecodeError> {
        Ok(Self {
            stamp: required("stamp", wire.stamp)?.into(),
            sum: required("sum", wire.sum)?.try_into()?,
        })
    }
}

// The only instant that is sent: nobody but the process that sent it reads it again.
impl From<RoomStamp> for WireRoomStamp {
    fn from(stamp: RoomStamp) -> Self {
        Self { incarnation: stamp.incarnation.get(), at_ms: stamp.at.as_ms() }
    }
}

impl From<WireRoomStamp> for RoomStamp {
    fn from(wire: WireRoomStamp) -> Self {
        Self { incarnation: Incarnation::new(wire.incarnation), at: Instant::from_ms(wire.at_ms) }
    }
}

impl From<OutstandingSum> for WireOutstandingSum {
    fn from(sum: OutstandingSum) -> Self {
        Self {
            age_ms: sum.age_ms,
            nodes: sum.nodes,
            endpoints: sum.uses.keys().map(|key| key.get()).collect(),
            requests: sum.uses.values().map(|used| used.requests).collect(),
            tokens: sum.uses.values().map(|used| used.tokens.get()).collect(),
            sent: sum.uses.values().map(|used| used.sent).collect(),
        }
    }
}

impl TryFrom<WireOutstandingSum> for OutstandingSum {
    type Error = DecodeError;

    fn try_from(wire: WireOutstandingSum) -> Result<Self, DecodeError> {
        let count = wire.endpoints.len();
        check_count("endpoints", count, MAX_ENDPOINTS)?;
        let lists = [
            ("requests", wire.requests.len()),
            ("tokens", wire.tokens.len()),
            ("sent", wire.sent.len()),
        ];
        if let Some((field, length)) = lists.into_iter().find(|(_, length)| *length != count) {
            let problem = format!("it has {length} numbers for {count} endpoints");
            return Err(DecodeError::new(field, problem));
        }
        let keys = wire.endpoints.into_iter().map(EndpointKey::new);
        let counts = wire.requests.into_iter().zip(wire.tokens).zip(wire.sent);
        let uses = counts.map(|((requests, tokens), sent)| EndpointUse {
            requests,
            tokens: Tokens::new(tokens),
            sent,
        });
        Ok(Self { age_ms: wire.age_ms, nodes: wire.nodes, uses: keys.zip(uses).collect() })
    }
}
