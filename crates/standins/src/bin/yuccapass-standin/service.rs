//! Arguments of `yuccapass-standin service`.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Args;
use yuccapass_standins::service::{Service, ServiceFaults, build_app};

/// Runs a plain service.
///
/// All random choices depend on the seed only. GET /standin/journal lists the effects of all calls,
/// POST /standin/faults replaces the faults, /echo returns the body of the call, and every other
/// path returns a summary of the call.
#[derive(Debug, Args)]
pub(crate) struct ServiceArguments {
    /// Address to listen on.
    #[arg(long)]
    address: SocketAddr,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Effects that the journal keeps.
    #[arg(long, default_value_t = 65_536)]
    max_journal_entries: usize,
    /// Faults that are on from the start, as the JSON object of POST /standin/faults with the
    /// fields slow_ms, crash_after_effect_probability, cut_probability and silent_probability.
    #[arg(long, value_parser = crate::server::parse_json::<ServiceFaults>, default_value = "{}")]
    faults: ServiceFaults,
}

/// Runs the service until the process is ended.
pub(crate) async fn run(arguments: ServiceArguments) -> std::io::Result<()> {
    let ServiceArguments { address, seed, max_journal_entries, faults } = arguments;
    let service = Arc::new(Service::new(seed, max_journal_entries, faults));
    crate::server::run(address, build_app(service)).await
}
