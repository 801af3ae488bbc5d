//! The tide application that serves callers.

use std::future::Future;
use std::sync::Arc;

use futures::future::{Either, select};
use futures::{AsyncReadExt, pin_mut};
use http_types::headers::CONNECTION;
use http_types::{Headers, Method, Response};
use serde_json::json;
use smol_str::format_smolstr;
use yuccapass_http::{ConnectionHandle, RejectReason, with_deadline};
use yuccapass_openai::{Api, prompt_bytes};
use yuccapass_types::{Clock, Deadline, OrganisationId, RequestId, ResultCode, ServiceId};

use crate::answer_body::{collect_answer, stream_body};
use crate::failure::{Failure, status_of};
use crate::handler::{GenerationRequest, RequestHandler, ServiceRequest};
use crate::request::{bearer_key, header_names, parse_body, parse_deadline, parse_header};

/// Limits for one request.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    max_body_bytes: usize,
    max_prompt_bytes: usize,
    body_timeout_ms: u64,
    default_deadline_ms: u64,
    max_deadline_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_prompt_bytes: 2 << 20,
            body_timeout_ms: 30_000,
            default_deadline_ms: 120_000,
            max_deadline_ms: 600_000,
        }
    }
}

impl CallerLimits {
    /// Sets the largest body of a generation request; 4 MiB by default.
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the longest prompt; 2 MiB by default.
    pub fn max_prompt_bytes(mut self, bytes: usize) -> Self {
        self.max_prompt_bytes = bytes;
        self
    }

    /// Sets how long a body may take to arrive; 30 s by default.
    pub fn body_timeout_ms(mut self, ms: u64) -> Self {
        self.body_timeout_ms = ms;
        self
    }

    /// Sets the deadline of a request that does not set one; 120 s by default.
    pub fn default_deadline_ms(mut self, ms: u64) -> Self {
        self.default_deadline_ms = ms;
        self
    }

    /// Sets the longest deadline that a request may set; 600 s by default.
    pub fn max_deadline_ms(mut self, ms: u64) -> Self {
        self.max_deadline_ms = ms;
        self
    }
}

/// A generator of request ids.
pub type RequestIdSource = Arc<dyn Fn() -> RequestId + Send + Sync>;

#[derive(Clone)]
struct State {
    handler: Arc<dyn RequestHandler>,
    limits: Arc<CallerLimits>,
    clock: Arc<dyn Clock>,
    next_request_id: RequestIdSource,
}

type Request = tide::Request<State>;

/// Builds the application.
pub fn build_app(
    handler: Arc<dyn RequestHandler>,
    limits: CallerLimits,
    clock: Arc<dyn Clock>,
    next_request_id: RequestIdSource,
) -> tide::Server<impl Clone + Send + Sync + 'static> {
    let state = State { handler, limits: Arc::new(limits), clock, next_request_id };
    let mut app = tide::with_state(state);
    app.at("/v1/models").all(|request| respond(request, models));
    app.at("/v1/chat/completions").all(|request| respond(request, chat));
    app.at("/v1/completions").all(|request| respond(request, completions));
    app.at("/services/:service").all(|request| respond(request, service));
    app.at("/services/:service/*").all(|request| respond(request, service));
    app.at("/").all(|request| respond(request, not_found));
    app.at("/*").all(|request| respond(request, not_found));
    app
}

/// Returns the status and body for a connection that is rejected before a request is read.
pub fn rejection_body(reason: RejectReason) -> (u16, String) {
    let code = match reason {
        RejectReason::TooManyConnections => ResultCode::TooManyConnections,
        RejectReason::InvalidHead => ResultCode::HeadTooLarge,
    };
    (status_of(code).into(), Failure::not_run(code).to_json(None))
}

