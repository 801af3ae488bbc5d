//! Load reports that become visible after a lag.

use std::collections::VecDeque;

use yuccapass_endpoints::LoadReport;
use yuccapass_types::Instant;

/// The report that is visible now, and the later ones.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag_ms: u64,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self { lag_ms, reports: VecDeque::new() }
    }

    /// Adds a report that holds from `now` on; of several in one millisecond only the last is kept.
    pub(crate) fn add(&mut self, report: LoadReport, now: Instant) {
        if self.reports.back().is_some_and(|(at, _)| *at == now) {
            self.reports.pop_back();
        }
        self.reports.push_back((now, report));
        // A report is obsolete as soon as the next one is visible.
        while self.reports.get(1).is_some_and(|(at, _)| now.ms_since(*at) >= self.lag_ms) {
            self.reports.pop_front();
        }
    }

    /// Returns the report that held one lag ago, or the first one if the engine is younger than
    /// that.
    pub(crate) fn visible(&self, now: Instant) -> Option<LoadReport> {
        let is_visible = |entry: &&(Instant, LoadReport)| now.ms_since(entry.0) >= self.lag_ms;
        let newest = self.reports.iter().rev().find(is_visible);
        let (at, report) = newest.or_else(|| self.reports.front())?;
        Some(LoadReport { age_ms: now.ms_since(*at).min(self.lag_ms), ..report.clone() })
    }
}
