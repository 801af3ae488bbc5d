//! Which stage of an order follows.

use yuccapass_types::{SoftwareVersion, TrafficShare};

use super::exposure::slack_holders;
use super::judge::Verdict;
use super::limits::RolloutLimits;
use super::order::RolloutOrder;
use super::progress::{RollbackReason, RolloutProgress, Stage};

/// Share of the target while it is observed, as a part of the share that a bad version may get. The
/// rest is for the raises, in which a version may still turn bad.
const OBSERVED_PART: f64 = 0.6;

/// Shares of the target in the raises, as multiples of the share that a bad version may get.
const RAISED_PARTS: [f64; 2] = [2.0, 5.0];

/// The part of the slack that the target may get in addition while it is observed, at a service with
/// few requests.
const QUIET_SLACK: f64 = 0.25;

/// Maximum share of the target at a service with few requests.
const MAX_QUIET_SHARE: f64 = 0.5;

/// How long the requests are counted before the share of a quiet service is set.
const QUIET_AFTER_MS: u64 = 1_000;

/// How long a raise lasts, as a part of the order's time; with these parts, the raises take 0.49 of what
/// a bad version may get.
const HOLD_PART: f64 = 0.07;

/// Minimum time of a raise: the evidence of all nodes takes about a second.
const MIN_HOLD_MS: u64 = 1_000;

/// Time in which the requests at the old versions end, and a reserve for another holder to take over.
const FINISH_MS: u64 = 3_000;

/// Maximum part of an order's time for the raises and the end.
const MAX_FINISH_PART: f64 = 0.5;

/// Minimum time for which the target is observed, also after the order's time.
const MIN_OBSERVED_MS: u64 = 1_500;

/// Minimum time from the last step to the completion, in which requests that nodes were about to send
/// are counted.
const SETTLE_MS: u64 = 500;

/// Answers of the target without which it is completed only at the end of the order's time: a quiet
/// service gives most of its answers when the target gets all requests, and can still be rolled back.
const MIN_JUDGED_ANSWERS: u64 = 60;

/// How long before the end of its time such an order is completed.
const QUIET_RESERVE_MS: u64 = 1_500;

/// How long the completion waits for nodes that do not report.
const UNREPORTED_MS: u64 = 4_000;

/// What the holder knows about an order.
#[derive(Debug, Clone)]
pub struct FleetView<'a> {
    /// The operators' order; `None` if there is none.
    pub order: Option<&'a RolloutOrder>,
    /// The progress that was written last.
    pub progress: Option<&'a RolloutProgress>,
    /// Time since the order.
    pub elapsed_ms: u64,
    /// Number of endpoints of the target that can take requests.
    pub ready_targets: usize,
    /// The other versions of the registered endpoints.
    pub base_versions: &'a [SoftwareVersion],
    /// What the answers say.
    pub verdict: Verdict,
    /// Number of answers of the target in that verdict.
    pub target_answers: u64,
    /// Number of nodes.
    pub nodes: u32,
    /// Requests that all nodes have sent to the service since the order.
    pub sent: u64,
    /// Requests that have not ended at endpoints of other versions.
    pub outstanding_base: u64,
    /// Number of nodes that have not reported that they follow the last step.
    pub unreported_nodes: usize,
    /// Whether a node has stopped sending to the target by itself.
    pub has_alarm: bool,
}

/// Returns the next step of an order, or `None` while nothing changes.
pub fn next_progress(view: &FleetView<'_>, limits: &RolloutLimits) -> Option<RolloutProgress> {
    let known = view.progress;
    if let Some(order) = view.order
        && known.is_none_or(|known| known.order < order.id)
    {
        return Some(RolloutProgress::first(order, known));
    }
    let progress = known.filter(|known| !known.stage.is_final())?;
    if view.order.is_none() {
        return Some(progress.roll_back(RollbackReason::Withdrawn, view.elapsed_ms));
    }
    if let Some(reason) = bad_reason(view) {
        return Some(progress.roll_back(reason, view.elapsed_ms));
    }
    match progress.stage {
        Stage::Waiting => leave_waiting(progress, view, limits),
        Stage::Observing => leave_observing(progress, view, limits),
        Stage::Raising(raise) => leave_raise(progress, raise, view, limits),
        Stage::Full => complete(progress, view),
        Stage::Completed | Stage::RolledBack(_) => None,
    }
}

fn bad_reason(view: &FleetView<'_>) -> Option<RollbackReason> {
    match view.verdict {
        Verdict::Bad(reason) => Some(reason),
        _ => view.has_alarm.then_some(RollbackReason::NodeAlarm),
    }
}

