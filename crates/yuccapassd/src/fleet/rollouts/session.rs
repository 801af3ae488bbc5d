//! A driver session: drives a model's rollouts from acquiring the lock to losing or releasing it.

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

use super::{Rollouts, rollout_key};
use crate::fleet::platform_configuration::manifest_key;

/// Maximum wait before a session checks its lease and the configuration again.
const STEP_PERIOD_MS: u64 = 250;

/// The result of an order to an endpoint.
type OrderReply = (EndpointId, OrderId, OrderResult);

/// The state of one session.
struct Session<'a> {
    rollouts: &'a Rollouts,
    lock: &'a Arc<LeaseLock>,
    store: ProgressStore,
    driver: Option<Driver>,
    /// The outcome that was logged last.
    reported: Option<DriverOutcome>,
    sender: Sender<OrderReply>,
    replies: Receiver<OrderReply>,
}

/// An order to send to a replica.
struct OutgoingOrder {
    endpoint: EndpointId,
    id: OrderId,
    order: Order,
    deadline: Deadline,
}

/// Drives the rollouts of a model while this node holds the lock and a rollout is needed.
pub(super) async fn drive(rollouts: &Rollouts, lock: &Arc<LeaseLock>, model: &ModelId) {
    let key_value = rollouts.platform.key_value(CallRank::Lease);
    let store = ProgressStore::new(key_value, rollout_key(model, "progress"));
    let (sender, replies) = unbounded();
    let mut session =
        Session { rollouts, lock, store, driver: None, reported: None, sender, replies };
    match session.load_progress().await {
        Ok(progress) => session.run(model, progress).await,
        Err(error) => {
            log::warn!(model = model.as_str(); "cannot read the progress of a rollout: {error}")
        }
    }
}

