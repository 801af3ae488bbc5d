//! Tests of panels, voters and proposals.

mod common;

use common::{node, voters, zone};
use yuccapass_decisions::quorum::{
    AttemptId, OutcomeState, Proposal, ProposalState, RequestDigest, VoteKey, VoteReply, Voter,
    VoterConfig, VoterList,
};
use yuccapass_types::{Incarnation, Instant};

const LIFETIME_MS: u64 = 930_000;
/// When voters that started at 0 ms no longer abstain.
const READY: Instant = Instant::from_ms(LIFETIME_MS);

fn key(name: &str) -> VoteKey {
    VoteKey::ledger(&"org".parse().unwrap(), &name.parse().unwrap())
}

fn proposal(list: &VoterList, proposer: usize, number: u64, now: Instant) -> Proposal {
    let attempt = AttemptId { node: node(proposer), incarnation: Incarnation::new(1), number };
    let panel = list.ledger_panel(&key("k"));
    Proposal::new(key("k"), attempt, RequestDigest::default(), panel, LIFETIME_MS, now)
}

fn panel_voters(list: &VoterList, config: VoterConfig) -> Vec<Voter> {
    let panel = list.ledger_panel(&key("k"));
    let make = |id| Voter::new(id, list.clone(), config, Instant::from_ms(0));
    panel.nodes().iter().cloned().map(make).collect()
}

fn collect_votes(proposal: &mut Proposal, voters: &[Voter], indices: &[usize], now: Instant) {
    let request = proposal.request(&zone(0));
    for &index in indices {
        let reply = voters[index].handle_request(&request, now);
        let voter = proposal.panel().nodes()[index].clone();
        proposal.record_reply(&voter, reply);
    }
}

/// Guards against a ledger panel that loses its majority when one zone fails.
#[test]
fn ledger_panels_span_zones_and_permit_panels_do_not() {
    // Arrange
    let list = voters(&(0..30).collect::<Vec<_>>(), 6);
    for number in 0..50 {
        let key = key(&format!("k{number}"));

        // Act
        let ledger = list.ledger_panel(&key);
        let permit = list.permit_panel(&key, &zone(2));

        // Assert
        let zone_of = |id: &yuccapass_types::NodeId| {
            id.as_str().trim_start_matches("node-").parse::<usize>().unwrap() % 6
        };
        let mut zones: Vec<usize> = ledger.nodes().iter().map(zone_of).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 3);
        assert_eq!(permit.nodes().len(), 3);
        assert!(permit.nodes().iter().all(|id| zone_of(id) == 2));
    }
}

/// Guards against a proposal that wins without a single vote because its panel is empty.
#[test]
fn empty_panel_never_wins() {
    // Arrange
    let list = voters(&[], 1);

    // Act
    let proposal = proposal(&list, 0, 1, READY);

    // Assert
    assert_eq!(proposal.state(READY), ProposalState::Lost);
}

/// Guards against two winners when two nodes propose the same key at the same time.
#[test]
fn two_proposers_at_once_have_one_winner() {
    // Arrange
    let list = voters(&[0, 1, 2, 3], 4);
    let voters = panel_voters(&list, VoterConfig::default());
    let (mut first, mut second) = (proposal(&list, 7, 1, READY), proposal(&list, 8, 1, READY));

    // Act
    collect_votes(&mut first, &voters, &[0, 1], READY);
    collect_votes(&mut second, &voters, &[2, 1, 0], READY);

    // Assert
    assert_eq!(first.state(READY), ProposalState::Won);
    assert_eq!(second.state(READY), ProposalState::Lost);
}

/// Guards against a restarted voter that grants a vote again because it lost its table.
#[test]
fn restarted_voter_abstains_for_the_lifetime() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let request = proposal(&list, 7, 1, READY).request(&zone(0));

    // Act
    let early = voters[0].handle_request(&request, Instant::from_ms(LIFETIME_MS - 1));
    let late = voters[0].handle_request(&request, READY);

    // Assert
    assert_eq!((early, late), (VoteReply::Abstained, VoteReply::Granted));
}

