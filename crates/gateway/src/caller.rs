//! Serves the connections of callers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::net::TcpStream;
use bytes::Bytes;
use futures::future::{Either, select};
use yuccapass_decisions::gateway::{CallerLimits, KeyVerdict, Refusal, Shortage};
use yuccapass_http::message::{BodyReader, Connection, Framing, MessageError, RequestHead};
use yuccapass_http::with_deadline;
use yuccapass_types::{Bytes as Size, Deadline, ResultCode};

use crate::admission::{ReadRequest, admit, host, resumed_origin};
use crate::answer::AnswerWriter;
use crate::caller_memory::{BodyBuffer, CallerClaim, OpenConnection};
use crate::forward::{RequestOutcome, forward};
use crate::protocol::CallerRequest;
use crate::state::Shared;

/// Maximum time for reading the body of a request. The deadline of a slower request would pass
/// before its answer.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Maximum number of bytes of later requests that are read while an answer is pending.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes that are read and discarded after the answer to a request that was not
/// read completely.
const DISCARD_BYTES: usize = 256 << 10;

/// Received bytes of a body after which its progress is recorded.
const PROGRESS_BYTES: usize = 32 << 10;

/// Size from which a body is charged to its organisation. Smaller ones are bounded by the number of
/// connections, and looking up the key before the body has arrived would cost them time.
const MIN_CHARGED_BYTES: u64 = 64 << 10;

/// One in this many answered requests is logged at the info level.
const ANSWER_LOG_SAMPLE: u64 = 16;

/// Maximum time for answering a request that was not read completely and discarding the rest of it.
const DISCARD_TIMEOUT_MS: u64 = 500;

/// Why no request was read.
enum ReadFailure {
    /// The connection is closed without an answer, for example because the caller has closed it or
    /// was idle for too long.
    Closed,
    /// The caller gets this error answer, and the connection is closed.
    Refused(Refusal, String),
}

/// What to do with a connection after a request.
enum NextUse {
    /// Read the next request.
    Keep,
    /// Close it.
    Close,
    /// Reset it, so that the answer does not look complete.
    Reset,
}

/// How the work on a request has ended.
enum ServiceEnd {
    /// The caller got what could be sent.
    Answered,
    /// The caller has disconnected.
    CallerGone,
    /// The process is about to end.
    Stopped,
}

/// Serves requests until the connection is closed.
pub(crate) async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, open: OpenConnection) {
    let claim = open.claim();
    let mut connection = Connection::new(stream);
    let mut is_new = true;
    loop {
        let limits = limits(&shared);
        if await_request(&shared, &mut connection, &limits, is_new).await.is_err() {
            return;
        }
        // A stop waits for requests whose first byte has arrived.
        let _open = shared.open_request();
        claim.begin_request();
        let reading = read_request_before_stop(&shared, &mut connection, &limits, claim);
        let request = match reading.await {
            Ok(request) => request,
            Err(ReadFailure::Closed) => return,
            Err(ReadFailure::Refused(refusal, detail)) => {
                return reject(&shared, &mut connection, claim, refusal, &detail).await;
            }
        };
        claim.complete();
        match serve_request(&shared, &mut connection, &request).await {
            NextUse::Keep => {
                drop(request);
                connection.shrink();
                claim.finish();
            }
            NextUse::Close => return connection.close(),
            NextUse::Reset => return connection.reset(),
        }
        is_new = false;
    }
}

/// Reads a request, unless the time for answers during a stop ends first.
async fn read_request_before_stop(
    shared: &Shared,
    connection: &mut Connection,
    limits: &CallerLimits,
    claim: &CallerClaim,
) -> Result<ReadRequest, ReadFailure> {
    let reading = Box::pin(read_request(shared, connection, limits, claim));
    let ending = Box::pin(shared.answers_ended());
    match select(reading, ending).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            let detail = "the process ends before the request has arrived".to_owned();
            Err(ReadFailure::Refused(Refusal::not_run(ResultCode::Stopping), detail))
        }
    }
}

/// Reads a request with its complete body.
async fn read_request(
    shared: &Shared,
    connection: &mut Connection,
    limits: &CallerLimits,
    claim: &CallerClaim,
) -> Result<ReadRequest, ReadFailure> {
    // Bytes that arrived during the last request were counted until its end.
    let excess_bytes = connection.excess_bytes();
    if excess_bytes > 0 && !claim.try_grow_request(excess_bytes) {
        return Err(no_room(shared, Shortage::Memory));
    }
    let head = read_head(shared, connection, limits, claim).await?;
    let arrived_at = shared.now();
    let body = read_body(shared, connection, &head, limits, claim).await?;
    let claim = claim.clone();
    Ok(ReadRequest { head, body, arrived_at, claim, may_have_run: AtomicBool::new(false) })
}

