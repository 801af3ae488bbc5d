//! Encodes a request for an endpoint.

use bytes::BufMut;
use yuccapass_decisions::gateway::TransferRequest;
use yuccapass_types::{CacheNamespace, WeightRevision};

use crate::admission::Admitted;
use crate::attempt::Target;
use crate::events::EventSplitter;
use crate::protocol::Forwarding;
use crate::state::Shared;
use crate::stores::cache_namespace_prefix;

/// Bodies of at least this size are written by themselves.
const MIN_SEPARATE_BODY_BYTES: usize = 16 << 10;

/// Returns whether a body is written by itself, so that it is not copied. A small one is sent in the
/// same packet as the head.
pub(crate) fn is_separate(body: &[u8]) -> bool {
    body.len() >= MIN_SEPARATE_BODY_BYTES
}

/// Encodes the request for the endpoint, without a body that is written by itself.
pub(crate) fn request_message(
    shared: &Shared,
    request: &Admitted<'_>,
    target: &Target,
    events: &EventSplitter,
) -> Vec<u8> {
    let resume_after = events.last_id().or(request.caller.resume_after.as_ref());
    let weights = target.record.served(request.model()).map(|&(_, weights)| weights);
    let namespace = cache_namespace(request, weights);
    let regions = request.regions(shared).allowed;
    let transfers = namespace.as_ref().filter(|_| weights.is_some()).map(|namespace| {
        let directory = shared.directory();
        let transfer = TransferRequest {
            zone: &target.record.zone,
            allowed_regions: &regions,
            namespace,
            parts: &request.caller.parts,
            cache_peer: target.cache_peer,
            is_outdated: directory.outdated(&target.record, request.model()).is_some(),
            nodes: shared.nodes(),
        };
        shared.stores.plan(&directory, &transfer, shared.now())
    });
    let priority = match resume_after {
        Some(_) => request.resumed_priority,
        None => request.priority,
    };
    let forwarding = Forwarding {
        endpoint: &target.id,
        organisation: request.organisation,
        remaining_ms: request.deadline.remaining_ms(shared.now()),
        priority: request.route.kind.is_streaming().then_some(priority),
        namespace: namespace.as_ref(),
        weights,
        transfers: transfers.as_ref(),
        resume_after: resume_after.map(|id| id.as_str()),
    };
    let head = &request.message.head;
    let write = |out: &mut Vec<u8>| shared.protocol.write_request_headers(head, &forwarding, out);
    message_with_headers(request, write)
}

/// Encodes a request with the header lines that `write_headers` writes, without a body that is written by
/// itself.
pub(crate) fn message_with_headers(
    request: &Admitted<'_>,
    write_headers: impl FnOnce(&mut Vec<u8>),
) -> Vec<u8> {
    let head = &request.message.head;
    let body = &request.message.body;
    let attached_body = if is_separate(body) { &[] } else { &body[..] };
    let mut message = Vec::with_capacity(1_024 + attached_body.len());
    message.put_slice(head.method.as_bytes());
    message.put_slice(b" ");
    message.put_slice(head.target.as_bytes());
    message.put_slice(b" HTTP/1.1\r\n");
    write_headers(&mut message);
    let has_body = !body.is_empty() || !matches!(head.method.as_str(), "GET" | "HEAD");
    if has_body {
        message.put_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    message.put_slice(b"\r\n");
    message.put_slice(attached_body);
    message
}

/// Returns the cache namespace of a request. Each revision of the weights has its own, so that
/// stored parts are never used with other weights, and so has each cache partition.
fn cache_namespace(
    request: &Admitted<'_>,
    weights: Option<WeightRevision>,
) -> Option<CacheNamespace> {
    match (weights, request.cache_partition) {
        (None, None) => None,
        (None, Some(partition)) => partition.parse().ok(),
        (Some(weights), None) => cache_namespace_prefix(weights).parse().ok(),
        (Some(weights), Some(partition)) => {
            format!("{}-{partition}", cache_namespace_prefix(weights)).parse().ok()
        }
    }
}
