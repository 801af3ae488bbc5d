//! Arguments of `yuccapass-standin engine`.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Args;
use yuccapass_standins::engine::{Engine, EngineConfig, Faults, build_app};
use yuccapass_types::{Incarnation, MonotonicClock, TokensPerSecond, WeightVersion};

/// Runs a model endpoint.
///
/// All random choices depend on the seed only. GET /stats has counts, GET /journal lists the runs
/// that began, and POST /faults with {"set": {...}, "actions": ["crash", "fall_back_to_cold",
/// "silence_connections"]} switches faults.
#[derive(Debug, Args)]
pub(crate) struct EngineArguments {
    /// Address to listen on.
    #[arg(long)]
    address: SocketAddr,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Incarnation number of the engine process; a program that restarts the engine passes a larger
    /// one.
    #[arg(long, default_value_t = 1)]
    incarnation: u64,
    /// Weight version at the start.
    #[arg(long, default_value = "v1")]
    version: WeightVersion,
    /// Decode time of one token of a stream, in milliseconds; 0 sends without limit.
    #[arg(long, default_value_t = 5)]
    token_time_ms: u64,
    /// Prefill rate over the whole engine; a token is 4 prompt bytes.
    #[arg(long, default_value = "20000")]
    prefill_tokens_per_s: TokensPerSecond,
    /// Requests that run at once.
    #[arg(long, default_value_t = 64)]
    max_running_requests: u32,
    /// Requests that wait; more are refused as overloaded.
    #[arg(long, default_value_t = 1024)]
    max_queued_requests: u32,
    /// Blocks of 256 prompt bytes that the prefix cache holds.
    #[arg(long, default_value_t = 4096)]
    cache_capacity_blocks: usize,
    /// Size of an exported block.
    #[arg(long, default_value_t = 16 * 1024)]
    block_payload_bytes: usize,
    /// Age of load reports.
    #[arg(long, default_value_t = 0)]
    load_lag_ms: u64,
    /// How late cache events are published.
    #[arg(long, default_value_t = 0)]
    event_lag_ms: u64,
    /// Carry out orders whatever their fencing number.
    #[arg(long)]
    ignore_fencing: bool,
    /// Duration of a swap of the weight version.
    #[arg(long, default_value_t = 1000)]
    swap_ms: u64,
    /// Replicas that can swap at once before a swap takes longer.
    #[arg(long, default_value_t = 3)]
    max_swapping_replicas: u32,
    /// Start cold; needs --cold-requests.
    #[arg(long, requires = "cold_requests")]
    cold: bool,
    /// Queued and running requests that a cold engine sustains; one more makes it crash. 0 means
    /// never cold.
    #[arg(long, default_value_t = 0)]
    cold_requests: u32,
    /// Time that a cold engine must spend running requests until it is warm.
    #[arg(long, default_value_t = 5000)]
    warm_up_ms: u64,
    /// How long connections are closed without a response after a crash.
    #[arg(long, default_value_t = 0)]
    restart_ms: u64,
    /// End the process with exit code 1 on a crash instead of resetting its state.
    #[arg(long)]
    exit_on_crash: bool,
    /// Faults that are on from the start, as the JSON object of `set` in POST /faults, for example
    /// {"crash_marker": "boom", "slow_factor": 2}; GET /faults shows all fields.
    #[arg(long, value_parser = crate::server::parse_json::<Faults>, default_value = "{}")]
    faults: Faults,
}

impl EngineArguments {
    fn config(&self) -> EngineConfig {
        EngineConfig::default()
            .seed(self.seed)
            .version(self.version.clone())
            .token_time_ms(self.token_time_ms)
            .prefill_rate(self.prefill_tokens_per_s)
            .max_running_requests(self.max_running_requests)
            .max_queued_requests(self.max_queued_requests)
            .cache_capacity_blocks(self.cache_capacity_blocks)
            .block_payload_bytes(self.block_payload_bytes)
            .load_lag_ms(self.load_lag_ms)
            .event_lag_ms(self.event_lag_ms)
            .checks_fencing(!self.ignore_fencing)
            .swap_ms(self.swap_ms)
            .max_swapping_replicas(self.max_swapping_replicas)
            .starts_cold(self.cold)
            .cold_requests(self.cold_requests)
            .warm_up_ms(self.warm_up_ms)
            .restart_ms(self.restart_ms)
            .exits_on_crash(self.exit_on_crash)
            .faults(self.faults.clone())
    }
}

/// Runs the engine until the process is ended.
pub(crate) async fn run(arguments: EngineArguments) -> std::io::Result<()> {
    let engine = Engine::start(arguments.config(), Arc::new(MonotonicClock::new()));
    let incarnation = Incarnation::new(arguments.incarnation);
    engine.with_core(|core, now| core.set_incarnation(incarnation, now));
    crate::server::run(arguments.address, build_app(engine)).await
}
