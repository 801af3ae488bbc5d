//! Answers other nodes: the followers of this one, and those whose streams it keeps.

use std::sync::Arc;

use async_trait::async_trait;
use yuccapass_decisions::gateway::relay::RelayItem;
use yuccapass_http::with_deadline;
use yuccapass_peers::{PeerHandler, PeerMessage, RelayReply, RelayRequest, Sender};
use yuccapass_types::{Bytes, Deadline};

use super::value_topic;
use crate::metrics::ChangePath;
use crate::state::Shared;

/// How long a request is held if there are no urgent news. It bounds the calls of a follower, and
/// adds to the age of what it knows of stores, which it may use for 800 ms.
const HOLD_MS: u64 = 250;

/// Handles the messages of other nodes.
pub(crate) struct RelayHandler {
    pub(crate) shared: Arc<Shared>,
}

#[async_trait]
impl PeerHandler for RelayHandler {
    async fn handle(
        &self,
        from: Sender,
        message: PeerMessage,
        _deadline: Deadline,
    ) -> Option<PeerMessage> {
        match message {
            PeerMessage::RelayRequest(request) => {
                Some(PeerMessage::RelayReply(self.reply(&from, request).await))
            }
            PeerMessage::KeepStreams(records) => {
                self.shared.streams.keep(&self.shared, records);
                Some(PeerMessage::StreamsKept)
            }
            PeerMessage::FindStream(id) => {
                Some(PeerMessage::StreamFound(self.shared.streams.known_origin(&self.shared, &id)))
            }
            PeerMessage::RequestSoleVersion(service) => {
                let statement = self.shared.streams.statement(&self.shared, &service).await;
                Some(PeerMessage::SoleVersion(statement))
            }
            PeerMessage::RequestList(topic) => {
                let offer = self.shared.relay.offer_list(&topic, self.shared.now());
                Some(PeerMessage::ListOffered(offer))
            }
            // The gateway uses none of the other messages.
            _ => None,
        }
    }
}

impl RelayHandler {
    async fn reply(&self, from: &Sender, request: RelayRequest) -> RelayReply {
        let received_at = self.shared.now();
        let scope = request.outstanding.as_ref().map(|summary| summary.scope);
        if let Some(summary) = request.outstanding {
            self.shared.zone_room.record_summary(&self.shared, from, summary);
        }
        let is_transferring = request.value.is_some();
        if let Some(news) =
            self.shared.relay.wait_for_news(&request.topics).filter(|_| !is_transferring)
        {
            let limit = Deadline::after_ms(received_at, HOLD_MS);
            // The receiver only ever closes; both outcomes end the wait.
            let _ = with_deadline(&*self.shared.clock, limit, news.recv()).await;
        }
        let now = self.shared.now();
        let outstanding = scope.map(|scope| self.shared.zone_room.reply(&from.node, scope, now));
        let piece =
            request.value.as_ref().and_then(|request| self.shared.relay.values.piece(request));
        let piece_size =
            piece.as_ref().map_or(Bytes::default(), |piece| Bytes::new(piece.bytes.len() as u64));
        if let Some(request) = &request.value {
            let (topic, path) = (value_topic(&request.key), ChangePath::ToFollower);
            self.shared.metrics.record_change_bytes(&topic, path, piece_size);
        }
        let room_size = outstanding.as_ref().map(|reply| reply.sum.size()).unwrap_or_default();
        let other_bytes = [piece_size, room_size].into_iter().sum();
        let updates =
            self.shared.relay.answer(&request.topics, request.accepts_references, other_bytes, now);
        for update in &updates {
            let size = update.items.iter().flatten().map(RelayItem::size).sum();
            self.shared.metrics.record_change_bytes(&update.topic, ChangePath::ToFollower, size);
        }
        RelayReply { held_ms: now.ms_since(received_at), updates, outstanding, piece }
    }
}
