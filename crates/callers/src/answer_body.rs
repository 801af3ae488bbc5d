//! Encodes answers as server-sent events or as one JSON object.

use async_std::task;
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::Body;
use serde::Deserialize;
use serde_json::{Value, json};
use yuccapass_http::{ConnectionHandle, PipeWriter, pipe};
use yuccapass_openai::Api;
use yuccapass_types::{RequestId, ResultCode, RunState};

use crate::app::closed_by_caller;
use crate::failure::Failure;
use crate::handler::AnswerStream;

/// Reading from the endpoint pauses while at least this many bytes of a stream are unsent.
const STREAM_BUFFER_BYTES: usize = 8 * 1024;

/// Largest answer that is collected for a caller that does not want a stream.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Returns a body that sends the answer as server-sent events.
///
/// When the caller's connection breaks, the body is dropped. That drops the answer, which cancels
/// the run.
pub(crate) fn stream_body(
    answer: Box<dyn AnswerStream>,
    request_id: RequestId,
    connection: Option<ConnectionHandle>,
) -> Body {
    let (writer, reader) = pipe(STREAM_BUFFER_BYTES);
    task::spawn(async move {
        // While there are no tokens nothing is written, so a failing write alone would reveal a
        // closed connection too late.
        let closed = closed_by_caller(connection);
        let sending = send_events(answer, writer, request_id);
        pin_mut!(closed, sending);
        select(sending, closed).await;
    });
    Body::from_reader(reader, None)
}

async fn send_events(mut answer: Box<dyn AnswerStream>, writer: PipeWriter, request_id: RequestId) {
    loop {
        let next = {
            let next = answer.next();
            let reader_gone = writer.reader_gone();
            pin_mut!(reader_gone);
            match select(next, reader_gone).await {
                Either::Left((next, _)) => next,
                Either::Right(_) => return,
            }
        };
        let written = match next {
            Ok(Some(json)) => writer.write(&[b"data: ", &json, b"\n\n"]).await,
            Ok(None) => {
                let _ = writer.write(&[b"data: [DONE]\n\n"]).await;
                return;
            }
            Err(failure) => {
                let json = failure.to_json(Some(&request_id));
                let _ = writer.write(&[b"event: error\ndata: ", json.as_bytes(), b"\n\n"]).await;
                return;
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// The fields of an OpenAI stream chunk that are needed for a complete answer.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    created: u64,
    choices: Vec<Choice>,
    usage: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Option<Delta>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Collects all chunks of an answer into one JSON object.
///
/// # Errors
///
/// Fails if the answer cannot be completed; the caller then gets no part of it.
pub(crate) async fn collect_answer(
    mut answer: Box<dyn AnswerStream>,
    api: Api,
    model: &str,
    request_id: &RequestId,
) -> Result<String, Failure> {
    let mut text = String::new();
    let mut created = 0;
    let mut finish_reason = None;
    let mut usage = None;
    while let Some(json) = answer.next().await? {
        let chunk: Chunk = serde_json::from_slice(&json).map_err(|error| {
            Failure::new(ResultCode::EndpointFailed, RunState::Ran).detail(error.to_string())
        })?;
        created = chunk.created;
        usage = chunk.usage.or(usage);
        for choice in chunk.choices {
            let content = choice.delta.and_then(|delta| delta.content).or(choice.text);
            text.push_str(content.as_deref().unwrap_or_default());
            finish_reason = choice.finish_reason.or(finish_reason);
        }
        if text.len() > MAX_ANSWER_BYTES {
            let detail = format!("the answer has more than {MAX_ANSWER_BYTES} bytes");
            return Err(Failure::new(ResultCode::EndpointFailed, RunState::Ran).detail(detail));
        }
    }
    let (object, choice) = match api {
        Api::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }),
        ),
        Api::Completions => {
            ("text_completion", json!({"index": 0, "text": text, "finish_reason": finish_reason}))
        }
    };
    Ok(json!({
        "id": request_id.as_str(),
        "object": object,
        "created": created,
        "model": model,
        "choices": [choice],
        "usage": usage,
    })
    .to_string())
}
