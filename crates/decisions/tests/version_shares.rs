//! Tests of the versions that one node sends requests to.

mod rollout_fleet;

use rollout_fleet::{at, id, order};
use yuccapass_decisions::gateway::version_rollout::{
    AnswerKind, AnswerTime, ExposureCap, RollbackReason, RolloutLimits, RolloutOrder,
    RolloutProgress, Stage, VersionFilter, VersionShares,
};
use yuccapass_types::{
    EndpointId, FencingNumber, Incarnation, NodeId, RolloutOrderId, SoftwareVersion, TrafficShare,
};

const NODES: u32 = 9;

fn v(number: u32) -> SoftwareVersion {
    id(&format!("v{number}"))
}

fn limits() -> RolloutLimits {
    RolloutLimits::default()
}

/// Returns the state of a node that has known `v1` and the operators' settings from the beginning.
fn shares() -> VersionShares {
    let mut shares = VersionShares::new(limits(), id("node-1"), Incarnation::new(1));
    shares.note_versions([&v(1)], at(0));
    shares.confirm_settings(at(100_000));
    shares
}

/// Returns the state of a node that knows an order to `v2` and its stage.
fn shares_in(stage: Stage, share: f64) -> VersionShares {
    let mut shares = shares();
    let ordered = order(5, "v2", 12_000);
    shares.set_order(Some(ordered.clone()), at(1_000));
    shares.set_progress(progress(&ordered, stage, share), at(1_000));
    shares.confirm_progress(at(1_000));
    shares.note_versions([&v(1), &v(2)], at(1_000));
    shares
}

fn progress(ordered: &RolloutOrder, stage: Stage, share: f64) -> RolloutProgress {
    let first = RolloutProgress::first(ordered, None);
    match stage {
        Stage::Completed => first.complete(&[v(1)], 500),
        stage => first.enter(stage, TrafficShare::from_fraction(share), 500),
    }
}

/// Returns the filter of a request that the draw would give to the target.
fn filter(shares: &VersionShares, now_ms: u64) -> VersionFilter {
    shares.filter(0.0, NODES, true, true, at(now_ms))
}

/// Returns which of the versions 1 to 3 a filter allows.
fn allowed(filter: &VersionFilter) -> Vec<u32> {
    (1..=3).filter(|&number| filter.allows(Some(&v(number)))).collect()
}

/// Sends requests until the cap allows none to the target; returns the number that it allowed.
fn exposed_until_capped(shares: &mut VersionShares, now_ms: u64) -> usize {
    let mut exposed = 0;
    while filter(shares, now_ms).prefers(Some(&v(2)))
        && !filter(shares, now_ms).prefers(Some(&v(1)))
    {
        shares.record_sent(Some(&v(2)));
        exposed += 1;
    }
    exposed
}

/// Guards against endpoints that are replaced one after the other, also with another version, and
/// would get nothing without an order.
#[test]
fn without_an_order_all_versions_are_used() {
    // Arrange
    let mut shares = shares();

    // Act
    shares.note_versions([&v(1), &v(3)], at(5_000));

    // Assert
    assert!(filter(&shares, 5_000).is_open());
}

/// Guards against requests that reach a new version before its order is read.
#[test]
fn a_version_that_appears_waits_until_the_settings_are_known() {
    // Arrange
    let mut shares = VersionShares::new(limits(), id("node-1"), Incarnation::new(1));
    shares.note_versions([&v(1)], at(0));
    shares.confirm_settings(at(4_000));

    // Act
    shares.note_versions([&v(1), &v(2)], at(5_000));
    let before = allowed(&filter(&shares, 5_000));
    shares.confirm_settings(at(5_001));
    let after = allowed(&filter(&shares, 5_100));

    // Assert
    assert_eq!((before, after), (vec![1, 3], vec![1, 2, 3]));
}

/// Guards against a service without any endpoint that may be used, when all are replaced at once.
#[test]
fn a_version_that_replaces_all_others_is_used_at_once() {
    // Arrange
    let mut shares = VersionShares::new(limits(), id("node-1"), Incarnation::new(1));
    shares.note_versions([&v(1)], at(0));

    // Act
    shares.note_versions([&v(2)], at(5_000));

    // Assert
    assert!(filter(&shares, 5_000).is_open());
}

