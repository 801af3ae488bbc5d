//! Export of cache blocks to the stores and import from them.
//!
//! * [`export`]: selection of the blocks to export after an answer.
//! * [`owner`]: which VM of a store holds a block.
//! * [`backoff`]: backoff from VMs that failed or are full.
//! * [`source`]: stores as import sources for placement, and how much of a prompt they have.

pub mod backoff;
pub mod export;
pub mod owner;
pub mod source;
