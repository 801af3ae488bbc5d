//! The owner's side of permits.

use yuccapass_types::{Deadline, Incarnation, Instant, SortedMap};

use super::{IN_FLIGHT_MS, MAX_REPORT_AGE_MS, PERMIT_TERM_MS, PermitId};
use crate::quorum::{Proposal, ProposalState, RequestDigest};

/// Most permits that an owner remembers; requests beyond it count by the load report only.
const MAX_PERMITS: usize = 4_096;

/// An owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitReply {
    /// The permit is valid for the remaining time.
    Granted {
        /// Time that remains at the owner.
        remaining_ms: u64,
    },
    /// The endpoint has as much work as it sustains.
    Full,
    /// The owner does not know yet what runs at the endpoint.
    NotReady,
    /// This node's term has ended, or it never had one.
    NotOwner,
}

#[derive(Debug, Clone, Copy)]
struct Granted {
    at: Instant,
    deadline: Deadline,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    running_requests: u32,
    taken_at: Instant,
}

/// The owner of a cold endpoint's permits.
#[derive(Debug)]
pub struct PermitOwner {
    proposal: Proposal,
    incarnation: Incarnation,
    max_requests: u32,
    won_at: Instant,
    permits: SortedMap<PermitId, Granted>,
    report: Option<Report>,
    ended: bool,
}

impl PermitOwner {
    /// Makes the owner for one process of the endpoint, which sustains `max_requests` from all
    /// nodes together; returns `None` if the proposal is not won.
    pub fn from_won(
        mut proposal: Proposal,
        incarnation: Incarnation,
        max_requests: u32,
        now: Instant,
    ) -> Option<Self> {
        let permits = SortedMap::new();
        proposal.mark_sent(now).then_some(Self {
            proposal,
            incarnation,
            max_requests,
            won_at: now,
            permits,
            report: None,
            ended: false,
        })
    }

    /// Returns whether the term has ended; an owner whose term has ended never has another one.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.ended || self.proposal.state(now) != ProposalState::Won
    }

    /// Returns a proposal to renew the term if half of it is over; it is sent to the whole panel.
    pub fn renewal(&self, now: Instant) -> Option<Proposal> {
        let is_due = self.proposal.deadline().remaining_ms(now) <= PERMIT_TERM_MS / 2;
        (is_due && !self.has_ended(now)).then(|| {
            let (key, attempt) = (*self.proposal.key(), self.proposal.attempt().clone());
            let panel = self.proposal.panel().clone();
            Proposal::new(key, attempt, RequestDigest::default(), panel, PERMIT_TERM_MS, now)
        })
    }

    /// Starts the next term if its proposal is won and the present term has not ended.
    pub fn record_renewal(&mut self, mut renewal: Proposal, now: Instant) {
        let is_same = renewal.attempt() == self.proposal.attempt();
        if is_same && !self.has_ended(now) && renewal.mark_sent(now) {
            self.proposal = renewal;
        }
    }

    /// Sets what the endpoint sustains from all nodes together, as it warms up.
    pub fn set_max_requests(&mut self, max_requests: u32) {
        self.max_requests = max_requests;
    }

    /// Notes a load report of the endpoint.
    ///
    /// `taken_at` is the earliest instant that the report may describe: when it was asked for, less
    /// the lag that the endpoint states. A report of another process of the endpoint ends the term.
    pub fn record_report(
        &mut self,
        incarnation: Incarnation,
        running_requests: u32,
        taken_at: Instant,
    ) {
        if incarnation != self.incarnation {
            self.ended = true;
            return;
        }
        if self.report.is_some_and(|report| report.taken_at >= taken_at) {
            return;
        }
        self.report = Some(Report { running_requests, taken_at });
        // What runs although its permit has lapsed is in the report by now.
        let is_reported = |permit: &Granted| {
            Deadline::after_ms(permit.deadline.instant(), IN_FLIGHT_MS).has_passed(taken_at)
        };
        self.permits.retain(|_, permit| !is_reported(permit));
    }

    /// Grants a permit if the endpoint sustains another request.
    pub fn acquire(&mut self, id: &PermitId, now: Instant) -> PermitReply {
        if self.has_ended(now) {
            return PermitReply::NotOwner;
        }
        let Some(report) = self.usable_report(now) else { return PermitReply::NotReady };
        let is_repeated = self.permits.contains_key(id);
        if !is_repeated && self.count(report) >= u64::from(self.max_requests) {
            return PermitReply::Full;
        }
        // A repeated request starts anew: its holder may start within a time from sending it.
        self.keep(id, now)
    }

    /// Extends the permit of a running request, or registers it with a new owner.
    ///
    /// The request runs already, so it is counted even beyond what the endpoint sustains.
    pub fn renew(&mut self, id: &PermitId, now: Instant) -> PermitReply {
        if self.has_ended(now) {
            return PermitReply::NotOwner;
        }
        if let Some(permit) = self.permits.get_mut(id) {
            permit.deadline = permit.deadline.max(self.proposal.deadline());
            let remaining_ms = permit.deadline.remaining_ms(now);
            return PermitReply::Granted { remaining_ms };
        }
        self.keep(id, now)
    }

    /// Takes back the permit of a request that has ended or never started.
    pub fn release(&mut self, id: &PermitId) {
        self.permits.remove(id);
    }

    /// Returns how many requests the owner counts, or `None` if it has no usable load report.
    pub fn counted_requests(&self, now: Instant) -> Option<u64> {
        self.usable_report(now).map(|report| self.count(report))
    }

    fn keep(&mut self, id: &PermitId, now: Instant) -> PermitReply {
        if self.permits.len() >= MAX_PERMITS && !self.permits.contains_key(id) {
            return PermitReply::Full;
        }
        let deadline = self.proposal.deadline();
        self.permits.insert(id.clone(), Granted { at: now, deadline });
        PermitReply::Granted { remaining_ms: deadline.remaining_ms(now) }
    }

    /// Returns the report if it is recent and shows all that earlier owners have granted.
    fn usable_report(&self, now: Instant) -> Option<Report> {
        if !Deadline::after_ms(self.won_at, PERMIT_TERM_MS).has_passed(now) {
            return None;
        }
        let earliest = Deadline::after_ms(self.won_at, IN_FLIGHT_MS);
        let is_usable = |report: &Report| {
            earliest.has_passed(report.taken_at)
                && now.ms_since(report.taken_at) <= MAX_REPORT_AGE_MS
        };
        self.report.filter(is_usable)
    }

    /// Counts the larger of the permits, and the report plus the permits that it may not show.
    fn count(&self, report: Report) -> u64 {
        let is_unseen = |permit: &&Granted| {
            !Deadline::after_ms(permit.at, IN_FLIGHT_MS).has_passed(report.taken_at)
        };
        let unseen = self.permits.values().filter(is_unseen).count() as u64;
        (self.permits.len() as u64).max(u64::from(report.running_requests) + unseen)
    }
}
