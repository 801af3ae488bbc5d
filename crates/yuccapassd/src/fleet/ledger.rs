//! At-most-once execution of requests with an idempotency key, by majority votes.

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

/// Interval between checks of a request that is running on another node.
const RUNNING_POLL_MS: u64 = 200;

/// Maximum size of the response body in a recorded outcome.
pub(crate) const MAX_OUTCOME_BYTES: usize = 64 * 1024;

/// Claims idempotency keys for the requests of this node.
pub(crate) struct Ledger {
    votes: Arc<Votes>,
    config: LedgerConfig,
    clock: Arc<dyn Clock>,
}

/// A request with an idempotency key.
#[derive(Debug, Clone)]
pub(crate) struct KeyedRequest {
    pub(crate) organisation: OrganisationId,
    pub(crate) key: IdempotencyKey,
    pub(crate) digest: RequestDigest,
    pub(crate) deadline: Deadline,
}

/// The result of claiming an idempotency key.
pub(crate) enum ClaimResult {
    /// This node may execute the request.
    Run(Claim),
    /// The request was executed before, with this outcome.
    Recorded(Outcome),
}

impl Ledger {
    pub(crate) fn new(votes: Arc<Votes>, config: LedgerConfig, clock: Arc<dyn Clock>) -> Self {
        Self { votes, config, clock }
    }

    /// Claims the key of a request, waiting while a request with the same key runs elsewhere.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be executed. The run state of the failure covers every request
    /// with this key, not only this one.
    pub(crate) async fn claim(&self, request: &KeyedRequest) -> Result<ClaimResult, Failure> {
        self.check_age(&request.key)?;
        loop {
            let mut attempt = self.collect_votes(request).await;
            let decision = attempt.decide(true, self.clock.now());
            if decision == LedgerDecision::Run {
                let votes = Arc::clone(&self.votes);
                return Ok(ClaimResult::Run(Claim { votes, attempt: Some(attempt) }));
            }
            let nodes = attempt.withdraw().unwrap_or_default();
            let (key, id) = (*attempt.proposal().key(), attempt.proposal().attempt().clone());
            self.votes.release(&key, &id, &nodes).await;
            match decision {
                LedgerDecision::Return(outcome) => return Ok(ClaimResult::Recorded(outcome)),
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

    async fn collect_votes(&self, request: &KeyedRequest) -> LedgerAttempt {
        let directory = self.votes.directory();
        let now = self.clock.now();
        let mut attempt = LedgerAttempt::new(
            &request.organisation,
            &request.key,
            request.digest,
            self.votes.next_attempt(),
            &directory.list,
            self.config,
            now,
        );
        let nodes: Vec<NodeId> = attempt.panel().nodes().to_vec();
        // Only votes for permits depend on the zone.
        let zone = "any".parse().expect("the text is a valid zone id");
        let vote_request = attempt.proposal().request(&zone);
        let clock = &self.clock;
        self.votes
            .collect(&vote_request, &nodes, |node, reply| {
                attempt.record_reply(node, reply);
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
        let pause = Deadline::after_ms(now, RUNNING_POLL_MS).earlier(request.deadline);
        sleep_until(&*self.clock, pause).await;
        Ok(())
    }
}

/// Permission to execute a request with an idempotency key once.
///
/// Dropping a claim before sending started releases its votes. Dropping it later keeps the votes,
/// so that no node executes the request again.
pub(crate) struct Claim {
    votes: Arc<Votes>,
    attempt: Option<LedgerAttempt>,
}

impl Claim {
    /// Marks the request as being sent. Returns false if it must not be sent any more.
    #[must_use]
    pub(crate) fn start_sending(&mut self, clock: &dyn Clock) -> bool {
        self.attempt.as_mut().is_some_and(|attempt| attempt.start_sending(clock.now()))
    }

    /// Records the outcome of the request with the voters.
    pub(crate) fn record(mut self, outcome: OutcomeState) {
        let Some(attempt) = self.attempt.take() else { return };
        let votes = Arc::clone(&self.votes);
        task::spawn(async move {
            let proposal = attempt.proposal();
            let nodes = attempt.panel().nodes().to_vec();
            votes.record(proposal.key(), proposal.attempt(), outcome, &nodes).await;
        });
    }

    /// Releases the claim of a request that is known not to have been executed.
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

/// Releases votes in the background.
fn spawn_release(votes: &Arc<Votes>, attempt: &LedgerAttempt, nodes: Vec<NodeId>) {
    let votes = Arc::clone(votes);
    let (key, id) = (*attempt.proposal().key(), attempt.proposal().attempt().clone());
    task::spawn(async move { votes.release(&key, &id, &nodes).await });
}
