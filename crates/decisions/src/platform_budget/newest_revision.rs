//! Detects that the platform was restored from an older state.

/// The newest era and revision known when a call was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionAtCall {
    era: u64,
    revision: u64,
}

/// How far the platform went back when it was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restoration {
    /// The era before the restoration.
    pub old_era: u64,
    /// The era after it; the same one if the platform names no eras.
    pub new_era: u64,
    /// The difference between the newest revision seen before and the first one seen after it.
    pub revisions_back: u64,
}

/// The newest era and revision in the platform's answers.
///
/// Answers may overtake each other, so the revision of an answer is compared with the one that was known
/// when its call was started. Revisions of different eras are not compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewestRevision {
    // `None` until the first answer.
    era: Option<u64>,
    revision: u64,
    restorations: u64,
    // The era and the newest revision before a restoration of which no revision was seen yet.
    before: Option<(u64, u64)>,
    // The last restoration, until it is taken.
    restoration: Option<Restoration>,
}

impl NewestRevision {
    /// Returns the newest era and revision, for a call that is started now.
    pub fn at_call(&self) -> RevisionAtCall {
        RevisionAtCall { era: self.era(), revision: self.revision }
    }

    /// Records the era of an answer, which may have no revision.
    pub fn record_era(&mut self, era: u64) {
        match self.era {
            None => self.era = Some(era),
            Some(newest) if era > newest => {
                // A platform that was restored twice before its first revision is compared with what
                // was seen before both.
                self.before = self.before.or(Some((newest, self.revision)));
                self.era = Some(era);
                self.revision = 0;
                self.restorations += 1;
            }
            Some(_) => {}
        }
    }

    /// Records the era and the revision of an answer; returns true if it shows another state than the one
    /// that the caller knows: it belongs to an era before the newest one, or the platform was restored
    /// within an era.
    ///
    /// After a restoration the revision of the answer is the newest one.
    pub fn record_answer(&mut self, at_call: RevisionAtCall, era: u64, revision: u64) -> bool {
        self.record_era(era);
        if era < self.era() {
            return true;
        }
        if let Some((old_era, old_revision)) = self.before.take() {
            let revisions_back = old_revision.saturating_sub(revision);
            self.restoration = Some(Restoration { old_era, new_era: era, revisions_back });
        }
        if at_call.era != era || revision >= at_call.revision {
            self.revision = self.revision.max(revision);
            return false;
        }
        // Only the first of several answers after one restoration finds the higher revision.
        if self.revision >= at_call.revision {
            let revisions_back = self.revision - revision;
            self.restoration = Some(Restoration { old_era: era, new_era: era, revisions_back });
            self.revision = revision;
            self.restorations += 1;
        }
        true
    }

    /// Returns the newest era.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Returns the number of detected restorations.
    pub fn restorations(&self) -> u64 {
        self.restorations
    }

    /// Returns the last restoration once its extent is known, and only once.
    pub fn take_restoration(&mut self) -> Option<Restoration> {
        self.restoration.take()
    }
}
