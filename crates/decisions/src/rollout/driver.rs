//! The driver of a rollout, as a state machine.

use yuccapass_types::{Deadline, EndpointId, FencingNumber, Incarnation, Instant, SortedMap};

use crate::platform_budget::LeasePermit;

use super::action::{Action, DriverOutcome, OrderId, OrderResult, WriteOutcome};
use super::orders;
use super::plan::Target;
use super::progress::{Progress, ReplicaProgress, RolloutState, Step, StopReason};
use super::replica::{ReplicaReport, ReplicaState};

/// Age beyond which a report no longer shows that a replica serves requests.
const MAX_REPORT_AGE_MS: u64 = 10_000;

/// Interval at which the reports are checked.
const POLL_MS: u64 = 250;

/// Number of restarts of a replica that are tolerated before it counts as failed.
const MAX_RESTARTS: u32 = 3;

/// The state of this driver's order for the current step of a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    // When the replica entered the step.
    entered: Instant,
    // The order that has been sent and not answered, and its timeout.
    pub(super) outstanding: Option<(OrderId, Deadline)>,
    pub(super) retry_at: Instant,
    // When the replica confirmed the order.
    pub(super) confirmed: Option<Instant>,
}

impl Attempt {
    fn new(now: Instant) -> Self {
        Self { entered: now, outstanding: None, retry_at: now, confirmed: None }
    }
}

/// Whether the progress has been written to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Clean,
    Dirty,
    Writing,
}

/// The latest reports of a model's replicas.
pub type ReplicaReports = SortedMap<EndpointId, ReplicaReport>;

/// A driver of one rollout.
///
/// The caller calls [`Driver::next_actions`] whenever a result arrives or the time of
/// [`Action::WaitUntil`] has come, carries out the actions, and passes their results back.
/// Immediately before it sends an order it checks the permit of its lease again.
#[derive(Debug, Clone)]
pub struct Driver {
    pub(super) progress: Progress,
    pub(super) fencing: FencingNumber,
    write: WriteState,
    pub(super) attempts: SortedMap<EndpointId, Attempt>,
    pub(super) last_order: OrderId,
    // The process that was drained; after a restart the replica takes new requests again.
    drained: SortedMap<EndpointId, Incarnation>,
    outcome: Option<DriverOutcome>,
}

impl Driver {
    /// Continues from the written progress, with the permit of a lease that was just acquired.
    ///
    /// Replicas that were swapping are drained again, since this driver does not know whether they
    /// have restarted.
    pub fn resume(mut progress: Progress, permit: LeasePermit) -> Self {
        for replica in &mut progress.replicas {
            if matches!(replica.step, Step::Swapping | Step::Returning) {
                replica.step = Step::Draining;
            }
        }
        let outcome = (progress.fencing > permit.fencing).then_some(DriverOutcome::Superseded);
        progress.fencing = progress.fencing.max(permit.fencing);
        Self {
            progress,
            fencing: permit.fencing,
            write: WriteState::Dirty,
            attempts: SortedMap::new(),
            last_order: OrderId::default(),
            drained: SortedMap::new(),
            outcome,
        }
    }

    /// Returns the progress, which may not have been written yet.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Returns how the driver ended, if it has.
    pub fn outcome(&self) -> Option<DriverOutcome> {
        self.outcome
    }

    /// Returns the replicas that are still pending although more replicas may be out of service:
    /// they have no recent report, were taken out of service by somebody else, or are the last ones
    /// that serve requests.
    ///
    /// The caller reports them to the operators if they stay the same for long.
    pub fn blocked_replicas(&self) -> Vec<&EndpointId> {
        let out_of_service = self.progress.count(|replica| replica.step.is_out_of_service());
        if out_of_service >= self.progress.plan.max_swapping {
            return Vec::new();
        }
        let pending = self.progress.replicas.iter().filter(|replica| replica.step == Step::Pending);
        pending.map(|replica| &replica.endpoint).collect()
    }

    /// Rolls back to the previous state, also after the rollout has finished or stopped.
    ///
    /// A replica gets no new order until an outstanding one has been answered or has timed out, so
    /// that it does not carry out the older one last.
    pub fn roll_back(&mut self, now: Instant) {
        self.progress.roll_back();
        self.restart(now);
    }

    /// Changes the target and the replicas, also after the rollout has finished or stopped.
    ///
    /// As with [`Driver::roll_back`], a replica gets no new order while another one is outstanding.
    pub fn retarget(
        &mut self,
        target: Target,
        endpoints: impl IntoIterator<Item = EndpointId>,
        now: Instant,
    ) {
        self.progress.retarget(target, endpoints);
        self.restart(now);
    }

    fn restart(&mut self, now: Instant) {
        if matches!(self.outcome, Some(DriverOutcome::Finished | DriverOutcome::Stopped(_))) {
            self.outcome = None;
        }
        for attempt in self.attempts.values_mut() {
            let free_at = attempt.outstanding.map_or(now, |(_, limit)| limit.instant());
            *attempt = Attempt { retry_at: free_at.max(now), ..Attempt::new(now) };
        }
        self.drained = SortedMap::new();
        // A write in progress is followed by another one.
        if self.write == WriteState::Clean {
            self.write = WriteState::Dirty;
        }
    }

