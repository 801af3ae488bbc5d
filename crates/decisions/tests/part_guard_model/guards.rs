//! The guards that the model compares: the one in use, and plain ones written from the requirement.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::StdRng;
use yuccapass_decisions::part_guard::{
    CrashedProcess, Evidence, PartGuard, PartGuardSettings, PartStatus, ReportPacing,
};
use yuccapass_types::{Instant, PromptPartId};

/// What nodes tell each other.
#[derive(Debug)]
pub enum Message {
    Evidence(Evidence),
    Blocked(PromptPartId),
    /// A crash with what the plain guards count.
    Counted(CrashedProcess, Vec<Vec<PromptPartId>>),
}

impl Message {
    /// Returns whether a node that starts reads it, whatever the node has sent since.
    pub fn is_kept(&self) -> bool {
        matches!(self, Self::Blocked(_))
    }
}

/// The guard of one node.
pub trait NodeGuard {
    fn blocks(&self, parts: &[PromptPartId], now: Instant) -> bool;
    fn crash(&mut self, process: &CrashedProcess, prompts: &[Vec<PromptPartId>], now: Instant);
    /// Records that an answer has begun.
    fn begin(&mut self, _parts: &[PromptPartId], _now: Instant) {}
    /// Records that an answer has ended whole.
    fn answer(&mut self, parts: &[PromptPartId], now: Instant);
    fn merge(&mut self, message: &Message, now: Instant);
    fn step(&mut self, now: Instant) -> Vec<Message>;
}

/// The guard in use.
#[derive(Default)]
pub struct EvidenceGuard {
    guard: PartGuard,
    is_idle: bool,
    // `None` if each look at the evidence may publish a report.
    pacing: Option<(ReportPacing, StdRng)>,
}

impl EvidenceGuard {
    pub fn new() -> Self {
        let guard = PartGuard::new(PartGuardSettings::default());
        Self { guard, is_idle: true, pacing: None }
    }

    /// Creates a guard of a node of a fleet, with the pauses between its reports.
    pub fn paced(fleet_nodes: u32, seed: u64) -> Self {
        let mut paced = Self::new();
        let mut pacing = ReportPacing::default();
        pacing.set_fleet_nodes(fleet_nodes);
        paced.guard.set_fleet_nodes(fleet_nodes);
        paced.pacing = Some((pacing, StdRng::seed_from_u64(seed)));
        paced
    }

    /// Returns whether news may be published now.
    fn may_report(&mut self, now: Instant) -> bool {
        let Some((pacing, random)) = &mut self.pacing else { return true };
        if !self.guard.has_news(now) {
            pacing.rest(now);
            return false;
        }
        let is_due = pacing.due(now, random).has_passed(now);
        if is_due {
            pacing.record_report(now, random);
        }
        is_due
    }
}

impl NodeGuard for EvidenceGuard {
    fn blocks(&self, parts: &[PromptPartId], now: Instant) -> bool {
        let is_blocked = |part| matches!(self.guard.status(part, now), PartStatus::Blocked(_));
        !self.is_idle && parts.iter().any(is_blocked)
    }

    fn crash(&mut self, process: &CrashedProcess, prompts: &[Vec<PromptPartId>], now: Instant) {
        self.is_idle = false;
        self.guard.record_crash(process, prompts, now);
    }

    fn answer(&mut self, parts: &[PromptPartId], _now: Instant) {
        self.guard.record_answer(parts);
    }

    fn merge(&mut self, message: &Message, now: Instant) {
        self.is_idle = false;
        match message {
            Message::Evidence(evidence) => self.guard.merge(evidence, now),
            Message::Blocked(part) => self.guard.block(part.clone(), now),
            Message::Counted(..) => {}
        }
    }

    fn step(&mut self, now: Instant) -> Vec<Message> {
        if self.is_idle {
            return Vec::new();
        }
        let decisions = self.guard.decide(now);
        let own = decisions.into_iter().filter(|decision| decision.is_own);
        let mut messages: Vec<Message> =
            own.map(|decision| Message::Blocked(decision.part)).collect();
        if self.may_report(now) {
            messages.extend(self.guard.report(now).map(Message::Evidence));
        }
        messages
    }
}

/// A plain guard: blocks what was at three crashes, and tells the other nodes of each.
pub struct CountingGuard {
    /// Returns what is counted for a prompt.
    counted: fn(&[PromptPartId]) -> Option<PromptPartId>,
    crashes: BTreeMap<PromptPartId, Vec<CrashedProcess>>,
    unsent: Vec<Message>,
}

impl CountingGuard {
    /// Counts whole requests. No two are alike, so nothing is counted twice.
    pub fn of_requests() -> Self {
        Self::new(|_| None)
    }

    /// Counts the first parts of prompts.
    pub fn of_first_parts() -> Self {
        Self::new(|parts| parts.first().cloned())
    }

    fn new(counted: fn(&[PromptPartId]) -> Option<PromptPartId>) -> Self {
        Self { counted, crashes: BTreeMap::new(), unsent: Vec::new() }
    }

    fn count(&mut self, process: &CrashedProcess, prompts: &[Vec<PromptPartId>]) {
        for counted in prompts.iter().filter_map(|prompt| (self.counted)(prompt)) {
            let crashes = self.crashes.entry(counted).or_default();
            if !crashes.contains(process) {
                crashes.push(process.clone());
            }
        }
    }
}

impl NodeGuard for CountingGuard {
    fn blocks(&self, parts: &[PromptPartId], _now: Instant) -> bool {
        (self.counted)(parts)
            .and_then(|counted| self.crashes.get(&counted))
            .is_some_and(|crashes| crashes.len() >= 3)
    }

    fn crash(&mut self, process: &CrashedProcess, prompts: &[Vec<PromptPartId>], _now: Instant) {
        self.count(process, prompts);
        self.unsent.push(Message::Counted(process.clone(), prompts.to_vec()));
    }

    fn answer(&mut self, _parts: &[PromptPartId], _now: Instant) {}

    fn merge(&mut self, message: &Message, _now: Instant) {
        if let Message::Counted(process, prompts) = message {
            self.count(process, prompts);
        }
    }

    fn step(&mut self, _now: Instant) -> Vec<Message> {
        std::mem::take(&mut self.unsent)
    }
}
