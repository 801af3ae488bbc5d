//! Tests of operators' changes.

mod config_fixtures;

use std::collections::{BTreeMap, BTreeSet};

use config_fixtures::{command, config, document, execute_new, id, set_share};
use proptest::prelude::*;
use yuccapass_decisions::change::{
    ApprovalTarget, Change, Command, ExecuteError, ExecuteOutcome, apply, execute,
};
use yuccapass_decisions::config::{Document, MAX_COMMANDS, ZoneState};
use yuccapass_types::{KeyHash, Revision, TokensPerSecond};

fn clip_models() -> ApprovalTarget {
    ApprovalTarget { kind: None, name: "clip-models".into() }
}

/// Guards against a command that takes effect twice because its answer was lost.
#[test]
fn command_sent_twice_takes_effect_once() {
    // Arrange
    let key = KeyHash::of_key("new");
    let add = command("c1", Change::AddKey(id("organisation-000003"), key));
    let first = execute_new(&config(10), &add).config;
    let remove = command("c2", Change::RemoveKey(id("organisation-000003"), key));
    let second = execute_new(&first, &remove).config;

    // Act
    let again = execute(&second, &add).unwrap();

    // Assert
    assert_eq!(again, ExecuteOutcome::Repeated(Revision::new(2)));
}

/// Guards against a command that is taken for an earlier one because its id was used before.
#[test]
fn id_of_another_command_is_refused() {
    // Arrange
    let first = execute_new(&config(10), &command("c1", set_share(1, 2))).config;

    // Act
    let error = execute(&first, &command("c1", set_share(1, 3))).unwrap_err();

    // Assert
    assert!(matches!(error, ExecuteError::Refused { error } if error.field() == "command_id"));
}

/// Guards against two operators who overwrite each other's change without noticing.
#[test]
fn two_racing_operators_have_one_winner_and_one_conflict() {
    // Arrange
    let seen = config(10);
    let expecting = |command_id: &str, change| Command {
        expected_revision: Some(Revision::new(1)),
        ..command(command_id, change)
    };
    let winner = execute_new(&seen, &expecting("c1", set_share(5, 2))).config;

    // Act
    let loser = execute(&winner, &expecting("c2", set_share(5, 3))).unwrap_err();
    let bystander = execute(&winner, &expecting("c3", set_share(6, 3)));

    // Assert
    let ExecuteError::Conflict { conflict } = loser else { panic!("{loser:?}") };
    let other = conflict.other.unwrap();
    assert_eq!((other.id.as_str(), other.revision), ("c1", Revision::new(2)));
    assert_eq!(other.description, "set share of organisation-000005 to 2");
    assert!(matches!(bystander, Ok(ExecuteOutcome::Write(_))));
}

/// Guards against a missed conflict with a change that is no longer remembered.
#[test]
fn forgotten_history_counts_as_a_conflict() {
    // Arrange
    let mut current = config(2);
    for number in 0..=MAX_COMMANDS {
        let share = 2 + number as u32;
        current =
            execute_new(&current, &command(&format!("c{number}"), set_share(0, share))).config;
    }
    let expected_revision = Some(Revision::new(1));
    let stale = Command { expected_revision, ..command("stale", set_share(1, 9)) };

    // Act
    let error = execute(&current, &stale).unwrap_err();

    // Assert
    assert!(matches!(error, ExecuteError::Conflict { conflict } if conflict.other.is_none()));
    assert_eq!(current.manifest().commands.len(), MAX_COMMANDS);
}

/// Guards against refusals that do not say what to correct.
#[test]
fn refusals_name_field_value_and_bound() {
    // Arrange
    let unknown = ApprovalTarget { kind: None, name: "nothing".into() };
    let cases = [
        (set_share(0, 0), "organisations.organisation-000000.share", "0"),
        (set_share(99, 1), "organisation", "organisation-000099"),
        (Change::Approve(id("organisation-000000"), unknown), "model or service", "nothing"),
        (
            Change::SetMaxSwapping(id("clip-models"), 0),
            "models.clip-models.max_swapping_replicas",
            "0",
        ),
        (
            Change::UseVersion { model: id("clip-models"), version: id("v2"), zone: Some(id("z")) },
            "models.clip-models.zone_versions",
            "z",
        ),
    ];
    for (change, field, value) in cases {
        // Act
        let error = apply(&document(3), &change).unwrap_err();

        // Assert
        assert_eq!((error.field(), error.value()), (field, value));
        assert!(!error.bound().is_empty());
    }
}

