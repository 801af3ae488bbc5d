//! A request on its way: from the first attempt to the end of its answer.

use std::sync::Arc;

use async_trait::async_trait;
use yuccapass_callers::{AnswerStream, Failure, GenerationRequest};
use yuccapass_decisions::answer::{AnswerProgress, EndAction, TokenAction};
use yuccapass_endpoints::{EndpointError, EndpointErrorKind, GenerateRequest};
use yuccapass_types::{EndpointId, Instant, ResultCode};

use crate::attempt::{Attempt, AttemptEvent, inconsistent};
use crate::configuration::ActiveDocument;
use crate::metrics::RequestLabels;
use crate::placer::PlacedPrompt;
use crate::request_path::Core;

/// A request that was admitted.
pub(crate) struct Run {
    core: Arc<Core>,
    /// The configuration that the request started with; it is used to the end.
    active: Arc<ActiveDocument>,
    request: GenerationRequest,
    labels: RequestLabels,
    arrival: Instant,
    last_token: Option<Instant>,
    progress: AnswerProgress,
    attempts: u32,
    /// Endpoints at which an attempt failed.
    failed_endpoints: Vec<EndpointId>,
    attempt: Option<Attempt>,
    is_whole: bool,
    /// The first token, which is awaited before the caller gets a response.
    first: Option<Vec<u8>>,
}

impl Run {
    pub(crate) fn new(
        core: Arc<Core>,
        active: Arc<ActiveDocument>,
        request: GenerationRequest,
        arrival: Instant,
    ) -> Self {
        let labels = core.metrics.labels(&request.organisation, request.class.as_ref());
        core.metrics.answer_opened();
        Self {
            core,
            active,
            request,
            labels,
            arrival,
            last_token: None,
            progress: AnswerProgress::default(),
            attempts: 0,
            failed_endpoints: Vec::new(),
            attempt: None,
            is_whole: false,
            first: None,
        }
    }

    /// Waits for the first token.
    pub(crate) async fn await_first_token(mut self) -> Result<Self, Failure> {
        self.first = self.next_token().await?;
        Ok(self)
    }

    async fn next_token(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        if self.is_whole {
            return Ok(None);
        }
        if self.attempt.is_none() {
            self.attempt = Some(self.start_attempt().await?);
        }
        loop {
            match self.next_event().await {
                Ok(Some(AttemptEvent::Token(_, json))) => {
                    self.count_token();
                    return Ok(Some(json));
                }
                Ok(Some(_)) => {
                    self.is_whole = true;
                    self.attempt = None;
                    self.core.metrics.attempt_ended("complete");
                    return Ok(None);
                }
                Ok(None) => {}
                Err(error) => return Err(self.attempt_failed(error)),
            }
        }
    }

    /// Reads one event; `None` is an event that was dropped.
    async fn next_event(&mut self) -> Result<Option<AttemptEvent>, EndpointError> {
        let attempt = self.attempt.as_mut().ok_or_else(|| inconsistent("no attempt runs"))?;
        let event = attempt.next().await?;
        match event {
            AttemptEvent::Mismatched => {
                self.core.metrics.event_dropped("mismatched");
                Ok(None)
            }
            AttemptEvent::Token(offset_tokens, _) => {
                match self.progress.accept_token(offset_tokens) {
                    TokenAction::Deliver => Ok(Some(event)),
                    TokenAction::DropDuplicate => {
                        self.core.metrics.event_dropped("repeated");
                        Ok(None)
                    }
                    TokenAction::AbandonAttempt => Err(inconsistent("a token is missing")),
                }
            }
            AttemptEvent::Done(length_tokens) => match self.progress.accept_end(length_tokens) {
                EndAction::Complete => Ok(Some(event)),
                EndAction::AbandonAttempt => Err(inconsistent("the end came too early")),
            },
        }
    }

    async fn start_attempt(&mut self) -> Result<Attempt, Failure> {
        self.attempts += 1;
        let document = &self.active.document;
        let model = document
            .model(&self.request.model)
            .ok_or_else(|| Failure::not_run(ResultCode::ModelNotFound))?;
        let prompt = PlacedPrompt::new(&self.request.organisation, model, &self.request.prompt);
        let placed = self
            .core
            .placer
            .place(
                document,
                model,
                &prompt,
                &self.core.endpoints,
                &self.core.prefix_caches,
                &self.failed_endpoints,
            )
            .map_err(|reason| Failure::not_run(reason.result_code()))?;
        let class = self.request.class.as_ref().and_then(|class| document.class(class));
        let attempt = GenerateRequest {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            api: self.request.api,
            body: Arc::clone(&self.request.body),
            priority: class.map_or(0, |class| class.priority),
            deadline: self.request.deadline,
            salt: prompt.salt,
            version: model.version.clone(),
            adapter: model.adapter.clone(),
            resume_offset_tokens: self.progress.delivered_tokens(),
            needs_new_connection: !self.request.is_repeatable,
        };
        let in_flight = self.core.endpoints.begin(placed.endpoint, placed.prefill);
        let clock = Arc::clone(&self.core.clock);
        let starting = Attempt::start(in_flight, attempt, clock, self.core.stall_timeout_ms);
        starting.await.map_err(|error| self.attempt_failed(error))
    }

    fn attempt_failed(&mut self, error: EndpointError) -> Failure {
        self.core.metrics.attempt_ended("failed");
        if let Some(attempt) = self.attempt.take() {
            self.failed_endpoints.push(attempt.endpoint().clone());
            log::warn!(
                request_id = self.request.request_id.as_str(),
                endpoint = attempt.endpoint().as_str(),
                attempt = self.attempts;
                "an attempt failed: {error}"
            );
            async_std::task::spawn(attempt.cancel());
        }
        let code = match (error.kind(), self.last_token) {
            (EndpointErrorKind::Timeout, None) => ResultCode::EndpointTimeout,
            (EndpointErrorKind::InvalidRequest, None) => ResultCode::EndpointRejected,
            (_, None) => ResultCode::EndpointFailed,
            (_, Some(_)) => ResultCode::StreamCut,
        };
        Failure::new(code, error.run_state()).detail(error.to_string())
    }

    fn count_token(&mut self) {
        let now = self.core.clock.now();
        match self.last_token.replace(now) {
            None => self.core.metrics.first_token(&self.labels, self.arrival, now),
            Some(previous) => self.core.metrics.token_gap(&self.labels, previous, now),
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let tokens = self.progress.delivered_tokens().get();
        self.core.metrics.answer_closed(&self.labels, tokens, self.is_whole);
        log::info!(
            request_id = self.request.request_id.as_str(),
            organisation = self.request.organisation.as_str(),
            model = self.request.model.as_str(),
            attempts = self.attempts,
            tokens = tokens,
            whole = self.is_whole,
            elapsed_ms = self.core.clock.now().ms_since(self.arrival);
            "a request ended"
        );
    }
}

#[async_trait]
impl AnswerStream for Run {
    async fn next(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let result = self.next_token().await;
        if let Err(failure) = &result {
            self.core.metrics.failed(failure.code, failure.run_state);
        }
        result
    }
}
