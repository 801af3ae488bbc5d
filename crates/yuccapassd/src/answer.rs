//! An answer that is put together from the tokens of an attempt.

use std::sync::Arc;

use async_trait::async_trait;
use yuccapass_callers::{AnswerStream, Failure};
use yuccapass_decisions::answer::{AnswerProgress, EndAction, TokenAction};
use yuccapass_endpoints::{EndpointError, EndpointErrorKind, StreamEvent, TokenStream};
use yuccapass_types::{Clock, Deadline, ResultCode, RunState};

use crate::endpoint_table::InFlight;

/// The tokens of one attempt.
pub(crate) struct Answer {
    pub(crate) stream: Box<dyn TokenStream>,
    pub(crate) progress: AnswerProgress,
    /// The first token, which was awaited before the caller got a response.
    pub(crate) first: Option<Vec<u8>>,
    pub(crate) deadline: Deadline,
    pub(crate) stall_timeout_ms: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) _in_flight: InFlight,
}

impl Answer {
    /// Waits for the next token that the caller does not have yet; `None` is the end.
    pub(crate) async fn next_token(&mut self) -> Result<Option<Vec<u8>>, EndpointError> {
        loop {
            let stall = Deadline::after_ms(self.clock.now(), self.stall_timeout_ms);
            match self.stream.next(stall.earlier(self.deadline)).await? {
                StreamEvent::Mismatched => log::warn!("dropped an event of another request"),
                StreamEvent::Token { offset_tokens, json } => {
                    match self.progress.accept_token(offset_tokens) {
                        TokenAction::Deliver => return Ok(Some(json)),
                        TokenAction::DropDuplicate => {}
                        TokenAction::AbandonAttempt => return Err(cut("a token is missing")),
                    }
                }
                StreamEvent::Done { length_tokens } => {
                    return match self.progress.accept_end(length_tokens) {
                        EndAction::Complete => Ok(None),
                        EndAction::AbandonAttempt => Err(cut("the end came too early")),
                    };
                }
            }
        }
    }
}

fn cut(detail: &str) -> EndpointError {
    EndpointError::new(EndpointErrorKind::Protocol, RunState::Ran, detail)
}

#[async_trait]
impl AnswerStream for Answer {
    async fn next(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        self.next_token().await.map_err(|error| {
            Failure::new(ResultCode::StreamCut, RunState::Ran).detail(error.to_string())
        })
    }
}
