//! A request on its way: from the first attempt to the end of its answer.

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

use crate::attempt::{Attempt, AttemptEvent, AttemptLimits, FailedAttempt, inconsistent};
use crate::configuration::ActiveDocument;
use crate::endpoint_table::RequestNote;
use crate::fleet::ledger::Claim;
use crate::fleet::permits::{ColdProcess, Permit};
use crate::metrics::RequestLabels;
use crate::placer::{Placed, PlacedPrompt, ServedModel};
use crate::recorded_answer::AnswerRecorder;
use crate::request_path::Core;

/// Most attempts for one request, over all endpoints.
const MAX_ATTEMPTS: u32 = 4;

/// Shortest time in which another attempt can bring a first token.
const LEAST_ATTEMPT_MS: u64 = 20;

/// Answer length that is assumed if the caller names none.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// When a caller may try again that found no endpoint: about when a report can show one.
const NO_ENDPOINT_RETRY_MS: u64 = 1_000;

/// Pause before a permit is asked for again; a permit is given back when a request ends.
const PERMIT_PAUSE_MS: u64 = 100;

/// A request that was admitted.
pub(crate) struct Run {
    core: Arc<Core>,
    request: GenerationRequest,
    labels: RequestLabels,
    arrival: Instant,
    last_token: Option<Instant>,
    progress: AnswerProgress,
    /// The model as it was when the first attempt began; an answer is continued by this version.
    model: ServedModel,
    prompt: PlacedPrompt,
    /// Expected tokens, prompt and answer together.
    cost: Tokens,
    /// What is known of all attempts before the present one.
    earlier_state: RunState,
    attempts: u32,
    /// Endpoints that are not tried again.
    excluded: Vec<EndpointId>,
    needs_new_connection: bool,
    attempt: Option<Attempt>,
    /// The endpoint of the last attempt.
    endpoint: Option<Endpoint>,
    /// Whether an import for this request was not complete.
    import_failed: bool,
    /// The permit of the present attempt, held until its endpoint has nothing more to do for it.
    permit: Option<Permit>,
    is_whole: bool,
    /// The right to run a request with an idempotency key, and its answer so far.
    claim: Option<(Claim, AnswerRecorder)>,
    /// The first token, which is awaited before the caller gets a response.
    first: Option<Vec<u8>>,
}

