//! This node's part in a request rate, from what the nodes of its zone want to send and have sent.

use yuccapass_types::{Instant, RequestRate};

/// Length of the window in which requests are counted. It is that of the platform's rule on limits.
const WINDOW_MS: u64 = 4_000;

const WINDOW_S: f64 = WINDOW_MS as f64 / 1_000.0;

/// Length of a slot of the window.
const SLOT_MS: u64 = 250;

const SLOTS: usize = (WINDOW_MS / SLOT_MS) as usize;

/// The last slots, which show a rise of this node's own demand before the exchange does.
const RECENT_SLOTS: u64 = 2;

/// Time in which the nodes make up for what they have sent too little or too much. It must be longer than
/// the age of the counts, or they send too much and too little in turns.
const CORRECTION_S: f64 = 1.0;

/// Largest rate to which that leads, as a multiple of what the turns leave.
const MAX_CORRECTION: f64 = 1.5;

/// Requests that nodes may have sent too much before they give up their turns: half of the 5 requests that
/// the platform allows in addition to one and a half times the rate.
const MAX_SURPLUS: f64 = 2.5;

/// Age of the counts from which they are not used.
const MAX_AGE_MS: u64 = 1_200;

/// Longest pause of a node between two requests, if half of the period of its equal share is longer. It
/// bounds what nodes send that all see more requests before their counts do.
const MAX_PAUSE_MS: u64 = 1_000;

/// How long the right to send a request may be used that this node has drawn.
const PERMIT_MS: u64 = 100;

/// Counts of the last 4 s.
#[derive(Debug, Clone, Copy, Default)]
struct WindowCount {
    counts: [u32; SLOTS],
    // The number of the newest slot.
    slot: u64,
}

impl WindowCount {
    fn advance(&mut self, now: Instant) {
        let slot = now.as_ms() / SLOT_MS;
        let passed = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for later in 0..passed {
            self.counts[(slot - later) as usize % SLOTS] = 0;
        }
        self.slot = self.slot.max(slot);
    }

    fn add(&mut self, now: Instant) {
        self.advance(now);
        let count = &mut self.counts[self.slot as usize % SLOTS];
        *count = count.saturating_add(1);
    }

    fn total(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    fn recent(&mut self, now: Instant) -> u32 {
        self.advance(now);
        let slots = (0..RECENT_SLOTS).map(|before| self.slot.saturating_sub(before));
        slots.map(|slot| self.counts[slot as usize % SLOTS]).sum()
    }
}

/// What nodes wanted to send to an endpoint with a limit, and have sent, in the last 4 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUse {
    /// The limit.
    pub rate: RequestRate,
    /// Time since the endpoint last named it to one of the nodes.
    pub named_age_ms: u64,
    /// Requests that could have been sent.
    pub wanted: u32,
    /// Requests that were sent.
    pub sent: u32,
    /// Those of them that were sent in a node's turn.
    pub sent_in_turn: u32,
}

/// The counts of other nodes.
#[derive(Debug, Clone, Copy)]
struct Others {
    wanted: u32,
    sent: u32,
    sent_in_turn: u32,
    // Nodes that are counted, with this one.
    nodes: u32,
    as_of: Instant,
}

/// Decides by lot which requests are sent outside of turns, so that the nodes together send what a rate
/// allows, whichever of them have requests.
///
/// The turns of nodes that have none are what is left for the lot. Turns bound what nodes send whose demand
/// rises before the others' counts say so. Without recent counts nothing is sent outside of turns.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandShare {
    wanted: WindowCount,
    sent: WindowCount,
    sent_in_turn: WindowCount,
    others: Option<Others>,
    counted_from: Option<Instant>,
    permitted_at: Option<Instant>,
    sent_at: Option<Instant>,
}

impl DemandShare {
    /// Records the counts of other nodes, which are not older than `as_of`; `nodes` is their number.
    pub fn record_others(&mut self, used: &LimitUse, nodes: u32, as_of: Instant) {
        self.counted_from.get_or_insert(as_of);
        let nodes = nodes.saturating_add(1);
        let LimitUse { wanted, sent, sent_in_turn, .. } = *used;
        self.others = Some(Others { wanted, sent, sent_in_turn, nodes, as_of });
    }

    /// Returns what this node tells the others about a limit that was named at `named_at`.
    pub fn own_use(&mut self, rate: RequestRate, named_at: Instant, now: Instant) -> LimitUse {
        LimitUse {
            rate,
            named_age_ms: now.ms_since(named_at),
            wanted: self.wanted.total(now),
            sent: self.sent.total(now),
            sent_in_turn: self.sent_in_turn.total(now),
        }
    }

