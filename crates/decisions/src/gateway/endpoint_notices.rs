//! What an endpoint says about itself in its answers, and which requests that allows.

use yuccapass_types::{Deadline, Instant, RequestRate};

use super::demand_share::{DemandShare, LimitUse};
use super::rate_share::RateShare;

/// The longest pause for which an endpoint can ask.
const MAX_PAUSE_MS: u64 = 600_000;

/// How long a limit that only other nodes were told holds without being named again to one of them. An
/// endpoint in need names it in each answer.
const HEARSAY_MS: u64 = 10_000;

/// What an answer says about its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// The requests that the endpoint takes from all nodes together; `None` if it names no limit.
    pub limit: Option<RequestRate>,
    /// Whether the endpoint is about to leave.
    pub is_leaving: bool,
    /// For how long the endpoint wants nothing from this node, which it has turned away.
    pub pause_ms: Option<u64>,
    /// The requests a second that the endpoint can turn away for want of room without ending; `None` if it is not
    /// brittle.
    pub max_rejections_per_s: Option<u32>,
    /// Whether the endpoint has turned the request away for want of room, or reports that it has none.
    pub is_full: bool,
}

impl EndpointNotice {
    /// Returns whether the answer says nothing that binds a node.
    pub fn is_empty(&self) -> bool {
        Self { is_full: false, ..*self } == Self::default()
    }
}

/// A limit that an endpoint names.
#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    rate: RequestRate,
    // When it was last named, to this node or another one.
    named_at: Instant,
    is_hearsay: bool,
    share: RateShare,
    demand: DemandShare,
    // Whether it was this node's turn when that was last asked.
    has_turn: bool,
}

impl NamedLimit {
    fn new(rate: RequestRate, named_at: Instant, is_hearsay: bool) -> Self {
        let (share, demand) = (RateShare::default(), DemandShare::default());
        Self { rate, named_at, is_hearsay, share, demand, has_turn: false }
    }

    /// Returns whether this node may send a request now: in its turn, or by lot while the demand of the
    /// other nodes is known.
    fn may_send(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        self.has_turn = self.share.may_send(self.rate, nodes, random, now)
            && !self.demand.is_exceeded(self.rate, nodes, now);
        let is_drawn = self.demand.may_send(self.rate, nodes, random, now);
        self.has_turn || is_drawn
    }

    fn record_sent(&mut self, now: Instant) {
        if self.has_turn {
            self.share.record_sent();
        }
        self.demand.record_sent(self.has_turn, now);
    }
}

/// Share of the rejections that a brittle endpoint bears which all nodes together risk. The rest is for requests
/// that were on their way when it became full.
const RISKED_REJECTIONS: f64 = 0.5;

/// An endpoint that ends if it has to turn too many requests away.
#[derive(Debug, Clone, Copy)]
struct Brittle {
    // The rate at which all nodes together may send requests while it is full.
    rate: RequestRate,
    // When it was last said.
    named_at: Instant,
    is_full: bool,
    share: RateShare,
}

impl Brittle {
    fn new(max_rejections_per_s: u32, named_at: Instant, is_full: bool) -> Self {
        Self {
            rate: risked_rate(max_rejections_per_s),
            named_at,
            is_full,
            share: RateShare::default(),
        }
    }

    fn may_send(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        !self.is_full || self.share.may_send(self.rate, nodes, random, now)
    }
}

fn risked_rate(max_rejections_per_s: u32) -> RequestRate {
    let rate = f64::from(max_rejections_per_s) * RISKED_REJECTIONS;
    RequestRate::from_per_s(rate).unwrap_or_default()
}

/// What this node has learned from the answers of one process of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointNotices {
    limit: Option<NamedLimit>,
    brittle: Option<Brittle>,
    // Limits named before this have ended.
    unlimited_at: Option<Instant>,
    // A process that leaves does not come back.
    is_leaving: bool,
    pause_end: Option<Deadline>,
}

