//! The event stream of an answer, with the faults that affect it.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{Either, pending, select};
use futures::pin_mut;
use yuccapass_http::{ConnectionHandle, PipeWriter};
use yuccapass_openai::Api;
use yuccapass_types::Instant;

use crate::engine::answer::{append_done_event, append_token_event};
use crate::engine::core::RunEnd;
use crate::engine::scheduler::RunId;
use crate::engine::shared::{Engine, RunReceivers};
use crate::seeded_random;

/// Most tokens in one write to the connection if the decode rate has no limit.
const MAX_BURST_TOKENS: u64 = 64;

/// Which tokens a stream sends, and with which faults.
pub(super) struct AnswerPlan {
    pub(super) api: Api,
    pub(super) first_token: u64,
    pub(super) length_tokens: u64,
    pub(super) delay_ms: u64,
    pub(super) silent_after_tokens: Option<u64>,
    pub(super) mismatch_probability: f64,
    pub(super) slow_factor: u64,
    pub(super) request_id: String,
    pub(super) attempt: u32,
}

/// A run and the connection that its answer is sent on.
pub(super) struct AnswerStream {
    pub(super) engine: Arc<Engine>,
    pub(super) run: RunId,
    pub(super) receivers: RunReceivers,
    pub(super) plan: AnswerPlan,
    pub(super) deadline: Duration,
    pub(super) connection: ConnectionHandle,
    pub(super) writer: PipeWriter,
}

/// Sends the events of a run until it ends, its client disconnects or its deadline passes.
pub(super) async fn stream_answer(stream: AnswerStream) {
    let AnswerStream { engine, run, receivers, plan, deadline, connection, writer } = stream;
    let RunReceivers { decode, ended } = receivers;
    let end = {
        let sending = async {
            // The sender is dropped without a digest only if the run has ended, which `ended`
            // reports.
            let Ok(digest) = decode.await else { return pending().await };
            send_answer(&engine, &plan, &digest, &connection, &writer).await
        };
        let cancelling = async {
            let closing = async_std::future::timeout(deadline, connection.closed_by_peer());
            pin_mut!(closing);
            select(closing, ended).await;
        };
        pin_mut!(sending, cancelling);
        match select(sending, cancelling).await {
            Either::Left((end, _)) => end,
            Either::Right(_) => RunEnd::Cancelled,
        }
    };
    engine.with_core(|core, now| core.finish(run, end, now));
    engine.remove_stream(run);
    engine.wake_driver();
    if end == RunEnd::Completed {
        let mut text = String::new();
        append_done_event(&mut text, &plan.event_id(), plan.length_tokens);
        // A client that disconnects after the last token has the whole answer.
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
    task::sleep(Duration::from_millis(plan.delay_ms)).await;
    // The delay does not stop decoding: tokens that were decoded meanwhile are sent all at once.
    let start = Instant::from_ms(engine.clock().now().as_ms().saturating_sub(plan.delay_ms));
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

    /// Returns the events of the tokens `first..end`, up to where the stream goes silent.
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

    /// Appends, with the probability of the fault, an event that does not belong to the stream.
    fn append_mismatch(&self, text: &mut String, seed: u64, offset: u64) {
        if self.mismatch_probability <= 0.0 {
            return;
        }
        let key = format!("{}/{offset}", self.event_id());
        if seeded_random(seed, "mismatch", &key) >= self.mismatch_probability {
            return;
        }
        let (event_id, wrong_offset) =
            match (seeded_random(seed, "mismatch kind", &key) * 3.0) as u32 {
                0 => (format!("other-{}/{}", self.request_id, self.attempt), offset),
                1 => (format!("{}/{}", self.request_id, self.attempt.wrapping_add(1)), offset),
                _ => (self.event_id(), offset.saturating_sub(1)),
            };
        if wrong_offset == offset && event_id == self.event_id() {
            // The first token of an answer has no older offset.
            return;
        }
        append_token_event(text, self.api, &event_id, "mismatched", wrong_offset, false);
    }
}
