//! Polls the stores of prompt parts, and frees parts that are no longer needed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use yuccapass_decisions::gateway::relay::{OriginRead, RelayItem, TopicClass};
use yuccapass_decisions::gateway::{
    Directory, PartEvents, PartStore, PartTransfers, StoreContents, StorePollSettings,
    TransferRequest, TransferTiming, plan_transfers,
};
use yuccapass_http::message::{Connection, MessageError};
use yuccapass_http::{sleep_until, with_deadline};
use yuccapass_types::{CacheNamespace, Deadline, Instant, ServiceId, SortedMap, WeightRevision};

use crate::exchange::exchange;
use crate::protocol::PartStoreProtocol;
use crate::relay::{NextRead, RelayedChanges, Subscription, store_topic};
use crate::state::Shared;
use crate::swap_leader::SwapLeader;

/// Maximum pause after a store rejected a poll because it has too many. The pause is random, so
/// that the nodes do not poll again at the same moment.
const BUSY_PAUSE_MS: u64 = 300;

/// The status with which a store rejects a poll because it has too many.
const STATUS_BUSY: u16 = 429;

/// Timeout of a call to a store.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Period of checking the configuration for new stores.
const CONFIGURATION_PERIOD_MS: u64 = 500;

/// Maximum age of what a relay knows of a store. An older state would not be used, so the store is
/// polled by this node instead.
const MAX_RELAYED_AGE_MS: u64 = 2_000;

/// Maximum number of parts that are freed with one call.
const MAX_FREED_PARTS: usize = 200;

/// Returns the prefix of all cache namespaces for prompt parts of these weights.
pub(crate) fn cache_namespace_prefix(weights: WeightRevision) -> String {
    format!("w{weights}")
}

/// Returns the weights of the parts in a cache namespace.
fn weights_of(namespace: &CacheNamespace) -> Option<WeightRevision> {
    let digits = namespace.as_str().strip_prefix('w')?;
    digits.split('-').next()?.parse().ok()
}

/// The contents of the stores. They share one lock, because each prompt is looked up in several.
#[derive(Default)]
pub(crate) struct StoreTable {
    stores: Mutex<SortedMap<ServiceId, StoreContents>>,
}

impl StoreTable {
    /// Decides what an endpoint fetches and saves for a prompt.
    pub(crate) fn plan(
        &self,
        directory: &Directory,
        request: &TransferRequest<'_>,
        now: Instant,
    ) -> PartTransfers {
        self.with(|stores| plan_transfers(stores, directory, request, now))
    }

