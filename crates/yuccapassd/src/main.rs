//! `yuccapassd`, the yuccapass daemon.

use std::process::ExitCode;

use async_signal::{Signal, Signals};
use clap::Parser;
use futures::StreamExt;
use futures::future::{Either, select};
use yuccapassd::gateway::{self, GatewaySettings};
use yuccapassd::settings::{Front, Invocation};
use yuccapassd::{Node, Settings, logs};

/// Exit code for settings or a configuration that are not valid.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let invocation = Invocation::parse();
    match (invocation.front, invocation.settings) {
        (Some(Front::Gateway(settings)), _) => run_gateway(*settings),
        (None, Some(settings)) => run_node(settings),
        (None, None) => {
            eprintln!("yuccapassd: settings are missing; see yuccapassd --help");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

fn run_gateway(settings: GatewaySettings) -> ExitCode {
    if let Err(error) = settings.validate() {
        eprintln!("yuccapassd: {error}");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    if settings.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::init(settings.log_level) {
        eprintln!("yuccapassd: {error}");
        return ExitCode::FAILURE;
    }
    async_std::task::block_on(gateway::run(settings))
}

fn run_node(settings: Settings) -> ExitCode {
    if let Err(error) = settings.validate() {
        eprintln!("yuccapassd: {error}");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    if settings.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::init(settings.log_level) {
        eprintln!("yuccapassd: {error}");
        return ExitCode::FAILURE;
    }
    async_std::task::block_on(run(settings))
}

async fn run(settings: Settings) -> ExitCode {
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("signals cannot be handled: {error}");
            return ExitCode::FAILURE;
        }
    };
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            log::error!("the node cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    signals.next().await;
    log::info!("stopping gracefully");
    let stopping = Box::pin(node.stop());
    match select(stopping, signals.next()).await {
        Either::Left(_) => ExitCode::SUCCESS,
        Either::Right(_) => {
            log::warn!("a second signal ends the process at once");
            ExitCode::FAILURE
        }
    }
}
