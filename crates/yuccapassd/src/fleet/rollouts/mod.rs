//! Brings the model endpoints to the versions that the configuration in force wants.
//!
//! A few nodes of each zone look after each model. The one that holds the model's lock in the
//! platform drives the rollout; the others continue from the written progress if it dies. The
//! decisions are those of `yuccapass_decisions::rollout`; [`session`] carries them out.

mod session;

pub(crate) use session::failed_replicas;

use std::sync::Arc;

use async_std::task::{self, JoinHandle};
use yuccapass_decisions::config::{Document, Model};
use yuccapass_decisions::platform_budget::{CallRank, LeaseTerms};
use yuccapass_decisions::rollout::{Progress, ReplicaReports, RolloutState, unexpected_version};
use yuccapass_http::sleep_until;
use yuccapass_platform::{
    Key, LeaseLock, LockStatus, PlatformClient, PlatformError, ProgressStore,
};
use yuccapass_types::{Deadline, ModelId, SortedMap};

use crate::fleet::ConfigurationSync;
use crate::request_path::Core;

/// Nodes of a zone that look after rollouts: one, and one for when it fails.
const DRIVERS_PER_ZONE: usize = 2;

/// Lifetime of a lock's lease: how long a rollout waits after its driver has died.
const LEASE_MS: u64 = 10_000;

/// Period of the comparison of the reports with the configuration in force.
const LOOK_PERIOD_MS: u64 = 500;

/// Comparisons between two looks at the written progress if the reports show nothing to do, which
/// finds a rollout whose driver died after its last order.
const LOOKS_PER_READ: u32 = 20;

/// Pause before another try at a lock that another node holds, or after a failure.
const LOCK_PAUSE_MS: u64 = 2_000;

/// How long one call of the platform may take.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// What the tasks of all models share.
pub(crate) struct Rollouts {
    pub(crate) core: Arc<Core>,
    pub(crate) sync: Arc<ConfigurationSync>,
    pub(crate) platform: Arc<PlatformClient>,
    pub(crate) drain_limit_ms: u64,
    pub(crate) load_limit_ms: u64,
}

/// Looks after the models of the configuration in force; ends only with the process.
pub(crate) async fn drive_rollouts(rollouts: Arc<Rollouts>) {
    let mut tasks: SortedMap<ModelId, JoinHandle<()>> = SortedMap::new();
    loop {
        let active = rollouts.core.configuration.active();
        let document = active.document();
        let removed = |id: &&ModelId| document.model(id).is_none();
        let removed: Vec<ModelId> = tasks.keys().filter(removed).cloned().collect();
        for model in removed {
            if let Some(task) = tasks.remove(&model) {
                task.cancel().await;
            }
        }
        for model in &document.models {
            tasks.get_or_insert_with(model.id.clone(), || {
                task::spawn(look_after(Arc::clone(&rollouts), model.id.clone()))
            });
        }
        rollouts.pause(LOOK_PERIOD_MS).await;
    }
}

/// Reads the progress of a model's rollout as it was written last.
pub(crate) async fn read_progress(
    platform: &Arc<PlatformClient>,
    model: &ModelId,
) -> Result<Option<Progress>, PlatformError> {
    let deadline = Deadline::after_ms(platform.clock().now(), CALL_TIMEOUT_MS);
    ProgressStore::new(platform.key_value(CallRank::Refresh), key(model, "progress"))
        .load(deadline)
        .await
}

fn key(model: &ModelId, name: &str) -> Key {
    let text = format!("yuccapass/rollouts/{model}/{name}");
    text.parse().expect("a prefix and a model's name are a valid key")
}

async fn look_after(rollouts: Arc<Rollouts>, model: ModelId) {
    let lock = Arc::new(rollouts.new_lock(&model));
    let mut looks = 0;
    loop {
        rollouts.pause(LOOK_PERIOD_MS).await;
        looks += 1;
        let is_candidate = rollouts.core.members.is_among_first(DRIVERS_PER_ZONE);
        if !is_candidate || !rollouts.has_work(&model, looks % LOOKS_PER_READ == 0).await {
            continue;
        }
        match lock.step(rollouts.call_deadline()).await {
            Ok(LockStatus::Held(_)) => {
                session::drive(&rollouts, &lock, &model).await;
                // The lease ends by itself if this fails.
                let _ = lock.release(rollouts.call_deadline()).await;
            }
            Ok(LockStatus::HeldByOther) => {}
            Err(error) => log::debug!("the lock of a rollout cannot be acquired: {error}"),
        }
        rollouts.pause(LOCK_PAUSE_MS).await;
    }
}

impl Rollouts {
    fn new_lock(&self, model: &ModelId) -> LeaseLock {
        let node = self.core.members.identity().node.clone();
        let key_value = self.platform.key_value(CallRank::Lease);
        LeaseLock::new(key_value, &key(model, "lock"), node, LeaseTerms::new(LEASE_MS))
            .expect("a model's name leaves room in a key")
    }

    /// Returns whether the reports, or the written progress, show that a driver is needed.
    async fn has_work(&self, model: &ModelId, reads_progress: bool) -> bool {
        let active = self.core.configuration.active();
        let document = active.document();
        let Some(found) = document.model(model) else { return false };
        if unexpected_version(document, found, &self.reports(document, found)).is_some() {
            return true;
        }
        if !reads_progress {
            return false;
        }
        let progress = read_progress(&self.platform, model).await.ok().flatten();
        progress.is_some_and(|progress| progress.state() != RolloutState::Finished)
    }

    fn reports(&self, document: &Document, model: &Model) -> ReplicaReports {
        let mut reports = ReplicaReports::new();
        for endpoint in document.endpoints_of(&model.id) {
            if let Some(report) = self.core.endpoints.replica_report(endpoint) {
                reports.insert(endpoint.id.clone(), report);
            }
        }
        reports
    }

    fn call_deadline(&self) -> Deadline {
        Deadline::after_ms(self.core.clock.now(), CALL_TIMEOUT_MS)
    }

    async fn pause(&self, ms: u64) {
        let deadline = Deadline::after_ms(self.core.clock.now(), ms);
        sleep_until(&*self.core.clock, deadline).await;
    }
}
