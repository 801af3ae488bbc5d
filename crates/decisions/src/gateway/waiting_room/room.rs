//! The requests of one service that wait for an engine.

use yuccapass_types::{Bytes, Deadline, Instant, OrganisationId, ResultCode, RouteId};

use super::super::route::Priority;
use super::order::{self, OrganisationUsage};
use super::recent_work::RecentWork;
use crate::gateway::RequestWork;

/// How often a request may be passed over by later ones. Some tens are the requests that a small node
/// starts in a few seconds, so no request waits much longer than its turn.
const MAX_PASSED_OVER: u32 = 24;

/// How many requests get a turn after each change of the room at endpoints. Each turn costs a look at all
/// endpoints, and a small node has a tenth of a core.
const MAX_TURNS: u32 = 8;

/// How many of these turns go to the requests that have had none for longest. Otherwise, requests that
/// rank behind some large ones without room would never be tried.
const LAST_TURNS: u32 = 2;

/// Time over which the rate of starts is measured: some tens of requests of a small node.
const RATE_WINDOW_MS: f64 = 2_000.0;

/// Part of the expected wait that must be too long for a refusal on arrival. The estimate comes from a few
/// requests and may be too long by a factor of two.
const CERTAIN_WAIT_SHARE: f64 = 0.5;

/// `Retry-After` if the wait is not known: long enough for an engine to finish some requests.
const DEFAULT_RETRY_AFTER_MS: u64 = 250;

/// The shortest `Retry-After`, about a round trip between regions with the time to connect.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Callers wait for up to a third of the time that they have left.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// How long after its `Retry-After` a refused caller is recognised.
const RETURN_MS: u64 = 2_000;

/// Number of refused callers that are remembered.
const MAX_REFUSED: usize = 256;

/// Bounds of a waiting room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingLimits {
    /// Requests that may wait.
    pub max_requests: usize,
    /// Size of their bodies together.
    pub max_bytes: Bytes,
}

impl Default for WaitingLimits {
    /// Allows 256 requests with 8 MiB. A small node has 112 MB for all that it does.
    fn default() -> Self {
        Self { max_requests: 256, max_bytes: Bytes::new(8 << 20) }
    }
}

/// Identifies a waiting request. Later arrivals have larger tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A request that arrives at a waiting room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The organisation that sent it, if it is known.
    pub organisation: Option<OrganisationId>,
    /// Its route.
    pub route: RouteId,
    /// A hash of what stays the same when its caller sends it again.
    pub caller_hash: u64,
    /// Its priority, of the organisation and the route together.
    pub priority: Priority,
    /// What it needs of an engine.
    pub work: RequestWork,
    /// Size of its body.
    pub body: Bytes,
    /// The latest start with which it is expected to meet its target latency.
    pub target_start: Deadline,
    /// The latest start, or refusal, that is of use to its caller.
    pub latest_start: Deadline,
    /// When its caller stops waiting.
    pub deadline: Deadline,
}

/// A request in the waiting room.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) ticket: Ticket,
    pub(super) request: WaitingRequest,
    pub(super) entered_at: Instant,
    /// Whether its caller was refused before.
    pub(super) is_returning: bool,
    /// Whether it was found that no endpoint has room for it, since the room at endpoints last changed.
    pub(super) was_tried: bool,
    // The round in which it last had a turn.
    last_round: u64,
    passed_over: u32,
}

impl Entry {
    /// Returns whether the request was passed over as often as it may be.
    pub(super) fn is_overdue(&self) -> bool {
        self.passed_over >= MAX_PASSED_OVER
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It is not expected to start in time.
    ExpectedLate,
    /// The waiting room is full, and those that wait rank before it.
    Full,
    /// It has waited until its latest useful start.
    Expired,
}

impl std::fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::ExpectedLate => "expected_late",
            Self::Full => "full",
            Self::Expired => "expired",
        })
    }
}

/// The refusal of a request, which has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomRefusal {
    /// Why it is refused.
    pub reason: RefusalReason,
    /// When room is expected for it.
    pub retry_after_ms: u64,
}

impl RoomRefusal {
    /// Returns the result code for the caller.
    pub fn code(&self) -> ResultCode {
        match self.reason {
            RefusalReason::Full => ResultCode::QueueFull,
            RefusalReason::ExpectedLate | RefusalReason::Expired => ResultCode::DeadlineUnreachable,
        }
    }
}

/// A waiting request that has to leave for one that ranks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Displaced {
    /// The request.
    pub ticket: Ticket,
    /// Its refusal.
    pub refusal: RoomRefusal,
}

/// What happens with a request that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Arrival {
    /// It starts now.
    Start,
    /// It waits.
    Wait {
        /// Identifies it.
        ticket: Ticket,
        /// The number of requests that rank before it.
        rank: usize,
        /// How long it is expected to wait, if that can be estimated.
        expected_wait_ms: Option<u64>,
        /// The requests that have to leave for it.
        displaced: Vec<Displaced>,
    },
    /// It is refused.
    Refuse(RoomRefusal),
}

