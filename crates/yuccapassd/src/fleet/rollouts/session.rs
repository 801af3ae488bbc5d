//! One term of driving a model's rollouts, from taking the lock to losing or leaving it.

use std::sync::Arc;

use async_std::channel::{Receiver, Sender, unbounded};
use async_std::task;
use yuccapass_decisions::config::{Document, Manifest, Model, Source};
use yuccapass_decisions::platform_budget::{CallRank, LeasePermit};
use yuccapass_decisions::rollout::{
    Action, DesiredRollout, Driver, DriverOutcome, OrderId, OrderResult, Plan, Progress,
    ReplicaOrder, ReplicaReports, RolloutState, Step, Target, desired_rollout, unexpected_version,
};
use yuccapass_endpoints::{EndpointErrorKind, ModelEndpoint, Order, OrderKind};
use yuccapass_http::with_deadline;
use yuccapass_platform::{KeyValue, LeaseLock, PlatformError, PlatformErrorKind, ProgressStore};
use yuccapass_types::{Deadline, EndpointId, FencingNumber, ModelId};

use super::{Rollouts, key};
use crate::fleet::platform_configuration::manifest_key;

/// How long a session waits at most before it looks at its lease and the configuration again.
const STEP_MS: u64 = 250;

type Answer = (EndpointId, OrderId, OrderResult);

struct Session<'a> {
    rollouts: &'a Rollouts,
    lock: &'a Arc<LeaseLock>,
    store: ProgressStore,
    driver: Option<Driver>,
    reported: Option<DriverOutcome>,
    sender: Sender<Answer>,
    answers: Receiver<Answer>,
}

/// An order on its way to a replica.
struct Sending {
    endpoint: EndpointId,
    id: OrderId,
    order: Order,
    deadline: Deadline,
}

/// Drives the rollouts of a model while this node holds the lock and there is something to do.
pub(super) async fn drive(rollouts: &Rollouts, lock: &Arc<LeaseLock>, model: &ModelId) {
    let key_value = rollouts.platform.key_value(CallRank::Lease);
    let store = ProgressStore::new(key_value, key(model, "progress"));
    let (sender, answers) = unbounded();
    let mut session =
        Session { rollouts, lock, store, driver: None, reported: None, sender, answers };
    match session.begin().await {
        Ok(progress) => session.run(model, progress).await,
        Err(error) => log::warn!(model = model.as_str(); "a rollout cannot be read: {error}"),
    }
}