impl EndpointNotices {
    /// Records what an answer says that has arrived at `now` to a request sent at `sent_at`.
    pub fn record(&mut self, notice: &EndpointNotice, sent_at: Instant, now: Instant) {
        self.record_brittle(notice, sent_at, now);
        self.is_leaving |= notice.is_leaving;
        self.pause_end = self.pause_end.filter(|end| !end.has_passed(now));
        let pause_end = notice.pause_ms.map(|ms| Deadline::after_ms(now, ms.min(MAX_PAUSE_MS)));
        // Answers may overtake each other, so a shorter pause does not end a longer one.
        self.pause_end = self.pause_end.max(pause_end);
        match (notice.limit, &mut self.limit) {
            (Some(rate), Some(known)) => {
                (known.rate, known.named_at, known.is_hearsay) = (rate, now, false);
            }
            (Some(rate), None) => self.limit = Some(NamedLimit::new(rate, now, false)),
            // An answer that was on its way when the limit was named does not end it.
            (None, Some(known)) if sent_at > known.named_at => {
                self.limit = None;
                self.unlimited_at = Some(sent_at);
            }
            (None, _) => {}
        }
    }

    fn record_brittle(&mut self, notice: &EndpointNotice, sent_at: Instant, now: Instant) {
        let is_full = notice.is_full;
        match (notice.max_rejections_per_s, &mut self.brittle) {
            (Some(max), Some(known)) => {
                (known.rate, known.named_at, known.is_full) = (risked_rate(max), now, is_full);
            }
            (Some(max), None) => self.brittle = Some(Brittle::new(max, now, is_full)),
            // An answer that was on its way when the endpoint became brittle does not end that.
            (None, Some(known)) if sent_at > known.named_at => self.brittle = None,
            (None, _) => {}
        }
    }

    /// Records what `nodes` other nodes of the zone know of the endpoint's limit, as of an instant.
    pub fn record_zone_use(&mut self, used: &LimitUse, nodes: u32, as_of: Instant) {
        let named_at = Instant::from_ms(as_of.as_ms().saturating_sub(used.named_age_ms));
        if self.unlimited_at.is_some_and(|ended_at| named_at <= ended_at) {
            return;
        }
        let limit = self.limit.get_or_insert_with(|| NamedLimit::new(used.rate, named_at, true));
        if named_at > limit.named_at {
            (limit.rate, limit.named_at) = (used.rate, named_at);
        }
        limit.demand.record_others(used, nodes, as_of);
    }

    /// Returns what this node tells the others of the endpoint's limit, if it knows one.
    pub fn zone_use(&mut self, now: Instant) -> Option<LimitUse> {
        self.drop_old_hearsay(now);
        let limit = self.limit.as_mut()?;
        Some(limit.demand.own_use(limit.rate, limit.named_at, now))
    }

    fn drop_old_hearsay(&mut self, now: Instant) {
        let is_old =
            |limit: &NamedLimit| limit.is_hearsay && now.ms_since(limit.named_at) > HEARSAY_MS;
        self.limit = self.limit.filter(|limit| !is_old(limit));
    }

    /// Returns whether nothing binds this node.
    pub fn is_empty(&self) -> bool {
        self.limit.is_none()
            && self.brittle.is_none()
            && !self.is_leaving
            && self.pause_end.is_none()
    }

    /// Returns whether this node may send a request to the endpoint now. `nodes` is the number of nodes
    /// that share its limit, and `random`, from 0 to 1, spreads their first requests.
    pub fn may_send(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        self.drop_old_hearsay(now);
        let has_turn = |limit: &mut NamedLimit| limit.may_send(nodes, random, now);
        let is_paused = self.pause_end.is_some_and(|end| !end.has_passed(now));
        let has_room = |brittle: &mut Brittle| brittle.may_send(nodes, random, now);
        !self.is_leaving
            && !is_paused
            && self.limit.as_mut().is_none_or(has_turn)
            && self.brittle.as_mut().is_none_or(has_room)
    }

    /// Takes the right to send a request now; returns `false` if there is none.
    #[must_use]
    pub fn try_send(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        let may_send = self.may_send(nodes, random, now);
        if let Some(limit) = self.limit.as_mut().filter(|_| may_send) {
            limit.record_sent(now);
        }
        if let Some(brittle) = self.brittle.as_mut().filter(|known| may_send && known.is_full) {
            brittle.share.record_sent();
        }
        may_send
    }

    /// Returns after which time the endpoint takes another request from this node, or from any node if it
    /// only names a limit, in milliseconds; `None` if it says nothing about that.
    pub fn retry_after_ms(&self, now: Instant) -> Option<u64> {
        if self.is_leaving {
            return None;
        }
        let pause_ms = self.pause_end.map(|end| end.remaining_ms(now));
        let period_us = self.limit.as_ref().and_then(|limit| limit.rate.period_us(1));
        pause_ms.max(period_us.map(|period_us| period_us.div_ceil(1_000)))
    }
}
