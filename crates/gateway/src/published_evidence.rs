//! Remembers what this node has published about crashes, to publish it again in a new era of the key-value
//! service: when the service comes back from an older copy, it has lost what it had acknowledged.

use yuccapass_decisions::crash_guard::Fingerprint;
use yuccapass_decisions::part_guard::{BlockDecision, Evidence};
use yuccapass_platform::StoreEra;
use yuccapass_types::{Deadline, Instant};

use crate::crashes::CrashEntry;

/// Time by which the writes of a node are put off at random, for each node. 127 nodes spread theirs over 5 s,
/// in which they also register again.
const SPREAD_MS_PER_NODE: u64 = 40;

/// What was published, each with the end of its time.
#[derive(Default)]
pub(crate) struct PublishedEvidence {
    era: StoreEra,
    // When it is published again, if it was lost.
    restore_at: Option<Deadline>,
    evidence: Option<(Evidence, Deadline)>,
    counts: Option<(Vec<CrashEntry>, Deadline)>,
    decisions: Vec<(BlockDecision, Deadline)>,
    requests: Vec<(Fingerprint, Deadline)>,
}

/// What is to be published again.
pub(crate) struct LostEvidence {
    pub(crate) evidence: Option<Evidence>,
    pub(crate) counts: Option<Vec<CrashEntry>>,
    pub(crate) decisions: Vec<BlockDecision>,
    pub(crate) requests: Vec<(Fingerprint, Deadline)>,
}

impl PublishedEvidence {
    pub(crate) fn record_evidence(&mut self, evidence: Evidence, until: Deadline) {
        self.evidence = Some((evidence, until));
    }

    pub(crate) fn record_counts(&mut self, counts: Vec<CrashEntry>, until: Deadline) {
        self.counts = Some((counts, until));
    }

    pub(crate) fn record_decision(&mut self, decision: BlockDecision, until: Deadline) {
        self.decisions.push((decision, until));
    }

    pub(crate) fn record_request(&mut self, fingerprint: Fingerprint, until: Deadline) {
        self.requests.push((fingerprint, until));
    }

    /// Returns whether nothing is published.
    pub(crate) fn is_empty(&self) -> bool {
        self.evidence.is_none()
            && self.counts.is_none()
            && self.decisions.is_empty()
            && self.requests.is_empty()
    }

    /// Returns what was lost with an earlier era, some time after a newer one was heard of.
    pub(crate) fn take_lost(
        &mut self,
        era: StoreEra,
        fleet_nodes: u32,
        now: Instant,
    ) -> Option<LostEvidence> {
        self.forget_ended(now);
        if era > self.era {
            self.era = era;
            let spread_ms = SPREAD_MS_PER_NODE * u64::from(fleet_nodes);
            let restore_at = Deadline::after_ms(now, rand::random_range(0..=spread_ms));
            self.restore_at = (!self.is_empty()).then_some(restore_at);
        }
        self.restore_at.take_if(|at| at.has_passed(now))?;
        let published = Self { era: self.era, ..std::mem::take(self) };
        self.era = published.era;
        Some(LostEvidence {
            evidence: published.evidence.map(|(evidence, _)| evidence),
            counts: published.counts.map(|(counts, _)| counts),
            decisions: published.decisions.into_iter().map(|(decision, _)| decision).collect(),
            requests: published.requests,
        })
    }

    fn forget_ended(&mut self, now: Instant) {
        self.evidence.take_if(|(_, until)| until.has_passed(now));
        self.counts.take_if(|(_, until)| until.has_passed(now));
        self.decisions.retain(|(_, until)| !until.has_passed(now));
        self.requests.retain(|(_, until)| !until.has_passed(now));
    }
}
