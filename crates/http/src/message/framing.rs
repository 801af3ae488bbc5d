//! How the end of a message's body is determined.

use snafu::Snafu;

use super::head::{HeaderList, RequestHead, ResponseHead};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
    /// The body ends when the connection is closed, which only a response may use.
    UntilClose,
}

/// Reports a message whose framing is ambiguous or invalid.
///
/// Two readers could find the end of such a message in different places (request smuggling).
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}"))]
pub struct FramingError {
    problem: &'static str,
}

impl Framing {
    /// Returns the framing of a request's body.
    ///
    /// # Errors
    ///
    /// Fails if the head declares more than one framing, an invalid length or an unknown transfer
    /// coding.
    pub fn of_request(head: &RequestHead) -> Result<Self, FramingError> {
        if let Some(framing) = declared_framing(&head.headers)? {
            return Ok(framing);
        }
        Ok(Self::Length(0))
    }

    /// Returns the framing of the body of a response to `method`.
    ///
    /// # Errors
    ///
    /// Fails if the head declares more than one framing, an invalid length or an unknown transfer
    /// coding.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<Self, FramingError> {
        let has_no_body = method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304);
        if has_no_body {
            return Ok(Self::Length(0));
        }
        Ok(declared_framing(&head.headers)?.unwrap_or(Self::UntilClose))
    }
}

/// Returns the framing that the header fields declare, if they declare one.
fn declared_framing(headers: &HeaderList) -> Result<Option<Framing>, FramingError> {
    let fail = |problem| Err(FramingError { problem });
    let mut codings = headers.get_all("transfer-encoding");
    let mut lengths = headers.get_all("content-length");
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => fail("both Content-Length and Transfer-Encoding are present"),
        (Some(coding), None) => {
            let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            match is_chunked && codings.next().is_none() {
                true => Ok(Some(Framing::Chunked)),
                false => fail("the transfer coding is not chunked"),
            }
        }
        (None, Some(length)) => match (parse_length(length), lengths.next()) {
            (Some(length), None) => Ok(Some(Framing::Length(length))),
            (_, Some(_)) => fail("Content-Length is present more than once"),
            (None, None) => fail("Content-Length is not a number"),
        },
        (None, None) => Ok(None),
    }
}

/// Parses a number of digits only; `str::parse` would also accept a sign.
fn parse_length(text: &[u8]) -> Option<u64> {
    let is_digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    is_digits.then(|| std::str::from_utf8(text).ok()?.parse().ok()).flatten()
}
