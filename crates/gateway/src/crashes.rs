//! Finds requests that crash the endpoints which run them, together with the other nodes.
//!
//! A node that loses the connection of a request asks whether the endpoint still accepts connections.
//! If it does not, the request becomes a suspect; it is refused for a while once it has been one at
//! several crashes without having been answered in between. What each node has counted stands in its
//! registration.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use async_std::{future, task};
use serde::{Deserialize, Serialize};
use yuccapass_decisions::crash_guard::{
    CrashGuard, CrashGuardSettings, CrashReport, Fingerprint, FingerprintStatus,
};
use yuccapass_types::{Incarnation, Instant, NodeId};

use crate::admission::ReadRequest;
use crate::state::Shared;

/// Crashes after which a request is refused. The platform allows three.
const CRASHES_TO_BLOCK: u32 = 2;

/// Time for which it is refused after its last crash. Whole availability zones fail at once, so a
/// request that met two failures by chance must not be refused for long.
const BLOCK_MS: u64 = 60_000;

/// Longest wait for a connection to an endpoint that may have crashed.
const PROBE_MS: u64 = 300;

/// Broken attempts that wait for a probe; further ones are not counted.
const MAX_WAITING: usize = 32;

/// Most requests that a node tells the others of.
const MAX_REPORTS: usize = 16;

/// A request whose connection to an endpoint broke.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrokenAttempt {
    fingerprint: Fingerprint,
    endpoint: SocketAddr,
}

/// The requests that crash endpoints.
pub(crate) struct CrashTracker {
    guard: Mutex<CrashGuard>,
    broken: (Sender<BrokenAttempt>, Receiver<BrokenAttempt>),
    changed: (Sender<()>, Receiver<()>),
}

impl CrashTracker {
    pub(crate) fn new(node: NodeId, incarnation: Incarnation) -> Self {
        let settings =
            CrashGuardSettings::default().crashes_to_block(CRASHES_TO_BLOCK).block_ms(BLOCK_MS);
        Self {
            guard: Mutex::new(CrashGuard::new(node, incarnation, settings)),
            broken: bounded(MAX_WAITING),
            changed: bounded(1),
        }
    }

    /// Returns whether a request is to be refused.
    pub(crate) fn blocks(&self, request: &ReadRequest, now: Instant) -> bool {
        self.with(|guard| {
            // Hardly ever is anything known, and then the body need not be hashed.
            let fingerprint = (!guard.is_empty()).then(|| fingerprint(request)).flatten();
            fingerprint.is_some_and(|known| {
                matches!(guard.status(known, now), FingerprintStatus::Blocked { .. })
            })
        })
    }

    /// Notes that the connection of a request to an endpoint broke.
    pub(crate) fn record_broken(&self, request: &ReadRequest, endpoint: SocketAddr) {
        if let Some(fingerprint) = fingerprint(request) {
            // When many connections break at once, the first ones tell enough.
            let _ = self.broken.0.try_send(BrokenAttempt { fingerprint, endpoint });
        }
    }

    /// Notes that a request was answered.
    pub(crate) fn record_answer(&self, request: &ReadRequest, now: Instant) {
        let is_cleared = self.with(|guard| {
            let fingerprint = (!guard.is_empty()).then(|| fingerprint(request)).flatten();
            let suspect =
                fingerprint.filter(|&known| guard.status(known, now) == FingerprintStatus::Suspect);
            suspect.map(|known| guard.record_completion(known, now)).is_some()
        });
        if is_cleared {
            self.wake();
        }
    }

    /// Returns what this node has counted.
    pub(crate) fn reports(&self, now: Instant) -> Vec<CrashEntry> {
        self.with(|guard| {
            guard.expire(now);
            guard.reports(MAX_REPORTS, now).iter().map(CrashEntry::from).collect()
        })
    }

    /// Takes what another node has counted.
    pub(crate) fn merge(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
        rows: &[CrashEntry],
        now: Instant,
    ) {
        self.with(|guard| {
            rows.iter().for_each(|row| guard.merge(&row.report(node, incarnation), now));
        });
    }

    /// Waits until there is something new to tell.
    pub(crate) async fn changed(&self) {
        // The sender lives as long as this value.
        let _ = self.changed.1.recv().await;
    }

    /// Notes that there is something to tell.
    pub(crate) fn wake(&self) {
        // One signal that waits is enough.
        let _ = self.changed.0.try_send(());
    }

    fn with<R>(&self, action: impl FnOnce(&mut CrashGuard) -> R) -> R {
        action(&mut self.guard.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A request without a body has no fingerprint: many callers send the same one, so it would often be
/// at an endpoint that crashes for another reason.
fn fingerprint(request: &ReadRequest) -> Option<Fingerprint> {
    let ReadRequest { head, body, .. } = request;
    (!body.is_empty()).then(|| Fingerprint::of_message(&head.method, &head.target, body))
}

/// Probes endpoints whose connections broke, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    while let Ok(broken) = shared.crashes.broken.1.recv().await {
        task::spawn(probe(Arc::clone(&shared), broken));
    }
}

async fn probe(shared: Arc<Shared>, broken: BrokenAttempt) {
    let connecting = TcpStream::connect(broken.endpoint);
    if matches!(future::timeout(Duration::from_millis(PROBE_MS), connecting).await, Ok(Ok(_))) {
        return;
    }
    let now = shared.now();
    shared.crashes.with(|guard| guard.record_crash(&[broken.fingerprint], now));
    log::info!(
        fingerprint = broken.fingerprint.to_bits(), endpoint:% = broken.endpoint;
        "a request was at an endpoint that crashed"
    );
    shared.crashes.wake();
}

/// A [`CrashReport`] as it stands in a node's registration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CrashEntry {
    fingerprint: u64,
    number: u64,
    crashes: u32,
    age_ms: u64,
}

impl From<&CrashReport> for CrashEntry {
    fn from(report: &CrashReport) -> Self {
        Self {
            fingerprint: report.fingerprint.to_bits(),
            number: report.number,
            crashes: report.crashes,
            age_ms: report.age_ms,
        }
    }
}

impl CrashEntry {
    fn report(&self, node: &NodeId, incarnation: Incarnation) -> CrashReport {
        CrashReport {
            node: node.clone(),
            incarnation,
            fingerprint: Fingerprint::from_bits(self.fingerprint),
            number: self.number,
            crashes: self.crashes,
            age_ms: self.age_ms,
        }
    }
}
