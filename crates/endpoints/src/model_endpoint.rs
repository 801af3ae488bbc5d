//! The [`ModelEndpoint`] trait, through which endpoints are called, and the types of its requests
//! and responses.

use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use yuccapass_openai::Api;
use yuccapass_types::{
    AdapterId, BlockHash, CacheSalt, ChecksummedBlock, Deadline, EndpointId, FencingNumber,
    Incarnation, RequestId, Tokens, WeightVersion,
};

use crate::error::EndpointError;

/// Names of the headers that extend the OpenAI API of the engines.
pub mod headers {
    /// The request's id, which the engine repeats in each event.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Number of the attempt to run the request, from 1.
    pub const ATTEMPT: &str = "x-attempt";
    /// Scheduling priority; a larger one runs first.
    pub const PRIORITY: &str = "x-priority";
    /// Milliseconds until the answer is no longer wanted.
    pub const DEADLINE_MS: &str = "x-request-deadline-ms";
    /// Salt of the prefix cache.
    pub const CACHE_SALT: &str = "x-cache-salt";
    /// The weight version that must be active.
    pub const WEIGHT_VERSION: &str = "x-weight-version";
    /// The adapter to apply.
    pub const ADAPTER: &str = "x-adapter";
    /// Number of tokens of the answer that were delivered already.
    pub const RESUME_OFFSET: &str = "x-resume-offset";
    /// `not run` in a response if the engine is certain that it did not run the request.
    pub const RUN_STATE: &str = "x-run-state";
    /// The reason why the engine refused a request.
    pub const REFUSAL: &str = "x-refusal";
    /// The engine's incarnation.
    pub const INCARNATION: &str = "x-incarnation";
}

/// One attempt to run a request.
#[derive(Debug, Clone)]
pub struct GenerateRequest {
    /// The request.
    pub request_id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The API that the request uses.
    pub api: Api,
    /// The JSON body, which asks for a stream.
    pub body: Arc<[u8]>,
    /// Scheduling priority; a larger one runs first.
    pub priority: i32,
    /// When the answer is no longer wanted.
    pub deadline: Deadline,
    /// Salt of the prefix cache.
    pub salt: CacheSalt,
    /// The weight version that must be active at the endpoint.
    pub version: WeightVersion,
    /// The adapter to apply.
    pub adapter: Option<AdapterId>,
    /// Tokens that were delivered by earlier attempts.
    pub resume_offset_tokens: Tokens,
    /// Whether the request has to be sent on a new connection, because the endpoint may be closing
    /// a reused one just then.
    pub needs_new_connection: bool,
}

/// An event of an answer's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// One token, as the JSON text of an OpenAI stream chunk.
    Token {
        /// Position of the token in the whole answer, from 0.
        offset_tokens: Tokens,
        /// The JSON text.
        json: Vec<u8>,
    },
    /// The end of the answer.
    Done {
        /// Number of tokens of the whole answer.
        length_tokens: Tokens,
    },
    /// An event of another request or attempt.
    Mismatched,
}

/// The events of one attempt.
///
/// Dropping a stream before its end closes its connection, which cancels the run.
#[async_trait]
pub trait TokenStream: Send {
    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, ends before [`StreamEvent::Done`], or sends nothing until
    /// `deadline`.
    async fn next(&mut self, deadline: Deadline) -> Result<StreamEvent, EndpointError>;
}

/// The readiness that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Starting up: can serve only a low load.
    Cold,
    /// Can serve full load.
    Warm,
    /// Accepts no new work.
    Leaving,
}

