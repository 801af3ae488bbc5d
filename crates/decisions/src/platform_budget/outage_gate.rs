//! Limits the calls during and after an outage of the platform.

use rand::{Rng, RngExt};
use yuccapass_types::{Deadline, Instant};

use crate::platform_budget::{Backoff, CallRank};

/// First bound of the delay between probes.
const PROBE_BASE_MS: u64 = 100;

/// Maximum delay between probes, unless the fleet is so large that it needs a longer one.
const PROBE_LIMIT_MS: u64 = 5_000;

/// Length of the return window per node of the fleet.
///
/// 100 nodes return per second, which leaves 10 reads for each at half the platform's read rate.
/// 340 nodes return within 3.4 s of their probes, which are at most 5 s apart, so a change made right
/// after an outage is active everywhere within 14 s, also on nodes that read it themselves.
const RETURN_MS_PER_NODE: u64 = 10;

/// Time after which a call that may not probe the platform asks the gate again, if the next probe is
/// due but no other call has made it yet.
const REPORT_WAIT_MS: u64 = 100;

/// Whether the gate lets a call through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageDecision {
    /// Call now.
    Proceed,
    /// Ask the gate again at this instant.
    WaitUntil(Instant),
}

/// What a closed gate knows of the outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// When the first call failed.
    pub since: Instant,
    /// The number of calls that have failed.
    pub failures: u32,
    /// When the next probe is due.
    pub next_probe: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    Down { outage: Outage, backoff: Backoff },
    Returning { at: Instant },
}

/// Lets one probe at a time through while the platform is down, and then spreads the return of the
/// nodes over a window that grows with the fleet and with the length of the outage.
///
/// Commands always pass, since they are few and an operator waits for the answer. Lease calls pass
/// as soon as a probe succeeds. Reports are never probes: those are left to the calls that other nodes
/// and callers depend on.
#[derive(Debug, Clone)]
pub struct OutageGate {
    fleet_nodes: u32,
    max_probe_ms: u64,
    state: State,
}

impl OutageGate {
    /// Creates a gate for a node of a fleet of `fleet_nodes`; the platform is assumed to be up.
    pub fn new(fleet_nodes: u32) -> Self {
        Self { fleet_nodes, max_probe_ms: PROBE_LIMIT_MS, state: State::Up }
    }

    /// Sets the maximum delay between two probes; 5 s by default. It is longer in a fleet whose
    /// probes alone would otherwise load the platform.
    pub fn max_probe_ms(mut self, ms: u64) -> Self {
        self.max_probe_ms = ms;
        self
    }

    /// Sets the number of nodes of the fleet.
    pub fn set_fleet_nodes(&mut self, fleet_nodes: u32) {
        self.fleet_nodes = fleet_nodes;
    }

    /// Returns whether the last recorded result was a failure.
    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down { .. })
    }

    /// Returns what is known of the outage while the last recorded result is a failure.
    pub fn outage(&self) -> Option<Outage> {
        match self.state {
            State::Down { outage, .. } => Some(outage),
            _ => None,
        }
    }

    /// Decides whether a call may be made; during an outage a call that passes is a probe.
    pub fn admit(&mut self, rank: CallRank, now: Instant, random: &mut dyn Rng) -> OutageDecision {
        if rank == CallRank::Command {
            return OutageDecision::Proceed;
        }
        let probe_limit_ms = self.probe_limit_ms();
        match &mut self.state {
            State::Up => OutageDecision::Proceed,
            State::Down { outage, .. } if !rank.shows_outage() => {
                let earliest = Deadline::after_ms(now, REPORT_WAIT_MS).instant();
                OutageDecision::WaitUntil(earliest.max(outage.next_probe))
            }
            State::Down { outage, .. } if now >= outage.next_probe => {
                // No other call passes until the result of the probe is recorded or this delay is
                // over. Without jitter, nodes whose probes time out together would probe together
                // again.
                let wait_ms = random.random_range(probe_limit_ms / 2..=probe_limit_ms);
                outage.next_probe = Deadline::after_ms(now, wait_ms).instant();
                OutageDecision::Proceed
            }
            State::Down { outage, .. } => OutageDecision::WaitUntil(outage.next_probe),
            State::Returning { at } if now < *at && rank != CallRank::Lease => {
                OutageDecision::WaitUntil(*at)
            }
            State::Returning { .. } => OutageDecision::Proceed,
        }
    }

    /// Records that the platform answered.
    pub fn record_success(&mut self, now: Instant, random: &mut dyn Rng) {
        match self.state {
            State::Up => {}
            State::Down { outage, .. } => {
                let max_window_ms = u64::from(self.fleet_nodes) * RETURN_MS_PER_NODE;
                // Few calls wait after a short failure, so the window is no longer than the failure.
                let window_ms = max_window_ms.min(now.ms_since(outage.since));
                let delay_ms = random.random_range(0..=window_ms);
                self.state = State::Returning { at: Deadline::after_ms(now, delay_ms).instant() };
            }
            State::Returning { at } if now >= at => self.state = State::Up,
            State::Returning { .. } => {}
        }
    }

    /// Records that the platform did not answer.
    pub fn record_failure(&mut self, now: Instant, random: &mut dyn Rng) {
        let limit_ms = self.probe_limit_ms();
        let (since, failures, mut backoff) = match self.state {
            State::Down { outage, backoff } => (outage.since, outage.failures, backoff),
            _ => (now, 0, Backoff::new(PROBE_BASE_MS, limit_ms)),
        };
        let next_probe = Deadline::after_ms(now, backoff.next_delay_ms(random)).instant();
        let outage = Outage { since, failures: failures.saturating_add(1), next_probe };
        self.state = State::Down { outage, backoff };
    }

    fn probe_limit_ms(&self) -> u64 {
        self.max_probe_ms.max(u64::from(self.fleet_nodes) * RETURN_MS_PER_NODE)
    }
}
