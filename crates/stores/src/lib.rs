//! The interface to store VMs, which keep exported KV cache blocks.
//!
//! * [`block_store`]: the trait object at the border and its messages.
//! * [`http_store`]: the client that speaks HTTP/1.1 to a store VM.
//! * [`error`]: what can go wrong.

pub mod block_store;
pub mod error;
pub mod http_store;

pub use block_store::{
    BlockStore, BlockTier, ContainsRequest, ContainsResponse, MAX_CONTAINS_BLOCKS, StoreStatus,
    TierStatus, refusals,
};
pub use error::{StoreError, StoreErrorKind};
pub use http_store::HttpStore;
