//! Settings of a stand-in engine.

use yuccapass_types::{TokensPerSecond, WeightVersion};

use super::faults::Faults;

/// Settings of a stand-in engine, changed by chained setters.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    pub(crate) seed: u64,
    pub(crate) version: WeightVersion,
    pub(crate) token_time_ms: u64,
    pub(crate) prefill_rate: TokensPerSecond,
    pub(crate) max_running_requests: u32,
    pub(crate) max_queued_requests: u32,
    pub(crate) cache_capacity_blocks: usize,
    pub(crate) block_payload_bytes: usize,
    pub(crate) load_lag_ms: u64,
    pub(crate) event_lag_ms: u64,
    pub(crate) max_kept_events: usize,
    pub(crate) checks_fencing: bool,
    pub(crate) swap_ms: u64,
    pub(crate) adapter_load_ms: u64,
    pub(crate) max_swapping_replicas: u32,
    pub(crate) starts_cold: bool,
    pub(crate) cold_requests: u32,
    pub(crate) warm_up_ms: u64,
    pub(crate) restart_ms: u64,
    pub(crate) exits_on_crash: bool,
    pub(crate) max_journal_entries: usize,
    pub(crate) faults: Faults,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            version: "v1".parse().expect("v1 is a valid name of a version"),
            token_time_ms: 5,
            prefill_rate: TokensPerSecond::new(20_000),
            max_running_requests: 64,
            max_queued_requests: 1_024,
            cache_capacity_blocks: 4_096,
            block_payload_bytes: 16 * 1024,
            load_lag_ms: 0,
            event_lag_ms: 0,
            max_kept_events: 65_536,
            checks_fencing: true,
            swap_ms: 1_000,
            adapter_load_ms: 100,
            max_swapping_replicas: 3,
            starts_cold: false,
            cold_requests: 0,
            warm_up_ms: 5_000,
            restart_ms: 0,
            exits_on_crash: false,
            max_journal_entries: 65_536,
            faults: Faults::default(),
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty;)+) => {
        impl EngineConfig {
            $(
                $(#[$doc])*
                pub fn $name(mut self, value: $type) -> Self {
                    self.$name = value;
                    self
                }
            )+
        }
    };
}

setters! {
    /// Sets the seed of all random choices; 1 by default.
    seed: u64;
    /// Sets the weight version at the start; `v1` by default.
    version: WeightVersion;
    /// Sets the decode time per token of one stream; 5 ms by default, 0 means no limit.
    token_time_ms: u64;
    /// Sets the prefill rate of the whole engine; 20,000 tokens/s by default.
    prefill_rate: TokensPerSecond;
    /// Sets how many requests run at once at most; 64 by default.
    max_running_requests: u32;
    /// Sets how many requests wait at most; 1,024 by default.
    max_queued_requests: u32;
    /// Sets how many blocks the prefix cache holds; 4,096 by default.
    cache_capacity_blocks: usize;
    /// Sets the size of an exported block; 16 KiB by default.
    block_payload_bytes: usize;
    /// Sets the age of load reports; 0 by default.
    load_lag_ms: u64;
    /// Sets the delay after which a cache event is published; 0 by default.
    event_lag_ms: u64;
    /// Sets how many cache events are kept; 65,536 by default.
    max_kept_events: usize;
    /// Sets whether orders with an old fencing number are refused; true by default.
    checks_fencing: bool;
    /// Sets how long a swap of the weight version takes; 1 s by default.
    swap_ms: u64;
    /// Sets how long loading an adapter takes; 100 ms by default.
    adapter_load_ms: u64;
    /// Sets how many replicas can swap at once before swaps take longer; 3 by default.
    max_swapping_replicas: u32;
    /// Sets whether the first incarnation is cold; false by default.
    starts_cold: bool;
    /// Sets how many requests a cold engine can have at once, queued or running; one more crashes
    /// it. 0, the default, means that the engine is never cold.
    cold_requests: u32;
    /// Sets how long a cold engine has to run requests until it is warm; 5 s by default.
    warm_up_ms: u64;
    /// Sets how long after a crash connections are closed without a response; 0 by default.
    restart_ms: u64;
    /// Sets whether a crash ends the process instead of resetting its state; false by default.
    exits_on_crash: bool;
    /// Sets how many started runs the journal keeps; 65,536 by default.
    max_journal_entries: usize;
    /// Sets the faults that are on from the start; none by default.
    faults: Faults;
}
