//! Roll-outs of software versions: the versions that requests may go to, the evidence about their
//! answers, and the node that takes orders through their stages.
//!
//! * `steps` reads the progress that the holder writes.
//! * `evidence` judges this node's own answers and reports them.
//! * `leader` takes the orders through their stages if this node is the holder.

mod evidence;
mod leader;
mod steps;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use smol_str::SmolStr;
use yuccapass_decisions::gateway::version_rollout::{
    AnswerKind, AnswerTime, CountedAttempt, NodeEvidence, RolloutLimits, RolloutOrder,
    RolloutProgress, Verdict, VersionFilter, VersionJudge, VersionShares,
};
use yuccapass_decisions::gateway::{AttemptFailure, Directory, EndpointRecord};
use yuccapass_platform::PlatformClient;
use yuccapass_types::{
    Deadline, EndpointId, Incarnation, Instant, NodeId, RolloutOrderId, RouteId, ServiceId,
    Sharded, SoftwareVersion, SortedMap,
};

use crate::attempt::AttemptOutcome;
use crate::options::GatewayOptions;
use crate::protocol::{RolloutRequest, StatusEncoder};
use crate::state::Shared;
use crate::swap_leader::SwapLeader;

/// Prefix of the keys with the progress of orders, by service.
const STEP_KEYS: &str = "yuccapass/rollouts/steps/";

/// Prefix of the keys with the evidence of nodes.
const EVIDENCE_KEYS: &str = "yuccapass/rollouts/evidence/";

/// Starts the tasks, if the deployment has roll-outs.
pub(crate) fn start(
    shared: &Arc<Shared>,
    platform: &Arc<PlatformClient>,
    status_encoder: &Arc<dyn StatusEncoder>,
    swap_leader: &Arc<SwapLeader>,
) {
    if !shared.rollouts.is_enabled {
        return;
    }
    steps::start(shared, platform);
    task::spawn(evidence::Publisher::new(shared, platform).run());
    let leader = leader::Leader::new(shared, platform, status_encoder, swap_leader);
    task::spawn(leader.run());
}

/// A service's part of the table.
struct ServiceEntry {
    shares: VersionShares,
    // Judges this node's own answers to the order.
    judge: Option<(RolloutOrderId, VersionJudge)>,
}

/// Wakes a task of this module when an order or its progress has changed.
struct Wake {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Wake {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }
}

/// What this node knows about the roll-outs of all services.
pub(crate) struct RolloutTable {
    is_enabled: bool,
    limits: RolloutLimits,
    node: NodeId,
    incarnation: Incarnation,
    services: Sharded<SortedMap<ServiceId, ServiceEntry>>,
    // Until when the operators' settings and the progress of orders are known, in milliseconds.
    settings_known_ms: AtomicU64,
    steps_known_ms: AtomicU64,
    publisher_wake: Wake,
    leader_wake: Wake,
}

impl RolloutTable {
    pub(crate) fn new(options: &GatewayOptions) -> Self {
        Self {
            is_enabled: options.capabilities.has_rollouts,
            limits: options.rollout_limits,
            node: options.node.clone(),
            incarnation: options.incarnation,
            services: Sharded::default(),
            settings_known_ms: AtomicU64::new(0),
            steps_known_ms: AtomicU64::new(0),
            publisher_wake: Wake::default(),
            leader_wake: Wake::default(),
        }
    }

    /// Sets the operators' order for a service; `None` if it was deleted.
    pub(crate) fn set_order(
        &self,
        service: &ServiceId,
        request: Option<(RolloutOrderId, RolloutRequest)>,
        now: Instant,
    ) {
        if !self.is_enabled {
            return;
        }
        let order = request.map(|(id, request)| RolloutOrder {
            id,
            target: request.target,
            duration_ms: request.duration_ms,
        });
        let is_changed = self.with_service(service, |entry| {
            let is_changed = entry.shares.order() != order.as_ref();
            entry.shares.set_order(order.clone(), now);
            is_changed
        });
        if is_changed {
            log::info!(
                service = service.as_str(),
                target = order.as_ref().map_or("none", |order| order.target.as_str()),
                order = order.as_ref().map_or(0, |order| order.id.get());
                "the order of a roll-out has changed"
            );
            self.wake();
        }
    }