/// Guards against a vote that is counted under two lists of voters.
#[test]
fn only_changes_of_voters_change_their_revision() {
    // Arrange
    let voter = yuccapass_decisions::config::Voter {
        id: id("node-a"),
        address: "127.0.0.1:9000".parse().unwrap(),
    };
    let current = execute_new(&config(2), &command("c1", set_share(0, 2))).config;

    // Act
    let next = execute_new(&current, &command("c2", Change::AddVoter(id("burnaby-yard"), voter)));

    // Assert
    assert_eq!(current.manifest().voters_revision, Revision::new(1));
    assert_eq!(next.config.manifest().voters_revision, Revision::new(3));
}

/// Guards against a version for all zones that leaves an earlier exception of one zone in place.
#[test]
fn version_for_all_zones_ends_exceptions() {
    // Arrange
    let use_version = |version: &str, zone: Option<&str>| Change::UseVersion {
        model: id("clip-models"),
        version: id(version),
        zone: zone.map(id),
    };
    let in_zone = apply(&document(0), &use_version("v2", Some("burnaby-yard"))).unwrap();

    // Act
    let everywhere = apply(&in_zone, &use_version("v3", None)).unwrap();

    // Assert
    let versions = |document: &Document| {
        let model = &document.models[0];
        ["burnaby-yard", "kamloops-yard"].map(|zone| model.version_in(&id(zone)).to_string())
    };
    assert_eq!(versions(&in_zone), ["v2", "v1"]);
    assert_eq!(versions(&everywhere), ["v3", "v3"]);
}

/// Guards against revisions that each hold a copy of all organisations: a running request keeps the
/// revision that it began with.
#[test]
fn revisions_share_unchanged_organisations() {
    // Arrange
    let current = config(100);

    // Act
    let next = execute_new(&current, &command("c1", set_share(7, 9))).config;

    // Assert
    let pairs = current.document().organisations.iter().zip(&next.document().organisations);
    let copied: Vec<usize> =
        pairs.enumerate().filter(|(_, (a, b))| !a.ptr_eq(b)).map(|(at, _)| at).collect();
    assert_eq!(copied, [7]);
}

/// The naive version of an organisation: share, limit, keys, and whether `clip-models` is approved.
type Naive = (u32, u64, BTreeSet<u8>, bool);

