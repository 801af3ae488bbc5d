//! The [`BlockStore`] trait, through which store VMs are called, and the types of its requests and
//! responses.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use yuccapass_types::{BlockHash, Bytes, ChecksummedBlock, Deadline, Incarnation, StoreId};

use crate::error::StoreError;

/// The header with the reason of a refusal, and its values.
pub mod refusals {
    /// Name of the header.
    pub const HEADER: &str = "x-refusal";
    /// The store VM does not have the block.
    pub const MISSING: &str = "missing";
    /// The block does not match its checksum.
    pub const TORN: &str = "torn";
    /// The store VM has no space for the block.
    pub const FULL: &str = "full";
}

/// The usage of a tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierStatus {
    /// Total size of the blocks in the tier.
    pub used_bytes: Bytes,
    /// Capacity of the tier.
    pub capacity_bytes: Bytes,
}

/// The usage of a store VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The store process; a new one may have lost blocks.
    pub incarnation: Incarnation,
    /// Number of blocks in both tiers.
    pub blocks: u64,
    /// The memory tier.
    pub memory: TierStatus,
    /// The disk tier.
    pub disk: TierStatus,
}

/// The tier that a block is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockTier {
    /// Memory.
    Memory,
    /// Disk.
    Disk,
}

/// Maximum number of blocks in one call of [`BlockStore::contains`].
pub const MAX_CONTAINS_BLOCKS: usize = 256;

/// The body of a request that asks which of some blocks a store VM has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContainsRequest {
    /// The blocks.
    pub blocks: Vec<BlockHash>,
}

/// The body of the response to a [`ContainsRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContainsResponse {
    /// The tier of each block, in the order of the request; none if the VM does not have it.
    pub tiers: Vec<Option<BlockTier>>,
}

/// One store VM.
#[async_trait]
pub trait BlockStore: Send + Sync {
    /// Returns the store that the VM belongs to.
    fn id(&self) -> &StoreId;

    /// Stores a block; it replaces one with the same hash.
    ///
    /// # Errors
    ///
    /// Fails if the block is not intact, there is no space, or the store VM cannot be reached.
    async fn put(&self, block: &ChecksummedBlock, deadline: Deadline) -> Result<(), StoreError>;

    /// Reads a block.
    ///
    /// # Errors
    ///
    /// Fails if the store VM does not have the block, returns one that is not intact, or cannot be
    /// reached.
    async fn get(
        &self,
        block: BlockHash,
        deadline: Deadline,
    ) -> Result<ChecksummedBlock, StoreError>;

    /// Deletes a block.
    ///
    /// # Errors
    ///
    /// Fails if the store VM cannot be reached. It is no error if it does not have the block.
    async fn delete(&self, block: BlockHash, deadline: Deadline) -> Result<(), StoreError>;

    /// Asks which blocks the store VM has; returns the tier of each, in the same order.
    ///
    /// The call does not count as a use of the blocks.
    ///
    /// # Errors
    ///
    /// Fails if there are more than [`MAX_CONTAINS_BLOCKS`], or the store VM cannot be reached or
    /// does not return a result for each block.
    async fn contains(
        &self,
        blocks: &[BlockHash],
        deadline: Deadline,
    ) -> Result<Vec<Option<BlockTier>>, StoreError>;

    /// Reads the usage of the tiers.
    ///
    /// # Errors
    ///
    /// Fails if the store VM cannot be reached or does not answer in time.
    async fn status(&self, deadline: Deadline) -> Result<StoreStatus, StoreError>;
}
