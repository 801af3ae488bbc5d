//! Blocks requests that crash the endpoints that run them.

use std::cmp::Reverse;

use yuccapass_types::{Deadline, Incarnation, Instant, ModelId, NodeId, OrganisationId, SortedMap};

/// Hash that identifies a request's content.
///
/// Headers and keys are left out, since they differ when a caller sends a crashing request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(organisation: &OrganisationId, model: &ModelId, prompt: &[u8]) -> Self {
        Self::of_fields(&[organisation.as_str(), model.as_str()], prompt)
    }

    fn of_fields(fields: &[&str], body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(field.as_bytes());
            // The fields cannot contain a zero byte, so a zero byte separates them.
            hasher.update(&[0]);
        }
        hasher.update(body);
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_be_bytes(bytes))
    }

    /// Computes the fingerprint of an HTTP message, which may crash endpoints for one organisation
    /// only.
    pub fn of_message(
        organisation: Option<&OrganisationId>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let organisation = organisation.map(OrganisationId::as_str).unwrap_or_default();
        Self::of_fields(&[organisation, method, target], body)
    }

    /// Creates a fingerprint from the bits in another node's report.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the bits for a report to other nodes.
    pub const fn to_bits(self) -> u64 {
        self.0
    }
}

/// Settings of [`CrashGuard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashGuardSettings {
    crashes_to_block: u32,
    block_ms: u64,
    remember_ms: u64,
    max_fingerprints: usize,
}

impl Default for CrashGuardSettings {
    /// 2 crashes, 10 minutes, 10 minutes, 4,096 fingerprints.
    fn default() -> Self {
        Self {
            crashes_to_block: 2,
            block_ms: 600_000,
            remember_ms: 600_000,
            max_fingerprints: 4_096,
        }
    }
}

impl CrashGuardSettings {
    /// Sets how many counted crashes block a fingerprint; default 2.
    pub fn crashes_to_block(mut self, crashes_to_block: u32) -> Self {
        self.crashes_to_block = crashes_to_block.max(1);
        self
    }

    /// Sets how long a fingerprint is blocked, and how long a suspect that was never blocked is
    /// remembered, after its last crash; default 10 minutes. The time of the block doubles with each
    /// further crash.
    pub fn block_ms(mut self, block_ms: u64) -> Self {
        self.block_ms = block_ms;
        self
    }

    /// Sets how long a fingerprint that was blocked is remembered after its last crash, which is also
    /// the longest block; default 10 minutes. When the block ends it is a suspect, and one more crash
    /// blocks it again.
    pub fn remember_ms(mut self, remember_ms: u64) -> Self {
        self.remember_ms = remember_ms;
        self
    }

    /// Sets the maximum number of fingerprints in the table; default 4,096. The fingerprint whose
    /// last crash is the oldest is removed first.
    pub fn max_fingerprints(mut self, max_fingerprints: usize) -> Self {
        self.max_fingerprints = max_fingerprints.max(1);
        self
    }
}

/// Status of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// No crash is counted for it.
    Clear,
    /// It may have crashed an endpoint, so it runs only at endpoints without another suspect.
    Suspect,
    /// Requests with it are refused.
    Blocked {
        /// When the block ends.
        until: Deadline,
    },
}

/// Maximum number of processes whose counts are kept for one fingerprint; with a crash from each of
/// them it is blocked in any case.
const MAX_PROCESSES: usize = 16;

/// Crashes of a fingerprint counted by one process, for the other nodes of its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The reporting node.
    pub node: NodeId,
    /// The process of that node.
    pub incarnation: Incarnation,
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Sequence number of the report within the process; a larger number is newer.
    pub number: u64,
    /// Crashes that the process counted and has not cleared.
    pub crashes: u32,
    /// Time since the last crash.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct ProcessCount {
    number: u64,
    crashes: u32,
    // When the last crash was counted, for the counts of this process.
    counted_at: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct CrashCounts {
    by_process: SortedMap<(NodeId, Incarnation), ProcessCount>,
    last_crash: Instant,
}

