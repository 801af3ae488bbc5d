//! Calls of plain services: HTTP services that are not model endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::AsyncReadExt;
use http_types::{Body, Headers};
use rand::seq::SliceRandom;
use smol_str::format_smolstr;
use yuccapass_callers::{Failure, ServiceRequest, ServiceResponse};
use yuccapass_decisions::config::{Document, Service, ZoneState};
use yuccapass_decisions::quorum::{Outcome, OutcomeState, RequestDigest};
use yuccapass_http::{ClientConfig, with_deadline};
use yuccapass_services::{
    HttpService, PlainService, ServiceCall, ServiceError, ServiceErrorKind, ServiceReply,
};
use yuccapass_types::{Clock, EndpointId, ResultCode, RunState, Sharded, SortedMap};

use crate::fleet::ledger::{Claim, ClaimResult, KeyedRequest, MAX_OUTCOME_BYTES};
use crate::request_handler::Core;

/// Maximum size of a request body that is buffered, so that the call can be retried at another
/// address.
const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024;

/// Maximum size of the response to a call with an idempotency key.
const MAX_KEYED_RESPONSE_BYTES: usize = 4 << 20;

/// The clients of plain services, one for each address.
pub(crate) struct ServiceTable {
    clients: Sharded<SortedMap<SocketAddr, Arc<dyn PlainService>>>,
    clock: Arc<dyn Clock>,
}

impl ServiceTable {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clients: Sharded::default(), clock }
    }

    fn client(&self, address: SocketAddr) -> Arc<dyn PlainService> {
        self.clients.with(&address, |shard| {
            let make_client = || -> Arc<dyn PlainService> {
                let text = format_smolstr!("{}-{}", address.ip(), address.port());
                // The colons of an IPv6 address are not allowed in an id.
                let id: EndpointId =
                    text.replace(':', ".").parse().expect("an address has only name characters");
                let config = ClientConfig::default();
                Arc::new(HttpService::new(id, address, config, Arc::clone(&self.clock)))
            };
            Arc::clone(shard.get_or_insert_with(address, make_client))
        })
    }
}

/// A call that is attempted at one address after another.
struct PendingCall {
    request: ServiceRequest,
    /// The buffered body; `None` if it is streamed.
    buffered_body: Option<Vec<u8>>,
}

/// Calls a service on behalf of a caller.
///
/// # Errors
///
/// Fails if the organisation is not approved for the service, the call must not be executed, or
/// there is no response.
pub(crate) async fn call(core: &Core, request: ServiceRequest) -> Result<ServiceResponse, Failure> {
    let active = core.configuration.active();
    let service = check_approved(active.document(), &request)?;
    let mut call = buffer_body(core, request).await?;
    let claim = match keyed_request(&call) {
        None => None,
        Some(keyed) => match core.ledger.claim(&keyed).await? {
            ClaimResult::Recorded(outcome) => return Ok(recorded_response(&outcome)),
            ClaimResult::Run(claim) => Some(claim),
        },
    };
    match claim {
        None => Ok(response(send(core, service, &mut call, None).await?)),
        Some(claim) => send_and_record(core, service, &mut call, claim).await,
    }
}

/// Returns the service if the organisation is approved for it and its zone accepts work.
fn check_approved<'a>(
    document: &'a Document,
    request: &ServiceRequest,
) -> Result<&'a Service, Failure> {
    let service = document
        .service(&request.service)
        .ok_or_else(|| Failure::not_run(ResultCode::ServiceNotFound))?;
    let organisation = document.organisation(&request.organisation);
    if !organisation.is_some_and(|found| found.may_use_service(&service.id)) {
        return Err(Failure::not_run(ResultCode::NotApproved));
    }
    match document.zone(&service.zone) {
        Some(zone) if zone.state == ZoneState::In => Ok(service),
        _ => Err(Failure::not_run(ResultCode::NoEndpoint)),
    }
}

/// Buffers the body if it is short, or if its digest is needed to recognise a repeated call.
async fn buffer_body(core: &Core, mut request: ServiceRequest) -> Result<PendingCall, Failure> {
    let is_keyed = !request.is_repeatable && request.idempotency_key.is_some();
    let is_short = request.body.len().is_some_and(|bytes| bytes <= MAX_BUFFERED_BODY_BYTES);
    if !is_keyed && !is_short {
        return Ok(PendingCall { request, buffered_body: None });
    }
    let mut bytes = Vec::new();
    let mut limited = (&mut request.body).take(MAX_BUFFERED_BODY_BYTES as u64 + 1);
    with_deadline(&*core.clock, request.deadline, limited.read_to_end(&mut bytes))
        .await
        .map_err(|_| Failure::not_run(ResultCode::RequestTimeout))?
        .map_err(|error| {
            Failure::not_run(ResultCode::InvalidRequest).detail(format!("body: {error}"))
        })?;
    if bytes.len() > MAX_BUFFERED_BODY_BYTES {
        let detail = format!("with an idempotency key, at most {MAX_BUFFERED_BODY_BYTES} bytes");
        return Err(Failure::not_run(ResultCode::BodyTooLarge).detail(detail));
    }
    Ok(PendingCall { request, buffered_body: Some(bytes) })
}

