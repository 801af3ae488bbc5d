//! The errors that callers receive.

use http_types::{Response, StatusCode};
use serde_json::json;
use snafu::Snafu;
use yuccapass_types::{RequestId, ResultCode, RunState};

/// Why a request failed, and whether it ran.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code} {}, {run_state}: {detail}", code.kind()))]
pub struct Failure {
    /// The numbered code.
    pub code: ResultCode,
    /// Whether the request ran.
    pub run_state: RunState,
    /// Milliseconds after which the caller may send the request again.
    pub retry_after_ms: Option<u64>,
    /// What exactly was wrong; empty if the code says enough.
    pub detail: String,
}

impl Failure {
    /// Creates a failure of a request that was certainly not run.
    pub fn not_run(code: ResultCode) -> Self {
        Self { code, run_state: RunState::NotRun, retry_after_ms: None, detail: String::new() }
    }

    /// Creates a failure with a run state.
    pub fn new(code: ResultCode, run_state: RunState) -> Self {
        Self { run_state, ..Self::not_run(code) }
    }

    /// Adds what exactly was wrong.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds the time after which the caller may send the request again.
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Returns the failure as JSON, in the error format of the OpenAI API with additional fields.
    pub fn to_json(&self, request_id: Option<&RequestId>) -> String {
        let message = match self.detail.is_empty() {
            true => self.code.text().to_owned(),
            false => format!("{} ({})", self.code.text(), self.detail),
        };
        json!({
            "error": {
                "message": message,
                "type": self.code.kind(),
                "code": self.code.to_string(),
                "run_state": self.run_state.to_string(),
                "request_id": request_id.map(RequestId::as_str),
            }
        })
        .to_string()
    }

    /// Returns the failure as a response.
    pub fn to_response(&self, request_id: &RequestId) -> Response {
        let mut response = Response::new(status_of(self.code));
        response.insert_header("content-type", "application/json");
        response.insert_header("x-request-id", request_id.as_str());
        response.insert_header("x-run-state", self.run_state.to_string());
        if let Some(ms) = self.retry_after_ms {
            // The header is in whole seconds; rounding down would make callers retry too early.
            response.insert_header("retry-after", ms.div_ceil(1000).to_string());
        }
        response.set_body(self.to_json(Some(request_id)));
        response
    }
}

/// Returns the HTTP status of a code.
pub fn status_of(code: ResultCode) -> StatusCode {
    use ResultCode as Code;
    match code {
        Code::InvalidRequest | Code::InvalidHeader | Code::InvalidCommand => StatusCode::BadRequest,
        Code::BodyTooLarge | Code::PromptTooLong => StatusCode::PayloadTooLarge,
        Code::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
        Code::Unauthorised => StatusCode::Unauthorized,
        Code::NotApproved => StatusCode::Forbidden,
        Code::ModelNotFound | Code::NotFound | Code::ServiceNotFound => StatusCode::NotFound,
        Code::MethodNotAllowed => StatusCode::MethodNotAllowed,
        Code::RequestTimeout => StatusCode::RequestTimeout,
        Code::QueueFull | Code::LimitReached => StatusCode::TooManyRequests,
        Code::DeadlinePassed | Code::EndpointTimeout => StatusCode::GatewayTimeout,
        Code::EndpointFailed | Code::StreamCut | Code::EndpointRejected => StatusCode::BadGateway,
        Code::OutcomeUnknown
        | Code::StillRunning
        | Code::KeyExpired
        | Code::KeyReused
        | Code::Conflict => StatusCode::Conflict,
        Code::RequestBlocked | Code::InvalidConfiguration => StatusCode::UnprocessableEntity,
        Code::Internal => StatusCode::InternalServerError,
        _ => StatusCode::ServiceUnavailable,
    }
}
