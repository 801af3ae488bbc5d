//! What a report contains, computed from the records of a run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use yuccapass_types::SortedMap;

use super::check::Violation;
use super::record::{Outcome, RequestRecord};
use super::workload::Workload;

/// Largest value that a histogram distinguishes: an hour in microseconds.
const MAX_US: u64 = 3_600_000_000;

/// Quantiles of a time, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95 % are at most this.
    pub p95_us: u64,
    /// 99 % are at most this.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Quantiles {
    /// Computes the quantiles of some values.
    pub fn of(values: impl Iterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_US, 3)
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

/// Times and counts of some requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Requests that were sent.
    pub requests: u64,
    /// Answers that came whole.
    pub whole: u64,
    /// Answers that came whole and in time.
    pub in_time: u64,
    /// Time to first token, from when a request was due.
    pub first_token: Quantiles,
    /// Time between two tokens.
    pub between_tokens: Quantiles,
    /// Time to the end of whole answers.
    pub total: Quantiles,
}

impl Group {
    /// Summarises some requests.
    pub fn of(records: &[&RequestRecord]) -> Self {
        let whole = || records.iter().filter(|record| record.outcome == Outcome::Answered);
        let first_tokens = records.iter().filter_map(|record| record.first_token_after_us());
        Self {
            requests: records.len() as u64,
            whole: whole().count() as u64,
            in_time: records.iter().filter(|record| record.is_in_time()).count() as u64,
            first_token: Quantiles::of(first_tokens),
            between_tokens: Quantiles::of(records.iter().flat_map(|record| record.token_gaps_us())),
            total: Quantiles::of(whole().map(|record| record.total_us())),
        }
    }
}

/// One second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests that were due in this second.
    pub due: u64,
    /// Answers that ended in this second, whole and in time.
    pub good: u64,
    /// Time to first token of the requests that were due in this second.
    pub first_token: Quantiles,
}

/// What the engines count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Tokens of all prompts that ran.
    pub prompt_tokens: u64,
    /// Tokens of them that were cached.
    pub cached_prompt_tokens: u64,
    /// Crashes, those included that a cold engine suffers from more load than it can sustain.
    pub crashes: u64,
    /// Bytes over the link between regions; none if no stand-in counts them.
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

    /// Returns the work since an earlier reading.
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

    /// Returns the share of prompt tokens that were computed rather than found in a cache.
    pub fn recomputed_share(&self) -> f64 {
        match self.prompt_tokens {
            0 => 0.0,
            tokens => 1.0 - self.cached_prompt_tokens as f64 / tokens as f64,
        }
    }
}

/// A failure that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedFault {
    /// When, from the start of the run.
    pub at_ms: u64,
    /// What.
    pub action: String,
    /// What came of it.
    pub result: String,
}

/// The report of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The settings.
    pub workload: Workload,
    /// All requests together.
    pub all: Group,
    /// By organisation.
    pub organisations: Vec<(String, Group)>,
    /// By class.
    pub classes: Vec<(String, Group)>,
    /// Requests that were not answered, by code and run state.
    pub refusals: Vec<(String, u64)>,
    /// What the engines counted during the run.
    pub engine_counts: EngineCounts,
    /// Share of prompt tokens that were computed.
    pub recomputed_share: f64,
    /// Answers per second that ended whole and in time while requests were sent.
    pub goodput_per_s: f64,
    /// Each second of the run.
    pub timeline: Vec<Second>,
    /// Failures that were applied.
    pub faults: Vec<AppliedFault>,
    /// All violations.
    pub violations: Vec<Violation>,
}

/// Summarises the records of a run.
pub fn summarise(
    seed: u64,
    workload: &Workload,
    records: &[RequestRecord],
    engine_counts: EngineCounts,
) -> Report {
    let all = Group::of(&records.iter().collect::<Vec<_>>());
    let timeline = timeline(records);
    Report {
        seed,
        workload: workload.clone(),
        goodput_per_s: goodput_per_s(&timeline, workload),
        all,
        organisations: groups(records, |record| record.organisation.to_string()),
        classes: groups(records, |record| record.class.to_string()),
        refusals: refusals(records),
        recomputed_share: engine_counts.recomputed_share(),
        engine_counts,
        timeline,
        faults: Vec::new(),
        violations: Vec::new(),
    }
}

/// Returns the answers per second that ended whole and in time while requests were sent.
///
/// Answers that end later are left out: above capacity they would count work of a longer time.
pub fn goodput_per_s(timeline: &[Second], workload: &Workload) -> f64 {
    let seconds = workload.duration_ms.div_ceil(1000).max(1);
    let good: u64 = timeline.iter().take(seconds as usize).map(|second| second.good).sum();
    good as f64 / seconds as f64
}

fn groups(
    records: &[RequestRecord],
    name: impl Fn(&RequestRecord) -> String,
) -> Vec<(String, Group)> {
    let mut by_name: SortedMap<String, Vec<&RequestRecord>> = SortedMap::new();
    for record in records {
        by_name.get_or_insert_with(name(record), Vec::new).push(record);
    }
    by_name.iter().map(|(name, records)| (name.clone(), Group::of(records))).collect()
}

fn refusals(records: &[RequestRecord]) -> Vec<(String, u64)> {
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

fn timeline(records: &[RequestRecord]) -> Vec<Second> {
    let second = |us: u64| (us / 1_000_000) as usize;
    let last = records.iter().map(|record| second(record.end_us)).max();
    let mut seconds = vec![Second::default(); last.map_or(0, |last| last + 1)];
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
