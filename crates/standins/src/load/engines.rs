//! Reads the journals and counts of the engine stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use http_types::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient};
use yuccapass_types::{Clock, Deadline};

use super::check::{JournalEntry, Violation, ViolationKind};
use super::summary::EngineCounts;
use crate::engine::StartedRun;
use crate::journal::JournalListing;

/// Maximum size of a response body; a journal has 65,536 entries of up to about 300 bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Maximum number of attempts to read from an engine, which may be restarting after a fault.
const MAX_READ_ATTEMPTS: u32 = 10;

/// Time between two attempts.
const RETRY_INTERVAL_MS: u64 = 500;

/// Clients of the engine stand-ins of a deployment.
pub struct EngineClients {
    clients: Vec<Arc<HttpClient>>,
    clock: Arc<dyn Clock>,
}

impl EngineClients {
    /// Creates clients without opening a connection.
    pub fn new(addresses: &[SocketAddr], clock: Arc<dyn Clock>) -> Self {
        let client = |address: &SocketAddr| {
            HttpClient::new(*address, ClientConfig::default(), Arc::clone(&clock))
        };
        Self { clients: addresses.iter().map(client).collect(), clock }
    }

    /// Reads all journals. A journal that cannot be read or has dropped entries is a violation.
    pub async fn read_journals(&self) -> (Vec<JournalEntry>, Vec<Violation>) {
        let mut entries = Vec::new();
        let mut violations = Vec::new();
        for client in &self.clients {
            let engine = client.address().to_string();
            let incomplete = |detail: String| Violation {
                kind: ViolationKind::IncompleteJournal,
                subject: engine.clone(),
                detail,
                story: Vec::new(),
            };
            match self.read::<JournalListing<StartedRun>>(client, "/journal").await {
                Ok(listing) => {
                    if listing.removed_entries > 0 {
                        let detail = format!("{} entries were removed", listing.removed_entries);
                        violations.push(incomplete(detail));
                    }
                    let entry = |run| JournalEntry { engine: engine.clone(), run };
                    entries.extend(listing.entries.into_iter().map(entry));
                }
                Err(detail) => violations.push(incomplete(detail)),
            }
        }
        (entries, violations)
    }

    /// Returns the sum of the counts of all engines that can be read.
    pub async fn read_counts(&self) -> EngineCounts {
        let mut total = EngineCounts::default();
        for client in &self.clients {
            match self.read::<Value>(client, "/stats").await {
                Ok(stats) => total.add(&stats),
                Err(_) => total.unread_engines += 1,
            }
        }
        total
    }

    async fn read<T: DeserializeOwned>(
        &self,
        client: &Arc<HttpClient>,
        path: &str,
    ) -> Result<T, String> {
        let mut last_error = String::new();
        for _ in 0..MAX_READ_ATTEMPTS {
            match self.try_read(client, path).await {
                Ok(value) => return Ok(value),
                Err(error) => last_error = error,
            }
            task::sleep(std::time::Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
        Err(last_error)
    }

    async fn try_read<T: DeserializeOwned>(
        &self,
        client: &Arc<HttpClient>,
        path: &str,
    ) -> Result<T, String> {
        let deadline = Deadline::after_ms(self.clock.now(), 10_000);
        let request = client.request(Method::Get, path);
        let exchange = client
            .send(request, ConnectionChoice::New, deadline)
            .await
            .map_err(|error| error.to_string())?;
        let (_, bytes) = exchange
            .read_body(MAX_BODY_BYTES, deadline)
            .await
            .map_err(|error| error.to_string())?;
        serde_json::from_slice(&bytes).map_err(|error| error.to_string())
    }
}
