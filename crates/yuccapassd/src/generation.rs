//! Execution of a generation request: its attempts, and the stream of its answer.

use std::sync::Arc;

use async_trait::async_trait;
use yuccapass_callers::{AnswerStream, Failure, GenerationRequest};
use yuccapass_decisions::admission::fair_queue::QueuedRequest;
use yuccapass_decisions::answer::{AnswerProgress, EndAction, TokenAction};
use yuccapass_decisions::config::{Document, Endpoint};
use yuccapass_decisions::crash_guard::FingerprintStatus;
use yuccapass_decisions::quorum::OutcomeState;
use yuccapass_decisions::retry::{
    AttemptFacts, RetryBudget, RetryBudgetSettings, RetryPlan, RetryTarget, plan_retry,
};
use yuccapass_decisions::routing::placement::NoPlacement;
use yuccapass_endpoints::{EndpointError, EndpointErrorKind, GenerateRequest, ModelEndpoint};
use yuccapass_http::sleep_until;
use yuccapass_types::{
    Deadline, EndpointId, Instant, OrganisationId, ResultCode, RunState, Tokens,
};

use crate::attempt::{Attempt, AttemptEvent, AttemptLimits, FailedAttempt, inconsistent_stream};
use crate::configuration::ActiveDocument;
use crate::endpoint_table::RequestInfo;
use crate::fleet::ledger::Claim;
use crate::fleet::permits::{ColdProcess, Permit};
use crate::metrics::RequestLabels;
use crate::placer::{PlacedAttempt, PromptSummary, ServedModel};
use crate::recorded_answer::AnswerRecorder;
use crate::request_handler::Core;

/// Maximum number of attempts for one request, over all endpoints.
const MAX_ATTEMPTS: u32 = 4;

/// Minimum time that an attempt needs to produce a first token.
const MIN_ATTEMPT_MS: u64 = 20;

/// Answer length that is assumed if the request does not limit it.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Retry hint for a caller that found no endpoint: about the time until a load report can show one.
const NO_ENDPOINT_RETRY_MS: u64 = 1_000;

/// Pause before requesting a permit again; permits are released as requests end.
const PERMIT_RETRY_MS: u64 = 100;

/// The execution of an admitted request, over all its attempts.
pub(crate) struct GenerationRun {
    core: Arc<Core>,
    request: GenerationRequest,
    labels: RequestLabels,
    arrival: Instant,
    last_token: Option<Instant>,
    progress: AnswerProgress,
    /// The model and version in use. It does not change once a token was delivered, so that one
    /// version generates the whole answer.
    model: ServedModel,
    prompt: PromptSummary,
    /// Expected number of tokens in the prompt and the answer.
    cost: Tokens,
    /// Run state over all attempts before the current one.
    earlier_state: RunState,
    attempts: u32,
    /// Endpoints that must not be tried again.
    excluded: Vec<EndpointId>,
    needs_new_connection: bool,
    attempt: Option<Attempt>,
    /// The endpoint of the last attempt.
    endpoint: Option<Endpoint>,
    /// Whether an import of cache blocks for this request was incomplete.
    import_failed: bool,
    /// The permit of the current attempt, held until its endpoint has finished with it.
    permit: Option<Permit>,
    is_complete: bool,
    /// The claim of a request with an idempotency key, and the answer so far.
    claim: Option<(Claim, AnswerRecorder)>,
    /// The first token, which is awaited before the response to the caller starts.
    first_token: Option<Vec<u8>>,
}

impl GenerationRun {
    pub(crate) fn new(
        core: Arc<Core>,
        active: &ActiveDocument,
        request: GenerationRequest,
        arrival: Instant,
    ) -> Result<Self, Failure> {
        let model = current_model(&core, active.document(), &request)?;
        let prompt = PromptSummary::new(&request.organisation, &model, &request.prompt);
        check_crash_guard(&core, &prompt, RunState::NotRun)?;
        core.with_retry_budget(|budget| budget.record_request(arrival));
        core.metrics.record_answer_start();
        let answer = request.max_tokens.map_or(DEFAULT_ANSWER_TOKENS, u64::from);
        let cost = prompt.tokens + Tokens::new(answer);
        let labels = core.metrics.labels(&request.organisation, request.class.as_ref());
        Ok(Self {
            core,
            labels,
            arrival,
            last_token: None,
            progress: AnswerProgress::default(),
            model,
            prompt,
            cost,
            earlier_state: RunState::NotRun,
            attempts: 0,
            excluded: Vec::new(),
            needs_new_connection: !request.is_repeatable,
            request,
            attempt: None,
            endpoint: None,
            import_failed: false,
            permit: None,
            is_complete: false,
            claim: None,
            first_token: None,
        })
    }

