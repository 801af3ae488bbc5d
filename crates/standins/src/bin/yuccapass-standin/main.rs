//! `yuccapass-standin` runs small stand-ins for the outside systems.

mod engine;
mod server;
mod service;
mod store;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use yuccapass_standins::platform::{self, PlatformArguments};

/// Small stand-ins for the outside systems.
#[derive(Debug, Parser)]
#[command(name = "yuccapass-standin", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Engine(engine::EngineArguments),
    /// Runs a platform: key-value service and VM list.
    Platform(PlatformArguments),
    Service(service::ServiceArguments),
    Store(store::StoreArguments),
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
        Command::Engine(arguments) => engine::run(arguments).await,
        Command::Platform(arguments) => platform::run(arguments).await,
        Command::Service(arguments) => service::run(arguments).await,
        Command::Store(arguments) => store::run(arguments).await,
    }
}