/// Guards against a node that knows the order, but not its stage, and sends to the target.
#[test]
fn the_target_gets_nothing_before_the_stage_is_known() {
    // Arrange
    let mut shares = shares();

    // Act
    shares.set_order(Some(order(5, "v2", 12_000)), at(1_000));

    // Assert
    assert_eq!(allowed(&filter(&shares, 1_000)), [1, 3]);
}

/// Guards against a node that follows the stage of an earlier order.
#[test]
fn the_stage_of_an_earlier_order_does_not_count() {
    // Arrange
    let mut shares = shares_in(Stage::Full, 1.0);

    // Act
    shares.set_order(Some(order(6, "v3", 12_000)), at(2_000));

    // Assert: the earlier target was not completed, so it gets nothing either.
    assert_eq!(allowed(&filter(&shares, 2_000)), [1]);
}

/// Guards against a node that goes on with a share although it cannot learn of a roll-back.
#[test]
fn a_node_that_is_cut_off_stops_sending_to_the_target() {
    // Arrange
    let shares = shares_in(Stage::Observing, 0.06);

    // Act
    let confirmed = filter(&shares, 1_000 + limits().step_valid_ms() - 1);
    let expired = filter(&shares, 1_000 + limits().step_valid_ms());

    // Assert
    assert!(confirmed.prefers(Some(&v(2))) && confirmed.allows(Some(&v(2))));
    assert_eq!(allowed(&expired), [1, 3]);
}

/// Guards against requests of a cut-off node to endpoints that may stop at any time.
#[test]
fn a_node_that_is_cut_off_keeps_the_last_stage() {
    // Arrange
    let shares = shares_in(Stage::Full, 1.0);

    // Act
    let filter = filter(&shares, 60_000);

    // Assert
    assert_eq!(allowed(&filter), [2]);
}

/// Guards against a share that is not kept by the draw.
#[test]
fn requests_follow_the_share_by_their_draw() {
    // Arrange
    let shares = shares_in(Stage::Observing, 0.06);
    let drawn = |draw: f64| allowed(&shares.filter(draw, NODES, true, true, at(1_000)));

    // Act and assert
    assert_eq!((drawn(0.059), drawn(0.06)), (vec![1, 2, 3], vec![1, 3]));
}

/// Guards against nodes that exceed the bound together although each follows the share: they have
/// bursts, or repeat failed requests.
#[test]
fn all_nodes_together_keep_the_bound() {
    for nodes in [9_u32, 61, 340] {
        for sent in [0_u64, 10, 1_000] {
            // Arrange
            let cap = |number| {
                let name: NodeId = id(&format!("node-{number}"));
                ExposureCap::new(limits(), &name, RolloutOrderId::new(5))
            };
            // A third of the nodes are not known to the others.
            let counted = (2 * nodes).div_ceil(3);

            // Act
            let exposed: u64 = (0..nodes)
                .map(|number| {
                    let cap = cap(number);
                    (0..=sent + 50).take_while(|&x| cap.allows(sent, x, counted, 1.0)).count()
                        as u64
                })
                .sum();

            // Assert
            let bound = 0.1 * (sent * u64::from(nodes)) as f64 + 50.0;
            assert!(exposed as f64 <= bound, "{nodes} nodes, {sent}: {exposed}");
        }
    }
}

/// Guards against a node that exceeds its cap during an observation in which it sends little else.
#[test]
fn a_node_keeps_its_cap() {
    // Arrange
    let mut shares = shares_in(Stage::Observing, 0.5);

    // Act
    let exposed = exposed_until_capped(&mut shares, 1_100);

    // Assert: half of the slack of 50 for each of 9 nodes, and a tenth of what it sends itself.
    assert!((2..=4).contains(&exposed), "{exposed}");
}

/// Guards against a bad version that a node goes on to use until the holder has noticed.
#[test]
fn a_node_stops_by_itself() {
    // Arrange
    let mut shares = shares_in(Stage::Full, 1.0);

    // Act
    shares.stop_target(RolloutOrderId::new(5));

    // Assert
    assert_eq!(allowed(&filter(&shares, 1_100)), [1, 3]);
    assert!(shares.evidence().is_some_and(|evidence| evidence.has_alarm));
}