impl Session<'_> {
    /// Reads the progress, and takes over the configuration that earlier drivers may have followed:
    /// an older one would turn their rollout back.
    async fn begin(&mut self) -> Result<Option<Progress>, PlatformError> {
        let key_value = self.rollouts.platform.key_value(CallRank::Lease);
        let held = key_value.get(&manifest_key(), self.rollouts.call_deadline()).await?;
        if let Some(entry) = held.entry {
            let bytes = entry.value.as_bytes();
            self.rollouts.sync.offer_manifest(Source::Platform, bytes).await;
            let newest = Manifest::decode(bytes).map(|manifest| manifest.revision);
            let in_force = self.rollouts.core.configuration.revision();
            if newest.is_ok_and(|newest| newest > in_force) {
                let detail = format!("revision {in_force} is in force, which is not the newest");
                return Err(PlatformError::new(PlatformErrorKind::Protocol, detail));
            }
        }
        self.store.load(self.rollouts.call_deadline()).await
    }

    async fn run(&mut self, model: &ModelId, mut progress: Option<Progress>) {
        loop {
            if let Err(error) = self.lock.step(self.rollouts.call_deadline()).await {
                log::debug!("the lease of a rollout cannot be renewed: {error}");
            }
            let Some(permit) = self.lock.permit() else { return };
            let active = self.rollouts.core.configuration.active();
            let document = active.document();
            let Some(found) = document.model(model) else { return };
            let reports = self.rollouts.reports(document, found);
            let known = self.driver.as_ref().map(Driver::progress).or(progress.as_ref());
            let Some(wanted) = desired_rollout(document, found, known, &reports) else { return };
            self.aim(document, found, &reports, &wanted, progress.take(), permit);
            if !self.step(document, &reports).await {
                return;
            }
        }
    }

    /// Makes the driver of the wanted rollout, or changes the target of the present one.
    fn aim(
        &mut self,
        document: &Document,
        model: &Model,
        reports: &ReplicaReports,
        wanted: &DesiredRollout,
        progress: Option<Progress>,
        permit: LeasePermit,
    ) {
        let now = self.rollouts.core.clock.now();
        let has_ended = |driver: &Driver| driver.outcome() == Some(DriverOutcome::Finished);
        if self.driver.as_ref().is_none_or(has_ended) {
            let progress = progress
                .filter(|progress| progress.state() != RolloutState::Finished)
                .unwrap_or_else(|| self.new_progress(document, model, reports, wanted));
            log::info!(
                model = model.id.as_str(), version = wanted.version.as_str(),
                fencing = permit.fencing.get();
                "this node drives a rollout"
            );
            self.driver = Some(Driver::resume(progress, permit));
            self.reported = None;
        }
        let Some(driver) = &mut self.driver else { return };
        if !wanted.is_driven_by(driver.progress()) {
            log::info!(
                model = model.id.as_str(), version = wanted.version.as_str();
                "the rollout has another target or other replicas now"
            );
            let target = Target::Version(wanted.version.clone());
            driver.retarget(target, wanted.endpoints.iter().cloned(), now);
            self.reported = None;
        }
    }

    fn new_progress(
        &self,
        document: &Document,
        model: &Model,
        reports: &ReplicaReports,
        wanted: &DesiredRollout,
    ) -> Progress {
        let previous =
            unexpected_version(document, model, reports).unwrap_or_else(|| wanted.version.clone());
        let target = Target::Version(wanted.version.clone());
        // A version that one replica cannot load is not tried on the others.
        let plan = Plan::new(
            model.id.clone(),
            Target::Version(previous),
            target,
            model.max_swapping_replicas,
        )
        .max_failures(0)
        .drain_limit_ms(self.rollouts.drain_limit_ms)
        .load_limit_ms(self.rollouts.load_limit_ms);
        Progress::new(plan, wanted.endpoints.iter().cloned())
    }

    /// Carries out the driver's next actions; returns whether the session goes on.
    async fn step(&mut self, document: &Document, reports: &ReplicaReports) -> bool {
        let now = self.rollouts.core.clock.now();
        let Some(driver) = &mut self.driver else { return false };
        for action in driver.step(now, self.lock.permit(), reports) {
            match action {
                Action::WriteProgress(progress) => {
                    let deadline = self.rollouts.call_deadline();
                    let outcome = self.store.write(&progress, self.lock, deadline).await;
                    if let Some(driver) = &mut self.driver {
                        driver.progress_written(&progress, outcome);
                    }
                }
                Action::SendOrder { id, endpoint, order, fencing, deadline } => {
                    let Some(order) = wire_order(order, fencing) else { continue };
                    let sending = Sending { endpoint, id, order, deadline };
                    self.give_order(document, sending);
                }
                Action::WaitUntil(_) => self.take_answers().await,
                Action::Report(ended) => return self.report(ended).await,
            }
        }
        true
    }

    fn give_order(&self, document: &Document, sending: Sending) {
        let Some(endpoint) = document.endpoint(&sending.endpoint) else { return };
        let client = self.rollouts.core.endpoints.client(endpoint);
        let (lock, sender) = (Arc::clone(self.lock), self.sender.clone());
        task::spawn(async move {
            let result = send_order(&*client, &lock, &sending).await;
            // The session may have ended.
            let _ = sender.send((sending.endpoint, sending.id, result)).await;
        });
    }

    /// Waits for the results of orders, at most until the next look at the reports.
    async fn take_answers(&mut self) {
        let clock = &self.rollouts.core.clock;
        let limit = Deadline::after_ms(clock.now(), STEP_MS);
        let Ok(Ok(first)) = with_deadline(&**clock, limit, self.answers.recv()).await else {
            return;
        };
        let mut next = Some(first);
        while let (Some((endpoint, id, result)), Some(driver)) = (next.take(), &mut self.driver) {
            driver.order_answered(&endpoint, id, result, clock.now());
            next = self.answers.try_recv().ok();
        }
    }

    /// Tells the operators how a rollout ended; returns whether the session goes on.
    async fn report(&mut self, ended: DriverOutcome) -> bool {
        let Some(driver) = &self.driver else { return false };
        let progress = driver.progress();
        if self.reported.replace(ended) != Some(ended) {
            let (model, target) = (progress.plan().model(), progress.target());
            match ended {
                DriverOutcome::Finished => {
                    log::info!(model = model.as_str(); "{target} is rolled out")
                }
                DriverOutcome::Stopped(_) => log::error!(
                    model = model.as_str();
                    "the rollout of {target} has stopped, since these replicas failed to drain, \
                     load or come up: {}", failed_replicas(progress)
                ),
                DriverOutcome::LeaseLost | DriverOutcome::Superseded => {
                    log::warn!(model = model.as_str(); "another node drives the rollout now");
                }
            }
        }
        match ended {
            DriverOutcome::Finished => true,
            DriverOutcome::Stopped(_) => {
                self.rollouts.pause(STEP_MS).await;
                true
            }
            DriverOutcome::LeaseLost | DriverOutcome::Superseded => false,
        }
    }
}

/// Lists the replicas that failed, with commas between them.
pub(crate) fn failed_replicas(progress: &Progress) -> String {
    let failed = progress.replicas().iter().filter(|replica| replica.step == Step::Failed);
    failed.map(|replica| replica.endpoint.as_str()).collect::<Vec<_>>().join(", ")
}

fn wire_order(order: ReplicaOrder, fencing: FencingNumber) -> Option<Order> {
    let kind = match order {
        ReplicaOrder::Drain => OrderKind::SetLeaving { leaving: true },
        ReplicaOrder::Return => OrderKind::SetLeaving { leaving: false },
        ReplicaOrder::Load(Target::Version(version)) => OrderKind::LoadVersion { version },
        ReplicaOrder::Load(Target::Adapter(adapter)) => OrderKind::LoadAdapter { adapter },
        ReplicaOrder::Load(Target::Role(_)) => return None,
    };
    Some(Order { fencing, kind })
}

/// Sends an order if this node still holds the lock.
async fn send_order(
    client: &dyn ModelEndpoint,
    lock: &LeaseLock,
    sending: &Sending,
) -> OrderResult {
    if lock.permit().is_none_or(|permit| permit.fencing != sending.order.fencing) {
        return OrderResult::Failed;
    }
    match client.order(&sending.order, sending.deadline).await {
        Ok(()) => OrderResult::Done,
        Err(error) => {
            log::warn!(endpoint = sending.endpoint.as_str(); "an order of a rollout failed: {error}");
            match error.kind() {
                EndpointErrorKind::Fenced => OrderResult::Fenced,
                _ => OrderResult::Failed,
            }
        }
    }
}
