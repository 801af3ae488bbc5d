//! The report of a run, computed from the records of its requests.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use yuccapass_types::SortedMap;

use super::check::Violation;
use super::record::{Outcome, RequestRecord};
use super::workload::Workload;

/// Largest value of a histogram, in microseconds: an hour. Larger values count as this.
const MAX_HISTOGRAM_US: u64 = 3_600_000_000;

/// Quantiles of a time, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Quantiles {
    /// Computes the quantiles of some values.
    pub fn of(values: impl Iterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_HISTOGRAM_US, 3)
            .expect("the bounds and digits are accepted");
        values.for_each(|value| histogram.saturating_record(value));
        if histogram.is_empty() {
            return Self::default();
        }
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// Times and counts of a group of requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupSummary {
    /// Requests that were sent.
    pub requests: u64,
    /// Answers that were complete.
    pub whole: u64,
    /// Answers that were complete before their deadline.
    pub in_time: u64,
    /// Time to first token, from the scheduled time of a request.
    pub first_token: Quantiles,
    /// Time between consecutive tokens.
    pub between_tokens: Quantiles,
    /// Time from the scheduled time to the end of complete answers.
    pub total: Quantiles,
}

impl GroupSummary {
    /// Summarises a group of requests.
    pub fn of(records: &[&RequestRecord]) -> Self {
        let answered = || records.iter().filter(|record| record.outcome == Outcome::Answered);
        let first_tokens = records.iter().filter_map(|record| record.first_token_after_us());
        Self {
            requests: records.len() as u64,
            whole: answered().count() as u64,
            in_time: records.iter().filter(|record| record.is_in_time()).count() as u64,
            first_token: Quantiles::of(first_tokens),
            between_tokens: Quantiles::of(records.iter().flat_map(|record| record.token_gaps_us())),
            total: Quantiles::of(answered().map(|record| record.total_us())),
        }
    }
}

/// Summary of one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondSummary {
    /// Requests that were scheduled in this second.
    pub due: u64,
    /// Answers that ended in this second, complete and before their deadline.
    pub good: u64,
    /// Time to first token of the requests that were scheduled in this second.
    pub first_token: Quantiles,
}

/// Sums of the counts that the engines report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Prompt tokens of all started runs.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_prompt_tokens: u64,
    /// Crashes, including those of cold engines from more load than they sustain.
    pub crashes: u64,
    /// Bytes over the link between regions; absent if no stand-in counts them.
    pub link_bytes: Option<u64>,
    /// Engines whose counts could not be read.
    pub unread_engines: u64,
}

impl EngineCounts {
    /// Adds the counts of an engine.
    pub fn add(&mut self, stats: &Value) {
        let count = |name: &str| stats[name].as_u64();
        self.prompt_tokens += count("prompt_tokens").unwrap_or_default();
        self.cached_prompt_tokens += count("cached_prompt_tokens").unwrap_or_default();
        self.crashes += count("crashes").unwrap_or_default();
        if let Some(bytes) = count("link_bytes") {
            self.link_bytes = Some(self.link_bytes.unwrap_or_default() + bytes);
        }
    }

    /// Returns the difference to counts that were read earlier.
    pub fn since(self, before: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.saturating_sub(before.prompt_tokens),
            cached_prompt_tokens: self
                .cached_prompt_tokens
                .saturating_sub(before.cached_prompt_tokens),
            crashes: self.crashes.saturating_sub(before.crashes),
            link_bytes: self
                .link_bytes
                .map(|bytes| bytes.saturating_sub(before.link_bytes.unwrap_or_default())),
            unread_engines: self.unread_engines,
        }
    }

    /// Returns the share of prompt tokens that were not found in a cache.
    pub fn recomputed_share(&self) -> f64 {
        match self.prompt_tokens {
            0 => 0.0,
            tokens => 1.0 - self.cached_prompt_tokens as f64 / tokens as f64,
        }
    }
}

/// A fault that was injected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedFault {
    /// Time from the start of the run.
    pub at_ms: u64,
    /// Description of the step.
    pub action: String,
    /// The result, such as an HTTP status or an error.
    pub result: String,
}