impl CrashCounts {
    fn total(&self) -> u32 {
        self.by_process.values().fold(0, |sum, count| sum.saturating_add(count.crashes))
    }

    fn process_count(&mut self, node: &NodeId, incarnation: Incarnation) -> &mut ProcessCount {
        let key = (node.clone(), incarnation);
        if !self.by_process.contains_key(&key) && self.by_process.len() >= MAX_PROCESSES {
            let least = self.by_process.iter().min_by_key(|(_, count)| count.crashes);
            if let Some(least) = least.map(|(key, _)| key.clone()) {
                self.by_process.remove(&least);
            }
        }
        self.by_process.get_or_insert_with(key, ProcessCount::default)
    }
}

/// Finds the requests that crash endpoints.
///
/// When an endpoint crashes, a crash is counted for each request that ran there, unless suspects were
/// among them: then it is counted for the suspects only. A suspect that completes is cleared.
#[derive(Debug, Clone)]
pub struct CrashGuard {
    node: NodeId,
    incarnation: Incarnation,
    settings: CrashGuardSettings,
    counts: SortedMap<Fingerprint, CrashCounts>,
    // Blocks that this node or another one has announced. They outlast the processes that counted the
    // crashes.
    announced: SortedMap<Fingerprint, Deadline>,
    // The number of ended attempts whose endpoints are being probed. An answer removes those of its
    // fingerprint.
    probes: SortedMap<Fingerprint, u32>,
    last_number: u64,
}

impl CrashGuard {
    /// Creates a guard that has counted no crash.
    pub fn new(node: NodeId, incarnation: Incarnation, settings: CrashGuardSettings) -> Self {
        Self {
            node,
            incarnation,
            settings,
            counts: SortedMap::new(),
            announced: SortedMap::new(),
            probes: SortedMap::new(),
            last_number: 0,
        }
    }

