//! Sends all requests of a run, open loop: a slow answer does not delay later requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use serde_json::{Value, json};
use yuccapass_openai::{Api, prompt_bytes};
use yuccapass_types::{OrganisationId, Sharded, SortedMap, WeightVersion};

use super::caller::{Call, CallResult, Caller};
use super::check::{Violation, ViolationKind, check_answer, request_history};
use super::conversation::{Conversation, pseudorandom_text};
use super::expectation::{AnswerIndex, Expectation};
use super::record::{Outcome, RequestRecord};
use super::schedule::PlannedTurn;
use super::workload::Workload;

/// The settings of a run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// The settings of the requests.
    pub workload: Workload,
    /// The seed.
    pub seed: u64,
    /// Prefix of all markers and idempotency keys, which must differ between runs against the same
    /// deployment.
    pub run_id: String,
    /// Weight versions that may answer.
    pub versions: Vec<WeightVersion>,
    /// Number of nodes that the caller sends to.
    pub node_count: usize,
    /// Whether broken connections are expected because the run ends or pauses processes.
    pub expects_broken_connections: bool,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct RunOutput {
    /// All requests.
    pub records: Vec<RequestRecord>,
    /// Violations that are found in the answers alone, without the engines' journals.
    pub violations: Vec<Violation>,
}

/// A run in progress.
pub struct Driver {
    config: RunConfig,
    caller: Arc<dyn Caller>,
    start: Instant,
    organisations: Vec<OrganisationId>,
    conversations: Sharded<SortedMap<u32, Conversation>>,
    answer_index: AnswerIndex,
    output: Sharded<RunOutput>,
}

impl Driver {
    /// Prepares a run that starts at `start`.
    pub fn new(config: RunConfig, caller: Arc<dyn Caller>, start: Instant) -> Arc<Self> {
        let organisations = config.workload.organisations.iter();
        Arc::new(Self {
            organisations: organisations.map(|item| item.id.clone()).collect(),
            config,
            caller,
            start,
            conversations: Sharded::default(),
            answer_index: AnswerIndex::default(),
            output: Sharded::default(),
        })
    }

    /// Sends all requests at their scheduled times and waits until all have ended.
    pub async fn run(self: &Arc<Self>, turns: Vec<PlannedTurn>) -> RunOutput {
        let mut handles: Vec<JoinHandle<()>> = Vec::with_capacity(turns.len());
        for turn in turns {
            self.sleep_until_us(turn.at_us).await;
            handles.push(task::spawn(Arc::clone(self).run_turn(turn)));
        }
        for handle in handles {
            handle.await;
        }
        let mut all = self.output.fold(RunOutput::default(), |mut all, shard| {
            all.records.append(&mut shard.records);
            all.violations.append(&mut shard.violations);
            all
        });
        all.records.sort_by_key(|record| record.scheduled_us);
        all
    }

    /// Sends the request of a turn and its resend, if any, and adds the answer to the conversation.
    async fn run_turn(self: Arc<Self>, turn: PlannedTurn) {
        let body = self.build_body(&turn);
        let Some(prompt) = prompt_bytes(Api::Chat, &body) else { return };
        let expectation = Arc::new(self.build_expectation(&turn, prompt));
        for digest in expectation.digests() {
            self.answer_index.insert(&digest, &expectation.marker);
        }
        let resend_task = turn.resend_after_us.map(|after_us| {
            let captured =
                (Arc::clone(&self), turn.clone(), body.clone(), Arc::clone(&expectation));
            task::spawn(async move {
                let (driver, turn, body, expectation) = captured;
                let at_us = turn.at_us + after_us;
                driver.sleep_until_us(at_us).await;
                driver.send(&turn, body, &expectation, at_us, true).await;
            })
        });
        let text = self.send(&turn, body, &expectation, turn.at_us, false).await;
        if let Some(text) = text {
            self.conversations.with(&turn.conversation, |shard| {
                if let Some(conversation) = shard.get_mut(&turn.conversation) {
                    conversation.add_answer(turn.turn, text);
                }
            });
        }
        if let Some(resend_task) = resend_task {
            resend_task.await;
        }
    }