/// Waits for the first byte of a request.
async fn await_request(
    shared: &Shared,
    connection: &mut Connection,
    limits: &CallerLimits,
    is_new: bool,
) -> Result<(), ReadFailure> {
    if connection.has_buffered_bytes() {
        return Ok(());
    }
    // Closing an idle connection is safe: a caller that is just sending a request can send it
    // again, because no byte of it was read.
    let limit = Deadline::after_ms(shared.now(), limits.idle_timeout_ms);
    let reading = Box::pin(with_deadline(&*shared.clock, limit, connection.fill()));
    let stopping = Box::pin(shared.stopping());
    match (select(reading, stopping).await, is_new) {
        (Either::Left((Ok(Ok(false)), _)), _) => Ok(()),
        // A new connection that the load balancer has sent here is served, also during a stop.
        (Either::Right((_, reading)), true) => match reading.await {
            Ok(Ok(false)) => Ok(()),
            _ => Err(ReadFailure::Closed),
        },
        _ => Err(ReadFailure::Closed),
    }
}

async fn read_head(
    shared: &Shared,
    connection: &mut Connection,
    limits: &CallerLimits,
    claim: &CallerClaim,
) -> Result<RequestHead, ReadFailure> {
    let limit = Deadline::after_ms(shared.now(), limits.header_timeout_ms);
    let max_bytes = limits.max_header_bytes.get() as usize;
    let reading =
        connection.read_request_head_within(max_bytes, |bytes| claim.try_grow_request(bytes));
    match with_deadline(&*shared.clock, limit, reading).await {
        Ok(Ok(Some(head))) => Ok(head),
        Ok(Ok(None)) => Err(ReadFailure::Closed),
        Ok(Err(error)) => Err(read_failure(&error)),
        Err(expired) => Err(refused(408, ResultCode::RequestTimeout, expired)),
    }
}

async fn read_body(
    shared: &Shared,
    connection: &mut Connection,
    head: &RequestHead,
    limits: &CallerLimits,
    claim: &CallerClaim,
) -> Result<Bytes, ReadFailure> {
    let framing = Framing::of_request(head)
        .map_err(|error| refused(400, ResultCode::InvalidRequest, error))?;
    let max_bytes = limits.max_body_bytes.get();
    match framing {
        Framing::Length(0) => return Ok(Bytes::new()),
        Framing::Length(length) if length > max_bytes => {
            return Err(refused(413, ResultCode::BodyTooLarge, length));
        }
        _ => {}
    }
    if head.headers.has_token("expect", "100-continue")
        && connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
    {
        return Err(ReadFailure::Closed);
    }
    let limit = Deadline::after_ms(shared.now(), BODY_TIMEOUT_MS);
    let reading = collect_body(shared, connection, head, framing, max_bytes, claim);
    match with_deadline(&*shared.clock, limit, reading).await {
        Ok(body) => body,
        Err(expired) => Err(refused(408, ResultCode::RequestTimeout, expired)),
    }
}

/// Reads a body of at most `max_bytes`. Its bytes are taken from the budget as they arrive.
async fn collect_body(
    shared: &Shared,
    connection: &mut Connection,
    head: &RequestHead,
    framing: Framing,
    max_bytes: u64,
    claim: &CallerClaim,
) -> Result<Bytes, ReadFailure> {
    let limit_bytes = match framing {
        Framing::Length(length) => length.min(max_bytes),
        Framing::Chunked | Framing::UntilClose => max_bytes,
    };
    let mut reader = BodyReader::new(framing);
    let mut body = BodyBuffer::new(limit_bytes);
    let mut next_progress_bytes = PROGRESS_BYTES;
    let mut is_charged = false;
    while let Some(part) = reader.next(connection).await.map_err(|error| read_failure(&error))? {
        if body.exceeds_limit(&part) {
            return Err(refused(413, ResultCode::BodyTooLarge, max_bytes));
        }
        if body.len() == 0 {
            if reader.has_ended() {
                return Ok(part);
            }
            claim.begin_body(Size::new(limit_bytes));
        }
        let growth = body.growth(&part);
        if growth > 0 {
            if !is_charged && body.len() as u64 + growth >= MIN_CHARGED_BYTES {
                charge_organisation(shared, head, claim);
                is_charged = true;
            }
            claim.grow_request(Size::new(growth)).await.map_err(|short| no_room(shared, short))?;
        }
        body.append(&part);
        if body.len() >= next_progress_bytes {
            next_progress_bytes = body.len() + PROGRESS_BYTES;
            claim.record_received(Size::new(body.len() as u64));
        }
    }
    Ok(body.freeze())
}

