//! A simulation of replicas, the platform and driver processes in virtual time.

use yuccapass_decisions::platform_budget::{LeaseHolder, LeaseTerms, RequestTime};
use yuccapass_decisions::rollout::{
    Action, Driver, DriverOutcome, OrderId, OrderResult, Plan, Progress, ReplicaOrder,
    ReplicaReport, ReplicaReports, ReplicaState, Role, Target, WriteOutcome,
};
use yuccapass_types::{EndpointId, FencingNumber, Incarnation, Instant, WeightVersion};

pub const LEASE_MS: u64 = 8_000;
const TICK_MS: u64 = 50;
const REPORT_EVERY_MS: u64 = 300;

/// Timeout of a rollout in virtual time; 8 replicas one by one with restarts take a few minutes.
const TIMEOUT_MS: u64 = 30 * 60 * 1_000;

#[derive(Debug, Clone)]
pub struct Replica {
    pub version: WeightVersion,
    pub leaving: bool,
    pub busy_until_ms: u64,
    pub loading: Option<(u64, WeightVersion)>,
    pub incarnation: u64,
    pub fails_to_load: bool,
    pub checks_fencing: bool,
    pub restarts_at_ms: Option<u64>,
    highest_fencing: FencingNumber,
}

/// A process that runs a driver under a lease.
pub struct DriverProcess {
    pub driver: Driver,
    pub lease: LeaseHolder,
    pub pending: Vec<Action>,
    revision: u64,
    /// Results of orders, with the time in milliseconds at which they arrive.
    results: Vec<(u64, EndpointId, OrderId, OrderResult)>,
}

pub struct Simulation {
    pub now_ms: u64,
    pub replicas: Vec<Replica>,
    /// The encoded progress on the platform.
    pub stored: Vec<u8>,
    /// Orders that replicas accepted, with the time in milliseconds.
    pub orders: Vec<(u64, FencingNumber, EndpointId, ReplicaOrder)>,
    stored_revision: u64,
    reports: ReplicaReports,
    max_swapping: usize,
    max_loads: usize,
}

pub fn version(text: &str) -> WeightVersion {
    text.parse().unwrap()
}

pub fn endpoint(index: usize) -> EndpointId {
    format!("replica-{index}").parse().unwrap()
}

pub fn plan(max_swapping: u32) -> Plan {
    let target = |text| Target::Version(version(text));
    Plan::new("m".parse().unwrap(), target("v1"), target("v2"), max_swapping).load_limit_ms(20_000)
}

impl Simulation {
    pub fn new(replica_count: usize, plan: Plan, max_swapping: usize, max_loads: usize) -> Self {
        let replica = Replica {
            version: version("v1"),
            leaving: false,
            busy_until_ms: 0,
            loading: None,
            incarnation: 1,
            fails_to_load: false,
            checks_fencing: false,
            restarts_at_ms: None,
            highest_fencing: FencingNumber::default(),
        };
        let progress = Progress::new(plan, (0..replica_count).map(endpoint));
        Self {
            now_ms: 1_000,
            replicas: vec![replica; replica_count],
            stored: progress.encode().unwrap(),
            orders: Vec::new(),
            stored_revision: 1,
            reports: ReplicaReports::new(),
            max_swapping,
            max_loads,
        }
    }

    pub fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    pub fn progress(&self) -> Progress {
        Progress::decode(&self.stored).unwrap()
    }

    pub fn versions(&self) -> Vec<&str> {
        self.replicas.iter().map(|replica| replica.version.as_str()).collect()
    }

    /// Starts a driver process with a lease that was just granted.
    pub fn start_driver(&self, fencing: u64) -> DriverProcess {
        let mut lease = LeaseHolder::new(LeaseTerms::new(LEASE_MS));
        lease.acquired(RequestTime::at(self.now()), LEASE_MS, FencingNumber::new(fencing));
        let driver = Driver::resume(self.progress(), lease.permit(self.now()).unwrap());
        let revision = self.stored_revision;
        DriverProcess { driver, lease, pending: Vec::new(), revision, results: Vec::new() }
    }