    /// Sends a request once and records the result; returns the text of a complete, correct answer.
    async fn send(
        &self,
        turn: &PlannedTurn,
        body: Value,
        expectation: &Expectation,
        scheduled_us: u64,
        is_resent: bool,
    ) -> Option<String> {
        let call = self.build_call(turn, body, &expectation.marker, is_resent);
        let sent_us = self.elapsed_us();
        let result = self.caller.call(&call).await;
        let record = self.build_record(turn, &call, result, expectation, (scheduled_us, sent_us));
        let record = RequestRecord { is_resent, ..record };
        let violation = self.check_record(&record, expectation);
        if let Some(violation) = &violation {
            eprintln!("violation: {violation}");
        }
        let is_good = record.outcome == Outcome::Answered && violation.is_none();
        let text = is_good.then(|| record.text.clone());
        self.output.with(&turn.number, |shard| {
            shard.records.push(record);
            shard.violations.extend(violation);
        });
        text
    }

    /// Adds the question of a turn to its conversation and returns the request body.
    fn build_body(&self, turn: &PlannedTurn) -> Value {
        let workload = &self.config.workload;
        let organisation = &self.organisations[turn.organisation];
        let (seed, marker) = (self.config.seed, self.marker(turn));
        let question =
            pseudorandom_text(seed, &format!("question {}", turn.number), turn.question_bytes);
        let messages = self.conversations.with(&turn.conversation, |shard| {
            let conversation = shard.get_or_insert_with(turn.conversation, Conversation::default);
            let name = format!("instructions {organisation}");
            conversation.set_instructions(pseudorandom_text(
                seed,
                &name,
                workload.instruction_bytes,
            ));
            conversation.add_question(turn.turn, format!("{question} [[{marker}]]"))
        });
        json!({
            "model": self.model(turn),
            "messages": messages,
            "max_tokens": turn.answer_tokens.get(),
            "stream": true,
        })
    }

    fn build_expectation(&self, turn: &PlannedTurn, prompt: Vec<u8>) -> Expectation {
        Expectation {
            marker: self.marker(turn),
            organisation: self.organisations[turn.organisation].clone(),
            model: self.model(turn).clone(),
            versions: self.config.versions.clone(),
            prompt,
            length_tokens: turn.answer_tokens.get(),
        }
    }

    fn build_call(&self, turn: &PlannedTurn, body: Value, marker: &str, is_resent: bool) -> Call {
        let workload = &self.config.workload;
        let class = &workload.classes[turn.class];
        Call {
            body,
            key: workload.organisations[turn.organisation].key(),
            class: class.id.clone(),
            idempotency_key: (!turn.is_repeatable).then(|| format!("key-{marker}")),
            is_repeatable: turn.is_repeatable,
            deadline_ms: class.deadline_ms,
            first_node: (turn.number as usize + usize::from(is_resent)) % self.config.node_count,
        }
    }

    fn build_record(
        &self,
        turn: &PlannedTurn,
        call: &Call,
        result: CallResult,
        expectation: &Expectation,
        (scheduled_us, sent_us): (u64, u64),
    ) -> RequestRecord {
        RequestRecord {
            marker: expectation.marker.clone(),
            is_resent: false,
            organisation: expectation.organisation.clone(),
            class: call.class.clone(),
            is_repeatable: turn.is_repeatable,
            idempotency_key: call.idempotency_key.clone(),
            nodes: result.nodes,
            request_id: result.request_id,
            scheduled_us,
            sent_us,
            token_times_us: result.token_times_us,
            end_us: self.elapsed_us(),
            text: result.text,
            deadline_ms: call.deadline_ms,
            outcome: result.outcome,
        }
    }

    /// Checks a record on its own, without the engines' journals.
    fn check_record(&self, record: &RequestRecord, expectation: &Expectation) -> Option<Violation> {
        let is_complete = record.outcome == Outcome::Answered;
        let (text, answer_index) = (&record.text, &self.answer_index);
        let wrong = check_answer(text, is_complete, expectation, answer_index, &self.organisations);
        let (kind, detail) = wrong.or_else(|| match &record.outcome {
            Outcome::Broken { detail } if !self.config.expects_broken_connections => {
                Some((ViolationKind::UnannouncedEnd, detail.clone()))
            }
            _ => None,
        })?;
        let story = request_history(&[record], &[]);
        Some(Violation { kind, subject: record.marker.clone(), detail, story })
    }

    fn marker(&self, turn: &PlannedTurn) -> String {
        format!("{}-{}", self.config.run_id, turn.number)
    }

    fn model(&self, turn: &PlannedTurn) -> &yuccapass_types::ModelId {
        let workload = &self.config.workload;
        if turn.is_ledger { &workload.ledger_model } else { &workload.chat_model }
    }

    async fn sleep_until_us(&self, at_us: u64) {
        let wait_us = at_us.saturating_sub(self.elapsed_us());
        if wait_us > 0 {
            task::sleep(Duration::from_micros(wait_us)).await;
        }
    }

    fn elapsed_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
}
