//! Headers that concern one connection only.

use http_types::Headers;

/// Headers that a message loses when it is forwarded, besides those that its `connection` header
/// names. `expect` is among them because the client does not handle interim responses, and `host`
/// because each connection has its own.
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

/// Returns the end-to-end headers of a message, with all values of each.
///
/// The length is left out as well: it follows from the body that is sent.
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
