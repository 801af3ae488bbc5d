//! Reads statements from the arguments or from standard input.

use std::io::{self, IsTerminal, Read};

use snafu::Snafu;
use yuccapass_operators::{Statement, parse};

/// Largest accepted standard input, in bytes: statements for 23,000 organisations take about 3 MB.
const MAX_INPUT_BYTES: u64 = 16 << 20;

/// Why the input cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum InputError {
    #[snafu(display("`{text}` {error}"))]
    Parse { text: String, error: yuccapass_operators::ParseError },
    #[snafu(display("line {line}: `{text}` {error}"))]
    ParseLine { line: usize, text: String, error: yuccapass_operators::ParseError },
    #[snafu(display("standard input cannot be read: {error}"))]
    Read { error: io::Error },
    #[snafu(display("standard input has more than {MAX_INPUT_BYTES} bytes"))]
    TooLong,
    #[snafu(display("there is no command; `yuccapass help` lists them"))]
    Missing,
}

/// Parses the statement that the arguments form, or if there are none, each line of standard input.
pub(crate) fn read_statements(words: &[String]) -> Result<Vec<Statement>, InputError> {
    if !words.is_empty() {
        let text = words.join(" ");
        let parsed =
            parse(&text).map_err(|error| InputError::Parse { text: shorten(&text), error });
        return Ok(vec![parsed?]);
    }
    if io::stdin().is_terminal() {
        return Err(InputError::Missing);
    }
    let mut text = String::new();
    let mut limited = io::stdin().take(MAX_INPUT_BYTES + 1);
    limited.read_to_string(&mut text).map_err(|error| InputError::Read { error })?;
    if text.len() as u64 > MAX_INPUT_BYTES {
        return Err(InputError::TooLong);
    }
    parse_lines(&text)
}

/// Parses all lines, so that none is sent if one is invalid.
fn parse_lines(text: &str) -> Result<Vec<Statement>, InputError> {
    let lines = text.lines().map(str::trim).zip(1..);
    lines
        .filter(|(line, _)| !line.is_empty() && !line.starts_with('#'))
        .map(|(text, line)| {
            parse(text).map_err(|error| InputError::ParseLine { line, text: shorten(text), error })
        })
        .collect()
}

fn shorten(text: &str) -> String {
    const SHOWN_CHARS: usize = 200;
    text.chars().take(SHOWN_CHARS).collect()
}
