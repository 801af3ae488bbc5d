//! Takes orders through their stages, if this node is the holder.
//!
//! The holder is the node that holds the lock for weight swaps: its lease and fencing number serve
//! both.

use std::sync::Arc;

use yuccapass_decisions::gateway::EndpointState;
use yuccapass_decisions::gateway::version_rollout::{
    FleetView, HolderAction, NodeEvidence, RolloutHolder, RolloutOrder, RolloutProgress, Stage,
    Verdict, VersionJudge,
};
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_platform::{
    Compare, Entry, Key, KeyValue, KeyValueClient, KeyValueRevision, PlatformClient, PlatformError,
    PlatformErrorKind, Transaction, TransactionOutcome, Write,
};
use yuccapass_types::{
    Deadline, FencingNumber, Instant, NodeId, RolloutOrderId, ServiceId, SoftwareVersion, SortedMap,
};

use super::evidence::EvidenceEntry;
use super::{EVIDENCE_KEYS, STEP_KEYS, encode, name_in, steps, wait};
use crate::protocol::{RolloutState, RolloutStatus, StatusEncoder};
use crate::state::Shared;
use crate::swap_leader::SwapLeader;
use crate::watch::read_all;

/// Period of decisions while an order is under way.
const PERIOD_MS: u64 = 250;

/// Period of reading the evidence of all nodes. The evidence of a hundred nodes has about a hundred
/// kilobytes.
const EVIDENCE_PERIOD_MS: u64 = 1_000;

/// The same while the share is raised, when a step also waits for the reports of all nodes.
const RAISING_EVIDENCE_PERIOD_MS: u64 = 500;

/// Timeout of a call to the key-value service.
const CALL_TIMEOUT_MS: u64 = 1_200;

/// Maximum number of calls for the next step of a service in one period.
const MAX_CALLS_PER_STEP: usize = 4;

/// Time after which evidence that does not change is that of a node that has ended or is cut off. Nodes
/// of a large deployment report every few seconds.
const MIN_STALE_MS: u64 = 4_000;
const STALE_MS_PER_NODE: u64 = 30;

/// The evidence of a node, and when its last report was seen.
struct NodeReport {
    revision: KeyValueRevision,
    seen_at: Instant,
    services: Vec<(ServiceId, NodeEvidence)>,
}

/// What the holder knows about one service.
struct ServiceRun {
    holder: RolloutHolder<KeyValueRevision>,
    judge: VersionJudge,
    judged_order: Option<RolloutOrderId>,
    verdict: Verdict,
}

impl ServiceRun {
    fn new(fencing: FencingNumber) -> Self {
        Self {
            holder: RolloutHolder::new(fencing),
            judge: VersionJudge::new(1),
            judged_order: None,
            verdict: Verdict::Sound,
        }
    }

    /// Judges the evidence about an order.
    fn judge(&mut self, service: &ServiceId, order: RolloutOrderId, reports: &Reports) {
        if self.judged_order != Some(order) {
            self.judge = VersionJudge::new(1);
            self.judged_order = Some(order);
        }
        for (node, evidence) in evidence_of(reports, service, order) {
            self.judge.record(node, evidence);
        }
        let verdict = self.judge.judge();
        if verdict != self.verdict {
            log::info!(
                service = service.as_str(), order = order.get(), verdict:?,
                target_answers = self.judge.target_answers();
                "the verdict on a new version has changed"
            );
        }
        self.verdict = verdict;
    }
}

type Reports = SortedMap<NodeId, NodeReport>;

/// Returns the evidence of all nodes about an order.
fn evidence_of<'a>(
    reports: &'a Reports,
    service: &'a ServiceId,
    order: RolloutOrderId,
) -> impl Iterator<Item = (&'a NodeId, &'a NodeEvidence)> {
    reports.iter().flat_map(move |(node, report)| {
        let of_order = move |(known, evidence): &&(ServiceId, NodeEvidence)| {
            known == service && evidence.order == order
        };
        report.services.iter().filter(of_order).map(move |(_, evidence)| (node, evidence))
    })
}

/// Takes orders through their stages while this node is the holder.
pub(super) struct Leader {
    shared: Arc<Shared>,
    // For the progress and for the evidence, which comes after everything else.
    key_value: KeyValueClient,
    reader: KeyValueClient,
    status_encoder: Arc<dyn StatusEncoder>,
    swap_leader: Arc<SwapLeader>,
    fencing: Option<FencingNumber>,
    runs: SortedMap<ServiceId, ServiceRun>,
    reports: Reports,
    read_evidence_at: Deadline,
}

