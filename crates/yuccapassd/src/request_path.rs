//! From a caller's request to its answer.

use std::sync::Arc;

use async_trait::async_trait;
use yuccapass_callers::{
    AnswerStream, Failure, GenerationRequest, RequestHandler, ServiceRequest, ServiceResponse,
};
use yuccapass_decisions::answer::AnswerProgress;
use yuccapass_decisions::config::{Document, Endpoint, ZoneState};
use yuccapass_endpoints::{EndpointError, EndpointErrorKind, GenerateRequest};
use yuccapass_types::{
    CacheSalt, Clock, KeyHash, ModelId, OrganisationId, ResultCode, RunState, Tokens,
};

use crate::answer::Answer;
use crate::configuration::Configuration;
use crate::endpoint_table::EndpointTable;

/// Serves callers from the endpoints of the configuration in force.
pub(crate) struct RequestPath {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) stall_timeout_ms: u64,
}

impl RequestPath {
    fn choose_endpoint<'a>(
        &self,
        document: &'a Document,
        model: &'a ModelId,
    ) -> Option<&'a Endpoint> {
        document
            .endpoints_of(model)
            .filter(|endpoint| accepts_work(document, endpoint))
            .min_by_key(|endpoint| self.endpoints.in_flight_requests(&endpoint.id))
    }
}

/// Returns whether operators let an endpoint have new work.
fn accepts_work(document: &Document, endpoint: &Endpoint) -> bool {
    let zone = document.zone(&endpoint.zone);
    !endpoint.leaving && zone.is_some_and(|zone| zone.state == ZoneState::In)
}

#[async_trait]
impl RequestHandler for RequestPath {
    fn authenticate(&self, key: KeyHash) -> Option<OrganisationId> {
        let active = self.configuration.active();
        active.organisation_of_key(key).map(|organisation| organisation.id.clone())
    }

    fn models(&self, organisation: &OrganisationId) -> Vec<ModelId> {
        let active = self.configuration.active();
        let organisation = active.document.organisation(organisation);
        organisation.map(|organisation| organisation.models.clone()).unwrap_or_default()
    }

    async fn generate(&self, request: GenerationRequest) -> Result<Box<dyn AnswerStream>, Failure> {
        let active = self.configuration.active();
        let document = &active.document;
        let model = document
            .model(&request.model)
            .ok_or_else(|| Failure::not_run(ResultCode::ModelNotFound))?;
        let is_approved = document
            .organisation(&request.organisation)
            .is_some_and(|organisation| organisation.may_use_model(&request.model));
        if !is_approved {
            return Err(Failure::not_run(ResultCode::NotApproved));
        }
        let endpoint = self
            .choose_endpoint(document, &request.model)
            .ok_or_else(|| Failure::not_run(ResultCode::NoEndpoint))?;
        let class = request.class.as_ref().and_then(|class| document.class(class));
        let adapter = model.adapter.as_ref();
        let salt =
            CacheSalt::derive(&request.organisation, &request.model, &model.version, adapter);
        let attempt = GenerateRequest {
            request_id: request.request_id.clone(),
            attempt: 1,
            api: request.api,
            body: Arc::clone(&request.body),
            priority: class.map_or(0, |class| class.priority),
            deadline: request.deadline,
            salt,
            version: model.version.clone(),
            adapter: model.adapter.clone(),
            resume_offset_tokens: Tokens::ZERO,
            needs_new_connection: !request.is_repeatable,
        };
        let in_flight = self.endpoints.begin(endpoint);
        let stream = in_flight.client().generate(&attempt).await.map_err(failure)?;
        let mut answer = Answer {
            stream,
            progress: AnswerProgress::default(),
            first: None,
            deadline: request.deadline,
            stall_timeout_ms: self.stall_timeout_ms,
            clock: Arc::clone(&self.clock),
            _in_flight: in_flight,
        };
        answer.first = answer.next_token().await.map_err(failure)?;
        Ok(Box::new(answer))
    }

    async fn call_service(&self, _request: ServiceRequest) -> Result<ServiceResponse, Failure> {
        Err(Failure::not_run(ResultCode::ServiceNotFound))
    }
}

fn failure(error: EndpointError) -> Failure {
    let code = match error.kind() {
        EndpointErrorKind::Timeout => ResultCode::EndpointTimeout,
        EndpointErrorKind::InvalidRequest => ResultCode::EndpointRejected,
        _ => ResultCode::EndpointFailed,
    };
    let run_state: RunState = error.run_state();
    Failure::new(code, run_state).detail(error.to_string())
}
