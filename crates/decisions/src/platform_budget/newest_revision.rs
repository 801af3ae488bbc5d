//! Notices that the service was restored from an older state.

/// The newest revision known when a call was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionAtCall(u64);

/// The newest revision that the service has shown.
///
/// Answers may overtake each other, so an answer is compared with what was known when its call was
/// made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewestRevision {
    revision: u64,
    restorations: u64,
}

impl NewestRevision {
    /// Notes that a call is being made.
    pub fn at_call(&self) -> RevisionAtCall {
        RevisionAtCall(self.revision)
    }

    /// Notes the revision of an answer; returns true if the service was restored.
    ///
    /// After a restoration the revision of the answer is the newest one.
    pub fn record_answer(&mut self, seen: RevisionAtCall, revision: u64) -> bool {
        if revision >= seen.0 {
            self.revision = self.revision.max(revision);
            return false;
        }
        // Of several answers after one restoration, only the first finds the higher revision.
        if self.revision >= seen.0 {
            self.revision = revision;
            self.restorations += 1;
        }
        true
    }

    /// Returns how many restorations were noticed.
    pub fn restorations(&self) -> u64 {
        self.restorations
    }
}
