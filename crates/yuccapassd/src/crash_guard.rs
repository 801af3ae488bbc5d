//! The crash guard that all requests of a node share.

use std::sync::{Arc, Mutex, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};
use yuccapass_decisions::crash_guard::{
    CrashGuard, CrashGuardSettings, CrashReport, Fingerprint, FingerprintStatus,
};
use yuccapass_types::{Clock, Incarnation, NodeId};

/// A crash guard under a lock.
///
/// The table is not sharded, since one crash affects several fingerprints.
pub(crate) struct SharedCrashGuard {
    guard: Mutex<CrashGuard>,
    clock: Arc<dyn Clock>,
    crash_signals: Sender<()>,
}

impl SharedCrashGuard {
    /// Creates an empty guard, and the receiver of a signal after each crash that this node counts.
    pub(crate) fn new(
        node: NodeId,
        incarnation: Incarnation,
        clock: Arc<dyn Clock>,
    ) -> (Self, Receiver<()>) {
        let guard = CrashGuard::new(node, incarnation, CrashGuardSettings::default());
        let (crash_signals, receiver) = bounded(1);
        (Self { guard: Mutex::new(guard), clock, crash_signals }, receiver)
    }

    pub(crate) fn status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        let now = self.clock.now();
        self.with(|guard| guard.status(fingerprint, now))
    }

    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.status(fingerprint) != FingerprintStatus::Clear
    }

    /// Counts a crash against all requests that ran at the endpoint, and signals it.
    pub(crate) fn record_crash(&self, running: &[Fingerprint]) {
        let now = self.clock.now();
        self.with(|guard| guard.record_crash(running, now));
        // If a signal is pending already, it covers this crash too.
        let _ = self.crash_signals.try_send(());
    }

    /// Returns the number of blocked fingerprints.
    pub(crate) fn blocked_count(&self) -> usize {
        let now = self.clock.now();
        self.with(|guard| guard.blocked_count(now))
    }

    pub(crate) fn record_completion(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        self.with(|guard| guard.record_completion(fingerprint, now));
    }

    /// Merges the crash counts of another node of the zone.
    pub(crate) fn merge(&self, reports: &[CrashReport]) {
        let now = self.clock.now();
        self.with(|guard| reports.iter().for_each(|report| guard.merge(report, now)));
    }

    /// Returns the crash counts of this node, for the other nodes of the zone.
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