/// Runs a route until it responds or the caller closes its connection.
async fn respond<F, Fut>(request: Request, route: F) -> tide::Result
where
    F: FnOnce(Request, RequestId) -> Fut,
    Fut: Future<Output = Result<Response, Failure>>,
{
    let request_id = (request.state().next_request_id)();
    let connection = request.ext::<ConnectionHandle>().cloned();
    let handler = Arc::clone(&request.state().handler);
    let responding = route(request, request_id.clone());
    let caller_gone = closed_by_caller(connection);
    pin_mut!(responding, caller_gone);
    let result = match select(responding, caller_gone).await {
        Either::Left((result, _)) => result,
        // Dropping the route cancels the work that it started. Nobody reads this response.
        Either::Right(_) => return Ok(Response::new(499).into()),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(failure) => {
            handler.record_failure(&failure);
            log::info!(
                request_id = request_id.as_str(),
                code:% = failure.code,
                run_state:% = failure.run_state;
                "a request failed: {failure}"
            );
            failure_response(&failure, &request_id)
        }
    };
    response.insert_header("x-request-id", request_id.as_str());
    Ok(response.into())
}

/// Waits until the caller closes its connection; waits forever if there is no handle to it.
pub(crate) async fn closed_by_caller(connection: Option<ConnectionHandle>) {
    match connection {
        Some(connection) => connection.closed_by_peer().await,
        None => futures::future::pending().await,
    }
}

fn failure_response(failure: &Failure, request_id: &RequestId) -> Response {
    let mut response = failure.to_response(request_id);
    // The rest of the request's body may still be arriving; closing the connection avoids reading
    // it.
    if matches!(failure.code, ResultCode::BodyTooLarge | ResultCode::RequestTimeout) {
        response.insert_header(CONNECTION, "close");
    }
    response
}

async fn not_found(_request: Request, _request_id: RequestId) -> Result<Response, Failure> {
    Err(Failure::not_run(ResultCode::NotFound))
}

async fn models(request: Request, _request_id: RequestId) -> Result<Response, Failure> {
    check_method(&request, Method::Get)?;
    let organisation = authenticate(&request)?;
    let models = request.state().handler.models(&organisation);
    let data: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "yuccapass"}))
        .collect();
    Ok(json_response(json!({"object": "list", "data": data}).to_string()))
}

async fn chat(request: Request, request_id: RequestId) -> Result<Response, Failure> {
    generate(request, request_id, Api::Chat).await
}

async fn completions(request: Request, request_id: RequestId) -> Result<Response, Failure> {
    generate(request, request_id, Api::Completions).await
}

async fn generate(
    mut request: Request,
    request_id: RequestId,
    api: Api,
) -> Result<Response, Failure> {
    check_method(&request, Method::Post)?;
    let organisation = authenticate(&request)?;
    let common = CommonHeaders::parse(&request)?;
    let bytes = read_body(&mut request).await?;
    let parsed = parse_body(&bytes)?;
    let prompt = prompt_bytes(api, &parsed.value).ok_or_else(|| {
        let detail = format!("{}: it is missing or malformed", api.prompt_field());
        Failure::not_run(ResultCode::InvalidRequest).detail(detail)
    })?;
    check_prompt(&request, prompt.len())?;
    let generation = GenerationRequest {
        request_id: request_id.clone(),
        organisation,
        api,
        model: parsed.model.clone(),
        prompt: prompt.into(),
        body: parsed.body,
        max_tokens: parsed.max_tokens,
        deadline: common.deadline,
        class: parse_header(headers_of(&request), header_names::CLASS)?,
        idempotency_key: common.idempotency_key,
        is_repeatable: common.is_repeatable,
    };
    let connection = request.ext::<ConnectionHandle>().cloned();
    let answer = request.state().handler.generate(generation).await?;
    if !parsed.wants_stream {
        let body = collect_answer(answer, api, parsed.model.as_str(), &request_id).await?;
        return Ok(json_response(body));
    }
    let mut response = Response::new(200);
    response.set_body(stream_body(answer, request_id, connection));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-cache");
    Ok(response)
}

async fn service(mut request: Request, request_id: RequestId) -> Result<Response, Failure> {
    let organisation = authenticate(&request)?;
    let common = CommonHeaders::parse(&request)?;
    let service: ServiceId = request
        .param("service")
        .ok()
        .and_then(|name| name.parse().ok())
        .ok_or_else(|| Failure::not_run(ResultCode::ServiceNotFound))?;
    let call = ServiceRequest {
        request_id,
        organisation,
        method: request.method(),
        path_and_query: path_in_service(&request, &service),
        headers: headers_of(&request).clone(),
        body: request.take_body(),
        deadline: common.deadline,
        idempotency_key: common.idempotency_key,
        is_repeatable: common.is_repeatable,
        service,
    };
    let answer = request.state().handler.call_service(call).await?;
    let mut response = Response::new(answer.status);
    response.set_body(answer.body);
    for (name, values) in &answer.headers {
        response.insert_header(name, values);
    }
    Ok(response)
}

