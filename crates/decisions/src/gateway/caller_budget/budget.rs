//! The budget of all connections.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;
use yuccapass_types::{Bytes, Instant, OrganisationId, SortedMap};

use super::claim::{Claim, ConnectionId, Phase, Progress};
use super::limits::CallerBudgetLimits;

/// A victim that is not stalled has a rate below this share of that of the connection that needs room.
/// Callers with similar rates would otherwise close each other.
const VICTIM_RATE_SHARE: f64 = 0.5;

/// Connections beyond the limit that are being closed, as a divisor of the limit.
const LEAVING_DIVISOR: usize = 8;

/// What is short when a connection gets no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shortage {
    /// The bytes for requests or answers.
    Memory,
    /// The share of the organisation.
    OrganisationShare,
    /// The connections.
    Connections,
    /// The connection is being closed for the sake of others.
    Evicted,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Memory => "memory",
            Self::OrganisationShare => "organisation_share",
            Self::Connections => "connections",
            Self::Evicted => "evicted",
        })
    }
}

/// Reports a text that names no shortage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the text names no shortage"))]
pub struct ParseShortageError;

impl FromStr for Shortage {
    type Err = ParseShortageError;

    fn from_str(text: &str) -> Result<Self, ParseShortageError> {
        [Self::Memory, Self::OrganisationShare, Self::Connections, Self::Evicted]
            .into_iter()
            .find(|shortage| shortage.to_string() == text)
            .ok_or(ParseShortageError)
    }
}

/// Whether a connection gets what it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It has it.
    Granted,
    /// Others are being closed; it may ask again soon.
    Wait,
    /// It gets no more.
    Refused(Shortage),
}

/// A grant, and the connection that has to be closed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Whether the connection gets what it needs.
    pub grant: Grant,
    /// The connection to close.
    pub evicted: Option<ConnectionId>,
}

impl Decision {
    fn new(grant: Grant, evicted: Option<ConnectionId>) -> Self {
        Self { grant, evicted }
    }
}

/// What is held at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUse {
    /// Bytes of incomplete requests.
    pub incomplete: Bytes,
    /// Bytes of complete requests.
    pub complete: Bytes,
    /// Bytes of answers.
    pub answers: Bytes,
    /// Open connections.
    pub connections: usize,
    /// Connections whose request is not complete.
    pub incomplete_connections: usize,
}

/// The budget of all connections of callers.
#[derive(Debug)]
pub struct CallerBudget {
    limits: CallerBudgetLimits,
    claims: SortedMap<ConnectionId, Claim>,
    organisations: SortedMap<OrganisationId, u64>,
    next_id: u64,
    incomplete_bytes: u64,
    complete_bytes: u64,
    answer_bytes: u64,
    incomplete_connections: usize,
    leaving_connections: usize,
}

impl CallerBudget {
    /// Creates a budget without connections.
    pub fn new(limits: CallerBudgetLimits) -> Self {
        Self {
            limits,
            claims: SortedMap::new(),
            organisations: SortedMap::new(),
            next_id: 0,
            incomplete_bytes: 0,
            complete_bytes: 0,
            answer_bytes: 0,
            incomplete_connections: 0,
            leaving_connections: 0,
        }
    }

    /// Returns what is held at present.
    pub fn in_use(&self) -> BudgetUse {
        BudgetUse {
            incomplete: Bytes::new(self.incomplete_bytes),
            complete: Bytes::new(self.complete_bytes),
            answers: Bytes::new(self.answer_bytes),
            connections: self.claims.len(),
            incomplete_connections: self.incomplete_connections,
        }
    }

