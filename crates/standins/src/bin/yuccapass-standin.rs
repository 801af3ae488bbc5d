//! `yuccapass-standin`, small stand-ins for the outside systems.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use async_std::net::TcpListener;
use clap::{Parser, Subcommand};
use yuccapass_http::{RejectReason, ServerConfig, serve, stop_pair};
use yuccapass_standins::engine;

/// Small stand-ins for the outside systems.
#[derive(Debug, Parser)]
#[command(name = "yuccapass-standin", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a model endpoint.
    Engine {
        /// Address to listen on.
        #[arg(long)]
        address: SocketAddr,
        /// Decode time of one token, in milliseconds.
        #[arg(long, default_value_t = 5)]
        token_time_ms: u64,
    },
    /// Runs a platform: key-value service and VM list.
    Platform(yuccapass_standins::platform::PlatformArguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match async_std::task::block_on(run(arguments.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccapass-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> std::io::Result<()> {
    match command {
        Command::Engine { address, token_time_ms } => {
            let config = engine::EngineConfig { token_time_ms };
            let app = engine::build_app(config, Arc::default());
            let listener = TcpListener::bind(address).await?;
            // The controller is kept, so the server runs until the process is ended.
            let (_controller, stop) = stop_pair();
            serve(listener, app, ServerConfig::new(rejection_body), stop).await;
        }
        Command::Platform(arguments) => yuccapass_standins::platform::run(arguments).await?,
    }
    Ok(())
}

fn rejection_body(_reason: RejectReason) -> (u16, String) {
    (503, "{}".to_owned())
}