impl Leader {
    pub(super) fn new(
        shared: &Arc<Shared>,
        platform: &Arc<PlatformClient>,
        status_encoder: &Arc<dyn StatusEncoder>,
        swap_leader: &Arc<SwapLeader>,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            key_value: platform.key_value(CallRank::Lease).with_purpose(CallPurpose::Rollouts),
            reader: platform.key_value(CallRank::Refresh).with_purpose(CallPurpose::Rollouts),
            status_encoder: Arc::clone(status_encoder),
            swap_leader: Arc::clone(swap_leader),
            fencing: None,
            runs: SortedMap::new(),
            reports: SortedMap::new(),
            read_evidence_at: Deadline::after_ms(Instant::default(), 0),
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let active = self.shared.rollouts.active_services();
            let next = match active.is_empty() {
                true => Deadline::NEVER,
                false => Deadline::after_ms(self.shared.now(), PERIOD_MS),
            };
            self.runs.retain(|service, _| active.contains(service));
            match self.swap_leader.held() {
                Some((fencing, _)) if !active.is_empty() => self.lead(fencing, &active).await,
                _ => self.forget(),
            }
            wait(&self.shared, &self.shared.rollouts.leader_wake, next).await;
        }
    }

    fn forget(&mut self) {
        if self.fencing.take().is_some() {
            self.runs = SortedMap::new();
            self.reports = SortedMap::new();
        }
    }

    async fn lead(&mut self, fencing: FencingNumber, active: &[ServiceId]) {
        if self.fencing != Some(fencing) {
            self.forget();
            self.fencing = Some(fencing);
            log::info!(
                fencing = fencing.get(), services = active.len(); "this node now leads roll-outs"
            );
        }
        let now = self.shared.now();
        if self.read_evidence_at.has_passed(now) {
            self.read_evidence_at = Deadline::after_ms(now, self.evidence_period_ms());
            match self.read_evidence().await {
                Ok(()) => self.judge(active),
                Err(error) => log::info!(error:%; "evidence about a roll-out could not be read"),
            }
        }
        for service in active {
            if let Err(error) = self.advance(service, fencing).await {
                log::info!(
                    service = service.as_str(), error:%;
                    "the progress of a roll-out could not be read or written"
                );
            }
        }
    }

    fn evidence_period_ms(&self) -> u64 {
        let is_raising = |run: &ServiceRun| {
            let stage = run.holder.progress().map(|progress| progress.stage);
            matches!(stage, Some(Stage::Raising(_) | Stage::Full))
        };
        match self.runs.values().any(is_raising) {
            true => RAISING_EVIDENCE_PERIOD_MS,
            false => EVIDENCE_PERIOD_MS,
        }
    }

    /// Reads what all nodes have reported.
    async fn read_evidence(&mut self) -> Result<(), PlatformError> {
        let prefix: Key = EVIDENCE_KEYS.parse().expect("the prefix is a valid key");
        let entries = read_all(&self.shared, &self.reader, &prefix, false).await?;
        let now = self.shared.now();
        let earlier = std::mem::replace(&mut self.reports, SortedMap::new());
        for entry in entries {
            let name = name_in(entry.key.as_str(), EVIDENCE_KEYS);
            let Some(node) = name.and_then(|name| name.parse::<NodeId>().ok()) else { continue };
            let known = earlier.get(&node).filter(|known| known.revision == entry.mod_revision);
            let seen_at = known.map_or(now, |known| known.seen_at);
            match serde_json::from_slice::<EvidenceEntry>(entry.value.as_bytes()) {
                Ok(EvidenceEntry { services }) => {
                    let revision = entry.mod_revision;
                    self.reports.insert(node, NodeReport { revision, seen_at, services });
                }
                Err(error) => {
                    log::warn!(node = node.as_str(), error:%; "evidence could not be decoded");
                }
            }
        }
        Ok(())
    }

    fn judge(&mut self, active: &[ServiceId]) {
        for service in active {
            let Some(run) = self.runs.get_mut(service) else { continue };
            if let Some(order) = run.holder.progress().map(|progress| progress.order) {
                run.judge(service, order, &self.reports);
            }
        }
    }

    /// Takes the next step of a service's order, if one is due.
    async fn advance(
        &mut self,
        service: &ServiceId,
        fencing: FencingNumber,
    ) -> Result<(), PlatformError> {
        let key = step_key(service)?;
        let now = self.shared.now();
        // Without the settings of operators, a running order would look as if it were deleted.
        let Some((order, elapsed_ms)) = self.shared.rollouts.order_of(service, now) else {
            return Ok(());
        };
        if self.runs.get(service).is_none_or(|run| run.holder.progress().is_none()) {
            let stored = self.read_step(&key).await?;
            let run = self.runs.get_or_insert_with(service.clone(), || ServiceRun::new(fencing));
            run.holder.record_read(stored);
        }
        let Some(mut run) = self.runs.remove(service) else { return Ok(()) };
        let mut result = Ok(());
        // A write that is refused is followed by a read and another write.
        for _ in 0..MAX_CALLS_PER_STEP {
            let action = self.next_action(service, &mut run, order.as_ref(), elapsed_ms);
            let is_waiting = action == HolderAction::Wait;
            result = self.act(service, &key, &mut run, action).await;
            if is_waiting || result.is_err() {
                break;
            }
        }
        self.runs.insert(service.clone(), run);
        result
    }

    async fn act(
        &self,
        service: &ServiceId,
        key: &Key,
        run: &mut ServiceRun,
        action: HolderAction<KeyValueRevision>,
    ) -> Result<(), PlatformError> {
        match action {
            HolderAction::Wait => Ok(()),
            HolderAction::Read => {
                run.holder.record_read(self.read_step(key).await?);
                Ok(())
            }
            HolderAction::Write { expected, progress } => {
                self.write_step(service, key, run, expected, *progress).await
            }
        }
    }

    fn next_action(
        &self,
        service: &ServiceId,
        run: &mut ServiceRun,
        order: Option<&RolloutOrder>,
        elapsed_ms: u64,
    ) -> HolderAction<KeyValueRevision> {
        let progress = run.holder.progress().cloned();
        let id = progress.as_ref().map_or(RolloutOrderId::default(), |known| known.order);
        // What was judged before may belong to an earlier order.
        let is_judged = run.judged_order == Some(id);
        let target = progress.as_ref().map(|known| &known.target);
        let endpoints = Endpoints::of(&self.shared, service, target);
        let summary = self.summarize(service, id, progress.as_ref().map(|known| known.step));
        let view = FleetView {
            order,
            progress: progress.as_ref(),
            elapsed_ms,
            ready_targets: endpoints.ready_targets,
            base_versions: &endpoints.base_versions,
            verdict: if is_judged { run.verdict } else { Verdict::Sound },
            target_answers: if is_judged { run.judge.target_answers() } else { 0 },
            nodes: self.shared.nodes(),
            sent: summary.sent,
            outstanding_base: summary.outstanding_base,
            unreported_nodes: summary.unreported_nodes,
            has_alarm: summary.has_alarm,
        };
        run.holder.next(&view, &self.shared.options.rollout_limits)
    }

    /// Adds up what the nodes have reported about an order.
    fn summarize(&self, service: &ServiceId, order: RolloutOrderId, step: Option<u32>) -> Summary {
        let now = self.shared.now();
        let registered = self.shared.fleet().registered();
        let stale_ms = MIN_STALE_MS.max(STALE_MS_PER_NODE * registered.len() as u64);
        let mut summary = Summary { unreported_nodes: registered.len(), ..Summary::default() };
        for (node, evidence) in evidence_of(&self.reports, service, order) {
            summary.sent += evidence.sent;
            summary.has_alarm |= evidence.has_alarm;
            let is_fresh = self
                .reports
                .get(node)
                .is_some_and(|report| now.ms_since(report.seen_at) < stale_ms);
            if is_fresh {
                summary.outstanding_base += evidence.outstanding_base;
                let is_reported = evidence.step == step && registered.contains(node);
                summary.unreported_nodes -= usize::from(is_reported);
            }
        }
        summary
    }

    async fn read_step(
        &self,
        key: &Key,
    ) -> Result<Option<(KeyValueRevision, RolloutProgress)>, PlatformError> {
        let deadline = Deadline::after_ms(self.shared.now(), CALL_TIMEOUT_MS);
        let Some(entry) = self.key_value.get(key, deadline).await?.entry else { return Ok(None) };
        decode_step(&entry).map(|progress| Some((entry.mod_revision, progress)))
    }

    /// Writes a step and the status for operators, on condition that the step is the one that this node
    /// knows and that it holds the lock.
    async fn write_step(
        &self,
        service: &ServiceId,
        key: &Key,
        run: &mut ServiceRun,
        expected: Option<KeyValueRevision>,
        progress: RolloutProgress,
    ) -> Result<(), PlatformError> {
        let Some((_, held)) =
            self.swap_leader.held().filter(|(fencing, _)| *fencing == run.holder.fencing())
        else {
            run.holder.record_unknown();
            return Ok(());
        };
        let unchanged = match expected {
            Some(revision) => Compare::ModRevision(key.clone(), revision),
            None => Compare::Absent(key.clone()),
        };
        let value = encode(&progress).map_err(|error| invalid(&error))?;
        let status = self.status_write(service, run.holder.progress(), &progress);
        let step = Write::Put { key: key.clone(), value, lease: None };
        let writes = status.into_iter().chain([step]).collect();
        let transaction = Transaction { compares: vec![unchanged, held], writes };
        let deadline = Deadline::after_ms(self.shared.now(), CALL_TIMEOUT_MS);
        match self.key_value.compare_and_swap(&transaction, deadline).await {
            Ok(TransactionOutcome::Committed { revision }) => {
                run.holder.record_written(revision);
                log_step(service, &progress, run);
                steps::follow(&self.shared, service, progress);
                Ok(())
            }
            Ok(TransactionOutcome::Conflict { entries, .. }) => {
                run.holder.record_unknown();
                self.swap_leader.record_entries(&entries);
                log::info!(
                    service = service.as_str(), order = progress.order.get(), step = progress.step;
                    "a step of a roll-out was refused, because another one was written"
                );
                Ok(())
            }
            Err(error) => {
                run.holder.record_unknown();
                Err(error)
            }
        }
    }

    /// Returns the write of the status, if it changes with the step.
    fn status_write(
        &self,
        service: &ServiceId,
        previous: Option<&RolloutProgress>,
        next: &RolloutProgress,
    ) -> Option<Write> {
        let status = status_of(next);
        let is_same = |known: &RolloutProgress| {
            known.order == next.order && status_of(known).state == status.state
        };
        if previous.is_some_and(is_same) {
            return None;
        }
        match self.status_encoder.rollout_status(service, &status) {
            Ok((key, value)) => Some(Write::Put { key, value, lease: None }),
            Err(error) => {
                log::error!(
                    service = service.as_str(), error:%;
                    "the status of a roll-out cannot be encoded"
                );
                None
            }
        }
    }
}