    pub(crate) fn organisation(&self) -> &OrganisationId {
        &self.request.organisation
    }

    /// Returns the expected number of tokens in the prompt and the answer.
    pub(crate) fn cost(&self) -> Tokens {
        self.cost
    }

    /// Sets the claim of a request with an idempotency key.
    pub(crate) fn set_claim(&mut self, claim: Claim) {
        self.claim = Some((claim, AnswerRecorder::default()));
    }

    /// Waits for the first token, or the end of an empty answer.
    pub(crate) async fn await_first_token(mut self) -> Result<Self, Failure> {
        self.first_token = self.next_token().await?;
        Ok(self)
    }

    /// Returns the next token for the caller, with retries as needed; `None` at the end.
    async fn next_token(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        while !self.is_complete {
            match self.next_event().await {
                Ok(Some(AttemptEvent::Token(_, json))) => {
                    self.record_token();
                    if let Some((_, recorder)) = &mut self.claim {
                        recorder.add(&json);
                    }
                    return Ok(Some(json));
                }
                Ok(Some(_)) => self.complete(),
                Ok(None) => {}
                Err(StepError::Attempt(failed)) => {
                    let handled = self.handle_failed_attempt(failed).await;
                    handled.map_err(|failure| self.end_claim(failure))?;
                }
                Err(StepError::Final(failure)) => return Err(self.end_claim(failure)),
            }
        }
        Ok(None)
    }

    /// Releases the claim of a failed request, or records its outcome as not kept or unknown.
    fn end_claim(&mut self, failure: Failure) -> Failure {
        if let Some((claim, _)) = self.claim.take() {
            match failure.run_state {
                RunState::NotRun => claim.release_not_run(),
                RunState::Ran => claim.record(OutcomeState::NotKept),
                RunState::Unknown => claim.record(OutcomeState::Unknown),
            }
        }
        failure
    }

    /// Records the complete answer and releases what its execution held.
    fn complete(&mut self) {
        self.is_complete = true;
        self.attempt = None;
        self.permit = None;
        if let Some((claim, recorder)) = self.claim.take() {
            claim.record(recorder.outcome());
        }
        self.core.metrics.record_attempt_end("complete");
        self.core.crash_guard.record_completion(self.prompt.fingerprint);
        self.export();
    }

    /// Reads one event, after starting an attempt if there is none; `None` if the event is dropped.
    async fn next_event(&mut self) -> Result<Option<AttemptEvent>, StepError> {
        let mut attempt = match self.attempt.take() {
            Some(attempt) => attempt,
            None => self.start_attempt().await?,
        };
        let checked = match attempt.next().await {
            Ok(event) => self.check_event(event),
            Err(error) => Err(error),
        };
        match checked {
            Ok(event) => {
                if let Some(AttemptEvent::Token(..)) = event {
                    attempt.record_first_token();
                }
                self.attempt = Some(attempt);
                Ok(event)
            }
            Err(error) => Err(StepError::Attempt(Box::new(attempt.fail(error)))),
        }
    }

    /// Returns `None` for a duplicate or mismatched event; fails if the answer would have a gap.
    fn check_event(&mut self, event: AttemptEvent) -> Result<Option<AttemptEvent>, EndpointError> {
        match event {
            AttemptEvent::Mismatched => {
                self.core.metrics.record_dropped_event("mismatched");
                Ok(None)
            }
            AttemptEvent::Token(offset_tokens, _) => {
                match self.progress.accept_token(offset_tokens) {
                    TokenAction::Deliver => Ok(Some(event)),
                    TokenAction::DropDuplicate => {
                        self.core.metrics.record_dropped_event("repeated");
                        Ok(None)
                    }
                    TokenAction::AbandonAttempt => Err(inconsistent_stream("a token is missing")),
                }
            }
            AttemptEvent::Done(length_tokens) => match self.progress.accept_end(length_tokens) {
                EndAction::Complete => Ok(Some(event)),
                EndAction::AbandonAttempt => Err(inconsistent_stream("the end came too early")),
            },
        }
    }

