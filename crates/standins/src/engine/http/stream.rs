//! The events of an answer, with the faults that concern a stream.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{Either, pending, select};
use futures::pin_mut;
use yuccapass_http::{ConnectionHandle, PipeWriter};
use yuccapass_openai::Api;
use yuccapass_types::Instant;

use crate::draw::draw;
use crate::engine::answer::{append_done_event, append_token_event};
use crate::engine::core::RunEnd;
use crate::engine::scheduler::RunId;
use crate::engine::shared::{Engine, RunWaiter};

/// Tokens in one write to the connection if the decode rate has no limit.
const MAX_BURST_TOKENS: u64 = 64;

/// What a stream sends.
pub(super) struct AnswerPlan {
    pub(super) api: Api,
    pub(super) first_token: u64,
    pub(super) length_tokens: u64,
    pub(super) hold_ms: u64,
    pub(super) silent_after_tokens: Option<u64>,
    pub(super) mismatch_probability: f64,
    pub(super) slow_factor: u64,
    pub(super) request_id: String,
    pub(super) attempt: u32,
}

/// The stream of a run.
pub(super) struct AnswerStream {
    pub(super) engine: Arc<Engine>,
    pub(super) run: RunId,
    pub(super) waiter: RunWaiter,
    pub(super) plan: AnswerPlan,
    pub(super) deadline: Duration,
    pub(super) connection: ConnectionHandle,
    pub(super) writer: PipeWriter,
}

/// Sends the events of a run until it ends, its client is gone or its deadline passes.
pub(super) async fn stream_answer(stream: AnswerStream) {
    let AnswerStream { engine, run, waiter, plan, deadline, connection, writer } = stream;
    let RunWaiter { decode, ended } = waiter;
    let end = {
        let sending = async {
            // Without a digest the run has ended, which `ended` reports too.
            let Ok(digest) = decode.await else { return pending().await };
            send_answer(&engine, &plan, &digest, &connection, &writer).await
        };
        let leaving = async {
            let closing = async_std::future::timeout(deadline, connection.closed_by_peer());
            pin_mut!(closing);
            select(closing, ended).await;
        };
        pin_mut!(sending, leaving);
        match select(sending, leaving).await {
            Either::Left((end, _)) => end,
            Either::Right(_) => RunEnd::Cancelled,
        }
    };
    engine.with_core(|core, now| core.finish(run, end, now));
    engine.forget(run);
    engine.wake_driver();
    if end == RunEnd::Completed {
        let mut text = String::new();
        append_done_event(&mut text, &plan.event_id(), plan.length_tokens);
        // A reader that leaves after the last token has the whole answer.
        let _ = writer.write(&[text.as_bytes()]).await;
    }
}

async fn send_answer(
    engine: &Engine,
    plan: &AnswerPlan,
    digest: &str,
    connection: &ConnectionHandle,
    writer: &PipeWriter,
) -> RunEnd {
    task::sleep(Duration::from_millis(plan.hold_ms)).await;
    // Tokens that were decoded while they were held back are all sent at once.
    let start = Instant::from_ms(engine.clock().now().as_ms().saturating_sub(plan.hold_ms));
    let token_time_ms = engine.config().token_time_ms * plan.slow_factor;
    let mut next_token = plan.first_token;
    while next_token < plan.length_tokens {
        let due_end = match token_time_ms {
            0 => next_token + MAX_BURST_TOKENS,
            _ => plan.first_token + engine.clock().now().ms_since(start) / token_time_ms,
        };
        if due_end <= next_token {
            let due_ms = (next_token + 1 - plan.first_token) * token_time_ms;
            engine.sleep_until(Instant::from_ms(start.as_ms() + due_ms)).await;
            continue;
        }
        let end = due_end.min(plan.length_tokens);
        let text = plan.events(engine.config().seed, digest, next_token, end);
        if writer.write(&[text.as_bytes()]).await.is_err() {
            return RunEnd::Cancelled;
        }
        if plan.is_silent_at(end) || engine.is_silent(connection) {
            return pending().await;
        }
        next_token = end;
    }
    RunEnd::Completed
}

impl AnswerPlan {
    fn event_id(&self) -> String {
        format!("{}/{}", self.request_id, self.attempt)
    }

    fn is_silent_at(&self, token: u64) -> bool {
        self.silent_after_tokens.is_some_and(|count| token >= self.first_token + count)
    }

    /// Returns the events of the tokens from `first` to before `end`, cut where silence begins.
    fn events(&self, seed: u64, digest: &str, first: u64, end: u64) -> String {
        let event_id = self.event_id();
        let mut text = String::new();
        for offset in first..end {
            if self.is_silent_at(offset) {
                break;
            }
            self.append_mismatch(&mut text, seed, offset);
            let is_last = offset + 1 == self.length_tokens;
            append_token_event(&mut text, self.api, &event_id, digest, offset, is_last);
        }
        text
    }

    fn append_mismatch(&self, text: &mut String, seed: u64, offset: u64) {
        if self.mismatch_probability <= 0.0 {
            return;
        }
        let key = format!("{}/{offset}", self.event_id());
        if draw(seed, "mismatch", &key) >= self.mismatch_probability {
            return;
        }
        let (event_id, wrong_offset) = match (draw(seed, "mismatch kind", &key) * 3.0) as u32 {
            0 => (format!("other-{}/{}", self.request_id, self.attempt), offset),
            1 => (format!("{}/{}", self.request_id, self.attempt.wrapping_add(1)), offset),
            _ => (self.event_id(), offset.saturating_sub(1)),
        };
        if wrong_offset == offset && event_id == self.event_id() {
            // The first token of an answer has no older one.
            return;
        }
        append_token_event(text, self.api, &event_id, "mismatched", wrong_offset, false);
    }
}
