//! Tests of at-most-once execution.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{node, voters, zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccapass_decisions::ledger::{
    KeyAge, LedgerAttempt, LedgerConfig, LedgerDecision, LedgerRejection, check_key_age,
};
use yuccapass_decisions::quorum::{
    AttemptId, Outcome, OutcomeState, RequestDigest, Voter, VoterConfig, VoterList,
};
use yuccapass_types::{IdempotencyKey, Incarnation, Instant, ResultCode, RunState};

const LIFETIME_MS: u64 = 930_000;
const SETTLED: Instant = Instant::from_ms(LIFETIME_MS);

struct Fixture {
    list: VoterList,
    voters: Vec<Voter>,
    attempts: u64,
}

fn fixture(config: VoterConfig) -> Fixture {
    let list = voters(&[0, 1, 2], 3);
    let voters = (0..3).map(|index| voter(index, &list, config, Instant::from_ms(0))).collect();
    Fixture { list, voters, attempts: 0 }
}

fn voter(index: usize, list: &VoterList, config: VoterConfig, now: Instant) -> Voter {
    Voter::new(node(index), list.clone(), config, now)
}

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of_request("POST", "/services/ledger/bookings", body.as_bytes())
}

fn outcome(text: &str) -> Outcome {
    Outcome { status: 200, body: Arc::from(text.as_bytes()) }
}

impl Fixture {
    fn attempt(&mut self, key: &str, body: &str, now: Instant) -> LedgerAttempt {
        self.attempts += 1;
        let incarnation = Incarnation::new(1);
        let attempt = AttemptId { node: node(9), incarnation, number: self.attempts };
        let (organisation, key) = ("org".parse().unwrap(), key.parse().unwrap());
        let config = LedgerConfig::default();
        LedgerAttempt::new(&organisation, &key, digest(body), attempt, &self.list, config, now)
    }

    fn ask(&self, attempt: &mut LedgerAttempt, which: &[usize], now: Instant) {
        let ask = attempt.proposal().request(&zone(0));
        for &index in which {
            attempt.record_reply(&node(index), self.voters[index].handle_request(&ask, now));
        }
    }

    fn record(&self, attempt: &LedgerAttempt, state: OutcomeState, now: Instant) {
        let proposal = attempt.proposal();
        for voter in &self.voters {
            voter.record(proposal.key(), proposal.attempt(), state.clone(), now);
        }
    }

    /// Runs a request whose node then dies or records an outcome.
    fn run(&mut self, key: &str, body: &str, state: OutcomeState, now: Instant) {
        let mut attempt = self.attempt(key, body, now);
        self.ask(&mut attempt, &[0, 1, 2], now);
        assert!(attempt.start_sending(now));
        self.record(&attempt, state, now);
    }
}

fn rejection(code: ResultCode, run_state: RunState) -> LedgerDecision {
    LedgerDecision::Reject(LedgerRejection { code, run_state })
}

/// Guards against a second execution, or a lost response, when a caller repeats its request.
#[test]
fn repeated_request_gets_the_recorded_outcome() {
    // Arrange
    let mut fixture = fixture(VoterConfig::default());
    fixture.run("k", "body", OutcomeState::Recorded(outcome("done")), SETTLED);
    let mut repeated = fixture.attempt("k", "body", SETTLED);

    // Act
    fixture.ask(&mut repeated, &[1], SETTLED);

    // Assert
    assert_eq!(repeated.decide(false, SETTLED), LedgerDecision::Return(outcome("done")));
}

/// Guards against another request getting the response to the first one with the same key.
#[test]
fn key_with_another_body_is_reused() {
    // Arrange
    let mut fixture = fixture(VoterConfig::default());
    fixture.run("done", "body", OutcomeState::Recorded(outcome("done")), SETTLED);
    fixture.run("runs", "body", OutcomeState::Pending, SETTLED);
    for (key, run_state) in [("done", RunState::Ran), ("runs", RunState::Unknown)] {
        let mut other = fixture.attempt(key, "other body", SETTLED);

        // Act
        fixture.ask(&mut other, &[0, 1, 2], SETTLED);

        // Assert
        assert_eq!(other.decide(false, SETTLED), rejection(ResultCode::KeyReused, run_state));
    }
}