    /// Chooses an endpoint and sends the request to it.
    async fn start_attempt(&mut self) -> Result<Attempt, StepError> {
        let active = self.core.configuration.active();
        let document = active.document();
        if self.progress.delivered_tokens() == Tokens::ZERO {
            self.use_current_model(document)?;
        }
        // Earlier attempts, or other requests with this fingerprint, may have crashed endpoints.
        check_crash_guard(&self.core, &self.prompt, self.run_state()).map_err(StepError::Final)?;
        self.core.transfer.query_store(document, &self.model.id, &self.prompt.chain).await;
        let (placed, permit) = self.wait_for_placement(document).await?;
        self.attempts += 1;
        let class = self.request.class.as_ref().and_then(|class| document.class(class));
        let attempt = GenerateRequest {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            api: self.request.api,
            body: Arc::clone(&self.request.body),
            priority: class.map_or(0, |class| class.priority),
            deadline: self.request.deadline,
            salt: self.prompt.salt,
            version: self.model.version.clone(),
            adapter: self.model.adapter.clone(),
            resume_offset_tokens: self.progress.delivered_tokens(),
            needs_new_connection: self.needs_new_connection,
        };
        let info = RequestInfo {
            id: self.request.request_id.clone(),
            organisation: self.request.organisation.clone(),
            fingerprint: self.prompt.fingerprint,
        };
        let in_flight = self.core.endpoints.start_request(placed.endpoint, info, placed.prefill);
        let (prompt_tokens, computed_tokens) = (self.prompt.tokens.get(), placed.prefill.get());
        let cached_tokens = prompt_tokens.saturating_sub(computed_tokens);
        self.core.metrics.record_prompt(cached_tokens, computed_tokens);
        let clock = Arc::clone(&self.core.clock);
        // There may be capacity for the next waiting request as well.
        self.core.admission.wake(&self.model.id);
        self.permit = permit;
        let limits = AttemptLimits {
            stall_timeout_ms: self.core.stall_timeout_ms,
            expected_first_token_ms: self.import(document, &placed, in_flight.client()).await,
        };
        self.endpoint = Some(placed.endpoint.clone());
        if let Some((claim, _)) = &mut self.claim
            && !claim.start_sending(&*self.core.clock)
        {
            let failure = Failure::new(ResultCode::DeadlinePassed, self.earlier_state);
            return Err(StepError::Final(failure));
        }
        Attempt::start(in_flight, attempt, clock, limits).await.map_err(StepError::Attempt)
    }

    /// Imports cache blocks as planned by placement; returns the time to first token to expect
    /// then.
    async fn import(
        &mut self,
        document: &Document,
        placed: &PlacedAttempt<'_>,
        client: &dyn ModelEndpoint,
    ) -> u64 {
        let expected_ms = placed.expected_first_token_ms;
        let Some(plan) = placed.import else { return expected_ms };
        let (model, chain) = (&self.model.id, &self.prompt.chain);
        let latest = self.request.deadline;
        match self.core.transfer.import(document, model, chain, plan, client, latest).await {
            true => expected_ms,
            // The import and the recomputation after it each take at most `recompute_ms`.
            false => {
                self.import_failed = true;
                expected_ms.saturating_add(plan.recompute_ms.saturating_mul(2))
            }
        }
    }

    /// Queues the export of the prompt's cache blocks to the store.
    fn export(&self) {
        let Some(endpoint) = &self.endpoint else { return };
        let active = self.core.configuration.active();
        let client = self.core.endpoints.client(endpoint);
        let (document, chain) = (active.document(), &self.prompt.chain);
        self.core.transfer.queue_export(document, endpoint, client, chain, self.import_failed);
    }

    /// Switches to the version that is served now, since a rollout may have replaced the earlier
    /// one.
    fn use_current_model(&mut self, document: &Document) -> Result<(), StepError> {
        let model = current_model(&self.core, document, &self.request).map_err(StepError::Final)?;
        if model != self.model {
            self.prompt =
                PromptSummary::new(&self.request.organisation, &model, &self.request.prompt);
            self.model = model;
        }
        Ok(())
    }

