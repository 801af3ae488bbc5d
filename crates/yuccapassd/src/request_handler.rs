//! Handles the requests of callers, and holds the state that they share.

use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use yuccapass_callers::{
    AnswerStream, Failure, GenerationRequest, RequestHandler, ServiceRequest, ServiceResponse,
};
use yuccapass_decisions::admission::limits::{LimitDecision, OrganisationLimits, ZoneLimit};
use yuccapass_decisions::config::Document;
use yuccapass_decisions::quorum::RequestDigest;
use yuccapass_decisions::retry::RetryBudget;
use yuccapass_types::{Clock, KeyHash, ModelId, OrganisationId, ResultCode, TokensPerSecond};

use crate::admission::Admission;
use crate::configuration::Configuration;
use crate::crash_guard::SharedCrashGuard;
use crate::endpoint_table::EndpointTable;
use crate::fleet::ledger::{ClaimResult, KeyedRequest, Ledger};
use crate::fleet::permits::Permits;
use crate::fleet::{Members, Votes};
use crate::generation::GenerationRun;
use crate::metrics::Metrics;
use crate::placer::Placer;
use crate::prefix_cache_view::PrefixCacheView;
use crate::recorded_answer::RecordedAnswer;
use crate::services::{self, ServiceTable};
use crate::transfer::Transfer;

/// State of a node that its requests and background tasks share.
pub(crate) struct Core {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) prefix_caches: Arc<PrefixCacheView>,
    pub(crate) crash_guard: Arc<SharedCrashGuard>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) placer: Placer,
    pub(crate) transfer: Arc<Transfer>,
    pub(crate) admission: Admission,
    pub(crate) limits: OrganisationLimits,
    pub(crate) members: Arc<Members>,
    pub(crate) votes: Arc<Votes>,
    pub(crate) ledger: Ledger,
    pub(crate) permits: Arc<Permits>,
    pub(crate) services: ServiceTable,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) stall_timeout_ms: u64,
}

impl Core {
    pub(crate) fn with_retry_budget<R>(&self, action: impl FnOnce(&mut RetryBudget) -> R) -> R {
        action(&mut self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Checks a request against its organisation's rate limit, which all nodes of the zone share.
    fn check_limit(&self, run: &GenerationRun, limit: TokensPerSecond) -> Result<(), Failure> {
        let limit = ZoneLimit { limit, nodes: self.zone_node_count() };
        let now = self.clock.now();
        match self.limits.try_admit(run.organisation(), limit, run.cost(), now) {
            LimitDecision::Admitted => Ok(()),
            LimitDecision::Rejected { retry_after_ms } => {
                Err(Failure::not_run(ResultCode::LimitReached).retry_after_ms(retry_after_ms))
            }
        }
    }

    /// Returns the number of alive or suspect nodes in the zone, including this one.
    fn zone_node_count(&self) -> u32 {
        self.members.zone_node_count()
    }
}

/// Serves callers with the endpoints and services of the active configuration.
pub(crate) struct CallerHandler {
    core: Arc<Core>,
}

impl CallerHandler {
    pub(crate) fn new(core: Arc<Core>) -> Self {
        Self { core }
    }
}

#[async_trait]
impl RequestHandler for CallerHandler {
    fn authenticate(&self, key: KeyHash) -> Option<OrganisationId> {
        let active = self.core.configuration.active();
        active.organisation_of_key(key).map(|organisation| organisation.id.clone())
    }

    fn models(&self, organisation: &OrganisationId) -> Vec<ModelId> {
        let active = self.core.configuration.active();
        let organisation = active.document().organisation(organisation);
        organisation.map(|organisation| organisation.models.clone()).unwrap_or_default()
    }

    fn record_failure(&self, failure: &Failure) {
        self.core.metrics.record_failure(failure.code, failure.run_state);
    }

    async fn generate(&self, request: GenerationRequest) -> Result<Box<dyn AnswerStream>, Failure> {
        let arrival = self.core.clock.now();
        let active = self.core.configuration.active();
        let limit = check_approved(active.document(), &request)?;
        let keyed = keyed_request(&request);
        let mut run = GenerationRun::new(Arc::clone(&self.core), &active, request, arrival)?;
        self.core.check_limit(&run, limit)?;
        if let Some(keyed) = keyed {
            match self.core.ledger.claim(&keyed).await? {
                ClaimResult::Recorded(outcome) => {
                    return Ok(Box::new(RecordedAnswer::new(&outcome)));
                }
                ClaimResult::Run(claim) => run.set_claim(claim),
            }
        }
        Ok(Box::new(run.await_first_token().await?))
    }

    async fn call_service(&self, request: ServiceRequest) -> Result<ServiceResponse, Failure> {
        services::call(&self.core, request).await
    }
}

/// Returns the idempotency key and digest of a request, if it has a key and is not repeatable.
fn keyed_request(request: &GenerationRequest) -> Option<KeyedRequest> {
    let key = request.idempotency_key.clone().filter(|_| !request.is_repeatable)?;
    Some(KeyedRequest {
        organisation: request.organisation.clone(),
        key,
        digest: RequestDigest::of_request("POST", request.api.path(), &request.body),
        deadline: request.deadline,
    })
}

/// Checks that an organisation is approved for a model; returns its token rate limit.
fn check_approved(
    document: &Document,
    request: &GenerationRequest,
) -> Result<TokensPerSecond, Failure> {
    if document.model(&request.model).is_none() {
        return Err(Failure::not_run(ResultCode::ModelNotFound));
    }
    let organisation = document.organisation(&request.organisation);
    organisation
        .filter(|organisation| organisation.may_use_model(&request.model))
        .map(|organisation| organisation.limit_tokens_per_s)
        .ok_or_else(|| Failure::not_run(ResultCode::NotApproved))
}
