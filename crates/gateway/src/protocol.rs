//! The traits that a platform's adapter implements.
//!
//! They translate between the messages of a platform and the types of this crate, and make no
//! decisions.

use smol_str::SmolStr;
use snafu::Snafu;
use yuccapass_decisions::gateway::{
    Configuration, EndpointNotice, EndpointRecord, EngineReport, LoadReport, PartEvents,
    PartTransfers, Priority, PromptPart,
};
use yuccapass_http::message::{RequestHead, ResponseHead};
use yuccapass_platform::{Key, Value};
use yuccapass_types::{
    CacheNamespace, EndpointId, FencingNumber, Instant, KeyHash, ModelId, NodeId, OrganisationId,
    PromptPartId, RequestId, ServiceId, SoftwareVersion, Tokens, WeightRevision, ZoneId,
};

/// The contents of the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// The caller's id for this attempt.
    pub id: SmolStr,
    /// The hash of its API key.
    pub key: Option<KeyHash>,
    /// How long the caller waits, in milliseconds from the arrival of the request.
    pub wait_ms: Option<u64>,
    /// The model that it is for, if it names one.
    pub model: Option<ModelId>,
    /// The parts of its prompt in order; empty if it has none.
    pub parts: Vec<PromptPart>,
    /// Id of the event after which a stream is to continue.
    pub resume_after: Option<SmolStr>,
    /// The caller's id for the attempt that brought the first event of that stream.
    pub resumed: Option<RequestId>,
    /// Length of the prompt.
    pub prompt_tokens: Option<Tokens>,
    /// Maximum length of the output.
    pub max_output_tokens: Option<Tokens>,
    /// The caller's estimate of the length of the output, which may be far off.
    pub output_hint_tokens: Option<Tokens>,
    /// How many attempts may have run the request, if it comes from another node that has lost its links to the
    /// endpoints; `None` if it comes from its caller.
    pub detoured_runs: Option<u32>,
}

/// The error for a caller's header with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {header} {problem}"))]
pub struct InvalidRequest {
    /// The name of the header.
    pub header: &'static str,
    /// What is wrong with its value.
    pub problem: SmolStr,
}

/// What the headers of a forwarded request tell the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Forwarding<'a> {
    /// The endpoint that must run the request. Another process at its address must refuse it.
    pub endpoint: &'a EndpointId,
    /// The organisation of the caller.
    pub organisation: Option<&'a OrganisationId>,
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// Priority among the requests of the endpoint.
    pub priority: Option<Priority>,
    /// The cache namespace of its prompt parts; the default namespace if `None`.
    pub namespace: Option<&'a CacheNamespace>,
    /// The weights that the endpoint must run it with.
    pub weights: Option<WeightRevision>,
    /// The prompt parts that the endpoint fetches and saves.
    pub transfers: Option<&'a PartTransfers>,
    /// Id of the event after which the stream is to continue.
    pub resume_after: Option<&'a str>,
}

/// What the headers of a request tell another node that is to serve it.
#[derive(Debug, Clone, Copy)]
pub struct Detour<'a> {
    /// How many attempts may have run the request before.
    pub runs: u32,
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// Id of the event after which the stream is to continue.
    pub resume_after: Option<&'a str>,
    /// The caller's id for the attempt that brought the first event of that stream.
    pub resumed: Option<&'a RequestId>,
}

/// The contents of the head of an endpoint's answer.
#[derive(Debug, Clone, Default)]
pub struct EndpointAnswer {
    /// The id of the request that is answered.
    pub request_id: Option<SmolStr>,
    /// Whether the endpoint reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the answer carries the endpoint's signature.
    pub is_signed: bool,
    /// The endpoint's load.
    pub load: Option<LoadReport>,
    /// The weights that the endpoint serves.
    pub weights: Option<WeightRevision>,
    /// What the endpoint says about itself; `None` if the answer is not about the endpoint that was
    /// asked, or cannot be read.
    pub notice: Option<EndpointNotice>,
}

/// Encodes and decodes the messages of callers and endpoints.
pub trait Protocol: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header has an invalid value.
    fn caller_request(&self, head: &RequestHead) -> Result<CallerRequest, InvalidRequest>;

    /// Writes the header lines of a request to an endpoint: those of the caller, except the ones
    /// that only the gateway may set, and those for `forwarding`. Framing and connection headers
    /// are left to the caller of this method.
    fn write_request_headers(
        &self,
        head: &RequestHead,
        forwarding: &Forwarding<'_>,
        out: &mut Vec<u8>,
    );

    /// Writes the header lines of a request to another node: those of the caller, and those for `detour`.
    fn write_detour_headers(&self, head: &RequestHead, detour: &Detour<'_>, out: &mut Vec<u8>);

    /// Decodes the head of an endpoint's answer.
    fn endpoint_answer(&self, head: &ResponseHead) -> EndpointAnswer;

    /// Writes the header lines that relate an error answer of the gateway to its request.
    fn write_refusal_headers(&self, request: &CallerRequest, out: &mut Vec<u8>);
}

