//! The node's part of the service's rates.

use yuccapass_types::{Deadline, Instant, RequestsPerSecond};

/// Millionths of a call, the unit in which the budget counts so that a large fleet's share is not
/// rounded to zero. One call per second is 1,000 of them per millisecond.
const CALL: u64 = 1_000_000;

/// Longest time for which an unused share accumulates.
const BURST_MS: u64 = 500;

/// Shortest wait behind a call of a higher rank, so that waiting calls do not poll in a loop.
const MIN_WAIT_MS: u64 = 10;

/// Rates of the service that all clients share.
///
/// Half of each rate is given out. The other half covers the bursts of one call per node, so the
/// fleet stays inside the rates over every window of at least twice the number of nodes divided by
/// the rate (0.34 s for reads and 2.3 s for writes at 340 nodes, and never less than 0.5 s).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetRates {
    reads: RequestsPerSecond,
    writes: RequestsPerSecond,
}

impl Default for FleetRates {
    /// The rates of the platform: 2,000 reads/s, and 300 writes/s for its "several hundred".
    fn default() -> Self {
        Self { reads: RequestsPerSecond::new(2_000), writes: RequestsPerSecond::new(300) }
    }
}

impl FleetRates {
    /// Sets the rates of the service.
    pub fn new(reads: RequestsPerSecond, writes: RequestsPerSecond) -> Self {
        Self { reads, writes }
    }

    fn share_per_ms(self, kind: CallKind, fleet_nodes: u32) -> u64 {
        let rate = match kind {
            CallKind::Read => self.reads,
            CallKind::Write => self.writes,
        };
        rate.get() * (CALL / 1_000) / 2 / u64::from(fleet_nodes.max(1))
    }
}

/// Which rate a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read or the start of a watch.
    Read,
    /// A transaction or a lease call.
    Write,
}

/// What a call is for; earlier ranks go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallRank {
    /// An operator's command and what settles it.
    Command,
    /// Acquiring, renewing or ending a lease, and progress written under one.
    Lease,
    /// Waiting for changes.
    Watch,
    /// Reading anew what may have changed.
    Refresh,
}

/// A call that waits for its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What a waiting call does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDecision {
    /// Call now; the call is counted.
    Proceed,
    /// Ask again at this instant.
    WaitUntil(Instant),
    /// Give up: the deadline has passed or the ticket was given back.
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
    filled_at: Instant,
}

impl Bucket {
    fn capacity(&self) -> u64 {
        CALL.max(self.share_per_ms * BURST_MS)
    }

    fn refill(&mut self, reserved_per_ms: u64, now: Instant) {
        let rate = self.share_per_ms.saturating_sub(reserved_per_ms);
        let gain = now.ms_since(self.filled_at).saturating_mul(rate);
        self.level = self.level.saturating_add(gain).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    fn ms_until(&self, level: u64, reserved_per_ms: u64) -> u64 {
        let rate = self.share_per_ms.saturating_sub(reserved_per_ms).max(1);
        level.saturating_sub(self.level).div_ceil(rate)
    }
}

/// The calls that a node may make, so that the fleet together stays inside the service's rates.
///
/// A waiting watch counts as one read per second for as long as it waits.
#[derive(Debug, Clone)]
pub struct CallBudget {
    rates: FleetRates,
    reads: Bucket,
    writes: Bucket,
    waiting_watches: u32,
    // Sorted by rank, then by age.
    waiters: Vec<Waiter>,
    next_ticket: u64,
}

impl CallBudget {
    /// Makes a budget with one call of each kind available, for a node among `fleet_nodes`.
    pub fn new(rates: FleetRates, fleet_nodes: u32, now: Instant) -> Self {
        let bucket = |kind| Bucket {
            level: CALL,
            share_per_ms: rates.share_per_ms(kind, fleet_nodes),
            filled_at: now,
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

    /// Changes the number of nodes that share the rates.
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

    /// Adds a call to those that wait.
    pub fn enqueue(&mut self, kind: CallKind, rank: CallRank, deadline: Deadline) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { rank, ticket, kind, deadline };
        let position = self.waiters.partition_point(|other| other.rank <= rank);
        self.waiters.insert(position, waiter);
        ticket
    }

    /// Asks whether a call may be made.
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
        if ahead == 0 && bucket.level >= CALL {
            bucket.level -= CALL;
            self.waiters.remove(index);
            return CallDecision::Proceed;
        }
        let mut wait_ms = bucket.ms_until((ahead + 1).saturating_mul(CALL), reserved).max(1);
        if ahead > 0 {
            wait_ms = wait_ms.max(MIN_WAIT_MS);
        }
        CallDecision::WaitUntil(Deadline::after_ms(now, wait_ms).earlier(deadline).instant())
    }

    /// Gives a ticket back that is no longer wanted.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Reserves the share of a watch that waits; returns false if too little would remain.
    pub fn start_watch(&mut self, now: Instant) -> bool {
        let needed = u64::from(self.waiting_watches + 1) * (CALL / 1_000);
        // A quarter of the share stays for reads.
        if needed > self.reads.share_per_ms / 4 * 3 {
            return false;
        }
        let reserved = self.reserved_per_ms(CallKind::Read);
        self.reads.refill(reserved, now);
        self.waiting_watches += 1;
        true
    }

    /// Returns the share of a watch that has ended.
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
            CallKind::Read => u64::from(self.waiting_watches) * (CALL / 1_000),
            CallKind::Write => 0,
        }
    }
}
