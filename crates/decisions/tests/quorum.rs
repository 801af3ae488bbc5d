//! Focused tests of panels, voters and proposals.

mod common;

use common::{node, voters, zone};
use yuccapass_decisions::quorum::{
    AttemptId, OutcomeState, Proposal, ProposalState, RequestDigest, VoteKey, VoteReply, Voter,
    VoterConfig, VoterList,
};
use yuccapass_types::{Incarnation, Instant};

const LIFETIME_MS: u64 = 930_000;
const SETTLED: Instant = Instant::from_ms(LIFETIME_MS);

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

fn ask(proposal: &mut Proposal, voters: &[Voter], which: &[usize], now: Instant) {
    let request = proposal.request(&zone(0));
    for &index in which {
        let answer = voters[index].handle_request(&request, now);
        let voter = proposal.panel().nodes()[index].clone();
        proposal.record_reply(&voter, answer);
    }
}

/// Guards against a panel that one zone's failure deprives of its majority.
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

/// Guards against an empty panel that counts as a majority of nothing.
#[test]
fn empty_panel_never_wins() {
    // Arrange
    let list = voters(&[], 1);

    // Act
    let proposal = proposal(&list, 0, 1, SETTLED);

    // Assert
    assert_eq!(proposal.state(SETTLED), ProposalState::Lost);
}

/// Guards against two winners when two nodes propose the same key at once.
#[test]
fn two_proposers_at_once_have_one_winner() {
    // Arrange
    let list = voters(&[0, 1, 2, 3], 4);
    let voters = panel_voters(&list, VoterConfig::default());
    let (mut first, mut second) = (proposal(&list, 7, 1, SETTLED), proposal(&list, 8, 1, SETTLED));

    // Act
    ask(&mut first, &voters, &[0, 1], SETTLED);
    ask(&mut second, &voters, &[2, 1, 0], SETTLED);

    // Assert
    assert_eq!(first.state(SETTLED), ProposalState::Won);
    assert_eq!(second.state(SETTLED), ProposalState::Lost);
}

/// Guards against a restarted voter that gives away a vote that it has forgotten.
#[test]
fn restarted_voter_abstains_for_the_lifetime() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let request = proposal(&list, 7, 1, SETTLED).request(&zone(0));

    // Act
    let early = voters[0].handle_request(&request, Instant::from_ms(LIFETIME_MS - 1));
    let late = voters[0].handle_request(&request, SETTLED);

    // Assert
    assert_eq!((early, late), (VoteReply::Abstained, VoteReply::Granted));
}

/// Guards against a full table that forgets a live vote to make room.
#[test]
fn full_table_rejects_and_keeps_live_votes() {
    // Arrange
    let list = voters(&[0], 1);
    let config = VoterConfig::default().max_votes_per_shard(1);
    let voter = Voter::new(node(0), list.clone(), config, Instant::from_ms(0));
    let mut request = proposal(&list, 7, 1, SETTLED).request(&zone(0));
    let mut granted = Vec::new();

    // Act
    for number in 0..500 {
        request.key = key(&number.to_string());
        match voter.handle_request(&request, SETTLED) {
            VoteReply::Granted => granted.push(request.key),
            answer => assert_eq!(answer, VoteReply::Full),
        }
    }

    // Assert
    request.attempt.number = 2;
    assert_eq!(voter.vote_count(), granted.len());
    for held in granted {
        request.key = held;
        assert!(matches!(voter.handle_request(&request, SETTLED), VoteReply::HeldBy(_)));
    }
}

/// Guards against a withdrawal that frees the key after the winner has sent the request.
#[test]
fn withdrawal_is_refused_once_sent() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let mut unsent = proposal(&list, 7, 1, SETTLED);
    ask(&mut unsent, &voters, &[0, 1], SETTLED);
    let released = unsent.withdraw().unwrap();
    for voter in &voters[..2] {
        voter.release(unsent.key(), unsent.attempt(), SETTLED);
    }
    let mut sent = proposal(&list, 8, 1, SETTLED);
    ask(&mut sent, &voters, &[0, 1], SETTLED);

    // Act
    let may_send = (unsent.mark_sent(SETTLED), sent.mark_sent(SETTLED));

    // Assert
    assert_eq!(released.len(), 3);
    assert_eq!(may_send, (false, true));
    assert_eq!(sent.withdraw(), None);
}

/// Guards against a paused proposer that acts on votes that have ended meanwhile.
#[test]
fn paused_proposer_does_not_act() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let mut paused = proposal(&list, 7, 1, SETTLED);
    ask(&mut paused, &voters, &[0, 1, 2], SETTLED);

    // Act
    let may_send = paused.mark_sent(Instant::from_ms(2 * LIFETIME_MS));

    // Assert
    assert!(!may_send);
}

/// Guards against a late or repeated release that frees another attempt's or a finished vote.
#[test]
fn release_of_another_attempt_or_after_the_outcome_does_nothing() {
    // Arrange
    let list = voters(&[0, 1, 2], 3);
    let voters = panel_voters(&list, VoterConfig::default());
    let mut winner = proposal(&list, 7, 1, SETTLED);
    ask(&mut winner, &voters, &[0, 1, 2], SETTLED);
    let other = proposal(&list, 8, 1, SETTLED);

    // Act
    voters[0].release(other.key(), other.attempt(), SETTLED);
    voters[1].record(winner.key(), winner.attempt(), OutcomeState::NotKept, SETTLED);
    voters[1].release(winner.key(), winner.attempt(), SETTLED);

    // Assert
    for voter in &voters {
        assert!(matches!(
            voter.handle_request(&other.request(&zone(0)), SETTLED),
            VoteReply::HeldBy(_)
        ));
    }
}

/// Guards against a newcomer on a panel that votes while the old panel can still elect an attempt.
#[test]
fn newcomer_abstains_until_the_old_panel_has_moved() {
    // Arrange
    let old = voters(&[0, 1, 2, 3], 4);
    let new = voters(&[3, 4, 5, 6], 4).replacing(old.voters().to_vec());
    let panel = new.ledger_panel(&key("k"));
    let newcomer =
        panel.nodes().iter().find(|id| !old.ledger_panel(&key("k")).contains(id)).unwrap();
    let voter = Voter::new(newcomer.clone(), old.clone(), VoterConfig::default(), SETTLED);
    let at = |lifetimes: u64| Instant::from_ms(lifetimes * LIFETIME_MS);
    let request = proposal(&new, 9, 1, at(2)).request(&zone(0));

    // Act
    voter.adopt(new.clone(), at(3));
    let before_move = voter.handle_request(&request, at(9));
    for old_voter in old.ledger_panel(&key("k")).nodes() {
        voter.note_list_of(old_voter, new.id(), at(9));
    }
    let after_move = [at(9), at(10)].map(|now| voter.handle_request(&request, now));

    // Assert
    assert_eq!(before_move, VoteReply::Abstained);
    assert_eq!(after_move, [VoteReply::Abstained, VoteReply::Granted]);
}
