//! Fetches newer configurations from the platform and from other nodes.

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

/// Timeout for fetching a manifest from another node.
const MANIFEST_TIMEOUT_MS: u64 = 2_000;

/// Timeout for writing a whole configuration back to the platform.
const RESTORE_TIMEOUT_MS: u64 = 30_000;

/// Maximum size of a manifest; the manifest of the largest document is smaller.
const MAX_MANIFEST_BYTES: usize = 1 << 20;

/// Carries out the fetches and writes that the `ConfigSync` of this node requests.
pub(crate) struct ConfigurationFetcher {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) members: Arc<Members>,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) platform: Option<Arc<PlatformClient>>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl ConfigurationFetcher {
    /// Fetches a revision that another node announced, unless this node has it already.
    pub(crate) async fn fetch_revision(
        &self,
        node: NodeId,
        address: SocketAddr,
        revision: Revision,
    ) {
        if !self.configuration.wants_revision(revision) {
            return;
        }
        if let Some(manifest) = self.fetch_manifest(address, revision).await {
            self.offer_manifest(Source::Node(node), &manifest).await;
        }
    }

    /// Passes a manifest to the `ConfigSync` and fetches the chunks that it lacks.
    pub(crate) async fn offer_manifest(&self, source: Source, manifest: &[u8]) {
        let now = self.clock.now();
        let actions = self.configuration.advance(|sync| sync.offer_manifest(now, source, manifest));
        self.execute(actions).await;
    }

    /// Requests chunks again that did not arrive in time.
    pub(crate) async fn retry_missing_chunks(&self) {
        if self.configuration.is_collecting() {
            let now = self.clock.now();
            let actions = self.configuration.advance(|sync| sync.poll(now));
            self.execute(actions).await;
        }
    }

    /// Executes the actions of the `ConfigSync`, and those that follow from their results.
    async fn execute(&self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::RequestChunk { source, hash, deadline } => {
                    let bytes = self.fetch_chunk(&source, &hash, deadline).await;
                    let now = self.clock.now();
                    actions.extend(self.configuration.advance(|sync| match bytes {
                        Some(bytes) => sync.offer_chunk(now, source, hash, &bytes),
                        None => sync.chunk_failed(now, &source, &hash),
                    }));
                }
                Action::ReportRejection { source, reason } => {
                    log::warn!(source:? = source; "configuration rejected: {reason}");
                }
                Action::RestorePlatform { platform_revision } => {
                    log::error!(
                        platform_revision = platform_revision.get();
                        "the platform holds an older configuration than the active one"
                    );
                    if let Err(error) = self.restore_platform(platform_revision).await {
                        log::warn!(
                            "cannot write the active configuration back to the platform: {error}"
                        );
                    }
                }
                // `Configuration::advance` has activated it already.
                Action::Activate(_) => {}
            }
        }
        let revision = self.configuration.revision();
        self.members.update(|table| table.set_revision(revision));
    }

    /// Writes the active configuration back to a platform that was restored from an older state.
    async fn restore_platform(&self, platform_revision: Revision) -> Result<(), PlatformError> {
        let Some(platform) = &self.platform else { return Ok(()) };
        let key_value = platform.key_value(CallRank::Command);
        let deadline = Deadline::after_ms(self.clock.now(), RESTORE_TIMEOUT_MS);
        let entry = key_value.get(&manifest_key(), deadline).await?.entry;
        let stored = entry.as_ref().and_then(|entry| Manifest::decode(entry.value.as_bytes()).ok());
        if stored.is_none_or(|stored| stored.revision != platform_revision) {
            // Another node has written it back already, or an operator has changed it.
            return Ok(());
        }
        let config = Arc::clone(&self.configuration.active().config);
        write_chunks(&key_value, &config, |_| true, deadline).await?;
        swap_manifest(&key_value, entry.as_ref(), config.manifest(), deadline).await?;
        log::info!(
            revision = config.manifest().revision.get();
            "the active configuration was written back to the platform"
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
            Source::Platform => self.fetch_platform_chunk(hash, deadline).await,
            Source::Node(node) => {
                let statuses = self.members.statuses();
                let status = statuses.iter().find(|status| status.row.node == *node)?;
                let request = ConfigRequest {
                    revision: status.row.revision,
                    chunk: Some(*hash.as_bytes()),
                    offset_bytes: 0,
                };
                self.request_part(status.row.peer_address, request, deadline).await
            }
        }
    }

    async fn fetch_platform_chunk(&self, hash: &ChunkHash, deadline: Deadline) -> Option<Vec<u8>> {
        let platform = self.platform.as_ref()?.key_value(CallRank::Refresh);
        let answer = platform.get(&chunk_key(hash), deadline).await.ok()?;
        Some(answer.entry?.value.as_bytes().to_vec())
    }

    /// Fetches a manifest in parts from another node.
    async fn fetch_manifest(&self, address: SocketAddr, revision: Revision) -> Option<Vec<u8>> {
        let deadline = Deadline::after_ms(self.clock.now(), MANIFEST_TIMEOUT_MS);
        let mut manifest = Vec::new();
        while manifest.len() <= MAX_MANIFEST_BYTES {
            let offset_bytes = manifest.len() as u64;
            let request = ConfigRequest { revision, chunk: None, offset_bytes };
            let part = self.request_part(address, request, deadline).await?;
            manifest.extend_from_slice(&part);
            if part.len() < MAX_CHUNK_BYTES {
                return Some(manifest);
            }
        }
        None
    }

    /// Requests a chunk or a part of a manifest from another node.
    async fn request_part(
        &self,
        address: SocketAddr,
        request: ConfigRequest,
        deadline: Deadline,
    ) -> Option<Vec<u8>> {
        let message = PeerMessage::ConfigRequest(request);
        match self.transport.call(address, message, deadline).await {
            Ok(reply) => match reply.message {
                PeerMessage::ConfigChunk(chunk) => chunk.bytes.map(|bytes| bytes.to_vec()),
                _ => None,
            },
            Err(error) => {
                log::debug!(peer:% = address; "cannot fetch a part of a configuration: {error}");
                None
            }
        }
    }
}