/// Charges the bytes of a request to the organisation whose key it has.
fn charge_organisation(shared: &Shared, head: &RequestHead, claim: &CallerClaim) {
    let Some(configuration) = shared.configuration() else { return };
    let Ok(caller) = shared.protocol.caller_request(head) else { return };
    let Some(route) = configuration.route(host(head), head.path()) else { return };
    if let KeyVerdict::Known(id, _) = configuration.verify_key(route, caller.key) {
        claim.set_organisation(id);
    }
}

/// Returns the failure of a request whose bytes there is no room for. It has not run.
fn no_room(shared: &Shared, shortage: Shortage) -> ReadFailure {
    shared.metrics.record_caller_shortage(shortage);
    match shortage {
        Shortage::Evicted => ReadFailure::Closed,
        _ => ReadFailure::Refused(Refusal::not_run(ResultCode::QueueFull), shortage.to_string()),
    }
}

fn read_failure(error: &MessageError) -> ReadFailure {
    match error {
        MessageError::Io { .. } | MessageError::Truncated => ReadFailure::Closed,
        MessageError::NoRoom => ReadFailure::Refused(
            Refusal::not_run(ResultCode::QueueFull),
            Shortage::Memory.to_string(),
        ),
        MessageError::HeadTooLarge { .. } => refused(431, ResultCode::HeadTooLarge, error),
        MessageError::BodyTooLarge { .. } => refused(413, ResultCode::BodyTooLarge, error),
        _ => refused(400, ResultCode::InvalidRequest, error),
    }
}

fn refused(status: u16, code: ResultCode, detail: impl ToString) -> ReadFailure {
    ReadFailure::Refused(Refusal::without_retry(status, code), detail.to_string())
}

/// Answers a request that was not read completely and closes the connection.
async fn reject(
    shared: &Shared,
    connection: &mut Connection,
    claim: &CallerClaim,
    refusal: Refusal,
    detail: &str,
) {
    shared.metrics.record_refusal(refusal);
    if let Some(omitted) = shared.caller_memory.may_log() {
        log::info!(
            status = refusal.status, code:% = refusal.code, detail, omitted;
            "a request could not be read"
        );
    }
    let mut answer = AnswerWriter::new(connection.writer(), claim.clone(), true, false);
    let caller = CallerRequest::default();
    let limit = Deadline::after_ms(shared.now(), DISCARD_TIMEOUT_MS);
    let closing = async {
        if answer.refuse(&*shared.protocol, &caller, refusal).await.is_ok() {
            connection.close_after_reading(DISCARD_BYTES).await;
        }
    };
    // The deadline applies to a caller that neither reads the answer nor stops sending.
    let _ = with_deadline(&*shared.clock, limit, closing).await;
    connection.close();
}

/// Serves a request; returns what to do with the connection.
async fn serve_request(
    shared: &Shared,
    connection: &mut Connection,
    request: &ReadRequest,
) -> NextUse {
    let is_http_11 = request.head.is_http_11;
    let keep_alive = is_http_11
        && !request.head.headers.has_token("connection", "close")
        && !shared.is_stopping();
    let mut answer =
        AnswerWriter::new(connection.writer(), request.claim.clone(), is_http_11, keep_alive);
    let serving = Box::pin(answer_request(shared, request, &mut answer));
    let may_grow = |bytes| request.claim.try_grow_request(bytes);
    let leaving = Box::pin(connection.closed_by_peer_within(READ_AHEAD_BYTES, may_grow));
    // If the caller leaves, the serving future is dropped. This closes the connection to the
    // endpoint, which then stops working on the request.
    let ending = Box::pin(shared.answers_ended());
    let end = match select(serving, select(leaving, ending)).await {
        Either::Left(_) => ServiceEnd::Answered,
        Either::Right((Either::Left(_), _)) => ServiceEnd::CallerGone,
        Either::Right((Either::Right(_), _)) => ServiceEnd::Stopped,
    };
    match end {
        ServiceEnd::Answered => {}
        ServiceEnd::CallerGone => {
            log::debug!("a caller disconnected before its answer was complete");
            return NextUse::Close;
        }
        ServiceEnd::Stopped => refuse_at_end(shared, request, &mut answer).await,
    }
    match answer.keeps_connection() {
        true => NextUse::Keep,
        false if answer.must_reset() => NextUse::Reset,
        false => NextUse::Close,
    }
}