/// Guards against a second execution after the node that ran the request has died.
#[test]
fn key_of_a_dead_node_stays_taken_until_the_window_ends() {
    // Arrange
    let mut fixture = fixture(VoterConfig::default());
    fixture.run("k", "body", OutcomeState::Pending, SETTLED);
    let within = Instant::from_ms(SETTLED.as_ms() + LIFETIME_MS - 1);
    let mut early = fixture.attempt("k", "body", within);
    let late = Instant::from_ms(SETTLED.as_ms() + LIFETIME_MS);

    // Act
    fixture.ask(&mut early, &[0, 1, 2], within);
    let mut after = fixture.attempt("k", "body", late);
    fixture.ask(&mut after, &[0, 1, 2], late);

    // Assert
    assert_eq!(early.decide(false, within), LedgerDecision::StillRunning);
    assert_eq!(after.decide(false, late), LedgerDecision::Run);
}

/// Guards against `not run` when the voters that knew of an execution have restarted or are away.
#[test]
fn not_run_needs_a_majority_that_remembers() {
    // Arrange: node 0 restarts after the run, node 2 cannot be reached and node 1 had no vote.
    let mut fixture = fixture(VoterConfig::default());
    let mut first = fixture.attempt("k", "body", SETTLED);
    fixture.ask(&mut first, &[0, 2], SETTLED);
    assert!(first.start_sending(SETTLED));
    fixture.voters[0] = voter(0, &fixture.list, VoterConfig::default(), SETTLED);
    let mut repeated = fixture.attempt("k", "body", SETTLED);

    // Act
    fixture.ask(&mut repeated, &[0, 1], SETTLED);

    // Assert
    let expected = rejection(ResultCode::NoMajority, RunState::Unknown);
    assert_eq!(repeated.decide(true, SETTLED), expected);
}

/// Guards against a truthful `not run` being withheld when full voters rule out an execution.
#[test]
fn full_voters_allow_not_run() {
    // Arrange
    let mut fixture = fixture(VoterConfig::default().max_votes_per_shard(0));
    let mut attempt = fixture.attempt("k", "body", SETTLED);

    // Act
    fixture.ask(&mut attempt, &[0, 1], SETTLED);

    // Assert
    assert_eq!(attempt.decide(true, SETTLED), rejection(ResultCode::NoMajority, RunState::NotRun));
}

/// Guards against a parted minority that runs what the other side may run.
#[test]
fn minority_rejects_before_sending() {
    // Arrange
    let mut fixture = fixture(VoterConfig::default());
    let mut attempt = fixture.attempt("k", "body", SETTLED);

    // Act
    fixture.ask(&mut attempt, &[2], SETTLED);

    // Assert
    assert_eq!(attempt.decide(true, SETTLED), rejection(ResultCode::NoMajority, RunState::Unknown));
    assert!(!attempt.start_sending(SETTLED));
}

/// Guards against a send so late that the vote ends within the retention window after it.
#[test]
fn winner_sends_within_its_time_or_not_at_all() {
    // Arrange
    let mut fixture = fixture(VoterConfig::default());
    let mut attempt = fixture.attempt("k", "body", SETTLED);
    fixture.ask(&mut attempt, &[0, 1, 2], SETTLED);
    let late = Instant::from_ms(SETTLED.as_ms() + 30_000);

    // Act
    let decision = attempt.decide(false, late);

    // Assert
    assert_eq!(decision, rejection(ResultCode::NoMajority, RunState::NotRun));
    assert!(!attempt.start_sending(late));
    assert!(attempt.withdraw().is_some());
}

/// Guards against memory growing with the outcomes, and against a wrong response without one.
#[test]
fn outcome_without_room_is_reported_as_ran() {
    // Arrange
    let mut fixture = fixture(VoterConfig::default().max_body_bytes_per_shard(100));
    fixture.run("k", "body", OutcomeState::Recorded(outcome(&"x".repeat(101))), SETTLED);
    let mut repeated = fixture.attempt("k", "body", SETTLED);

    // Act
    fixture.ask(&mut repeated, &[0, 1, 2], SETTLED);

    // Assert
    let expected = rejection(ResultCode::OutcomeUnknown, RunState::Ran);
    assert_eq!(repeated.decide(false, SETTLED), expected);
}