    /// Handles the outcome of [`Action::WriteProgress`]; `written` is the progress of that action.
    pub fn progress_written(&mut self, written: &Progress, outcome: WriteOutcome) {
        self.write = match outcome {
            WriteOutcome::Written if *written == self.progress => WriteState::Clean,
            WriteOutcome::Written | WriteOutcome::NotWritten => WriteState::Dirty,
            WriteOutcome::Conflict => {
                self.outcome = Some(DriverOutcome::Superseded);
                WriteState::Dirty
            }
        };
    }

    /// Handles the result of [`Action::SendOrder`].
    pub fn order_answered(
        &mut self,
        endpoint: &EndpointId,
        id: OrderId,
        result: OrderResult,
        now: Instant,
    ) {
        if result == OrderResult::Fenced {
            self.outcome = Some(DriverOutcome::Superseded);
        }
        orders::record_result(self, endpoint, id, result, now);
    }

    /// Advances the rollout according to the reports and returns the actions to carry out next.
    ///
    /// `permit` is that of the driver's lease at `now`, or `None` if the lease no longer holds.
    pub fn next_actions(
        &mut self,
        now: Instant,
        permit: Option<LeasePermit>,
        reports: &ReplicaReports,
    ) -> Vec<Action> {
        if let Some(outcome) = self.outcome {
            return vec![Action::Report(outcome)];
        }
        let Some(permit) = permit.filter(|permit| permit.fencing == self.fencing) else {
            return self.end(DriverOutcome::LeaseLost);
        };
        let next_poll = Deadline::after_ms(now, POLL_MS).earlier(permit.deadline).instant();
        if self.write == WriteState::Writing {
            return vec![Action::WaitUntil(next_poll)];
        }
        self.advance(now, reports);
        if self.write == WriteState::Dirty {
            self.write = WriteState::Writing;
            return vec![Action::WriteProgress(Box::new(self.progress.clone()))];
        }
        match self.progress.state {
            RolloutState::Finished => self.end(DriverOutcome::Finished),
            RolloutState::Stopped(reason) => self.end(DriverOutcome::Stopped(reason)),
            RolloutState::Running | RolloutState::Stopping(_) => {
                let mut actions = orders::due_orders(self, permit, now);
                actions.push(Action::WaitUntil(next_poll));
                actions
            }
        }
    }

    fn end(&mut self, outcome: DriverOutcome) -> Vec<Action> {
        self.outcome = Some(outcome);
        vec![Action::Report(outcome)]
    }

    fn advance(&mut self, now: Instant, reports: &ReplicaReports) {
        for index in 0..self.progress.replicas.len() {
            let report = reports.get(&self.progress.replicas[index].endpoint);
            if let Some(step) = self.next_step(index, report, now) {
                self.enter(index, step, now);
            }
        }
        if self.progress.state == RolloutState::Running {
            if self.has_too_many_failures() {
                self.set_state(RolloutState::Stopping(StopReason::TooManyFailures));
            } else {
                self.begin_replicas(now, reports);
            }
        }
        self.check_end();
    }

    fn next_step(
        &mut self,
        index: usize,
        report: Option<&ReplicaReport>,
        now: Instant,
    ) -> Option<Step> {
        let replica = &self.progress.replicas[index];
        let (step, endpoint) = (replica.step, replica.endpoint.clone());
        if step == Step::Pending {
            let report = report.filter(|report| is_fresh(report, now))?;
            let serves_target = self.progress.target().is_met_by(report)
                && report.state != ReplicaState::Leaving
                && !replica.may_be_loading;
            return serves_target.then_some(Step::Done);
        }
        if !matches!(step, Step::Draining | Step::Swapping | Step::Returning) {
            return None;
        }
        let attempt = *self.attempts.get_or_insert_with(endpoint.clone(), || Attempt::new(now));
        if self.has_timed_out(step, &attempt, now) {
            return Some(Step::Failed);
        }
        // Only a report from after the confirmation shows the effect of the order.
        let report = report.filter(|report| {
            attempt.confirmed.is_some_and(|confirmed| report.reported_at >= confirmed)
        })?;
        match step {
            Step::Draining => self.after_draining(index, report, now),
            Step::Swapping => self.after_swapping(index, report),
            _ => self.after_returning(index, report, now),
        }
    }

    fn has_timed_out(&self, step: Step, attempt: &Attempt, now: Instant) -> bool {
        let limit_ms = match step {
            Step::Draining => self.progress.plan.drain_limit_ms,
            _ => self.progress.plan.load_limit_ms,
        };
        now.ms_since(attempt.entered) >= limit_ms
    }