/// Guards against a version that comes back after a roll-back, and against one that stays barred when
/// it is ordered again.
#[test]
fn a_version_that_was_rolled_back_gets_nothing_until_it_is_ordered_again() {
    // Arrange
    let reason = RollbackReason::Failures;
    let mut shares = shares_in(Stage::RolledBack(reason), 0.0);
    let known = shares.progress().cloned();

    // Act
    let rolled_back = allowed(&filter(&shares, 90_000));
    let again = order(6, "v2", 12_000);
    shares.set_order(Some(again.clone()), at(90_000));
    let first = RolloutProgress::first(&again, known.as_ref());
    let observing = first.enter(Stage::Observing, TrafficShare::from_fraction(0.06), 100);
    shares.set_progress(observing, at(90_000));
    shares.confirm_progress(at(90_000));

    // Assert
    assert_eq!(rolled_back, [1, 3]);
    assert_eq!(allowed(&filter(&shares, 90_100)), [1, 2, 3]);
}

/// Guards against requests to old endpoints that are about to stop, and against a release after the
/// roll-out whose endpoints would get nothing.
#[test]
fn a_completion_ends_the_replaced_versions_only() {
    // Arrange
    let mut shares = shares_in(Stage::Completed, 1.0);

    // Act
    shares.note_versions([&v(1), &v(2), &v(3)], at(2_000));

    // Assert
    assert_eq!(allowed(&filter(&shares, 3_000)), [2, 3]);
}

/// Guards against a service that refuses everything because its only endpoints are the old ones.
#[test]
fn old_versions_are_used_where_the_target_has_no_endpoint() {
    for stage in [Stage::Full, Stage::Completed] {
        // Arrange
        let shares = shares_in(stage, 1.0);

        // Act
        let filter = shares.filter(0.5, NODES, false, true, at(1_100));

        // Assert
        assert!(filter.allows(Some(&v(1))), "{stage}");
    }
}

/// Guards against a service that refuses everything while a version is ordered that it has already.
#[test]
fn an_order_for_the_only_version_changes_nothing() {
    // Arrange
    let mut shares = shares();

    // Act
    shares.set_order(Some(order(5, "v1", 12_000)), at(1_000));

    // Assert
    let filter = shares.filter(0.5, NODES, true, false, at(1_100));
    assert!(filter.allows(Some(&v(1))));
}

/// Guards against a late read that returns a node to an earlier step.
#[test]
fn an_older_step_does_not_replace_a_newer_one() {
    // Arrange
    let ordered = order(5, "v2", 12_000);
    let first = RolloutProgress::first(&ordered, None);
    let observing = first.enter(Stage::Observing, TrafficShare::from_fraction(0.06), 100);
    let rolled_back = observing.roll_back(RollbackReason::Failures, 200);
    let mut shares = shares();

    // Act
    shares.set_progress(rolled_back.clone(), at(1_000));
    shares.set_progress(observing, at(1_100));

    // Assert
    assert_eq!(shares.progress(), Some(&rolled_back));
}

/// Guards against an operator who deletes a running order and still sees traffic at the target.
#[test]
fn a_deleted_order_ends_the_requests_to_the_target() {
    for stage in [Stage::Observing, Stage::Full] {
        // Arrange
        let mut shares = shares_in(stage, 1.0);

        // Act
        shares.set_order(None, at(1_100));

        // Assert
        assert_eq!(allowed(&filter(&shares, 1_100)), [1, 3], "{stage}");
    }
}

