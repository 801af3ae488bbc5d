//! The writes of the holder, and what it does when their outcome is unknown.

use yuccapass_types::FencingNumber;

use super::driver::{FleetView, next_progress};
use super::limits::RolloutLimits;
use super::progress::RolloutProgress;

/// What the holder does next about an order. `R` is a revision of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderAction<R = u64> {
    /// Read the progress from the key-value service.
    Read,
    /// Write the progress and the status, on condition that the progress still has this revision of
    /// the key-value service (`None` if there is none) and that the lock is held.
    Write {
        /// The revision that is replaced.
        expected: Option<R>,
        /// The progress.
        progress: Box<RolloutProgress>,
    },
    /// Nothing changes.
    Wait,
}

/// What a holder knows about the stored progress of one service.
///
/// A holder decides only on a progress that it has read or written itself. After a write without an
/// answer it reads again: the write may have been carried out, or may be carried out later, and then
/// the next write of the holder fails by its condition.
#[derive(Debug, Clone)]
pub struct RolloutHolder<R = u64> {
    fencing: FencingNumber,
    is_known: bool,
    stored: Option<(R, RolloutProgress)>,
    written: Option<RolloutProgress>,
}

impl<R: Copy> RolloutHolder<R> {
    /// Creates the state of a holder that has not read anything.
    pub fn new(fencing: FencingNumber) -> Self {
        Self { fencing, is_known: false, stored: None, written: None }
    }

    /// Returns the fencing number under which this node became the holder.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the stored progress, if it is known.
    pub fn progress(&self) -> Option<&RolloutProgress> {
        self.stored.as_ref().map(|(_, progress)| progress)
    }

    /// Returns what to do; `view` has the progress of [`progress`](Self::progress).
    pub fn next(&mut self, view: &FleetView<'_>, limits: &RolloutLimits) -> HolderAction<R> {
        if !self.is_known {
            return HolderAction::Read;
        }
        let Some(next) = next_progress(view, limits) else { return HolderAction::Wait };
        let progress = RolloutProgress { fencing: self.fencing, ..next };
        let expected = self.stored.as_ref().map(|(revision, _)| *revision);
        self.written = Some(progress.clone());
        // Until the outcome is recorded, nothing is known.
        self.is_known = false;
        HolderAction::Write { expected, progress: Box::new(progress) }
    }

    /// Records what was read: the progress and its revision.
    pub fn record_read(&mut self, stored: Option<(R, RolloutProgress)>) {
        self.is_known = true;
        self.stored = stored;
        self.written = None;
    }

    /// Records that the write was carried out as this revision.
    pub fn record_written(&mut self, revision: R) {
        if let Some(progress) = self.written.take() {
            self.stored = Some((revision, progress));
            self.is_known = true;
        }
    }

    /// Records that the write was refused, or that its outcome is unknown.
    pub fn record_unknown(&mut self) {
        self.is_known = false;
        self.written = None;
    }
}
