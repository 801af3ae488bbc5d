//! Reads the progress of orders, which the holder writes.

use std::sync::Arc;

use async_std::task;
use yuccapass_decisions::gateway::relay::TopicClass;
use yuccapass_decisions::gateway::version_rollout::RolloutProgress;
use yuccapass_decisions::platform_budget::CallPurpose;
use yuccapass_platform::{Change, ChangeKind, Entry, PlatformClient};
use yuccapass_types::ServiceId;

use super::{STEP_KEYS, name_in};
use crate::state::Shared;
use crate::watch::{Confirmation, WatchHandler, WatchSettings, watch_prefix};

/// How long one watch call waits while no order is under way.
const IDLE_WATCH_MS: u64 = 5_000;

/// The time for which a step counts, less the time of calls and the age of what relays know, covers
/// this many watch calls.
const CALLS_PER_STEP: u64 = 2;
const STEP_RESERVE_MS: u64 = 1_200;

/// Minimum time of a watch call, so that a small bound does not lead to calls in a tight loop.
const MIN_WATCH_MS: u64 = 100;

/// Starts the watch of the progress of orders.
pub(super) fn start(shared: &Arc<Shared>, platform: &Arc<PlatformClient>) {
    let settings = WatchSettings {
        prefix: STEP_KEYS.parse().expect("the prefix is a valid key"),
        watch_ms: IDLE_WATCH_MS,
        relay_watch_ms: Some(IDLE_WATCH_MS),
        pause_ms: 0,
        class: TopicClass::Urgent,
        purpose: CallPurpose::Rollouts,
    };
    let handler = Arc::new(StepHandler { shared: Arc::clone(shared) });
    task::spawn(watch_prefix(Arc::clone(shared), Arc::clone(platform), settings, handler));
}

struct StepHandler {
    shared: Arc<Shared>,
}

impl StepHandler {
    fn apply(&self, entry: &Entry) {
        let Some(name) = name_in(entry.key.as_str(), STEP_KEYS) else { return };
        let decoded: Result<RolloutProgress, _> = serde_json::from_slice(entry.value.as_bytes());
        match (name.parse::<ServiceId>(), decoded) {
            (Ok(service), Ok(progress)) => follow(&self.shared, &service, progress),
            (Err(error), _) => {
                log::warn!(key = entry.key.as_str(), error:%; "a step has no valid service");
            }
            (_, Err(error)) => {
                log::warn!(key = entry.key.as_str(), error:%; "a step could not be decoded");
            }
        }
    }
}

/// Follows a step, if it is newer than the one that is known.
pub(super) fn follow(shared: &Shared, service: &ServiceId, progress: RolloutProgress) {
    let now = shared.now();
    if shared.rollouts.set_progress(service, progress.clone(), now) {
        log::info!(
            service = service.as_str(), order = progress.order.get(), step = progress.step,
            target = progress.target.as_str(), stage:% = progress.stage,
            share:% = progress.share, elapsed_ms = progress.elapsed_ms;
            "this node follows a step of a roll-out"
        );
        shared.metrics.record_rollout_step(service, &progress);
    }
}

impl WatchHandler for StepHandler {
    fn replace(&self, entries: &[Entry]) {
        entries.iter().for_each(|entry| self.apply(entry));
    }

    fn change(&self, changes: &[Change]) {
        for change in changes {
            if let ChangeKind::Put(entry) = &change.kind {
                self.apply(entry);
            }
        }
    }

    fn relies_on_confirmations(&self) -> bool {
        true
    }

    fn confirmed(&self, confirmation: Confirmation) {
        self.shared.rollouts.confirm_steps(confirmation.known_until);
    }

    fn max_watch_ms(&self) -> Option<u64> {
        if self.shared.rollouts.active_services().is_empty() {
            return None;
        }
        let valid_ms = self.shared.options.rollout_limits.step_valid_ms();
        Some((valid_ms.saturating_sub(STEP_RESERVE_MS) / CALLS_PER_STEP).max(MIN_WATCH_MS))
    }
}
