//! The head of a request or response.

use std::ops::RangeInclusive;

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

use super::MessageError;

/// Maximum number of header fields of a message.
const MAX_HEADERS: usize = 100;

/// Hop-by-hop headers: they concern one connection only and are never forwarded (RFC 9110, section
/// 7.6.1).
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// The valid status codes (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Header fields in the order in which they arrived.
#[derive(Debug, Clone, Default)]
pub struct HeaderList {
    fields: Vec<(SmolStr, Bytes)>,
}

impl HeaderList {
    /// Returns the value of the first field with a name; names are compared without regard to case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the value of the first field with a name, if it is valid UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns the values of all fields with a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_ref()))
    }

    /// Returns the end-to-end fields, that is, all but the hop-by-hop ones.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.iter().filter(|(name, _)| !self.is_connection_header(name))
    }

    /// Returns whether the comma-separated list in a header contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| {
            value
                .split(|&byte| byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    fn is_connection_header(&self, name: &str) -> bool {
        CONNECTION_HEADERS.iter().any(|known| name.eq_ignore_ascii_case(known))
            || self.has_token("connection", name)
    }

    fn from_parsed(raw: &Bytes, headers: &[httparse::Header<'_>]) -> Self {
        let field = |header: &httparse::Header<'_>| {
            (SmolStr::new(header.name), raw.slice_ref(header.value))
        };
        Self { fields: headers.iter().map(field).collect() }
    }
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: SmolStr,
    /// Path and query as they were sent.
    pub target: SmolStr,
    /// Whether the client speaks HTTP/1.1 rather than 1.0.
    pub is_http_11: bool,
    /// The header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Takes a head from the front of `buffer`, or returns `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not the head of a request.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, MessageError> {
        let Some(end) = head_end(buffer) else { return Ok(None) };
        let raw = buffer.split_to(end).freeze();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(&raw).map_err(MessageError::malformed)?;
        let (Some(method), Some(target), true) =
            (request.method, request.path, status.is_complete())
        else {
            return Err(MessageError::malformed("the request line is incomplete"));
        };
        Ok(Some(Self {
            method: SmolStr::new(method),
            target: SmolStr::new(target),
            is_http_11: request.version == Some(1),
            headers: HeaderList::from_parsed(&raw, request.headers),
        }))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: SmolStr,
    /// Whether the peer speaks HTTP/1.1 rather than 1.0.
    pub is_http_11: bool,
    /// The header fields.
    pub headers: HeaderList,
}

impl ResponseHead {
    /// Takes a head from the front of `buffer`, or returns `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not the head of a response.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, MessageError> {
        let Some(end) = head_end(buffer) else {
            let begin = &buffer[..buffer.len().min(5)];
            return match b"HTTP/".starts_with(begin) {
                true => Ok(None),
                false => Err(MessageError::malformed("the response does not begin with HTTP/")),
            };
        };
        let raw = buffer.split_to(end).freeze();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(&raw).map_err(MessageError::malformed)?;
        let (Some(code), true) = (response.code, status.is_complete()) else {
            return Err(MessageError::malformed("the status line is incomplete"));
        };
        if !STATUS_CODES.contains(&code) {
            return Err(MessageError::malformed(format!("the status {code} is not valid")));
        }
        Ok(Some(Self {
            status: code,
            reason: SmolStr::new(response.reason.unwrap_or_default()),
            is_http_11: response.version == Some(1),
            headers: HeaderList::from_parsed(&raw, response.headers),
        }))
    }

    /// Returns whether the peer keeps the connection open after this response.
    pub fn keeps_connection(&self) -> bool {
        self.is_http_11 && !self.headers.has_token("connection", "close")
    }
}

/// Returns the length of the head including the empty line that ends it.
fn head_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n").map(|position| position + 4)
}