    fn with<R>(&self, action: impl FnOnce(&mut SortedMap<ServiceId, StoreContents>) -> R) -> R {
        action(&mut self.stores.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the stores with those of the configuration; returns the new ones.
    fn update_stores(&self, configured: &[(ServiceId, PartStore)]) -> Vec<(ServiceId, SocketAddr)> {
        self.with(|stores| {
            stores.retain(|id, contents| {
                configured.iter().any(|(known, store)| known == id && store == contents.store())
            });
            let mut new = Vec::new();
            for (id, store) in configured {
                if !stores.contains_key(id) {
                    stores.insert(
                        id.clone(),
                        StoreContents::new(store.clone(), TransferTiming::default()),
                    );
                    new.push((id.clone(), store.address));
                }
            }
            new
        })
    }

    /// Runs `action` on the contents of a store, if it is still configured with this address.
    fn with_store<R>(
        &self,
        id: &ServiceId,
        address: SocketAddr,
        action: impl FnOnce(&mut StoreContents) -> R,
    ) -> Option<R> {
        self.with(|stores| {
            let contents = stores.get_mut(id)?;
            (contents.store().address == address).then(|| action(contents))
        })
    }
}

/// Polls the stores of the configuration until the process ends.
pub(crate) async fn poll_stores(
    shared: Arc<Shared>,
    protocol: Arc<dyn PartStoreProtocol>,
    swap_leader: Arc<SwapLeader>,
) {
    loop {
        if let Some(configuration) = shared.configuration() {
            let configured: Vec<(ServiceId, PartStore)> =
                configuration.stores().map(|(id, store)| (id.clone(), store.clone())).collect();
            for (id, address) in shared.stores.update_stores(&configured) {
                let topic = store_topic(id.as_str());
                let subscription =
                    shared.relay.subscribe(topic, TopicClass::Regular, MAX_RELAYED_AGE_MS);
                let poller = StorePoller {
                    subscription,
                    shared: Arc::clone(&shared),
                    protocol: Arc::clone(&protocol),
                    swap_leader: Arc::clone(&swap_leader),
                    id,
                    address,
                    settings: StorePollSettings::default(),
                    connection: None,
                };
                task::spawn(poller.run());
            }
        }
        task::sleep(Duration::from_millis(CONFIGURATION_PERIOD_MS)).await;
    }
}

/// Polls one store.
struct StorePoller {
    subscription: Subscription,
    shared: Arc<Shared>,
    protocol: Arc<dyn PartStoreProtocol>,
    swap_leader: Arc<SwapLeader>,
    id: ServiceId,
    address: SocketAddr,
    settings: StorePollSettings,
    connection: Option<Connection>,
}

/// The outcome of a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PollOutcome {
    /// The store has sent changes.
    Changed,
    /// There are no changes.
    Quiet,
    /// The store rejected the poll because it has too many.
    Busy,
}

impl StorePoller {
    async fn run(mut self) {
        let mut is_lost = false;
        loop {
            let now = self.shared.now();
            let known = self.shared.stores.with_store(&self.id, self.address, |contents| {
                contents.expire_pending_saves(now);
                let epoch = contents.epoch().unwrap_or_default();
                (epoch, contents.next_event(), contents.store().max_calls)
            });
            let Some((epoch, since, max_calls)) = known else { break };
            if let NextRead::Relayed(changes) =
                self.shared.relay.next_read(&self.subscription, epoch, since).await
            {
                self.apply_relayed(since, changes);
                self.free_replaced_parts().await;
                continue;
            }
            let sent_at = self.shared.now();
            let outcome = self.poll(since, sent_at).await;
            if outcome.is_ok() && is_lost {
                is_lost = false;
                log::info!(store = self.id.as_str(); "a store answers again");
            }
            let next = match outcome {
                Ok(PollOutcome::Busy) => {
                    let pause_ms = rand::random_range(0..BUSY_PAUSE_MS);
                    Deadline::after_ms(self.shared.now(), pause_ms)
                }
                Ok(answered) => {
                    let is_quiet = answered == PollOutcome::Quiet;
                    let nodes = self.polling_nodes();
                    Deadline::after_ms(
                        sent_at,
                        self.settings.next_period_ms(is_quiet, nodes, max_calls),
                    )
                }
                Err(error) => {
                    self.connection = None;
                    if !is_lost {
                        log::warn!(store = self.id.as_str(), error:%; "a store does not answer");
                    }
                    is_lost = true;
                    Deadline::after_ms(sent_at, self.settings.period_ms)
                }
            };
            self.free_replaced_parts().await;
            sleep_until(&*self.shared.clock, next).await;
        }
        // The store is no longer in the configuration.
        self.shared.relay.unsubscribe(&self.subscription);
    }

    /// Returns the number of nodes that poll the store.
    fn polling_nodes(&self) -> u32 {
        match self.shared.relay.is_relay(&self.shared.options.node) {
            // Other zones have about as many relays as this one.
            true => self.shared.relay.relay_count() * self.shared.options.zones.len() as u32,
            false => self.shared.nodes(),
        }
    }

    /// Polls for changes. If the store has restarted, the next poll starts at its first event.
    async fn poll(&mut self, since: u64, sent_at: Instant) -> Result<PollOutcome, MessageError> {
        let message = self.protocol.events_request(since, self.settings.wait_ms);
        let (status, body) = self.call(&message).await?;
        if status == STATUS_BUSY {
            return Ok(PollOutcome::Busy);
        }
        if status != 200 {
            return Err(MessageError::Malformed { detail: format!("status {status}") });
        }
        let answer = self
            .protocol
            .decode_events(&body)
            .map_err(|error| MessageError::Malformed { detail: error.to_string() })?;
        let outcome =
            if answer.events.is_empty() { PollOutcome::Quiet } else { PollOutcome::Changed };
        let now = self.shared.now();
        let items = answer.events.iter().cloned().map(RelayItem::Part);
        let read = OriginRead {
            epoch: answer.epoch,
            from: since,
            to: answer.next,
            items: items.map(|item| (answer.next, item)).collect(),
            sent_at,
            clock_ms: answer.clock_ms,
        };
        let is_restarted = self.apply(answer, since, sent_at) && since != 0;
        if !is_restarted {
            self.shared.relay.publish(&self.subscription, read, now);
        }
        Ok(outcome)
    }