    /// Opens a connection. If there are too many, one gives way: an incomplete one that has made no
    /// progress for the longest time, or else the one that is idle for the longest time.
    ///
    /// Returns its id, unless it is refused, and the connection to close.
    pub fn open(&mut self, now: Instant) -> (Option<ConnectionId>, Option<ConnectionId>) {
        let limits = self.limits;
        let staying = self.claims.len() - self.leaving_connections;
        let is_full = staying >= limits.connections;
        let has_too_many_incomplete = self.incomplete_connections >= limits.incomplete_connections;
        let mut evicted = None;
        if is_full || has_too_many_incomplete {
            evicted = self.slowest_connection();
            if evicted.is_none() && is_full {
                evicted = self.longest_idle();
            }
            if evicted.is_none() && is_full {
                return (None, None);
            }
        }
        if let Some(id) = evicted {
            self.evict(id);
        }
        if self.claims.len() >= limits.connections + limits.connections.div_ceil(LEAVING_DIVISOR) {
            return (None, evicted);
        }
        let id = ConnectionId::new(self.next_id);
        self.next_id += 1;
        self.claims.insert(id, Claim::new(now));
        self.incomplete_connections += 1;
        (Some(id), evicted)
    }

    /// Records the first byte of a request.
    pub fn begin_request(&mut self, id: ConnectionId, now: Instant) {
        self.release_request(id);
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let was_incomplete = claim.is_incomplete();
        claim.phase = Phase::Incomplete(Progress::new(now));
        if !was_incomplete && !claim.is_leaving {
            self.incomplete_connections += 1;
        }
    }

    /// Records the size of a body that follows: the announced one, or the largest legal one.
    pub fn begin_body(&mut self, id: ConnectionId, promised: Bytes) {
        if let Some(progress) = self.progress_mut(id) {
            progress.promise(promised.get());
        }
    }

    /// Records how much of a body has arrived.
    pub fn record_received(&mut self, id: ConnectionId, received: Bytes, now: Instant) {
        if let Some(progress) = self.progress_mut(id) {
            progress.receive(received.get(), now);
        }
    }

