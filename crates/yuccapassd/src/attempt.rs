//! One attempt to execute a request at one endpoint.

use std::sync::Arc;

use yuccapass_decisions::endpoint_health::AttemptResult;
use yuccapass_decisions::retry::AttemptFailure;
use yuccapass_endpoints::{
    EndpointError, EndpointErrorKind, GenerateRequest, StreamEvent, TokenStream,
};
use yuccapass_types::{Clock, Deadline, EndpointId, RunState, Tokens};

use crate::crash_guard::SharedCrashGuard;
use crate::endpoint_table::InFlight;

/// Timeout for cancelling an abandoned run.
const CANCEL_TIMEOUT_MS: u64 = 2_000;

/// Factor on the expected time to first token: for this long an engine may send nothing.
const FIRST_TOKEN_STALL_FACTOR: u64 = 4;

/// Timeout for an endpoint's reply to a probe over a new connection.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// An event in the response stream of an attempt.
pub(crate) enum AttemptEvent {
    /// A token with its offset in the answer.
    Token(Tokens, Vec<u8>),
    /// The end of the answer, with its length.
    Done(Tokens),
    /// An event that belongs to another request or attempt.
    Mismatched,
}

/// Time limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptLimits {
    /// Maximum time without an event in the stream.
    pub(crate) stall_timeout_ms: u64,
    /// Time to first token that placement expects, from the start of the attempt.
    pub(crate) expected_first_token_ms: u64,
}

/// A run at one endpoint; dropping it closes the connection, which cancels the run.
pub(crate) struct Attempt {
    in_flight: InFlight,
    request: GenerateRequest,
    stream: Box<dyn TokenStream>,
    clock: Arc<dyn Clock>,
    stall_timeout_ms: u64,
    /// `None` once the first token has arrived.
    expected_first_token_ms: Option<u64>,
}

impl Attempt {
    /// Sends the request and waits until the endpoint accepts it.
    pub(crate) async fn start(
        in_flight: InFlight,
        request: GenerateRequest,
        clock: Arc<dyn Clock>,
        limits: AttemptLimits,
    ) -> Result<Self, Box<FailedAttempt>> {
        match in_flight.client().generate(&request).await {
            Ok(stream) => Ok(Self {
                in_flight,
                request,
                stream,
                clock,
                stall_timeout_ms: limits.stall_timeout_ms,
                expected_first_token_ms: Some(limits.expected_first_token_ms),
            }),
            Err(error) => Err(Box::new(FailedAttempt { in_flight, request, clock, error })),
        }
    }

    /// Records that the first token of this attempt has arrived.
    pub(crate) fn record_first_token(&mut self) {
        if let Some(expected_ms) = self.expected_first_token_ms.take() {
            self.in_flight.record_first_token(expected_ms);
        }
    }

    /// Returns the current stall timeout. Before the first token it is longer if placement expects
    /// the request to wait in the engine's queue.
    fn stall_ms(&self) -> u64 {
        let expected_ms = self.expected_first_token_ms.unwrap_or_default();
        self.stall_timeout_ms.max(expected_ms.saturating_mul(FIRST_TOKEN_STALL_FACTOR))
    }

    /// Ends the attempt because of an error.
    pub(crate) fn fail(self, error: EndpointError) -> FailedAttempt {
        let Self { in_flight, request, clock, .. } = self;
        FailedAttempt { in_flight, request, clock, error }
    }

    /// Waits for the next event, at most for the stall timeout.
    pub(crate) async fn next(&mut self) -> Result<AttemptEvent, EndpointError> {
        let stall = Deadline::after_ms(self.clock.now(), self.stall_ms());
        let event = self.stream.next(stall.earlier(self.request.deadline)).await?;
        Ok(match event {
            StreamEvent::Token { offset_tokens, json } => AttemptEvent::Token(offset_tokens, json),
            StreamEvent::Done { length_tokens } => AttemptEvent::Done(length_tokens),
            StreamEvent::Mismatched => AttemptEvent::Mismatched,
        })
    }
}

