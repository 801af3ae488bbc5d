//! Parses the headers and bodies of callers' requests.

use std::str::FromStr;
use std::sync::Arc;

use http_types::Headers;
use serde_json::{Map, Value};
use yuccapass_types::{Clock, Deadline, KeyHash, ModelId, ResultCode};

use crate::failure::Failure;

/// Names of the request headers that callers may set.
pub(crate) mod header_names {
    /// Milliseconds until the answer is no longer wanted.
    pub(crate) const DEADLINE_MS: &str = "x-request-deadline-ms";
    /// The caller's idempotency key, by which a repeated request is recognised.
    pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// `true` if the request must run at most once.
    pub(crate) const NOT_REPEATABLE: &str = "x-not-repeatable";
    /// The request class.
    pub(crate) const CLASS: &str = "x-request-class";
}

/// The parsed body of a generation request.
#[derive(Debug, Clone, PartialEq)]
pub struct ParsedBody {
    /// The model.
    pub model: ModelId,
    /// Whether the caller wants a stream.
    pub wants_stream: bool,
    /// Maximum number of tokens that the caller wants.
    pub max_tokens: Option<u32>,
    /// The body, changed so that it asks for a stream.
    pub body: Arc<[u8]>,
    /// The changed body as a JSON value.
    pub value: Value,
}

/// Parses the JSON body of a generation request.
///
/// # Errors
///
/// Fails with [`ResultCode::InvalidRequest`] and the name of the invalid field.
pub fn parse_body(bytes: &[u8]) -> Result<ParsedBody, Failure> {
    let mut fields: Map<String, Value> =
        serde_json::from_slice(bytes).map_err(|error| invalid(format!("body: {error}")))?;
    let model = match fields.get("model") {
        Some(Value::String(name)) => {
            name.parse().map_err(|error| invalid(format!("model: {error}")))?
        }
        _ => return Err(invalid("model: it must be a text")),
    };
    let wants_stream = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid("stream: it must be true or false")),
    };
    if fields.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(invalid("n: only 1 is supported"));
    }
    let max_tokens = parse_max_tokens(&fields)?;
    // Engines are always asked for a stream, because a stream shows early that its engine has
    // failed, and can be continued at another endpoint.
    fields.insert("stream".to_owned(), Value::Bool(true));
    let value = Value::Object(fields);
    let body = value.to_string().into_bytes().into();
    Ok(ParsedBody { model, wants_stream, max_tokens, body, value })
}

fn parse_max_tokens(fields: &Map<String, Value>) -> Result<Option<u32>, Failure> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
                let number = number.filter(|&number| number > 0);
                return number
                    .map(Some)
                    .ok_or_else(|| invalid(format!("{name}: it must be a positive whole number")));
            }
        }
    }
    Ok(None)
}

fn invalid(detail: impl Into<String>) -> Failure {
    Failure::not_run(ResultCode::InvalidRequest).detail(detail)
}

/// Returns the hash of the bearer key, if there is one.
pub(crate) fn bearer_key(headers: &Headers) -> Option<KeyHash> {
    let value = headers.get("authorization")?.as_str();
    let (scheme, key) = value.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case("bearer");
    (is_bearer && !key.is_empty()).then(|| KeyHash::of_key(key.trim()))
}

/// Parses a header, if it is present.
///
/// # Errors
///
/// Fails with [`ResultCode::InvalidHeader`] and the header's name.
pub(crate) fn parse_header<T>(headers: &Headers, name: &str) -> Result<Option<T>, Failure>
where
    T: FromStr<Err: std::fmt::Display>,
{
    let Some(values) = headers.get(name) else { return Ok(None) };
    let parsed = values.as_str().parse().map_err(|error| {
        Failure::not_run(ResultCode::InvalidHeader).detail(format!("{name}: {error}"))
    })?;
    Ok(Some(parsed))
}

/// Returns the deadline that a caller sets, at most `max_ms` from now, or `default_ms` from now if
/// it sets none.
pub(crate) fn parse_deadline(
    headers: &Headers,
    clock: &dyn Clock,
    default_ms: u64,
    max_ms: u64,
) -> Result<Deadline, Failure> {
    let requested_ms = parse_header::<u64>(headers, header_names::DEADLINE_MS)?;
    if requested_ms == Some(0) {
        return Err(Failure::not_run(ResultCode::DeadlinePassed));
    }
    Ok(Deadline::after_ms(clock.now(), requested_ms.unwrap_or(default_ms).min(max_ms)))
}