    /// Charges the bytes of a request to an organisation from now on.
    pub fn set_organisation(&mut self, id: ConnectionId, organisation: OrganisationId) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        if claim.organisation.is_none() {
            *self.organisations.get_or_insert_with(organisation.clone(), || 0) +=
                claim.request_bytes;
            claim.organisation = Some(organisation);
        }
    }

    /// Takes bytes for a request. If there are too few, an incomplete request gives way that is stalled,
    /// or has sent much less of what it promised in the time that it had.
    pub fn grow_request(&mut self, id: ConnectionId, bytes: Bytes, now: Instant) -> Decision {
        let bytes = bytes.get();
        let Some(claim) = self.claims.get(&id) else {
            return Decision::new(Grant::Refused(Shortage::Evicted), None);
        };
        if claim.is_leaving {
            return Decision::new(Grant::Refused(Shortage::Evicted), None);
        }
        let held = claim.organisation.as_ref().and_then(|id| self.organisations.get(id));
        if held.is_some_and(|held| held + bytes > self.limits.organisation.get()) {
            return Decision::new(Grant::Refused(Shortage::OrganisationShare), None);
        }
        let is_incomplete = claim.is_incomplete();
        let rate = claim.progress().map(|progress| progress.rate(now));
        if self.has_room_for_request(bytes, is_incomplete) {
            self.charge_request(id, bytes);
            // Minimum progress: with half of their part in use, stalled requests give way early.
            let is_tight = 2 * self.incomplete_bytes > self.limits.incomplete.get();
            let evicted = if is_tight { self.stalled_request(id, now) } else { None };
            self.evict_if_any(evicted);
            return Decision::new(Grant::Granted, evicted);
        }
        let Some(rate) = rate else {
            return Decision::new(Grant::Refused(Shortage::Memory), None);
        };
        // One at a time: the bytes of a connection that is being closed are free soon.
        let victim = match self.frees_request_bytes() {
            true => None,
            false => self.victim_request(id, rate, now),
        };
        self.evict_if_any(victim);
        if !self.frees_request_bytes() {
            return Decision::new(Grant::Refused(Shortage::Memory), None);
        }
        if let Some(progress) = self.progress_mut(id) {
            progress.excuse(now);
        }
        Decision::new(Grant::Wait, victim)
    }

    /// Records that a request is complete. It no longer gives way to others.
    pub fn complete(&mut self, id: ConnectionId) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        if !claim.is_incomplete() {
            return;
        }
        claim.phase = Phase::Complete;
        self.incomplete_bytes -= claim.request_bytes;
        self.complete_bytes += claim.request_bytes;
        if !claim.is_leaving {
            self.incomplete_connections -= 1;
        }
    }

    /// Takes bytes for an answer. If there are too few, an incomplete request gives way, and else the
    /// answer of a caller that does not read.
    pub fn grow_answer(&mut self, id: ConnectionId, bytes: Bytes, now: Instant) -> Decision {
        let bytes = bytes.get();
        let total_bytes = self.total_bytes() + bytes;
        let is_total_short = total_bytes > self.limits.total.get();
        let is_short = is_total_short || self.answer_bytes + bytes > self.limits.answers.get();
        if !is_short {
            return match self.claims.get_mut(&id) {
                Some(claim) => {
                    claim.answer_bytes += bytes;
                    self.answer_bytes += bytes;
                    Decision::new(Grant::Granted, None)
                }
                None => Decision::new(Grant::Refused(Shortage::Evicted), None),
            };
        }
        let is_freeing = self.frees_answer_bytes(id);
        let request = match is_total_short && !self.frees_request_bytes() {
            true => {
                self.stalled_request(id, now).or_else(|| self.slowest_request(id, now).map(first))
            }
            false => None,
        };
        let is_request_leaving = is_total_short && self.frees_request_bytes();
        let victim = match request {
            None if !is_request_leaving => self.unread_answer(id, now),
            request => request,
        };
        self.evict_if_any(victim);
        let grant = match victim.is_some() || is_request_leaving || is_freeing {
            true => Grant::Wait,
            false => Grant::Refused(Shortage::Memory),
        };
        Decision::new(grant, victim)
    }

    /// Gives back bytes of an answer.
    pub fn shrink_answer(&mut self, id: ConnectionId, bytes: Bytes) {
        if let Some(claim) = self.claims.get_mut(&id) {
            let bytes = bytes.get().min(claim.answer_bytes);
            claim.answer_bytes -= bytes;
            self.answer_bytes -= bytes;
        }
    }

    /// Records that the caller does not read its answer.
    pub fn block_answer(&mut self, id: ConnectionId, now: Instant) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.blocked_since.get_or_insert(now);
        }
    }

    /// Records that the caller has read more of its answer.
    pub fn unblock_answer(&mut self, id: ConnectionId) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.blocked_since = None;
        }
    }

    /// Records the end of a request, whose bytes are free again.
    pub fn finish(&mut self, id: ConnectionId, now: Instant) {
        self.release_request(id);
        let Some(claim) = self.claims.get_mut(&id) else { return };
        if claim.is_incomplete() && !claim.is_leaving {
            self.incomplete_connections -= 1;
        }
        claim.phase = Phase::Idle { since: now };
        claim.blocked_since = None;
    }

    /// Records the end of a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.release_request(id);
        let Some(claim) = self.claims.remove(&id) else { return };
        self.answer_bytes -= claim.answer_bytes;
        match claim.is_leaving {
            true => self.leaving_connections -= 1,
            false if claim.is_incomplete() => self.incomplete_connections -= 1,
            false => {}
        }
    }

    fn total_bytes(&self) -> u64 {
        self.incomplete_bytes + self.complete_bytes + self.answer_bytes
    }

    fn has_room_for_request(&self, bytes: u64, is_incomplete: bool) -> bool {
        let limits = &self.limits;
        let incomplete_bytes = self.incomplete_bytes + bytes;
        let request_bytes = incomplete_bytes + self.complete_bytes;
        (!is_incomplete || incomplete_bytes <= limits.incomplete.get())
            && request_bytes <= limits.requests.get()
            && self.total_bytes() + bytes <= limits.total.get()
    }

    fn charge_request(&mut self, id: ConnectionId, bytes: u64) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        claim.request_bytes += bytes;
        match claim.is_incomplete() {
            true => self.incomplete_bytes += bytes,
            false => self.complete_bytes += bytes,
        }
        // The entry may be missing: it ends when the last bytes of the organisation are free.
        if let Some(organisation) = claim.organisation.clone() {
            *self.organisations.get_or_insert_with(organisation, || 0) += bytes;
        }
    }

    fn release_request(&mut self, id: ConnectionId) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let bytes = std::mem::take(&mut claim.request_bytes);
        match claim.is_incomplete() {
            true => self.incomplete_bytes -= bytes,
            false => self.complete_bytes -= bytes,
        }
        let Some(organisation) = claim.organisation.take() else { return };
        let held = self.organisations.get_mut(&organisation).map(|held| {
            *held -= bytes;
            *held
        });
        if held == Some(0) {
            self.organisations.remove(&organisation);
        }
    }

    fn progress_mut(&mut self, id: ConnectionId) -> Option<&mut Progress> {
        match &mut self.claims.get_mut(&id)?.phase {
            Phase::Incomplete(progress) => Some(progress),
            _ => None,
        }
    }

    fn evict_if_any(&mut self, id: Option<ConnectionId>) {
        if let Some(id) = id {
            self.evict(id);
        }
    }

    fn evict(&mut self, id: ConnectionId) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        claim.is_leaving = true;
        self.leaving_connections += 1;
        if claim.is_incomplete() {
            self.incomplete_connections -= 1;
        }
    }

    /// Returns another request that gives way to one with this rate.
    fn victim_request(&self, id: ConnectionId, rate: f64, now: Instant) -> Option<ConnectionId> {
        let is_slower = |(_, slowest): &(ConnectionId, f64)| *slowest < rate * VICTIM_RATE_SHARE;
        self.stalled_request(id, now)
            .or_else(|| self.slowest_request(id, now).filter(is_slower).map(first))
    }

    /// Returns another request that holds bytes and makes no progress.
    fn stalled_request(&self, id: ConnectionId, now: Instant) -> Option<ConnectionId> {
        let is_stalled =
            |claim: &Claim| claim.progress().is_some_and(|known| known.is_stalled(now));
        self.claims
            .iter()
            .filter(|(other, claim)| **other != id && claim.request_bytes > 0 && is_stalled(claim))
            .max_by_key(|(_, claim)| claim.request_bytes)
            .map(|(other, _)| *other)
    }

    /// Returns another request that has sent least of what it promised in the time that it had.
    fn slowest_request(&self, id: ConnectionId, now: Instant) -> Option<(ConnectionId, f64)> {
        self.claims
            .iter()
            .filter(|(other, claim)| **other != id && claim.request_bytes > 0)
            .filter_map(|(other, claim)| Some((*other, claim.progress()?.rate(now))))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
    }

    fn slowest_connection(&self) -> Option<ConnectionId> {
        self.claims
            .iter()
            .filter_map(|(id, claim)| Some((*id, claim.progress()?.progressed_at())))
            .min_by_key(|(_, progressed_at)| *progressed_at)
            .map(|(id, _)| id)
    }

    fn longest_idle(&self) -> Option<ConnectionId> {
        self.claims
            .iter()
            .filter_map(|(id, claim)| match claim.phase {
                Phase::Idle { since } if !claim.is_leaving => Some((*id, since)),
                _ => None,
            })
            .min_by_key(|(_, since)| *since)
            .map(|(id, _)| id)
    }

    /// Returns the largest answer of another caller that does not read.
    fn unread_answer(&self, id: ConnectionId, now: Instant) -> Option<ConnectionId> {
        self.claims
            .iter()
            .filter(|(other, claim)| **other != id && claim.has_unread_answer(now))
            .max_by_key(|(_, claim)| claim.answer_bytes)
            .map(|(other, _)| *other)
    }

    fn frees_request_bytes(&self) -> bool {
        self.claims.values().any(|claim| claim.is_leaving && claim.request_bytes > 0)
    }

    /// Returns whether bytes of answers become free soon: answers that are being written are read, or
    /// their callers lose their connections.
    fn frees_answer_bytes(&self, id: ConnectionId) -> bool {
        self.claims.iter().any(|(other, claim)| {
            let holds = claim.answer_bytes > 0 && claim.blocked_since.is_some();
            *other != id && (claim.is_leaving || holds)
        })
    }
}

fn first(pair: (ConnectionId, f64)) -> ConnectionId {
    pair.0
}
