//! One attempt to run a request at one endpoint.

use std::sync::Arc;

use yuccapass_decisions::endpoint_health::AttemptResult;
use yuccapass_decisions::retry::AttemptFailure;
use yuccapass_endpoints::{
    EndpointError, EndpointErrorKind, GenerateRequest, StreamEvent, TokenStream,
};
use yuccapass_types::{Clock, Deadline, EndpointId, RunState, Tokens};

use crate::crash_guard::SharedCrashGuard;
use crate::endpoint_table::InFlight;

/// How long cancelling an abandoned run may take.
const CANCEL_TIMEOUT_MS: u64 = 2_000;

/// Multiple of the expected time to first token up to which an engine may be silent.
const FIRST_TOKEN_STALL_FACTOR: u64 = 4;

/// How long an endpoint may take to answer a probe over a new connection.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// An event of an attempt that concerns the request.
pub(crate) enum AttemptEvent {
    /// A token at its position in the answer.
    Token(Tokens, Vec<u8>),
    /// The end of an answer of this length.
    Done(Tokens),
    /// An event that belongs to another request or attempt.
    Mismatched,
}

/// Times that an attempt is held against.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptLimits {
    /// How long the stream may be silent.
    pub(crate) stall_timeout_ms: u64,
    /// When placement expected the first token, from the start of the attempt.
    pub(crate) expected_first_token_ms: u64,
}

/// A run at one endpoint; dropping it closes the connection, which cancels the run.
pub(crate) struct Attempt {
    in_flight: InFlight,
    request: GenerateRequest,
    stream: Box<dyn TokenStream>,
    clock: Arc<dyn Clock>,
    stall_timeout_ms: u64,
    /// Until the first token arrived.
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

    /// Takes in that the first token of this attempt arrived.
    pub(crate) fn first_token_arrived(&mut self) {
        if let Some(expected_ms) = self.expected_first_token_ms.take() {
            self.in_flight.first_token_arrived(expected_ms);
        }
    }

    /// Returns how long the stream may be silent now. Before the first token an engine may be silent
    /// because the request waits in its queue, which placement has foreseen.
    fn stall_ms(&self) -> u64 {
        let expected_ms = self.expected_first_token_ms.unwrap_or_default();
        self.stall_timeout_ms.max(expected_ms.saturating_mul(FIRST_TOKEN_STALL_FACTOR))
    }

    /// Gives the attempt up because of an error.
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

/// An attempt that did not lead to the end of an answer.
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

    /// Finds out how the attempt failed, which may take a probe over a new connection.
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
                self.read_report().await;
                AttemptFailure::WrongVersion
            }
            EndpointErrorKind::Leaving => {
                self.read_report().await;
                AttemptFailure::Rejected
            }
            EndpointErrorKind::Timeout => match self.probe().await {
                Probe::SameProcess => AttemptFailure::ConnectionSilent,
                Probe::OtherProcess | Probe::NoAnswer => AttemptFailure::EndpointSilent,
            },
            EndpointErrorKind::Connection => {
                self.in_flight.connection_broke();
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

    /// Reads the load report: until the next one the following attempts, of this request and of
    /// others, would choose by the same outdated report.
    async fn read_report(&self) {
        let asked = self.clock.now();
        let deadline = Deadline::after_ms(asked, PROBE_TIMEOUT_MS);
        if let Ok(report) = self.in_flight.client().load_report(deadline).await {
            self.in_flight.reported(report, asked);
        }
    }

    async fn probe(&self) -> Probe {
        let deadline = Deadline::after_ms(self.clock.now(), PROBE_TIMEOUT_MS);
        match self.in_flight.client().load_report(deadline).await {
            Err(_) => Probe::NoAnswer,
            Ok(report) if self.in_flight.is_other_process(report.incarnation) => {
                Probe::OtherProcess
            }
            Ok(_) => Probe::SameProcess,
        }
    }

    /// Cancels the run over a new connection, for when its own connection may be silent.
    pub(crate) async fn cancel(self) {
        let deadline = Deadline::after_ms(self.clock.now(), CANCEL_TIMEOUT_MS);
        let client = self.in_flight.client();
        if let Err(error) = client.cancel(&self.request.request_id, deadline).await {
            log::debug!(
                request_id = self.request.request_id.as_str(), endpoint = client.id().as_str();
                "an abandoned run could not be cancelled: {error}"
            );
        }
    }
}

/// What a new connection to an endpoint shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    /// The process that the request was sent to answers.
    SameProcess,
    /// Another process answers: the earlier one has crashed.
    OtherProcess,
    /// Nothing answers.
    NoAnswer,
}

/// Makes the error of an attempt whose tokens do not fit together.
pub(crate) fn inconsistent(detail: &str) -> EndpointError {
    EndpointError::new(EndpointErrorKind::Protocol, RunState::Ran, detail)
}
