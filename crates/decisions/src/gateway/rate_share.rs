//! This node's share of a request rate that all nodes may send together.

use yuccapass_types::{Instant, RequestRate};

/// How late a turn may be used. All nodes together send at most what the rate allows in a time plus this
/// one, also when they begin to send at the same moment.
const MAX_LATE_US: u64 = 2_000_000;

/// The turns of a node, in which it may send one request each.
///
/// Turns follow each other at equal intervals from a random time on, so that those of different nodes
/// are spread. A turn that is not used in time lapses.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateShare {
    // On the clock of `Instant`, in microseconds.
    next_turn_us: Option<u64>,
    // The rate and the number of nodes from which that turn was planned.
    planned_for: Option<(RequestRate, u32)>,
}

impl RateShare {
    /// Returns whether this node may send a request now. `nodes` is the number of nodes that share the
    /// rate. The first turn comes after `random`, from 0 to 1, times the period.
    pub fn may_send(&mut self, rate: RequestRate, nodes: u32, random: f64, now: Instant) -> bool {
        let Some(period_us) = rate.period_us(nodes).map(|period_us| period_us.max(1)) else {
            return false;
        };
        let now_us = now.as_ms() * 1_000;
        let turn_us = match self.next_turn_us {
            None => now_us + (random * period_us as f64) as u64,
            Some(turn_us) => match turn_us.checked_sub(now_us) {
                Some(wait_us) => now_us + self.rescaled(wait_us, period_us),
                None => latest_turn(turn_us, period_us, now_us),
            },
        };
        self.next_turn_us = Some(turn_us);
        self.planned_for = Some((rate, nodes));
        turn_us <= now_us
    }

    /// Records that a request is sent in the turn for which [`may_send`](Self::may_send) was true.
    pub fn record_sent(&mut self) {
        let period_us = self.planned_period_us().unwrap_or_default();
        self.next_turn_us = self.next_turn_us.map(|turn_us| turn_us.saturating_add(period_us));
    }

    fn planned_period_us(&self) -> Option<u64> {
        let (rate, nodes) = self.planned_for?;
        rate.period_us(nodes).map(|period_us| period_us.max(1))
    }

    /// Returns a wait for the next turn under a new period: nodes may have left, or the rate changed.
    fn rescaled(&self, wait_us: u64, period_us: u64) -> u64 {
        let planned_us = self.planned_period_us().unwrap_or(period_us);
        (wait_us as f64 * period_us as f64 / planned_us as f64) as u64
    }
}

/// Returns the last turn if it may still be used, else the next one.
fn latest_turn(turn_us: u64, period_us: u64, now_us: u64) -> u64 {
    let last_us = turn_us + (now_us - turn_us) / period_us * period_us;
    let is_usable = now_us - last_us <= MAX_LATE_US.min(period_us);
    if is_usable { last_us } else { last_us + period_us }
}