    fn after_draining(
        &mut self,
        index: usize,
        report: &ReplicaReport,
        now: Instant,
    ) -> Option<Step> {
        let replica = &self.progress.replicas[index];
        if report.state != ReplicaState::Leaving {
            // The replica has restarted since it confirmed the order.
            if let Some(attempt) = self.attempts.get_mut(&replica.endpoint) {
                attempt.confirmed = None;
                attempt.retry_at = now;
            }
            return None;
        }
        if report.unfinished_requests > 0 {
            return None;
        }
        let others_loading =
            self.progress.count(|other| other.may_be_loading && other.endpoint != replica.endpoint);
        if others_loading >= self.progress.plan.max_loads {
            return None;
        }
        self.drained.insert(replica.endpoint.clone(), report.incarnation);
        Some(Step::Swapping)
    }

    fn after_swapping(&mut self, index: usize, report: &ReplicaReport) -> Option<Step> {
        let target_is_met = self.progress.target().is_met_by(report);
        let replica = &mut self.progress.replicas[index];
        if self.drained.get(&replica.endpoint) != Some(&report.incarnation) {
            replica.restarts += 1;
            let is_failed = replica.restarts > MAX_RESTARTS;
            return Some(if is_failed { Step::Failed } else { Step::Draining });
        }
        target_is_met.then_some(Step::Returning)
    }

    fn after_returning(
        &mut self,
        index: usize,
        report: &ReplicaReport,
        now: Instant,
    ) -> Option<Step> {
        if !self.progress.target().is_met_by(report) {
            // The replica has restarted with another version.
            let replica = &mut self.progress.replicas[index];
            replica.restarts += 1;
            let is_failed = replica.restarts > MAX_RESTARTS;
            return Some(if is_failed { Step::Failed } else { Step::Draining });
        }
        let serves = report.state != ReplicaState::Leaving && is_fresh(report, now);
        serves.then_some(Step::Done)
    }

    fn enter(&mut self, index: usize, step: Step, now: Instant) {
        let replica = &mut self.progress.replicas[index];
        match step {
            Step::Swapping => replica.may_be_loading = true,
            Step::Returning | Step::Done => replica.may_be_loading = false,
            _ => {}
        }
        replica.step = step;
        // A delay that a rollback has set outlasts the change of the step.
        let earlier = self.attempts.get(&replica.endpoint).map_or(now, |attempt| attempt.retry_at);
        let attempt = Attempt { retry_at: earlier.max(now), ..Attempt::new(now) };
        self.attempts.insert(replica.endpoint.clone(), attempt);
        self.write = WriteState::Dirty;
    }

    fn has_too_many_failures(&self) -> bool {
        let plan = &self.progress.plan;
        let failures = self.progress.count(|replica| replica.step == Step::Failed);
        let blocked_loads =
            self.progress.count(|replica| replica.step == Step::Failed && replica.may_be_loading);
        // Failed replicas stay out of service, so the rollout cannot go on once they use up a
        // limit.
        failures > plan.max_failures
            || failures >= plan.max_swapping
            || blocked_loads >= plan.max_loads
    }

    fn begin_replicas(&mut self, now: Instant, reports: &ReplicaReports) {
        let serves = |replica: &ReplicaProgress| {
            !replica.step.is_out_of_service()
                && reports.get(&replica.endpoint).is_some_and(|report| {
                    is_fresh(report, now) && report.state == ReplicaState::Warm
                })
        };
        let mut out_of_service = self.progress.count(|replica| replica.step.is_out_of_service());
        let mut serving = self.progress.count(serves);
        for index in 0..self.progress.replicas.len() {
            let replica = &self.progress.replicas[index];
            if out_of_service >= self.progress.plan.max_swapping {
                return;
            }
            let report = reports.get(&replica.endpoint);
            // A replica that somebody else has taken out of service is skipped.
            let may_begin = replica.step == Step::Pending
                && report.is_some_and(|report| {
                    is_fresh(report, now) && report.state != ReplicaState::Leaving
                });
            let remaining = serving - u32::from(serves(replica));
            if may_begin && remaining >= self.progress.plan.min_serving {
                self.enter(index, Step::Draining, now);
                out_of_service += 1;
                serving = remaining;
            }
        }
    }

    fn check_end(&mut self) {
        let progress = &self.progress;
        let all_done = progress.replicas.iter().all(|replica| replica.step == Step::Done);
        let in_flight = progress
            .count(|replica| replica.step.is_out_of_service() && replica.step != Step::Failed);
        match progress.state {
            RolloutState::Running if all_done => self.set_state(RolloutState::Finished),
            RolloutState::Stopping(reason) if in_flight == 0 => {
                self.set_state(RolloutState::Stopped(reason));
            }
            _ => {}
        }
    }

    fn set_state(&mut self, state: RolloutState) {
        self.progress.state = state;
        self.write = WriteState::Dirty;
    }
}

fn is_fresh(report: &ReplicaReport, now: Instant) -> bool {
    now.ms_since(report.reported_at) <= MAX_REPORT_AGE_MS
}
