//! The order in which waiting requests start.

use yuccapass_types::{Instant, OrganisationId, SortedMap};

use super::recent_work::RecentWork;
use super::room::Entry;
use crate::gateway::RequestWork;

/// Time over which the work of an organisation counts: some times the run time of a long request, so that
/// an organisation with a burst stands behind the others while it lasts, and not long after.
const USAGE_WINDOW_MS: f64 = 5_000.0;

/// Number of organisations whose work is remembered.
const MAX_ORGANISATIONS: usize = 1_024;

/// The memory of the requests that were started lately for each organisation.
///
/// Requests that did not have to wait count as well. The stride scheduler of the fair queue in
/// [`admission`](crate::admission) counts only queued ones, and most requests here start at once.
#[derive(Debug, Clone, Default)]
pub(super) struct OrganisationUsage {
    organisations: SortedMap<Option<OrganisationId>, RecentWork>,
}

impl OrganisationUsage {
    /// Records the start of a request.
    pub(super) fn record(
        &mut self,
        organisation: &Option<OrganisationId>,
        work: &RequestWork,
        now: Instant,
    ) {
        if self.organisations.len() >= MAX_ORGANISATIONS {
            self.organisations.retain(|_, usage| usage.tokens(now) >= 1.0);
        }
        let make_usage = || RecentWork::new(USAGE_WINDOW_MS, now);
        self.organisations
            .get_or_insert_with(organisation.clone(), make_usage)
            .add(work.memory(), now);
    }

    fn tokens(&self, organisation: &Option<OrganisationId>, now: Instant) -> f64 {
        self.organisations.get(organisation).map_or(0.0, |usage| usage.tokens(now))
    }
}

/// Returns the positions of the entries in the order in which they should start.
///
/// Requests that were passed over too often come first, then the most urgent ones. Among requests of one
/// priority, the organisation with the least work started lately is next. Within an organisation come
/// callers that were refused before, then requests that can still meet their target latency, the one with
/// the least time first, then the others by their latest useful start.
pub(super) fn ranking(entries: &[Entry], usage: &OrganisationUsage, now: Instant) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..entries.len()).collect();
    let class = |entry: &Entry| (!entry.is_overdue(), entry.request.priority);
    let within_organisation = |entry: &Entry| {
        let is_late = entry.request.target_start.has_passed(now);
        let start = if is_late { entry.request.latest_start } else { entry.request.target_start };
        (!entry.is_returning, is_late, start, entry.ticket)
    };
    positions.sort_by(|&a, &b| {
        let (a, b) = (&entries[a], &entries[b]);
        let key = |entry| (class(entry), within_organisation(entry));
        (a.request.organisation.cmp(&b.request.organisation)).then_with(|| key(a).cmp(&key(b)))
    });
    // The work that is started for the organisation before each request.
    let mut work_before = vec![0.0; entries.len()];
    let mut previous: Option<(&Entry, f64)> = None;
    for &position in &positions {
        let entry = &entries[position];
        let tokens = match previous {
            Some((before, tokens)) if before.request.organisation == entry.request.organisation => {
                tokens + before.request.work.memory().get() as f64
            }
            _ => usage.tokens(&entry.request.organisation, now),
        };
        work_before[position] = tokens;
        previous = Some((entry, tokens));
    }
    positions.sort_by(|&a, &b| {
        let (first, second) = (&entries[a], &entries[b]);
        class(first)
            .cmp(&class(second))
            .then_with(|| work_before[a].total_cmp(&work_before[b]))
            .then_with(|| within_organisation(first).cmp(&within_organisation(second)))
    });
    positions
}

/// Returns whether a request at the end of `ahead` must wait for one of those ahead of it.
pub(super) fn is_blocked<'a>(newcomer: &Entry, mut ahead: impl Iterator<Item = &'a Entry>) -> bool {
    ahead.any(|entry| {
        let holds_back = entry.is_overdue() && entry.request.priority <= newcomer.request.priority;
        // A larger one that has not had its turn yet hardly needs the room that a small one takes.
        let is_smaller = entry.request.work.memory() <= newcomer.request.work.memory();
        holds_back || (!entry.was_tried && is_smaller)
    })
}

/// Returns the memory of the requests ahead of a position of the ranking and of that request itself.
pub(super) fn tokens_until(entries: &[Entry], ranking: &[usize], rank: usize) -> u64 {
    let upto = ranking.iter().take(rank.saturating_add(1));
    upto.map(|&position| entries[position].request.work.memory().get()).sum()
}
