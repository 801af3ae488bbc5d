//! Conversion of the messages between relays and their followers.

use yuccapass_decisions::gateway::PartEvent;
use yuccapass_decisions::gateway::relay::{
    ListOffer, RelayItem, RelayedEntry, RelayedReference, TopicRequest, TopicUpdate, ValueDigest,
    ValuePiece, ValueRequest,
};
use yuccapass_types::Tokens;

use super::{check_count, parse_id, required};
use crate::error::DecodeError;
use crate::message::{RelayReply, RelayRequest};
use crate::wire::{
    WireListOffer, WirePartEvent, WireRelayChange, WireRelayItem, WireRelayItems, WireRelayReply,
    WireRelayRequest, WireRelayedEntry, WireRelayedReference, WireTopicRequest, WireTopicUpdate,
    WireValuePiece, WireValueRequest,
};

/// Maximum number of topics in a message: the prefixes of the key-value service, and the stores of
/// a deployment several times larger than the target.
const MAX_TOPICS: usize = 1_024;

impl From<RelayRequest> for WireRelayRequest {
    fn from(request: RelayRequest) -> Self {
        let topics = request.topics.into_iter().map(|topic| WireTopicRequest {
            topic: topic.topic.into(),
            epoch: topic.epoch,
            after: topic.after,
        });
        Self {
            topics: topics.collect(),
            outstanding: request.outstanding.map(Into::into),
            accepts_references: request.accepts_references,
            value: request.value.map(Into::into),
        }
    }
}

impl TryFrom<WireRelayRequest> for RelayRequest {
    type Error = DecodeError;

    fn try_from(wire: WireRelayRequest) -> Result<Self, DecodeError> {
        check_count("topics", wire.topics.len(), MAX_TOPICS)?;
        let topics = wire.topics.into_iter().map(|topic| TopicRequest {
            topic: topic.topic.into(),
            epoch: topic.epoch,
            after: topic.after,
        });
        let outstanding = wire.outstanding.map(TryInto::try_into).transpose()?;
        let value = wire.value.map(TryInto::try_into).transpose()?;
        let accepts_references = wire.accepts_references;
        Ok(Self { topics: topics.collect(), outstanding, accepts_references, value })
    }
}

impl From<RelayReply> for WireRelayReply {
    fn from(reply: RelayReply) -> Self {
        let updates = reply.updates.into_iter().map(WireTopicUpdate::from).collect();
        let outstanding = reply.outstanding.map(Into::into);
        let piece = reply.piece.map(Into::into);
        Self { held_ms: reply.held_ms, updates, outstanding, piece }
    }
}

impl TryFrom<WireRelayReply> for RelayReply {
    type Error = DecodeError;

    fn try_from(wire: WireRelayReply) -> Result<Self, DecodeError> {
        check_count("updates", wire.updates.len(), MAX_TOPICS)?;
        let updates: Result<Vec<TopicUpdate>, DecodeError> =
            wire.updates.into_iter().map(TopicUpdate::try_from).collect();
        let outstanding = wire.outstanding.map(TryInto::try_into).transpose()?;
        let piece = wire.piece.map(TryInto::try_into).transpose()?;
        Ok(Self { held_ms: wire.held_ms, updates: updates?, outstanding, piece })
    }
}

impl From<TopicUpdate> for WireTopicUpdate {
    fn from(update: TopicUpdate) -> Self {
        let items = update.items.map(|items| WireRelayItems {
            items: items.into_iter().map(WireRelayItem::from).collect(),
        });
        Self {
            topic: update.topic.into(),
            epoch: update.epoch,
            after: update.after,
            end: update.end,
            age_ms: update.age_ms,
            outage_age_ms: update.outage_age_ms,
            clock_ms: update.clock_ms,
            items,
        }
    }
}

impl TryFrom<WireTopicUpdate> for TopicUpdate {
    type Error = DecodeError;

    fn try_from(wire: WireTopicUpdate) -> Result<Self, DecodeError> {
        let items: Option<Result<Vec<RelayItem>, DecodeError>> =
            wire.items.map(|items| items.items.into_iter().map(RelayItem::try_from).collect());
        Ok(Self {
            topic: wire.topic.into(),
            epoch: wire.epoch,
            after: wire.after,
            end: wire.end,
            age_ms: wire.age_ms,
            outage_age_ms: wire.outage_age_ms,
            clock_ms: wire.clock_ms,
            items: items.transpose()?,
        })
    }
}