/// Returns the path and query of a request without the prefix of its service.
fn path_in_service(request: &Request, service: &ServiceId) -> String {
    let url = request.url();
    let prefix = format_smolstr!("/services/{service}");
    let path = url.path().strip_prefix(prefix.as_str()).unwrap_or_default();
    let slash = if path.starts_with('/') { "" } else { "/" };
    match url.query() {
        Some(query) => format!("{slash}{path}?{query}"),
        None => format!("{slash}{path}"),
    }
}

/// Values of the headers that all requests may have.
struct CommonHeaders {
    deadline: Deadline,
    idempotency_key: Option<yuccapass_types::IdempotencyKey>,
    is_repeatable: bool,
}

impl CommonHeaders {
    fn parse(request: &Request) -> Result<Self, Failure> {
        let headers = headers_of(request);
        let state = request.state();
        let limits = &state.limits;
        let default_ms = limits.default_deadline_ms;
        let deadline = parse_deadline(headers, &*state.clock, default_ms, limits.max_deadline_ms)?;
        let idempotency_key = parse_header(headers, header_names::IDEMPOTENCY_KEY)?;
        let not_repeatable = parse_header::<bool>(headers, header_names::NOT_REPEATABLE)?;
        Ok(Self { deadline, idempotency_key, is_repeatable: !not_repeatable.unwrap_or(false) })
    }
}

fn headers_of(request: &Request) -> &Headers {
    request.as_ref()
}

fn check_method(request: &Request, method: Method) -> Result<(), Failure> {
    match request.method() == method {
        true => Ok(()),
        false => Err(Failure::not_run(ResultCode::MethodNotAllowed)),
    }
}

fn authenticate(request: &Request) -> Result<OrganisationId, Failure> {
    let key = bearer_key(headers_of(request));
    let organisation = key.and_then(|key| request.state().handler.authenticate(key));
    organisation.ok_or_else(|| Failure::not_run(ResultCode::Unauthorised))
}

fn check_prompt(request: &Request, prompt_bytes: usize) -> Result<(), Failure> {
    let max_bytes = request.state().limits.max_prompt_bytes;
    if prompt_bytes <= max_bytes {
        return Ok(());
    }
    let detail = format!("the prompt has {prompt_bytes} bytes, at most {max_bytes} are accepted");
    Err(Failure::not_run(ResultCode::PromptTooLong).detail(detail))
}

async fn read_body(request: &mut Request) -> Result<Vec<u8>, Failure> {
    let limits = Arc::clone(&request.state().limits);
    let clock = Arc::clone(&request.state().clock);
    let max_bytes = limits.max_body_bytes;
    let too_large = || {
        let detail = format!("at most {max_bytes} bytes are accepted");
        Failure::not_run(ResultCode::BodyTooLarge).detail(detail)
    };
    if request.len().is_some_and(|bytes| bytes > max_bytes) {
        return Err(too_large());
    }
    let deadline = Deadline::after_ms(clock.now(), limits.body_timeout_ms);
    let mut bytes = Vec::new();
    let mut limited = request.take_body().take(max_bytes as u64 + 1);
    with_deadline(&*clock, deadline, limited.read_to_end(&mut bytes))
        .await
        .map_err(|_| Failure::not_run(ResultCode::RequestTimeout))?
        .map_err(|error| {
            Failure::not_run(ResultCode::InvalidRequest).detail(format!("body: {error}"))
        })?;
    if bytes.len() > max_bytes {
        return Err(too_large());
    }
    Ok(bytes)
}

fn json_response(json: String) -> Response {
    let mut response = Response::new(200);
    response.insert_header("content-type", "application/json");
    response.set_body(json);
    response.insert_header("content-type", "application/json");
    response
}
