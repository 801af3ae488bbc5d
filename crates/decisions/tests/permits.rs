//! Tests of permit owners and permit claims.

mod common;

use common::{node, voters, zone};
use yuccapass_decisions::permits::{ClaimState, PermitClaim, PermitId, PermitOwner, PermitReply};
use yuccapass_decisions::quorum::{
    AttemptId, Proposal, RequestDigest, VoteKey, VoteReply, VoterList,
};
use yuccapass_types::{Incarnation, Instant};

const PROCESS: Incarnation = Incarnation::new(1);

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn proposal(list: &VoterList, now: Instant) -> Proposal {
    let key = VoteKey::permit(&"endpoint".parse().unwrap(), PROCESS);
    let attempt = AttemptId { node: node(0), incarnation: Incarnation::new(1), number: 1 };
    let panel = list.permit_panel(&key, &zone(0));
    Proposal::new(key, attempt, RequestDigest::default(), panel, 5_000, now)
}

fn win(proposal: &mut Proposal) {
    for voter in [0, 1] {
        proposal.record_reply(&node(voter), VoteReply::Granted);
    }
}

/// Creates an owner that won at 0 ms.
fn owner(max_requests: u32) -> PermitOwner {
    let mut won = proposal(&voters(&[0, 1, 2], 1), at(0));
    win(&mut won);
    PermitOwner::from_won(won, PROCESS, max_requests, at(0)).unwrap()
}

fn renew_term(owner: &mut PermitOwner, now: Instant) {
    let mut renewal = owner.renewal(now).unwrap();
    win(&mut renewal);
    owner.record_renewal(renewal, now);
}

/// Creates an owner that is past its first term of 5 s and has a report of `running_requests` from
/// 6 s.
fn ready_owner(max_requests: u32, running_requests: u32) -> PermitOwner {
    let mut owner = owner(max_requests);
    renew_term(&mut owner, at(3_000));
    owner.record_report(PROCESS, running_requests, at(6_000));
    owner
}

fn permit(number: u64) -> PermitId {
    PermitId { node: node(4), incarnation: Incarnation::new(1), number }
}

/// Guards against a new owner that grants before it knows what earlier owners granted.
#[test]
fn new_owner_waits_for_its_first_term_and_a_report() {
    // Arrange
    let mut owner = owner(3);
    renew_term(&mut owner, at(3_000));
    owner.record_report(PROCESS, 0, at(3_000));

    // Act
    let replies = [4_999, 6_001].map(|ms| owner.acquire(&permit(1), at(ms)));
    owner.record_report(PROCESS, 0, at(6_000));
    let with_report = owner.acquire(&permit(1), at(6_001));

    // Assert: at 6,001 ms the report of 3,000 ms is too old.
    assert_eq!(replies, [PermitReply::NotReady, PermitReply::NotReady]);
    assert_eq!(with_report, PermitReply::Granted { remaining_ms: 1_999 });
}

/// Guards against an owner that counts only its own grants, or only the report.
#[test]
fn owner_counts_the_larger_of_permits_and_report() {
    // Arrange
    let mut by_report = ready_owner(2, 2);
    let mut by_permits = ready_owner(2, 0);
    for number in [1, 2] {
        by_permits.renew(&permit(number), at(6_000));
    }

    // Act
    let replies =
        [&mut by_report, &mut by_permits].map(|owner| owner.acquire(&permit(9), at(6_000)));

    // Assert
    assert_eq!(replies, [PermitReply::Full, PermitReply::Full]);
}

/// Guards against a repeated request for a permit that is counted twice.
#[test]
fn repeated_request_gets_the_same_permit() {
    // Arrange
    let mut owner = ready_owner(1, 0);

    // Act
    let replies = [1, 1, 2].map(|number| owner.acquire(&permit(number), at(6_000)));

    // Assert
    let granted = PermitReply::Granted { remaining_ms: 2_000 };
    assert_eq!(replies, [granted, granted, PermitReply::Full]);
}

/// Guards against an owner that was paused and then grants after its term.
#[test]
fn paused_owner_notices_its_expired_term_before_any_grant() {
    // Arrange
    let mut owner = ready_owner(3, 0);
    let mut late_renewal = owner.renewal(at(7_999)).unwrap();
    win(&mut late_renewal);

    // Act
    let reply = owner.acquire(&permit(1), at(8_000));
    owner.record_renewal(late_renewal, at(8_000));

    // Assert
    assert_eq!(reply, PermitReply::NotOwner);
    assert!(owner.has_ended(at(8_000)));
}

/// Guards against the owner for an earlier process of the endpoint that grants beside the new owner.
#[test]
fn report_of_another_process_ends_the_term() {
    // Arrange
    let mut owner = ready_owner(3, 0);

    // Act
    owner.record_report(Incarnation::new(2), 0, at(6_001));

    // Assert
    assert_eq!(owner.acquire(&permit(1), at(6_001)), PermitReply::NotOwner);
}

/// Guards against a permit that is no longer counted once it lapsed, although its request may still
/// run.
#[test]
fn lapsed_permit_counts_until_a_report_covers_it() {
    // Arrange: the permit lapses with the term at 8 s, while the owner renews its own term.
    let mut owner = ready_owner(1, 0);
    owner.acquire(&permit(1), at(6_000));
    renew_term(&mut owner, at(7_000));
    renew_term(&mut owner, at(11_000));

    // Act
    owner.record_report(PROCESS, 0, at(9_999));
    let before = owner.acquire(&permit(2), at(11_000));
    owner.record_report(PROCESS, 0, at(10_000));
    let after = owner.acquire(&permit(2), at(11_000));

    // Assert
    assert_eq!(before, PermitReply::Full);
    assert!(matches!(after, PermitReply::Granted { .. }));
}

/// Guards against a holder that starts its request so late that the owner no longer counts the
/// permit.
#[test]
fn holder_starts_in_time_or_not_at_all() {
    // Arrange
    let granted = PermitReply::Granted { remaining_ms: 3_000 };
    let claim = |now| {
        let mut claim = PermitClaim::new(permit(1), now);
        claim.record_reply(granted);
        claim
    };

    // Act
    let (mut in_time, mut late) = (claim(at(0)), claim(at(0)));
    let started = (in_time.start(at(999)), late.start(at(1_000)));

    // Assert
    assert_eq!(started, (true, false));
    assert_eq!(in_time.state(at(9_000)), ClaimState::Running);
    assert_eq!(late.state(at(1_000)), ClaimState::Ended);
    assert!(!in_time.renewal_is_due(at(1_499)));
    assert!(in_time.renewal_is_due(at(1_500)));
}
