//! Calls during and after an outage of the service.

use rand::{Rng, RngExt};
use yuccapass_types::{Deadline, Instant};

use crate::platform_budget::{Backoff, CallRank};

/// First bound of the delay between probes.
const PROBE_BASE_MS: u64 = 100;

/// Shortest limit of the delay between probes.
const PROBE_LIMIT_MS: u64 = 5_000;

/// Part of the return window for each node of the fleet: 100 nodes a second come back, which leaves
/// each of them 10 reads a second of half the service's rate. 340 nodes return within 3.4 s of
/// their probes, which are at most 5 s apart, so a change made right after an outage is active
/// everywhere within 14 s also on nodes that read it themselves.
const RETURN_MS_PER_NODE: u64 = 10;

/// Whether a call may be made as far as outages are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageDecision {
    /// Call now.
    Proceed,
    /// Ask again at this instant.
    WaitUntil(Instant),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    Down { since: Instant, backoff: Backoff, next_probe: Instant },
    Returning { at: Instant },
}

/// Lets one probe through at a time while the service is down, and spreads the return of the nodes
/// over a window that grows with the fleet and with the length of the outage.
///
/// Commands always pass: there are few, and an operator waits for an answer. Lease calls pass as
/// soon as a probe succeeds.
#[derive(Debug, Clone)]
pub struct OutageGate {
    fleet_nodes: u32,
    max_probe_ms: u64,
    state: State,
}

impl OutageGate {
    /// Makes a gate for a node among `fleet_nodes` whose service is up as far as it knows.
    pub fn new(fleet_nodes: u32) -> Self {
        Self { fleet_nodes, max_probe_ms: PROBE_LIMIT_MS, state: State::Up }
    }

    /// Sets the limit of the delay between two probes; 5 s by default. It is longer where so many
    /// nodes probe that this would be a load by itself.
    pub fn max_probe_ms(mut self, ms: u64) -> Self {
        self.max_probe_ms = ms;
        self
    }

    /// Changes the number of nodes.
    pub fn set_fleet_nodes(&mut self, fleet_nodes: u32) {
        self.fleet_nodes = fleet_nodes;
    }

    /// Returns whether the last answer came before the last failure.
    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down { .. })
    }

    /// Asks whether a call may be made; during an outage the call that passes is the probe.
    pub fn admit(&mut self, rank: CallRank, now: Instant, random: &mut dyn Rng) -> OutageDecision {
        if rank == CallRank::Command {
            return OutageDecision::Proceed;
        }
        let probe_limit_ms = self.probe_limit_ms();
        match &mut self.state {
            State::Up => OutageDecision::Proceed,
            State::Down { next_probe, .. } if now >= *next_probe => {
                // Until its outcome is known no other call passes, unless it takes too long. Without
                // jitter, nodes whose probes are given up together would probe together again.
                let wait_ms = random.random_range(probe_limit_ms / 2..=probe_limit_ms);
                *next_probe = Deadline::after_ms(now, wait_ms).instant();
                OutageDecision::Proceed
            }
            State::Down { next_probe, .. } => OutageDecision::WaitUntil(*next_probe),
            State::Returning { at } if now < *at && rank != CallRank::Lease => {
                OutageDecision::WaitUntil(*at)
            }
            State::Returning { .. } => OutageDecision::Proceed,
        }
    }

    /// Notes that the service answered.
    pub fn record_success(&mut self, now: Instant, random: &mut dyn Rng) {
        match self.state {
            State::Up => {}
            State::Down { since, .. } => {
                let full_ms = u64::from(self.fleet_nodes) * RETURN_MS_PER_NODE;
                // After a short failure few nodes wait, so they need no longer than it lasted.
                let window_ms = full_ms.min(now.ms_since(since));
                let delay_ms = random.random_range(0..=window_ms);
                self.state = State::Returning { at: Deadline::after_ms(now, delay_ms).instant() };
            }
            State::Returning { at } if now >= at => self.state = State::Up,
            State::Returning { .. } => {}
        }
    }

    /// Notes that the service did not answer.
    pub fn record_failure(&mut self, now: Instant, random: &mut dyn Rng) {
        let limit_ms = self.probe_limit_ms();
        let (since, mut backoff) = match self.state {
            State::Down { since, backoff, .. } => (since, backoff),
            _ => (now, Backoff::new(PROBE_BASE_MS, limit_ms)),
        };
        let next_probe = Deadline::after_ms(now, backoff.next_delay_ms(random)).instant();
        self.state = State::Down { since, backoff, next_probe };
    }

    fn probe_limit_ms(&self) -> u64 {
        self.max_probe_ms.max(u64::from(self.fleet_nodes) * RETURN_MS_PER_NODE)
    }
}
