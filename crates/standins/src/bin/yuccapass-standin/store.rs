//! Arguments of `yuccapass-standin store`.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Args;
use yuccapass_standins::store::{Store, StoreConfig, StoreFaults, build_app};
use yuccapass_types::{Bytes, MonotonicClock};

/// Runs a store VM.
///
/// All random choices depend on the seed only. POST /faults replaces the faults, and POST /crash
/// loses the memory tier.
#[derive(Debug, Args)]
pub(crate) struct StoreArguments {
    /// Address to listen on.
    #[arg(long)]
    address: SocketAddr,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Size of the memory tier.
    #[arg(long, default_value = "268435456")]
    memory_capacity_bytes: Bytes,
    /// Size of the disk tier, which is simulated in memory.
    #[arg(long, default_value = "1073741824")]
    disk_capacity_bytes: Bytes,
    /// Faults that are on from the start, as the JSON object of POST /faults with the fields full,
    /// link_rate (for example "1000000 B/s"), torn_probability and crash_probability.
    #[arg(long, value_parser = crate::server::parse_json::<StoreFaults>, default_value = "{}")]
    faults: StoreFaults,
}

/// Runs the store until the process is ended.
pub(crate) async fn run(arguments: StoreArguments) -> std::io::Result<()> {
    let config = StoreConfig::default()
        .seed(arguments.seed)
        .memory_capacity(arguments.memory_capacity_bytes)
        .disk_capacity(arguments.disk_capacity_bytes)
        .faults(arguments.faults);
    let store = Arc::new(Store::new(config, Arc::new(MonotonicClock::new())));
    crate::server::run(arguments.address, build_app(store)).await
}
