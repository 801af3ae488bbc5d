//! Brings newer configurations from the platform and from other nodes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use yuccapass_decisions::config::{Action, ChunkHash, Manifest, Source};
use yuccapass_decisions::platform_budget::CallRank;
use yuccapass_peers::{ConfigRequest, MAX_CHUNK_BYTES, PeerMessage, PeerTransport};
use yuccapass_platform::{KeyValue, PlatformClient, PlatformError};
use yuccapass_types::{Clock, Deadline, NodeId, Revision};

use crate::configuration::Configuration;
use crate::fleet::Members;
use crate::fleet::platform_configuration::{chunk_key, manifest_key, swap_manifest, write_chunks};

/// How long a neighbour may take to answer.
const NEIGHBOUR_TIMEOUT_MS: u64 = 2_000;

/// How long writing a whole configuration back may take.
const RESTORE_TIMEOUT_MS: u64 = 30_000;

/// Most bytes of a manifest: more chunks than the largest document has.
const MAX_MANIFEST_BYTES: usize = 1 << 20;

/// Fetches what the holder of the configuration asks for.
pub(crate) struct ConfigurationSync {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) members: Arc<Members>,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) platform: Option<Arc<PlatformClient>>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl ConfigurationSync {
    /// Takes in that another node has a newer revision.
    pub(crate) async fn neighbour_has(
        &self,
        node: NodeId,
        address: SocketAddr,
        revision: Revision,
    ) {
        if !self.configuration.wants_revision(revision) {
            return;
        }
        if let Some(manifest) = self.neighbour_manifest(address, revision).await {
            self.offer_manifest(Source::Node(node), &manifest).await;
        }
    }

    /// Takes in a manifest, and fetches the chunks that are missing for it.
    pub(crate) async fn offer_manifest(&self, source: Source, manifest: &[u8]) {
        let now = self.clock.now();
        let actions =
            self.configuration.advance(|holder| holder.offer_manifest(now, source, manifest));
        self.carry_out(actions).await;
    }

    /// Asks again for what did not arrive.
    pub(crate) async fn poll(&self) {
        if self.configuration.is_collecting() {
            let now = self.clock.now();
            let actions = self.configuration.advance(|holder| holder.poll(now));
            self.carry_out(actions).await;
        }
    }

    async fn carry_out(&self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::RequestChunk { source, hash, deadline } => {
                    let bytes = self.fetch_chunk(&source, &hash, deadline).await;
                    let now = self.clock.now();
                    actions.extend(self.configuration.advance(|holder| match bytes {
                        Some(bytes) => holder.offer_chunk(now, source, hash, &bytes),
                        None => holder.chunk_failed(now, &source, &hash),
                    }));
                }
                Action::Report { source, reason } => {
                    log::warn!(source:? = source; "a configuration was refused: {reason}");
                }
                Action::RestorePlatform { platform_revision } => {
                    log::error!(
                        platform_revision = platform_revision.get();
                        "the platform holds an older configuration than the one in force"
                    );
                    if let Err(error) = self.restore_platform(platform_revision).await {
                        log::warn!("the configuration could not be written back: {error}");
                    }
                }
                // Done by the holder's owner already.
                Action::Activate(_) => {}
            }
        }
        let revision = self.configuration.revision();
        self.members.update(|table| table.set_revision(revision));
    }

    /// Writes the configuration in force back to a platform that was restored from an older state.
    async fn restore_platform(&self, platform_revision: Revision) -> Result<(), PlatformError> {
        let Some(platform) = &self.platform else { return Ok(()) };
        let key_value = platform.key_value(CallRank::Command);
        let deadline = Deadline::after_ms(self.clock.now(), RESTORE_TIMEOUT_MS);
        let entry = key_value.get(&manifest_key(), deadline).await?.entry;
        let held = entry.as_ref().and_then(|entry| Manifest::decode(entry.value.as_bytes()).ok());
        if held.is_none_or(|held| held.revision != platform_revision) {
            // Another node was faster, or an operator has decided.
            return Ok(());
        }
        let config = Arc::clone(&self.configuration.active().config);
        write_chunks(&key_value, &config, |_| true, deadline).await?;
        swap_manifest(&key_value, entry.as_ref(), config.manifest(), deadline).await?;
        log::info!(
            revision = config.manifest().revision.get();
            "the configuration in force was written back to the platform"
        );
        Ok(())
    }

    async fn fetch_chunk(
        &self,
        source: &Source,
        hash: &ChunkHash,
        deadline: Deadline,
    ) -> Option<Vec<u8>> {
        match source {
            Source::Platform => self.platform_chunk(hash, deadline).await,
            Source::Node(node) => {
                let statuses = self.members.statuses();
                let status = statuses.iter().find(|status| status.row.node == *node)?;
                let request = ConfigRequest {
                    revision: status.row.revision,
                    chunk: Some(*hash.as_bytes()),
                    offset_bytes: 0,
                };
                self.ask(status.row.peer_address, request, deadline).await
            }
        }
    }

    async fn platform_chunk(&self, hash: &ChunkHash, deadline: Deadline) -> Option<Vec<u8>> {
        let platform = self.platform.as_ref()?.key_value(CallRank::Refresh);
        let answer = platform.get(&chunk_key(hash), deadline).await.ok()?;
        Some(answer.entry?.value.as_bytes().to_vec())
    }

    /// Reads a manifest in parts.
    async fn neighbour_manifest(&self, address: SocketAddr, revision: Revision) -> Option<Vec<u8>> {
        let deadline = Deadline::after_ms(self.clock.now(), NEIGHBOUR_TIMEOUT_MS);
        let mut manifest = Vec::new();
        while manifest.len() <= MAX_MANIFEST_BYTES {
            let offset_bytes = manifest.len() as u64;
            let request = ConfigRequest { revision, chunk: None, offset_bytes };
            let part = self.ask(address, request, deadline).await?;
            manifest.extend_from_slice(&part);
            if part.len() < MAX_CHUNK_BYTES {
                return Some(manifest);
            }
        }
        None
    }

    async fn ask(
        &self,
        address: SocketAddr,
        request: ConfigRequest,
        deadline: Deadline,
    ) -> Option<Vec<u8>> {
        let message = PeerMessage::ConfigRequest(request);
        match self.transport.call(address, message, deadline).await {
            Ok(received) => match received.message {
                PeerMessage::ConfigChunk(chunk) => chunk.bytes.map(|bytes| bytes.to_vec()),
                _ => None,
            },
            Err(error) => {
                log::debug!(peer:% = address; "a neighbour did not send its configuration: {error}");
                None
            }
        }
    }
}