impl Run {
    pub(crate) fn new(
        core: Arc<Core>,
        active: &ActiveDocument,
        request: GenerationRequest,
        arrival: Instant,
    ) -> Result<Self, Failure> {
        let model = current_model(&core, active.document(), &request)?;
        let prompt = PlacedPrompt::new(&request.organisation, &model, &request.prompt);
        check_crash_guard(&core, &prompt, RunState::NotRun)?;
        core.with_retry_budget(|budget| budget.record_request(arrival));
        core.metrics.answer_opened();
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
            is_whole: false,
            claim: None,
            first: None,
        })
    }

    pub(crate) fn organisation(&self) -> &OrganisationId {
        &self.request.organisation
    }

    /// Returns the expected tokens, prompt and answer together.
    pub(crate) fn cost(&self) -> Tokens {
        self.cost
    }

    /// Lets a request with an idempotency key run.
    pub(crate) fn set_claim(&mut self, claim: Claim) {
        self.claim = Some((claim, AnswerRecorder::default()));
    }

    /// Waits for the first token.
    pub(crate) async fn await_first_token(mut self) -> Result<Self, Failure> {
        self.first = self.next_token().await?;
        Ok(self)
    }

    async fn next_token(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        while !self.is_whole {
            match self.next_event().await {
                Ok(Some(AttemptEvent::Token(_, json))) => {
                    self.count_token();
                    if let Some((_, recorder)) = &mut self.claim {
                        recorder.add(&json);
                    }
                    return Ok(Some(json));
                }
                Ok(Some(_)) => self.complete(),
                Ok(None) => {}
                Err(StepError::Attempt(failed)) => {
                    let planned = self.plan_next(failed).await;
                    planned.map_err(|failure| self.end_claim(failure))?;
                }
                Err(StepError::Final(failure)) => return Err(self.end_claim(failure)),
            }
        }
        Ok(None)
    }

    /// Ends the claim of a request that failed.
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

    fn complete(&mut self) {
        self.is_whole = true;
        self.attempt = None;
        self.permit = None;
        if let Some((claim, recorder)) = self.claim.take() {
            claim.record(recorder.outcome());
        }
        self.core.metrics.attempt_ended("complete");
        self.core.crash_guard.record_completion(self.prompt.fingerprint);
        self.export();
    }

    /// Reads one event, from a new attempt if none runs; `None` is an event that was dropped.
    async fn next_event(&mut self) -> Result<Option<AttemptEvent>, StepError> {
        let mut attempt = match self.attempt.take() {
            Some(attempt) => attempt,
            None => self.start_attempt().await?,
        };
        let checked = match attempt.next().await {
            Ok(event) => self.check(event),
            Err(error) => Err(error),
        };
        match checked {
            Ok(event) => {
                if let Some(AttemptEvent::Token(..)) = event {
                    attempt.first_token_arrived();
                }
                self.attempt = Some(attempt);
                Ok(event)
            }
            Err(error) => Err(StepError::Attempt(Box::new(attempt.fail(error)))),
        }
    }

    /// Drops an event that the caller must not see; fails if the answer would have a gap.
    fn check(&mut self, event: AttemptEvent) -> Result<Option<AttemptEvent>, EndpointError> {
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

    async fn start_attempt(&mut self) -> Result<Attempt, StepError> {
        let active = self.core.configuration.active();
        let document = active.document();
        if self.progress.delivered_tokens() == Tokens::ZERO {
            self.use_current_model(document)?;
        }
        // Its earlier attempts, or those of other requests like it, may have crashed endpoints.
        check_crash_guard(&self.core, &self.prompt, self.run_state()).map_err(StepError::Final)?;
        self.core.transfer.learn(document, &self.model.id, &self.prompt.chain).await;
        let (placed, permit) = self.place_in_turn(document).await?;
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
        let note = RequestNote {
            id: self.request.request_id.clone(),
            organisation: self.request.organisation.clone(),
            fingerprint: self.prompt.fingerprint,
        };
        let in_flight = self.core.endpoints.begin(placed.endpoint, note, placed.prefill);
        let (prompt_tokens, computed_tokens) = (self.prompt.tokens.get(), placed.prefill.get());
        let cached_tokens = prompt_tokens.saturating_sub(computed_tokens);
        self.core.metrics.prompt_processed(cached_tokens, computed_tokens);
        let clock = Arc::clone(&self.core.clock);
        // The next request that waits may find room as well.
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

    /// Imports blocks as placement planned; returns the time to first token to expect then.
    async fn import(
        &mut self,
        document: &Document,
        placed: &Placed<'_>,
        client: &dyn ModelEndpoint,
    ) -> u64 {
        let expected_ms = placed.expected_first_token_ms;
        let Some(plan) = placed.import else { return expected_ms };
        let (model, chain) = (&self.model.id, &self.prompt.chain);
        let latest = self.request.deadline;
        match self.core.transfer.import(document, model, chain, plan, client, latest).await {
            true => expected_ms,
            // The import and the recomputation after it take at most that long each.
            false => {
                self.import_failed = true;
                expected_ms.saturating_add(plan.recompute_ms.saturating_mul(2))
            }
        }
    }

    /// Offers the blocks of the prompt to the store.
    fn export(&self) {
        let Some(endpoint) = &self.endpoint else { return };
        let active = self.core.configuration.active();
        let client = self.core.endpoints.client(endpoint);
        let (document, chain) = (active.document(), &self.prompt.chain);
        self.core.transfer.answered(document, endpoint, client, chain, self.import_failed);
    }

    /// Takes the model as it is configured now, since a swap may have happened while waiting.
    fn use_current_model(&mut self, document: &Document) -> Result<(), StepError> {
        let model = current_model(&self.core, document, &self.request).map_err(StepError::Final)?;
        if model != self.model {
            self.prompt =
                PlacedPrompt::new(&self.request.organisation, &model, &self.request.prompt);
            self.model = model;
        }
        Ok(())
    }

    /// Places the request, after those that wait already; waits if nothing has room.
    async fn place_in_turn<'a>(
        &mut self,
        document: &'a Document,
    ) -> Result<(Placed<'a>, Option<Permit>), StepError> {
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
                        let Some(permit) = self.permit_for(document, &placed).await else {
                            self.wait_for_permit().await?;
                            continue;
                        };
                        let now = self.core.clock.now();
                        self.core.metrics.queue_waited(&self.labels, start, now);
                        self.core.admission.sent(&self.model.id, self.cost);
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
            let waiting = self.core.admission.wait_turn(&self.model.id, queued).await;
            waiting.map_err(|failure| {
                StepError::Final(Failure { run_state: self.run_state(), ..failure })
            })?;
            may_place = true;
        }
    }

    fn place<'a>(&self, document: &'a Document) -> Result<Placed<'a>, NoPlacement> {
        self.core.placer.place(document, &self.model, &self.prompt, &self.excluded)
    }

    /// Asks for a permit if the endpoint is cold; `None` if there is none to be had now.
    async fn permit_for(
        &mut self,
        document: &Document,
        placed: &Placed<'_>,
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

    async fn wait_for_permit(&mut self) -> Result<(), StepError> {
        let now = self.core.clock.now();
        if self.request.deadline.has_passed(now) {
            let failure = Failure::new(ResultCode::EndpointsWarmingUp, self.run_state());
            return Err(StepError::Final(failure));
        }
        let pause = Deadline::after_ms(now, PERMIT_PAUSE_MS).earlier(self.request.deadline);
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
            min_run_ms: LEAST_ATTEMPT_MS,
            deadline: self.request.deadline,
        }
    }

    /// Returns what is known about the request before the present attempt.
    fn run_state(&self) -> RunState {
        match self.progress.delivered_tokens() {
            Tokens::ZERO => self.earlier_state,
            _ => RunState::Ran,
        }
    }

    /// Decides what follows a failed attempt.
    async fn plan_next(&mut self, failed: Box<FailedAttempt>) -> Result<(), Failure> {
        self.core.metrics.attempt_ended("failed");
        log::warn!(
            request_id = self.request.request_id.as_str(),
            endpoint = failed.endpoint().as_str(),
            attempt = self.attempts;
            "an attempt failed: {}", failed.error
        );
        if failed.error.kind() == EndpointErrorKind::InvalidRequest {
            let run_state = failed.error.run_state();
            let failure = Failure::new(ResultCode::EndpointRejected, run_state);
            return Err(failure.detail(failed.error.to_string()));
        }
        let facts = self.facts(&failed).await;
        let detail = failed.error.to_string();
        let endpoint = failed.endpoint().clone();
        let now = self.core.clock.now();
        let kind = failed.error.kind();
        let is_refusal =
            matches!(kind, EndpointErrorKind::WrongVersion | EndpointErrorKind::Leaving);
        let plan = if is_refusal && !facts.was_sent {
            // A rollout brings many refusals, and they put no load on endpoints, which is what the
            // budget of the node limits. The number of attempts stays limited.
            let mut own_budget = RetryBudget::new(RetryBudgetSettings::default());
            plan_retry(&facts, &mut own_budget, now)
        } else {
            self.core.with_retry_budget(|budget| plan_retry(&facts, budget, now))
        };
        let stays = RetryTarget::SameEndpoint;
        if !facts.was_sent {
            // Nothing runs there.
        } else if matches!(plan, RetryPlan::Retry { target, .. } if target == stays) {
            // Attempts have the same request id: a later cancellation would end the next one.
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

    async fn facts(&mut self, failed: &FailedAttempt) -> AttemptFacts {
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
            min_attempt_ms: LEAST_ATTEMPT_MS,
            attempts: self.attempts,
            max_attempts: MAX_ATTEMPTS,
        }
    }

    fn count_token(&mut self) {
        let now = self.core.clock.now();
        match self.last_token.replace(now) {
            None => self.core.metrics.first_token(&self.labels, self.arrival, now),
            Some(previous) => self.core.metrics.token_gap(&self.labels, previous, now),
        }
    }
}

