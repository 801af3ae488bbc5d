//! The `explain` command, which shows from the log files of several nodes how one request was
//! processed.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};

use serde_json::{Map, Value};
use snafu::{OptionExt, ResultExt, Snafu};

/// Fields of every line, which are shown before the other fields or not at all.
const COMMON_FIELDS: [&str; 5] = ["time_unix_ms", "level", "target", "message", "request_id"];

/// Why a request cannot be explained.
#[derive(Debug, Snafu)]
pub(crate) enum ExplainError {
    /// The command has no request id or no file.
    #[snafu(display("usage: yuccapass explain REQUEST-ID FILE..."))]
    Usage,
    /// A file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// No line has the request's id.
    #[snafu(display("no line names request {request}; answered requests are sampled"))]
    NotFound {
        /// The request.
        request: String,
    },
}

struct Line {
    time_unix_ms: u64,
    file: String,
    fields: Map<String, Value>,
}

/// Prints the log lines of a request in order of time.
///
/// # Errors
///
/// Fails if a file cannot be read or no line has the request's id.
pub(crate) fn explain(words: &[String], out: &mut dyn Write) -> Result<(), ExplainError> {
    let (request, files) = words.split_first().context(UsageSnafu)?;
    if files.is_empty() {
        return UsageSnafu.fail();
    }
    let mut lines = Vec::new();
    for path in files {
        read_lines(path, request, &mut lines).context(ReadSnafu { path })?;
    }
    lines.sort_by_key(|line| line.time_unix_ms);
    let first = lines.first().context(NotFoundSnafu { request })?.time_unix_ms;
    for line in &lines {
        // A closed pipe, as when the output goes to `head`, ends the output without an error.
        if print(line, first, out).is_err() {
            break;
        }
    }
    Ok(())
}

fn read_lines(path: &str, request: &str, lines: &mut Vec<Line>) -> io::Result<()> {
    for text in BufReader::new(File::open(path)?).lines() {
        let text = text?;
        // Other programs may write to the same file, or add a prefix to each line.
        let Some(start) = text.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) else { continue };
        if fields.get("request_id").and_then(Value::as_str) == Some(request) {
            let time_unix_ms = fields.get("time_unix_ms").and_then(Value::as_u64).unwrap_or(0);
            lines.push(Line { time_unix_ms, file: path.to_owned(), fields });
        }
    }
    Ok(())
}

fn print(line: &Line, first_ms: u64, out: &mut dyn Write) -> io::Result<()> {
    let message = line.fields.get("message").and_then(Value::as_str).unwrap_or_default();
    write!(out, "+{} ms {}: {message}", line.time_unix_ms - first_ms, line.file)?;
    for (name, value) in &line.fields {
        if !COMMON_FIELDS.contains(&name.as_str()) {
            write!(out, " {name}={value}")?;
        }
    }
    writeln!(out)
}
