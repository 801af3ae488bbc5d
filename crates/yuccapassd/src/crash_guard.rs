//! The crash guard that all requests of a node share.

use std::sync::{Arc, Mutex, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use yuccapass_decisions::crash_guard::{
    CrashGuard, CrashGuardSettings, CrashReport, Fingerprint, FingerprintStatus,
};
use yuccapass_types::{Clock, Incarnation, NodeId};

/// A crash guard under a lock.
///
/// A crash concerns several fingerprints at once, so the table is one shard.
pub(crate) struct SharedCrashGuard {
    guard: Mutex<CrashGuard>,
    clock: Arc<dyn Clock>,
    counted: Sender<()>,
}

impl SharedCrashGuard {
    /// Makes an empty guard and the receiver of a signal for each crash that this node counts.
    pub(crate) fn new(
        node: NodeId,
        incarnation: Incarnation,
        clock: Arc<dyn Clock>,
    ) -> (Self, Receiver<()>) {
        let guard = CrashGuard::new(node, incarnation, CrashGuardSettings::default());
        let (counted, receiver) = bounded(1);
        (Self { guard: Mutex::new(guard), clock, counted }, receiver)
    }

    pub(crate) fn verdict(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        let now = self.clock.now();
        self.with(|guard| guard.status(fingerprint, now))
    }

    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.verdict(fingerprint) != FingerprintStatus::Clear
    }

    pub(crate) fn record_crash(&self, running: &[Fingerprint]) {
        let now = self.clock.now();
        self.with(|guard| guard.record_crash(running, now));
        // One signal that waits is enough for several crashes.
        let _ = self.counted.try_send(());
    }

    /// Returns how many fingerprints are blocked.
    pub(crate) fn blocked(&self) -> usize {
        let now = self.clock.now();
        self.with(|guard| guard.blocked_count(now))
    }

    pub(crate) fn record_completion(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        self.with(|guard| guard.record_completion(fingerprint, now));
    }

    /// Takes in what another node of the zone counted.
    pub(crate) fn merge(&self, reports: &[CrashReport]) {
        let now = self.clock.now();
        self.with(|guard| reports.iter().for_each(|report| guard.merge(report, now)));
    }

    /// Returns what this node counted, for the other nodes of the zone.
    pub(crate) fn reports(&self, max_reports: usize) -> Vec<CrashReport> {
        let now = self.clock.now();
        self.with(|guard| {
            guard.expire(now);
            guard.reports(max_reports, now)
        })
    }

    fn with<R>(&self, action: impl FnOnce(&mut CrashGuard) -> R) -> R {
        action(&mut self.guard.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
