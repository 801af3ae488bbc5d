//! The HTTP interface of the stand-in platform.

use std::time::Duration;

use http_types::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use yuccapass_http::ConnectionHandle;
use yuccapass_platform::wire::{
    CODE_NOT_FOUND, CODE_OUT_OF_RANGE, ErrorBody, Header, KeepAliveAnswer, LeaseMessage,
    OperationBody, PutBody, RangeAnswer, RangeBody, TxnAnswer, TxnBody,
};
use yuccapass_types::Instant;

use super::faults::Outage;
use super::key_value_store::KeyValueStoreError;
use super::shared::{Inner, PlatformState};
use super::watch;

/// The gRPC status code `UNAVAILABLE`.
const CODE_UNAVAILABLE: u32 = 14;

/// The gRPC status code `RESOURCE_EXHAUSTED`, for calls above the rate.
const CODE_RESOURCE_EXHAUSTED: u32 = 8;

/// The gRPC status code `INVALID_ARGUMENT`.
const CODE_INVALID_ARGUMENT: u32 = 3;

pub(super) type PlatformRequest = tide::Request<PlatformState>;

/// Whether a call counts towards the rate of reads or of writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
}

/// Builds the HTTP application of a stand-in.
pub fn build_app(state: PlatformState) -> tide::Server<impl Clone + Send + Sync + 'static> {
    let mut app = tide::with_state(state);
    app.at("/v3/kv/range").post(|request| handle_call(request, CallKind::Read, range));
    app.at("/v3/kv/put").post(|request| handle_call(request, CallKind::Write, put));
    app.at("/v3/kv/txn").post(|request| handle_call(request, CallKind::Write, transact));
    app.at("/v3/lease/grant").post(|request| handle_call(request, CallKind::Write, grant));
    app.at("/v3/lease/keepalive").post(|request| handle_call(request, CallKind::Write, keep_alive));
    app.at("/v3/lease/revoke").post(|request| handle_call(request, CallKind::Write, revoke));
    app.at("/v3/watch").post(watch::watch);
    app.at("/vms").get(list_vms).post(set_vms);
    app.at("/faults").post(set_faults);
    app.at("/stats").get(report_stats);
    app
}

fn range(
    inner: &mut Inner,
    body: &RangeBody,
    _: Instant,
) -> Result<RangeAnswer, KeyValueStoreError> {
    let answer = inner.store.range(body)?;
    Ok(RangeAnswer { header: header(inner), ..answer })
}

fn put(inner: &mut Inner, body: &PutBody, now: Instant) -> Result<TxnAnswer, KeyValueStoreError> {
    let operation = OperationBody { request_put: Some(body.clone()), ..Default::default() };
    transact(inner, &TxnBody { success: vec![operation], ..Default::default() }, now)
}

fn transact(
    inner: &mut Inner,
    body: &TxnBody,
    _: Instant,
) -> Result<TxnAnswer, KeyValueStoreError> {
    let answer = inner.store.transact(body)?;
    inner.wake_watches();
    Ok(TxnAnswer { header: header(inner), ..answer })
}

fn grant(
    inner: &mut Inner,
    body: &LeaseMessage,
    now: Instant,
) -> Result<LeaseMessage, KeyValueStoreError> {
    let id = inner.store.grant(body.ttl, now);
    Ok(LeaseMessage { header: Some(header(inner)), id, ttl: body.ttl })
}

fn keep_alive(
    inner: &mut Inner,
    body: &LeaseMessage,
    now: Instant,
) -> Result<KeepAliveAnswer, KeyValueStoreError> {
    let ttl = inner.store.keep_alive(body.id, now);
    let result = LeaseMessage { header: Some(header(inner)), id: body.id, ttl };
    Ok(KeepAliveAnswer { result })
}

fn revoke(
    inner: &mut Inner,
    body: &LeaseMessage,
    _: Instant,
) -> Result<LeaseMessage, KeyValueStoreError> {
    inner.store.revoke(body.id)?;
    inner.wake_watches();
    Ok(LeaseMessage { header: Some(header(inner)), ..Default::default() })
}

pub(super) fn header(inner: &Inner) -> Header {
    Header { revision: inner.store.revision() }
}