    /// Advances the time by a tick and checks that the model is served and the limits hold.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            tick_replica(replica, self.now_ms);
            if self.now_ms.is_multiple_of(REPORT_EVERY_MS) {
                self.reports.insert(endpoint(index), report(replica, self.now_ms));
            }
        }
        let count = |matches: fn(&Replica) -> bool| {
            self.replicas.iter().filter(|replica| matches(replica)).count()
        };
        let out_of_service = count(|replica| replica.leaving || replica.loading.is_some());
        assert!(out_of_service <= self.max_swapping, "{out_of_service} replicas out of service");
        assert!(out_of_service < self.replicas.len(), "the model is not served");
        assert!(count(|replica| replica.loading.is_some()) <= self.max_loads, "too many loads");
    }

    pub fn advance_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.tick();
        }
    }

    /// Runs a driver until it ends. Returns `None` if it is killed at its `kill_at`th action,
    /// before or after the action takes effect.
    pub fn run(
        &mut self,
        process: &mut DriverProcess,
        kill_at: usize,
        after_effect: bool,
    ) -> Option<DriverOutcome> {
        let mut actions = 0;
        let end_ms = self.now_ms + TIMEOUT_MS;
        while process.driver.outcome().is_none() {
            assert!(self.now_ms < end_ms, "the rollout does not end");
            self.prepare(process, true);
            while !process.pending.is_empty() {
                actions += 1;
                if actions > kill_at && !after_effect {
                    return None;
                }
                self.carry_out_next(process);
                if actions > kill_at {
                    return None;
                }
            }
            self.tick();
        }
        process.driver.outcome()
    }

    /// Renews the lease, passes results to the driver and fetches its next actions.
    pub fn prepare(&mut self, process: &mut DriverProcess, renews: bool) {
        let now = self.now();
        if renews {
            process.lease.renewed(RequestTime::at(now), LEASE_MS, now);
        }
        let arrived: Vec<_> =
            process.results.extract_if(.., |(at_ms, ..)| *at_ms <= self.now_ms).collect();
        for (_, endpoint, id, result) in arrived {
            process.driver.order_answered(&endpoint, id, result, now);
        }
        process.pending =
            process.driver.next_actions(now, process.lease.permit(now), &self.reports);
        process.pending.retain(|action| !matches!(action, Action::WaitUntil(_)));
    }

    /// Carries out an action as the daemon does: sends an order only after checking the permit
    /// again.
    pub fn carry_out_next(&mut self, process: &mut DriverProcess) {
        match process.pending.remove(0) {
            Action::WriteProgress(progress) => {
                let outcome = match process.revision == self.stored_revision {
                    true => WriteOutcome::Written,
                    false => WriteOutcome::Conflict,
                };
                if outcome == WriteOutcome::Written {
                    self.stored = progress.encode().unwrap();
                    self.stored_revision += 1;
                    process.revision = self.stored_revision;
                }
                process.driver.progress_written(&progress, outcome);
            }
            Action::SendOrder { id, endpoint, order, fencing, deadline } => {
                let now = self.now();
                let may_send = process.lease.permit(now).is_some() && !deadline.has_passed(now);
                let (at_ms, result) = match may_send {
                    true => self.order(&endpoint, order, fencing),
                    false => (self.now_ms, OrderResult::Failed),
                };
                process.results.push((at_ms, endpoint, id, result));
            }
            Action::WaitUntil(_) | Action::Report(_) => {}
        }
    }

    fn order(
        &mut self,
        endpoint: &EndpointId,
        order: ReplicaOrder,
        fencing: FencingNumber,
    ) -> (u64, OrderResult) {
        let index: usize = endpoint.as_str().trim_start_matches("replica-").parse().unwrap();
        let replica = &mut self.replicas[index];
        if replica.checks_fencing && fencing < replica.highest_fencing {
            return (self.now_ms, OrderResult::Fenced);
        }
        replica.highest_fencing = replica.highest_fencing.max(fencing);
        self.orders.push((self.now_ms, fencing, endpoint.clone(), order.clone()));
        match order {
            ReplicaOrder::Drain => replica.leaving = true,
            ReplicaOrder::Return => replica.leaving = false,
            ReplicaOrder::Load(_) if replica.fails_to_load => {
                return (self.now_ms + 1_000, OrderResult::Failed);
            }
            ReplicaOrder::Load(Target::Version(version)) => {
                replica.loading = Some((self.now_ms + 1_000, version));
                return (self.now_ms + 1_000, OrderResult::Done);
            }
            ReplicaOrder::Load(_) => {}
        }
        (self.now_ms + TICK_MS, OrderResult::Done)
    }
}

fn tick_replica(replica: &mut Replica, now_ms: u64) {
    if let Some((_, version)) = replica.loading.take_if(|(end_ms, _)| *end_ms <= now_ms) {
        replica.version = version;
    }
    if replica.restarts_at_ms.take_if(|at_ms| *at_ms <= now_ms).is_some() {
        replica.incarnation += 1;
        replica.leaving = false;
        replica.loading = None;
        replica.busy_until_ms = 0;
    }
}

fn report(replica: &Replica, now_ms: u64) -> ReplicaReport {
    let state = match replica.leaving {
        true => ReplicaState::Leaving,
        false => ReplicaState::Warm,
    };
    ReplicaReport {
        incarnation: Incarnation::new(replica.incarnation),
        state,
        version: replica.version.clone(),
        adapters: Vec::new(),
        role: Role::Mixed,
        unfinished_requests: u32::from(now_ms < replica.busy_until_ms),
        reported_at: Instant::from_ms(now_ms),
    }
}