/// Guards against counts of an earlier order in the evidence of the next one, and against runs at old
/// endpoints that are not reported.
#[test]
fn evidence_belongs_to_one_order() {
    // Arrange
    let mut shares = shares_in(Stage::Observing, 0.06);
    let endpoint: EndpointId = id("e1");
    let time = AnswerTime::of_answer(60);
    let first = shares.record_sent(Some(&v(1)));
    let outstanding = shares.evidence().map(|evidence| evidence.outstanding_base);

    // Act
    shares.set_order(Some(order(6, "v3", 12_000)), at(1_200));
    let answer = (&id("read"), AnswerKind::Complete(time));
    shares.record_end(first, &endpoint, Some(answer));
    let evidence = shares.evidence().expect("an order is under way");

    // Assert
    assert_eq!(outstanding, Some(1));
    assert_eq!((evidence.order, evidence.sent), (RolloutOrderId::new(6), 0));
    assert!(evidence.routes.is_empty());
}

/// Guards against a completion while requests run at the old version that were sent before the order.
#[test]
fn requests_from_before_the_order_count_as_outstanding() {
    // Arrange
    let mut shares = shares();
    let earlier = shares.record_sent(Some(&v(1)));
    shares.set_order(Some(order(5, "v2", 12_000)), at(1_000));
    let outstanding =
        |shares: &VersionShares| shares.evidence().map(|evidence| evidence.outstanding_base);
    let before = outstanding(&shares);

    // Act
    shares.record_end(earlier, &id("e1"), None);

    // Assert
    assert_eq!((before, outstanding(&shares)), (Some(1), Some(0)));
}

/// Guards against first requests that are spread over so many endpoints that none has its usual load.
#[test]
fn a_share_goes_to_as_many_endpoints_as_it_stands_for() {
    // Arrange
    let endpoints: Vec<EndpointId> = (0..60).map(|number| id(&format!("e{number}"))).collect();
    let count = |share: f64| {
        let shares = shares_in(Stage::Observing, share);
        filter(&shares, 1_000).observed(&endpoints).len()
    };

    // Act and assert
    assert_eq!((count(0.01), count(0.06), count(0.5), count(1.0)), (2, 4, 30, 60));
}

/// Returns a step of an order of a later holder, which decided from an older copy of the progress.
fn after_restoration(ordered: &RolloutOrder, share: f64) -> RolloutProgress {
    let step = progress(ordered, Stage::Observing, share);
    RolloutProgress { fencing: FencingNumber::new(9), step: 1, ..step }
}

/// Guards against nodes that follow the steps of an order which the key-value service has lost: given
/// again, it has a smaller revision or the same one, and its steps count anew.
#[test]
fn an_order_that_was_lost_and_given_again_is_followed() {
    for id in [3, 5] {
        // Arrange: order 5 is being raised, in its third step.
        let mut shares = shares_in(Stage::Raising(0), 0.5);
        let raised = progress(&order(5, "v2", 12_000), Stage::Raising(0), 0.5);
        shares.set_progress(RolloutProgress { step: 3, ..raised }, at(2_000));

        // Act: the service comes back once, and the operators' order is there again.
        shares.set_order(None, at(3_000));
        let ordered = order(id, "v2", 12_000);
        shares.set_order(Some(ordered.clone()), at(3_100));
        shares.set_progress(after_restoration(&ordered, 0.05), at(5_000));
        shares.confirm_progress(at(5_000));

        // Assert
        let followed = shares.progress().unwrap();
        assert_eq!((followed.order.get(), followed.step), (id, 1), "order {id}");
        assert_eq!(shares.evidence().map(|evidence| evidence.step), Some(Some(1)), "order {id}");
    }
}

/// Guards against a version that is judged by the answers of another one, whose order had the same
/// revision before the key-value service came back twice.
#[test]
fn another_order_with_the_same_revision_begins_without_evidence() {
    // Arrange
    let mut shares = shares_in(Stage::Observing, 0.5);
    shares.record_sent(Some(&v(2)));
    shares.stop_target(RolloutOrderId::new(5));

    // Act
    shares.set_order(Some(order(5, "v2", 12_000)), at(2_000));
    let repeated = shares.evidence().unwrap();
    shares.set_order(None, at(3_000));
    shares.set_order(Some(order(5, "v3", 12_000)), at(3_100));
    let other = shares.evidence().unwrap();

    // Assert: the same order again keeps what was counted.
    assert_eq!((repeated.sent, repeated.has_alarm), (1, true));
    assert_eq!((other.sent, other.has_alarm), (0, false));
}
