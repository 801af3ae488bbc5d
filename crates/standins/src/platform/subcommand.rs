//! The subcommand `platform`, which runs a stand-in.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use clap::Args;
use yuccapass_http::{RejectReason, ServerConfig, serve, stop_pair};
use yuccapass_types::RequestsPerSecond;

use super::app::build_app;
use super::shared::{PlatformState, StandinConfig};

/// Arguments of the subcommand `platform`.
#[derive(Debug, Args)]
pub struct PlatformArguments {
    /// Address to listen on.
    #[arg(long)]
    address: SocketAddr,
    /// Rate of reads.
    #[arg(long, default_value = "2000")]
    reads_per_s: RequestsPerSecond,
    /// Rate of writes.
    #[arg(long, default_value = "300")]
    writes_per_s: RequestsPerSecond,
    /// Refuse calls above the rates with status 429.
    #[arg(long)]
    enforce_rates: bool,
    /// Age at which a change of the VM list becomes visible, in milliseconds.
    #[arg(long, default_value_t = 0)]
    vm_lag_ms: u64,
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Faults at the start, as the JSON body of `POST /faults`.
    #[arg(long, default_value = "{}")]
    faults: String,
}

/// Runs a stand-in until the process ends.
///
/// # Errors
///
/// Fails if the faults cannot be parsed or the address cannot be bound.
pub async fn run(arguments: PlatformArguments) -> io::Result<()> {
    let config = StandinConfig {
        read_rate: arguments.reads_per_s,
        write_rate: arguments.writes_per_s,
        enforces_rates: arguments.enforce_rates,
        vm_lag_ms: arguments.vm_lag_ms,
        seed: arguments.seed,
        faults: serde_json::from_str(&arguments.faults)?,
    };
    let listener = TcpListener::bind(arguments.address).await?;
    // The controller must be kept: dropping it would stop the server.
    let (_controller, stop) = stop_pair();
    let server_config = ServerConfig::new(rejection_body);
    serve(listener, build_app(PlatformState::new(config)), server_config, stop).await;
    Ok(())
}

fn rejection_body(_reason: RejectReason) -> (u16, String) {
    (503, "{}".to_owned())
}
