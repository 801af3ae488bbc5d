//! Identifiers, units, time, hashes, collections and result codes that all yuccapass crates share.
//!
//! This crate does no I/O and reads no clock, apart from [`MonotonicClock`], which the programs
//! pass on as a [`Clock`] trait object.
//!
//! * [`ids`]: checked newtypes for names and numbers that identify something.
//! * [`units`], [`request_rate`] and [`traffic_share`]: newtypes for sizes, token counts, rates and
//!   shares.
//! * [`time`]: instants and deadlines on a process-local monotonic clock.
//! * [`block`]: salted hash chains over prompt prefixes.
//! * [`checksummed_block`]: KV cache blocks with a checksum, for transfers between endpoints and
//!   store VMs.
//! * [`sharded`] and [`sorted_map`]: the collections that shared state is kept in.
//! * [`shared`]: reference-counted values that several copies of a collection share.
//! * [`slowdown`]: how long work takes at an endpoint, relative to the usual time.
//! * [`result_code`]: the numbered codes that callers and operators see.

pub mod block;
pub mod checksummed_block;
pub mod ids;
pub mod request_rate;
pub mod result_code;
pub mod sharded;
pub mod shared;
pub mod slowdown;
pub mod sorted_map;
pub mod time;
pub mod traffic_share;
pub mod units;

pub use block::{BLOCK_PROMPT_BYTES, BlockHash, CacheSalt, ParseBlockHashError, block_hash_chain};
pub use checksummed_block::ChecksummedBlock;
pub use ids::{
    AdapterId, CacheNamespace, ClassId, CommandId, EndpointId, FencingNumber, IdempotencyKey,
    Incarnation, KeyHash, ModelId, NodeId, OrganisationId, ParseIdError, ParseIdErrorKind,
    PromptPartId, RegionId, RequestId, Revision, RolloutOrderId, RouteId, ServiceId,
    SoftwareVersion, StoreId, WeightRevision, WeightVersion, ZoneId,
};
pub use request_rate::{ParseRequestRateError, RequestRate};
pub use result_code::{ResultCode, RunState};
pub use sharded::Sharded;
pub use shared::Shared;
pub use slowdown::{ParseSlowdownError, Slowdown};
pub use sorted_map::SortedMap;
pub use time::{Clock, Deadline, Instant, MonotonicClock};
pub use traffic_share::{ParseTrafficShareError, TrafficShare};
pub use units::{
    Bytes, BytesPerSecond, ParseUnitError, RequestsPerSecond, Tokens, TokensPerSecond,
};
