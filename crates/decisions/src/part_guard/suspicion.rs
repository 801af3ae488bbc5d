//! Decides which parts crash endpoints.
//!
//! A part is blocked if crashes of at least three groups implicate it and no other part explains them:
//!
//! * Crashes at almost the same time are one group. They may have a common cause, such as a rack
//!   that loses its power. A group implicates a part only if the part was at a good share of its
//!   crashes: when many engines full of streams crash at once, each part that is not rare is at some.
//! * A crash counts once the other nodes have had time to report the prompts that were there, and
//!   answers that have ended since. In an outage hardly any answer ends, and most shared parts are
//!   suspected by many crashes. Only the evidence of all nodes tells which part was at each of them.
//! * It counts at once for a part that two earlier groups and all recent crashes implicate and that no
//!   part follows.
//! * The crashes of a blocked part implicate no other part: a request may have been sent to several
//!   endpoints that crashed because of it, and have shared no part with what crashed them.
//! * Another part that all these crashes implicate explains them as well, unless it precedes this one in
//!   a prompt: all requests with a part share those before it.
//! * A part before others is blocked once more crashes implicate it than any of those.

use yuccapass_types::{Instant, PromptPartId};

use super::evidence::CrashedProcess;
use super::pacing::spread_ms;

/// Number of groups of crashes that must implicate a part.
pub(super) const MIN_GROUPS: usize = 3;

/// Number of crashes that block a part even if another one explains them.
const MIN_CRASHES_WITH_ALTERNATIVE: usize = 5;

/// A part that fewer crashes implicate must be at one of this many of the crashes in the same time.
const MIN_SHARE: usize = 3;

/// The same for the groups that must implicate a part before its clearing is reported. Other nodes may know
/// fewer crashes of a group, and take the part to be at a larger share of them.
const MIN_REPORTED_SHARE: usize = 2 * MIN_SHARE;

/// Time from the first to the last crash of a group.
const GROUP_MS: u64 = 200;

/// Age at which a crash counts: the evidence of other nodes about it has arrived. In a large fleet it
/// arrives later by the time over which reports are spread.
const SETTLE_MS: u64 = 1_500;

/// Returns the age at which a crash counts in a fleet.
pub(super) fn settle_ms(fleet_nodes: u32) -> u64 {
    SETTLE_MS + spread_ms(fleet_nodes)
}

/// A crash as it is judged.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashView<'a> {
    pub(super) process: &'a CrashedProcess,
    pub(super) crashed_at: Instant,
    pub(super) prompts: &'a [Vec<PromptPartId>],
    /// The parts of the prompts on which no answer has ended since, sorted.
    pub(super) suspected: &'a [PromptPartId],
    /// Whether it counts: the evidence of other nodes about it has arrived.
    pub(super) is_settled: bool,
}

impl CrashView<'_> {
    fn has(&self, part: &PromptPartId) -> bool {
        self.prompts.iter().any(|prompt| prompt.contains(part))
    }
}

/// Returns the parts to block, each with the crashes that implicate it.
pub(super) fn parts_to_block(
    mut crashes: Vec<CrashView<'_>>,
    blocked: &[&PromptPartId],
) -> Vec<(PromptPartId, Vec<CrashedProcess>)> {
    crashes.retain(|crash| !blocked.iter().any(|part| crash.has(part)));
    let mut found = Vec::new();
    loop {
        let settled: Vec<CrashView<'_>> =
            crashes.iter().copied().filter(|crash| crash.is_settled).collect();
        let mut parts = proven_parts(&settled);
        if parts.is_empty() {
            parts.extend(evident_part(&crashes));
        }
        if parts.is_empty() {
            return found;
        }
        for part in &parts {
            let implicating = crashes.iter().filter(|crash| crash.has(part));
            let processes = implicating.map(|crash| crash.process.clone()).collect();
            found.push((part.clone(), processes));
        }
        crashes.retain(|crash| !parts.iter().any(|part| crash.has(part)));
    }
}

/// The crashes that implicate a part, as positions in the list of crashes, in their order.
struct Suspected<'a> {
    part: &'a PromptPartId,
    crashes: Vec<usize>,
    groups: usize,
}