    /// Sets the orders of all services; those that are absent have none.
    pub(crate) fn replace_orders(
        &self,
        orders: &[(ServiceId, RolloutOrderId, RolloutRequest)],
        now: Instant,
    ) {
        let is_listed = |service: &ServiceId| orders.iter().any(|(known, ..)| known == service);
        for service in self.services().iter().filter(|service| !is_listed(service)) {
            self.set_order(service, None, now);
        }
        for (service, id, request) in orders {
            self.set_order(service, Some((*id, request.clone())), now);
        }
    }

    /// Records that the operators' settings are known as of `until`.
    pub(crate) fn confirm_settings(&self, until: Instant) {
        if self.is_enabled {
            self.settings_known_ms.fetch_max(until.as_ms(), Ordering::AcqRel);
            self.for_each(|_, entry| entry.shares.confirm_settings(until));
        }
    }

    /// Records the versions of the registered endpoints.
    pub(crate) fn note_directory(&self, directory: &Directory, now: Instant) {
        if !self.is_enabled {
            return;
        }
        let mut versions: SortedMap<ServiceId, Vec<&SoftwareVersion>> = SortedMap::new();
        for (_, record) in directory.endpoints() {
            if let Some(software) = &record.software {
                let known = versions.get_or_insert_with(record.service.clone(), Vec::new);
                if !known.contains(&software) {
                    known.push(software);
                }
            }
        }
        for (service, versions) in versions.into_entries() {
            self.with_service(&service, |entry| entry.shares.note_versions(versions, now));
        }
    }

    /// Returns the endpoints that one request may go to; `eligible` are all that are registered for it.
    pub(crate) fn choice(
        &self,
        service: &ServiceId,
        eligible: &[(&EndpointId, &EndpointRecord)],
        nodes: u32,
        now: Instant,
    ) -> VersionChoice {
        if !self.is_enabled {
            return VersionChoice::default();
        }
        let random = rand::random();
        let (filter, target) = self.services.with(service, |shard| {
            let Some(entry) = shard.get(service) else { return (VersionFilter::default(), None) };
            let target = entry.shares.target().cloned();
            let is_target = |record: &EndpointRecord| record.software == target;
            let has_target = eligible.iter().any(|(_, record)| is_target(record));
            let has_base = eligible.iter().any(|(_, record)| !is_target(record));
            (entry.shares.filter(random, nodes, has_target, has_base, now), target)
        });
        let targets = eligible.iter().filter(|(_, record)| record.software == target);
        let observed = match filter.is_open() {
            true => Vec::new(),
            false => filter.observed(targets.map(|(id, _)| *id)).into_iter().cloned().collect(),
        };
        VersionChoice { filter, target, observed }
    }

