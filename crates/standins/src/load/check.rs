//! Checks for violations: answers and runs that a correct system never produces.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccapass_types::{OrganisationId, SortedMap};

use super::expectation::{AnswerIndex, Expectation};
use super::record::{Outcome, RequestRecord};
use crate::engine::StartedRun;

/// A kind of violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// Tokens are missing.
    MissingToken,
    /// A token appears twice.
    DuplicateToken,
    /// Tokens are out of order or there are too many.
    TokenOrder,
    /// The answer, or a part of it, belongs to another request, organisation, version or cache
    /// block.
    ForeignAnswer,
    /// The answer stopped without an end marker or an error.
    UnannouncedEnd,
    /// A request that ran was reported as `not run`.
    FalseNotRun,
    /// A request that is not repeatable was started more than once.
    RunTwice,
    /// A journal is incomplete or cannot be read, so the absence of the two violations above proves
    /// nothing.
    IncompleteJournal,
}

/// A violation and the history of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The kind.
    pub kind: ViolationKind,
    /// The request's marker, or the engine's address.
    pub subject: String,
    /// What was seen.
    pub detail: String,
    /// The history of the request: times, nodes, results and journal entries.
    pub story: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} of {}: {}", self.kind, self.subject, self.detail)?;
        self.story.iter().try_for_each(|line| write!(f, "\n    {line}"))
    }
}

/// Checks an answer and returns the first violation with its details.
///
/// An answer that is not complete may stop early, but must be correct up to there.
pub fn check_answer(
    text: &str,
    is_complete: bool,
    expectation: &Expectation,
    answer_index: &AnswerIndex,
    organisations: &[OrganisationId],
) -> Option<(ViolationKind, String)> {
    let digests = expectation.digests();
    let mut first_digest = None;
    let mut expected_offset = 0;
    for token in text.split_whitespace() {
        let parsed = token
            .split_once('.')
            .and_then(|(digest, offset)| offset.parse::<u64>().ok().map(|offset| (digest, offset)));
        let Some((digest, offset)) = parsed else {
            return Some((ViolationKind::ForeignAnswer, format!("{token:?} is no token")));
        };
        let is_same = first_digest.is_none_or(|first| first == digest);
        if !is_same || !digests.iter().any(|expected| expected == digest) {
            let origin = expectation.describe_origin(digest, answer_index, organisations);
            return Some((
                ViolationKind::ForeignAnswer,
                format!("{token:?} at {expected_offset}: {origin}"),
            ));
        }
        first_digest = Some(digest);
        if let Some(kind) = check_offset(offset, expected_offset) {
            return Some((kind, format!("token {offset} where token {expected_offset} was due")));
        }
        expected_offset += 1;
    }
    check_length(expected_offset, is_complete, expectation.length_tokens)
}

fn check_offset(offset: u64, expected_offset: u64) -> Option<ViolationKind> {
    match offset {
        _ if offset == expected_offset => None,
        _ if offset > expected_offset => Some(ViolationKind::MissingToken),
        _ => Some(ViolationKind::DuplicateToken),
    }
}

fn check_length(
    tokens: u64,
    is_complete: bool,
    expected_tokens: u64,
) -> Option<(ViolationKind, String)> {
    let detail = format!("{tokens} tokens of {expected_tokens}");
    if tokens > expected_tokens {
        return Some((ViolationKind::TokenOrder, detail));
    }
    (is_complete && tokens < expected_tokens).then_some((ViolationKind::MissingToken, detail))
}

/// A journal entry: a run that an engine started.
#[derive(Debug, Clone)]
pub struct JournalEntry {
    /// The engine's address.
    pub engine: String,
    /// The run.
    pub run: StartedRun,
}

/// Compares the outcomes that callers saw with the runs in the engines' journals.
pub fn check_journals(records: &[RequestRecord], entries: &[JournalEntry]) -> Vec<Violation> {
    let mut by_marker: SortedMap<&str, (Vec<&RequestRecord>, Vec<&JournalEntry>)> =
        SortedMap::new();
    for record in records {
        marker_group(&mut by_marker, &record.marker).0.push(record);
    }
    for entry in entries.iter().filter(|entry| !entry.run.marker.is_empty()) {
        marker_group(&mut by_marker, &entry.run.marker).1.push(entry);
    }
    let mut violations = Vec::new();
    for (marker, (records, entries)) in by_marker.iter() {
        let found = false_not_run(records, entries).into_iter().chain(run_twice(records, entries));
        violations.extend(found.map(|(kind, detail)| Violation {
            kind,
            subject: (*marker).to_owned(),
            detail,
            story: request_history(records, entries),
        }));
    }
    violations
}

/// All records and journal entries with the same marker.
type MarkerGroup<'a> = (Vec<&'a RequestRecord>, Vec<&'a JournalEntry>);

fn marker_group<'m, 'a>(
    map: &'m mut SortedMap<&'a str, MarkerGroup<'a>>,
    marker: &'a str,
) -> &'m mut MarkerGroup<'a> {
    map.get_or_insert_with(marker, MarkerGroup::default)
}

/// Finds a request that was reported as `not run` although an engine started it.
///
/// The records are matched by request id, which differs between a request and its resend, so a
/// correct `not run` for one is not confused with the run of the other.
fn false_not_run(
    records: &[&RequestRecord],
    entries: &[&JournalEntry],
) -> Option<(ViolationKind, String)> {
    let is_not_run = |record: &RequestRecord| match &record.outcome {
        Outcome::Failed { run_state, .. } => run_state == "not run",
        _ => false,
    };
    let ran = |record: &RequestRecord| {
        entries.iter().find(|entry| record.request_id.as_ref() == Some(&entry.run.request_id))
    };
    let record = records.iter().find(|record| is_not_run(record) && ran(record).is_some())?;
    let engine = ran(record).map(|entry| entry.engine.as_str()).unwrap_or_default();
    let detail = format!("reported as `not run`, but {engine} began it");
    Some((ViolationKind::FalseNotRun, detail))
}

/// Finds a request that is not repeatable and was started more than once.
fn run_twice(
    records: &[&RequestRecord],
    entries: &[&JournalEntry],
) -> Option<(ViolationKind, String)> {
    let is_repeatable = records.iter().all(|record| record.is_repeatable);
    (!is_repeatable && entries.len() > 1).then(|| {
        (ViolationKind::RunTwice, format!("not repeatable, but begun {} times", entries.len()))
    })
}

/// Describes all that is known about a request, one line for each record and journal entry.
pub fn request_history(records: &[&RequestRecord], entries: &[&JournalEntry]) -> Vec<String> {
    let records = records.iter().map(|record| {
        format!(
            "{} of {} class {} key {:?}: due {} us, sent {} us to {}, id {:?}, first token {:?} us, \
             end {} us, {:?}",
            if record.is_resent { "sent again" } else { "sent" },
            record.organisation,
            record.class,
            record.idempotency_key,
            record.scheduled_us,
            record.sent_us,
            record.nodes.join(", then "),
            record.request_id,
            record.token_times_us.first(),
            record.end_us,
            record.outcome
        )
    });
    let entries = entries.iter().map(|entry| {
        format!(
            "engine {} incarnation {} began id {} attempt {} from token {}",
            entry.engine,
            entry.run.incarnation,
            entry.run.request_id,
            entry.run.attempt,
            entry.run.resume_offset_tokens
        )
    });
    records.chain(entries).collect()
}