#[derive(Debug, Clone)]
enum Step {
    Create(u8, u32, u64),
    Remove(u8),
    Share(u8, u32),
    Limit(u8, u64),
    Key(u8, u8, bool),
    Approve(u8, bool),
    Zone(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let who = || 0_u8..6;
    prop_oneof![
        3 => (who(), 0_u32..4, any::<u64>()).prop_map(|(id, share, limit)| Step::Create(id, share, limit)),
        1 => who().prop_map(Step::Remove),
        1 => (who(), 0_u32..4).prop_map(|(id, share)| Step::Share(id, share)),
        1 => (who(), any::<u64>()).prop_map(|(id, limit)| Step::Limit(id, limit)),
        3 => (who(), 0_u8..8, any::<bool>()).prop_map(|(id, key, add)| Step::Key(id, key, add)),
        1 => (who(), any::<bool>()).prop_map(|(id, approved)| Step::Approve(id, approved)),
        1 => any::<bool>().prop_map(Step::Zone),
    ]
}

fn change_of(step: &Step) -> Change {
    let name = |number: &u8| id(&format!("o{number}"));
    let key_hash = |key: &u8| KeyHash::of_key(&key.to_string());
    match step {
        Step::Create(who, share, limit) => Change::CreateOrganisation {
            organisation: name(who),
            share: *share,
            limit: TokensPerSecond::new(*limit),
        },
        Step::Remove(who) => Change::RemoveOrganisation(name(who)),
        Step::Share(who, share) => Change::SetShare(name(who), *share),
        Step::Limit(who, limit) => Change::SetLimit(name(who), TokensPerSecond::new(*limit)),
        Step::Key(who, key, true) => Change::AddKey(name(who), key_hash(key)),
        Step::Key(who, key, false) => Change::RemoveKey(name(who), key_hash(key)),
        Step::Approve(who, true) => Change::Approve(name(who), clip_models()),
        Step::Approve(who, false) => Change::Withdraw(name(who), clip_models()),
        Step::Zone(out) => {
            let state = if *out { ZoneState::Out } else { ZoneState::In };
            Change::SetZoneState(id("burnaby-yard"), state)
        }
    }
}

/// Applies a step to the naive version; returns whether it is valid.
fn apply_naive(all: &mut BTreeMap<u8, Naive>, is_out: &mut bool, step: &Step) -> bool {
    let has_key = |all: &BTreeMap<u8, Naive>, key: &u8, but: &u8| {
        all.iter().any(|(who, naive)| who != but && naive.2.contains(key))
    };
    match step {
        Step::Create(who, share, limit) => {
            let is_valid = *share > 0 && !all.contains_key(who);
            if is_valid {
                all.insert(*who, (*share, *limit, BTreeSet::new(), false));
            }
            return is_valid;
        }
        Step::Remove(who) => return all.remove(who).is_some(),
        Step::Zone(out) => *is_out = *out,
        Step::Key(who, key, true) if has_key(all, key, who) => return false,
        Step::Share(_, 0) => return false,
        Step::Share(who, _) | Step::Limit(who, _) | Step::Key(who, ..) | Step::Approve(who, _) => {
            let Some(naive) = all.get_mut(who) else { return false };
            match step {
                Step::Share(_, share) => naive.0 = *share,
                Step::Limit(_, limit) => naive.1 = *limit,
                Step::Key(_, key, true) => drop(naive.2.insert(*key)),
                Step::Key(_, key, false) => drop(naive.2.remove(key)),
                Step::Approve(_, approved) => naive.3 = *approved,
                _ => {}
            }
        }
    }
    true
}

fn as_document(all: &BTreeMap<u8, Naive>, is_out: bool) -> Document {
    let mut expected = document(0);
    expected.zones[0].state = if is_out { ZoneState::Out } else { ZoneState::In };
    for (who, (share, limit, keys, approved)) in all {
        let mut key_hashes: Vec<_> =
            keys.iter().map(|key| KeyHash::of_key(&key.to_string())).collect();
        key_hashes.sort_unstable();
        let organisation = yuccapass_decisions::config::Organisation {
            id: id(&format!("o{who}")),
            key_hashes,
            models: approved.then(|| id("clip-models")).into_iter().collect(),
            services: Vec::new(),
            share: *share,
            limit_tokens_per_s: TokensPerSecond::new(*limit),
        };
        expected.organisations.push(organisation.into());
    }
    expected
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]

    /// Guards against changes that differ from the same changes to a simple map.
    #[test]
    fn changes_match_a_naive_model(steps in proptest::collection::vec(step(), 0..40)) {
        // Arrange
        let mut naive = BTreeMap::new();
        let mut is_out = false;
        let mut current = document(0);

        for step in &steps {
            // Act
            let applied = apply(&current, &change_of(step));

            // Assert
            let is_valid = apply_naive(&mut naive, &mut is_out, step);
            prop_assert_eq!(applied.is_ok(), is_valid, "{:?}", step);
            current = applied.unwrap_or(current);
            prop_assert_eq!(&current, &as_document(&naive, is_out));
        }
    }
}

/// Guards against nodes that disagree about the voters that a change replaces: one that starts later
/// sees only the document.
#[test]
fn change_of_voters_keeps_those_that_it_replaces() {
    // Arrange
    let document = config_fixtures::document(1);
    let zone = document.zones[0].id.clone();
    let voter = |name: &str, port: u16| yuccapass_decisions::config::Voter {
        id: config_fixtures::id(name),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
    };
    let add = |document: &_, name: &str, port| {
        let change = Change::AddVoter(zone.clone(), voter(name, port));
        yuccapass_decisions::change::apply(document, &change).unwrap()
    };
    let one = add(&document, "node-a", 1);

    // Act
    let two = add(&one, "node-b", 2);
    let moved = add(&two, "node-b", 3);

    // Assert
    assert_eq!(two.zones[0].replaced_voters, [config_fixtures::id("node-a")]);
    assert_eq!(moved.zones[0].replaced_voters, two.zones[0].replaced_voters);
}