/// An order of operators to move a service to another version of its software.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRequest {
    /// The version.
    pub target: SoftwareVersion,
    /// The time within which the order is to be completed.
    pub duration_ms: u64,
}

/// What operators are told about an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The state of the order.
    pub state: RolloutState,
    /// The version that it moves to.
    pub target: SoftwareVersion,
}

/// The state of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The order is under way.
    Running,
    /// The old endpoints get nothing more and have no requests left.
    Completed,
    /// The new endpoints get nothing more.
    RolledBack,
}

/// Encodes what operators are told in the platform's key-value service.
pub trait StatusEncoder: Send + Sync {
    /// Encodes the status of a service's roll-out as an entry.
    ///
    /// # Errors
    ///
    /// Fails if the key or the value would be too long.
    fn rollout_status(
        &self,
        service: &ServiceId,
        status: &RolloutStatus,
    ) -> Result<(Key, Value), DecodeError>;
}

/// A decoded entry of the platform's key-value service, or its removal.
#[derive(Debug, Clone)]
pub enum EntryChange {
    /// A configuration.
    Configuration(Box<Configuration>),
    /// A zone was evacuated, or its evacuation has ended.
    Evacuation {
        /// The zone.
        zone: ZoneId,
        /// Whether it is evacuated.
        is_evacuated: bool,
    },
    /// Operators have set the target weights of a model.
    Weights {
        /// The model.
        model: ModelId,
        /// The target weights.
        weights: WeightRevision,
    },
    /// Operators have ordered a roll-out, or have deleted the order.
    Rollout {
        /// The service.
        service: ServiceId,
        /// The order; `None` if it was deleted.
        request: Option<RolloutRequest>,
    },
    /// An endpoint has changed its registration, or has left.
    Endpoint {
        /// The endpoint.
        id: EndpointId,
        /// Its registration; `None` if it has left.
        record: Option<EndpointRecord>,
    },
    /// An entry or a removal that has no effect on the gateway.
    Ignored,
}

/// The error for an entry or body that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{key}: {problem}"))]
pub struct DecodeError {
    /// The key of the entry, or the kind of the body.
    pub key: SmolStr,
    /// What is wrong.
    pub problem: String,
}

/// Decodes the entries of the platform's key-value service.
pub trait EntryDecoder: Send + Sync {
    /// Returns the prefix of the keys of operator settings.
    fn operator_prefix(&self) -> &Key;

    /// Returns the prefix of the keys of endpoints.
    fn endpoint_prefix(&self) -> &Key;

    /// Decodes an entry that was read at `now`, or its removal if `value` is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the key or the value is invalid.
    fn decode(
        &self,
        key: &Key,
        value: Option<&Value>,
        now: Instant,
    ) -> Result<EntryChange, DecodeError>;
}

/// An order to an endpoint to swap weights.
#[derive(Debug, Clone)]
pub struct WeightOrder<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// The model.
    pub model: &'a ModelId,
    /// The weights that it is to serve.
    pub weights: WeightRevision,
    /// The node that gives the order as the leader.
    pub holder: &'a NodeId,
    /// The fencing number of the leader; it grows with each new one.
    pub fencing: FencingNumber,
    /// The number of orders that the endpoint must have accepted before; otherwise it declines.
    pub after_orders: u64,
}

/// The answer of an endpoint to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is being carried out, or has no effect because the weights are already served.
    Accepted,
    /// Another order is in progress, or was accepted since the report.
    Declined,
    /// The endpoint has accepted an order with a larger fencing number.
    Fenced,
    /// The endpoint cannot carry out the order.
    Invalid,
}

/// Encodes the requests to model engines and decodes their answers.
pub trait EngineProtocol: Send + Sync {
    /// Encodes a complete request for the state of an engine.
    fn report_request(&self, endpoint: &EndpointId) -> Vec<u8>;

    /// Decodes the state of an engine.
    ///
    /// # Errors
    ///
    /// Fails if the body is invalid.
    fn decode_report(&self, model: &ModelId, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Encodes a complete order request.
    fn order_request(&self, order: &WeightOrder<'_>) -> Vec<u8>;

    /// Decodes the status of the answer to an order.
    fn order_outcome(&self, status: u16) -> OrderOutcome;
}

/// Encodes the requests to stores of prompt parts and decodes their answers.
pub trait PartStoreProtocol: Send + Sync {
    /// Encodes a complete request for the events from position `next` on. The store delays its
    /// answer for `wait_ms` if there are none.
    fn events_request(&self, next: u64, wait_ms: u64) -> Vec<u8>;

    /// Decodes events.
    ///
    /// # Errors
    ///
    /// Fails if the body is invalid.
    fn decode_events(&self, body: &[u8]) -> Result<PartEvents, DecodeError>;

    /// Encodes a complete request to free parts, which is valid in one epoch of the store only.
    fn free_request(&self, epoch: u64, parts: &[(CacheNamespace, PromptPartId)]) -> Vec<u8>;
}
