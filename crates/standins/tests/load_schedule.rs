//! The requests of a load run, computed from settings and a seed.

use yuccapass_standins::load::conversation::{Conversation, pseudorandom_text};
use yuccapass_standins::load::schedule::{PlannedTurn, plan_turns};
use yuccapass_standins::load::workload::{LengthDistribution, Preset, Workload};
use yuccapass_types::RequestsPerSecond;

fn workload() -> Workload {
    let mut workload = Workload::preset(Preset::Society);
    workload.rate = RequestsPerSecond::new(200);
    workload
}

fn count(turns: &[PlannedTurn], is_counted: impl Fn(&PlannedTurn) -> bool) -> f64 {
    turns.iter().filter(|turn| is_counted(turn)).count() as f64
}

/// Guards against a run that cannot be repeated from its seed.
#[test]
fn equal_seeds_give_equal_requests() {
    for preset in [Preset::Society, Preset::Association] {
        // Arrange
        let workload = Workload::preset(preset);

        // Act
        let (first, second, other) =
            (plan_turns(&workload, 7), plan_turns(&workload, 7), plan_turns(&workload, 8));

        // Assert
        assert_eq!(first, second);
        assert_ne!(first, other);
    }
}

/// Guards against a mean rate other than the configured one, for example because bursts add to it.
#[test]
fn mean_rate_is_the_configured_rate_with_bursts() {
    // Arrange
    let workload = workload();

    // Act
    let turns = plan_turns(&workload, 1);

    // Assert
    let expected = 200.0 * 60.0;
    assert!((turns.len() as f64 - expected).abs() < expected * 0.1, "{} requests", turns.len());
    let in_burst = count(&turns, |turn| turn.at_us / 1000 % 20_000 >= 18_000);
    // Each of the 2 seconds of a burst has 3 / (18 + 2 * 3) of the requests of a period.
    assert!((in_burst / turns.len() as f64 - 0.25).abs() < 0.05, "{in_burst} in bursts");
}

/// Guards against turns that are out of order or follow the previous one too soon.
#[test]
fn conversations_return_after_their_gap() {
    // Arrange
    let workload = workload();

    // Act
    let turns = plan_turns(&workload, 2);

    // Assert
    let mut returned = 0;
    for (position, turn) in turns.iter().enumerate().filter(|(_, turn)| turn.turn > 0) {
        let earlier = &turns[..position];
        let previous = earlier.iter().rfind(|other| other.conversation == turn.conversation);
        let previous = previous.expect("a later turn has an earlier one");
        assert_eq!(previous.turn + 1, turn.turn);
        assert_eq!(previous.organisation, turn.organisation);
        assert!(turn.at_us - previous.at_us >= workload.return_gap_ms * 500);
        assert!(turn.turn < workload.max_turns);
        returned += 1;
    }
    assert!(returned > turns.len() / 4, "{returned} of {}", turns.len());
}

/// Guards against shares that differ from the settings, or a resent request that is repeatable.
#[test]
fn shares_follow_the_settings() {
    // Arrange
    let workload = workload();

    // Act
    let turns = plan_turns(&workload, 3);

    // Assert
    let total = turns.len() as f64;
    let large = count(&turns, |turn| turn.organisation < 3);
    assert!((large / total - 0.66).abs() < 0.1, "large organisations: {}", large / total);
    let ledger = count(&turns, |turn| turn.is_ledger);
    assert!((ledger / total - 0.1).abs() < 0.05, "ledger: {}", ledger / total);
    assert!(turns.iter().all(|turn| turn.is_ledger || turn.is_repeatable));
    let resent = count(&turns, |turn| turn.resend_after_us.is_some());
    assert!(resent > 0.0);
    assert!(turns.iter().all(|turn| turn.resend_after_us.is_none() || !turn.is_repeatable));
}

/// Guards against lengths outside their bounds and a wrong mean, from which the capacity is
/// computed.
#[test]
fn lengths_stay_in_bounds() {
    // Arrange
    let workload = workload();
    let LengthDistribution { min, max } = workload.answer_tokens;

    // Act
    let turns = plan_turns(&workload, 4);

    // Assert
    let lengths: Vec<u64> = turns.iter().map(|turn| turn.answer_tokens.get()).collect();
    assert!(lengths.iter().all(|length| (min..=max).contains(length)));
    let mean = lengths.iter().sum::<u64>() as f64 / lengths.len() as f64;
    assert!((mean / workload.answer_tokens.mean() - 1.0).abs() < 0.1, "mean {mean}");
}

/// Guards against a prompt that does not extend the previous one, which no prefix cache could use.
#[test]
fn each_prompt_extends_the_one_before() {
    // Arrange
    let mut conversation = Conversation::default();
    conversation.set_instructions(pseudorandom_text(1, "instructions", 100));

    // Act
    let first = conversation.add_question(0, "first question".to_owned());
    conversation.add_answer(0, "first answer".to_owned());
    let second = conversation.add_question(1, "second question".to_owned());
    conversation.add_answer(0, "an answer that comes late".to_owned());
    let third = conversation.add_question(2, "third question".to_owned());

    // Assert
    let [first, second, third] = [first, second, third].map(|it| it.as_array().unwrap().clone());
    assert!(second.starts_with(&first) && third.starts_with(&second));
    assert_eq!([first.len(), second.len(), third.len()], [2, 4, 5]);
    assert_eq!(second[2]["content"], "first answer");
}
