//! At-most-once execution of requests with an idempotency key.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_std::task;
use yuccapass_callers::Failure;
use yuccapass_decisions::ledger::{
    KeyAge, LedgerAttempt, LedgerConfig, LedgerDecision, check_key_age,
};
use yuccapass_decisions::quorum::{Outcome, OutcomeState, RequestDigest};
use yuccapass_http::sleep_until;
use yuccapass_types::{
    Clock, Deadline, IdempotencyKey, NodeId, OrganisationId, ResultCode, RunState,
};

use crate::fleet::Votes;

/// Pause before looking again at a request that runs elsewhere.
const RUNNING_PAUSE_MS: u64 = 200;

/// Largest body of a recorded outcome.
pub(crate) const MAX_OUTCOME_BYTES: usize = 64 * 1024;

/// The ledger as this node's requests see it.
pub(crate) struct Ledger {
    votes: Arc<Votes>,
    config: LedgerConfig,
    clock: Arc<dyn Clock>,
}

/// A request with a key.
#[derive(Debug, Clone)]
pub(crate) struct KeyedRequest {
    pub(crate) organisation: OrganisationId,
    pub(crate) key: IdempotencyKey,
    pub(crate) digest: RequestDigest,
    pub(crate) deadline: Deadline,
}

/// What becomes of a request with a key.
pub(crate) enum Claimed {
    /// This node runs it.
    Run(Claim),
    /// It ran before, with this outcome.
    Recorded(Outcome),
}

impl Ledger {
    pub(crate) fn new(votes: Arc<Votes>, config: LedgerConfig, clock: Arc<dyn Clock>) -> Self {
        Self { votes, config, clock }
    }

    /// Finds out whether a request may run here; waits while it runs elsewhere.
    ///
    /// # Errors
    ///
    /// Fails if it may not run; the run state is about any execution under the key.
    pub(crate) async fn claim(&self, request: &KeyedRequest) -> Result<Claimed, Failure> {
        self.check_age(&request.key)?;
        loop {
            let mut attempt = self.gather(request).await;
            let decision = attempt.decide(true, self.clock.now());
            if decision == LedgerDecision::Run {
                let votes = Arc::clone(&self.votes);
                return Ok(Claimed::Run(Claim { votes, attempt: Some(attempt) }));
            }
            let nodes = attempt.withdraw().unwrap_or_default();
            let (key, id) = (*attempt.proposal().key(), attempt.proposal().attempt().clone());
            self.votes.release(&key, &id, &nodes).await;
            match decision {
                LedgerDecision::Return(outcome) => return Ok(Claimed::Recorded(outcome)),
                LedgerDecision::Reject(rejection) => {
                    return Err(Failure::new(rejection.code, rejection.run_state));
                }
                _ => self.wait_while_running(request).await?,
            }
        }
    }

    fn check_age(&self, key: &IdempotencyKey) -> Result<(), Failure> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        match check_key_age(key, self.config.retention_ms(), now.as_millis() as u64) {
            KeyAge::Untimed | KeyAge::Fresh => Ok(()),
            KeyAge::Expired => Err(Failure::new(ResultCode::KeyExpired, RunState::Unknown)),
            KeyAge::Ahead => Err(Failure::not_run(ResultCode::InvalidHeader)
                .detail("idempotency-key: its time is ahead of this service's clock")),
        }
    }

    async fn gather(&self, request: &KeyedRequest) -> LedgerAttempt {
        let book = self.votes.book();
        let now = self.clock.now();
        let mut attempt = LedgerAttempt::new(
            &request.organisation,
            &request.key,
            request.digest,
            self.votes.next_attempt(),
            &book.list,
            self.config,
            now,
        );
        let nodes: Vec<NodeId> = attempt.panel().nodes().to_vec();
        // The zone of a request matters to permits only.
        let zone = "any".parse().expect("the text is a valid zone id");
        let ask = attempt.proposal().request(&zone);
        let clock = &self.clock;
        self.votes
            .gather(&ask, &nodes, |node, answer| {
                attempt.record_reply(node, answer);
                attempt.decide(false, clock.now()) == LedgerDecision::Wait
            })
            .await;
        attempt
    }

    async fn wait_while_running(&self, request: &KeyedRequest) -> Result<(), Failure> {
        let now = self.clock.now();
        if request.deadline.has_passed(now) {
            return Err(Failure::new(ResultCode::StillRunning, RunState::Unknown));
        }
        let pause = Deadline::after_ms(now, RUNNING_PAUSE_MS).earlier(request.deadline);
        sleep_until(&*self.clock, pause).await;
        Ok(())
    }
}

/// The right to run a request with a key once.
///
/// Dropping a claim that was not used withdraws its votes; dropping one that was used leaves the
/// votes, so that nobody runs the request again.
pub(crate) struct Claim {
    votes: Arc<Votes>,
    attempt: Option<LedgerAttempt>,
}

impl Claim {
    /// Notes that the request is sent now; returns false if it must not be.
    #[must_use]
    pub(crate) fn start_sending(&mut self, clock: &dyn Clock) -> bool {
        self.attempt.as_mut().is_some_and(|attempt| attempt.start_sending(clock.now()))
    }

    /// Records how the request ended.
    pub(crate) fn record(mut self, outcome: OutcomeState) {
        let Some(attempt) = self.attempt.take() else { return };
        let votes = Arc::clone(&self.votes);
        task::spawn(async move {
            let proposal = attempt.proposal();
            let nodes = attempt.panel().nodes().to_vec();
            votes.record(proposal.key(), proposal.attempt(), outcome, &nodes).await;
        });
    }

    /// Gives the right back, because the request certainly did not run.
    pub(crate) fn release_not_run(mut self) {
        if let Some(mut attempt) = self.attempt.take() {
            let nodes = attempt.withdraw_without_effect();
            spawn_release(&self.votes, &attempt, nodes);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(mut attempt) = self.attempt.take()
            && let Some(nodes) = attempt.withdraw()
        {
            spawn_release(&self.votes, &attempt, nodes);
        }
    }
}

fn spawn_release(votes: &Arc<Votes>, attempt: &LedgerAttempt, nodes: Vec<NodeId>) {
    let votes = Arc::clone(votes);
    let (key, id) = (*attempt.proposal().key(), attempt.proposal().attempt().clone());
    task::spawn(async move { votes.release(&key, &id, &nodes).await });
}
