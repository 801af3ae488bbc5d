//! The HTTP interface of the stand-in.

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
use super::shared::{Inner, PlatformState};
use super::store::StoreError;
use super::watch;

/// Status number of a service that is down.
const CODE_UNAVAILABLE: u32 = 14;

/// Status number of a rate that is exceeded.
const CODE_EXHAUSTED: u32 = 8;

/// Status number of an invalid request.
const CODE_INVALID: u32 = 3;

pub(super) type Request = tide::Request<PlatformState>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Read,
    Write,
}

/// Builds the application of a stand-in.
pub fn build_app(state: PlatformState) -> tide::Server<impl Clone + Send + Sync + 'static> {
    let mut app = tide::with_state(state);
    app.at("/v3/kv/range").post(|request| call(request, Kind::Read, range));
    app.at("/v3/kv/put").post(|request| call(request, Kind::Write, put));
    app.at("/v3/kv/txn").post(|request| call(request, Kind::Write, transact));
    app.at("/v3/lease/grant").post(|request| call(request, Kind::Write, grant));
    app.at("/v3/lease/keepalive").post(|request| call(request, Kind::Write, keep_alive));
    app.at("/v3/lease/revoke").post(|request| call(request, Kind::Write, revoke));
    app.at("/v3/watch").post(watch::watch);
    app.at("/vms").get(list_vms).post(set_vms);
    app.at("/faults").post(set_faults);
    app.at("/stats").get(report_stats);
    app
}

fn range(inner: &mut Inner, body: &RangeBody, _: Instant) -> Result<RangeAnswer, StoreError> {
    let answer = inner.store.range(body)?;
    Ok(RangeAnswer { header: header(inner), ..answer })
}

fn put(inner: &mut Inner, body: &PutBody, now: Instant) -> Result<TxnAnswer, StoreError> {
    let operation = OperationBody { request_put: Some(body.clone()), ..Default::default() };
    transact(inner, &TxnBody { success: vec![operation], ..Default::default() }, now)
}

fn transact(inner: &mut Inner, body: &TxnBody, _: Instant) -> Result<TxnAnswer, StoreError> {
    let answer = inner.store.transact(body)?;
    inner.wake_watches();
    Ok(TxnAnswer { header: header(inner), ..answer })
}

fn grant(inner: &mut Inner, body: &LeaseMessage, now: Instant) -> Result<LeaseMessage, StoreError> {
    let id = inner.store.grant(body.ttl, now);
    Ok(LeaseMessage { header: Some(header(inner)), id, ttl: body.ttl })
}

fn keep_alive(
    inner: &mut Inner,
    body: &LeaseMessage,
    now: Instant,
) -> Result<KeepAliveAnswer, StoreError> {
    let ttl = inner.store.keep_alive(body.id, now);
    let result = LeaseMessage { header: Some(header(inner)), id: body.id, ttl };
    Ok(KeepAliveAnswer { result })
}

fn revoke(inner: &mut Inner, body: &LeaseMessage, _: Instant) -> Result<LeaseMessage, StoreError> {
    inner.store.revoke(body.id)?;
    inner.wake_watches();
    Ok(LeaseMessage { header: Some(header(inner)), ..Default::default() })
}

pub(super) fn header(inner: &Inner) -> Header {
    Header { revision: inner.store.revision() }
}

/// Carries out a call with the faults in force.
async fn call<B: DeserializeOwned, A: Serialize>(
    mut request: Request,
    kind: Kind,
    action: fn(&mut Inner, &B, Instant) -> Result<A, StoreError>,
) -> tide::Result {
    if let Some(refusal) = admit(&request, kind).await {
        return Ok(refusal.into());
    }
    let Ok(body) = request.body_json::<B>().await else {
        return Ok(refuse(400, CODE_INVALID, "the body is not understood").into());
    };
    let state = request.state().clone();
    let (result, is_lost) = {
        let now = state.clock().now();
        let mut guard = state.lock();
        let inner = &mut *guard;
        let result = action(inner, &body, now);
        (result, kind == Kind::Write && inner.dice.loses_answer(&mut inner.faults))
    };
    if is_lost {
        wait_for_peer(&request).await;
    }
    match result {
        Ok(answer) => Ok(tide::Body::from_json(&answer)?.into()),
        Err(error) => Ok(store_refusal(error).into()),
    }
}

/// Counts a call; returns the refusal if it is not to be carried out.
pub(super) async fn admit(request: &Request, kind: Kind) -> Option<Response> {
    let state = request.state();
    let (is_over, outage, slow_ms) = {
        let now = state.clock().now();
        let mut guard = state.lock();
        let inner = &mut *guard;
        let waiting = inner.stats.waiting_watches;
        let is_over = match kind {
            Kind::Read => inner.stats.reads.count(state.config().reads, waiting, now),
            Kind::Write => inner.stats.writes.count(state.config().writes, 0, now),
        };
        (is_over, inner.faults.outage, inner.faults.slow_ms)
    };
    if slow_ms > 0 {
        async_std::task::sleep(Duration::from_millis(slow_ms)).await;
    }
    match outage {
        Outage::None if is_over && state.config().enforces_rates => {
            Some(refuse(429, CODE_EXHAUSTED, "too many calls"))
        }
        Outage::None => None,
        Outage::Refuses => Some(refuse(503, CODE_UNAVAILABLE, "the platform is down")),
        Outage::Silent => {
            wait_for_peer(request).await;
            Some(refuse(503, CODE_UNAVAILABLE, "the platform is down"))
        }
    }
}

/// Waits until the client has given up.
async fn wait_for_peer(request: &Request) {
    if let Some(connection) = request.ext::<ConnectionHandle>() {
        connection.closed_by_peer().await;
    }
}

pub(super) fn store_refusal(error: StoreError) -> Response {
    match error {
        StoreError::Compacted => refuse(400, CODE_OUT_OF_RANGE, "the revision was compacted"),
        StoreError::FutureRevision => refuse(400, CODE_OUT_OF_RANGE, "the revision is too new"),
        StoreError::LeaseNotFound => refuse(404, CODE_NOT_FOUND, "the lease does not exist"),
        StoreError::Invalid => refuse(400, CODE_INVALID, "the operation is not understood"),
    }
}

fn refuse(status: u16, code: u32, message: &str) -> Response {
    let mut response = Response::new(status);
    let body = ErrorBody { code, message: message.to_owned() };
    if let Ok(body) = http_types::Body::from_json(&body) {
        response.set_body(body);
    }
    response
}

async fn list_vms(request: Request) -> tide::Result {
    let outage = request.state().lock().faults.outage;
    if outage != Outage::None {
        return Ok(refuse(503, CODE_UNAVAILABLE, "the platform is down").into());
    }
    Ok(tide::Body::from_json(&request.state().visible_vms())?.into())
}

async fn set_vms(mut request: Request) -> tide::Result {
    let listing = request.body_json().await?;
    request.state().set_vms(listing);
    Ok(Response::new(200).into())
}

async fn set_faults(mut request: Request) -> tide::Result {
    let faults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(200).into())
}

async fn report_stats(request: Request) -> tide::Result {
    Ok(tide::Body::from_json(&request.state().stats())?.into())
}