    /// Counts a request that is sent to an endpoint, until the guard is dropped.
    pub(crate) fn track(
        &self,
        endpoint: &EndpointId,
        record: &EndpointRecord,
    ) -> RolloutAttempt<'_> {
        let ids = self.is_enabled.then(|| {
            let counted = self.with_service(&record.service, |entry| {
                entry.shares.record_sent(record.software.as_ref())
            });
            (counted, record.service.clone(), endpoint.clone())
        });
        RolloutAttempt { table: self, ids, answer: None }
    }

    /// Returns the services with an order that has not ended.
    fn active_services(&self) -> Vec<ServiceId> {
        self.services.fold(Vec::new(), |mut active, shard| {
            let under_way = shard.iter().filter(|(_, entry)| entry.shares.is_under_way());
            active.extend(under_way.map(|(service, _)| service.clone()));
            active
        })
    }

    /// Returns the operators' order for a service, which may be deleted, and the time since it was given;
    /// `None` while the operators' settings are not known.
    fn order_of(&self, service: &ServiceId, now: Instant) -> Option<(Option<RolloutOrder>, u64)> {
        self.services.with(service, |shard| {
            let shares = &shard.get(service)?.shares;
            let order = (shares.order().cloned(), shares.elapsed_ms(now));
            shares.is_order_known().then_some(order)
        })
    }

    fn services(&self) -> Vec<ServiceId> {
        self.services.fold(Vec::new(), |mut services, shard| {
            services.extend(shard.keys().cloned());
            services
        })
    }

    /// Sets the progress that a holder has written; returns whether it is newer than what was known.
    fn set_progress(&self, service: &ServiceId, progress: RolloutProgress, now: Instant) -> bool {
        let is_newer = self.with_service(service, |entry| {
            let known = entry.shares.progress();
            let is_newer = known.is_none_or(|known| progress.is_newer_than(known));
            entry.shares.set_progress(progress, now);
            is_newer
        });
        if is_newer {
            self.wake();
        }
        is_newer
    }

    fn confirm_steps(&self, until: Instant) {
        self.steps_known_ms.fetch_max(until.as_ms(), Ordering::AcqRel);
        self.for_each(|_, entry| entry.shares.confirm_progress(until));
    }

    /// Judges this node's own answers, and returns its evidence about the orders that have not ended.
    fn judge(&self, nodes: u32) -> Vec<(ServiceId, NodeEvidence)> {
        let mut evidence = Vec::new();
        for service in self.active_services() {
            self.with_service(&service, |entry| {
                let Some(counted) = entry.shares.evidence() else { return };
                judge_own(&self.node, &service, entry, &counted, nodes);
                evidence.extend(entry.shares.evidence().map(|counted| (service.clone(), counted)));
            });
        }
        evidence
    }

    fn with_service<R>(
        &self,
        service: &ServiceId,
        action: impl FnOnce(&mut ServiceEntry) -> R,
    ) -> R {
        self.services.with(service, |shard| {
            action(shard.get_or_insert_with(service.clone(), || self.new_entry()))
        })
    }

    fn new_entry(&self) -> ServiceEntry {
        let mut shares = VersionShares::new(self.limits, self.node.clone(), self.incarnation);
        let known = |ms: &AtomicU64| Instant::from_ms(ms.load(Ordering::Acquire));
        shares.confirm_settings(known(&self.settings_known_ms));
        shares.confirm_progress(known(&self.steps_known_ms));
        ServiceEntry { shares, judge: None }
    }

    fn for_each(&self, mut visit: impl FnMut(&ServiceId, &mut ServiceEntry)) {
        self.services.fold((), |(), shard| {
            shard.entries_mut().for_each(|(service, entry)| visit(service, entry));
        });
    }

    fn wake(&self) {
        for wake in [&self.publisher_wake, &self.leader_wake] {
            // If the channel is full, a wake-up is already pending.
            let _ = wake.sender.try_send(());
        }
    }
}

/// Judges a node's own answers to an order, and stops sending to a target that is bad.
fn judge_own(
    node: &NodeId,
    service: &ServiceId,
    entry: &mut ServiceEntry,
    counted: &NodeEvidence,
    nodes: u32,
) {
    if entry.judge.as_ref().is_none_or(|(order, _)| *order != counted.order) {
        entry.judge = Some((counted.order, VersionJudge::new(nodes)));
    }
    let Some((_, judge)) = &mut entry.judge else { return };
    judge.record(node, counted);
    if let Verdict::Bad(reason) = judge.judge()
        && !counted.has_alarm
    {
        entry.shares.stop_target(counted.order);
        let (answers, failures) = counted.target_answers();
        log::warn!(
            service = service.as_str(), order = counted.order.get(), reason:%, answers, failures;
            "this node's own answers show that a new version is bad; it gets nothing more from here"
        );
    }
}

