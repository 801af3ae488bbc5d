//! The trait objects at the border to a platform.
//!
//! They translate between the messages of a platform and the types of this product, and decide
//! nothing.

use smol_str::SmolStr;
use snafu::Snafu;
use yuccapass_decisions::gateway::{
    Configuration, EndpointRecord, EngineReport, LoadReport, PartEvents, PartTransfers, Priority,
    PromptPart,
};
use yuccapass_http::message::{RequestHead, ResponseHead};
use yuccapass_platform::{Key, Value};
use yuccapass_types::{
    CacheNamespace, EndpointId, FencingNumber, Instant, KeyHash, ModelId, NodeId, OrganisationId,
    PromptPartId, WeightRevision, ZoneId,
};

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// The caller's id of this attempt.
    pub id: SmolStr,
    /// The hash of its key.
    pub key: Option<KeyHash>,
    /// How long the caller waits, in milliseconds from the arrival of the request.
    pub wait_ms: Option<u64>,
    /// The parts of its prompt in order; empty if it has none.
    pub parts: Vec<PromptPart>,
    /// Id of the event after which a stream is to continue.
    pub resume_after: Option<SmolStr>,
}

/// Reports a caller's header that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {header} {problem}"))]
pub struct InvalidRequest {
    /// The header.
    pub header: &'static str,
    /// What is wrong.
    pub problem: SmolStr,
}

/// What an endpoint is told about a request.
#[derive(Debug, Clone, Copy)]
pub struct Forwarding<'a> {
    /// The endpoint that is to run it; another process at its address must not.
    pub endpoint: &'a EndpointId,
    /// Whose request it is.
    pub organisation: Option<&'a OrganisationId>,
    /// Time that remains, in milliseconds.
    pub remaining_ms: u64,
    /// Rank among the requests of the endpoint.
    pub priority: Option<Priority>,
    /// Where its cached prompt parts are found; a cache that all share if there is none.
    pub space: Option<&'a CacheNamespace>,
    /// The weights that it must run with.
    pub weights: Option<WeightRevision>,
    /// The prompt parts that are fetched and saved.
    pub transfers: Option<&'a PartTransfers>,
    /// Id of the event after which the stream is to continue.
    pub resume_after: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Default)]
pub struct EndpointAnswer {
    /// The id of the request that is answered.
    pub request_id: Option<SmolStr>,
    /// Whether the endpoint says that it did not run the request.
    pub is_not_run: bool,
    /// Whether the answer carries the endpoint's signature.
    pub is_signed: bool,
    /// The endpoint's load.
    pub load: Option<LoadReport>,
    /// The weights that the endpoint serves.
    pub weights: Option<WeightRevision>,
}

/// Translates the messages of callers and endpoints.
pub trait Protocol: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header has a value that cannot be understood.
    fn caller_request(&self, head: &RequestHead) -> Result<CallerRequest, InvalidRequest>;

    /// Writes the header lines of a request to an endpoint: the caller's, without those that only
    /// this product sets, and those of `forwarding`. Framing and connection headers are not written.
    fn write_request_headers(
        &self,
        head: &RequestHead,
        forwarding: &Forwarding<'_>,
        out: &mut Vec<u8>,
    );

    /// Decodes the head of an endpoint's answer.
    fn endpoint_answer(&self, head: &ResponseHead) -> EndpointAnswer;

    /// Writes the header lines that tie an answer of this product's own to its request.
    fn write_refusal_headers(&self, request: &CallerRequest, out: &mut Vec<u8>);
}

/// A change of what the platform's key-value service holds for this product.
#[derive(Debug, Clone)]
pub enum EntryChange {
    /// The operators' configuration.
    Configuration(Box<Configuration>),
    /// Operators have taken a zone out, or back.
    Evacuation {
        /// The zone.
        zone: ZoneId,
        /// Whether it is out.
        is_evacuated: bool,
    },
    /// Operators have named new weights.
    Weights {
        /// The model.
        model: ModelId,
        /// The weights.
        weights: WeightRevision,
    },
    /// An endpoint says something of itself, or has left.
    Endpoint {
        /// The endpoint.
        id: EndpointId,
        /// What it says; nothing if it has left.
        record: Option<EndpointRecord>,
    },
    /// Nothing that concerns this product.
    Ignored,
}

/// Reports an entry that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{key}: {problem}"))]
pub struct DecodeError {
    /// The entry's key.
    pub key: SmolStr,
    /// What is wrong.
    pub problem: String,
}

/// Translates the entries of the platform's key-value service.
pub trait EntryDecoder: Send + Sync {
    /// Returns the beginning of the keys of operators' decisions.
    fn operator_prefix(&self) -> &Key;

    /// Returns the beginning of the keys of endpoints.
    fn endpoint_prefix(&self) -> &Key;

    /// Decodes an entry that was written at or before `now`, or removed if there is no value.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be understood.
    fn decode(
        &self,
        key: &Key,
        value: Option<&Value>,
        now: Instant,
    ) -> Result<EntryChange, DecodeError>;
}

/// An order to serve other weights.
#[derive(Debug, Clone)]
pub struct WeightOrder<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// The model.
    pub model: &'a ModelId,
    /// The weights.
    pub weights: WeightRevision,
    /// The node that gives the order.
    pub holder: &'a NodeId,
    /// Orders the holders of the duty.
    pub fencing: FencingNumber,
    /// The number of orders that the endpoint must have accepted before; it declines otherwise.
    pub after_orders: u64,
}

/// What an endpoint says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is carried out, or already holds.
    Accepted,
    /// Another order is in progress or came first.
    Declined,
    /// A holder with a larger number has given orders.
    Fenced,
    /// The endpoint cannot carry it out.
    Invalid,
}

/// Translates orders to model engines.
pub trait EngineProtocol: Send + Sync {
    /// Returns the request that asks an engine for its state: a whole message.
    fn report_request(&self, endpoint: &EndpointId) -> Vec<u8>;

    /// Decodes an engine's state.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be understood.
    fn decode_report(&self, model: &ModelId, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Returns an order: a whole message.
    fn order_request(&self, order: &WeightOrder<'_>) -> Vec<u8>;

    /// Decodes the answer to an order.
    fn order_outcome(&self, status: u16) -> OrderOutcome;
}

/// Translates the calls of stores of prompt parts.
pub trait PartStoreProtocol: Send + Sync {
    /// Returns the request for changes from `next` on, which waits for `wait_ms` if there are none:
    /// a whole message.
    fn events_request(&self, next: u64, wait_ms: u64) -> Vec<u8>;

    /// Decodes the changes.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be understood.
    fn decode_events(&self, body: &[u8]) -> Result<PartEvents, DecodeError>;

    /// Returns the request to free parts in a life of the store: a whole message.
    fn free_request(&self, epoch: u64, parts: &[(CacheNamespace, PromptPartId)]) -> Vec<u8>;
}
