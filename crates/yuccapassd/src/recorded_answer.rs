//! Records the answer of a request with an idempotency key, and replays it.

use async_trait::async_trait;
use yuccapass_callers::{AnswerStream, Failure};
use yuccapass_decisions::quorum::{Outcome, OutcomeState};

use crate::fleet::ledger::MAX_OUTCOME_BYTES;

/// HTTP status of a recorded answer.
const STATUS_OK: u16 = 200;

/// Collects the stream chunks of an answer for the ledger, one per line.
#[derive(Debug, Default)]
pub(crate) struct AnswerRecorder {
    bytes: Vec<u8>,
    is_too_large: bool,
}

impl AnswerRecorder {
    pub(crate) fn add(&mut self, json: &[u8]) {
        if self.bytes.len() + json.len() >= MAX_OUTCOME_BYTES {
            self.is_too_large = true;
            self.bytes = Vec::new();
        }
        if !self.is_too_large {
            self.bytes.extend_from_slice(json);
            self.bytes.push(b'\n');
        }
    }

    pub(crate) fn outcome(self) -> OutcomeState {
        match self.is_too_large {
            true => OutcomeState::NotKept,
            false => {
                let body = self.bytes.into();
                OutcomeState::Recorded(Outcome { status: STATUS_OK, body })
            }
        }
    }
}

/// Replays the stream chunks of a recorded answer.
#[derive(Debug)]
pub(crate) struct RecordedAnswer {
    chunks: std::vec::IntoIter<Vec<u8>>,
}

impl RecordedAnswer {
    pub(crate) fn new(outcome: &Outcome) -> Self {
        // A chunk contains no line feed, since it was a single line of an event stream.
        let lines = outcome.body.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
        let chunks: Vec<Vec<u8>> = lines.map(<[u8]>::to_vec).collect();
        Self { chunks: chunks.into_iter() }
    }
}

#[async_trait]
impl AnswerStream for RecordedAnswer {
    async fn next(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        Ok(self.chunks.next())
    }
}
