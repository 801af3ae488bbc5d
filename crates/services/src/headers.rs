//! Hop-by-hop headers, which concern one connection only.

use http_types::Headers;

/// Headers that are not forwarded, in addition to those that a message's `connection` header names.
///
/// `expect` is among them because the client does not handle interim responses, and `host` because
/// the client sets it for its own connection.
const CONNECTION_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end headers of a message, each with all its values.
///
/// `content-length` is left out as well, because it is set from the body that is sent.
pub fn end_to_end(headers: &Headers) -> Headers {
    let mut kept = headers.clone();
    for name in named_by_connection(headers) {
        kept.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

fn named_by_connection(headers: &Headers) -> Vec<String> {
    let values = headers.get("connection").into_iter().flat_map(|values| values.iter());
    let names = values.flat_map(|value| value.as_str().split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
