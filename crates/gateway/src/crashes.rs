//! Finds requests that crash the endpoints that run them, together with the other nodes.
//!
//! If the connection of a request breaks, or nothing is heard from the endpoint until the time of the
//! request is over, the node probes whether the endpoint still accepts connections. If it does not, the
//! request becomes a suspect, unless most other endpoints cannot be reached either. A request that was a suspect in several crashes, and was not answered in
//! between, is blocked for a while. `crash_evidence` shares the counts and the blocks with the other
//! nodes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use async_std::{future, task};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use yuccapass_decisions::crash_guard::{
    CrashGuard, CrashGuardSettings, CrashReport, Fingerprint, FingerprintStatus,
};
use yuccapass_types::{Incarnation, Instant, NodeId, OrganisationId};

use crate::admission::{Admitted, ReadRequest};
use crate::own_links;
use crate::state::Shared;

/// Number of crashes after which a request is blocked. The platform allows three.
const CRASHES_TO_BLOCK: u32 = 2;

/// How long a request is blocked after its second crash; longer after each further one. Whole availability zones fail at once, so a
/// request that was running during two failures by chance must not be blocked for long.
pub(crate) const BLOCK_MS: u64 = 60_000;

/// How long a request that was blocked is remembered.
const REMEMBER_MS: u64 = 600_000;

/// Timeout for connecting to an endpoint that may have crashed.
const PROBE_TIMEOUT_MS: u64 = 300;

/// Maximum number of broken attempts that wait for a probe. Further ones are ignored.
const MAX_WAITING_PROBES: usize = 32;

/// Maximum number of crash counts that a node publishes.
const MAX_REPORTS: usize = 128;

/// A request whose connection to an endpoint broke or was silent.
#[derive(Debug, Clone)]
pub(crate) struct BrokenAttempt {
    request_id: SmolStr,
    fingerprint: Fingerprint,
    endpoint: SocketAddr,
    sent_at: Instant,
    ended_at: Instant,
}

/// Tracks requests that may crash endpoints.
pub(crate) struct CrashTracker {
    guard: Mutex<CrashGuard>,
    broken: (Sender<BrokenAttempt>, Receiver<BrokenAttempt>),
    changed: (Sender<()>, Receiver<()>),
    has_news: AtomicBool,
}

impl CrashTracker {
    pub(crate) fn new(node: NodeId, incarnation: Incarnation) -> Self {
        let settings = CrashGuardSettings::default()
            .crashes_to_block(CRASHES_TO_BLOCK)
            .block_ms(BLOCK_MS)
            .remember_ms(REMEMBER_MS);
        Self {
            guard: Mutex::new(CrashGuard::new(node, incarnation, settings)),
            broken: bounded(MAX_WAITING_PROBES),
            changed: bounded(1),
            has_news: AtomicBool::new(false),
        }
    }

    /// Returns whether a request of this organisation is blocked.
    pub(crate) fn blocks(
        &self,
        request: &ReadRequest,
        organisation: Option<&OrganisationId>,
        now: Instant,
    ) -> bool {
        self.with(|guard| {
            // Usually there are no suspects, and the body does not need to be hashed.
            let is_blocked =
                |known| matches!(guard.status(known, now), FingerprintStatus::Blocked { .. });
            !guard.is_empty() && is_blocked(fingerprint(request, organisation))
        })
    }

    /// Records that an attempt, sent at `sent_at`, has ended at `ended_at` without an answer.
    pub(crate) fn record_broken(
        &self,
        request: &Admitted<'_>,
        endpoint: SocketAddr,
        sent_at: Instant,
        ended_at: Instant,
    ) {
        let request_id = request.caller.id.clone();
        let fingerprint = fingerprint(request.message, request.organisation);
        // When many connections break at once, probing the first ones is enough.
        let attempt = BrokenAttempt { request_id, fingerprint, endpoint, sent_at, ended_at };
        self.with(|guard| guard.begin_probe(fingerprint));
        if let Err(error) = self.broken.0.try_send(attempt) {
            self.with(|guard| guard.end_probe(fingerprint));
            log::info!(
                request_id = error.into_inner().request_id.as_str(), endpoint:%;
                "a broken attempt is not counted as a crash: too many probes wait"
            );
        }
    }

