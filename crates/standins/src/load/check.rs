//! What may not happen to a request.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccapass_types::{OrganisationId, SortedMap};

use super::expect::{AnswerBook, Expectation};
use super::record::{Outcome, RequestRecord};
use crate::engine::StartedRun;

/// A kind of violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// Tokens are missing.
    MissingToken,
    /// A token is there twice.
    DuplicateToken,
    /// Tokens are out of order or there are too many.
    TokenOrder,
    /// The answer, or a part of it, belongs to something else.
    ForeignAnswer,
    /// The answer stopped without an announced end or error.
    UnannouncedEnd,
    /// A request that ran was reported as `not run`.
    FalseNotRun,
    /// A not repeatable request was begun more than once.
    RunTwice,
    /// A journal is incomplete or cannot be read, so that the two checks above prove nothing.
    IncompleteJournal,
}

/// A violation and the request's story.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// What it is.
    pub kind: ViolationKind,
    /// The request, or the engine.
    pub subject: String,
    /// What was seen.
    pub detail: String,
    /// Times, nodes, results and journal entries.
    pub story: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} of {}: {}", self.kind, self.subject, self.detail)?;
        self.story.iter().try_for_each(|line| write!(f, "\n    {line}"))
    }
}

/// Finds what is wrong with an answer that was announced as complete.
///
/// With `is_complete` false, the answer may stop early but must be right up to there.
pub fn check_answer(
    text: &str,
    is_complete: bool,
    expectation: &Expectation,
    book: &AnswerBook,
    organisations: &[OrganisationId],
) -> Option<(ViolationKind, String)> {
    let digests = expectation.digests();
    let mut first_digest = None;
    let mut next = 0;
    for token in text.split_whitespace() {
        let parsed = token
            .split_once('.')
            .and_then(|(digest, offset)| offset.parse::<u64>().ok().map(|offset| (digest, offset)));
        let Some((digest, offset)) = parsed else {
            return Some((ViolationKind::ForeignAnswer, format!("{token:?} is no token")));
        };
        let is_same = first_digest.is_none_or(|first| first == digest);
        if !is_same || !digests.iter().any(|expected| expected == digest) {
            let origin = expectation.describe_wrong(digest, book, organisations);
            return Some((ViolationKind::ForeignAnswer, format!("{token:?} at {next}: {origin}")));
        }
        first_digest = Some(digest);
        if let Some(kind) = check_offset(offset, next) {
            return Some((kind, format!("token {offset} where token {next} was due")));
        }
        next += 1;
    }
    check_length(next, is_complete, expectation.length_tokens)
}

fn check_offset(offset: u64, next: u64) -> Option<ViolationKind> {
    match offset {
        _ if offset == next => None,
        _ if offset > next => Some(ViolationKind::MissingToken),
        _ => Some(ViolationKind::DuplicateToken),
    }
}

fn check_length(tokens: u64, is_complete: bool, due: u64) -> Option<(ViolationKind, String)> {
    let detail = format!("{tokens} tokens of {due}");
    if tokens > due {
        return Some((ViolationKind::TokenOrder, detail));
    }
    (is_complete && tokens < due).then_some((ViolationKind::MissingToken, detail))
}

/// A run that an engine began.
#[derive(Debug, Clone)]
pub struct JournalEntry {
    /// The engine.
    pub engine: String,
    /// The run.
    pub run: StartedRun,
}

/// Compares what callers were told with what engines began.
pub fn check_journals(records: &[RequestRecord], entries: &[JournalEntry]) -> Vec<Violation> {
    let mut by_marker: SortedMap<&str, (Vec<&RequestRecord>, Vec<&JournalEntry>)> =
        SortedMap::new();
    for record in records {
        group(&mut by_marker, &record.marker).0.push(record);
    }
    for entry in entries.iter().filter(|entry| !entry.run.marker.is_empty()) {
        group(&mut by_marker, &entry.run.marker).1.push(entry);
    }
    let mut violations = Vec::new();
    for (marker, (records, entries)) in by_marker.iter() {
        let found = false_not_run(records, entries).into_iter().chain(run_twice(records, entries));
        violations.extend(found.map(|(kind, detail)| Violation {
            kind,
            subject: (*marker).to_owned(),
            detail,
            story: story(records, entries),
        }));
    }
    violations
}

type Group<'a> = (Vec<&'a RequestRecord>, Vec<&'a JournalEntry>);

fn group<'m, 'a>(map: &'m mut SortedMap<&'a str, Group<'a>>, marker: &'a str) -> &'m mut Group<'a> {
    map.get_or_insert_with(marker, Group::default)
}

/// A request that is sent again has an id of its own, so a truthful `not run` of one of the two is
/// not confused with the run of the other.
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

fn run_twice(
    records: &[&RequestRecord],
    entries: &[&JournalEntry],
) -> Option<(ViolationKind, String)> {
    let is_repeatable = records.iter().all(|record| record.is_repeatable);
    (!is_repeatable && entries.len() > 1).then(|| {
        (ViolationKind::RunTwice, format!("not repeatable, but begun {} times", entries.len()))
    })
}

/// Tells what is known about a request.
pub fn story(records: &[&RequestRecord], entries: &[&JournalEntry]) -> Vec<String> {
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
