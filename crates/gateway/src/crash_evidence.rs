//! Shares the evidence about requests and parts of prompts that crash endpoints with the other nodes,
//! through the platform's key-value service.
//!
//! Each node has one key for its evidence about parts and one for its counts of requests. A part or
//! request that is blocked has a key of its own, which is written once and ends with its lease, so that a
//! node that starts knows of it although the nodes that saw the crashes may have restarted too.

use std::sync::Arc;

use async_std::task;
use futures::future::select;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use yuccapass_decisions::crash_guard::Fingerprint;
use yuccapass_decisions::gateway::relay::TopicClass;
use yuccapass_decisions::part_guard::{BlockDecision, CrashedProcess, Evidence, ReportPacing};
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Change, ChangeKind, Compare, Entry, Key, KeyValue, KeyValueClient, LeaseGrant, LeaseId,
    LeaseTtl, PlatformClient, PlatformError, PlatformErrorKind, Transaction, TransactionOutcome,
    Value, Write,
};
use yuccapass_types::{Deadline, Incarnation, Instant, NodeId, PromptPartId};

use crate::crashes::{BLOCK_MS, CrashEntry};
use crate::published_evidence::PublishedEvidence;
use crate::state::Shared;
use crate::watch::{WatchHandler, WatchSettings, watch_prefix};

/// Prefix of all keys about crashes.
const CRASH_KEYS: &str = "yuccapass/crashes/";

/// Prefix of the keys of nodes with evidence.
const EVIDENCE_KEYS: &str = "yuccapass/crashes/evidence/";

/// Prefix of the keys of blocked parts.
const BLOCKED_KEYS: &str = "yuccapass/crashes/blocked/";

/// Prefix of the keys of nodes with counts of requests.
const COUNT_KEYS: &str = "yuccapass/crashes/counts/";

/// Prefix of the keys of blocked requests.
const BLOCKED_REQUEST_KEYS: &str = "yuccapass/crashes/requests/";

/// How long one watch call waits. A connection that hangs is noticed only when this time is over, and
/// until then the node, or the followers of a relay, learn of no blocked part.
const WATCH_MS: u64 = 3_000;

/// Pause after a watch call that returned evidence, so that the evidence of several nodes about one
/// crash is returned together.
const WATCH_PAUSE_MS: u64 = 200;

/// Time to live of the keys, except those of blocked requests: how long a part is blocked.
const TTL_MS: u64 = 600_000;

/// Timeout of a call to the key-value service.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Period of the check for a new era of the key-value service, while something is published. It makes no call.
const ERA_CHECK_MS: u64 = 1_000;

/// Pause between two looks at the evidence of this node, so that a crash costs few writes.
const PAUSE_MS: u64 = 150;

/// Upper limit of an addition to that pause, so that not all nodes report the same.
const PAUSE_RANDOM_MS: u64 = 200;

/// The value of a node's key.
#[derive(Debug, Serialize, Deserialize)]
struct EvidenceEntry {
    incarnation: Incarnation,
    evidence: Evidence,
}

/// The value of a node's key for its counts of requests.
#[derive(Debug, Serialize, Deserialize)]
struct CountsEntry {
    incarnation: Incarnation,
    requests: Vec<CrashEntry>,
}

/// The value of the key of a blocked request, for operators.
#[derive(Debug, Serialize, Deserialize)]
struct BlockedRequestEntry {
    node: NodeId,
}

/// The value of the key of a blocked part, for operators.
#[derive(Debug, Serialize, Deserialize)]
struct BlockedEntry {
    node: NodeId,
    crashes: Vec<CrashedProcess>,
}

/// Starts the exchange of evidence.
pub(crate) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>) {
    let settings = WatchSettings {
        prefix: CRASH_KEYS.parse().expect("the prefix is a valid key"),
        watch_ms: WATCH_MS,
        relay_watch_ms: Some(WATCH_MS),
        pause_ms: WATCH_PAUSE_MS,
        purpose: CallPurpose::Evidence,
        class: TopicClass::Background,
    };
    let handler = Arc::new(EvidenceHandler { shared: Arc::clone(shared) });
    task::spawn(watch_prefix(Arc::clone(shared), Arc::clone(platform), settings, handler));
    let publisher = EvidencePublisher {
        shared: Arc::clone(shared),
        platform: Arc::clone(platform),
        key_value: platform.key_value(CallRank::Report).with_purpose(CallPurpose::Evidence),
        pacing: ReportPacing::default(),
        report_due: None,
        lease: None,
        evidence: None,
        decisions: Vec::new(),
        counts: None,
        blocked_requests: Vec::new(),
        published: PublishedEvidence::default(),
    };
    task::spawn(publisher.run());
}

