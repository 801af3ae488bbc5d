//! Tests of the command language.

use proptest::prelude::*;
use yuccapass_decisions::change::{ApprovalTarget, Change, TargetKind};
use yuccapass_decisions::config::{Endpoint, Voter, ZoneState};
use yuccapass_operators::help::ENTRIES;
use yuccapass_operators::{Filter, MAX_STATEMENT_BYTES, Query, Statement, Subject, help, parse};
use yuccapass_types::{KeyHash, TokensPerSecond};

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// Guards against errors that do not show where a statement is wrong and what was expected there.
#[test]
fn parse_errors_have_position_and_expectation() {
    // Arrange
    let cases = [
        ("", 0, "a command"),
        ("dance", 0, "a command"),
        ("take zone kamloops-yard", 23, "`out`"),
        ("approve hinge-fitters bench-adviser", 22, "`for`"),
        ("set share of a to many", 18, "a whole number"),
        ("set share of a to 99999999999", 18, "number too large"),
        ("set limit of a to 5", 19, "`tokens/s`"),
        ("show endpoints where region is interior", 21, "`endpoint`, `model`, `zone` or `state`"),
        ("show endpoints now", 15, "`where`"),
        ("take zone kamloops-yard out now", 28, "the end of the command"),
        ("add voter n at 10.0.0.1 to zone z", 15, "socket address"),
    ];
    for (text, position, expected) in cases {
        // Act
        let error = parse(text).unwrap_err();

        // Assert
        assert_eq!(error.position(), position, "{text}: {error}");
        assert!(error.to_string().contains(expected), "{text}: {error}");
    }
}

/// Guards against a parser that processes a text of any length.
#[test]
fn long_statement_is_refused_before_parsing() {
    // Arrange
    let text = "show nodes ".repeat(MAX_STATEMENT_BYTES);

    // Act
    let error = parse(&text).unwrap_err();

    // Assert
    assert_eq!(error.position(), MAX_STATEMENT_BYTES);
}

/// Guards against keywords of the language that cannot be used as names.
#[test]
fn words_of_the_language_are_names_by_position() {
    // Arrange
    let text = "Approve for FOR model model";

    // Act
    let statement = parse(text).unwrap();

    // Assert
    let target = ApprovalTarget { kind: Some(TargetKind::Model), name: "model".into() };
    assert_eq!(statement, Statement::Change(Change::Approve(id("for"), target)));
}

/// Guards against a command of the grammar that `help` does not show.
#[test]
fn help_covers_the_grammar() {
    // Arrange
    let grammar = include_str!("../src/language.pest");
    let change = grammar.split("change = {").nth(1).unwrap().split('}').next().unwrap();
    let words = change.split_whitespace().filter(|word| *word != "|");
    let rules: Vec<&str> = words.chain(["query", "watch", "help"]).collect();

    // Act
    let helped: Vec<&str> = ENTRIES.iter().map(|entry| entry.rule).collect();

    // Assert
    assert_eq!(helped, rules);
    assert!(help(Some("approve")).starts_with("approve ORGANISATION"));
    assert!(ENTRIES.iter().all(|entry| help(None).contains(entry.usage)));
}

/// Guards against a documentation page whose syntax or examples do not match the parser.
#[test]
fn language_page_matches_the_parser() {
    // Arrange
    let page = include_str!("../../../docs/language.md");
    let blocks = page.split("```yuccapass\n").skip(1);
    let examples = blocks.flat_map(|block| block.split("```").next().unwrap().lines());

    for example in examples {
        // Act
        let parsed = parse(example);

        // Assert
        assert_eq!(parsed.map(|statement| statement.to_string()).as_deref(), Ok(example));
    }
    for entry in ENTRIES {
        assert!(page.contains(&format!("\n    {}\n", entry.usage)), "{}", entry.usage);
    }
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-zA-Z0-9._-]{1,64}",
        // Keywords of the language, used as names.
        proptest::sample::select(vec!["in", "zone", "model", "service", "key", "no", "to", "out"])
            .prop_map(str::to_owned),
    ]
}

fn target() -> impl Strategy<Value = ApprovalTarget> {
    let kind =
        prop_oneof![Just(None), Just(Some(TargetKind::Model)), Just(Some(TargetKind::Service))];
    (kind, name()).prop_map(|(kind, name)| ApprovalTarget { kind, name: name.into() })
}

fn address() -> impl Strategy<Value = std::net::SocketAddr> {
    (any::<std::net::IpAddr>(), any::<u16>()).prop_map(std::net::SocketAddr::from)
}