/// The right of a waiting request to look for an endpoint with room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The request.
    pub ticket: Ticket,
    /// Whether it may use the memory that is left to the most urgent requests, because it was passed
    /// over too often.
    pub may_use_reserve: bool,
}

/// The requests of one service that wait for an engine.
///
/// Whenever the room at endpoints may have grown, [`room_changed`](Self::room_changed) begins a round,
/// in which the requests get turns in the order of their rank. The holder of a turn looks for an endpoint
/// with room and reports [`start`](Self::start) or [`no_room`](Self::no_room).
#[derive(Debug, Clone)]
pub struct WaitingRoom {
    limits: WaitingLimits,
    // In the order of their tickets.
    entries: Vec<Entry>,
    next_ticket: u64,
    turn: Option<Ticket>,
    turns_left: u32,
    round: u64,
    usage: OrganisationUsage,
    started: RecentWork,
    refused: Vec<(u64, RouteId, Deadline)>,
}

impl WaitingRoom {
    /// Creates an empty room.
    pub fn new(limits: WaitingLimits, now: Instant) -> Self {
        Self {
            limits,
            entries: Vec::new(),
            next_ticket: 0,
            turn: None,
            turns_left: 0,
            round: 0,
            usage: OrganisationUsage::default(),
            started: RecentWork::new(RATE_WINDOW_MS, now),
            refused: Vec::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a request that arrives. `has_room` says whether an endpoint can start it; `random` is
    /// from 0 to 1.
    pub fn arrive(
        &mut self,
        request: WaitingRequest,
        has_room: bool,
        random: f64,
        now: Instant,
    ) -> Arrival {
        let is_returning = self.take_refused(&request, now);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.entries.push(Entry {
            ticket,
            request,
            entered_at: now,
            is_returning,
            was_tried: !has_room,
            last_round: self.round,
            passed_over: 0,
        });
        let newest = self.entries.len() - 1;
        let ranking = order::ranking(&self.entries, &self.usage, now);
        let rank = ranking.iter().position(|&position| position == newest).unwrap_or(newest);
        let ahead = ranking[..rank].iter().map(|&position| &self.entries[position]);
        if has_room && !order::is_blocked(&self.entries[newest], ahead) {
            self.start(ticket, now);
            return Arrival::Start;
        }
        let expected_wait_ms =
            self.started.duration_ms(order::tokens_until(&self.entries, &ranking, rank), now);
        let left_ms = self.entries[newest].request.latest_start.remaining_ms(now);
        let certain_wait_ms = expected_wait_ms.unwrap_or(0) as f64 * CERTAIN_WAIT_SHARE;
        if !has_room && (left_ms == 0 || certain_wait_ms > left_ms as f64) {
            let reason = RefusalReason::ExpectedLate;
            let entry = self.entries.remove(newest);
            return Arrival::Refuse(self.refusal(&entry, reason, expected_wait_ms, random, now));
        }
        let Some(victims) = self.victims(&ranking, newest) else {
            let entry = self.entries.remove(newest);
            let reason = RefusalReason::Full;
            return Arrival::Refuse(self.refusal(&entry, reason, expected_wait_ms, random, now));
        };
        if has_room {
            // It gets its turn after those that rank before it.
            self.turns_left = self.turns_left.max(1);
        }
        let displaced = victims
            .into_iter()
            .filter_map(|ticket| {
                let refusal = self.refuse(ticket, RefusalReason::Full, random, now)?;
                Some(Displaced { ticket, refusal })
            })
            .collect();
        Arrival::Wait { ticket, rank, expected_wait_ms, displaced }
    }

    /// Begins a round of turns, because the room at endpoints may have grown.
    pub fn room_changed(&mut self) {
        self.entries.iter_mut().for_each(|entry| entry.was_tried = false);
        self.turns_left = MAX_TURNS;
        self.round += 1;
    }

    /// Returns the next turn of the round, unless another request holds one.
    pub fn next_turn(&mut self, now: Instant) -> Option<Turn> {
        if self.turn.is_some() || self.turns_left == 0 {
            return None;
        }
        let mut ranking = order::ranking(&self.entries, &self.usage, now);
        let held_back = self.held_back();
        ranking.retain(|&position| {
            let entry = &self.entries[position];
            !entry.was_tried && held_back.is_none_or(|from| entry.request.priority < from)
        });
        let position = match self.turns_left > LAST_TURNS {
            true => *ranking.first()?,
            false => {
                ranking.into_iter().min_by_key(|&position| self.entries[position].last_round)?
            }
        };
        let entry = &mut self.entries[position];
        entry.last_round = self.round;
        let turn = Turn { ticket: entry.ticket, may_use_reserve: entry.is_overdue() };
        self.turn = Some(turn.ticket);
        self.turns_left -= 1;
        Some(turn)
    }

    /// Removes a request that starts.
    pub fn start(&mut self, ticket: Ticket, now: Instant) {
        let Some(entry) = self.remove(ticket) else { return };
        for earlier in self.entries.iter_mut().filter(|earlier| earlier.ticket < ticket) {
            earlier.passed_over = earlier.passed_over.saturating_add(1);
        }
        self.usage.record(&entry.request.organisation, &entry.request.work, now);
        self.started.add(entry.request.work.memory(), now);
    }

    /// Records that no endpoint has room for the holder of a turn.
    pub fn no_room(&mut self, ticket: Ticket) {
        self.end_turn(ticket);
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.ticket == ticket) {
            entry.was_tried = true;
        }
    }

    /// Removes a request whose caller has gone.
    pub fn leave(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Removes a request at its latest useful start; `random` is from 0 to 1. Returns `None` if it does
    /// not wait.
    pub fn expire(&mut self, ticket: Ticket, random: f64, now: Instant) -> Option<RoomRefusal> {
        self.refuse(ticket, RefusalReason::Expired, random, now)
    }

    /// Returns whether this request is the first one to start.
    pub fn is_first(&self, ticket: Ticket, now: Instant) -> bool {
        let ranking = order::ranking(&self.entries, &self.usage, now);
        ranking.first().is_some_and(|&position| self.entries[position].ticket == ticket)
    }

    /// Returns the requests that have to leave so that the limits hold, from the end of the ranking, or
    /// `None` if the newest one is among them.
    fn victims(&self, ranking: &[usize], newest: usize) -> Option<Vec<Ticket>> {
        let mut count = self.entries.len();
        let mut bytes: Bytes = self.entries.iter().map(|entry| entry.request.body).sum();
        let mut victims = Vec::new();
        for &position in ranking.iter().rev() {
            if count <= self.limits.max_requests && bytes <= self.limits.max_bytes {
                break;
            }
            if position == newest {
                return None;
            }
            let entry = &self.entries[position];
            count -= 1;
            bytes = bytes.saturating_sub(entry.request.body);
            victims.push(entry.ticket);
        }
        Some(victims)
    }

    /// Returns the most urgent priority of the requests that were passed over too often and for which no
    /// endpoint has room. Requests of that priority and of less urgent ones must not start before them.
    fn held_back(&self) -> Option<Priority> {
        let overdue = self.entries.iter().filter(|entry| entry.is_overdue() && entry.was_tried);
        overdue.map(|entry| entry.request.priority).min()
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: RefusalReason,
        random: f64,
        now: Instant,
    ) -> Option<RoomRefusal> {
        let position = self.entries.iter().position(|entry| entry.ticket == ticket)?;
        let ranking = order::ranking(&self.entries, &self.usage, now);
        let rank = ranking.iter().position(|&ranked| ranked == position).unwrap_or(position);
        let tokens = order::tokens_until(&self.entries, &ranking, rank);
        let expected_wait_ms = self.started.duration_ms(tokens, now);
        let entry = self.remove(ticket)?;
        Some(self.refusal(&entry, reason, expected_wait_ms, random, now))
    }

    /// Makes the refusal of a request and remembers its caller.
    fn refusal(
        &mut self,
        entry: &Entry,
        reason: RefusalReason,
        expected_wait_ms: Option<u64>,
        random: f64,
        now: Instant,
    ) -> RoomRefusal {
        let request = &entry.request;
        let waited_ms = now.ms_since(entry.entered_at);
        let wait_ms = expected_wait_ms
            .map_or(DEFAULT_RETRY_AFTER_MS, |expected_ms| expected_ms.saturating_sub(waited_ms));
        // Callers that were refused together must not come back together.
        let spread_ms = (wait_ms as f64 * (0.75 + 0.5 * random)) as u64;
        let longest_ms = request.deadline.remaining_ms(now) / RETRY_AFTER_DIVISOR;
        let retry_after_ms =
            spread_ms.clamp(MIN_RETRY_AFTER_MS, longest_ms.max(MIN_RETRY_AFTER_MS));
        self.refused.retain(|(_, _, until)| !until.has_passed(now));
        if self.refused.len() >= MAX_REFUSED {
            self.refused.remove(0);
        }
        let until = Deadline::after_ms(now, retry_after_ms.saturating_add(RETURN_MS));
        self.refused.push((request.caller_hash, request.route.clone(), until));
        RoomRefusal { reason, retry_after_ms }
    }

    /// Returns whether the caller of a request was refused lately, and forgets that.
    fn take_refused(&mut self, request: &WaitingRequest, now: Instant) -> bool {
        let found = self.refused.iter().position(|(caller_hash, route, until)| {
            *caller_hash == request.caller_hash && *route == request.route && !until.has_passed(now)
        });
        found.map(|position| self.refused.remove(position)).is_some()
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        self.end_turn(ticket);
        let position = self.entries.iter().position(|entry| entry.ticket == ticket)?;
        Some(self.entries.remove(position))
    }

    fn end_turn(&mut self, ticket: Ticket) {
        if self.turn == Some(ticket) {
            self.turn = None;
        }
    }
}
