//! Client for model endpoints, the replicas of a model engine.
//!
//! * [`model_endpoint`]: the trait of an endpoint, with its request and response types.
//! * [`http_endpoint`]: its implementation over HTTP/1.1 with server-sent events.
//! * [`sse`]: a reader of server-sent events.
//! * [`error`]: what can fail, and what is then known about the run.

pub mod error;
pub mod http_endpoint;
pub mod model_endpoint;
pub mod sse;

pub use error::{EndpointError, EndpointErrorKind};
pub use http_endpoint::HttpEndpoint;
pub use model_endpoint::{
    BlockListing, CacheEvent, CacheEventBatch, CacheEventKind, EndpointState, GenerateRequest,
    ListedBlock, LoadReport, ModelEndpoint, Order, OrderKind, StreamEvent, TokenStream, headers,
};
pub use sse::{SseEvent, SseReader};
pub use yuccapass_types::ChecksummedBlock;
