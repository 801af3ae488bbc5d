//! The node's share of the platform's rates.

use yuccapass_types::{Deadline, Instant, RequestsPerSecond};

/// One call in millionths of a call, the unit of the budget: in whole calls, a node's share would be
/// rounded to zero in a large fleet. One call per second is 1,000 of these per millisecond.
const CALL_MICROS: u64 = 1_000_000;

/// Maximum time for which an unused share accumulates.
const BURST_MS: u64 = 500;

/// Minimum wait of a call that has others ahead of it, so that waiting calls do not poll in a loop.
const MIN_WAIT_MS: u64 = 10;

/// Rates of the platform that all nodes of the fleet share.
///
/// Half of each rate is divided among the nodes. The other half covers bursts of one call per node,
/// so the fleet stays within the rates over every window of at least twice the number of nodes
/// divided by the rate (0.34 s for reads and 2.3 s for writes at 340 nodes, and never less than
/// 0.5 s).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetRates {
    reads: RequestsPerSecond,
    writes: RequestsPerSecond,
}

impl Default for FleetRates {
    /// 2,000 reads/s, and 300 writes/s, since the platform specifies only "several hundred".
    fn default() -> Self {
        Self { reads: RequestsPerSecond::new(2_000), writes: RequestsPerSecond::new(300) }
    }
}

impl FleetRates {
    /// Creates the rates of the platform.
    pub fn new(reads: RequestsPerSecond, writes: RequestsPerSecond) -> Self {
        Self { reads, writes }
    }

    fn share_per_ms(self, kind: CallKind, fleet_nodes: u32) -> u64 {
        let rate = match kind {
            CallKind::Read => self.reads,
            CallKind::Write => self.writes,
        };
        rate.get() * (CALL_MICROS / 1_000) / 2 / u64::from(fleet_nodes.max(1))
    }
}

/// The rate that a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read or the start of a watch.
    Read,
    /// A transaction or a lease call.
    Write,
}

/// The priority of a call, by its purpose; earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallRank {
    /// An operator's command and the reads that determine its outcome.
    Command,
    /// Acquiring, renewing or ending a lease, and writing progress under one.
    Lease,
    /// Watching for changes.
    Watch,
    /// Reading again what may have changed.
    Refresh,
    /// Exchanging evidence and reports, without which requests are still served as configured.
    Report,
}

impl CallRank {
    /// Returns whether calls of this rank show whether the platform is down. Reports are large, and a
    /// link that is busy with them delays connections to the platform: if their failures counted, they
    /// would close the gate for keys and configuration.
    pub fn shows_outage(self) -> bool {
        self != Self::Report
    }
}

/// Identifies a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What to do with a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDecision {
    /// Call now; the call was taken from the budget.
    Proceed,
    /// Poll again at this instant.
    WaitUntil(Instant),
    /// Give up: the deadline has passed or the ticket was cancelled.
    GiveUp,
}

#[derive(Debug, Clone, Copy)]
struct Waiter {
    rank: CallRank,
    ticket: Ticket,
    kind: CallKind,
    deadline: Deadline,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: u64,
    share_per_ms: u64,
    refilled_at: Instant,
}

impl Bucket {
    fn capacity(&self) -> u64 {
        CALL_MICROS.max(self.share_per_ms * BURST_MS)
    }