/// Returns whether room may come soon for a request that cannot be placed now.
fn can_wait_for(reason: NoPlacement) -> bool {
    match reason {
        NoPlacement::NoEndpoint => false,
        NoPlacement::WarmingUp | NoPlacement::Full | NoPlacement::NoSeparateEndpoint => true,
    }
}

/// Why there is no event.
enum StepError {
    /// The attempt failed; another may follow.
    Attempt(Box<FailedAttempt>),
    /// The request failed.
    Final(Failure),
}

/// Refuses a request that has crashed endpoints too often.
fn check_crash_guard(
    core: &Core,
    prompt: &PlacedPrompt,
    run_state: RunState,
) -> Result<(), Failure> {
    let FingerprintStatus::Blocked { until } = core.crash_guard.verdict(prompt.fingerprint) else {
        return Ok(());
    };
    let retry_after_ms = until.remaining_ms(core.clock.now());
    Err(Failure::new(ResultCode::RequestBlocked, run_state).retry_after_ms(retry_after_ms))
}

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

impl Drop for Run {
    fn drop(&mut self) {
        // The caller left: its run is cancelled, but began.
        if let Some((claim, _)) = self.claim.take().filter(|_| self.attempts > 0) {
            claim.record(match self.run_state() {
                RunState::Ran => OutcomeState::NotKept,
                _ => OutcomeState::Unknown,
            });
        }
        let tokens = self.progress.delivered_tokens().get();
        self.core.metrics.answer_closed(&self.labels, tokens, self.is_whole);
        let used = self.prompt.tokens + self.progress.delivered_tokens();
        self.core.limits.adjust(&self.request.organisation, self.cost, used);
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