/// The endpoints that one request may go to.
#[derive(Debug, Default)]
pub(crate) struct VersionChoice {
    filter: VersionFilter,
    target: Option<SoftwareVersion>,
    // The endpoints of the target that get its requests.
    observed: Vec<EndpointId>,
}

impl VersionChoice {
    /// Returns whether the request may go to an endpoint.
    pub(crate) fn allows(&self, endpoint: &EndpointId, record: &EndpointRecord) -> bool {
        let software = record.software.as_ref();
        let is_observed = || software != self.target.as_ref() || self.observed.contains(endpoint);
        self.filter.is_open() || (self.filter.allows(software) && is_observed())
    }

    /// Returns whether an endpoint comes before the others.
    pub(crate) fn prefers(&self, record: &EndpointRecord) -> bool {
        self.filter.prefers(record.software.as_ref())
    }
}

/// Counts a request as sent until it is dropped.
pub(crate) struct RolloutAttempt<'a> {
    table: &'a RolloutTable,
    ids: Option<(CountedAttempt, ServiceId, EndpointId)>,
    answer: Option<(RouteId, AnswerKind)>,
}

impl RolloutAttempt<'_> {
    /// Records the outcome, if it says something about the version. `stream_bytes` is the size of the
    /// events that were forwarded, and `is_cold` whether the endpoint was cold: its times say nothing.
    pub(crate) fn record_outcome(
        &mut self,
        route: &RouteId,
        outcome: &AttemptOutcome,
        answer_ms: u64,
        stream_bytes: u64,
        is_cold: bool,
    ) {
        if self.ids.is_none() {
            return;
        }
        let kind = match outcome {
            AttemptOutcome::Answered(_) if is_cold => Some(AnswerKind::Untimed),
            AttemptOutcome::Answered(_) if stream_bytes > 0 => {
                Some(AnswerKind::Complete(AnswerTime::of_stream(answer_ms, stream_bytes)))
            }
            AttemptOutcome::Answered(_) => {
                Some(AnswerKind::Complete(AnswerTime::of_answer(answer_ms)))
            }
            AttemptOutcome::CallerGone => None,
            AttemptOutcome::Failed(failed) => match failed.failure {
                AttemptFailure::Failed | AttemptFailure::Broken | AttemptFailure::Silent => {
                    Some(AnswerKind::Failed)
                }
                AttemptFailure::NotSent | AttemptFailure::NotRun | AttemptFailure::Outdated => None,
            },
        };
        self.answer = kind.map(|kind| (route.clone(), kind));
    }
}

impl Drop for RolloutAttempt<'_> {
    fn drop(&mut self) {
        let Some((counted, service, endpoint)) = self.ids.take() else { return };
        let answer = self.answer.as_ref().map(|(route, kind)| (route, *kind));
        self.table.services.with(&service, |shard| {
            if let Some(entry) = shard.get_mut(&service) {
                entry.shares.record_end(counted, &endpoint, answer);
            }
        });
    }
}

/// Waits until `deadline`, or until an order or its progress changes.
async fn wait(shared: &Shared, wake: &Wake, deadline: Deadline) {
    let sleeping = Box::pin(yuccapass_http::sleep_until(&*shared.clock, deadline));
    let waking = Box::pin(wake.receiver.recv());
    futures::future::select(sleeping, waking).await;
}

/// Returns the name of a key after a prefix.
fn name_in<'a>(key: &'a str, prefix: &str) -> Option<&'a str> {
    key.strip_prefix(prefix).filter(|name| !name.is_empty())
}

/// Encodes a value for the key-value service.
fn encode(value: &impl serde::Serialize) -> Result<yuccapass_platform::Value, SmolStr> {
    let json = serde_json::to_vec(value).map_err(|error| smol_str::format_smolstr!("{error}"))?;
    yuccapass_platform::Value::new(json).map_err(|error| smol_str::format_smolstr!("{error}"))
}