impl Session<'_> {
    /// Reads the stored progress.
    ///
    /// Fails unless this node has activated the newest configuration. Earlier drivers may have
    /// followed it, and with an older one this driver would revert their rollout.
    async fn load_progress(&mut self) -> Result<Option<Progress>, PlatformError> {
        let key_value = self.rollouts.platform.key_value(CallRank::Lease);
        let held = key_value.get(&manifest_key(), self.rollouts.call_deadline()).await?;
        if let Some(entry) = held.entry {
            let bytes = entry.value.as_bytes();
            self.rollouts.fetcher.offer_manifest(Source::Platform, bytes).await;
            let newest = Manifest::decode(bytes).map(|manifest| manifest.revision);
            let active = self.rollouts.core.configuration.revision();
            if newest.is_ok_and(|newest| newest > active) {
                let detail = format!("the active revision {active} is not the newest");
                return Err(PlatformError::new(PlatformErrorKind::Protocol, detail));
            }
        }
        self.store.load(self.rollouts.call_deadline()).await
    }

    async fn run(&mut self, model: &ModelId, mut progress: Option<Progress>) {
        loop {
            if let Err(error) = self.lock.step(self.rollouts.call_deadline()).await {
                log::debug!("cannot renew the lock of the rollout of {model}: {error}");
            }
            let Some(permit) = self.lock.permit() else { return };
            let active = self.rollouts.core.configuration.active();
            let document = active.document();
            let Some(found) = document.model(model) else { return };
            let reports = self.rollouts.reports(document, found);
            let known = self.driver.as_ref().map(Driver::progress).or(progress.as_ref());
            let Some(desired) = desired_rollout(document, found, known, &reports) else { return };
            self.update_driver(document, found, &reports, &desired, progress.take(), permit);
            if !self.step(document, &reports).await {
                return;
            }
        }
    }

    /// Creates the driver of the desired rollout, or changes the target of the current one.
    fn update_driver(
        &mut self,
        document: &Document,
        model: &Model,
        reports: &ReplicaReports,
        desired: &DesiredRollout,
        progress: Option<Progress>,
        permit: LeasePermit,
    ) {
        let now = self.rollouts.core.clock.now();
        let has_finished = |driver: &Driver| driver.outcome() == Some(DriverOutcome::Finished);
        if self.driver.as_ref().is_none_or(has_finished) {
            let progress = progress
                .filter(|progress| progress.state() != RolloutState::Finished)
                .unwrap_or_else(|| self.new_progress(document, model, reports, desired));
            log::info!(
                model = model.id.as_str(), version = desired.version.as_str(),
                fencing = permit.fencing.get();
                "this node drives a rollout"
            );
            self.driver = Some(Driver::resume(progress, permit));
            self.reported = None;
        }
        let Some(driver) = &mut self.driver else { return };
        if !desired.is_driven_by(driver.progress()) {
            log::info!(
                model = model.id.as_str(), version = desired.version.as_str();
                "the target or the replicas of the rollout have changed"
            );
            let target = Target::Version(desired.version.clone());
            driver.retarget(target, desired.endpoints.iter().cloned(), now);
            self.reported = None;
        }
    }

    fn new_progress(
        &self,
        document: &Document,
        model: &Model,
        reports: &ReplicaReports,
        desired: &DesiredRollout,
    ) -> Progress {
        let previous =
            unexpected_version(document, model, reports).unwrap_or_else(|| desired.version.clone());
        let target = Target::Version(desired.version.clone());
        // A rollout stops at the first failure: a version that one replica cannot load is not tried
        // on the others.
        let plan = Plan::new(
            model.id.clone(),
            Target::Version(previous),
            target,
            model.max_swapping_replicas,
        )
        .max_failures(0)
        .drain_limit_ms(self.rollouts.drain_limit_ms)
        .load_limit_ms(self.rollouts.load_limit_ms);
        Progress::new(plan, desired.endpoints.iter().cloned())
    }

    /// Carries out the driver's next actions; returns whether the session continues.
    async fn step(&mut self, document: &Document, reports: &ReplicaReports) -> bool {
        let now = self.rollouts.core.clock.now();
        let Some(driver) = &mut self.driver else { return false };
        for action in driver.next_actions(now, self.lock.permit(), reports) {
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
                    let outgoing = OutgoingOrder { endpoint, id, order, deadline };
                    self.send_order(document, outgoing);
                }
                Action::WaitUntil(_) => self.receive_replies().await,
                Action::Report(outcome) => return self.report(outcome).await,
            }
        }
        true
    }

    /// Sends an order in the background; its result arrives in `replies`.
    fn send_order(&self, document: &Document, outgoing: OutgoingOrder) {
        let Some(endpoint) = document.endpoint(&outgoing.endpoint) else { return };
        let client = self.rollouts.core.endpoints.client(endpoint);
        let (lock, sender) = (Arc::clone(self.lock), self.sender.clone());
        task::spawn(async move {
            let result = send_if_locked(&*client, &lock, &outgoing).await;
            // Fails only if the session has ended.
            let _ = sender.send((outgoing.endpoint, outgoing.id, result)).await;
        });
    }

    /// Waits for results of orders, at most until the reports have to be checked again.
    async fn receive_replies(&mut self) {
        let clock = &self.rollouts.core.clock;
        let limit = Deadline::after_ms(clock.now(), STEP_PERIOD_MS);
        let Ok(Ok(first)) = with_deadline(&**clock, limit, self.replies.recv()).await else {
            return;
        };
        let mut next = Some(first);
        while let (Some((endpoint, id, result)), Some(driver)) = (next.take(), &mut self.driver) {
            driver.order_answered(&endpoint, id, result, clock.now());
            next = self.replies.try_recv().ok();
        }
    }

    /// Logs how a rollout ended; returns whether the session continues.
    async fn report(&mut self, outcome: DriverOutcome) -> bool {
        let Some(driver) = &self.driver else { return false };
        let progress = driver.progress();
        if self.reported.replace(outcome) != Some(outcome) {
            let (model, target) = (progress.plan().model(), progress.target());
            match outcome {
                DriverOutcome::Finished => {
                    log::info!(model = model.as_str(); "the rollout of {target} has finished")
                }
                DriverOutcome::Stopped(_) => log::error!(
                    model = model.as_str();
                    "the rollout of {target} has stopped because these replicas failed to \
                     drain, load or become ready: {}", failed_replicas(progress)
                ),
                DriverOutcome::LeaseLost | DriverOutcome::Superseded => {
                    log::warn!(model = model.as_str(); "another node has taken over the rollout");
                }
            }
        }
        match outcome {
            DriverOutcome::Finished => true,
            DriverOutcome::Stopped(_) => {
                self.rollouts.pause(STEP_PERIOD_MS).await;
                true
            }
            DriverOutcome::LeaseLost | DriverOutcome::Superseded => false,
        }
    }
}

/// Returns the ids of the failed replicas, separated by commas.
pub(crate) fn failed_replicas(progress: &Progress) -> String {
    let failed = progress.replicas().iter().filter(|replica| replica.step == Step::Failed);
    failed.map(|replica| replica.endpoint.as_str()).collect::<Vec<_>>().join(", ")
}

/// Converts an order to its wire form; `None` for a change of role, which has none.
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

/// Sends an order if this node still holds the lock with the order's fencing number.
async fn send_if_locked(
    client: &dyn ModelEndpoint,
    lock: &LeaseLock,
    outgoing: &OutgoingOrder,
) -> OrderResult {
    if lock.permit().is_none_or(|permit| permit.fencing != outgoing.order.fencing) {
        return OrderResult::Failed;
    }
    match client.order(&outgoing.order, outgoing.deadline).await {
        Ok(()) => OrderResult::Done,
        Err(error) => {
            log::warn!(endpoint = outgoing.endpoint.as_str(); "a rollout order failed: {error}");
            match error.kind() {
                EndpointErrorKind::Fenced => OrderResult::Fenced,
                _ => OrderResult::Failed,
            }
        }
    }
}
