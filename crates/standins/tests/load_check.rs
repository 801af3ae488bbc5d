//! The load tool's checks for violations, on constructed answers, records and journal entries.

use yuccapass_standins::engine::{StartedRun, answer_text};
use yuccapass_standins::load::check::{
    JournalEntry, Violation, ViolationKind, check_answer, check_journals,
};
use yuccapass_standins::load::expectation::{AnswerIndex, Expectation, expected_digest};
use yuccapass_standins::load::record::{Outcome, RequestRecord};
use yuccapass_types::{Incarnation, OrganisationId};

const LENGTH_TOKENS: u64 = 5;

fn organisations() -> Vec<OrganisationId> {
    ["society-0", "society-1"].map(|id| id.parse().unwrap()).to_vec()
}

fn expectation() -> Expectation {
    Expectation {
        marker: "s1-1".to_owned(),
        organisation: organisations()[0].clone(),
        model: "clip-models".parse().unwrap(),
        versions: vec!["v1".parse().unwrap()],
        prompt: b"Are these clips sound? [[s1-1]]".to_vec(),
        length_tokens: LENGTH_TOKENS,
    }
}

fn answer(digest: &str, offsets: impl IntoIterator<Item = u64>) -> String {
    offsets.into_iter().map(|offset| answer_text(digest, offset)).collect()
}

fn correct_digest() -> String {
    expectation().digests().remove(0)
}

fn check(text: &str, is_complete: bool) -> Option<(ViolationKind, String)> {
    check_answer(text, is_complete, &expectation(), &AnswerIndex::default(), &organisations())
}

fn kind(text: &str) -> Option<ViolationKind> {
    check(text, true).map(|(kind, _)| kind)
}

/// Guards against a check that reports a violation for a correct answer.
#[test]
fn correct_answers_pass() {
    // Arrange
    let digest = correct_digest();

    // Act and assert
    assert_eq!(check(&answer(&digest, 0..LENGTH_TOKENS), true), None);
    // The beginning of an answer that ended with an error.
    assert_eq!(check(&answer(&digest, 0..3), false), None);
    assert_eq!(check("", false), None);
}

/// Guards against a check that misses missing, duplicate, reordered or additional tokens.
#[test]
fn wrong_offsets_are_found() {
    // Arrange
    let digest = correct_digest();

    // Act and assert
    assert_eq!(kind(&answer(&digest, [0, 1, 3, 4])), Some(ViolationKind::MissingToken));
    assert_eq!(kind(&answer(&digest, 0..3)), Some(ViolationKind::MissingToken));
    assert_eq!(kind(""), Some(ViolationKind::MissingToken));
    assert_eq!(kind(&answer(&digest, [0, 1, 1, 2, 3, 4])), Some(ViolationKind::DuplicateToken));
    assert_eq!(kind(&answer(&digest, [1, 0, 2, 3, 4])), Some(ViolationKind::MissingToken));
    assert_eq!(kind(&answer(&digest, 0..=LENGTH_TOKENS)), Some(ViolationKind::TokenOrder));
    assert_eq!(kind("no token"), Some(ViolationKind::ForeignAnswer));
}

/// Guards against a check that misses an answer of another organisation, version, request or block.
#[test]
fn foreign_answers_are_found_and_named() {
    // Arrange
    let Expectation { organisation, model, prompt, versions, .. } = expectation();
    let digest = |organisation: &OrganisationId, version: &str, prompt: &[u8]| {
        expected_digest(organisation, &model, &version.parse().unwrap(), prompt)
    };
    let other_request = digest(&organisation, versions[0].as_str(), b"another prompt");
    let answer_index = AnswerIndex::default();
    answer_index.insert(&other_request, "s1-2");
    let cases = [
        (digest(&organisations()[1], "v1", &prompt), "organisation society-1"),
        (digest(&organisation, "v2", &prompt), "weight version v2"),
        (other_request, "request s1-2"),
        ("wrongblock".to_owned(), "wrong cache block"),
        ("abcdef012345".to_owned(), "unknown origin"),
    ];

    for (digest, origin) in cases {
        // Act
        let text = answer(&digest, 0..LENGTH_TOKENS);
        let found = check_answer(&text, true, &expectation(), &answer_index, &organisations());

        // Assert
        let (kind, detail) = found.expect("a foreign answer is a violation");
        assert_eq!(kind, ViolationKind::ForeignAnswer);
        assert!(detail.contains(origin), "{detail}");
    }
}

