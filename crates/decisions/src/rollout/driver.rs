//! The state machine of a rollout's driver.

use yuccapass_types::{Deadline, EndpointId, FencingNumber, Incarnation, Instant, SortedMap};

use crate::platform_budget::LeasePermit;

use super::action::{Action, DriverOutcome, OrderId, OrderResult, WriteOutcome};
use super::orders;
use super::plan::Target;
use super::progress::{Progress, ReplicaProgress, RolloutState, Step, StopReason};
use super::replica::{ReplicaReport, ReplicaState};

/// Age at which a report no longer shows that a replica serves.
const REPORT_LIMIT_MS: u64 = 10_000;

/// Time between two looks at the reports.
const POLL_MS: u64 = 250;

/// How often a replica may restart before it counts as failed.
const MAX_RESTARTS: u32 = 3;

/// What this driver knows of its own orders for the present step of a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    entered: Instant,
    // The order that is on its way, and until when.
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Clean,
    Dirty,
    Writing,
}

/// The reports of a model's replicas.
pub type ReplicaReports = SortedMap<EndpointId, ReplicaReport>;

/// A driver of one rollout.
///
/// The owner calls [`Driver::step`] whenever a result arrives or the time of
/// [`Action::WaitUntil`] comes, carries out the actions, and passes on their results. Immediately
/// before it sends an order it asks its lease for the permit again.
#[derive(Debug, Clone)]
pub struct Driver {
    pub(super) progress: Progress,
    pub(super) fencing: FencingNumber,
    write: WriteState,
    pub(super) attempts: SortedMap<EndpointId, Attempt>,
    pub(super) last_order: OrderId,
    // The process that was drained; a restarted one takes new work again.
    drained: SortedMap<EndpointId, Incarnation>,
    outcome: Option<DriverOutcome>,
}

impl Driver {
    /// Continues from the written progress, under the permit of a lease just acquired.
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

    /// Returns the progress, some of which may not be written yet.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Returns how the driver's work ended, if it has.
    pub fn outcome(&self) -> Option<DriverOutcome> {
        self.outcome
    }

    /// Returns the replicas that have not begun although the limit of those out of service leaves
    /// room: they are not reported, taken out of service by somebody else, or the last to serve.
    ///
    /// The owner tells the operators if they stay the same for long.
    pub fn blocked_replicas(&self) -> Vec<&EndpointId> {
        let out_of_service = self.progress.count(|replica| replica.step.is_out_of_service());
        if out_of_service >= self.progress.plan.max_swapping {
            return Vec::new();
        }
        let pending = self.progress.replicas.iter().filter(|replica| replica.step == Step::Pending);
        pending.map(|replica| &replica.endpoint).collect()
    }

    /// Turns the rollout back to the earlier state, also after it has finished or stopped.
    ///
    /// A replica gets no new order before an order that is on its way to it has ended, so that it
    /// does not carry out the older one last.
    pub fn roll_back(&mut self, now: Instant) {
        self.progress.roll_back();
        self.begin_anew(now);
    }

    /// Changes the target and the replicas, also after the rollout has finished or stopped.
    ///
    /// As with [`Driver::roll_back`], a replica gets no new order before one that is on its way to
    /// it has ended.
    pub fn retarget(
        &mut self,
        target: Target,
        endpoints: impl IntoIterator<Item = EndpointId>,
        now: Instant,
    ) {
        self.progress.retarget(target, endpoints);
        self.begin_anew(now);
    }

    fn begin_anew(&mut self, now: Instant) {
        if matches!(self.outcome, Some(DriverOutcome::Finished | DriverOutcome::Stopped(_))) {
            self.outcome = None;
        }
        for attempt in self.attempts.values_mut() {
            let free_at = attempt.outstanding.map_or(now, |(_, limit)| limit.instant());
            *attempt = Attempt { retry_at: free_at.max(now), ..Attempt::new(now) };
        }
        self.drained = SortedMap::new();
        // A write that is under way is followed by another one.
        if self.write == WriteState::Clean {
            self.write = WriteState::Dirty;
        }
    }

    /// Takes the outcome of [`Action::WriteProgress`] for the progress that was written.
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

    /// Takes the result of [`Action::SendOrder`].
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
        orders::answered(self, endpoint, id, result, now);
    }

    /// Decides what to do next. `permit` is the driver's right to act at `now`, if it still has it.
    pub fn step(
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
        let next_look = Deadline::after_ms(now, POLL_MS).earlier(permit.deadline).instant();
        if self.write == WriteState::Writing {
            return vec![Action::WaitUntil(next_look)];
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
                let mut actions = orders::due(self, permit, now);
                actions.push(Action::WaitUntil(next_look));
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
            if self.has_failed_too_often() {
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
        if self.is_too_late(step, &attempt, now) {
            return Some(Step::Failed);
        }
        // Only a report of the time after the order shows its effect.
        let report = report.filter(|report| {
            attempt.confirmed.is_some_and(|confirmed| report.reported_at >= confirmed)
        })?;
        match step {
            Step::Draining => self.after_draining(index, report, now),
            Step::Swapping => self.after_swapping(index, report),
            _ => self.after_returning(index, report, now),
        }
    }

    fn is_too_late(&self, step: Step, attempt: &Attempt, now: Instant) -> bool {
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
            // It has restarted since it confirmed the order.
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
            let is_over = replica.restarts > MAX_RESTARTS;
            return Some(if is_over { Step::Failed } else { Step::Draining });
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
            // It has restarted with another version.
            let replica = &mut self.progress.replicas[index];
            replica.restarts += 1;
            let is_over = replica.restarts > MAX_RESTARTS;
            return Some(if is_over { Step::Failed } else { Step::Draining });
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
        // A pause after turning back outlasts the change of the step.
        let earlier = self.attempts.get(&replica.endpoint).map_or(now, |attempt| attempt.retry_at);
        let attempt = Attempt { retry_at: earlier.max(now), ..Attempt::new(now) };
        self.attempts.insert(replica.endpoint.clone(), attempt);
        self.write = WriteState::Dirty;
    }

    fn has_failed_too_often(&self) -> bool {
        let plan = &self.progress.plan;
        let failures = self.progress.count(|replica| replica.step == Step::Failed);
        let blocked_loads =
            self.progress.count(|replica| replica.step == Step::Failed && replica.may_be_loading);
        // Failed replicas stay out of service, so the rollout could not go on if they take all
        // places.
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
            // A replica that somebody else has taken out of service is left alone.
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
    now.ms_since(report.reported_at) <= REPORT_LIMIT_MS
}
