//! Export of cache blocks to the stores and import from them.
//!
//! * [`export`]: which blocks are exported after an answer.
//! * [`owner`]: which VM of a store keeps a block.
//! * [`backoff`]: VMs that are skipped because they failed or are full.
//! * [`source`]: what a store offers to placement, and what it says that it has.

pub mod backoff;
pub mod export;
pub mod owner;
pub mod source;