    /// Chooses an endpoint; waits in the queue if requests wait already or no endpoint has
    /// capacity.
    async fn wait_for_placement<'a>(
        &mut self,
        document: &'a Document,
    ) -> Result<(PlacedAttempt<'a>, Option<Permit>), StepError> {
        let start = self.core.clock.now();
        let mut may_place = !self.core.admission.has_waiting(&self.model.id);
        loop {
            if may_place {
                // A rollout may have replaced the version while the request waited.
                if self.progress.delivered_tokens() == Tokens::ZERO {
                    self.use_current_model(document)?;
                }
                match self.place(document) {
                    Ok(placed) => {
                        let Some(permit) = self.acquire_permit(document, &placed).await else {
                            self.pause_before_permit_retry().await?;
                            continue;
                        };
                        let now = self.core.clock.now();
                        self.core.metrics.record_queue_wait(&self.labels, start, now);
                        self.core.admission.record_sent(&self.model.id, self.cost);
                        return Ok((placed, permit));
                    }
                    Err(reason) if !can_wait_for(reason) => {
                        let failure = Failure::new(reason.result_code(), self.run_state());
                        return Err(StepError::Final(failure.retry_after_ms(NO_ENDPOINT_RETRY_MS)));
                    }
                    Err(_) => {}
                }
            }
            let queued = self.queued_request(document);
            let waiting = self.core.admission.wait_in_queue(&self.model.id, queued).await;
            waiting.map_err(|failure| {
                StepError::Final(Failure { run_state: self.run_state(), ..failure })
            })?;
            may_place = true;
        }
    }

    fn place<'a>(&self, document: &'a Document) -> Result<PlacedAttempt<'a>, NoPlacement> {
        self.core.placer.place(document, &self.model, &self.prompt, &self.excluded)
    }

    /// Acquires a permit if the endpoint is cold; `None` if none is available now, `Some(None)` if
    /// none is needed.
    async fn acquire_permit(
        &mut self,
        document: &Document,
        placed: &PlacedAttempt<'_>,
    ) -> Option<Option<Permit>> {
        if !placed.needs_permit || document.zones.iter().all(|zone| zone.voters.is_empty()) {
            return Some(None);
        }
        let endpoint = placed.endpoint;
        let Some((incarnation, max_requests)) = self.core.endpoints.cold_process(endpoint) else {
            return Some(None);
        };
        let cold = ColdProcess {
            endpoint: endpoint.id.clone(),
            incarnation,
            zone: endpoint.zone.clone(),
            max_requests,
        };
        let permit = self.core.permits.acquire(&cold).await?;
        permit.start().then_some(Some(permit))
    }

    async fn pause_before_permit_retry(&mut self) -> Result<(), StepError> {
        let now = self.core.clock.now();
        if self.request.deadline.has_passed(now) {
            let failure = Failure::new(ResultCode::EndpointsWarmingUp, self.run_state());
            return Err(StepError::Final(failure));
        }
        let pause = Deadline::after_ms(now, PERMIT_RETRY_MS).earlier(self.request.deadline);
        sleep_until(&*self.core.clock, pause).await;
        Ok(())
    }

    fn queued_request(&self, document: &Document) -> QueuedRequest {
        let class = self.request.class.as_ref().and_then(|class| document.class(class));
        let organisation = document.organisation(&self.request.organisation);
        QueuedRequest {
            id: self.request.request_id.clone(),
            organisation: self.request.organisation.clone(),
            share: organisation.map_or(1, |organisation| organisation.share),
            priority: class.map_or(0, |class| class.priority),
            cost: self.cost,
            min_run_ms: MIN_ATTEMPT_MS,
            deadline: self.request.deadline,
        }
    }

    /// Returns the run state of the request before the current attempt.
    fn run_state(&self) -> RunState {
        match self.progress.delivered_tokens() {
            Tokens::ZERO => self.earlier_state,
            _ => RunState::Ran,
        }
    }

    /// Plans a retry after a failed attempt, or fails the request.
    async fn handle_failed_attempt(&mut self, failed: Box<FailedAttempt>) -> Result<(), Failure> {
        self.core.metrics.record_attempt_end("failed");
        log::warn!(
            request_id = self.request.request_id.as_str(),
            endpoint = failed.endpoint().as_str(),
            attempt = self.attempts;
            "attempt failed: {}", failed.error
        );
        if failed.error.kind() == EndpointErrorKind::InvalidRequest {
            let run_state = failed.error.run_state();
            let failure = Failure::new(ResultCode::EndpointRejected, run_state);
            return Err(failure.detail(failed.error.to_string()));
        }
        let facts = self.attempt_facts(&failed).await;
        let detail = failed.error.to_string();
        let endpoint = failed.endpoint().clone();
        let now = self.core.clock.now();
        let kind = failed.error.kind();
        let is_refusal =
            matches!(kind, EndpointErrorKind::WrongVersion | EndpointErrorKind::Leaving);
        let plan = if is_refusal && !facts.was_sent {
            // Rollouts cause many refusals. These put no load on the endpoints, so they are not
            // charged to the node's retry budget. The number of attempts stays limited.
            let mut separate_budget = RetryBudget::new(RetryBudgetSettings::default());
            plan_retry(&facts, &mut separate_budget, now)
        } else {
            self.core.with_retry_budget(|budget| plan_retry(&facts, budget, now))
        };
        let same_endpoint = RetryTarget::SameEndpoint;
        if !facts.was_sent {
            // Nothing runs at the endpoint, so there is nothing to cancel.
        } else if matches!(plan, RetryPlan::Retry { target, .. } if target == same_endpoint) {
            // All attempts share the request id: a late cancellation would end the next attempt.
            failed.cancel().await;
        } else {
            async_std::task::spawn(failed.cancel());
        }
        match plan {
            RetryPlan::Fail { run_state, code } => {
                Err(Failure::new(code, run_state).detail(detail))
            }
            RetryPlan::Retry { target, new_connection, .. } => {
                self.earlier_state = facts.run_state();
                self.needs_new_connection |= new_connection;
                if target == RetryTarget::OtherEndpoint {
                    self.excluded.push(endpoint);
                }
                Ok(())
            }
        }
    }

    async fn attempt_facts(&mut self, failed: &FailedAttempt) -> AttemptFacts {
        let failure = failed.diagnose(&self.core.crash_guard).await;
        let reported = failed.error.run_state();
        AttemptFacts {
            failure,
            was_sent: reported != RunState::NotRun,
            reported_state: Some(reported),
            earlier_state: self.earlier_state,
            delivered: self.progress.delivered_tokens(),
            response_started: false,
            can_resume: true,
            is_repeatable: self.request.is_repeatable,
            deadline: self.request.deadline,
            min_attempt_ms: MIN_ATTEMPT_MS,
            attempts: self.attempts,
            max_attempts: MAX_ATTEMPTS,
        }
    }

    /// Records the time to first token, or the time since the previous token.
    fn record_token(&mut self) {
        let now = self.core.clock.now();
        match self.last_token.replace(now) {
            None => self.core.metrics.record_first_token(&self.labels, self.arrival, now),
            Some(previous) => self.core.metrics.record_token_gap(&self.labels, previous, now),
        }
    }
}