    /// Applies changes that a relay has read.
    fn apply_relayed(&mut self, since: u64, changes: RelayedChanges) {
        let events = changes.items.into_iter().flatten().filter_map(|item| match item {
            RelayItem::Part(event) => Some(event),
            RelayItem::Entry(_) | RelayItem::Reference(_) => None,
        });
        let answer = PartEvents {
            epoch: changes.epoch,
            next: changes.end,
            has_gap: false,
            events: events.collect(),
            clock_ms: changes.clock_ms,
        };
        // After a restart of the store, a relay sends all events since the first one, so that there
        // is nothing to poll again.
        let _ = self.apply(answer, 0, changes.confirmed_at);
        if since != changes.end {
            log::debug!(store = self.id.as_str(), since, next = changes.end; "a relay sent changes");
        }
        self.shared.relay.set_position(&self.subscription, changes.epoch, changes.end);
    }

    /// Applies all changes since a position; returns whether the store is new to this node or has
    /// restarted.
    fn apply(&self, answer: PartEvents, since: u64, confirmed_at: Instant) -> bool {
        let now = self.shared.now();
        let (epoch, has_gap) = (answer.epoch, answer.has_gap);
        let is_new = self.shared.stores.with_store(&self.id, self.address, |contents| {
            let is_new = contents.apply_events(answer, confirmed_at, now);
            if is_new && since != 0 {
                contents.restart_events();
            }
            is_new
        });
        if is_new == Some(true) {
            log::info!(store = self.id.as_str(), epoch, has_gap; "a store is new or has restarted");
        }
        is_new == Some(true)
    }

    /// Frees the parts of weights that no endpoint serves any more, if this node is the leader of
    /// the weight swaps.
    async fn free_replaced_parts(&mut self) {
        let Some(oldest) = self.swap_leader.oldest_needed() else { return };
        let found = self.shared.stores.with_store(&self.id, self.address, |contents| {
            let is_replaced = |namespace: &CacheNamespace| {
                weights_of(namespace).is_some_and(|weights| weights < oldest)
            };
            let mut parts = contents.parts_where(is_replaced);
            parts.truncate(MAX_FREED_PARTS);
            Some((contents.epoch()?, parts))
        });
        let Some(Some((epoch, parts))) = found else { return };
        if parts.is_empty() {
            return;
        }
        let message = self.protocol.free_request(epoch, &parts);
        match self.call(&message).await {
            Ok((status, _)) => log::info!(
                store = self.id.as_str(), parts = parts.len(), status;
                "a store was asked to free parts of replaced weights"
            ),
            Err(error) => {
                self.connection = None;
                log::warn!(
                    store = self.id.as_str(), error:%;
                    "parts of replaced weights could not be freed"
                );
            }
        }
    }

    async fn call(&mut self, message: &[u8]) -> Result<(u16, Bytes), MessageError> {
        let limit = Deadline::after_ms(self.shared.now(), CALL_TIMEOUT_MS);
        let kept = self.connection.take().filter(Connection::is_reusable);
        let address = self.address;
        let exchange = async {
            let connection = match kept {
                Some(connection) => connection,
                None => {
                    Connection::open(address).await.map_err(|source| MessageError::Io { source })?
                }
            };
            exchange(connection, message).await
        };
        let timed_out =
            |_| MessageError::Io { source: std::io::Error::from(std::io::ErrorKind::TimedOut) };
        let answer =
            with_deadline(&*self.shared.clock, limit, exchange).await.map_err(timed_out)??;
        self.connection = answer.connection;
        Ok((answer.head.status, answer.body))
    }
}
