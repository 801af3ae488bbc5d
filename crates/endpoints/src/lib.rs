//! The interface to model endpoints: replicas of a model engine.
//!
//! * [`model_endpoint`]: the trait object at the border and its messages.
//! * [`http_endpoint`]: the client that speaks HTTP/1.1 with server-sent events to an engine.
//! * [`sse`]: reading of server-sent events.
//! * [`error`]: what can go wrong, and what is then known about the run.

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
