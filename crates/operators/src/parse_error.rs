//! Parse errors that describe what was expected.

use pest::error::{ErrorVariant, InputLocation};
use snafu::Snafu;

use crate::parse::Rule;
use crate::statement::Field;

/// Maximum number of alternatives that an error lists.
const MAX_EXPECTED: usize = 16;

/// Reports where a statement cannot be parsed and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("at character {}: {expected}", position + 1))]
pub struct ParseError {
    position: usize,
    expected: String,
}

impl ParseError {
    pub(crate) fn new(position: usize, expected: impl std::fmt::Display) -> Self {
        Self { position, expected: format!("expected {expected}") }
    }

    pub(crate) fn of_value(position: usize, error: impl std::fmt::Display) -> Self {
        Self { position, expected: error.to_string() }
    }

    pub(crate) fn too_long(bytes: usize, max_bytes: usize) -> Self {
        let expected =
            format!("the sentence has {bytes} bytes, but at most {max_bytes} are accepted");
        Self { position: max_bytes, expected }
    }

    pub(crate) fn of_fields(position: usize, fields: &[Field]) -> Self {
        if fields.is_empty() {
            return Self::new(position, "no condition here: this list cannot be narrowed");
        }
        let words: Vec<String> = fields.iter().map(|field| format!("`{field}`")).collect();
        Self::new(position, join(&words))
    }

    pub(crate) fn of_grammar(error: &pest::error::Error<Rule>) -> Self {
        let position = match error.location {
            InputLocation::Pos(position) | InputLocation::Span((position, _)) => position,
        };
        match &error.variant {
            ErrorVariant::ParsingError { positives, .. } if !positives.is_empty() => {
                let mut words: Vec<String> = positives.iter().copied().map(describe_rule).collect();
                words.sort_unstable();
                words.dedup();
                Self::new(position, join(&words))
            }
            _ => Self::new(position, "the end of the command"),
        }
    }

    /// Returns the byte position in the statement.
    pub fn position(&self) -> usize {
        self.position
    }
}

fn join(words: &[String]) -> String {
    let shown = &words[..words.len().min(MAX_EXPECTED)];
    match shown {
        [] => "nothing more".to_owned(),
        [word] => word.clone(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}

/// Describes the input that a rule of the grammar expects.
fn describe_rule(rule: Rule) -> String {
    match rule {
        Rule::EOI => "the end of the command".to_owned(),
        Rule::name | Rule::name_char => "a name".to_owned(),
        Rule::zone_name => "the name of a zone".to_owned(),
        Rule::number | Rule::signed_number => "a whole number".to_owned(),
        Rule::rate => "a rate such as `5000 tokens/s`".to_owned(),
        Rule::tokens_per_s => "`tokens/s`".to_owned(),
        Rule::key_hash => "the hash of a key, 64 hexadecimal digits".to_owned(),
        Rule::address => "an address such as `10.0.0.1:9000`".to_owned(),
        Rule::target => "the name of a model or service".to_owned(),
        Rule::topic => "a word that commands begin with".to_owned(),
        Rule::filter => "a condition such as `model is clip-models`".to_owned(),
        Rule::subject => {
            "what to show, such as `endpoints`, `organisations` or `configuration`".to_owned()
        }
        Rule::statement | Rule::change | Rule::query | Rule::watch | Rule::help => {
            "a command; `help` lists them".to_owned()
        }
        rule => describe_keyword(rule),
    }
}

fn describe_keyword(rule: Rule) -> String {
    let name = format!("{rule:?}");
    // The rule of a whole command is named after the first two words of the command.
    format!("`{}`", name.trim_end_matches('_').replace('_', " "))
}