/// A report of an endpoint's load, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine process.
    pub incarnation: Incarnation,
    /// Its readiness.
    pub state: EndpointState,
    /// The weight version that new requests use.
    pub version: WeightVersion,
    /// The loaded adapters.
    pub adapters: Vec<AdapterId>,
    /// Requests in the running batch.
    pub running_requests: u32,
    /// Requests that wait for a slot in the batch.
    pub queued_requests: u32,
    /// Prompt tokens that have not been processed yet, over all requests.
    pub queued_prefill_tokens: Tokens,
    /// Requests that fit into the running batch.
    pub max_running_requests: u32,
    /// Concurrent requests, running or queued, that the engine sustains in its present state.
    pub sustainable_requests: u32,
    /// Prefill rate of the whole engine.
    pub prefill_tokens_per_s: u64,
    /// Decode rate of one request.
    pub decode_tokens_per_s: u64,
    /// Capacity of the prefix cache in blocks.
    pub cache_capacity_blocks: u32,
    /// Age of the report at the time of the response.
    pub age_ms: u64,
}

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was stored; it is complete and can be used.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A change of an endpoint's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Position of the block in its prompt, from 1.
    pub position_blocks: u32,
    /// The block.
    pub block: BlockHash,
}

/// Cache events after a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventBatch {
    /// The engine process; a new one starts with an empty cache and sequence number 1.
    pub incarnation: Incarnation,
    /// The events that the engine still keeps, in order.
    pub events: Vec<CacheEvent>,
}

/// All blocks of an endpoint's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockListing {
    /// The engine process.
    pub incarnation: Incarnation,
    /// Sequence number of the last event that the listing includes.
    pub sequence: u64,
    /// The blocks.
    pub blocks: Vec<ListedBlock>,
}

/// A block in a listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBlock {
    /// Position of the block in its prompt, from 1.
    pub position_blocks: u32,
    /// The block.
    pub block: BlockHash,
}

/// What an endpoint is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Load a weight version and use it for new requests.
    LoadVersion {
        /// The version.
        version: WeightVersion,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterId,
    },
    /// Accept no new work, or accept it again.
    SetLeaving {
        /// Whether to accept no new work.
        leaving: bool,
    },
}

/// An order with the fencing number of the lease under which it is given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; an endpoint that checks it refuses a smaller one than it has seen.
    pub fencing: FencingNumber,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// One replica of a model engine.
#[async_trait]
pub trait ModelEndpoint: Send + Sync {
    /// Returns the endpoint's id.
    fn id(&self) -> &EndpointId;

    /// Starts a run and waits for the engine to accept it.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or refuses. The error's run state is `not run` only if
    /// nothing was sent or the engine said so.
    async fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<Box<dyn TokenStream>, EndpointError>;

    /// Cancels a run.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached. It is no error if the run has ended.
    async fn cancel(&self, request_id: &RequestId, deadline: Deadline)
    -> Result<(), EndpointError>;

    /// Reads the load report, by default over a new connection, so that a success also shows that
    /// the endpoint accepts connections.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or does not answer in time.
    async fn load_report(&self, deadline: Deadline) -> Result<LoadReport, EndpointError>;

    /// Reads the cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or does not answer in time.
    async fn cache_events(
        &self,
        after_sequence: u64,
        deadline: Deadline,
    ) -> Result<CacheEventBatch, EndpointError>;

    /// Lists all cached blocks.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or does not answer in time.
    async fn block_listing(&self, deadline: Deadline) -> Result<BlockListing, EndpointError>;

    /// Reads a block from the cache.
    ///
    /// # Errors
    ///
    /// Fails if the engine no longer has the block or cannot be reached.
    async fn export_block(
        &self,
        block: BlockHash,
        deadline: Deadline,
    ) -> Result<ChecksummedBlock, EndpointError>;

    /// Writes a block to the cache.
    ///
    /// # Errors
    ///
    /// Fails if the block is not intact, the engine refuses it, or it cannot be reached.
    async fn import_block(
        &self,
        block: &ChecksummedBlock,
        deadline: Deadline,
    ) -> Result<(), EndpointError>;

    /// Gives an order and waits until it is carried out.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses the order or cannot be reached.
    async fn order(&self, order: &Order, deadline: Deadline) -> Result<(), EndpointError>;
}