/// Merges what the other nodes have written.
struct EvidenceHandler {
    shared: Arc<Shared>,
}

impl EvidenceHandler {
    /// Applies entries. Their evidence is merged at once, because a list has that of all nodes.
    fn apply<'a>(&self, entries: impl Iterator<Item = &'a Entry>) {
        let evidence: Vec<Evidence> = entries.filter_map(|entry| self.apply_entry(entry)).collect();
        self.shared.part_crashes.merge(&evidence, self.shared.now());
    }

    /// Applies an entry, except for the evidence of another node, which is returned.
    fn apply_entry(&self, entry: &Entry) -> Option<Evidence> {
        let key = entry.key.as_str();
        if let Some(part) = key.strip_prefix(BLOCKED_KEYS) {
            if let Ok(part) = part.parse::<PromptPartId>() {
                log::info!(part = part.as_str(); "a part of prompts is blocked by a node");
                self.shared.part_crashes.block(part, self.shared.now());
            }
        } else if let Some(fingerprint) = key.strip_prefix(BLOCKED_REQUEST_KEYS) {
            if let Ok(bits) = u64::from_str_radix(fingerprint, 16) {
                log::info!(fingerprint = bits; "a request is blocked by a node");
                self.shared.crashes.block(Fingerprint::from_bits(bits), self.shared.now());
            }
        } else if let Some(node) = key.strip_prefix(COUNT_KEYS) {
            self.merge_counts(node, entry);
        } else if let Some(node) = key.strip_prefix(EVIDENCE_KEYS) {
            return self.evidence_of(node, entry);
        }
        None
    }

    fn merge_counts(&self, node: &str, entry: &Entry) {
        let Some(known) = decoded::<CountsEntry>(node, entry) else { return };
        // The guard leaves out what this process has counted itself.
        if let Ok(node) = node.parse() {
            let now = self.shared.now();
            self.shared.crashes.merge(&node, known.incarnation, &known.requests, now);
        }
    }

    /// Decodes the evidence of another node.
    fn evidence_of(&self, node: &str, entry: &Entry) -> Option<Evidence> {
        let known = decoded::<EvidenceEntry>(node, entry)?;
        let options = &self.shared.options;
        let is_own = node == options.node.as_str() && known.incarnation == options.incarnation;
        (!is_own).then_some(known.evidence)
    }
}

fn decoded<T: DeserializeOwned>(node: &str, entry: &Entry) -> Option<T> {
    match serde_json::from_slice(entry.value.as_bytes()) {
        Ok(value) => Some(value),
        Err(error) => {
            log::debug!(node, error:%; "the evidence of a node could not be decoded");
            None
        }
    }
}

impl WatchHandler for EvidenceHandler {
    fn replace(&self, entries: &[Entry]) {
        self.apply(entries.iter());
    }

    // A key that ends changes nothing: what it said is remembered for its own time.
    fn change(&self, changes: &[Change]) {
        self.apply(changes.iter().filter_map(|change| match &change.kind {
            ChangeKind::Put(entry) => Some(entry),
            ChangeKind::Deleted(_) => None,
        }));
    }
}

/// Publishes the evidence of this node and what it blocks.
struct EvidencePublisher {
    shared: Arc<Shared>,
    platform: Arc<PlatformClient>,
    key_value: KeyValueClient,
    pacing: ReportPacing,
    // When news of this node may be published, if there are any.
    report_due: Option<Deadline>,
    // With the instant at which it is replaced.
    lease: Option<(LeaseId, Deadline)>,
    // What could not be published yet.
    evidence: Option<Evidence>,
    decisions: Vec<BlockDecision>,
    counts: Option<Vec<CrashEntry>>,
    // With the ends of their blocks.
    blocked_requests: Vec<(Fingerprint, Deadline)>,
    published: PublishedEvidence,
}

