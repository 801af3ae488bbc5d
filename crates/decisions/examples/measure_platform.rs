//! Calls to the platform against the number of nodes, in virtual time with fixed seeds.
//!
//! Steady state: watchers wait for changes, read what changed, renew and check leases. End of an
//! outage: every node has four reads to make. Each part is compared with simpler ways.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::platform_budget::{
    CallBudget, CallDecision, CallKind, CallRank, FleetRates, OutageDecision, OutageGate,
};
use yuccapass_types::{Deadline, Instant};

const FLEETS: [u32; 3] = [8, 85, 340];
const ZONES: u32 = 6;
const TICK_MS: u64 = 10;
const SEED: u64 = 41;

/// Changes of the configuration a day.
const CHANGES_PER_DAY: f64 = 730.0;
/// Rollout locks, one for each model.
const LOCKS: u32 = 5;
/// Lifetime of a lease.
const LEASE_MS: u64 = 10_000;
/// Reads after a change: the manifest and the changed chunk.
const READS_PER_CHANGE: u32 = 2;
/// Time after which a node reads the manifest although nothing seems to have changed.
const SAFETY_READ_MS: u64 = 600_000;
/// Length of a watch call; a quiet watch is opened again, since its connection may be silent.
const WATCH_MS: u64 = 5_000;

/// Reads of a node after an outage: manifest, chunk, holder of a lease, start of a watch.
const RETURN_READS: u32 = 4;
const OUTAGE_MS: u64 = 600_000;

fn main() {
    println!("steady state, calls/s as mean over one hour (peak second), seed {SEED}");
    println!("nodes | two watchers per zone | all nodes watch | all nodes poll every 5 s");
    for nodes in FLEETS {
        let watchers = nodes.min(2 * ZONES);
        let ways = [
            steady_state(nodes, watchers, None),
            steady_state(nodes, nodes, None),
            steady_state(nodes, 0, Some(5_000)),
        ];
        println!("{nodes} | {}", ways.map(|way| way.to_string()).join(" | "));
    }
    println!();
    println!("outage of {} s, all nodes affected, seed {SEED}", OUTAGE_MS / 1_000);
    println!("nodes | way | peak calls/s during | peak calls/s after | last node back after s");
    for nodes in FLEETS {
        println!("{nodes} | gate and budget | {}", outage(nodes, true));
        println!("{nodes} | every second | {}", outage(nodes, false));
    }
}

/// Calls in each second.
struct Counter(Vec<u32>);

impl Counter {
    fn new(duration_ms: u64) -> Self {
        Self(vec![0; duration_ms.div_ceil(1_000) as usize])
    }

    fn add(&mut self, at_ms: u64, calls: u32) {
        if let Some(count) = self.0.get_mut((at_ms / 1_000) as usize) {
            *count += calls;
        }
    }

    fn add_every(&mut self, period_ms: u64, calls: u32, random: &mut StdRng) {
        let mut at_ms = random.random_range(0..period_ms);
        while at_ms / 1_000 < self.0.len() as u64 {
            self.add(at_ms, calls);
            at_ms += period_ms;
        }
    }

    fn mean(&self) -> f64 {
        self.0.iter().map(|&count| f64::from(count)).sum::<f64>() / self.0.len() as f64
    }

    fn peak(&self, from_ms: u64, to_ms: u64) -> u32 {
        let range = (from_ms / 1_000) as usize..(to_ms / 1_000) as usize;
        self.0[range].iter().copied().max().unwrap_or(0)
    }
}

struct SteadyState {
    reads: Counter,
    writes: Counter,
    waiting_watches: u32,
}

impl std::fmt::Display for SteadyState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let end_ms = self.reads.0.len() as u64 * 1_000;
        let waiting = f64::from(self.waiting_watches);
        write!(
            f,
            "reads {:.1} ({}) of which waiting watches {}, writes {:.2} ({})",
            self.reads.mean() + waiting,
            self.reads.peak(0, end_ms) + self.waiting_watches,
            self.waiting_watches,
            self.writes.mean(),
            self.writes.peak(0, end_ms),
        )
    }
}