impl From<RelayItem> for WireRelayItem {
    fn from(item: RelayItem) -> Self {
        let change = match item {
            RelayItem::Entry(entry) => WireRelayChange::Entry(entry.into()),
            RelayItem::Reference(reference) => WireRelayChange::Reference(WireRelayedReference {
                key: reference.key.into(),
                digest: reference.digest.as_bytes().to_vec(),
                revision: reference.revision,
            }),
            RelayItem::Part(event) => WireRelayChange::Part(WirePartEvent {
                is_added: event.is_added,
                namespace: event.namespace.to_string(),
                part: event.part.to_string(),
                tokens: event.tokens.get(),
            }),
        };
        Self { change: Some(change) }
    }
}

impl TryFrom<WireRelayItem> for RelayItem {
    type Error = DecodeError;

    fn try_from(wire: WireRelayItem) -> Result<Self, DecodeError> {
        Ok(match required("change", wire.change)? {
            WireRelayChange::Entry(entry) => Self::Entry(entry.into()),
            WireRelayChange::Reference(reference) => Self::Reference(RelayedReference {
                key: reference.key.into(),
                digest: digest("digest", &reference.digest)?,
                revision: reference.revision,
            }),
            WireRelayChange::Part(event) => Self::Part(PartEvent {
                is_added: event.is_added,
                namespace: parse_id("namespace", &event.namespace)?,
                part: parse_id("part", &event.part)?,
                tokens: Tokens::new(event.tokens),
            }),
        })
    }
}

impl From<RelayedEntry> for WireRelayedEntry {
    fn from(entry: RelayedEntry) -> Self {
        Self { key: entry.key.into(), value: entry.value, revision: entry.revision }
    }
}

impl From<WireRelayedEntry> for RelayedEntry {
    fn from(wire: WireRelayedEntry) -> Self {
        Self { key: wire.key.into(), value: wire.value, revision: wire.revision }
    }
}

impl From<ListOffer> for WireListOffer {
    fn from(offer: ListOffer) -> Self {
        Self {
            epoch: offer.epoch,
            end: offer.end,
            age_ms: offer.age_ms,
            digest: offer.digest.as_bytes().to_vec(),
        }
    }
}

impl TryFrom<WireListOffer> for ListOffer {
    type Error = DecodeError;

    fn try_from(wire: WireListOffer) -> Result<Self, DecodeError> {
        Ok(Self {
            epoch: wire.epoch,
            end: wire.end,
            age_ms: wire.age_ms,
            digest: digest("digest", &wire.digest)?,
        })
    }
}

impl From<ValueRequest> for WireValueRequest {
    fn from(request: ValueRequest) -> Self {
        Self {
            key: request.key.into(),
            digest: request.digest.as_bytes().to_vec(),
            base: request.base.map(|base| base.as_bytes().to_vec()),
            offset_bytes: request.offset_bytes,
        }
    }
}

impl TryFrom<WireValueRequest> for ValueRequest {
    type Error = DecodeError;

    fn try_from(wire: WireValueRequest) -> Result<Self, DecodeError> {
        Ok(Self {
            key: wire.key.into(),
            digest: digest("digest", &wire.digest)?,
            base: wire.base.map(|base| digest("base", &base)).transpose()?,
            offset_bytes: wire.offset_bytes,
        })
    }
}

impl From<ValuePiece> for WireValuePiece {
    fn from(piece: ValuePiece) -> Self {
        Self {
            digest: piece.digest.as_bytes().to_vec(),
            base: piece.base.map(|base| base.as_bytes().to_vec()),
            offset_bytes: piece.offset_bytes,
            total_bytes: piece.total_bytes,
            bytes: piece.bytes,
        }
    }
}

impl TryFrom<WireValuePiece> for ValuePiece {
    type Error = DecodeError;

    fn try_from(wire: WireValuePiece) -> Result<Self, DecodeError> {
        Ok(Self {
            digest: digest("digest", &wire.digest)?,
            base: wire.base.map(|base| digest("base", &base)).transpose()?,
            offset_bytes: wire.offset_bytes,
            total_bytes: wire.total_bytes,
            bytes: wire.bytes,
        })
    }
}

fn digest(field: &'static str, bytes: &[u8]) -> Result<ValueDigest, DecodeError> {
    let bytes = bytes
        .try_into()
        .map_err(|_| DecodeError::new(field, format!("{} bytes instead of 16", bytes.len())))?;
    Ok(ValueDigest::from_bytes(bytes))
}