impl Suspected<'_> {
    fn has(&self, crash: usize) -> bool {
        self.crashes.binary_search(&crash).is_ok()
    }
}

/// Returns the part that most crashes show to be the cause, or several if as many implicate each.
fn proven_parts(crashes: &[CrashView<'_>]) -> Vec<PromptPartId> {
    let suspected = suspected_parts(crashes);
    let mut proven: Vec<&Suspected<'_>> = suspected
        .iter()
        .filter(|part| part.groups >= MIN_GROUPS && is_at_many(part, crashes))
        .filter(|part| !has_alternative(part, &suspected, crashes))
        .collect();
    let most = proven.iter().map(|part| part.crashes.len()).max().unwrap_or_default();
    proven.retain(|part| part.crashes.len() == most);
    proven.into_iter().map(|part| part.part.clone()).collect()
}

/// Returns the part that all recent crashes implicate, if no part follows it and no other one explains
/// its older crashes.
fn evident_part(crashes: &[CrashView<'_>]) -> Option<PromptPartId> {
    let is_settled = |position: &usize| crashes[*position].is_settled;
    let recent: Vec<usize> = (0..crashes.len()).filter(|crash| !is_settled(crash)).collect();
    let suspected = suspected_parts(crashes);
    let groups = Groups::of(crashes);
    let is_evident = |part: &&Suspected<'_>| {
        let implicates = |crash: &usize| part.has(*crash);
        let known: Vec<usize> = part.crashes.iter().copied().filter(is_settled).collect();
        let is_alternative = |other: &Suspected<'_>| {
            known.iter().all(|&crash| other.has(crash))
                && order(part, other, crashes) != Order::After
        };
        part.groups >= MIN_GROUPS
            && groups.implicating(&known, MIN_SHARE) + 1 >= MIN_GROUPS
            && is_at_many(part, crashes)
            && recent.iter().all(implicates)
            && is_last(part, crashes)
            && !suspected.iter().any(|other| other.part != part.part && is_alternative(other))
    };
    suspected.iter().find(is_evident).map(|part| part.part.clone())
}

/// Returns whether a part was at many crashes, or at a good share of those in the same time. In an
/// outage in which no answer ends, parts that are not rare are at a few of the crashes each.
fn is_at_many(part: &Suspected<'_>, crashes: &[CrashView<'_>]) -> bool {
    let times = || part.crashes.iter().map(|&crash| crashes[crash].crashed_at);
    let (Some(first), Some(last)) = (times().min(), times().max()) else { return false };
    let span = first..=last;
    let all = crashes.iter().filter(|crash| span.contains(&crash.crashed_at)).count();
    part.crashes.len() >= MIN_CRASHES_WITH_ALTERNATIVE || part.crashes.len() * MIN_SHARE >= all
}

/// Returns whether no part follows this one in any of the prompts.
fn is_last(part: &Suspected<'_>, crashes: &[CrashView<'_>]) -> bool {
    let prompts = part.crashes.iter().flat_map(|&crash| crashes[crash].prompts);
    prompts
        .into_iter()
        .all(|prompt| !prompt.contains(part.part) || prompt.last() == Some(part.part))
}

/// Returns the parts that several crashes implicate.
fn suspected_parts<'a>(crashes: &[CrashView<'a>]) -> Vec<Suspected<'a>> {
    let groups = Groups::of(crashes);
    let lists = crashes.iter().enumerate().map(|(position, crash)| (position, crash.suspected));
    let by_part = sorted_by_part(lists);
    let repeated = by_part.chunk_by(|one, next| one.0 == next.0).filter(|chunk| chunk.len() > 1);
    let suspected = repeated.map(|chunk| {
        let positions: Vec<usize> = chunk.iter().map(|(_, position)| *position).collect();
        let groups = groups.implicating(&positions, MIN_SHARE);
        Suspected { part: chunk[0].0, groups, crashes: positions }
    });
    suspected.collect()
}