/// Returns whether capacity may soon become available for a request that cannot be placed now.
fn can_wait_for(reason: NoPlacement) -> bool {
    match reason {
        NoPlacement::NoEndpoint => false,
        NoPlacement::WarmingUp | NoPlacement::Full | NoPlacement::NoSeparateEndpoint => true,
    }
}

/// Why no event could be read.
enum StepError {
    /// The attempt failed; another may follow.
    Attempt(Box<FailedAttempt>),
    /// The request failed.
    Final(Failure),
}

/// Rejects a request whose fingerprint is blocked because it crashed endpoints.
fn check_crash_guard(
    core: &Core,
    prompt: &PromptSummary,
    run_state: RunState,
) -> Result<(), Failure> {
    let FingerprintStatus::Blocked { until } = core.crash_guard.status(prompt.fingerprint) else {
        return Ok(());
    };
    let retry_after_ms = until.remaining_ms(core.clock.now());
    Err(Failure::new(ResultCode::RequestBlocked, run_state).retry_after_ms(retry_after_ms))
}

/// Returns the requested model with the version that new requests use.
fn current_model(
    core: &Core,
    document: &Document,
    request: &GenerationRequest,
) -> Result<ServedModel, Failure> {
    let model = document.model(&request.model);
    model
        .map(|model| core.placer.served_model(document, model))
        .ok_or_else(|| Failure::not_run(ResultCode::ModelNotFound))
}

impl Drop for GenerationRun {
    fn drop(&mut self) {
        // The caller disconnected after an attempt had started; its run is cancelled.
        if let Some((claim, _)) = self.claim.take().filter(|_| self.attempts > 0) {
            claim.record(match self.run_state() {
                RunState::Ran => OutcomeState::NotKept,
                _ => OutcomeState::Unknown,
            });
        }
        let tokens = self.progress.delivered_tokens().get();
        self.core.metrics.record_answer_end(&self.labels, tokens, self.is_complete);
        let used = self.prompt.tokens + self.progress.delivered_tokens();
        self.core.limits.adjust(&self.request.organisation, self.cost, used);
        log::info!(
            request_id = self.request.request_id.as_str(),
            organisation = self.request.organisation.as_str(),
            model = self.request.model.as_str(),
            attempts = self.attempts,
            tokens = tokens,
            whole = self.is_complete,
            elapsed_ms = self.core.clock.now().ms_since(self.arrival);
            "request ended"
        );
    }
}

#[async_trait]
impl AnswerStream for GenerationRun {
    async fn next(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        if let Some(first) = self.first_token.take() {
            return Ok(Some(first));
        }
        let result = self.next_token().await;
        if let Err(failure) = &result {
            self.core.metrics.record_failure(failure.code, failure.run_state);
        }
        result
    }
}