    /// Returns whether a request may be sent now outside of a turn. `nodes` share the rate; `random` is
    /// from 0 to 1.
    pub fn may_send(&mut self, rate: RequestRate, nodes: u32, random: f64, now: Instant) -> bool {
        let is_permitted = self.permitted_at.is_some_and(|at| now.ms_since(at) <= PERMIT_MS);
        if !is_permitted {
            self.wanted.add(now);
            self.counted_from.get_or_insert(now);
        }
        let Some(others) = self.recent_others(now) else { return false };
        let is_drawn = !is_permitted
            && !self.is_pausing(rate, nodes, now)
            && random < self.sent_share(rate, nodes, &others, now);
        if is_drawn {
            self.permitted_at = Some(now);
        }
        is_permitted || is_drawn
    }

    fn is_pausing(&self, rate: RequestRate, nodes: u32, now: Instant) -> bool {
        let half_period_ms = rate.period_us(nodes).map_or(u64::MAX, |period_us| period_us / 2_000);
        let pause_ms = half_period_ms.min(MAX_PAUSE_MS);
        self.sent_at.is_some_and(|at| now.ms_since(at) < pause_ms)
    }

    /// Records that a request is sent, in a turn or not.
    pub fn record_sent(&mut self, is_turn: bool, now: Instant) {
        if is_turn {
            self.sent_in_turn.add(now);
        }
        self.permitted_at = None;
        self.sent_at = Some(now);
        self.sent.add(now);
    }

    /// Returns whether the nodes have sent more than the rate allows in the window, so that no turn may be
    /// used.
    pub fn is_exceeded(&mut self, rate: RequestRate, nodes: u32, now: Instant) -> bool {
        let Some(others) = self.recent_others(now) else { return false };
        self.missing(allowed_per_s(rate, nodes, &others), &others, now) < -MAX_SURPLUS
    }

    fn recent_others(&self, now: Instant) -> Option<Others> {
        self.others.filter(|others| now.ms_since(others.as_of) <= MAX_AGE_MS)
    }

    /// Returns what is missing in the window to what is allowed.
    fn missing(&mut self, allowed_per_s: f64, others: &Others, now: Instant) -> f64 {
        let sent = f64::from(self.sent.total(now)) + f64::from(others.sent);
        allowed_per_s * WINDOW_S - sent
    }

    /// Returns the share of the wanted requests that may be sent.
    fn sent_share(&mut self, rate: RequestRate, nodes: u32, others: &Others, now: Instant) -> f64 {
        let allowed_per_s = allowed_per_s(rate, nodes, others);
        let missing = self.missing(allowed_per_s, others, now);
        // What the turns leave.
        let in_turn = f64::from(self.sent_in_turn.total(now)) + f64::from(others.sent_in_turn);
        let left_per_s = (allowed_per_s - in_turn / WINDOW_S).max(0.0);
        let corrected_per_s =
            (left_per_s + missing / CORRECTION_S).clamp(0.0, MAX_CORRECTION * left_per_s);
        corrected_per_s / self.wanted_per_s(others, now)
    }

    fn wanted_per_s(&mut self, others: &Others, now: Instant) -> f64 {
        let own = f64::from(self.wanted.total(now));
        // Nodes that have just started to count have seen less than a window.
        let counted_ms = self.counted_from.map_or(0, |from| now.ms_since(from));
        let counted_s = counted_ms.clamp(SLOT_MS, WINDOW_MS) as f64 / 1_000.0;
        let wanted_per_s = (own + f64::from(others.wanted)) / counted_s;
        // The other nodes' demand rises with that of this one, and their counts say so only later. A
        // rise counts as far as it is no chance.
        let recent = f64::from(self.wanted.recent(now));
        let usual = own * (RECENT_SLOTS * SLOT_MS) as f64 / (counted_s * 1_000.0);
        let rise = (recent - 2.0 * recent.sqrt()) / usual.max(1.0);
        wanted_per_s * rise.max(1.0)
    }
}

/// Returns what the nodes of the zone may send: their part of what all nodes may.
fn allowed_per_s(rate: RequestRate, nodes: u32, others: &Others) -> f64 {
    let part = f64::from(others.nodes) / f64::from(nodes.max(1));
    rate.per_s() * part.min(1.0)
}