/// Returns the parts that several groups of crashes implicate by their lists, sorted. Each list is that
/// of a crash at this time.
pub(super) fn repeated_parts<'a>(
    lists: impl Iterator<Item = (Instant, &'a [PromptPartId])>,
) -> Vec<PromptPartId> {
    let (times, lists): (Vec<Instant>, Vec<&[PromptPartId]>) = lists.unzip();
    let groups = Groups::new(&times);
    let by_part = sorted_by_part(lists.into_iter().enumerate());
    let is_repeated = |chunk: &&[(&PromptPartId, usize)]| {
        let crashes: Vec<usize> = chunk.iter().map(|(_, crash)| *crash).collect();
        crashes.len() > 1 && groups.implicating(&crashes, MIN_REPORTED_SHARE) > 1
    };
    let repeated = by_part.chunk_by(|one, next| one.0 == next.0).filter(is_repeated);
    repeated.map(|chunk| chunk[0].0.clone()).collect()
}

/// Returns the entries of the lists with the crashes that they belong to, sorted. There may be thousands, and
/// inserting them into a sorted vector one by one takes a time that grows with their square.
fn sorted_by_part<'a>(
    lists: impl Iterator<Item = (usize, &'a [PromptPartId])>,
) -> Vec<(&'a PromptPartId, usize)> {
    let mut by_part: Vec<(&PromptPartId, usize)> =
        lists.flat_map(|(of, parts)| parts.iter().map(move |part| (part, of))).collect();
    by_part.sort_unstable();
    by_part
}

/// Returns whether another part may be the cause instead.
fn has_alternative(
    part: &Suspected<'_>,
    suspected: &[Suspected<'_>],
    crashes: &[CrashView<'_>],
) -> bool {
    let others = suspected.iter().filter(|other| other.part != part.part);
    others.into_iter().any(|other| {
        let shared = other.crashes.iter().filter(|&&crash| part.has(crash)).count();
        if shared + 1 < part.crashes.len() {
            return false;
        }
        match order(part, other, crashes) {
            Order::Before => true,
            Order::After => false,
            Order::Unrelated => {
                shared == part.crashes.len() && part.crashes.len() < MIN_CRASHES_WITH_ALTERNATIVE
            }
        }
    })
}

/// Where a part stands in the prompts that it shares with another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Before,
    After,
    Unrelated,
}

fn order(part: &Suspected<'_>, other: &Suspected<'_>, crashes: &[CrashView<'_>]) -> Order {
    let prompts = part.crashes.iter().flat_map(|&crash| crashes[crash].prompts);
    for prompt in prompts {
        let position = |part: &PromptPartId| prompt.iter().position(|known| known == part);
        match (position(part.part), position(other.part)) {
            (Some(own), Some(others)) if own < others => return Order::Before,
            (Some(_), Some(_)) => return Order::After,
            _ => {}
        }
    }
    Order::Unrelated
}

/// Crashes in groups of almost the same time.
struct Groups {
    // The group of each crash, and the number of crashes of each group.
    group: Vec<usize>,
    sizes: Vec<usize>,
}

impl Groups {
    fn new(times: &[Instant]) -> Self {
        let mut by_time: Vec<usize> = (0..times.len()).collect();
        by_time.sort_by_key(|&crash| times[crash]);
        let mut first: Option<Instant> = None;
        let (mut group, mut sizes) = (vec![0; times.len()], Vec::new());
        for crash in by_time {
            let time = times[crash];
            if first.is_none_or(|first| time.ms_since(first) > GROUP_MS) {
                first = Some(time);
                sizes.push(0);
            }
            group[crash] = sizes.len() - 1;
            sizes[group[crash]] += 1;
        }
        Self { group, sizes }
    }

    fn of(crashes: &[CrashView<'_>]) -> Self {
        Self::new(&crashes.iter().map(|crash| crash.crashed_at).collect::<Vec<_>>())
    }

    /// Returns the number of groups of which a part that was at these crashes was at one of this many.
    fn implicating(&self, crashes: &[usize], min_share: usize) -> usize {
        let mut groups: Vec<usize> = crashes.iter().map(|&crash| self.group[crash]).collect();
        groups.sort_unstable();
        let is_share = |group: &&[usize]| group.len() * min_share >= self.sizes[group[0]];
        groups.chunk_by(|one, next| one == next).filter(is_share).count()
    }
}