/// One hour of watchers and, in the third way, of polling nodes.
fn steady_state(nodes: u32, watchers: u32, poll_ms: Option<u64>) -> SteadyState {
    const HOUR_MS: u64 = 3_600_000;
    let mut random = StdRng::seed_from_u64(SEED);
    let (mut reads, mut writes) = (Counter::new(HOUR_MS), Counter::new(HOUR_MS));
    for _ in 0..LOCKS {
        writes.add_every(LEASE_MS / 3, 1, &mut random);
    }
    // Nodes that may become holders look at each lock once per lifetime.
    for _ in 0..nodes.min(2 * ZONES) * LOCKS {
        reads.add_every(LEASE_MS, 1, &mut random);
    }
    for _ in 0..watchers {
        reads.add_every(WATCH_MS, 1, &mut random);
    }
    for _ in 0..nodes {
        reads.add_every(poll_ms.unwrap_or(SAFETY_READ_MS), 1, &mut random);
    }
    let changes = (CHANGES_PER_DAY / 24.0).round() as u32;
    for _ in 0..changes {
        let at_ms = random.random_range(0..HOUR_MS);
        writes.add(at_ms, 1);
        // Each watcher reads what changed and opens its watch again.
        reads.add(at_ms, watchers * (READS_PER_CHANGE + 1));
    }
    SteadyState { reads, writes, waiting_watches: watchers }
}

struct Outage {
    peak_during: u32,
    peak_after: u32,
    last_back_ms: u64,
}

impl std::fmt::Display for Outage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let last_back_s = self.last_back_ms as f64 / 1_000.0;
        write!(f, "{} | {} | {last_back_s:.2}", self.peak_during, self.peak_after)
    }
}

struct Node {
    gate: OutageGate,
    budget: CallBudget,
    remaining_reads: u32,
    retry_at_ms: u64,
}

impl Node {
    fn new(nodes: u32) -> Self {
        Self {
            gate: OutageGate::new(nodes),
            budget: CallBudget::new(FleetRates::default(), nodes, Instant::from_ms(0)),
            remaining_reads: RETURN_READS,
            retry_at_ms: 0,
        }
    }

    fn may_call(&mut self, now: Instant, random: &mut StdRng) -> bool {
        if self.gate.admit(CallRank::Refresh, now, random) != OutageDecision::Proceed {
            return false;
        }
        let deadline = Deadline::after_ms(now, 1);
        let ticket = self.budget.enqueue(CallKind::Read, CallRank::Refresh, deadline);
        let turn = self.budget.poll(ticket, now);
        self.budget.cancel(ticket);
        turn == CallDecision::Proceed
    }

    /// Makes the reads that the node may make now and returns their number.
    fn tick_gated(&mut self, now: Instant, is_up: bool, random: &mut StdRng) -> u32 {
        let mut calls = 0;
        while self.remaining_reads > 0 && self.may_call(now, random) {
            calls += 1;
            if !is_up {
                self.gate.record_failure(now, random);
                return calls;
            }
            self.gate.record_success(now, random);
            self.remaining_reads -= 1;
        }
        calls
    }

    /// Simpler way: a call every second until one is answered, then all others at once.
    fn tick_every_second(&mut self, now: Instant, is_up: bool) -> u32 {
        if self.remaining_reads == 0 || now.as_ms() < self.retry_at_ms {
            return 0;
        }
        self.retry_at_ms = now.as_ms() + 1_000;
        if !is_up {
            return 1;
        }
        std::mem::take(&mut self.remaining_reads)
    }
}

/// All nodes find the platform down at their next call, within its first second.
fn outage(node_count: u32, is_gated: bool) -> Outage {
    let end_ms = OUTAGE_MS + 120_000;
    let mut random = StdRng::seed_from_u64(SEED);
    let mut calls = Counter::new(end_ms);
    let mut nodes: Vec<Node> = (0..node_count).map(|_| Node::new(node_count)).collect();
    let first_call_ms: Vec<u64> = nodes.iter().map(|_| random.random_range(0..1_000)).collect();
    let mut last_back_ms = 0;
    for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
        let (now, is_up) = (Instant::from_ms(now_ms), now_ms >= OUTAGE_MS);
        for (node, &first_call_ms) in nodes.iter_mut().zip(&first_call_ms) {
            if now_ms < first_call_ms {
                continue;
            }
            let made = match is_gated {
                true => node.tick_gated(now, is_up, &mut random),
                false => node.tick_every_second(now, is_up),
            };
            calls.add(now_ms, made);
            if is_up && made > 0 {
                last_back_ms = now_ms - OUTAGE_MS;
            }
        }
    }
    assert!(nodes.iter().all(|node| node.remaining_reads == 0), "a node has not returned");
    Outage {
        // The first seconds, in which all nodes notice the outage, are left out.
        peak_during: calls.peak(10_000, OUTAGE_MS),
        peak_after: calls.peak(OUTAGE_MS, end_ms),
        last_back_ms,
    }
}
