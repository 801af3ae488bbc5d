//! Detects that the platform was restored from an older state.

/// The newest revision known when a call was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionAtCall(u64);

/// The newest revision in the platform's answers.
///
/// Answers may overtake each other, so an answer is compared with the revision that was known when
/// its call was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewestRevision {
    revision: u64,
    restorations: u64,
}

impl NewestRevision {
    /// Returns the newest revision, for a call that is started now.
    pub fn at_call(&self) -> RevisionAtCall {
        RevisionAtCall(self.revision)
    }

    /// Records the revision of an answer; returns true if the platform was restored.
    ///
    /// After a restoration the revision of the answer is the newest one.
    pub fn record_answer(&mut self, at_call: RevisionAtCall, revision: u64) -> bool {
        if revision >= at_call.0 {
            self.revision = self.revision.max(revision);
            return false;
        }
        // Only the first of several answers after one restoration finds the higher revision.
        if self.revision >= at_call.0 {
            self.revision = revision;
            self.restorations += 1;
        }
        true
    }

    /// Returns the number of detected restorations.
    pub fn restorations(&self) -> u64 {
        self.restorations
    }
}
