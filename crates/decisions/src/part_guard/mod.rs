//! Finds the parts of prompts that crash the endpoints that run them, together with the other nodes.
//!
//! A crash implicates the parts of the prompts that were at the endpoint and whose answers had not
//! ended. An answer that ends whole after the crash clears the parts of its prompt, at any node; its
//! beginning does not, since an endpoint may crash at any event of it. What is left over several crashes
//! is blocked, see [`suspicion`]. Nodes exchange [`Evidence`], which names
//! the crashes that it is about, so that it can be merged in any order and needs no common clock.

pub mod evidence;
mod pacing;
mod suspects;
pub mod suspicion;

use std::cmp::Reverse;

use yuccapass_types::{Deadline, Instant, PromptPartId, SortedMap};

pub use evidence::{ClearedParts, CrashObservation, CrashedProcess, Evidence};
pub use pacing::ReportPacing;
use suspects::Suspects;
use suspicion::{CrashView, MIN_GROUPS, parts_to_block, repeated_parts, settle_ms};

/// Settings of a [`PartGuard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartGuardSettings {
    /// Time after a crash in which answers may clear parts before they are reported to other nodes.
    /// Most shared parts are cleared within it, which keeps reports few and short.
    pub report_delay_ms: u64,
    /// How long a part is blocked.
    pub block_ms: u64,
    /// How long a crash is remembered.
    pub remember_ms: u64,
    /// Maximum number of crashes that are remembered; the oldest is dropped first.
    pub max_crashes: usize,
}

impl Default for PartGuardSettings {
    /// 500 ms, 10 minutes, 10 minutes, 256 crashes. With 64 crashes, a model of an outage dropped crashes
    /// before they were reported.
    fn default() -> Self {
        Self { report_delay_ms: 500, block_ms: 600_000, remember_ms: 600_000, max_crashes: 256 }
    }
}

/// Maximum number of prompts that are kept for one crash, and that one node reports of it.
const MAX_PROMPTS: usize = 256;

/// Maximum number of parts in a report. A larger one would exceed what relays pass on in one reply.
const MAX_REPORTED_PARTS: usize = 2_048;

/// Maximum number of parts of a prompt that are considered.
const MAX_PARTS: usize = 16;

/// Status of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStatus {
    /// No crash implicates it.
    Clear,
    /// It may have crashed an endpoint. An answer on it would clear it.
    Suspect,
    /// Requests with it are refused until then.
    Blocked(Deadline),
}

/// A part that is blocked from now on, and the crashes that implicate it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockDecision {
    /// The part.
    pub part: PromptPartId,
    /// The crashes, in the order of the endpoints.
    pub crashes: Vec<CrashedProcess>,
    /// Whether requests of this node were at the endpoints, so that it must tell the other nodes.
    pub is_own: bool,
}

/// What is known about one crash. All lists are sorted.
#[derive(Debug, Clone, Default)]
struct Crash {
    // The earliest estimate: what other nodes report arrives late.
    crashed_at: Instant,
    // The prompts that were at the endpoint, without their last parts, by all nodes.
    prompts: Vec<Vec<PromptPartId>>,
    // Those of this node.
    own_prompts: Vec<Vec<PromptPartId>>,
    // Their parts on which no answer has ended since, and those on which one has.
    suspected: Vec<PromptPartId>,
    cleared: Vec<PromptPartId>,
    // Parts that this node or another one has reported.
    reported: Vec<PromptPartId>,
    reported_cleared: Vec<PromptPartId>,
    // Those that this node has reported to be cleared. If each node repeated what others have reported,
    // the evidence of all nodes would grow with the square of their number.
    own_reported_cleared: Vec<PromptPartId>,
}

impl Crash {
    fn implicates(&self, part: &PromptPartId) -> bool {
        self.suspected.binary_search(part).is_ok()
    }

    /// Clears a part, also of prompts that become known later.
    fn clear(&mut self, part: &PromptPartId, suspects: &mut Suspects) {
        insert(&mut self.cleared, part);
        if let Ok(position) = self.suspected.binary_search(part) {
            self.suspected.remove(position);
            suspects.remove(part);
        }
    }

