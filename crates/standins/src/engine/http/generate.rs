//! Generation requests: parses headers and body and starts a run.

use std::str::FromStr;
use std::time::Duration;

use async_std::task;
use http_types::{Body, Response};
use serde_json::Value;
use yuccapass_endpoints::headers;
use yuccapass_http::{ConnectionHandle, pipe};
use yuccapass_openai::{Api, prompt_bytes};
use yuccapass_types::{CacheSalt, RequestId, Tokens};

use super::control::refused;
use super::stream::{AnswerPlan, AnswerStream, stream_answer};
use super::{EngineRequest, connection_of};
use crate::engine::core::{Refusal, RunRequest, SubmitError};
use crate::seeded_random;

/// Answer length if the request names none.
const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// Bytes of one stream that may be unread before its run pauses.
const PIPE_CAPACITY_BYTES: usize = 16 * 1024;

/// The cache salt of a request without that header.
const NO_SALT: &str = "00000000000000000000000000000000";

pub(super) async fn generate(mut request: EngineRequest, api: Api) -> tide::Result {
    let bytes = request.body_bytes().await?;
    let Some(connection) = connection_of(&request) else { return Ok(Response::new(500).into()) };
    let Some((run_request, plan)) = parse(&request, api, &bytes) else {
        request.state().with_core(|core, _| core.record_invalid_request());
        return refused(400, "invalid");
    };
    if plan.silent_after_tokens == Some(0) {
        // The request is lost before it reaches the engine.
        connection.closed_by_peer().await;
        connection.abort();
        return Ok(Response::new(500).into());
    }
    let deadline = deadline_of(&request);
    start(&request, run_request, plan, deadline, connection)
}

fn start(
    request: &EngineRequest,
    run_request: RunRequest,
    plan: AnswerPlan,
    deadline: Duration,
    connection: ConnectionHandle,
) -> tide::Result {
    let engine = request.state();
    let (run, receivers) = match engine.submit(run_request, &connection) {
        Ok(accepted) => accepted,
        Err(SubmitError::Refused(Refusal::WrongVersion)) => return refused(409, "wrong_version"),
        Err(SubmitError::Refused(Refusal::Overloaded)) => return refused(503, "overloaded"),
        Err(SubmitError::Refused(Refusal::Leaving)) => return refused(503, "leaving"),
        Err(SubmitError::Crashed) => {
            connection.abort();
            return Ok(Response::new(500).into());
        }
    };
    let (writer, reader) = pipe(PIPE_CAPACITY_BYTES);
    task::spawn(stream_answer(AnswerStream {
        engine: engine.clone(),
        run,
        receivers,
        plan,
        deadline,
        connection,
        writer,
    }));
    let mut response = Response::new(200);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    Ok(response.into())
}

fn parse(request: &EngineRequest, api: Api, bytes: &[u8]) -> Option<(RunRequest, AnswerPlan)> {
    let body: Value = serde_json::from_slice(bytes).ok()?;
    let prompt = prompt_bytes(api, &body)?;
    let request_id: RequestId = parse_header_or(request, headers::REQUEST_ID, "unnamed")?;
    let attempt: u32 = parse_header_or(request, headers::ATTEMPT, "1")?;
    let resume_offset: u64 = parse_header_or(request, headers::RESUME_OFFSET, "0")?;
    let limit = ["max_completion_tokens", "max_tokens"].into_iter().find_map(|name| body.get(name));
    let length_tokens = limit.map_or(Some(DEFAULT_ANSWER_TOKENS), Value::as_u64)?;
    let run_request = RunRequest {
        request_id: request_id.clone(),
        attempt: attempt.to_string(),
        priority: parse_header_or(request, headers::PRIORITY, "0")?,
        salt: parse_header_or::<CacheSalt>(request, headers::CACHE_SALT, NO_SALT)?,
        version: parse_optional_header(request, headers::WEIGHT_VERSION)?,
        adapter: parse_optional_header(request, headers::ADAPTER)?,
        resume_offset: Tokens::new(resume_offset.min(length_tokens)),
        prompt,
    };
    let faults = request.state().with_core(|core, _| core.faults().clone());
    let seed = request.state().config().seed;
    let key = format!("{request_id}/{attempt}");
    let occurs = |name, probability| seeded_random(seed, name, &key) < probability;
    let silent_after = faults.silent_after_tokens.map_or(0, |tokens| tokens.max(1));
    let plan = AnswerPlan {
        api,
        first_token: resume_offset.min(length_tokens),
        length_tokens,
        delay_ms: if occurs("late", faults.late_probability) { faults.late_ms } else { 0 },
        silent_after_tokens: occurs("silent", faults.silent_probability).then_some(silent_after),
        mismatch_probability: faults.mismatch_probability,
        slow_factor: faults.slow_factor.max(1),
        request_id: request_id.to_string(),
        attempt,
    };
    Some((run_request, plan))
}

fn deadline_of(request: &EngineRequest) -> Duration {
    let ms = parse_header_or(request, headers::DEADLINE_MS, "").unwrap_or(u64::from(u32::MAX));
    Duration::from_millis(ms)
}

/// Parses a header, or `default` if it is absent.
fn parse_header_or<T: FromStr>(request: &EngineRequest, name: &str, default: &str) -> Option<T> {
    request.header(name).map_or(default, |values| values.as_str()).parse().ok()
}

/// Parses a header that may be absent; the outer `None` means that its value is invalid.
fn parse_optional_header<T: FromStr>(request: &EngineRequest, name: &str) -> Option<Option<T>> {
    match request.header(name) {
        Some(values) => values.as_str().parse().ok().map(Some),
        None => Some(None),
    }
}