    /// Records that a request was answered with success.
    pub(crate) fn record_answer(&self, request: &Admitted<'_>, now: Instant) {
        let is_cleared = self.with(|guard| {
            if guard.is_empty() {
                return false;
            }
            let known = fingerprint(request.message, request.organisation);
            let is_suspect = guard.status(known, now) == FingerprintStatus::Suspect;
            guard.record_completion(known, now);
            is_suspect
        });
        if is_cleared {
            log::info!(
                request_id = request.caller.id.as_str();
                "a request that may have crashed endpoints was answered and is not suspected"
            );
            self.record_news();
        }
    }

    /// Returns whether the crashes counted by this node have changed since they were taken.
    pub(crate) fn has_news(&self) -> bool {
        self.has_news.load(Ordering::Acquire)
    }

    /// Returns the crashes counted by this node if they have changed since the last call.
    pub(crate) fn take_reports(&self, now: Instant) -> Option<Vec<CrashEntry>> {
        if !self.has_news.swap(false, Ordering::AcqRel) {
            return None;
        }
        let reports = self.with(|guard| {
            guard.expire(now);
            guard.reports(MAX_REPORTS, now)
        });
        Some(reports.iter().map(CrashEntry::from).collect())
    }

    /// Returns the requests whose block this node must announce to the others, each once.
    pub(crate) fn take_announcements(&self, now: Instant) -> Vec<Fingerprint> {
        self.with(|guard| guard.take_announcements(now))
    }

    /// Blocks a request, as another node has decided.
    pub(crate) fn block(&self, fingerprint: Fingerprint, now: Instant) {
        self.with(|guard| guard.block(fingerprint, now));
    }

    /// Merges the crashes counted by another node.
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
        self.wake();
    }

    /// Waits until a count of this node or of another one has changed.
    pub(crate) async fn changed(&self) {
        // This cannot fail: the sender lives as long as this value.
        let _ = self.changed.1.recv().await;
    }

    /// Signals that there are counts of this node to publish.
    fn record_news(&self) {
        self.has_news.store(true, Ordering::Release);
        self.wake();
    }

    fn wake(&self) {
        // One pending signal is enough.
        let _ = self.changed.0.try_send(());
    }

    fn with<R>(&self, action: impl FnOnce(&mut CrashGuard) -> R) -> R {
        action(&mut self.guard.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn fingerprint(request: &ReadRequest, organisation: Option<&OrganisationId>) -> Fingerprint {
    let ReadRequest { head, body, .. } = request;
    Fingerprint::of_message(organisation, &head.method, &head.target, body)
}

/// Probes endpoints whose connections broke, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    while let Ok(broken) = shared.crashes.broken.1.recv().await {
        task::spawn(probe(Arc::clone(&shared), broken));
    }
}

async fn probe(shared: Arc<Shared>, broken: BrokenAttempt) {
    let connecting = TcpStream::connect(broken.endpoint);
    let outcome = future::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), connecting).await;
    let fingerprint = broken.fingerprint.to_bits();
    let is_accepted = matches!(outcome, Ok(Ok(_)));
    let is_path_broken =
        !is_accepted && own_links::are_paths_broken(&shared, broken.endpoint).await;
    let is_answered = !shared.crashes.with(|guard| guard.end_probe(broken.fingerprint));
    if is_answered || is_accepted || is_path_broken {
        log::info!(
            request_id = broken.request_id.as_str(), fingerprint, endpoint:% = broken.endpoint,
            is_answered, is_path_broken;
            "an attempt that ended without an answer is no sign of a crash"
        );
        return;
    }
    let now = shared.now();
    let status = shared.crashes.with(|guard| {
        guard.record_attempt_crash(broken.fingerprint, broken.sent_at, broken.ended_at);
        guard.status(broken.fingerprint, now)
    });
    log::info!(
        request_id = broken.request_id.as_str(), fingerprint, endpoint:% = broken.endpoint,
        status:?;
        "a request was at an endpoint that crashed"
    );
    shared.crashes.record_news();
}

/// The form of a [`CrashReport`] in the key-value service.
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