    /// Returns the status of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> FingerprintStatus {
        let announced = self.announced.get(&fingerprint).copied();
        if let Some(until) = announced.filter(|until| !until.has_passed(now)) {
            return FingerprintStatus::Blocked { until };
        }
        let Some(counts) = self.counts.get(&fingerprint) else { return FingerprintStatus::Clear };
        match self.block_end(counts) {
            _ if self.expiry(counts).has_passed(now) || counts.total() == 0 => {
                FingerprintStatus::Clear
            }
            Some(until) if !until.has_passed(now) => FingerprintStatus::Blocked { until },
            _ => FingerprintStatus::Suspect,
        }
    }

    /// Counts a crash of an endpoint at which this node's requests `running` ran; returns the
    /// fingerprints for which it was counted.
    pub fn record_crash(&mut self, running: &[Fingerprint], now: Instant) -> Vec<Fingerprint> {
        let mut counted: Vec<Fingerprint> = running.to_vec();
        counted.sort();
        counted.dedup();
        let is_suspect =
            |&fingerprint: &Fingerprint| self.status(fingerprint, now) != FingerprintStatus::Clear;
        if counted.iter().any(is_suspect) {
            counted.retain(is_suspect);
        }
        for &fingerprint in &counted {
            self.count_crash(fingerprint, now);
        }
        counted
    }

    /// Records that an attempt has ended without an answer and that its endpoint is probed.
    pub fn begin_probe(&mut self, fingerprint: Fingerprint) {
        *self.probes.get_or_insert_with(fingerprint, || 0) += 1;
    }

    /// Records that a probe is over; returns whether a crash may be counted. It may not if the request
    /// was answered since [`begin_probe`](Self::begin_probe).
    pub fn end_probe(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(count) = self.probes.get_mut(&fingerprint) else { return false };
        *count -= 1;
        if *count == 0 {
            self.probes.remove(&fingerprint);
        }
        true
    }

    /// Counts a crash of an endpoint to which this node sent a request at `sent_at`, and which ended the
    /// request at `ended_at`.
    ///
    /// Copies of a request that were at several endpoints at the same time count once: the endpoints may
    /// have failed together for another reason.
    pub fn record_attempt_crash(
        &mut self,
        fingerprint: Fingerprint,
        sent_at: Instant,
        ended_at: Instant,
    ) {
        let own = (self.node.clone(), self.incarnation);
        let count = self.counts.get(&fingerprint).and_then(|known| known.by_process.get(&own));
        let was_counted = |count: &ProcessCount| {
            count.crashes > 0 && count.counted_at.is_some_and(|counted_at| sent_at < counted_at)
        };
        if !count.is_some_and(was_counted) {
            self.count_crash(fingerprint, ended_at);
        }
    }

    /// Clears a suspect that completed; a blocked fingerprint stays blocked.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.probes.remove(&fingerprint);
        if self.status(fingerprint, now) != FingerprintStatus::Suspect {
            return;
        }
        let number = self.next_number();
        let Some(counts) = self.counts.get_mut(&fingerprint) else { return };
        // The sequence numbers stay, so that reports that arrive again are not counted again.
        counts.by_process.values_mut().for_each(|count| count.crashes = 0);
        counts.process_count(&self.node, self.incarnation).number = number;
    }

    /// Blocks a fingerprint that another node has announced. A block that is known is not extended.
    pub fn block(&mut self, fingerprint: Fingerprint, now: Instant) {
        let known = self.announced.get(&fingerprint);
        if known.is_some_and(|until| !until.has_passed(now)) {
            return;
        }
        if self.announced.len() >= self.settings.max_fingerprints {
            let first = self.announced.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(&fingerprint, _)| fingerprint) {
                self.announced.remove(&first);
            }
        }
        self.announced.insert(fingerprint, Deadline::after_ms(now, self.settings.block_ms));
    }

    /// Returns the blocked fingerprints that this process must announce to the other nodes, each once:
    /// those of which it has counted a crash.
    pub fn take_announcements(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.expire(now);
        let own = (self.node.clone(), self.incarnation);
        let has_own = |counts: &CrashCounts| {
            counts.by_process.get(&own).is_some_and(|count| count.crashes > 0)
        };
        let is_due = |(fingerprint, counts): &(&Fingerprint, &CrashCounts)| {
            has_own(counts)
                && self.block_end(counts).is_some_and(|end| !end.has_passed(now))
                && !self.announced.contains_key(*fingerprint)
        };
        let due: Vec<Fingerprint> =
            self.counts.iter().filter(is_due).map(|(&fingerprint, _)| fingerprint).collect();
        due.iter().for_each(|&fingerprint| self.block(fingerprint, now));
        due
    }

    /// Merges a report of another process; a report that was merged before changes nothing.
    pub fn merge(&mut self, report: &CrashReport, now: Instant) {
        let is_own = report.node == self.node && report.incarnation == self.incarnation;
        if is_own || report.age_ms >= self.longest_ms() {
            return;
        }
        if report.crashes == 0 && !self.counts.contains_key(&report.fingerprint) {
            return;
        }
        let crashed = Instant::from_ms(now.as_ms().saturating_sub(report.age_ms));
        let counts = self.entry(report.fingerprint, now);
        let known = counts.process_count(&report.node, report.incarnation);
        if report.number <= known.number {
            return;
        }
        *known = ProcessCount { number: report.number, crashes: report.crashes, counted_at: None };
        counts.last_crash = counts.last_crash.max(crashed);
    }

    /// Returns the reports of this process for the other nodes: first those of fingerprints at the most
    /// crashes, by all nodes, and among these the most recent crashes.
    pub fn reports(&self, max_reports: usize, now: Instant) -> Vec<CrashReport> {
        let own = (self.node.clone(), self.incarnation);
        let report = |(&fingerprint, counts): (&Fingerprint, &CrashCounts)| {
            if self.expiry(counts).has_passed(now) {
                return None;
            }
            let &ProcessCount { number, crashes, .. } = counts.by_process.get(&own)?;
            let (node, incarnation) = own.clone();
            let age_ms = now.ms_since(counts.last_crash);
            let report = CrashReport { node, incarnation, fingerprint, number, crashes, age_ms };
            Some((counts.total(), report))
        };
        let mut reports: Vec<(u32, CrashReport)> = self.counts.iter().filter_map(report).collect();
        // A cleared fingerprint must reach the nodes that have counted a crash of it.
        let key = |(total, report): &(u32, CrashReport)| {
            (Reverse((*total).max(1)), report.age_ms, report.fingerprint)
        };
        reports.sort_by_key(key);
        reports.truncate(max_reports);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Removes fingerprints whose last crash is at least the block time ago.
    pub fn expire(&mut self, now: Instant) {
        let mut counts = std::mem::take(&mut self.counts);
        counts.retain(|_, counts| !self.expiry(counts).has_passed(now));
        self.counts = counts;
        self.announced.retain(|_, until| !until.has_passed(now));
    }

    /// Returns how many fingerprints are blocked.
    pub fn blocked_count(&self, now: Instant) -> usize {
        let is_blocked = |&&fingerprint: &&Fingerprint| {
            matches!(self.status(fingerprint, now), FingerprintStatus::Blocked { .. })
        };
        self.counts.keys().filter(is_blocked).count()
    }

    /// Returns the number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no fingerprint is suspected, blocked or waits for a probe.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.announced.is_empty() && self.probes.is_empty()
    }

    /// Returns when the crashes of a fingerprint are forgotten.
    fn expiry(&self, counts: &CrashCounts) -> Deadline {
        let was_blocked = counts.total() >= self.settings.crashes_to_block;
        let remember_ms = if was_blocked { self.longest_ms() } else { self.settings.block_ms };
        Deadline::after_ms(counts.last_crash, remember_ms)
    }

    /// Returns the end of the block of a fingerprint with enough crashes for one.
    fn block_end(&self, counts: &CrashCounts) -> Option<Deadline> {
        let further = counts.total().checked_sub(self.settings.crashes_to_block)?;
        let block_ms = self.settings.block_ms.saturating_mul(1 << further.min(32));
        Some(Deadline::after_ms(counts.last_crash, block_ms.min(self.longest_ms())))
    }

    fn longest_ms(&self) -> u64 {
        self.settings.remember_ms.max(self.settings.block_ms)
    }

    fn count_crash(&mut self, fingerprint: Fingerprint, now: Instant) {
        let (node, incarnation, number) = (self.node.clone(), self.incarnation, self.next_number());
        let counts = self.entry(fingerprint, now);
        counts.last_crash = counts.last_crash.max(now);
        let own = counts.process_count(&node, incarnation);
        let crashes = own.crashes.saturating_add(1);
        *own = ProcessCount { number, crashes, counted_at: Some(now) };
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the counts of a fingerprint, which start from zero if it is not known or has expired.
    fn entry(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut CrashCounts {
        let expiry = self.counts.get(&fingerprint).map(|counts| self.expiry(counts));
        if expiry.is_some_and(|expiry| expiry.has_passed(now)) {
            self.counts.remove(&fingerprint);
        }
        if !self.counts.contains_key(&fingerprint) {
            self.make_room(now);
        }
        self.counts.get_or_insert_with(fingerprint, CrashCounts::default)
    }

    fn make_room(&mut self, now: Instant) {
        if self.counts.len() < self.settings.max_fingerprints {
            return;
        }
        self.expire(now);
        if self.counts.len() >= self.settings.max_fingerprints {
            let oldest = self.counts.iter().min_by_key(|(_, counts)| counts.last_crash);
            if let Some(fingerprint) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.counts.remove(&fingerprint);
            }
        }
    }
}