/// The report of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The settings of the requests.
    pub workload: Workload,
    /// All requests together.
    pub all: GroupSummary,
    /// Requests by organisation.
    pub organisations: Vec<(String, GroupSummary)>,
    /// Requests by class.
    pub classes: Vec<(String, GroupSummary)>,
    /// Number of requests without a complete answer, by result code and run state.
    pub refusals: Vec<(String, u64)>,
    /// Counts of the engines during the run.
    pub engine_counts: EngineCounts,
    /// Share of prompt tokens that were not found in a cache.
    pub recomputed_share: f64,
    /// See [`goodput_per_s`].
    pub goodput_per_s: f64,
    /// Each second of the run.
    pub timeline: Vec<SecondSummary>,
    /// Faults that were injected.
    pub faults: Vec<AppliedFault>,
    /// All violations.
    pub violations: Vec<Violation>,
}

/// Summarises the records of a run, without faults and violations.
pub fn summarise(
    seed: u64,
    workload: &Workload,
    records: &[RequestRecord],
    engine_counts: EngineCounts,
) -> Report {
    let all = GroupSummary::of(&records.iter().collect::<Vec<_>>());
    let timeline = timeline(records);
    Report {
        seed,
        workload: workload.clone(),
        goodput_per_s: goodput_per_s(&timeline, workload),
        all,
        organisations: summarise_groups(records, |record| record.organisation.to_string()),
        classes: summarise_groups(records, |record| record.class.to_string()),
        refusals: count_failures(records),
        recomputed_share: engine_counts.recomputed_share(),
        engine_counts,
        timeline,
        faults: Vec::new(),
        violations: Vec::new(),
    }
}

/// Returns the answers per second that were complete before their deadline, over the time in which
/// requests were sent.
///
/// Answers that end after this time are left out. Above capacity they would add the work of a
/// longer time and overstate the rate.
pub fn goodput_per_s(timeline: &[SecondSummary], workload: &Workload) -> f64 {
    let seconds = workload.duration_ms.div_ceil(1000).max(1);
    let good: u64 = timeline.iter().take(seconds as usize).map(|second| second.good).sum();
    good as f64 / seconds as f64
}

fn summarise_groups(
    records: &[RequestRecord],
    name: impl Fn(&RequestRecord) -> String,
) -> Vec<(String, GroupSummary)> {
    let mut by_name: SortedMap<String, Vec<&RequestRecord>> = SortedMap::new();
    for record in records {
        by_name.get_or_insert_with(name(record), Vec::new).push(record);
    }
    by_name.iter().map(|(name, records)| (name.clone(), GroupSummary::of(records))).collect()
}

fn count_failures(records: &[RequestRecord]) -> Vec<(String, u64)> {
    let mut counts: SortedMap<String, u64> = SortedMap::new();
    for record in records {
        let name = match &record.outcome {
            Outcome::Answered => continue,
            Outcome::Failed { code, run_state, .. } => format!("{code} {run_state}"),
            Outcome::Broken { .. } => "broken connection".to_owned(),
            Outcome::Hanging => "no end after the deadline".to_owned(),
            Outcome::Unreachable => "no node reachable".to_owned(),
        };
        *counts.get_or_insert_with(name, || 0) += 1;
    }
    counts.into_entries().collect()
}

fn timeline(records: &[RequestRecord]) -> Vec<SecondSummary> {
    let second = |us: u64| (us / 1_000_000) as usize;
    let last = records.iter().map(|record| second(record.end_us)).max();
    let mut seconds = vec![SecondSummary::default(); last.map_or(0, |last| last + 1)];
    let mut first_tokens: Vec<Vec<u64>> = vec![Vec::new(); seconds.len()];
    for record in records {
        let due = second(record.scheduled_us);
        seconds[due].due += 1;
        first_tokens[due].extend(record.first_token_after_us());
        if record.is_in_time() {
            seconds[second(record.end_us)].good += 1;
        }
    }
    for (second, values) in seconds.iter_mut().zip(first_tokens) {
        second.first_token = Quantiles::of(values.into_iter());
    }
    seconds
}
