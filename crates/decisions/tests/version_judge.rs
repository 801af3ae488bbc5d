//! Tests of the comparison of two versions by their answers.

mod rollout_fleet;

use rollout_fleet::id;
use yuccapass_decisions::gateway::version_rollout::{
    AnswerKind, AnswerTime, NodeEvidence, RollbackReason, Verdict, VersionJudge, VersionRole,
};
use yuccapass_types::{EndpointId, Incarnation, NodeId, RolloutOrderId, RouteId, SoftwareVersion};

fn evidence() -> NodeEvidence {
    NodeEvidence::new(Incarnation::new(1), RolloutOrderId::new(5))
}

/// Counts answers of a version, each of whose two endpoints gets half of them.
fn record(evidence: &mut NodeEvidence, version: VersionRole, count: u64, kind: AnswerKind) {
    let route: RouteId = id("read");
    for number in 0..count {
        let endpoint: EndpointId = id(&format!("e{}", number % 2));
        evidence.record_sent(version);
        evidence.record_end(version, &endpoint, Some((&route, kind)));
    }
}

fn complete(ms: u64) -> AnswerKind {
    AnswerKind::Complete(AnswerTime::of_answer(ms))
}

fn judge(evidence: &NodeEvidence) -> Verdict {
    let mut judge = VersionJudge::new(1);
    let node: NodeId = id("node-1");
    judge.record(&node, evidence);
    judge.judge()
}

/// Guards against a verdict on a version whose answers all fail because those of the old one do too.
#[test]
fn failures_of_both_versions_say_nothing() {
    // Arrange
    let mut evidence = evidence();
    record(&mut evidence, VersionRole::Base, 500, AnswerKind::Failed);

    // Act
    record(&mut evidence, VersionRole::Target, 200, AnswerKind::Failed);

    // Assert
    assert_eq!(judge(&evidence), Verdict::Sound);
}

/// Guards against a version that is slower by less than the noise between endpoints.
#[test]
fn a_small_difference_in_time_is_no_slowness() {
    // Arrange
    let mut evidence = evidence();
    record(&mut evidence, VersionRole::Base, 500, complete(60));

    // Act
    record(&mut evidence, VersionRole::Target, 200, complete(70));

    // Assert
    assert_eq!(judge(&evidence), Verdict::Sound);
}

/// Guards against slow answers that count as sound because they are complete.
#[test]
fn answers_that_take_several_times_as_long_are_slow() {
    // Arrange
    let mut evidence = evidence();
    record(&mut evidence, VersionRole::Base, 500, complete(60));

    // Act
    record(&mut evidence, VersionRole::Target, 30, complete(180));

    // Assert
    assert_eq!(judge(&evidence), Verdict::Bad(RollbackReason::Slowness));
}

/// Guards against a roll-back because of one endpoint that fails by itself.
#[test]
fn failures_of_a_single_endpoint_are_not_those_of_its_version() {
    // Arrange
    let mut evidence = evidence();
    record(&mut evidence, VersionRole::Base, 500, complete(60));
    record(&mut evidence, VersionRole::Target, 50, complete(60));
    let (route, endpoint): (RouteId, EndpointId) = (id("read"), id("e0"));

    // Act
    for _ in 0..50 {
        evidence.record_sent(VersionRole::Target);
        let failed = Some((&route, AnswerKind::Failed));
        evidence.record_end(VersionRole::Target, &endpoint, failed);
    }

    // Assert
    assert_eq!(judge(&evidence), Verdict::Suspect);
}

/// Guards against cold endpoints, which a new version begins with, whose slow answers count against it or
/// whose usual failures count without their answers.
#[test]
fn answers_of_cold_endpoints_count_without_their_time() {
    // Arrange
    let mut evidence = evidence();
    record(&mut evidence, VersionRole::Base, 450, complete(60));
    record(&mut evidence, VersionRole::Base, 50, AnswerKind::Failed);

    // Act
    record(&mut evidence, VersionRole::Target, 180, AnswerKind::Untimed);
    record(&mut evidence, VersionRole::Target, 20, AnswerKind::Failed);

    // Assert
    assert_eq!(judge(&evidence), Verdict::Sound);
}

/// Guards against counts of a node that are added twice, or not at all after it has restarted.
#[test]
fn a_restarted_node_counts_from_the_beginning() {
    // Arrange
    let (mut judge, node): (VersionJudge, NodeId) = (VersionJudge::new(1), id("node-1"));
    let mut first = evidence();
    record(&mut first, VersionRole::Target, 10, complete(60));
    judge.record(&node, &first);
    judge.record(&node, &first);

    // Act
    let mut second = NodeEvidence { incarnation: Incarnation::new(2), ..evidence() };
    record(&mut second, VersionRole::Target, 3, complete(60));
    judge.record(&node, &second);

    // Assert
    assert_eq!(judge.target_answers(), 13);
}

/// Guards against a version whose text another deployment chooses differently.
#[test]
fn versions_are_any_printable_text() {
    for text in ["v2", "2026.1+build~7", "sha256:ab12"] {
        assert!(text.parse::<SoftwareVersion>().is_ok(), "{text}");
    }
}
