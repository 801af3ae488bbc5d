//! What an endpoint says about itself in its answers, and which requests that allows.

use yuccapass_types::{Deadline, Instant, RequestRate};

use super::rate_share::RateShare;

/// The longest pause for which an endpoint can ask.
const MAX_PAUSE_MS: u64 = 600_000;

/// What an answer says about its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// The requests that the endpoint takes from all nodes together; `None` if it names no limit.
    pub limit: Option<RequestRate>,
    /// Whether the endpoint is about to leave.
    pub is_leaving: bool,
    /// For how long the endpoint wants nothing from this node, which it has turned away.
    pub pause_ms: Option<u64>,
}

impl EndpointNotice {
    /// Returns whether the answer says nothing that binds a node.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A limit that an endpoint names.
#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    rate: RequestRate,
    // When it was last named.
    named_at: Instant,
    share: RateShare,
}

/// What this node has learned from the answers of one process of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointNotices {
    limit: Option<NamedLimit>,
    // A process that leaves does not come back.
    is_leaving: bool,
    pause_end: Option<Deadline>,
}

impl EndpointNotices {
    /// Records what an answer says that has arrived at `now` to a request sent at `sent_at`.
    pub fn record(&mut self, notice: &EndpointNotice, sent_at: Instant, now: Instant) {
        self.is_leaving |= notice.is_leaving;
        self.pause_end = self.pause_end.filter(|end| !end.has_passed(now));
        let pause_end = notice.pause_ms.map(|ms| Deadline::after_ms(now, ms.min(MAX_PAUSE_MS)));
        // Answers may overtake each other, so a shorter pause does not end a longer one.
        self.pause_end = self.pause_end.max(pause_end);
        match (notice.limit, &mut self.limit) {
            (Some(rate), Some(known)) => (known.rate, known.named_at) = (rate, now),
            (Some(rate), None) => {
                self.limit = Some(NamedLimit { rate, named_at: now, share: RateShare::default() });
            }
            // An answer that was on its way when the limit was named does not end it.
            (None, Some(known)) if sent_at > known.named_at => self.limit = None,
            (None, _) => {}
        }
    }

    /// Returns whether nothing binds this node.
    pub fn is_empty(&self) -> bool {
        self.limit.is_none() && !self.is_leaving && self.pause_end.is_none()
    }

    /// Returns whether this node may send a request to the endpoint now. `nodes` is the number of nodes
    /// that share its limit, and `random`, from 0 to 1, spreads their first requests.
    pub fn may_send(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        let has_turn =
            |limit: &mut NamedLimit| limit.share.may_send(limit.rate, nodes, random, now);
        let is_paused = self.pause_end.is_some_and(|end| !end.has_passed(now));
        !self.is_leaving && !is_paused && self.limit.as_mut().is_none_or(has_turn)
    }

    /// Takes the right to send a request now; returns `false` if there is none.
    #[must_use]
    pub fn try_send(&mut self, nodes: u32, random: f64, now: Instant) -> bool {
        let may_send = self.may_send(nodes, random, now);
        if let Some(limit) = self.limit.as_mut().filter(|_| may_send) {
            limit.share.record_sent();
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