    /// Returns the prompts of this node without their cleared parts. If a blocked part explains the
    /// crash, these are only the prompts with it: the others are not suspected.
    fn own_uncleared(&self, blocked: &[PromptPartId]) -> Vec<Vec<PromptPartId>> {
        let is_uncleared = |part: &&PromptPartId| self.cleared.binary_search(part).is_err();
        let is_blocked = |part: &PromptPartId| blocked.binary_search(part).is_ok();
        let has_blocked = |prompt: &Vec<PromptPartId>| prompt.iter().any(is_blocked);
        let is_explained = self.prompts.iter().any(has_blocked);
        let uncleared = |prompt: &Vec<PromptPartId>| -> Vec<PromptPartId> {
            prompt.iter().filter(is_uncleared).cloned().collect()
        };
        let mut prompts: Vec<_> = self.own_prompts.iter().map(uncleared).collect();
        prompts.retain(|prompt| !prompt.is_empty() && (!is_explained || has_blocked(prompt)));
        prompts.sort();
        prompts.dedup();
        prompts
    }

    fn has_unreported(&self, blocked: &[PromptPartId]) -> bool {
        let is_new = |part: &PromptPartId| self.reported.binary_search(part).is_err();
        self.own_uncleared(blocked).iter().flatten().any(is_new)
    }

    fn has_unreported_cleared(&self) -> bool {
        self.cleared.iter().any(|part| self.is_unreported_cleared(part))
    }

    /// Returns whether the clearing of a part that was reported is not.
    fn is_unreported_cleared(&self, part: &PromptPartId) -> bool {
        self.reported.binary_search(part).is_ok()
            && self.reported_cleared.binary_search(part).is_err()
    }

    fn add_prompts<'a>(
        &mut self,
        prompts: impl IntoIterator<Item = &'a Vec<PromptPartId>>,
        suspects: &mut Suspects,
    ) {
        for prompt in prompts {
            if self.prompts.len() >= MAX_PROMPTS {
                return;
            }
            insert(&mut self.prompts, prompt);
            for part in prompt {
                if self.cleared.binary_search(part).is_err() && insert(&mut self.suspected, part) {
                    suspects.add(part);
                }
            }
        }
    }
}

/// Finds the parts of prompts that crash endpoints.
#[derive(Debug, Clone, Default)]
pub struct PartGuard {
    settings: PartGuardSettings,
    fleet_nodes: u32,
    crashes: SortedMap<CrashedProcess, Crash>,
    blocked: SortedMap<PromptPartId, Deadline>,
    // The parts that the crashes implicate. Crashes of engines full of streams implicate thousands, so
    // they are not collected from all crashes each time.
    suspects: Suspects,
}

impl PartGuard {
    /// Creates a guard that knows of no crash.
    pub fn new(settings: PartGuardSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Sets the number of nodes that exchange evidence.
    pub fn set_fleet_nodes(&mut self, fleet_nodes: u32) {
        self.fleet_nodes = fleet_nodes;
    }

    /// Returns the status of a part.
    pub fn status(&self, part: &PromptPartId, now: Instant) -> PartStatus {
        match self.blocked.get(part) {
            Some(&until) if !until.has_passed(now) => PartStatus::Blocked(until),
            _ if self.suspects.contains(part) => PartStatus::Suspect,
            _ => PartStatus::Clear,
        }
    }

    /// Returns the parts whose status may have changed since the last call, with their status.
    pub fn take_changed(&mut self, now: Instant) -> Vec<(PromptPartId, PartStatus)> {
        let changed = self.suspects.take_changed();
        changed.into_iter().map(|part| (part.clone(), self.status(&part, now))).collect()
    }

    /// Records a crash that this node has seen. Each prompt is the list of the parts of a request
    /// whose answer had not ended, without the last one, which belongs to the request alone.
    pub fn record_crash(
        &mut self,
        process: &CrashedProcess,
        prompts: &[Vec<PromptPartId>],
        now: Instant,
    ) {
        let prompts: Vec<Vec<PromptPartId>> =
            prompts.iter().map(|prompt| prompt[..prompt.len().min(MAX_PARTS)].to_vec()).collect();
        let (crash, suspects) = self.entry(process, now);
        for prompt in &prompts {
            if crash.own_prompts.len() < MAX_PROMPTS {
                insert(&mut crash.own_prompts, prompt);
            }
        }
        crash.add_prompts(&prompts, suspects);
    }

    /// Records that an answer on these parts has ended whole, and returns which of them it cleared.
    pub fn record_answer<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a PromptPartId>,
    ) -> Vec<PromptPartId> {
        let mut cleared = Vec::new();
        for part in parts {
            if !self.suspects.contains(part) {
                continue;
            }
            for crash in self.crashes.values_mut().filter(|crash| crash.implicates(part)) {
                crash.clear(part, &mut self.suspects);
            }
            insert(&mut cleared, part);
        }
        cleared
    }

    /// Blocks a part, as another node has decided. A block that is known is not extended.
    pub fn block(&mut self, part: PromptPartId, now: Instant) {
        if self.blocked.get(&part).is_none_or(|until| until.has_passed(now)) {
            self.suspects.record_changed(&part);
            self.blocked.insert(part, Deadline::after_ms(now, self.settings.block_ms));
        }
    }