/// An attempt that ended before its answer was complete.
pub(crate) struct FailedAttempt {
    in_flight: InFlight,
    request: GenerateRequest,
    clock: Arc<dyn Clock>,
    pub(crate) error: EndpointError,
}

impl FailedAttempt {
    pub(crate) fn endpoint(&self) -> &EndpointId {
        self.in_flight.client().id()
    }

    /// Determines how the attempt failed, if needed with a probe over a new connection.
    pub(crate) async fn diagnose(&self, crash_guard: &SharedCrashGuard) -> AttemptFailure {
        match self.error.kind() {
            EndpointErrorKind::Unreachable => {
                self.in_flight.record_attempt(AttemptResult::ConnectionFailed);
                AttemptFailure::ConnectFailed
            }
            EndpointErrorKind::Overloaded => {
                self.in_flight.record_attempt(AttemptResult::Overloaded);
                AttemptFailure::Overloaded
            }
            EndpointErrorKind::WrongVersion => {
                self.refresh_report().await;
                AttemptFailure::WrongVersion
            }
            EndpointErrorKind::Leaving => {
                self.refresh_report().await;
                AttemptFailure::Rejected
            }
            EndpointErrorKind::Timeout => match self.probe().await {
                Probe::SameProcess => AttemptFailure::ConnectionSilent,
                Probe::OtherProcess | Probe::NoReply => AttemptFailure::EndpointSilent,
            },
            EndpointErrorKind::Connection => {
                self.in_flight.record_broken_connection();
                if self.probe().await != Probe::SameProcess {
                    let running = self.in_flight.take_crashed();
                    if !running.is_empty() {
                        crash_guard.record_crash(&running);
                    }
                }
                AttemptFailure::ConnectionBroken
            }
            EndpointErrorKind::Protocol => AttemptFailure::ConnectionBroken,
            _ => AttemptFailure::Rejected,
        }
    }

    /// Reads a new load report. Until the next regular one, further attempts of this and other
    /// requests would be placed by the same outdated report.
    async fn refresh_report(&self) {
        let requested_at = self.clock.now();
        let deadline = Deadline::after_ms(requested_at, PROBE_TIMEOUT_MS);
        if let Ok(report) = self.in_flight.client().load_report(deadline).await {
            self.in_flight.record_report(report, requested_at);
        }
    }

    /// Checks over a new connection which process of the endpoint responds, if any.
    async fn probe(&self) -> Probe {
        let deadline = Deadline::after_ms(self.clock.now(), PROBE_TIMEOUT_MS);
        match self.in_flight.client().load_report(deadline).await {
            Err(_) => Probe::NoReply,
            Ok(report) if self.in_flight.is_other_process(report.incarnation) => {
                Probe::OtherProcess
            }
            Ok(_) => Probe::SameProcess,
        }
    }

    /// Cancels the run over a new connection, since its own connection may be dead.
    pub(crate) async fn cancel(self) {
        let deadline = Deadline::after_ms(self.clock.now(), CANCEL_TIMEOUT_MS);
        let client = self.in_flight.client();
        if let Err(error) = client.cancel(&self.request.request_id, deadline).await {
            log::debug!(
                request_id = self.request.request_id.as_str(), endpoint = client.id().as_str();
                "cannot cancel an abandoned run: {error}"
            );
        }
    }
}

/// The result of probing an endpoint over a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    /// The process that received the request replies.
    SameProcess,
    /// Another process replies: the earlier one has crashed.
    OtherProcess,
    /// There is no reply.
    NoReply,
}

/// Creates the error for an attempt whose stream has missing tokens.
pub(crate) fn inconsistent_stream(detail: &str) -> EndpointError {
    EndpointError::new(EndpointErrorKind::Protocol, RunState::Ran, detail)
}