fn organisation_change() -> impl Strategy<Value = Change> {
    let key = any::<u64>().prop_map(|number| KeyHash::of_key(&number.to_string()));
    (0_u8..8, name(), any::<u32>(), any::<u64>(), key, target()).prop_map(
        |(form, name, share, limit, key, target)| {
            let (organisation, limit) = (id(&name), TokensPerSecond::new(limit));
            match form {
                0 => Change::CreateOrganisation { organisation, share, limit },
                1 => Change::RemoveOrganisation(organisation),
                2 => Change::SetShare(organisation, share),
                3 => Change::SetLimit(organisation, limit),
                4 => Change::AddKey(organisation, key),
                5 => Change::RemoveKey(organisation, key),
                6 => Change::Approve(organisation, target),
                _ => Change::Withdraw(organisation, target),
            }
        },
    )
}

fn infrastructure_change() -> impl Strategy<Value = Change> {
    (0_u8..9, name(), name(), name(), address(), any::<u32>(), any::<i32>()).prop_map(
        |(form, first, second, third, address, number, priority)| match form {
            0 => Change::CreateZone(id(&first), id(&second)),
            1 => {
                Change::SetZoneState(id(&first), [ZoneState::In, ZoneState::Out][second.len() % 2])
            }
            2 => Change::AddVoter(id(&first), Voter { id: id(&second), address }),
            3 => Change::RemoveVoter(id(&first), id(&second)),
            4 => Change::AddEndpoint(Endpoint {
                id: id(&first),
                model: id(&second),
                zone: id(&third),
                address,
                checks_fencing: number % 2 == 0,
                leaving: false,
                cold_requests: number,
            }),
            5 => Change::RemoveEndpoint(id(&first)),
            6 => Change::SetEndpointLeaving(id(&first), number % 2 == 0),
            7 => Change::SetClass(id(&first), priority),
            _ => Change::RemoveClass(id(&first)),
        },
    )
}

fn model_change() -> impl Strategy<Value = Change> {
    (0_u8..4, name(), name(), proptest::option::of(name()), any::<bool>(), any::<u32>()).prop_map(
        |(form, model, other, place, has_adapter, count)| {
            let model = id(&model);
            let zone = place.as_deref().map(id);
            match form {
                0 => Change::CreateModel {
                    model,
                    version: id(&other),
                    store: place.as_deref().map(id),
                },
                1 => Change::UseVersion { model, version: id(&other), zone },
                2 => Change::UseAdapter { model, adapter: has_adapter.then(|| id(&other)), zone },
                _ => Change::SetMaxSwapping(model, count),
            }
        },
    )
}

fn query() -> impl Strategy<Value = Query> {
    let subject = proptest::sample::select(Subject::ALL);
    let choices = proptest::collection::vec((any::<prop::sample::Index>(), name()), 0..4);
    let show = (subject, choices).prop_map(|(subject, choices)| {
        let fields = subject.fields();
        let filters = choices.into_iter().filter(|_| !fields.is_empty());
        let filters = filters
            .map(|(index, value)| Filter { field: *index.get(fields), value: value.into() })
            .collect();
        Query::Show { subject, filters }
    });
    prop_oneof![4 => show, 1 => name().prop_map(|model| Query::Rollout(id(&model)))]
}

fn statement() -> impl Strategy<Value = Statement> {
    let change = prop_oneof![organisation_change(), infrastructure_change(), model_change()];
    prop_oneof![
        8 => change.prop_map(Statement::Change),
        2 => query().prop_map(Statement::Query),
        1 => name().prop_map(|name| Statement::AddNewKey(id(&name))),
        1 => proptest::option::of("[a-zA-Z]{1,20}")
            .prop_map(|topic| Statement::Help(topic.map(Into::into))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(21), cases: 2_000, ..ProptestConfig::default() })]

    /// Guards against a statement whose text, as it is recorded or sent, parses to something else.
    #[test]
    fn printed_statement_parses_back(statement in statement()) {
        // Act
        let parsed = parse(&statement.to_string());

        // Assert
        prop_assert_eq!(parsed, Ok(statement));
    }

    /// Guards against a panic, or an error position outside the text, on arbitrary input.
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        // Act
        let parsed = parse(&text);

        // Assert
        if let Err(error) = parsed {
            prop_assert!(error.position() <= text.len());
        }
    }

    /// Guards against a panic on statements that are almost valid.
    #[test]
    fn shuffled_words_never_panic(
        statement in statement(),
        cut in any::<prop::sample::Index>(),
        swap in any::<(prop::sample::Index, prop::sample::Index)>(),
    ) {
        // Arrange
        let text = statement.to_string();
        let mut words: Vec<&str> = text.split(' ').collect();
        let positions = (swap.0.index(words.len()), swap.1.index(words.len()));
        words.swap(positions.0, positions.1);
        words.remove(cut.index(words.len()));
        let text = words.join(" ");

        // Act
        let parsed = parse(&text);

        // Assert
        if let Err(error) = parsed {
            prop_assert!(error.position() <= text.len());
        }
    }
}