    /// Merges the evidence of another node, in any order and any number of times.
    pub fn merge(&mut self, evidence: &Evidence, now: Instant) {
        let delay_ms = self.delay_ms(evidence, now);
        for observation in &evidence.observations {
            if observation.age_ms >= self.settings.remember_ms {
                continue;
            }
            let age_ms = observation.age_ms.saturating_add(delay_ms);
            let crashed_at = Instant::from_ms(now.as_ms().saturating_sub(age_ms));
            let (crash, suspects) = self.entry(&observation.process, crashed_at);
            crash.add_prompts(&observation.prompts, suspects);
            for part in observation.prompts.iter().flatten() {
                insert(&mut crash.reported, part);
            }
        }
        for cleared in &evidence.cleared {
            // The crash may become known later.
            let (crash, suspects) = self.entry(&cleared.process, now);
            for part in &cleared.parts {
                crash.clear(part, suspects);
                insert(&mut crash.reported_cleared, part);
            }
        }
    }

    /// Blocks the parts that the evidence shows to crash endpoints, and returns those that were not
    /// blocked before.
    pub fn decide(&mut self, now: Instant) -> Vec<BlockDecision> {
        self.forget(now);
        if self.suspects.max_crashes() < MIN_GROUPS {
            return Vec::new();
        }
        let blocked: Vec<&PromptPartId> = self.blocked.keys().collect();
        let known = self.crashes.iter().filter(|(_, crash)| !crash.prompts.is_empty());
        let settle_ms = settle_ms(self.fleet_nodes);
        let views = known.map(|(process, crash)| CrashView {
            process,
            crashed_at: crash.crashed_at,
            prompts: &crash.prompts,
            suspected: &crash.suspected,
            is_settled: now.ms_since(crash.crashed_at) >= settle_ms,
        });
        let found = parts_to_block(views.collect(), &blocked);
        let decisions: Vec<BlockDecision> = found
            .into_iter()
            .map(|(part, crashes)| BlockDecision {
                is_own: crashes.iter().any(|process| self.is_own(process, &part)),
                part,
                crashes,
            })
            .collect();
        for decision in &decisions {
            self.block(decision.part.clone(), now);
        }
        decisions
    }

    /// Returns whether this node has news for the other nodes.
    pub fn has_news(&self, now: Instant) -> bool {
        let blocked: Vec<PromptPartId> = self.blocked.keys().cloned().collect();
        let is_due =
            |crash: &Crash| now.ms_since(crash.crashed_at) >= self.settings.report_delay_ms;
        if self.crashes.values().any(|crash| is_due(crash) && crash.has_unreported(&blocked)) {
            return true;
        }
        // Usually nothing was cleared, and the reported parts need not be collected.
        if !self.crashes.values().any(Crash::has_unreported_cleared) {
            return false;
        }
        let repeated = self.repeatedly_reported();
        self.crashes.values().any(|crash| unreported_cleared(crash, &repeated).next().is_some())
    }

    /// Returns the evidence of this node for the other nodes if it has news for them.
    ///
    /// A cleared part is reported only if crashes of several groups implicated it at some node: the
    /// others cannot be blocked soon.
    pub fn report(&mut self, now: Instant) -> Option<Evidence> {
        if !self.has_news(now) {
            return None;
        }
        let repeated = self.repeatedly_reported();
        let blocked: Vec<PromptPartId> = self.blocked.keys().cloned().collect();
        let report_delay_ms = self.settings.report_delay_ms;
        let is_due = |crash: &Crash| now.ms_since(crash.crashed_at) >= report_delay_ms;
        let mut evidence = Evidence::default();
        for (process, crash) in self.crashes.entries_mut() {
            let parts: Vec<PromptPartId> = unreported_cleared(crash, &repeated).cloned().collect();
            for part in &parts {
                insert(&mut crash.reported_cleared, part);
                insert(&mut crash.own_reported_cleared, part);
            }
            let is_known = |part: &&PromptPartId| crash.reported.binary_search(part).is_ok();
            let parts: Vec<PromptPartId> =
                crash.own_reported_cleared.iter().filter(is_known).cloned().collect();
            if !parts.is_empty() {
                evidence.cleared.push(ClearedParts { process: process.clone(), parts });
            }
            let prompts = if is_due(crash) { crash.own_uncleared(&blocked) } else { Vec::new() };
            if !prompts.is_empty() {
                for part in prompts.iter().flatten() {
                    insert(&mut crash.reported, part);
                }
                let age_ms = now.ms_since(crash.crashed_at);
                evidence.observations.push(CrashObservation {
                    process: process.clone(),
                    age_ms,
                    prompts,
                });
            }
        }
        keep_newest(&mut evidence.observations);
        Some(evidence)
    }

