//! The HTTP interface of the stand-in.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use http_types::{Body, Response};
use serde_json::{Value, json};
use yuccapass_endpoints::headers;
use yuccapass_http::pipe;
use yuccapass_openai::{Api, prompt_bytes};

/// Answer length if the request names none.
const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// Unread bytes of one stream at which its run pauses.
const PIPE_BYTES: usize = 16 * 1024;

/// Settings of a stand-in.
#[derive(Debug, Clone, Copy)]
pub struct EngineConfig {
    /// Decode time of one token.
    pub token_time_ms: u64,
}

/// What a stand-in has seen.
#[derive(Debug, Default)]
pub struct EngineStats {
    /// Requests that reached the engine.
    pub received_requests: AtomicU64,
    /// Answers that were sent to their end.
    pub completed_answers: AtomicU64,
    /// Runs that ended early because the client closed its connection.
    pub cancelled_runs: AtomicU64,
}

#[derive(Clone)]
struct State {
    config: EngineConfig,
    stats: Arc<EngineStats>,
}

/// Builds the application of a stand-in.
pub fn build_app(
    config: EngineConfig,
    stats: Arc<EngineStats>,
) -> tide::Server<impl Clone + Send + Sync + 'static> {
    let mut app = tide::with_state(State { config, stats });
    app.at("/stats").get(report_stats);
    for api in [Api::Chat, Api::Completions] {
        app.at(api.path()).post(move |request| generate(request, api));
    }
    app
}

async fn report_stats(request: tide::Request<State>) -> tide::Result {
    let stats = &request.state().stats;
    let body = json!({
        "received_requests": stats.received_requests.load(Ordering::Relaxed),
        "completed_answers": stats.completed_answers.load(Ordering::Relaxed),
        "cancelled_runs": stats.cancelled_runs.load(Ordering::Relaxed),
    });
    Ok(tide::Body::from_json(&body)?.into())
}

async fn generate(mut request: tide::Request<State>, api: Api) -> tide::Result {
    let state = request.state().clone();
    state.stats.received_requests.fetch_add(1, Ordering::Relaxed);
    let body: Value = request.body_json().await?;
    let Some(prompt) = prompt_bytes(api, &body) else {
        return Ok(Response::new(400).into());
    };
    let header = |name| request.header(name).map(|values| values.as_str()).unwrap_or_default();
    let event_id = format!("{}/{}", header(headers::REQUEST_ID), header(headers::ATTEMPT));
    let length = body.get("max_tokens").and_then(Value::as_u64).unwrap_or(DEFAULT_ANSWER_TOKENS);
    let digest = blake3::hash(&prompt).to_hex();
    let (writer, reader) = pipe(PIPE_BYTES);
    task::spawn(async move {
        for offset in 0..length {
            task::sleep(Duration::from_millis(state.config.token_time_ms)).await;
            let text = format!("{}.{offset} ", &digest[..8]);
            let chunk = chunk_json(api, &text, offset + 1 == length);
            let event = format!("id: {event_id}/{offset}\ndata: {chunk}\n\n");
            if writer.write(&[event.as_bytes()]).await.is_err() {
                state.stats.cancelled_runs.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        state.stats.completed_answers.fetch_add(1, Ordering::Relaxed);
        let end = format!("id: {event_id}/{length}\ndata: [DONE]\n\n");
        // A reader that leaves after the last token has the whole answer.
        let _ = writer.write(&[end.as_bytes()]).await;
    });
    let mut response = Response::new(200);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    Ok(response.into())
}

fn chunk_json(api: Api, text: &str, is_last: bool) -> Value {
    let finish_reason = if is_last { Some("stop") } else { None };
    let choice = match api {
        Api::Chat => {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason})
        }
        Api::Completions => json!({"index": 0, "text": text, "finish_reason": finish_reason}),
    };
    json!({"object": "chat.completion.chunk", "created": 0, "choices": [choice]})
}