    fn refill(&mut self, reserved_per_ms: u64, now: Instant) {
        let rate = self.share_per_ms.saturating_sub(reserved_per_ms);
        let accrued = now.ms_since(self.refilled_at).saturating_mul(rate);
        self.level = self.level.saturating_add(accrued).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn ms_until(&self, level: u64, reserved_per_ms: u64) -> u64 {
        let rate = self.share_per_ms.saturating_sub(reserved_per_ms).max(1);
        level.saturating_sub(self.level).div_ceil(rate)
    }
}

/// Limits the calls of a node so that the whole fleet stays within the platform's rates.
///
/// A waiting watch counts as one read per second for as long as it waits.
#[derive(Debug, Clone)]
pub struct CallBudget {
    rates: FleetRates,
    reads: Bucket,
    writes: Bucket,
    waiting_watches: u32,
    // Sorted by rank, then by ticket.
    waiters: Vec<Waiter>,
    next_ticket: u64,
}

impl CallBudget {
    /// Creates a budget with one call of each kind available, for a node of a fleet of `fleet_nodes`.
    pub fn new(rates: FleetRates, fleet_nodes: u32, now: Instant) -> Self {
        let bucket = |kind| Bucket {
            level: CALL_MICROS,
            share_per_ms: rates.share_per_ms(kind, fleet_nodes),
            refilled_at: now,
        };
        Self {
            rates,
            reads: bucket(CallKind::Read),
            writes: bucket(CallKind::Write),
            waiting_watches: 0,
            waiters: Vec::new(),
            next_ticket: 0,
        }
    }

    /// Sets the number of nodes that share the rates.
    pub fn set_fleet_nodes(&mut self, fleet_nodes: u32, now: Instant) {
        for kind in [CallKind::Read, CallKind::Write] {
            let share_per_ms = self.rates.share_per_ms(kind, fleet_nodes);
            let reserved = self.reserved_per_ms(kind);
            let bucket = self.bucket(kind);
            bucket.refill(reserved, now);
            bucket.share_per_ms = share_per_ms;
            bucket.level = bucket.level.min(bucket.capacity());
        }
    }

    /// Adds a call to the waiting calls.
    pub fn enqueue(&mut self, kind: CallKind, rank: CallRank, deadline: Deadline) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { rank, ticket, kind, deadline };
        let position = self.waiters.partition_point(|other| other.rank <= rank);
        self.waiters.insert(position, waiter);
        ticket
    }

    /// Decides whether a waiting call may be made now.
    pub fn poll(&mut self, ticket: Ticket, now: Instant) -> CallDecision {
        self.waiters.retain(|waiter| !waiter.deadline.has_passed(now));
        let Some(index) = self.waiters.iter().position(|waiter| waiter.ticket == ticket) else {
            return CallDecision::GiveUp;
        };
        let Waiter { kind, deadline, .. } = self.waiters[index];
        let ahead = self.waiters[..index].iter().filter(|other| other.kind == kind).count() as u64;
        let reserved = self.reserved_per_ms(kind);
        let bucket = self.bucket(kind);
        bucket.refill(reserved, now);
        if ahead == 0 && bucket.level >= CALL_MICROS {
            bucket.level -= CALL_MICROS;
            self.waiters.remove(index);
            return CallDecision::Proceed;
        }
        let mut wait_ms = bucket.ms_until((ahead + 1).saturating_mul(CALL_MICROS), reserved).max(1);
        if ahead > 0 {
            wait_ms = wait_ms.max(MIN_WAIT_MS);
        }
        CallDecision::WaitUntil(Deadline::after_ms(now, wait_ms).earlier(deadline).instant())
    }

    /// Removes a waiting call.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Reserves the share of a waiting watch; returns false if too little would remain for reads.
    pub fn start_watch(&mut self, now: Instant) -> bool {
        let needed = u64::from(self.waiting_watches + 1) * (CALL_MICROS / 1_000);
        // A quarter of the share is kept for reads.
        if needed > self.reads.share_per_ms / 4 * 3 {
            return false;
        }
        let reserved = self.reserved_per_ms(CallKind::Read);
        self.reads.refill(reserved, now);
        self.waiting_watches += 1;
        true
    }

    /// Releases the share of a watch that has ended.
    pub fn end_watch(&mut self, now: Instant) {
        let reserved = self.reserved_per_ms(CallKind::Read);
        self.reads.refill(reserved, now);
        self.waiting_watches = self.waiting_watches.saturating_sub(1);
    }

    fn bucket(&mut self, kind: CallKind) -> &mut Bucket {
        match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        }
    }

    fn reserved_per_ms(&self, kind: CallKind) -> u64 {
        match kind {
            CallKind::Read => u64::from(self.waiting_watches) * (CALL_MICROS / 1_000),
            CallKind::Write => 0,
        }
    }
}