/// The endpoints of a service.
#[derive(Debug, Default)]
struct Endpoints {
    ready_targets: usize,
    base_versions: Vec<SoftwareVersion>,
}

impl Endpoints {
    fn of(shared: &Shared, service: &ServiceId, target: Option<&SoftwareVersion>) -> Self {
        let mut endpoints = Self::default();
        let directory = shared.directory();
        for (_, record) in directory.endpoints().filter(|(_, record)| record.service == *service) {
            if record.software.as_ref() == target {
                let is_ready = record.state == EndpointState::Ready;
                endpoints.ready_targets += usize::from(is_ready);
            } else if let Some(version) = &record.software
                && !endpoints.base_versions.contains(version)
            {
                endpoints.base_versions.push(version.clone());
            }
        }
        endpoints
    }
}

/// What the nodes have reported about an order.
#[derive(Debug, Default)]
struct Summary {
    sent: u64,
    outstanding_base: u64,
    unreported_nodes: usize,
    has_alarm: bool,
}

fn status_of(progress: &RolloutProgress) -> RolloutStatus {
    let state = match progress.stage {
        Stage::Completed => RolloutState::Completed,
        Stage::RolledBack(_) => RolloutState::RolledBack,
        Stage::Waiting | Stage::Observing | Stage::Raising(_) | Stage::Full => {
            RolloutState::Running
        }
    };
    RolloutStatus { state, target: progress.target.clone() }
}

fn log_step(service: &ServiceId, progress: &RolloutProgress, run: &ServiceRun) {
    log::info!(
        service = service.as_str(), order = progress.order.get(), step = progress.step,
        target = progress.target.as_str(), stage:% = progress.stage, share:% = progress.share,
        elapsed_ms = progress.elapsed_ms, duration_ms = progress.duration_ms,
        fencing = progress.fencing.get(), target_answers = run.judge.target_answers(),
        verdict:? = run.verdict;
        "a step of a roll-out was written"
    );
}

fn step_key(service: &ServiceId) -> Result<Key, PlatformError> {
    format!("{STEP_KEYS}{service}").parse().map_err(|error| invalid(&error))
}

fn decode_step(entry: &Entry) -> Result<RolloutProgress, PlatformError> {
    serde_json::from_slice(entry.value.as_bytes()).map_err(|error| {
        let detail = format!("{} does not hold a step: {error}", entry.key);
        PlatformError::new(PlatformErrorKind::Protocol, detail)
    })
}

fn invalid(error: &dyn std::fmt::Display) -> PlatformError {
    PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
}
