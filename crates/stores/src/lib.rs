//! Client for store VMs, which keep exported KV cache blocks.
//!
//! * [`block_store`]: the trait of a store VM, with its request and response types.
//! * [`http_store`]: its implementation over HTTP/1.1.
//! * [`error`]: what can fail.

pub mod block_store;
pub mod error;
pub mod http_store;

pub use block_store::{
    BlockStore, BlockTier, ContainsRequest, ContainsResponse, MAX_CONTAINS_BLOCKS, StoreStatus,
    TierStatus, refusals,
};
pub use error::{StoreError, StoreErrorKind};
pub use http_store::HttpStore;