/// Executes a call, subject to the active faults.
async fn handle_call<B: DeserializeOwned, A: Serialize>(
    mut request: PlatformRequest,
    kind: CallKind,
    action: fn(&mut Inner, &B, Instant) -> Result<A, KeyValueStoreError>,
) -> tide::Result {
    if let Some(refusal) = admit(&request, kind).await {
        return Ok(refusal.into());
    }
    let Ok(body) = request.body_json::<B>().await else {
        return Ok(error_response(400, CODE_INVALID_ARGUMENT, "the body is not understood").into());
    };
    let state = request.state().clone();
    let (result, is_response_lost) = {
        let now = state.clock().now();
        let mut guard = state.lock();
        let inner = &mut *guard;
        let result = action(inner, &body, now);
        (result, kind == CallKind::Write && inner.fault_sampler.loses_response(&mut inner.faults))
    };
    if is_response_lost {
        wait_for_disconnect(&request).await;
    }
    match result {
        Ok(answer) => Ok(tide::Body::from_json(&answer)?.into()),
        Err(error) => Ok(store_error_response(error).into()),
    }
}

/// Counts a call; returns an error response if it must not be executed.
pub(super) async fn admit(request: &PlatformRequest, kind: CallKind) -> Option<Response> {
    let state = request.state();
    let (exceeds_rate, outage, slow_ms) = {
        let now = state.clock().now();
        let mut guard = state.lock();
        let inner = &mut *guard;
        let waiting = inner.stats.waiting_watches;
        let exceeds_rate = match kind {
            CallKind::Read => inner.stats.reads.count(state.config().read_rate, waiting, now),
            CallKind::Write => inner.stats.writes.count(state.config().write_rate, 0, now),
        };
        (exceeds_rate, inner.faults.outage, inner.faults.slow_ms)
    };
    if slow_ms > 0 {
        async_std::task::sleep(Duration::from_millis(slow_ms)).await;
    }
    match outage {
        Outage::None if exceeds_rate && state.config().enforces_rates => {
            Some(error_response(429, CODE_RESOURCE_EXHAUSTED, "too many calls"))
        }
        Outage::None => None,
        Outage::Refuses => Some(error_response(503, CODE_UNAVAILABLE, "the platform is down")),
        Outage::Silent => {
            wait_for_disconnect(request).await;
            Some(error_response(503, CODE_UNAVAILABLE, "the platform is down"))
        }
    }
}

/// Waits until the client disconnects.
async fn wait_for_disconnect(request: &PlatformRequest) {
    if let Some(connection) = request.ext::<ConnectionHandle>() {
        connection.closed_by_peer().await;
    }
}

pub(super) fn store_error_response(error: KeyValueStoreError) -> Response {
    match error {
        KeyValueStoreError::Compacted => {
            error_response(400, CODE_OUT_OF_RANGE, "the revision was compacted")
        }
        KeyValueStoreError::FutureRevision => {
            error_response(400, CODE_OUT_OF_RANGE, "the revision is too new")
        }
        KeyValueStoreError::LeaseNotFound => {
            error_response(404, CODE_NOT_FOUND, "the lease does not exist")
        }
        KeyValueStoreError::Invalid => {
            error_response(400, CODE_INVALID_ARGUMENT, "the operation is not understood")
        }
    }
}

fn error_response(status: u16, code: u32, message: &str) -> Response {
    let mut response = Response::new(status);
    let body = ErrorBody { code, message: message.to_owned() };
    if let Ok(body) = http_types::Body::from_json(&body) {
        response.set_body(body);
    }
    response
}

async fn list_vms(request: PlatformRequest) -> tide::Result {
    let outage = request.state().lock().faults.outage;
    if outage != Outage::None {
        return Ok(error_response(503, CODE_UNAVAILABLE, "the platform is down").into());
    }
    Ok(tide::Body::from_json(&request.state().visible_vms())?.into())
}

async fn set_vms(mut request: PlatformRequest) -> tide::Result {
    let listing = request.body_json().await?;
    request.state().set_vms(listing);
    Ok(Response::new(200).into())
}

async fn set_faults(mut request: PlatformRequest) -> tide::Result {
    let faults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(200).into())
}

async fn report_stats(request: PlatformRequest) -> tide::Result {
    Ok(tide::Body::from_json(&request.state().stats())?.into())
}