/// Guards against a check that misses an answer whose end belongs to another answer.
#[test]
fn an_answer_that_changes_midway_is_found() {
    // Arrange
    let mut expectation = expectation();
    expectation.versions.push("v2".parse().unwrap());
    let digests = expectation.digests();
    let text = answer(&digests[0], 0..2) + &answer(&digests[1], 2..LENGTH_TOKENS);

    // Act
    let found = check_answer(&text, true, &expectation, &AnswerIndex::default(), &organisations());

    // Assert
    assert_eq!(found.map(|(kind, _)| kind), Some(ViolationKind::ForeignAnswer));
}

fn record(request_id: &str, is_repeatable: bool, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        marker: "s1-1".to_owned(),
        is_resent: false,
        organisation: organisations()[0].clone(),
        class: "driver".parse().unwrap(),
        is_repeatable,
        idempotency_key: None,
        nodes: vec!["127.0.0.1:1".to_owned()],
        request_id: Some(request_id.to_owned()),
        scheduled_us: 0,
        sent_us: 5,
        token_times_us: Vec::new(),
        end_us: 10,
        text: String::new(),
        deadline_ms: 1000,
        outcome,
    }
}

fn failed(run_state: &str) -> Outcome {
    Outcome::Failed { code: "YP-3001".into(), run_state: run_state.into(), message: String::new() }
}

fn started(engine: &str, request_id: &str) -> JournalEntry {
    let run = StartedRun {
        request_id: request_id.to_owned(),
        attempt: "1".to_owned(),
        marker: "s1-1".to_owned(),
        resume_offset_tokens: 0,
        incarnation: Incarnation::new(1),
    };
    JournalEntry { engine: engine.to_owned(), run }
}

fn kinds(violations: &[Violation]) -> Vec<ViolationKind> {
    violations.iter().map(|violation| violation.kind).collect()
}

/// Guards against a check that misses a false `not run`, or reports a correct one.
#[test]
fn a_false_not_run_is_found() {
    // Arrange
    let entries = [started("engine-1", "id-1")];
    let check = |outcome| check_journals(&[record("id-1", true, outcome)], &entries);

    // Act
    let violations = check(failed("not run"));

    // Assert
    assert_eq!(kinds(&violations), [ViolationKind::FalseNotRun]);
    assert!(violations[0].story.iter().any(|line| line.contains("engine-1")));
    assert!(check(failed("ran")).is_empty() && check(failed("unknown")).is_empty());
    // A resent request has the same marker; the first one ran, and the second one did not.
    let resent = [record("id-1", true, Outcome::Answered), record("id-2", true, failed("not run"))];
    assert!(check_journals(&resent, &entries).is_empty());
}

/// Guards against a check that misses the second run of a not repeatable request, or reports that
/// of a repeatable one.
#[test]
fn a_second_run_is_found_only_if_not_repeatable() {
    // Arrange
    let entries = [started("engine-1", "id-1"), started("engine-2", "id-2")];
    let check = |is_repeatable| {
        let records = ["id-1", "id-2"].map(|id| record(id, is_repeatable, Outcome::Answered));
        check_journals(&records, &entries)
    };

    // Act and assert
    assert_eq!(kinds(&check(false)), [ViolationKind::RunTwice]);
    assert!(check(true).is_empty());
    let records = [record("id-1", false, Outcome::Answered)];
    assert!(check_journals(&records, &entries[..1]).is_empty());
}
