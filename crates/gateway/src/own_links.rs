//! Finds out whether this node itself still reaches the endpoints, see `yuccapass_decisions::gateway::own_links`.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use rand::seq::IndexedRandom;
use yuccapass_decisions::gateway::own_links::SAMPLE;
use yuccapass_decisions::gateway::{EndpointRecord, EndpointState, OwnLinks, SampleResult};
use yuccapass_http::with_deadline;
use yuccapass_types::{Deadline, EndpointId, Instant};

use crate::state::Shared;

/// What this node believes of its links to the endpoints.
pub(crate) struct LinkTable {
    links: Mutex<OwnLinks>,
    // A copy, so that requests need not wait for the lock.
    are_lost: AtomicBool,
    wanted: (Sender<()>, Receiver<()>),
}

impl Default for LinkTable {
    fn default() -> Self {
        Self { links: Mutex::default(), are_lost: AtomicBool::new(false), wanted: bounded(1) }
    }
}

impl LinkTable {
    /// Returns whether connections to most endpoints cannot be opened.
    pub(crate) fn are_lost(&self) -> bool {
        self.are_lost.load(Ordering::Acquire)
    }

    /// Returns whether the links are lost to most endpoints, but not to all.
    pub(crate) fn reach_some(&self) -> bool {
        self.links().reach_some()
    }

    /// Returns whether connections to endpoints that are open live on.
    pub(crate) fn is_heard(&self, now: Instant) -> bool {
        self.links().is_heard(now)
    }

    /// Records that something was received from an endpoint.
    pub(crate) fn record_heard(&self, now: Instant) {
        self.links().record_heard(now);
    }

    /// Records whether a connection to an endpoint was opened.
    pub(crate) fn record_connection(&self, is_open: bool, now: Instant) {
        let is_due = match is_open {
            true => {
                self.links().record_connected();
                false
            }
            false => self.links().record_not_connected(now),
        };
        self.sample_if(is_due);
    }

    /// Records that an attempt has ended without an answer.
    pub(crate) fn record_broken(&self, now: Instant) {
        let is_due = self.links().record_broken(now);
        self.sample_if(is_due);
    }

    fn sample_if(&self, is_due: bool) {
        if is_due {
            // One pending signal is enough.
            let _ = self.wanted.0.try_send(());
        }
    }

    fn links(&self) -> MutexGuard<'_, OwnLinks> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects to samples of the endpoints when that is due, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let next = shared.links.links().next_sample().unwrap_or(Deadline::NEVER);
        // A signal and the end of the period both lead to a sample.
        let _ = with_deadline(&*shared.clock, next, shared.links.wanted.1.recv()).await;
        if !shared.links.links().begin_sample(shared.now()) {
            continue;
        }
        let result = sample(&shared, None).await;
        let (has_changed, are_lost) = {
            let mut links = shared.links.links();
            (links.end_sample(result), links.are_lost())
        };
        if has_changed {
            shared.links.are_lost.store(are_lost, Ordering::Release);
            shared.metrics.record_own_links(are_lost);
            log::warn!(
                are_lost, reached = result.reached, failed = result.failed;
                "whether this node reaches endpoints has changed"
            );
        }
    }
}

/// Returns whether the paths to endpoints are broken, so that the failure of one of them does not show that its
/// process has ended: none of the others, without the one at this address, can be reached either. A request that
/// crashes endpoints leaves some.
pub(crate) async fn are_paths_broken(shared: &Arc<Shared>, excluded: SocketAddr) -> bool {
    sample(shared, Some(excluded)).await.reaches_none()
}

/// Connects to a few endpoints at once, without the one at this address.
async fn sample(shared: &Arc<Shared>, excluded: Option<SocketAddr>) -> SampleResult {
    let directory = shared.directory();
    let ready: Vec<(&EndpointId, &EndpointRecord)> = directory
        .endpoints()
        .filter(|(_, record)| record.state == EndpointState::Ready)
        .filter(|(_, record)| Some(record.address) != excluded)
        .collect();
    let checks = ready.sample(&mut rand::rng(), SAMPLE).map(|(id, record)| {
        let (shared, id, record) = (Arc::clone(shared), (*id).clone(), (*record).clone());
        task::spawn(async move { shared.endpoints.open_idle(&id, &record).await.is_ok() })
    });
    let checks: Vec<_> = checks.collect();
    let count = checks.len();
    let reached =
        futures::future::join_all(checks).await.into_iter().filter(|is_accepted| *is_accepted);
    let reached = reached.count();
    SampleResult { reached, failed: count - reached }
}