impl EvidencePublisher {
    async fn run(mut self) {
        loop {
            self.wait().await;
            let now = self.shared.now();
            if self.shared.fleet().is_known() {
                let fleet_nodes = self.shared.nodes();
                self.pacing.set_fleet_nodes(fleet_nodes);
                self.shared.part_crashes.set_fleet_nodes(fleet_nodes);
            }
            for decision in self.shared.part_crashes.decide(now) {
                log_decision(&decision);
                // Only nodes whose requests were there write the key, so that few do.
                if decision.is_own {
                    self.decisions.push(decision);
                }
            }
            let announced = self.shared.crashes.take_announcements(now);
            let until = Deadline::after_ms(now, BLOCK_MS);
            self.blocked_requests.extend(announced.into_iter().map(|request| (request, until)));
            self.restore_lost(now);
            let is_report_due = self.take_reports(now);
            let (suspected, blocked) = self.shared.part_crashes.counts();
            self.shared.metrics.record_crash_parts(suspected, blocked);
            if let Err(error) = self.publish(is_report_due).await {
                log::info!(error:%; "evidence about crashes could not be published");
            }
        }
    }

    /// Publishes again what the service has lost with an earlier era.
    fn restore_lost(&mut self, now: Instant) {
        let (era, fleet_nodes) = (self.platform.era(), self.shared.nodes());
        let Some(lost) = self.published.take_lost(era, fleet_nodes, now) else { return };
        log::info!(
            era = era.get(), parts = lost.decisions.len(), requests = lost.requests.len();
            "evidence about crashes is published again"
        );
        self.decisions.extend(lost.decisions);
        self.blocked_requests.extend(lost.requests);
        self.evidence = self.evidence.take().or(lost.evidence);
        self.counts = self.counts.take().or(lost.counts);
    }

    /// Takes the news of this node if they may be published now; returns whether they may.
    fn take_reports(&mut self, now: Instant) -> bool {
        let (part_crashes, crashes) = (&self.shared.part_crashes, &self.shared.crashes);
        let is_unpublished = self.evidence.is_some() || self.counts.is_some();
        if !is_unpublished && !crashes.has_news() && !part_crashes.has_news(now) {
            self.pacing.rest(now);
            self.report_due = None;
            return false;
        }
        let due = self.pacing.due(now, &mut rand::rng());
        if !due.has_passed(now) {
            self.report_due = Some(due);
            return false;
        }
        self.evidence = part_crashes.report(now).or(self.evidence.take());
        self.counts = crashes.take_reports(now).or(self.counts.take());
        self.pacing.record_report(now, &mut rand::rng());
        self.report_due = Some(self.pacing.due(now, &mut rand::rng()));
        true
    }

    /// Waits until the evidence may have changed, or news of this node may be published.
    async fn wait(&self) {
        let now = self.shared.now();
        let pause_ms = PAUSE_MS + rand::random_range(0..PAUSE_RANDOM_MS);
        let report_due = self.report_due.unwrap_or(Deadline::NEVER);
        let is_pending = !self.decisions.is_empty() || !self.blocked_requests.is_empty();
        if !is_pending {
            let next_check = self.shared.part_crashes.next_check(now).unwrap_or(Deadline::NEVER);
            let era_check = match self.published.is_empty() {
                true => Deadline::NEVER,
                false => Deadline::after_ms(now, ERA_CHECK_MS),
            };
            let next = next_check.earlier(report_due).earlier(era_check);
            let sleeping = Box::pin(sleep_until(&*self.shared.clock, next));
            let changing = select(
                Box::pin(self.shared.part_crashes.changed()),
                Box::pin(self.shared.crashes.changed()),
            );
            select(sleeping, changing).await;
        }
        let pause = Deadline::after_ms(self.shared.now(), pause_ms);
        sleep_until(&*self.shared.clock, pause.earlier(report_due)).await;
    }

