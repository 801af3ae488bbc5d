//! Handles messages from other nodes.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use yuccapass_decisions::config::ChunkHash;
use yuccapass_decisions::permits::PermitReply;
use yuccapass_peers::{
    ConfigChunk, ConfigRequest, MAX_CHUNK_BYTES, PeerHandler, PeerMessage, PermitRequest, Sender,
};
use yuccapass_types::Deadline;

use crate::fleet::permits::ColdProcess;
use crate::fleet::{ConfigurationFetcher, heartbeats};
use crate::request_handler::Core;

/// Handles messages from other nodes; replies from this node's state.
pub(crate) struct FleetHandler {
    pub(crate) core: Arc<Core>,
    pub(crate) fetcher: Arc<ConfigurationFetcher>,
}

#[async_trait]
impl PeerHandler for FleetHandler {
    async fn handle(
        &self,
        _from: Sender,
        message: PeerMessage,
        _deadline: Deadline,
    ) -> Option<PeerMessage> {
        let core = &self.core;
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                heartbeats::receive(core, &self.fetcher, &heartbeat);
                Some(PeerMessage::Heartbeat(core.members.reply()))
            }
            PeerMessage::ConfigRequest(request) => Some(self.configuration_part(&request)),
            PeerMessage::VoteRequest(request) => {
                Some(PeerMessage::VoteReply(core.votes.handle_request(&request)))
            }
            PeerMessage::VoteRelease { key, attempt } => {
                core.votes.release_local(&key, &attempt);
                None
            }
            PeerMessage::Outcome { key, attempt, outcome } => {
                core.votes.record_local(&key, &attempt, outcome);
                None
            }
            PeerMessage::PermitRequest(request) => Some(self.handle_permit_request(&request)),
            PeerMessage::ConfigChunk(_)
            | PeerMessage::VoteReply(_)
            | PeerMessage::PermitReply(_)
            | PeerMessage::RelayRequest(_)
            | PeerMessage::RelayReply(_)
            | PeerMessage::KeepStreams(_)
            | PeerMessage::StreamsKept
            | PeerMessage::FindStream(_)
            | PeerMessage::StreamFound(_)
            | PeerMessage::RequestList(_)
            | PeerMessage::ListOffered(_)
            | PeerMessage::RequestSoleVersion(_)
            | PeerMessage::SoleVersion(_) => None,
        }
    }
}

impl FleetHandler {
    /// Returns the requested chunk or part of the manifest.
    fn configuration_part(&self, request: &ConfigRequest) -> PeerMessage {
        let active = self.core.configuration.active();
        let manifest = active.config.manifest();
        let bytes = match request.chunk {
            Some(hash) => active.config.chunk_bytes(&ChunkHash::from_bytes(hash)),
            None => manifest_part(&manifest.encode(), request.offset_bytes),
        };
        let bytes = bytes.map(Bytes::from);
        PeerMessage::ConfigChunk(ConfigChunk { revision: manifest.revision, bytes })
    }

    fn handle_permit_request(&self, request: &PermitRequest) -> PeerMessage {
        let active = self.core.configuration.active();
        let Some(endpoint) = active.document().endpoint(&request.endpoint) else {
            return PeerMessage::PermitReply(PermitReply::NotOwner);
        };
        let cold = ColdProcess {
            endpoint: request.endpoint.clone(),
            incarnation: request.incarnation,
            zone: endpoint.zone.clone(),
            max_requests: endpoint.cold_requests,
        };
        let reply = self.core.permits.handle_request(&cold, &request.permit, request.action);
        PeerMessage::PermitReply(reply)
    }
}

/// Returns at most [`MAX_CHUNK_BYTES`] from an offset; `None` if the offset is past the end.
fn manifest_part(manifest: &[u8], offset_bytes: u64) -> Option<Vec<u8>> {
    let start = usize::try_from(offset_bytes).ok()?;
    let rest = manifest.get(start..)?;
    Some(rest[..rest.len().min(MAX_CHUNK_BYTES)].to_vec())
}