    /// Returns when [`decide`](Self::decide) and [`report`](Self::report) should be called next if
    /// nothing else happens until then.
    pub fn next_check(&self, now: Instant) -> Option<Deadline> {
        let delays = [self.settings.report_delay_ms, settle_ms(self.fleet_nodes)];
        let checks = self.crashes.values().flat_map(|crash| {
            delays.map(|delay_ms| Deadline::after_ms(crash.crashed_at, delay_ms))
        });
        checks.filter(|check| !check.has_passed(now)).min()
    }

    /// Returns for how long at least evidence was on its way: by that much, its crashes seem to be later
    /// than this node knows them to be. Without this correction, crashes of one moment that are reported
    /// after different times would look like several groups.
    fn delay_ms(&self, evidence: &Evidence, now: Instant) -> u64 {
        let delay_ms = |observation: &CrashObservation| {
            // Without the start of the process, an earlier crash of the endpoint may be meant.
            observation.process.started_unix_ms?;
            let known = self.crashes.get(&observation.process)?;
            Some(now.ms_since(known.crashed_at).saturating_sub(observation.age_ms))
        };
        evidence.observations.iter().filter_map(delay_ms).max().unwrap_or_default()
    }

    fn is_own(&self, process: &CrashedProcess, part: &PromptPartId) -> bool {
        self.crashes
            .get(process)
            .is_some_and(|crash| crash.own_prompts.iter().any(|prompt| prompt.contains(part)))
    }

    /// Returns the parts that reports of several groups of crashes implicate, in their order.
    fn repeatedly_reported(&self) -> Vec<PromptPartId> {
        let crashes = self.crashes.values();
        repeated_parts(crashes.map(|crash| (crash.crashed_at, &*crash.reported)))
    }

    /// Forgets crashes and blocks whose time is over.
    fn forget(&mut self, now: Instant) {
        let Self { settings, crashes, blocked, suspects, .. } = self;
        blocked.retain(|part, until| {
            let is_passed = until.has_passed(now);
            if is_passed {
                suspects.record_changed(part);
            }
            !is_passed
        });
        crashes.retain(|_, crash| {
            let is_remembered = now.ms_since(crash.crashed_at) < settings.remember_ms;
            if !is_remembered {
                crash.suspected.iter().for_each(|part| suspects.remove(part));
            }
            is_remembered
        });
    }

    /// Returns the entry of a crash that happened at or before `crashed_at`.
    fn entry(
        &mut self,
        process: &CrashedProcess,
        crashed_at: Instant,
    ) -> (&mut Crash, &mut Suspects) {
        if !self.crashes.contains_key(process) && self.crashes.len() >= self.settings.max_crashes {
            let oldest = self.crashes.iter().max_by_key(|(_, crash)| Reverse(crash.crashed_at));
            if let Some(oldest) = oldest.map(|(process, _)| process.clone()) {
                let crash = self.crashes.remove(&oldest).unwrap_or_default();
                crash.suspected.iter().for_each(|part| self.suspects.remove(part));
            }
        }
        let new = || Crash { crashed_at, ..Crash::default() };
        let crash = self.crashes.get_or_insert_with(process.clone(), new);
        crash.crashed_at = crash.crashed_at.min(crashed_at);
        (crash, &mut self.suspects)
    }
}

/// Returns the repeatedly implicated parts that were cleared of a crash without any node reporting it.
fn unreported_cleared<'a>(
    crash: &'a Crash,
    repeated: &'a [PromptPartId],
) -> impl Iterator<Item = &'a PromptPartId> {
    crash
        .cleared
        .iter()
        .filter(|part| crash.is_unreported_cleared(part) && repeated.binary_search(part).is_ok())
}

/// Keeps the newest crashes within the limit of a report.
fn keep_newest(observations: &mut Vec<CrashObservation>) {
    observations.sort_by_key(|observation| observation.age_ms);
    let mut free = MAX_REPORTED_PARTS;
    observations.retain(|observation| {
        let parts = observation.prompts.iter().map(Vec::len).sum();
        let rest = free.checked_sub(parts);
        free = rest.unwrap_or(free);
        rest.is_some()
    });
}

/// Inserts a value into a sorted list unless it is there; returns whether it was inserted.
fn insert<T: Ord + Clone>(sorted: &mut Vec<T>, value: &T) -> bool {
    let position = sorted.binary_search(value);
    if let Err(position) = position {
        sorted.insert(position, value.clone());
    }
    position.is_err()
}