/// Answers a request that is not answered when the process is about to end. If the answer has begun, the
/// connection is closed, which shows that it is incomplete.
async fn refuse_at_end(shared: &Shared, request: &ReadRequest, answer: &mut AnswerWriter) {
    let may_have_run = request.may_have_run.load(Ordering::Acquire);
    let has_begun = answer.has_begun();
    let caller = shared.protocol.caller_request(&request.head).unwrap_or_default();
    log::info!(
        request_id = caller.id.as_str(), path = request.head.path(), may_have_run, has_begun,
        age_ms = shared.now().ms_since(request.arrived_at);
        "a request was given up because the process ends"
    );
    answer.close_after();
    if has_begun {
        return;
    }
    let refusal = match may_have_run {
        false => Refusal::not_run(ResultCode::Stopping),
        true => Refusal::without_retry(504, ResultCode::EndpointTimeout),
    };
    // The write fails only if the caller has disconnected.
    let _ = answer.refuse(&*shared.protocol, &caller, refusal).await;
}

async fn answer_request(shared: &Shared, request: &ReadRequest, answer: &mut AnswerWriter) {
    let caller = match shared.protocol.caller_request(&request.head) {
        Ok(caller) => caller,
        Err(error) => {
            log::info!(error:%; "a request has an invalid header");
            let refusal = Refusal::without_retry(400, ResultCode::InvalidHeader);
            answer.close_after();
            // The write fails only if the caller has disconnected.
            let _ = answer.refuse(&*shared.protocol, &CallerRequest::default(), refusal).await;
            return;
        }
    };
    if shared.refuses_requests() {
        let refusal = Refusal::not_run(ResultCode::Stopping);
        return refuse(shared, request, &caller, refusal, answer).await;
    }
    let Some(settings) = shared.settings() else {
        let refusal = Refusal::not_run(ResultCode::PlatformUnavailable);
        return refuse(shared, request, &caller, refusal, answer).await;
    };
    let origin = resumed_origin(shared, settings.configuration(), request, &caller).await;
    // The settings may have changed while the origin was looked for.
    let settings = shared.settings().unwrap_or(settings);
    let admitted = match admit(shared, &settings, request, &caller, origin.as_ref()) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(shared, request, &caller, refusal, answer).await,
    };
    let outcome = forward(shared, &admitted, answer).await;
    shared.metrics.record_outcome(&admitted, outcome, shared.now());
    let age_ms = shared.now().ms_since(request.arrived_at);
    match outcome {
        RequestOutcome::Answered(status) => log::log!(
            answered_level(&caller, age_ms > admitted.route.timeout_ms / 2),
            request_id = caller.id.as_str(), route = admitted.route.id.as_str(),
            revision = admitted.revision().get(), status, age_ms,
            organisation = admitted.organisation.map(|id| id.as_str());
            "a request was answered"
        ),
        RequestOutcome::Refused(refusal) => log::info!(
            request_id = caller.id.as_str(), route = admitted.route.id.as_str(),
            status = refusal.status, code:% = refusal.code, age_ms;
            "a request was refused after admission"
        ),
        RequestOutcome::BrokenOff | RequestOutcome::CallerGone => log::info!(
            request_id = caller.id.as_str(), route = admitted.route.id.as_str(),
            is_caller_gone = outcome == RequestOutcome::CallerGone, age_ms;
            "an answer was aborted"
        ),
    }
}

/// Returns the log level for an answered request: info for late requests and for a sample of the
/// others. The sample depends on the request id only, so all nodes log the same requests.
fn answered_level(caller: &CallerRequest, is_late: bool) -> log::Level {
    let mut hasher = DefaultHasher::new();
    caller.id.hash(&mut hasher);
    match is_late || hasher.finish().is_multiple_of(ANSWER_LOG_SAMPLE) {
        true => log::Level::Info,
        false => log::Level::Debug,
    }
}

async fn refuse(
    shared: &Shared,
    request: &ReadRequest,
    caller: &CallerRequest,
    refusal: Refusal,
    answer: &mut AnswerWriter,
) {
    log::info!(
        request_id = caller.id.as_str(), path = request.head.path(), status = refusal.status,
        code:% = refusal.code;
        "a request was refused before admission"
    );
    shared.metrics.record_refusal(refusal);
    // The write fails only if the caller has disconnected.
    let _ = answer.refuse(&*shared.protocol, caller, refusal).await;
}

fn limits(shared: &Shared) -> CallerLimits {
    shared.configuration().map_or_else(CallerLimits::default, |current| *current.limits())
}