fn leave_waiting(
    progress: &RolloutProgress,
    view: &FleetView<'_>,
    limits: &RolloutLimits,
) -> Option<RolloutProgress> {
    if view.ready_targets == 0 {
        let has_ended = view.elapsed_ms >= progress.duration_ms;
        return has_ended.then(|| progress.roll_back(RollbackReason::NoEndpoints, view.elapsed_ms));
    }
    // Without another version there is nothing to compare with, and nothing else to use.
    if view.base_versions.is_empty() {
        return Some(progress.enter(Stage::Full, TrafficShare::ALL, view.elapsed_ms));
    }
    Some(progress.enter(Stage::Observing, part(limits, OBSERVED_PART), view.elapsed_ms))
}

fn leave_observing(
    progress: &RolloutProgress,
    view: &FleetView<'_>,
    limits: &RolloutLimits,
) -> Option<RolloutProgress> {
    let observed_ms = view.elapsed_ms.saturating_sub(progress.stage_from_ms);
    let is_over = view.elapsed_ms >= observed_until_ms(progress.duration_ms)
        && observed_ms >= MIN_OBSERVED_MS;
    if is_over && view.verdict == Verdict::Sound && view.ready_targets > 0 {
        return Some(raise(progress, 0, view, limits));
    }
    let share = quiet_share(progress, view, limits);
    let is_first_share = progress.share == part(limits, OBSERVED_PART);
    // Once, and only for a large difference, because every step is read by all nodes.
    let is_quiet = share.fraction() > 2.0 * progress.share.fraction();
    (is_first_share && is_quiet && observed_ms >= QUIET_AFTER_MS && view.elapsed_ms > 0)
        .then(|| progress.enter(Stage::Observing, share, view.elapsed_ms))
}

fn leave_raise(
    progress: &RolloutProgress,
    current: u8,
    view: &FleetView<'_>,
    limits: &RolloutLimits,
) -> Option<RolloutProgress> {
    let held_ms = view.elapsed_ms.saturating_sub(progress.stage_from_ms);
    let hold_ms = hold_ms(progress.duration_ms);
    let is_followed = view.unreported_nodes == 0 || held_ms >= 2 * hold_ms;
    let is_over = held_ms >= hold_ms && is_followed;
    (is_over && view.verdict == Verdict::Sound && view.ready_targets > 0)
        .then(|| raise(progress, current + 1, view, limits))
}

/// Returns the step that begins a raise; after the last one, the target gets all requests.
fn raise(
    progress: &RolloutProgress,
    raise: u8,
    view: &FleetView<'_>,
    limits: &RolloutLimits,
) -> RolloutProgress {
    match RAISED_PARTS.get(usize::from(raise)) {
        Some(&of_limit) => {
            let share = part(limits, of_limit).max(progress.share);
            progress.enter(Stage::Raising(raise), share, view.elapsed_ms)
        }
        None => progress.enter(Stage::Full, TrafficShare::ALL, view.elapsed_ms),
    }
}

fn complete(progress: &RolloutProgress, view: &FleetView<'_>) -> Option<RolloutProgress> {
    let full_ms = view.elapsed_ms.saturating_sub(progress.stage_from_ms);
    let is_reported = view.unreported_nodes == 0 || full_ms >= UNREPORTED_MS;
    let is_judged = view.target_answers >= MIN_JUDGED_ANSWERS
        || view.elapsed_ms + QUIET_RESERVE_MS >= progress.duration_ms;
    let is_settled = is_judged && full_ms >= SETTLE_MS && is_reported && view.outstanding_base == 0;
    (is_settled && view.verdict == Verdict::Sound && view.ready_targets > 0)
        .then(|| progress.complete(view.base_versions, view.elapsed_ms))
}

/// Returns the share with which a service with few requests gives enough answers to judge.
fn quiet_share(
    progress: &RolloutProgress,
    view: &FleetView<'_>,
    limits: &RolloutLimits,
) -> TrafficShare {
    let projection = progress.duration_ms as f64 / view.elapsed_ms.max(1) as f64;
    let requests = view.sent.max(1) as f64 * projection.max(1.0);
    // Nodes whose part of the slack is nothing send no such requests.
    let of_slack =
        QUIET_SLACK * limits.expose_slack / (requests * slack_holders(limits, view.nodes));
    let share = part(limits, OBSERVED_PART).fraction() + of_slack;
    TrafficShare::from_fraction(share.min(MAX_QUIET_SHARE))
}

fn part(limits: &RolloutLimits, part: f64) -> TrafficShare {
    TrafficShare::from_fraction(limits.expose_share.fraction() * part)
}

fn hold_ms(duration_ms: u64) -> u64 {
    ((duration_ms as f64 * HOLD_PART) as u64).max(MIN_HOLD_MS)
}

/// Returns until when the target is only observed: the raises and the end take the rest.
fn observed_until_ms(duration_ms: u64) -> u64 {
    let finish_ms = RAISED_PARTS.len() as u64 * hold_ms(duration_ms) + FINISH_MS;
    let limit_ms = (duration_ms as f64 * MAX_FINISH_PART) as u64;
    duration_ms.saturating_sub(finish_ms.min(limit_ms))
}