/// Returns the idempotency key and digest of a call, if it has a key and is not repeatable.
fn keyed_request(call: &PendingCall) -> Option<KeyedRequest> {
    let request = &call.request;
    let key = request.idempotency_key.clone().filter(|_| !request.is_repeatable)?;
    let body = call.buffered_body.as_deref().unwrap_or_default();
    let path = format_smolstr!("/services/{}{}", request.service, request.path_and_query);
    Some(KeyedRequest {
        organisation: request.organisation.clone(),
        key,
        digest: RequestDigest::of_request(request.method.as_ref(), &path, body),
        deadline: request.deadline,
    })
}

/// Sends a call with an idempotency key and records its outcome.
async fn send_and_record(
    core: &Core,
    service: &Service,
    call: &mut PendingCall,
    mut claim: Claim,
) -> Result<ServiceResponse, Failure> {
    let deadline = call.request.deadline;
    let reply = match send(core, service, call, Some(&mut claim)).await {
        Ok(reply) => reply,
        Err(failure) => {
            match failure.run_state {
                RunState::NotRun => claim.release_not_run(),
                RunState::Ran => claim.record(OutcomeState::NotKept),
                RunState::Unknown => claim.record(OutcomeState::Unknown),
            }
            return Err(failure);
        }
    };
    let ServiceReply { status, headers, mut body } = reply;
    let mut bytes = Vec::new();
    let mut limited = (&mut body).take(MAX_KEYED_RESPONSE_BYTES as u64 + 1);
    let reading = with_deadline(&*core.clock, deadline, limited.read_to_end(&mut bytes)).await;
    let is_complete = matches!(reading, Ok(Ok(_))) && bytes.len() <= MAX_KEYED_RESPONSE_BYTES;
    if !is_complete {
        claim.record(OutcomeState::NotKept);
        return Err(Failure::new(ResultCode::StreamCut, RunState::Ran));
    }
    claim.record(match bytes.len() <= MAX_OUTCOME_BYTES {
        true => OutcomeState::Recorded(Outcome { status, body: bytes.as_slice().into() }),
        false => OutcomeState::NotKept,
    });
    Ok(ServiceResponse { status, headers, body: Body::from_bytes(bytes) })
}

/// Sends a call to the addresses of a service, in random order, until one responds. A call that is
/// not repeatable is not sent again once an address may have received it.
async fn send(
    core: &Core,
    service: &Service,
    call: &mut PendingCall,
    mut claim: Option<&mut Claim>,
) -> Result<ServiceReply, Failure> {
    let mut addresses = service.addresses.clone();
    addresses.shuffle(&mut rand::rng());
    let mut last = Failure::not_run(ResultCode::NoEndpoint);
    for address in addresses {
        if let Some(claim) = claim.as_deref_mut()
            && !claim.start_sending(&*core.clock)
        {
            return Err(Failure::not_run(ResultCode::DeadlinePassed));
        }
        let Some(next) = next_call(call) else { return Err(last) };
        match core.services.client(address).call(next).await {
            Ok(reply) => return Ok(reply),
            Err(error) => {
                log::warn!(
                    request_id = call.request.request_id.as_str(), address:% = address;
                    "service call failed: {error}"
                );
                let may_retry = !error.was_sent() || call.request.is_repeatable;
                last = failure(&error);
                if !may_retry {
                    return Err(last);
                }
            }
        }
    }
    Err(last)
}

/// Creates the call for the next attempt; `None` if an earlier attempt consumed the streamed body.
fn next_call(call: &mut PendingCall) -> Option<ServiceCall> {
    let request = &mut call.request;
    let body = match &call.buffered_body {
        Some(bytes) => Body::from_bytes(bytes.clone()),
        None if request.body.is_empty() == Some(true) => return None,
        None => std::mem::replace(&mut request.body, Body::empty()),
    };
    Some(ServiceCall {
        method: request.method,
        path_and_query: request.path_and_query.clone(),
        headers: request.headers.clone(),
        body,
        deadline: request.deadline,
        is_repeatable: request.is_repeatable,
    })
}

fn response(reply: ServiceReply) -> ServiceResponse {
    ServiceResponse { status: reply.status, headers: reply.headers, body: reply.body }
}

fn recorded_response(outcome: &Outcome) -> ServiceResponse {
    let response: http_types::Response = http_types::Response::new(outcome.status);
    let headers: &Headers = response.as_ref();
    let body = Body::from_bytes(outcome.body.to_vec());
    ServiceResponse { status: outcome.status, headers: headers.clone(), body }
}

fn failure(error: &ServiceError) -> Failure {
    let code = match error.kind() {
        ServiceErrorKind::Unreachable => ResultCode::NoEndpoint,
        ServiceErrorKind::Timeout => ResultCode::EndpointTimeout,
        _ => ResultCode::EndpointFailed,
    };
    Failure::new(code, error.run_state()).detail(error.to_string())
}