/// Guards against keys that carry their age outliving their votes.
#[test]
fn uuid_v7_keys_expire_with_the_window() {
    // Arrange
    let made_ms = 0x0190_0000_0000;
    let timed = "01900000-0000-7000-8000-000000000000";
    let cases = [
        (timed, made_ms + 900_000, KeyAge::Fresh),
        (timed, made_ms + 900_001, KeyAge::Expired),
        (timed, made_ms - 10_000, KeyAge::Fresh),
        (timed, made_ms - 10_001, KeyAge::Ahead),
        ("01900000000070008000000000000000", made_ms + 900_001, KeyAge::Expired),
        ("01900000-0000-4000-8000-000000000000", made_ms + 900_001, KeyAge::Untimed),
        ("booking-17", 0, KeyAge::Untimed),
    ];
    for (text, unix_ms, expected) in cases {
        let key: IdempotencyKey = text.parse().unwrap();

        // Act
        let age = check_key_age(&key, LedgerConfig::default().retention_ms(), unix_ms);

        // Assert
        assert_eq!(age, expected, "{text} at {unix_ms}");
    }
}

#[derive(Debug, Clone)]
struct Step {
    key: u8,
    body: bool,
    reached: u8,
    sends: bool,
    records: bool,
    restart: Option<usize>,
    pause_ms: u64,
}

fn step() -> impl Strategy<Value = Step> {
    let restart = proptest::option::weighted(0.1, 0_usize..3);
    let parts =
        (0_u8..4, proptest::bool::weighted(0.9), 0_u8..8, any::<bool>(), any::<bool>(), restart);
    (parts, prop_oneof![0..30_000_u64, 0..400_000_u64]).prop_map(
        |((key, body, reached, sends, records, restart), pause_ms)| Step {
            key,
            body,
            reached,
            sends,
            records,
            restart,
            pause_ms,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a second execution within the window, a false `not run` and a response to
    /// another request, compared with a map of every execution.
    #[test]
    fn ledger_agrees_with_a_map_of_executions(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        // Arrange
        let mut fixture = fixture(VoterConfig::default());
        let mut sent: BTreeMap<u8, (u64, bool)> = BTreeMap::new();
        let mut now = SETTLED;

        for step in steps {
            now = Instant::from_ms(now.as_ms() + step.pause_ms);
            if let Some(index) = step.restart {
                let config = VoterConfig::default();
                fixture.voters[index] = voter(index, &fixture.list, config, now);
            }
            let reached: Vec<usize> = (0..3).filter(|bit| step.reached >> bit & 1 == 1).collect();
            let body = step.body.to_string();
            let mut attempt = fixture.attempt(&step.key.to_string(), &body, now);
            let ran = sent.get(&step.key).filter(|(at, _)| now.as_ms() - at < 900_000).copied();

            // Act
            fixture.ask(&mut attempt, &reached, now);
            let decision = attempt.decide(true, now);

            // Assert
            match decision {
                LedgerDecision::Run => {
                    prop_assert_eq!(ran, None, "a second execution within the window");
                    if step.sends && attempt.start_sending(now) {
                        sent.insert(step.key, (now.as_ms(), step.body));
                        if step.records {
                            let state = OutcomeState::Recorded(outcome(&body));
                            fixture.record(&attempt, state, now);
                        }
                    }
                }
                LedgerDecision::Return(found) => prop_assert_eq!(found, outcome(&body)),
                LedgerDecision::Reject(rejection) if rejection.run_state == RunState::NotRun => {
                    prop_assert_eq!(ran, None, "a false `not run`");
                }
                LedgerDecision::Reject(rejection) if rejection.run_state == RunState::Ran => {
                    prop_assert!(sent.contains_key(&step.key));
                }
                LedgerDecision::Wait => prop_assert!(false, "no decision after the last reply"),
                LedgerDecision::StillRunning | LedgerDecision::Reject(_) => {}
            }
            for index in attempt.withdraw().into_iter().flatten() {
                let index = (0..3).find(|&other| node(other) == index).unwrap();
                let proposal = attempt.proposal();
                fixture.voters[index].release(proposal.key(), proposal.attempt(), now);
            }
        }
    }
}
