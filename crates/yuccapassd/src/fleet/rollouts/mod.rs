//! Rolls out to the model endpoints the versions that the active configuration specifies.
//!
//! A few nodes of each zone are candidate drivers for each model. The one that holds the model's
//! lock in the platform drives the rollout; if it fails, another one continues from the stored
//! progress. `yuccapass_decisions::rollout` makes the decisions, and [`session`] carries them out.

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

use crate::fleet::ConfigurationFetcher;
use crate::request_handler::Core;

/// Number of nodes in a zone that may drive rollouts: one, and one as a standby.
const CANDIDATES_PER_ZONE: usize = 2;

/// Duration of the lease on a rollout lock. A rollout pauses for this long after its driver failed.
const LEASE_MS: u64 = 10_000;

/// Period of comparing the endpoints' reports with the active configuration.
const CHECK_PERIOD_MS: u64 = 500;

/// Number of checks per read of the stored progress while the reports show nothing to do. The read
/// finds a rollout whose driver failed after its last order.
const CHECKS_PER_PROGRESS_READ: u32 = 20;

/// Pause before acquiring a lock again that another node holds, and after a failure.
const LOCK_RETRY_MS: u64 = 2_000;

/// Timeout of a platform call.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// State shared by the rollout tasks of all models.
pub(crate) struct Rollouts {
    pub(crate) core: Arc<Core>,
    pub(crate) fetcher: Arc<ConfigurationFetcher>,
    pub(crate) platform: Arc<PlatformClient>,
    pub(crate) drain_limit_ms: u64,
    pub(crate) load_limit_ms: u64,
}

/// Runs a rollout task for each model of the active configuration; never returns.
pub(crate) async fn run_rollouts(rollouts: Arc<Rollouts>) {
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
                task::spawn(run_model(Arc::clone(&rollouts), model.id.clone()))
            });
        }
        rollouts.pause(CHECK_PERIOD_MS).await;
    }
}

/// Reads the stored progress of a model's rollout.
pub(crate) async fn read_progress(
    platform: &Arc<PlatformClient>,
    model: &ModelId,
) -> Result<Option<Progress>, PlatformError> {
    let deadline = Deadline::after_ms(platform.clock().now(), CALL_TIMEOUT_MS);
    ProgressStore::new(platform.key_value(CallRank::Refresh), rollout_key(model, "progress"))
        .load(deadline)
        .await
}

/// Returns the platform key of a model's rollout state.
fn rollout_key(model: &ModelId, name: &str) -> Key {
    let text = format!("yuccapass/rollouts/{model}/{name}");
    text.parse().expect("a prefix and a model's name are a valid key")
}

/// Drives the rollouts of one model whenever this node holds the model's lock.
async fn run_model(rollouts: Arc<Rollouts>, model: ModelId) {
    let lock = Arc::new(rollouts.new_lock(&model));
    let mut checks = 0;
    loop {
        rollouts.pause(CHECK_PERIOD_MS).await;
        checks += 1;
        let is_candidate = rollouts.core.members.is_among_first(CANDIDATES_PER_ZONE);
        if !is_candidate
            || !rollouts.needs_driver(&model, checks % CHECKS_PER_PROGRESS_READ == 0).await
        {
            continue;
        }
        match lock.step(rollouts.call_deadline()).await {
            Ok(LockStatus::Held(_)) => {
                session::drive(&rollouts, &lock, &model).await;
                // If the release fails, the lease expires.
                let _ = lock.release(rollouts.call_deadline()).await;
            }
            Ok(LockStatus::HeldByOther) => {}
            Err(error) => log::debug!("cannot acquire the lock of the rollout of {model}: {error}"),
        }
        rollouts.pause(LOCK_RETRY_MS).await;
    }
}

impl Rollouts {
    fn new_lock(&self, model: &ModelId) -> LeaseLock {
        let node = self.core.members.identity().node.clone();
        let key_value = self.platform.key_value(CallRank::Lease);
        LeaseLock::new(key_value, &rollout_key(model, "lock"), node, LeaseTerms::new(LEASE_MS))
            .expect("a model's name leaves room in a key")
    }

    /// Returns whether the reports or, with `reads_progress`, the stored progress show a rollout to
    /// drive.
    async fn needs_driver(&self, model: &ModelId, reads_progress: bool) -> bool {
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
