//! Tests of retry plans and the retry budget.

mod property_config;

use proptest::prelude::*;
use yuccapass_decisions::retry::{
    AttemptFacts, AttemptFailure, RetryBudget, RetryBudgetSettings, RetryPlan, RetryTarget,
    plan_retry,
};
use yuccapass_types::{Deadline, Instant, ResultCode, RunState, Tokens};

const NOW: Instant = Instant::from_ms(100_000);

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetSettings::default())
}

/// A repeatable request that broke after it was sent and before the first token.
fn facts() -> AttemptFacts {
    AttemptFacts {
        failure: AttemptFailure::ConnectionBroken,
        was_sent: true,
        reported_state: None,
        earlier_state: RunState::NotRun,
        delivered: Tokens::ZERO,
        response_started: false,
        can_resume: true,
        is_repeatable: true,
        deadline: Deadline::after_ms(NOW, 5_000),
        min_attempt_ms: 50,
        attempts: 1,
        max_attempts: 3,
    }
}

fn plan(facts: &AttemptFacts) -> RetryPlan {
    plan_retry(facts, &mut budget(), NOW)
}

fn fail(run_state: RunState, code: ResultCode) -> RetryPlan {
    RetryPlan::Fail { run_state, code }
}

/// Guards against a stream that is started again from its beginning, or by other weights.
#[test]
fn delivered_tokens_are_resumed_with_the_same_version() {
    // Arrange
    let cut = AttemptFacts { delivered: Tokens::new(12), ..facts() };
    let no_resume = AttemptFacts { can_resume: false, ..cut };
    let head_only = AttemptFacts { response_started: true, ..facts() };

    // Act
    let resumed = plan(&cut);

    // Assert
    let expected = RetryPlan::Retry {
        target: RetryTarget::OtherEndpoint,
        resume_offset: Tokens::new(12),
        same_version: true,
        new_connection: true,
    };
    assert_eq!(resumed, expected);
    assert_eq!(plan(&no_resume), fail(RunState::Ran, ResultCode::StreamCut));
    assert_eq!(plan(&head_only), fail(RunState::Ran, ResultCode::StreamCut));
}

/// Guards against giving up an endpoint because one of its connections went silent.
#[test]
fn silent_connection_is_replaced() {
    // Arrange
    let silent = AttemptFacts { failure: AttemptFailure::ConnectionSilent, ..facts() };

    // Act
    let plan = plan(&silent);

    // Assert
    let RetryPlan::Retry { target, new_connection, .. } = plan else { panic!("{plan:?}") };
    assert_eq!((target, new_connection), (RetryTarget::SameEndpoint, true));
}

/// Guards against attempts for a caller that no longer waits.
#[test]
fn passed_deadline_ends_the_request() {
    // Arrange
    let deadline = Deadline::after_ms(NOW, 0);
    let sent = AttemptFacts { deadline, ..facts() };
    let unsent = AttemptFacts { was_sent: false, ..sent };

    // Act
    let plans = (plan(&sent), plan(&unsent));

    // Assert
    assert_eq!(plans.0, fail(RunState::Unknown, ResultCode::EndpointTimeout));
    assert_eq!(plans.1, fail(RunState::NotRun, ResultCode::DeadlineUnreachable));
}

/// Guards against a failing fleet that is loaded with several attempts of each request.
#[test]
fn retry_storm_is_bounded_by_the_share() {
    // Arrange
    let mut budget = budget();

    // Act: 1,000 requests within a second, each of which fails three times.
    let mut retries = 0;
    for request in 0..1_000 {
        let now = Instant::from_ms(request);
        budget.record_request(now);
        retries += (0..3).filter(|_| budget.try_take(now)).count();
    }

    // Assert
    assert!((90..=100).contains(&retries), "{retries}");
}

/// Guards against a quiet node on which a single failure cannot be retried.
#[test]
fn minimum_is_available_without_requests() {
    // Arrange
    let mut budget = budget();

    // Act
    let taken: Vec<bool> = (0..4).map(|_| budget.try_take(NOW)).collect();
    let later = budget.try_take(Instant::from_ms(NOW.as_ms() + 10_000));

    // Assert
    assert_eq!((taken, later), (vec![true, true, true, false], true));
}

fn run_states() -> impl Strategy<Value = RunState> {
    prop_oneof![Just(RunState::NotRun), Just(RunState::Ran), Just(RunState::Unknown)]
}

fn any_facts() -> impl Strategy<Value = AttemptFacts> {
    let failure = prop_oneof![
        Just(AttemptFailure::ConnectFailed),
        Just(AttemptFailure::ConnectionBroken),
        Just(AttemptFailure::ConnectionSilent),
        Just(AttemptFailure::Overloaded),
        Just(AttemptFailure::WrongVersion),
    ];
    let states = (prop::option::of(run_states()), run_states());
    (failure, any::<[bool; 4]>(), states, 0u64..3, 1u32..5).prop_map(
        |(
            failure,
            [was_sent, response_started, can_resume, is_repeatable],
            states,
            tokens,
            attempts,
        )| {
            AttemptFacts {
                failure,
                was_sent,
                reported_state: states.0,
                earlier_state: states.1,
                delivered: Tokens::new(tokens),
                response_started,
                can_resume,
                is_repeatable,
                attempts,
                ..facts()
            }
        },
    )
}

proptest! {
    #![proptest_config(property_config::fixed(256, 0x4e_747))]

    /// Guards against a second run of a non-repeatable request and against a false `not run`.
    #[test]
    fn plans_keep_to_what_is_known(facts in any_facts()) {
        // Arrange
        let last_did_not_run = !facts.was_sent || facts.reported_state == Some(RunState::NotRun);
        let has_output = facts.delivered > Tokens::ZERO || facts.response_started;
        let did_not_run =
            last_did_not_run && !has_output && facts.earlier_state == RunState::NotRun;

        // Act
        let plan = plan(&facts);

        // Assert
        match plan {
            RetryPlan::Retry { resume_offset, same_version, .. } => {
                prop_assert!(facts.is_repeatable || did_not_run);
                prop_assert!(facts.attempts < facts.max_attempts);
                prop_assert_eq!(resume_offset, facts.delivered);
                prop_assert_eq!(same_version, facts.delivered > Tokens::ZERO);
                prop_assert!(!has_output || (facts.can_resume && resume_offset > Tokens::ZERO));
            }
            RetryPlan::Fail { run_state, .. } => {
                prop_assert_eq!(run_state == RunState::NotRun, did_not_run);
            }
        }
    }

    /// Guards against a budget that differs from plain counting over the window.
    #[test]
    fn budget_agrees_with_counting(steps in prop::collection::vec((0u64..400, any::<bool>()), 1..200)) {
        // Arrange
        let mut budget = budget();
        let (mut requests, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut second_tenth = 0;
        for (gap, is_request) in steps {
            second_tenth += gap / 100;
            let now = Instant::from_ms(second_tenth * 1_000);
            if is_request {
                requests.push(second_tenth);
                budget.record_request(now);
                continue;
            }
            let recent = |times: &[u64]| times.iter().filter(|&&t| t + 10 > second_tenth).count();
            let is_allowed = recent(&retries) < (recent(&requests) / 10).max(3);

            // Act
            let is_taken = budget.try_take(now);

            // Assert
            prop_assert_eq!(is_taken, is_allowed);
            if is_taken {
                retries.push(second_tenth);
            }
        }
    }
}