    /// Publishes what is blocked first: other nodes refuse it at once, and evidence may be large.
    async fn publish(&mut self, is_report_due: bool) -> Result<(), PlatformError> {
        while let Some(&(fingerprint, until)) = self.blocked_requests.first() {
            let remaining_ms = until.remaining_ms(self.shared.now());
            if remaining_ms > 0 {
                let key = key(BLOCKED_REQUEST_KEYS, &format!("{:016x}", fingerprint.to_bits()))?;
                let entry = BlockedRequestEntry { node: self.shared.options.node.clone() };
                let lease = self.grant(remaining_ms).await?;
                self.write(key, &entry, lease.id, true).await?;
                self.published.record_request(fingerprint, until);
            }
            self.blocked_requests.remove(0);
        }
        while let Some(decision) = self.decisions.first() {
            let key = key(BLOCKED_KEYS, decision.part.as_str())?;
            let node = self.shared.options.node.clone();
            let entry = BlockedEntry { node, crashes: decision.crashes.clone() };
            let lease = self.lease().await?;
            self.write(key, &entry, lease, true).await?;
            let decision = self.decisions.remove(0);
            let until = Deadline::after_ms(self.shared.now(), TTL_MS);
            self.published.record_decision(decision, until);
        }
        if !is_report_due {
            return Ok(());
        }
        if let Some(counts) = &self.counts {
            let options = &self.shared.options;
            let key = key(COUNT_KEYS, options.node.as_str())?;
            let entry = CountsEntry { incarnation: options.incarnation, requests: counts.clone() };
            let lease = self.lease().await?;
            self.write(key, &entry, lease, false).await?;
            let until = Deadline::after_ms(self.shared.now(), TTL_MS);
            if let Some(counts) = self.counts.take() {
                self.published.record_counts(counts, until);
            }
        }
        if let Some(evidence) = &self.evidence {
            log::info!(
                observations = evidence.observations.len(),
                cleared = evidence.cleared.len();
                "evidence about crashes is published"
            );
            let options = &self.shared.options;
            let key = key(EVIDENCE_KEYS, options.node.as_str())?;
            let entry =
                EvidenceEntry { incarnation: options.incarnation, evidence: evidence.clone() };
            let lease = self.lease().await?;
            match self.write(key, &entry, lease, false).await {
                // The same evidence would be refused again. What comes next replaces it.
                Err(error) if error.kind() == PlatformErrorKind::InvalidRequest => {
                    log::warn!(error:%; "evidence about crashes is not valid and was dropped");
                    self.evidence = None;
                }
                result => result?,
            }
            let until = Deadline::after_ms(self.shared.now(), TTL_MS);
            if let Some(evidence) = self.evidence.take() {
                self.published.record_evidence(evidence, until);
            }
        }
        Ok(())
    }

    /// Writes a key under a lease, if `is_once` only if the key does not exist.
    async fn write(
        &mut self,
        key: Key,
        entry: &impl Serialize,
        lease: LeaseId,
        is_once: bool,
    ) -> Result<(), PlatformError> {
        let json = serde_json::to_vec(entry).map_err(|error| invalid(&error))?;
        let value = Value::new(json).map_err(|error| invalid(&error))?;
        let compares = if is_once { vec![Compare::Absent(key.clone())] } else { Vec::new() };
        let put = Write::Put { key, value, lease: Some(lease) };
        let transaction = Transaction { compares, writes: vec![put] };
        let deadline = Deadline::after_ms(self.shared.now(), CALL_TIMEOUT_MS);
        match self.key_value.compare_and_swap(&transaction, deadline).await {
            Ok(TransactionOutcome::Committed { .. } | TransactionOutcome::Conflict { .. }) => {
                Ok(())
            }
            Err(error) => {
                if error.kind() == PlatformErrorKind::LeaseNotFound {
                    self.lease = None;
                }
                Err(error)
            }
        }
    }

    /// Returns a lease that lasts for at least half of its time. It is not renewed: evidence is
    /// remembered for the time of a lease, and so is a blocked part.
    async fn lease(&mut self) -> Result<LeaseId, PlatformError> {
        let now = self.shared.now();
        if let Some((lease, until)) = self.lease
            && !until.has_passed(now)
            && lease.era() >= self.platform.era()
        {
            return Ok(lease);
        }
        let grant = self.grant(TTL_MS).await?;
        self.lease = Some((grant.id, Deadline::after_ms(now, grant.ttl.as_ms() / 2)));
        Ok(grant.id)
    }

    async fn grant(&self, ttl_ms: u64) -> Result<LeaseGrant, PlatformError> {
        let deadline = Deadline::after_ms(self.shared.now(), CALL_TIMEOUT_MS);
        self.key_value.lease_grant(LeaseTtl::new(ttl_ms.div_ceil(1_000)), deadline).await
    }
}

fn key(prefix: &str, name: &str) -> Result<Key, PlatformError> {
    format!("{prefix}{name}").parse().map_err(|error| invalid(&error))
}

fn invalid(error: &dyn std::fmt::Display) -> PlatformError {
    PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
}

fn log_decision(decision: &BlockDecision) {
    let endpoints: Vec<&str> =
        decision.crashes.iter().map(|process| process.endpoint.as_str()).collect();
    log::warn!(
        part = decision.part.as_str(), crashes = endpoints.len(), endpoints:? = endpoints,
        is_own = decision.is_own;
        "a part of prompts crashes endpoints and is blocked"
    );
}