/// Guards against a full table that drops a live vote to make room.
#[test]
fn full_table_rejects_and_keeps_live_votes() {
    // Arrange
    let list = voters(&[0], 1);
    let config = VoterConfig::default().max_votes_per_shard(1);
    let voter = Voter::new(node(0), list.clone(), config, Instant::from_ms(0));
    let mut request = proposal(&list, 7, 1, READY).request(&zone(0));
    let mut granted = Vec::new();

    // Act
    for number in 0..500 {
        request.key = key(&number.to_string());
        match voter.handle_request(&request, READY) {
            VoteReply::Granted => granted.push(request.key),
            reply => assert_eq!(reply, VoteReply::Full),
        }
    }

    // Assert
    request.attempt.number = 2;
    assert_eq!(voter.vote_count(), granted.len());
    for held in granted {
        request.key = held;
        assert!(matches!(voter.handle_request(&request, READY), VoteReply::HeldBy(_)));
    }
}

/// Guards against a withdrawal that frees the key after the winner has sent the request.
#[test]
fn withdrawal_is_refused_once_sent() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let mut unsent = proposal(&list, 7, 1, READY);
    collect_votes(&mut unsent, &voters, &[0, 1], READY);
    let released = unsent.withdraw().unwrap();
    for voter in &voters[..2] {
        voter.release(unsent.key(), unsent.attempt(), READY);
    }
    let mut sent = proposal(&list, 8, 1, READY);
    collect_votes(&mut sent, &voters, &[0, 1], READY);

    // Act
    let may_send = (unsent.mark_sent(READY), sent.mark_sent(READY));

    // Assert
    assert_eq!(released.len(), 3);
    assert_eq!(may_send, (false, true));
    assert_eq!(sent.withdraw(), None);
}

/// Guards against a proposer that was paused and then acts on votes that have expired.
#[test]
fn paused_proposer_does_not_act() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let mut paused = proposal(&list, 7, 1, READY);
    collect_votes(&mut paused, &voters, &[0, 1, 2], READY);

    // Act
    let may_send = paused.mark_sent(Instant::from_ms(2 * LIFETIME_MS));

    // Assert
    assert!(!may_send);
}

/// Guards against a late or repeated release that removes the vote of another attempt, or a vote
/// with an outcome.
#[test]
fn release_of_another_attempt_or_after_the_outcome_does_nothing() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let mut winner = proposal(&list, 7, 1, READY);
    collect_votes(&mut winner, &voters, &[0, 1, 2], READY);
    let other = proposal(&list, 8, 1, READY);

    // Act
    voters[0].release(other.key(), other.attempt(), READY);
    voters[1].record(winner.key(), winner.attempt(), OutcomeState::NotKept, READY);
    voters[1].release(winner.key(), winner.attempt(), READY);

    // Assert
    for voter in &voters {
        assert!(matches!(
            voter.handle_request(&other.request(&zone(0)), READY),
            VoteReply::HeldBy(_)
        ));
    }
}

/// Guards against a new panel member that votes while the replaced panel can still elect an attempt.
#[test]
fn new_member_abstains_until_the_replaced_panel_has_changed() {
    // Arrange
    let old = voters(&[0, 1, 2, 3], 4);
    let new = voters(&[3, 4, 5, 6], 4).with_replaced(old.voters().to_vec());
    let panel = new.ledger_panel(&key("k"));
    let new_member =
        panel.nodes().iter().find(|id| !old.ledger_panel(&key("k")).contains(id)).unwrap();
    let voter = Voter::new(new_member.clone(), old.clone(), VoterConfig::default(), READY);
    let at = |lifetimes: u64| Instant::from_ms(lifetimes * LIFETIME_MS);
    let request = proposal(&new, 9, 1, at(2)).request(&zone(0));

    // Act
    voter.replace_list(new.clone(), at(3));
    let before_change = voter.handle_request(&request, at(9));
    for old_voter in old.ledger_panel(&key("k")).nodes() {
        voter.record_list_in_use(old_voter, new.id(), at(9));
    }
    let after_change = [at(9), at(10)].map(|now| voter.handle_request(&request, now));

    // Assert
    assert_eq!(before_change, VoteReply::Abstained);
    assert_eq!(after_change, [VoteReply::Abstained, VoteReply::Granted]);
}
